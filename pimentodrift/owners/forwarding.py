"""Forwards statements of this instance's sessions to the owners of their endpoints.

Once a statement was sent to an owner, only the owner's word tells that it was not run.
Without it, reads outside a transaction are placed again; a single write and a commit
are in doubt; the transaction of another statement counts as rolled back, because it is
never committed.
"""

from datetime import timedelta
from functools import singledispatch

from .. import (
    leadership,
    membership,
    operation_steps,
    peers,
    pools,
    session_workspaces,
)
from ..clock import MILLISECOND
from ..dispatch import handle, handle_peer
from ..fencing.contact import may_use_primary
from ..homes import limits
from ..log_events import OwnerLost
from ..messages import Access, Position
from ..operation_completion import access_refusal, answer, refuse, retry_event
from ..request_events import TransactionEnded
from ..session_messages import (
    Command,
    Commit,
    Execute,
    Fault,
    Phase,
    PlacementNeeded,
    Refusal,
    StepAnswered,
)
from ..session_rows import (
    Consistency,
    OperationRow,
    RegistryRow,
    Route,
    SessionRow,
    Stage,
)
from ..tables import State
from . import links
from .messages import (
    ForwardedAction,
    ForwardedRolledBack,
    ForwardedRoute,
    ForwardOutcome,
    ForwardStatement,
    StatementReply,
)
from .ownership import owner_of, owner_row
from .rows import ForwardRow

# For how long an owner that gave a statement back gets none for the endpoint, or none
# at all: as long as a new owner takes to open connections, and short for one that only
# lags behind in its copy of the configuration.
AVOIDANCE = timedelta(seconds=1)
# Owners without a connection to an endpoint, from which on it counts as failing.
FAILING_OWNERS = 2


# --- Sending


def forward(operation: OperationRow, target: RegistryRow, state: State) -> bool:
    """Send a statement to its endpoint's owner; False if this instance runs it."""
    owner = owner_of(target.name, state)
    if owner in ("", state.settings.name):
        return False
    if not limits.allows_instance(operation, owner, state):
        return False  # The owner is in another region, for want of an instance here.
    session = state.sessions[operation.session]
    operation.endpoint = target.name
    operation.attempts += 1
    if session.phase is Phase.OPEN:
        session.owner, session.owner_endpoint = owner, target.name
    send(operation, session, owner, True, state)
    return True


def continue_transaction(
    operation: OperationRow, session: SessionRow, state: State
) -> None:
    """Send a later statement of a transaction to the owner that it is pinned to."""
    refusal = access_refusal(session, operation.route, state)
    refusal = refusal or session_workspaces.moved_refusal(session, state)
    group, endpoint = operation.route.group, session.owner_endpoint
    operation.endpoint = endpoint
    if refusal is None and session.owner not in state.instances:
        detail = f"the owner of {endpoint} is gone"
        refusal = Refusal(Fault.ABORTED, detail, operation_steps.RETRY_AFTER)
    if refusal is None and not limits.allows_instance(operation, session.owner, state):
        detail = f"{endpoint} is not in an allowed region any more"
        refusal = Refusal(Fault.ABORTED, detail, operation_steps.RETRY_AFTER)
    is_fenced = not session.read_only and not may_use_primary(group, endpoint, state)
    if refusal is None and is_fenced:
        detail = f"{endpoint} is not the primary any more"
        refusal = Refusal(Fault.ABORTED, detail, operation_steps.RETRY_AFTER)
    if refusal is not None:
        refuse(operation, refusal, state)
        return
    send(operation, session, session.owner, False, state)


def send(
    operation: OperationRow,
    session: SessionRow,
    owner: str,
    is_first: bool,
    state: State,
) -> None:
    """Send a statement to an owner and record it."""
    now = state.clock.monotonic()
    route = operation.route
    state.forwards[operation.operation] = ForwardRow(operation.operation, owner, now)
    operation_steps.set_stage(operation, Stage.FORWARDED, state)
    state.counters["owners.forwarded"] += 1
    # A later statement of a transaction has the route's whole timeout at the database.
    elapsed = now - operation.arrived_at if is_first else timedelta(0)
    message = ForwardStatement(
        operation.operation,
        links.process_number(state),
        session.session,
        operation.endpoint,
        operation.workspace,
        session.key_digest,
        operation.statement_id,
        action_of(operation.command),
        operation.access,
        operation.text,
        route_values(route),
        (route.timeout - elapsed) // MILLISECOND,
        (now - operation.aged_from) // MILLISECOND,
        operation.minimum,
        operation.primary_only,
        tuple(session.values.items()),
        operation.shape.shape if operation.shape is not None else "",
        session.phase is Phase.OPEN,
        is_first,
        session.read_only and session.phase is Phase.OPEN,
        operation.asks_position,
        own_write(operation, session),
    )
    peers.send(owner, message, state)


def own_write(operation: OperationRow, session: SessionRow) -> Position | None:
    """Return the session's own write that a read must see, if any."""
    if operation.route.consistency is not Consistency.OWN_WRITES:
        return None
    return session.writes.get(operation.route.group)


def route_values(route: Route) -> ForwardedRoute:
    """Return the values of a route as a message has them."""
    return ForwardedRoute(
        route.database,
        route.group,
        route.consistency,
        route.max_staleness // MILLISECOND,
        route.timeout // MILLISECOND,
        route.objective // MILLISECOND,
        route.priority,
        route.is_open,
    )


@singledispatch
def action_of(command: Command) -> ForwardedAction:
    """Return what a statement does, as a message has it."""
    return ForwardedAction.RUN


@action_of.register
def _(command: Commit) -> ForwardedAction:
    return ForwardedAction.COMMIT


@action_of.register
def _(command: Execute) -> ForwardedAction:
    return ForwardedAction.EXECUTE


# --- Replies


@handle_peer.register
def _(message: StatementReply, sender: str, state: State) -> None:
    row = state.forwards.get(message.request)
    operation = state.operations.get(message.request)
    if row is None or operation is None or row.owner != sender:
        return
    del state.forwards[message.request]
    session = state.sessions[operation.session]
    operation_steps.update_service_time(operation, row.sent_at, state)
    match message.outcome:
        case ForwardOutcome.ANSWERED:
            on_answered(operation, session, row, message, state)
        case ForwardOutcome.REFUSED:
            on_refused(operation, message, state)
        case ForwardOutcome.RETURNED:
            on_returned(operation, session, row, message, state)


def on_answered(
    operation: OperationRow,
    session: SessionRow,
    row: ForwardRow,
    message: StatementReply,
    state: State,
) -> None:
    """Record what an answer tells of the session and the primary, and pass it on."""
    group = operation.route.group
    is_commit = isinstance(operation.command, Commit)
    is_write = operation.access is Access.WRITE
    if message.primary_position is not None:
        leadership.record_proof(
            group, operation.endpoint, message.primary_position, row.sent_at, state
        )
    if session.phase is Phase.OPEN and not is_commit:
        session.wrote = session.wrote or is_write
        session.ran = True
    elif is_write and message.position is not None:
        session.writes[group] = message.position
    if is_commit:
        session.phase = Phase.IDLE
        session.owner = session.owner_endpoint = ""
    result = StepAnswered(
        0, session.phase, message.rows, message.signature, message.position
    )
    answer(operation, result, state)


def on_refused(operation: OperationRow, message: StatementReply, state: State) -> None:
    """Tell the client why a statement has no result."""
    delay = None
    if message.retry_after_ms >= 0:
        delay = message.retry_after_ms * MILLISECOND
    fault = message.fault or Fault.FAILED
    operation_steps.record_endpoint_fault(
        operation.route.group, operation.endpoint, fault, state
    )
    refuse(operation, Refusal(fault, message.detail, delay), state)


def on_returned(
    operation: OperationRow,
    session: SessionRow,
    row: ForwardRow,
    message: StatementReply,
    state: State,
) -> None:
    """Place a statement again that certainly did not run."""
    endpoint = operation.endpoint
    if message.lacks_position:
        operation.primary_only = True
    elif message.is_busy:
        operation.tried.add(endpoint)
        operation.busy_retry_after = message.retry_after_ms * MILLISECOND
    elif message.is_owner_unfit:
        avoid(row.owner, "", state)
    elif message.fault in (Fault.BEHIND, Fault.READ_ONLY):
        operation_steps.record_endpoint_fault(
            operation.route.group, endpoint, message.fault, state
        )
        operation.tried.add(endpoint)
    else:
        avoid(row.owner, endpoint, state)
        operation.tried.add(endpoint)
    if message.is_endpoint_failing:
        record_failing(operation, state)
    fault = message.fault or Fault.OVERLOADED
    state.log_event(retry_event(operation, fault, message.detail, state))
    place_again(operation, session, Refusal(fault, message.detail), state)


def record_failing(operation: OperationRow, state: State) -> None:
    """Record that an endpoint fails once two owners have got no connection to it.

    `operations` then holds what only this endpoint can run, until `promotion` has
    replaced it or a connection shows that it answers.
    """
    operation.failing_owners += 1
    pool = state.pools.get(operation.endpoint)
    if pool is None or operation.failing_owners < FAILING_OWNERS:
        return
    if pool.failing_since is None:
        now = state.clock.monotonic()
        pools.record_failure_start(pool, now, pools.UNREACHABLE, state)
        pools.probe(pool, state)


def place_again(
    operation: OperationRow, session: SessionRow, refusal: Refusal, state: State
) -> None:
    """Place a statement again, within the limit of attempts.

    A transaction in which another statement has run can't move to another owner.
    """
    session.owner = session.owner_endpoint = ""
    if session.phase is Phase.OPEN and (session.ran or session.wrote):
        refusal = Refusal(Fault.ABORTED, "the transaction was rolled back")
    elif operation.attempts < operation_steps.MAX_ATTEMPTS:
        handle(PlacementNeeded(operation.operation), state)
        return
    delay = operation_steps.RETRY_AFTER
    refuse(operation, Refusal(refusal.fault, refusal.detail, delay), state)


def avoid(owner: str, endpoint: str, state: State) -> None:
    """Give an owner no statements for an endpoint for a while; "" means all."""
    until = state.clock.monotonic() + AVOIDANCE
    owner_row(owner, state).avoided[endpoint] = until


# --- Rollbacks and losses


@handle_peer.register
def _(message: ForwardedRolledBack, sender: str, state: State) -> None:
    session = state.sessions.get(message.session)
    if session is None or message.process != state.process:
        return
    # A statement in flight is answered by the owner, which knows the transaction
    # no more.
    if session.owner != sender or session.operation:
        return
    session.owner = session.owner_endpoint = ""
    session.phase = Phase.FAILED
    log_rollback(session, message.reason, state)


def log_rollback(session: SessionRow, reason: str, state: State) -> None:
    """Count and log that a transaction was rolled back at its owner."""
    group = session.route.group if session.route is not None else ""
    state.counters[f"sessions.aborted.{reason}"] += 1
    state.log_event(
        TransactionEnded(session.session, session.workspace, group, reason, 0)
    )


def lose_owner(owner: str, unsent: frozenset[int], state: State) -> None:
    """Settle the statements and transactions at a lost owner."""
    rows = [row for row in state.forwards.values() if row.owner == owner]
    pinned = [item for item in state.sessions.values() if item.owner == owner]
    if not rows and not pinned:
        return
    # A suspected instance is usable again once it answers a ping of a contact.
    membership.track_contact(owner, state)
    avoid(owner, "", state)
    state.counters["owners.lost"] += 1
    state.log_event(OwnerLost(owner, len(rows), len(pinned)))
    for row in rows:
        settle(row, row.operation in unsent, state)
    for session in pinned:
        if session.owner == owner and not session.operation:
            session.owner = session.owner_endpoint = ""
            session.phase = Phase.FAILED
            log_rollback(session, "owner-lost", state)


def settle(row: ForwardRow, is_unsent: bool, state: State) -> None:
    """End or place again a statement of which no word of its owner will come."""
    state.forwards.pop(row.operation, None)
    operation = state.operations.get(row.operation)
    if operation is None:
        return
    session = state.sessions[operation.session]
    # If the owner only was slow, it drops what it has not begun.
    links.close_at_owner(row.owner, session.session, state)
    session.owner = session.owner_endpoint = ""
    detail = f"the owner of {operation.endpoint} does not answer"
    is_open = session.phase is Phase.OPEN
    is_read = operation.access is Access.READ and not is_open
    if is_unsent or is_read:
        lost = Refusal(Fault.OVERLOADED, detail)
        place_again(operation, session, lost, state)
        return
    refusal = operation_steps.loss_refusal(operation, session)
    refuse(operation, Refusal(refusal.fault, detail, refusal.retry_after), state)
