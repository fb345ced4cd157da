"""Runs a statement on its pooled connection: sends the steps and handles the answers.

A statement that a database certainly did not run is placed again; one that may have
run is retried only if it is a read outside a transaction.
"""

from datetime import timedelta

from . import connection_setup, leadership, pools, session_workspaces
from .dispatch import handle
from .ejection import results
from .evacuation import permissions
from .fencing.contact import may_use_primary
from .fencing.coordination import record_refusal
from .fencing.messages import DemoteEndpoint
from .homes.limits import allows_connection
from .messages import Access, Position
from .operation_completion import (
    access_refusal,
    answer,
    end_transaction,
    refuse,
    retry_event,
    send_steps,
)
from .owners import replies
from .owners.rows import PrimaryProven
from .request_events import TransactionEnded
from .service_order import serving
from .service_order.transactions import record_end
from .session_messages import (
    NOT_RUN,
    ApplyStep,
    BeginWork,
    Commit,
    CommitWork,
    ConnectionAssigned,
    EndWork,
    Fault,
    OperationLost,
    Phase,
    PlacementNeeded,
    Refusal,
    RunPrepared,
    RunStatement,
    StepAnswered,
    TransactionLost,
)
from .session_rows import OperationRow, PooledRow, SessionRow, Stage
from .tables import State
from .warmup import statements

MAX_ATTEMPTS = 4  # Each endpoint of a group of three once, and one of them again.
# A replica whose log was behind gets no reads for this long.
BEHIND_BACKOFF = timedelta(milliseconds=150)
SERVICE_WEIGHT = 0.1  # Of the newest sample in the average service time.
# A database needs no slot to begin a transaction, so it answers after a round trip.
BEGIN_TIMEOUT = timedelta(milliseconds=500)
# Told to the client of a refused statement: the time of a few queued statements.
RETRY_AFTER = timedelta(milliseconds=200)


def set_stage(operation: OperationRow, stage: Stage, state: State) -> None:
    """Set the stage of a statement and record when it began."""
    operation.stage = stage
    operation.staged_at = state.clock.monotonic()


# --- Sending the steps of a statement


@handle.register
def _(message: ConnectionAssigned, state: State) -> None:
    operation = state.operations[message.operation]
    connection = state.pooled[message.connection]
    start_on_connection(operation, connection, state)


def start_on_connection(
    operation: OperationRow, connection: PooledRow, state: State
) -> None:
    """Start a statement on the connection assigned to it, if it may still run there."""
    session = state.sessions[operation.session]
    refusal = access_refusal(session, operation.route, state)
    if refusal is not None:
        refuse(operation, refusal, state)
        pools.release(connection, state)
        return
    if session_workspaces.has_moved(session, state):
        pools.release(connection, state)
        handle(PlacementNeeded(operation.operation), state)
        return
    # Without a minimum position, only the group's primary may run the statement.
    connection.needs_primary = operation.minimum is None
    if not permissions.may_send(connection, state):
        # Releasing it would assign it to the next waiting statement, and so on.
        pools.close_connection(connection, state)
        handle(PlacementNeeded(operation.operation), state)
        return
    if is_fenced(connection, state) or not allows_connection(
        operation.route, operation.workspace, connection, state
    ):
        pools.release(connection, state)
        handle(PlacementNeeded(operation.operation), state)
        return
    if not statements.spend_for(operation, connection, state):
        if statements.should_move(operation, connection.endpoint):
            pools.release(connection, state)
            handle(PlacementNeeded(operation.operation), state)
        else:
            statements.wait_for_token(operation, connection, state)
        return
    operation.connection = connection.connection
    send_first_steps(operation, session, connection, state)


def is_fenced(connection: PooledRow, state: State) -> bool:
    """Return whether work of a statement must not run on a connection any more.

    Its endpoint is evacuated, or was replaced as the primary that the work needs.
    """
    if not permissions.may_send(connection, state):
        return True
    if not connection.needs_primary:
        return False
    group, endpoint = connection.group, connection.endpoint
    if not connection.session and permissions.is_held(group, endpoint, state):
        return True
    return not may_use_primary(group, endpoint, state)


def send_first_steps(
    operation: OperationRow, session: SessionRow, connection: PooledRow, state: State
) -> None:
    """Send the first steps of a statement on a connection just assigned to it."""
    steps = connection_setup.value_steps(session, connection)
    # Without a minimum position, a read runs in a read-write transaction: only the
    # primary begins one.
    is_guarded = operation.access is Access.READ and operation.minimum is None
    if session.phase is Phase.OPEN:
        session.connection = connection.connection
        connection.session = session.session
        is_replica_work = session.read_only and operation.minimum is not None
        steps.append(BeginWork(is_replica_work, operation.minimum))
    elif is_guarded:
        steps.append(BeginWork())
    else:
        send_statement(operation, connection, steps, operation.minimum, state)
        return
    set_stage(operation, Stage.BEGINNING, state)
    send_steps(connection, steps, state)


def send_statement(
    operation: OperationRow,
    connection: PooledRow,
    steps: list[ApplyStep],
    minimum: Position | None,
    state: State,
) -> None:
    """Send a client's statement after the steps that set up the connection for it."""
    if operation.shape is not None:
        steps += connection_setup.prepare_steps(operation.shape, connection)
    steps.append(statement_step(operation, connection, minimum))
    set_stage(operation, Stage.RUNNING, state)
    send_steps(connection, steps, state)


def statement_step(
    operation: OperationRow, connection: PooledRow, minimum: Position | None
) -> ApplyStep:
    """Return the step that carries a client's statement."""
    if isinstance(operation.command, Commit):
        return CommitWork(operation.statement_id)
    shape = operation.shape
    if shape is not None:
        name = connection.shapes[shape.access, shape.shape]
        return RunPrepared(operation.statement_id, name, operation.text, minimum)
    return RunStatement(operation.statement_id, operation.text, minimum)


def continue_transaction(
    operation: OperationRow, session: SessionRow, state: State
) -> None:
    """Send a statement on the connection of its transaction."""
    refusal = access_refusal(session, operation.route, state)
    refusal = refusal or session_workspaces.moved_refusal(session, state)
    if refusal is not None:
        refuse(operation, refusal, state)
        return
    connection = state.pooled[session.connection]
    if not allows_connection(operation.route, operation.workspace, connection, state):
        detail = f"{connection.endpoint} is not in an allowed region any more"
        refuse(operation, Refusal(Fault.ABORTED, detail, RETRY_AFTER), state)
        return
    if is_fenced(connection, state):
        detail = permissions.evacuation_detail(connection.endpoint, state) or (
            f"{connection.endpoint} is not the primary any more"
        )
        refuse(operation, Refusal(Fault.ABORTED, detail, RETRY_AFTER), state)
        return
    if not statements.spend_for(operation, connection, state):
        statements.wait_for_token(operation, connection, state)
        return
    connection.operation = operation.operation
    operation.connection = connection.connection
    operation.endpoint = connection.endpoint
    steps = connection_setup.value_steps(session, connection)
    send_statement(operation, connection, steps, None, state)


def resume_cold(operation: OperationRow, state: State) -> None:
    """Send a statement that waited for a token of a cold endpoint."""
    connection = state.pooled[operation.connection]
    session = state.sessions[operation.session]
    stage, operation.cold_stage = operation.cold_stage, None
    operation.has_cold_token = True
    set_stage(operation, stage or Stage.QUEUED, state)
    if stage is Stage.BEGINNING:
        run_after_begin(connection, operation, state)
    elif session.connection:
        continue_transaction(operation, session, state)
    else:
        start_on_connection(operation, connection, state)


# --- Answers to steps


@handle.register
def _(message: StepAnswered, state: State) -> None:
    connection = state.pooled.get(message.connection)
    if connection is None:
        return
    if not connection.steps:
        break_connection(connection, state)
        return
    step, sent_at = connection.steps.popleft()
    pool = state.pools.get(connection.endpoint)
    if pool is not None:
        pool.answered_at = state.clock.monotonic()
    operation = state.operations.get(connection.operation)
    match step:
        case BeginWork():
            if message.fault is None and not step.read_only:
                record_primary(connection, message, sent_at, state)
            elif message.fault is Fault.READ_ONLY:
                group, endpoint = connection.group, connection.endpoint
                record_refusal(group, endpoint, sent_at, state)
            if operation is not None:
                on_transaction_begun(connection, operation, message, state)
        case RunStatement() | RunPrepared() | CommitWork():
            if operation is not None:
                on_statement_run(connection, operation, sent_at, message, state)
        case EndWork() | DemoteEndpoint():
            pass  # Refused if no transaction is open, or if the term is too low.
        case _ if message.fault is not None:
            break_connection(connection, state)
            return
    if connection.releasing and not connection.steps:
        pools.release(connection, state)


def record_primary(
    connection: PooledRow, message: StepAnswered, sent_at: timedelta, state: State
) -> None:
    """Record that the endpoint was its group's primary after a step was sent."""
    leadership.record_proof(
        connection.group, connection.endpoint, message.position, sent_at, state
    )
    if connection.group in state.positions:
        handle(PrimaryProven(connection.group), state)


def break_connection(connection: PooledRow, state: State) -> None:
    """Close a connection whose state is no longer known, and notify its users."""
    state.counters["pools.broken"] += 1
    pools.close_connection(connection, state)
    pools.notify_users(connection, state)


def on_transaction_begun(
    connection: PooledRow,
    operation: OperationRow,
    message: StepAnswered,
    state: State,
) -> None:
    """Send a statement once its transaction has begun, or place or refuse it."""
    if message.fault is not None:
        retry_elsewhere(operation, connection, message, state)
        return
    run_after_begin(connection, operation, state)


def run_after_begin(
    connection: PooledRow, operation: OperationRow, state: State
) -> None:
    """Send a statement whose transaction has begun, if it may still run there."""
    session = state.sessions[operation.session]
    may_run = allows_connection(
        operation.route, operation.workspace, connection, state
    ) and not session_workspaces.has_moved(session, state)
    if is_fenced(connection, state) or not may_run:
        if not permissions.may_send(connection, state):
            pools.close_connection(connection, state)
        elif not connection.session:
            send_steps(connection, [EndWork()], state)
        retry_elsewhere(operation, connection, None, state)
        return
    refusal = access_refusal(session, operation.route, state)
    if refusal is not None:
        if not connection.session:
            send_steps(connection, [EndWork()], state)
            pools.release(connection, state)
        refuse(operation, refusal, state)
        return
    if not statements.spend_for(operation, connection, state):
        statements.wait_for_token(operation, connection, state)
        return
    send_statement(operation, connection, [], None, state)
    if not connection.session:
        send_steps(connection, [EndWork()], state)


def on_statement_run(
    connection: PooledRow,
    operation: OperationRow,
    sent_at: timedelta,
    message: StepAnswered,
    state: State,
) -> None:
    """Answer a statement, or place it again if it certainly did not run."""
    results.record_answer(operation, connection, sent_at, message.fault, state)
    if message.fault is not None:
        on_statement_failed(connection, operation, message, state)
        return
    update_service_time(operation, sent_at, state)
    session = state.sessions[operation.session]
    is_commit = isinstance(operation.command, Commit)
    is_write = operation.access is Access.WRITE
    if connection.session and not is_commit:
        session.wrote = session.wrote or is_write
        session.ran = True
        answer(operation, message, state)
        return
    if session.wrote if is_commit else is_write:
        record_primary(connection, message, sent_at, state)
        if message.position is not None:
            session.writes[connection.group] = message.position
    if is_commit:
        session.phase = Phase.IDLE
        session.connection = 0
    # The connection is released before the answer, so that the session's next statement
    # can use it.
    pools.release(connection, state)
    answer(operation, message, state)


def update_service_time(
    operation: OperationRow, sent_at: timedelta, state: State
) -> None:
    """Update the moving average of the time that statements take at an endpoint."""
    pool = state.pools.get(operation.endpoint)
    if pool is None:
        return
    now = state.clock.monotonic()
    elapsed = max(timedelta(0), now - sent_at - (pool.round_trip or timedelta(0)))
    pool.service += (elapsed - pool.service) * SERVICE_WEIGHT
    pool.service_at = now
    serving.record_time(operation, sent_at, pool, state)


def on_statement_failed(
    connection: PooledRow,
    operation: OperationRow,
    message: StepAnswered,
    state: State,
) -> None:
    """Place a statement again, or answer the client with the database's error."""
    session = state.sessions[operation.session]
    fault = message.fault or Fault.FAILED
    is_first = not connection.session or not (session.ran or session.wrote)
    if is_first and fault in NOT_RUN and operation.attempts < MAX_ATTEMPTS:
        retry_elsewhere(operation, connection, message, state)
        return
    record_fault(connection, fault, state)
    if not connection.session:
        pools.release(connection, state)
    refuse(operation, Refusal(fault, message.detail, RETRY_AFTER), state)


def record_fault(connection: PooledRow, fault: Fault, state: State) -> None:
    """Record what a database's error tells about its endpoint."""
    state.counters[f"endpoints.{fault}"] += 1
    record_endpoint_fault(connection.group, connection.endpoint, fault, state)


def record_endpoint_fault(
    group: str, endpoint: str, fault: Fault, state: State
) -> None:
    """Record that an endpoint isn't the primary, or that its log is behind."""
    pool = state.pools.get(endpoint)
    if fault is Fault.READ_ONLY:
        leadership.record_denial(group, endpoint, state)
    if fault is Fault.BEHIND and pool is not None:
        pool.behind_until = state.clock.monotonic() + BEHIND_BACKOFF


def retry_elsewhere(
    operation: OperationRow,
    connection: PooledRow,
    message: StepAnswered | None,
    state: State,
) -> None:
    """Place a statement again that certainly did not run, within MAX_ATTEMPTS.

    `message` is the answer with the fault; None if this instance decided it.
    """
    fault = (message.fault if message is not None else None) or Fault.FAILED
    detail = message.detail if message is not None else ""
    operation.fault = fault
    record_fault(connection, fault, state)
    state.log_event(retry_event(operation, fault, detail, state))
    operation.tried.add(connection.endpoint)
    operation.connection = 0
    session = state.sessions[operation.session]
    if connection.session:
        end_transaction(session, state)
    else:
        pools.release(connection, state)
    if operation.attempts >= MAX_ATTEMPTS:
        refuse(operation, Refusal(fault, detail, RETRY_AFTER), state)
        return
    handle(PlacementNeeded(operation.operation), state)


# --- Lost connections and endpoints


@handle.register
def _(message: OperationLost, state: State) -> None:
    operation = state.operations.get(message.operation)
    if operation is None:
        return
    session = state.sessions[operation.session]
    is_waiting_inside = operation.stage is Stage.COLD and bool(session.connection)
    if operation.stage is Stage.COLD:
        statements.cancel_wait(operation, state)
    session.connection = 0
    operation.connection = 0
    if is_waiting_inside:
        detail = f"the connection to {operation.endpoint} was lost"
        refuse(operation, Refusal(Fault.ABORTED, detail, RETRY_AFTER), state)
        return
    if operation.stage is not Stage.RUNNING:
        retry_after_loss(operation, state)
        return
    in_transaction = session.phase is Phase.OPEN
    if not in_transaction and operation.access is Access.READ:
        retry_after_loss(operation, state)
        return
    refuse(operation, loss_refusal(operation, session), state)


def retry_after_loss(operation: OperationRow, state: State) -> None:
    """Place a statement again after its connection or endpoint was lost."""
    operation.tried.add(operation.endpoint)
    operation.fault = Fault.OVERLOADED
    if operation.attempts >= MAX_ATTEMPTS:
        detail = "the connections to the endpoints were lost"
        refuse(operation, Refusal(Fault.OVERLOADED, detail, RETRY_AFTER), state)
        return
    handle(PlacementNeeded(operation.operation), state)


def loss_refusal(operation: OperationRow, session: SessionRow) -> Refusal:
    """Return the refusal of a statement whose connection was lost while it may run."""
    detail = f"the connection to {operation.endpoint} was lost"
    if operation.timed_out:
        detail = f"{operation.endpoint} did not answer in time"
    if session.phase is not Phase.OPEN:
        is_timeout = operation.timed_out
        return Refusal(Fault.TIMED_OUT if is_timeout else Fault.IN_DOUBT, detail)
    if isinstance(operation.command, Commit) and session.wrote:
        return Refusal(Fault.IN_DOUBT, detail)
    return Refusal(Fault.ABORTED, detail, RETRY_AFTER)


@handle.register
def _(message: TransactionLost, state: State) -> None:
    session = state.sessions.get(message.session)
    if session is not None:
        session.connection = 0
        session.phase = Phase.FAILED
        record_end(session, "connection-lost", state)
        group = session.route.group if session.route is not None else ""
        state.counters["sessions.aborted.connection-lost"] += 1
        state.log_event(
            TransactionEnded(
                session.session, session.workspace, group, "connection-lost", 0
            )
        )
        if session.origin is not None:
            replies.report_rollback(session, session.origin, "connection-lost", state)


def check_timeout(operation: OperationRow, state: State) -> None:
    """Close a connection whose endpoint does not answer within the route's timeout."""
    now = state.clock.monotonic()
    timeout = operation.route.timeout
    if operation.stage is Stage.BEGINNING:
        timeout = min(timeout, BEGIN_TIMEOUT)
    if now - operation.staged_at <= timeout:
        return
    connection = state.pooled.get(operation.connection)
    if connection is None:
        return
    operation.timed_out = True
    results.record_loss(connection, Fault.TIMED_OUT, state)
    state.counters["operations.timed_out"] += 1
    pool = state.pools.get(connection.endpoint)
    if pool is not None and pool.answered_at < operation.staged_at:
        pools.record_failure_start(pool, operation.staged_at, Fault.TIMED_OUT, state)
        pools.record_failure(pool, Fault.TIMED_OUT, state)
    pools.close_connection(connection, state)
    pools.notify_users(connection, state)
