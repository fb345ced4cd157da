"""The graceful shutdown of an instance whose clients hold sessions on connections.

Idle sessions are closed once the load balancer sends new clients elsewhere. Open
transactions may complete during the first part of the stop timeout. When it is over,
each statement without a result gets an answer that says what may have happened.
"""

from datetime import timedelta

from . import sessions
from .ledger_handover import are_ledgers_needed
from .log_events import StopComplete
from .messages import Access, ExitProcess
from .operation_completion import record_refusal
from .operation_steps import loss_refusal
from .session_messages import (
    Commit,
    Fault,
    Phase,
    Refusal,
    RefuseStatement,
    StopListening,
)
from .session_rows import OperationRow, SessionRow, Stage
from .stop_times import RETRY_AFTER, STOPPED, UNLISTED_AFTER, transaction_timeout
from .tables import State

# Stages in which a statement may run at a database.
SENT = (Stage.RUNNING, Stage.FORWARDED)


def run(state: State) -> None:
    """Close idle sessions, and exit when none is left or the stop timeout is over."""
    if state.stop_requested_at is None or state.exit_sent:
        return
    waited = state.clock.monotonic() - state.stop_requested_at
    if waited >= transaction_timeout(state.settings):
        abort_idle_transactions(state)
    if waited >= UNLISTED_AFTER:
        close_idle_sessions(state)
    is_timed_out = waited >= state.settings.stop_timeout
    has_clients = state.sessions or state.openings
    is_needed = bool(has_clients) or are_ledgers_needed(state)
    if is_timed_out or (waited >= UNLISTED_AFTER and not is_needed):
        state.exit_sent = True
        waited_ms = waited // timedelta(milliseconds=1)
        state.log_event(StopComplete(len(state.sessions), waited_ms))
        state.outbox.append(StopListening())
        end_all_sessions(state)
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


def end_all_sessions(state: State) -> None:
    """Answer the statements that have no result, and close the clients' sessions.

    Entries learn from the loss of their stream what becomes of their statements here.
    """
    for session in list(state.sessions.values()):
        if session.origin is None:
            answer_unfinished(session, state)
            sessions.end_session(session, state)


def answer_unfinished(session: SessionRow, state: State) -> None:
    """Answer the statement of a session that has no result, and those after it."""
    operation = state.operations.get(session.operation)
    if operation is not None:
        state.counters["draining.unfinished"] += 1
        refusal = unfinished_refusal(operation, session)
        record_refusal(operation, refusal, state)
        if session.phase is Phase.OPEN:
            is_commit = isinstance(operation.command, Commit)
            session.phase = Phase.IDLE if is_commit else Phase.FAILED
        state.outbox.append(RefuseStatement(session.session, session.phase, refusal))
    for statement in session.waiting:
        is_failed = session.phase is Phase.FAILED
        refusal = Refusal(Fault.ABORTED, STOPPED.detail) if is_failed else STOPPED
        sessions.deny_statement(statement, session, refusal, state)


def unfinished_refusal(operation: OperationRow, session: SessionRow) -> Refusal:
    """Return what a client is told of a statement that has no result at the exit."""
    if session.phase is Phase.OPEN:
        return loss_refusal(operation, session)
    if operation.stage not in SENT:
        return STOPPED
    if operation.access is Access.READ:
        return Refusal(Fault.FAILED, STOPPED.detail, RETRY_AFTER)
    return Refusal(Fault.IN_DOUBT, STOPPED.detail)
