"""The graceful shutdown of an instance whose sessions are connections.

The load balancer needs a while to send new clients elsewhere; then idle sessions are
closed. Open transactions may end until half of the time for the stop is over.
"""

from datetime import timedelta

from . import sessions
from .log_events import StopComplete
from .messages import ExitProcess
from .session_messages import Phase, StopListening
from .tables import State

# The load balancer asks once a second and gives up after two misses.
UNLISTED_AFTER = timedelta(milliseconds=2600)
TRANSACTION_FRACTION = 0.5  # Of the time that a stop may take.


def run(state: State) -> None:
    """Close what is idle, and end the process when nothing is left."""
    if state.stop_requested_at is None or state.exit_sent:
        return
    waited = state.clock.monotonic() - state.stop_requested_at
    if waited >= state.settings.stop_timeout * TRANSACTION_FRACTION:
        abort_idle_transactions(state)
    if waited >= UNLISTED_AFTER:
        close_idle_sessions(state)
    is_timed_out = waited >= state.settings.stop_timeout
    if is_timed_out or (waited >= UNLISTED_AFTER and not state.sessions):
        state.exit_sent = True
        waited_ms = waited // timedelta(milliseconds=1)
        state.log_event(StopComplete(len(state.sessions), waited_ms))
        state.outbox.append(StopListening())
        state.outbox.append(ExitProcess())


def abort_idle_transactions(state: State) -> None:
    """Roll back the transactions in which no statement is running."""
    for session in state.sessions.values():
        if session.phase is Phase.OPEN and not session.operation:
            sessions.abort_transaction(session, "stopping", state)


def close_idle_sessions(state: State) -> None:
    """Close the sessions that wait for nothing."""
    for session in list(state.sessions.values()):
        is_busy = session.operation or session.waiting
        if session.phase is Phase.IDLE and not is_busy:
            sessions.end_session(session, state)
