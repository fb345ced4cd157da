"""The graceful shutdown of an instance whose clients hold sessions on connections.

Idle sessions are closed once the load balancer sends new clients elsewhere. Open
transactions may complete during the first half of the stop timeout.
"""

from datetime import timedelta

from . import sessions
from .log_events import StopComplete
from .messages import ExitProcess
from .session_messages import Phase, StopListening
from .tables import State

# The load balancer checks readiness once a second and removes an instance after two
# failed checks.
UNLISTED_AFTER = timedelta(milliseconds=2600)
# Part of the stop timeout in which open transactions may complete.
TRANSACTION_FRACTION = 0.5


def run(state: State) -> None:
    """Close idle sessions, and exit when none is left or the stop timeout is over."""
    if state.stop_requested_at is None or state.exit_sent:
        return
    waited = state.clock.monotonic() - state.stop_requested_at
    if waited >= state.settings.stop_timeout * TRANSACTION_FRACTION:
        abort_idle_transactions(state)
    if waited >= UNLISTED_AFTER:
        close_idle_sessions(state)
    is_timed_out = waited >= state.settings.stop_timeout
    has_clients = state.sessions or state.openings
    if is_timed_out or (waited >= UNLISTED_AFTER and not has_clients):
        state.exit_sent = True
        waited_ms = waited // timedelta(milliseconds=1)
        state.log_event(StopComplete(len(state.sessions), waited_ms))
        state.outbox.append(StopListening())
        state.outbox.append(ExitProcess())


def abort_idle_transactions(state: State) -> None:
    """Abort the transactions in which no statement is running."""
    for session in list(state.sessions.values()):
        if session.phase is Phase.OPEN and not session.operation:
            sessions.abort_transaction(session, "stopping", state)


def close_idle_sessions(state: State) -> None:
    """Close the sessions without a transaction, running or waiting statement."""
    for session in list(state.sessions.values()):
        is_busy = session.operation or session.waiting
        if session.phase is Phase.IDLE and not is_busy:
            sessions.end_session(session, state)
