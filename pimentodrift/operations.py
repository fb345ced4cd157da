"""Admission and placement of a session's statements: rate limit, endpoint and queue.

A statement that a database certainly did not run is retried elsewhere; one that may
have run is retried only if it is a read. A statement that cannot be served soon is
refused at once, with the time after which the client should retry.
"""

from datetime import timedelta

from . import (
    leadership,
    operation_steps,
    placement,
    pools,
    rates,
    registry,
    session_workspaces,
)
from .dispatch import handle
from .ejection import judgement
from .errors import Failure, Problem
from .evacuation import permissions
from .fencing import contact
from .homes import limits, sampling
from .messages import Position
from .operation_completion import access_refusal, refuse
from .owners import affinity, forwarding, overdue, ownership, positions, replies
from .policies import Policy
from .queue_policy import (
    MIN_RETRY_AFTER,
    Queue,
    QueuePolicy,
    arrival_retry_after,
    is_wait_over,
    max_wait,
    token_retry_after,
)
from .rate_waiters import on_admitted, on_refused
from .service_order import selection, serving
from .session_messages import EndpointFailed, Fault, PlacementNeeded, Refusal
from .session_rows import (
    Consistency,
    OperationRow,
    PoolRow,
    RegistryRow,
    Stage,
)
from .tables import State
from .warmup import samples, statements

BUSY = "the queues of the endpoints take longer than the objective allows"
RATE_EXCEEDED = "the workspace is over its rate"
RATE_UNCONFIRMED = "no allocator confirms the rate of the workspace"
# A sample that is nearly too old for a read is not used, because the read also takes
# time to reach the endpoint; the primary serves the read.
SAMPLE_MARGIN = timedelta(milliseconds=50)
# Covers the detection of a failed primary and the promotion of a new one. Meanwhile
# statements are held: a client that retried sooner would not be served either.
HOLD_LIMIT = timedelta(milliseconds=3500)
# Round trips to another data centre and within this one, assumed until connections have
# measured them; the first value is typical of another region.
DISTANT_ROUND_TRIP = timedelta(milliseconds=40)
NEAR_ROUND_TRIP = timedelta(milliseconds=1)
# A service time is stale after this long without an update; the typical one is assumed.
SERVICE_LIFETIME = timedelta(seconds=2)
TYPICAL_SERVICE = timedelta(milliseconds=20)


# --- Start of a statement


def start(operation: OperationRow, state: State) -> None:
    """Start a statement; of a transaction, only the first one takes a rate token."""
    session = state.sessions[operation.session]
    if session.connection:
        operation_steps.continue_transaction(operation, session, state)
        return
    if session.owner:
        forwarding.continue_transaction(operation, session, state)
        return
    refusal = limits.region_refusal(operation, state)
    if refusal is not None:
        refuse(operation, refusal, state)
        return
    if not operation.workspace or rates.take_token(operation.workspace, state):
        place(operation, state)
        return
    route = operation.route
    priority = route.priority if state.settings.uses(Policy.TOKEN_PRIORITY) else 0
    bounds_waits = state.settings.uses(Policy.FLOOD_REFUSAL)
    wait = None
    if bounds_waits:
        wait = rates.expected_wait(operation.workspace, priority, state)
    delay = token_retry_after(wait, route.objective)
    if delay is not None:
        state.counters["operations.refused_by_rate"] += 1
        refuse(operation, Refusal(Fault.OVERLOADED, RATE_EXCEEDED, delay), state)
        return
    operation_steps.set_stage(operation, Stage.RATE, state)
    # `rates` may refuse the statement before this deadline, by its own limits.
    deadline = operation.arrived_at + route.timeout
    patience = max_wait(configured_policy(state), route.objective, route.timeout)
    rates.queue_for_token(
        operation.workspace,
        operation.operation,
        deadline,
        state,
        priority,
        patience if bounds_waits else None,
    )


@on_admitted.register
def _(row: OperationRow, state: State) -> None:
    if row.stage is Stage.RATE:
        place(row, state)
    elif row.stage is Stage.COLD:
        operation_steps.resume_cold(row, state)


@on_refused.register
def _(row: OperationRow, failure: Failure, state: State) -> None:
    if row.stage is Stage.COLD:
        if statements.on_cold_refused(row, failure, state):
            operation_steps.resume_cold(row, state)
        return
    session = state.sessions[row.session]
    if session_workspaces.has_moved(session, state):
        admit_again(row, state)
        return
    is_unconfirmed = failure.problem is Problem.RATE_UNCONFIRMED
    detail = RATE_UNCONFIRMED if is_unconfirmed else RATE_EXCEEDED
    refuse(row, Refusal(Fault.OVERLOADED, detail, failure.retry_after), state)


def admit_again(operation: OperationRow, state: State) -> None:
    """Admit a statement whose session's key has moved within its new workspace's rate.

    The token that it may have taken is lost.
    """
    session_workspaces.move(operation, state.sessions[operation.session], state)
    start(operation, state)


# --- Placement of a statement on an endpoint


def place(operation: OperationRow, state: State) -> None:
    """Queue a statement at an endpoint, or hold or refuse it."""
    operation.has_cold_token = False  # It was for the endpoint before.
    session = state.sessions[operation.session]
    if session.origin is not None:
        replies.return_operation(operation, session, session.origin, state)
        return
    refusal = access_refusal(session, operation.route, state)
    refusal = refusal or limits.region_refusal(operation, state)
    if refusal is not None:
        refuse(operation, refusal, state)
        return
    if session_workspaces.has_moved(session, state):
        admit_again(operation, state)
        return
    target = choose_endpoint(operation, state)
    if target is None:
        hold_or_refuse(operation, state)
        return
    if forwarding.forward(operation, target, state):
        return
    if operation.asks_position:
        operation.endpoint = target.name
        operation.own_write = forwarding.own_write(operation, session)
        positions.resolve(operation, state)
        return
    queue_at(operation, target, state)


def hold_or_refuse(operation: OperationRow, state: State) -> None:
    """Hold a statement that no endpoint can serve now; refuse it if that won't help."""
    if operation.busy_retry_after is not None:
        refusal = Refusal(Fault.OVERLOADED, BUSY, operation.busy_retry_after)
        refuse(operation, refusal, state)
    elif not refuse_evacuated(operation, state):
        hold(operation, state)


def queue_at(operation: OperationRow, target: RegistryRow, state: State) -> None:
    """Queue a statement for a connection to an endpoint, or refuse it."""
    pool = state.pools[target.name]
    refusal = arrival_refusal(operation, pool, state)
    origin = state.sessions[operation.session].origin
    if refusal is not None and origin is not None and operation.minimum is not None:
        delay = refusal.retry_after or MIN_RETRY_AFTER
        replies.return_busy(operation, delay, state)
        return
    if refusal is not None:
        state.counters["operations.refused_on_arrival"] += 1
        refuse(operation, refusal, state)
        return
    if operation.stage is not Stage.QUEUED or operation.endpoint != target.name:
        operation.queued_at = state.clock.monotonic()
    operation.endpoint = target.name
    operation.attempts += 1
    operation_steps.set_stage(operation, Stage.QUEUED, state)
    pools.enqueue(operation, pool, state)


def arrival_refusal(
    operation: OperationRow, pool: PoolRow, state: State
) -> Refusal | None:
    """Return why and until when a queue refuses a statement; None if it may wait."""
    if selection.is_ordered(pool, state):
        return serving.refusal_for(operation, pool, state)
    policy = selection.policy_for(pool, state)
    queue, objective = queue_of(pool, state), operation.route.objective
    delay = arrival_retry_after(policy, queue, objective)
    if delay is None:
        return None
    detail = f"the queue of {pool.endpoint} takes longer than the objective allows"
    return Refusal(Fault.OVERLOADED, detail, delay)


def queue_of(pool: PoolRow, state: State) -> Queue:
    """Return the queue of an endpoint as `queue_policy` sees it."""
    return Queue(
        pools.waiting_count(pool), len(pool.connections), service_time(pool, state)
    )


def configured_policy(state: State) -> QueuePolicy:
    """Return the queue policy that the settings name."""
    return QueuePolicy(state.settings.queue_policy)


def service_time(pool: PoolRow, state: State) -> timedelta:
    """Return the average time of a statement at an endpoint, or the typical time."""
    age = state.clock.monotonic() - pool.service_at
    return pool.service if age <= SERVICE_LIFETIME else TYPICAL_SERVICE


def choose_endpoint(operation: OperationRow, state: State) -> RegistryRow | None:
    """Return the endpoint for a statement, or None; set the statement's `minimum`."""
    group = operation.route.group
    operation.minimum = None
    operation.asks_position = False
    if not operation.primary_only:
        operation.minimum = minimum_position(operation, state)
        operation.asks_position = positions.can_ask(operation, state)
    if operation.minimum is None and not operation.asks_position:
        if samples.should_ask(operation, state):
            return None
        return usable_primary(group, operation, state)
    rows = [
        row
        for row in registry.group_members(group, state)
        if is_candidate(row, operation, state)
    ]
    rows = statements.prefer_usable(operation, rows, state)
    best = placement.choose(make_candidate(row, operation, state) for row in rows)
    if best is None and operation.asks_position:
        operation.asks_position = False
        is_busy = operation.busy_retry_after is not None
        return None if is_busy else usable_primary(group, operation, state)
    return state.registry[best.endpoint] if best is not None else None


def usable_primary(
    group: str, operation: OperationRow, state: State
) -> RegistryRow | None:
    """Return the group's primary if it can be given a statement now."""
    row = leadership.primary(group, state)
    if row is None or not registry.accepts_work(row, True, state):
        return None
    if not limits.allows_endpoint(operation, row, state):
        return None
    if not contact.may_use_primary(group, row.name, state):
        return None
    if permissions.is_held(group, row.name, state):
        return None
    # `promotion` probes a failing primary; a statement would only wait for the outcome.
    return row if state.pools[row.name].failing_since is None else None


def is_candidate(row: RegistryRow, operation: OperationRow, state: State) -> bool:
    """Return whether an endpoint may be sent a read with a minimum position."""
    pool = state.pools[row.name]
    if operation.asks_position and not positions.is_replica(row, state):
        return False
    if row.name in operation.tried or not pools.is_available(pool, state):
        return False
    if judgement.is_ejected(row.name, state):
        return False
    is_primary = leadership.row_of(row.entry.group, state).primary == row.name
    if not is_primary and state.clock.monotonic() < pool.behind_until:
        return False
    if not limits.allows_endpoint(operation, row, state):
        return False
    return registry.accepts_work(row, False, state)


def make_candidate(
    row: RegistryRow, operation: OperationRow, state: State
) -> placement.Candidate:
    """Return an endpoint with the estimates that placement compares."""
    pool = state.pools[row.name]
    if selection.is_ordered(pool, state):
        return serving.candidate(operation, pool, state)
    is_near = row.entry.data_centre == state.settings.data_centre
    assumed = NEAR_ROUND_TRIP if is_near else DISTANT_ROUND_TRIP
    round_trip = pool.round_trip or assumed
    has_idle = any(
        connection.workspace == operation.workspace
        for connection in pools.idle_connections(pool, state)
    )
    connect_time = timedelta(0) if has_idle else 2 * round_trip
    if ownership.has_owner(row.entry.group, state):
        connect_time = affinity.detour(row, operation.workspace, state)
    return placement.Candidate(
        row.name,
        min(round_trip, assumed),
        connect_time,
        service_time(pool, state),
        pools.outstanding_count(pool, state),
        row.entry.slots,
    )


def minimum_position(operation: OperationRow, state: State) -> Position | None:
    """Return the position that an endpoint must have for a read; None if unknown."""
    route = operation.route
    since = operation.aged_from - route.max_staleness + SAMPLE_MARGIN
    sampled = leadership.confirmed_position(route.group, since, state)
    session = state.sessions.get(operation.session)
    if sampled is None or session is None:
        return None
    own_write = session.writes.get(route.group)
    if route.consistency is Consistency.OWN_WRITES and own_write is not None:
        # A position of a later term covers all writes that were kept of earlier terms.
        return max(sampled, own_write)
    return sampled


def refuse_evacuated(operation: OperationRow, state: State) -> bool:
    """Refuse a statement if every endpoint that could run it is evacuated."""
    endpoint = permissions.stuck_primary(operation.route.group, state)
    if not endpoint:
        return False
    detail = permissions.evacuation_detail(endpoint, state)
    state.counters["evacuation.refused"] += 1
    refusal = Refusal(Fault.OVERLOADED, detail, permissions.RETRY_AFTER)
    refuse(operation, refusal, state)
    return True


def hold(operation: OperationRow, state: State) -> None:
    """Keep a statement until an endpoint can serve it."""
    refusal = sampling.request_sample(operation, state)
    if refusal is not None:
        refuse(operation, refusal, state)
        return
    samples.ask(operation, state)
    if operation.stage is not Stage.HELD:
        operation_steps.set_stage(operation, Stage.HELD, state)
        state.counters["operations.held"] += 1


@handle.register
def _(message: PlacementNeeded, state: State) -> None:
    operation = state.operations.get(message.operation)
    if operation is not None:
        place(operation, state)


@handle.register
def _(message: EndpointFailed, state: State) -> None:
    pool = state.pools.get(message.endpoint)
    if pool is None:
        return
    queues, pool.waiting = pool.waiting, {}
    for queue in queues.values():
        for number in queue:
            operation = state.operations[number]
            operation.tried.add(message.endpoint)
            place(operation, state)


# --- Checks of waiting and running statements at each tick


def run(state: State) -> None:
    """Place held statements and end those that have waited or run for too long."""
    for operation in list(state.operations.values()):
        if operation.operation not in state.operations:
            continue
        match operation.stage:
            case Stage.HELD:
                check_held(operation, state)
            case Stage.QUEUED:
                check_queued(operation, state)
            case Stage.BEGINNING | Stage.RUNNING:
                operation_steps.check_timeout(operation, state)
            case Stage.POSITION:
                positions.check(operation, state)
            case Stage.FORWARDED:
                overdue.check(operation, state)


def check_held(operation: OperationRow, state: State) -> None:
    """Place a held statement if it can be served now; refuse it after HOLD_LIMIT."""
    if choose_endpoint(operation, state) is not None:
        place(operation, state)
        return
    if refuse_evacuated(operation, state):
        return
    samples.ask(operation, state)
    if state.clock.monotonic() - operation.staged_at > HOLD_LIMIT:
        detail = "no endpoint of the group can serve the statement"
        refusal = Refusal(Fault.OVERLOADED, detail, MIN_RETRY_AFTER)
        refuse(operation, refusal, state)


def check_queued(operation: OperationRow, state: State) -> None:
    """Refuse a queued statement that was assigned no connection in time."""
    now = state.clock.monotonic()
    route = operation.route
    pool = state.pools[operation.endpoint]
    is_over = is_wait_over(
        selection.policy_for(pool, state),
        now - operation.staged_at,
        now - operation.queued_at,
        route.objective,
        route.timeout,
    )
    session = state.sessions[operation.session]
    is_remote = session.origin is not None
    if is_over and is_remote and replies.is_failing(operation.endpoint, state):
        pools.remove_waiting(operation, state)
        place(operation, state)
        return
    if selection.is_ordered(pool, state):
        serving.check_waiting(operation, pool, state)
        return
    if not is_over:
        return
    pools.remove_waiting(operation, state)
    wait = max(MIN_RETRY_AFTER, queue_of(pool, state).expected_wait)
    detail = f"no connection to {operation.endpoint} became free"
    refuse(operation, Refusal(Fault.OVERLOADED, detail, wait), state)
