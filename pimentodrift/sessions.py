"""Sessions held on client connections: their state, and the statements answered here.

Setting values, preparing statements, and beginning or rolling back a transaction need
no wait for a database: they take effect on the pooled connection that runs the next
statement.
"""

from functools import singledispatch

from . import operations, rates, session_workspaces
from .clock import MILLISECOND
from .dispatch import handle
from .messages import Access
from .operation_completion import (
    abandon_operation,
    access_refusal,
    end_transaction,
)
from .owners import replies
from .request_events import StatementDenied, TransactionEnded
from .service_order.transactions import ROLLED_BACK, is_idle_too_long, record_end
from .session_messages import (
    AnswerStatement,
    Begin,
    Commit,
    Deallocate,
    EndSession,
    Execute,
    Fault,
    Phase,
    Prepare,
    Refusal,
    RefuseStatement,
    Rollback,
    Run,
    SessionClosed,
    SessionStatement,
    SetValue,
    StatementEnded,
    Unreadable,
)
from .session_rows import Consistency, OperationRow, Route, SessionRow, Stage
from .stop_times import STOPPED, accepts_work
from .tables import State
from .view import copy_age
from .warmup import statements

MAX_PIPELINED = 16  # Statements that a client may send ahead of the answers.
MAX_SESSION_ITEMS = 64  # Limit of a session's values, and of its prepared statements.


@handle.register
def _(message: SessionClosed, state: State) -> None:
    state.openings.pop(message.session, None)
    session = state.sessions.pop(message.session, None)
    if session is None:
        return
    operation = state.operations.get(session.operation)
    if operation is None:
        end_transaction(session, state)
        return
    if operation.stage is Stage.RATE:
        rates.cancel_waiting(operation.workspace, operation.operation, state)
    elif operation.stage is Stage.COLD:
        statements.abandon(operation, session, state)
    abandon_operation(operation, session, state)


@handle.register
def _(message: SessionStatement, state: State) -> None:
    session = state.sessions.get(message.session)
    if session is None:
        opening = state.openings.get(message.session)
        if opening is not None and len(opening.statements) < MAX_PIPELINED:
            opening.statements.append(message)
        elif opening is not None:
            end_opening(message.session, state)
        return
    session.used_at = state.clock.monotonic()
    if session.operation or session.waiting:
        if len(session.waiting) >= MAX_PIPELINED:
            end_session(session, state)
            return
        session.waiting.append(message)
        return
    run_command(message.command, message, session, state)


@handle.register
def _(message: StatementEnded, state: State) -> None:
    session = state.sessions.get(message.session)
    while session is not None and session.waiting and not session.operation:
        statement = session.waiting.popleft()
        run_command(statement.command, statement, session, state)


def end_opening(session: int, state: State) -> None:
    """Close a connection whose session has not been opened yet."""
    del state.openings[session]
    state.outbox.append(EndSession(session))


def end_session(session: SessionRow, state: State) -> None:
    """Close a session on the instance's own decision."""
    handle(SessionClosed(session.session), state)
    state.outbox.append(EndSession(session.session))


def answer_locally(session: SessionRow, state: State) -> None:
    """Answer a statement that needed no result of a database."""
    state.outbox.append(AnswerStatement(session.session, session.phase))


def deny_with_fault(
    message: SessionStatement,
    session: SessionRow,
    fault: Fault,
    detail: str,
    state: State,
) -> None:
    """Deny a statement for a fault that this instance found."""
    deny_statement(message, session, Refusal(fault, detail), state)


def deny_statement(
    message: SessionStatement, session: SessionRow, refusal: Refusal, state: State
) -> None:
    """Tell the client why a statement is refused, before an operation was started."""
    state.counters[f"sessions.denied.{refusal.fault}"] += 1
    state.log_event(
        StatementDenied(
            message.statement_id,
            session.session,
            session.workspace,
            session.database,
            session.phase,
            refusal.fault,
            refusal.detail,
            state.configuration.version,
            copy_age(state) // MILLISECOND,
        )
    )
    state.outbox.append(RefuseStatement(session.session, session.phase, refusal))


def deny_if_failed(
    message: SessionStatement, session: SessionRow, state: State
) -> bool:
    """Deny a statement in a failed transaction; return whether it was denied."""
    if session.phase is not Phase.FAILED:
        return False
    deny_with_fault(
        message, session, Fault.ABORTED, session.failure or ROLLED_BACK, state
    )
    return True


def abort_transaction(session: SessionRow, reason: str, state: State) -> None:
    """Roll back a session's transaction on the instance's own decision."""
    idle = state.clock.monotonic() - session.used_at
    group = session.route.group if session.route is not None else ""
    state.counters[f"sessions.aborted.{reason}"] += 1
    state.log_event(
        TransactionEnded(
            session.session, session.workspace, group, reason, idle // MILLISECOND
        )
    )
    end_transaction(session, state)
    session.phase = Phase.FAILED
    record_end(session, reason, state)
    if session.origin is not None:
        replies.report_rollback(session, session.origin, reason, state)


@singledispatch
def run_command(
    command: object, message: SessionStatement, session: SessionRow, state: State
) -> None:
    """Run a session's command, here or by starting an operation."""
    raise TypeError(f"no handler for {type(command).__name__}")


@run_command.register
def _(
    command: Unreadable, message: SessionStatement, session: SessionRow, state: State
) -> None:
    deny_with_fault(message, session, Fault.MALFORMED, command.detail, state)


@run_command.register
def _(
    command: SetValue, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if deny_if_failed(message, session, state):
        return
    if len(session.values) >= MAX_SESSION_ITEMS and command.name not in session.values:
        deny_with_fault(
            message,
            session,
            Fault.FAILED,
            f"a session has {MAX_SESSION_ITEMS} values",
            state,
        )
        return
    session.values[command.name] = command.value
    answer_locally(session, state)


@run_command.register
def _(
    command: Prepare, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if deny_if_failed(message, session, state):
        return
    if (
        len(session.prepared) >= MAX_SESSION_ITEMS
        and command.name not in session.prepared
    ):
        detail = f"a session has {MAX_SESSION_ITEMS} prepared statements"
        deny_with_fault(message, session, Fault.FAILED, detail, state)
        return
    session.prepared[command.name] = command
    answer_locally(session, state)


@run_command.register
def _(
    command: Deallocate, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if session.prepared.pop(command.name, None) is None:
        deny_with_fault(
            message,
            session,
            Fault.STATEMENT_UNKNOWN,
            "no such prepared statement",
            state,
        )
        return
    answer_locally(session, state)


@run_command.register
def _(
    command: Begin, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if session.phase is not Phase.IDLE:
        deny_with_fault(
            message, session, Fault.MALFORMED, "a transaction is open", state
        )
        return
    route = state.routes.get(session.database)
    if route is None:
        deny_with_fault(
            message, session, Fault.DATABASE_UNKNOWN, "there is no such database", state
        )
        return
    session_workspaces.follow(session, state)
    refusal = access_refusal(session, route, state)
    if refusal is None and not accepts_work(state):
        refusal = STOPPED
    if refusal is not None:
        deny_statement(message, session, refusal, state)
        return
    session.phase = Phase.OPEN
    session.read_only = command.read_only
    session.began_at = state.clock.monotonic()
    session.route = route
    session.wrote = session.ran = False
    session.failure = ""
    answer_locally(session, state)


@run_command.register
def _(
    command: Rollback, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if session.phase is Phase.IDLE:
        deny_with_fault(
            message, session, Fault.MALFORMED, "no transaction is open", state
        )
        return
    end_transaction(session, state)
    session.phase = Phase.IDLE
    answer_locally(session, state)


@run_command.register
def _(
    command: Commit, message: SessionStatement, session: SessionRow, state: State
) -> None:
    if session.phase is Phase.IDLE:
        deny_with_fault(
            message, session, Fault.MALFORMED, "no transaction is open", state
        )
        return
    if session.phase is Phase.FAILED:
        session.phase = Phase.IDLE
        deny_with_fault(
            message, session, Fault.ABORTED, session.failure or ROLLED_BACK, state
        )
        return
    access = Access.WRITE if session.wrote else Access.READ
    start_operation(message, session, access, "", None, state)


@run_command.register
def _(
    command: Run, message: SessionStatement, session: SessionRow, state: State
) -> None:
    start_operation(message, session, command.access, command.text, None, state)


@run_command.register
def _(
    command: Execute, message: SessionStatement, session: SessionRow, state: State
) -> None:
    shape = session.prepared.get(command.name)
    if shape is None:
        deny_with_fault(
            message,
            session,
            Fault.STATEMENT_UNKNOWN,
            "no such prepared statement",
            state,
        )
        return
    start_operation(message, session, shape.access, command.arguments, shape, state)


def start_operation(
    message: SessionStatement,
    session: SessionRow,
    access: Access,
    text: str,
    shape: Prepare | None,
    state: State,
) -> None:
    """Start the operation of a statement that a database must run."""
    if deny_if_failed(message, session, state):
        return
    in_transaction = session.phase is Phase.OPEN
    if state.stopping and not in_transaction and not accepts_work(state):
        deny_statement(message, session, STOPPED, state)
        return
    route = session.route if in_transaction else state.routes.get(session.database)
    if route is None:
        deny_with_fault(
            message, session, Fault.DATABASE_UNKNOWN, "there is no such database", state
        )
        return
    session_workspaces.follow(session, state)
    now = state.clock.monotonic()
    row = OperationRow(
        state.new_number(),
        session.session,
        message.statement_id,
        message.command,
        route,
        session.workspace,
        access,
        text,
        arrived_at=now,
        aged_from=session.began_at if in_transaction else now,
        primary_only=needs_primary(session, route, access),
        staged_at=now,
        shape=shape,
    )
    state.operations[row.operation] = row
    session.operation = row.operation
    operations.start(row, state)


def needs_primary(session: SessionRow, route: Route, access: Access) -> bool:
    """Return whether only the primary may run a statement or its transaction."""
    if route.consistency is Consistency.PRIMARY:
        return True
    if session.phase is Phase.OPEN:
        return not session.read_only
    return access is Access.WRITE


def run(state: State) -> None:
    """Abort transactions that have been idle for too long."""
    for session in list(state.sessions.values()):
        is_idle = (session.connection or session.owner) and not session.operation
        if is_idle and is_idle_too_long(session, state):
            abort_transaction(session, "idle", state)
