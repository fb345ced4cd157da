"""Connections to the endpoints, each opened for one workspace.

An endpoint limits the connections of all instances together. An instance may exceed
its even part while others do not use theirs: the endpoint refuses one too many before
anything runs on it. What exceeds the even part is closed soon after its last use.
"""

from collections import Counter, deque
from datetime import timedelta

from . import connection_setup, membership
from .dispatch import handle
from .log_events import EndpointAnswers, EndpointFailing
from .session_messages import (
    ClosePooled,
    ConnectionAssigned,
    EndpointFailed,
    Fault,
    OpenPooled,
    OperationLost,
    PooledLost,
    PooledOpened,
    TransactionLost,
)
from .session_rows import OperationRow, PooledRow, PoolRow
from .tables import State

MILLISECOND = timedelta(milliseconds=1)
UNREACHABLE = "unreachable"  # The fault of an endpoint that said nothing.
# Several round trips between regions and the endpoint's work on a connection.
OPEN_TIMEOUT = timedelta(milliseconds=700)
# An idle connection serves one workspace only and takes a place from the other
# instances, so few are kept and not for long.
IDLE_BEYOND_PART = timedelta(milliseconds=250)
IDLE_WITHIN_PART = timedelta(seconds=3)
IDLE_CHECK = timedelta(milliseconds=100)  # Finer than the idle times above.
# Other instances close what exceeds their part within twice this time.
FULL_PAUSE = timedelta(milliseconds=150)
# A workspace without a connection waits this long for one before another gives way.
STARVING_AFTER = timedelta(milliseconds=100)
# An endpoint that refuses is asked again soon, and one that stays away each second.
FIRST_BACKOFF = timedelta(milliseconds=100)
LONGEST_BACKOFF = timedelta(seconds=1)
DEFAULT_CONNECTIONS = 16  # Of an endpoint whose group declares no limit.
# An instance may hold this many times its even part of an endpoint's connections.
PART_FACTOR = 2
MIN_LIMIT = 2  # A transaction and one statement beside it.
ROUND_TRIP_WEIGHT = 0.2  # Of the newest value in the moving average.


def even_part(pool: PoolRow, state: State) -> int:
    """Return this instance's even part of an endpoint's connections."""
    declared = state.session_limits.connections.get(pool.group, DEFAULT_CONNECTIONS)
    live = [
        row
        for row in state.instances.values()
        if membership.is_instance_usable(row, state)
    ]
    return max(1, declared // max(1, len(live)))


def limit(pool: PoolRow, state: State) -> int:
    """Return how many connections this instance may open to an endpoint."""
    return max(MIN_LIMIT, PART_FACTOR * even_part(pool, state) + 1)


def is_available(pool: PoolRow, state: State) -> bool:
    """Return whether an endpoint can be given work now."""
    return state.clock.monotonic() >= pool.retry_at


def busy(pool: PoolRow, state: State) -> int:
    """Return how many operations and transactions are at an endpoint or wait for it."""
    rows = (state.pooled[number] for number in pool.connections)
    used = sum(1 for row in rows if row.operation or row.session)
    return used + waiting(pool)


def waiting(pool: PoolRow) -> int:
    """Return how many operations wait for a connection."""
    return sum(map(len, pool.waiting.values()))


def idle(pool: PoolRow, state: State) -> list[PooledRow]:
    """Return the connections that nobody uses."""
    rows = (state.pooled[number] for number in pool.connections)
    return [row for row in rows if is_idle(row)]


def is_idle(row: PooledRow) -> bool:
    """Return whether a connection can be given to an operation."""
    return row.is_open and not (row.operation or row.session or row.releasing)


def submit(operation: OperationRow, pool: PoolRow, state: State) -> None:
    """Let an operation wait for a connection of a pool."""
    queue = pool.waiting.setdefault(operation.workspace, deque())
    queue.append(operation.operation)
    serve(pool, state)


def withdraw(operation: OperationRow, state: State) -> None:
    """Take an operation out of the queue of its pool."""
    pool = state.pools.get(operation.endpoint)
    queue = pool.waiting.get(operation.workspace) if pool is not None else None
    if pool is None or queue is None or operation.operation not in queue:
        return
    queue.remove(operation.operation)
    if not queue:
        del pool.waiting[operation.workspace]


def serve(pool: PoolRow, state: State) -> None:
    """Give idle connections to waiting operations and open what is missing."""
    relieve_starving(pool, state)
    while assign_one(pool, state):
        pass
    if pool.waiting:
        open_missing(pool, state)


def relieve_starving(pool: PoolRow, state: State) -> None:
    """Replace another workspace's idle connection for one that has none and waits.

    Answers the load of a workspace that keeps every connection busy: without this, each
    connection that becomes idle goes to its own next statement.
    """
    now = state.clock.monotonic()
    is_full = len(pool.connections) >= limit(pool, state) or now < pool.full_until
    if not pool.waiting or not is_full:
        return
    rows = [state.pooled[number] for number in pool.connections]
    held = Counter(row.workspace for row in rows)
    for workspace, queue in list(pool.waiting.items()):
        waited = now - state.operations[queue[0]].staged_at
        if held[workspace] or waited < STARVING_AFTER:
            continue
        free = [row for row in idle(pool, state) if row.workspace != workspace]
        if not free:
            return
        close(max(free, key=lambda row: held[row.workspace]), state)
        open_one(workspace, pool, state)


def assign_one(pool: PoolRow, state: State) -> bool:
    """Give one idle connection away; workspaces take turns within a priority."""
    free = idle(pool, state)
    if not free or not pool.waiting:
        return False
    by_workspace: dict[str, list[PooledRow]] = {}
    for row in free:
        by_workspace.setdefault(row.workspace, []).append(row)
    heads = [
        state.operations[queue[0]]
        for workspace, queue in pool.waiting.items()
        if workspace in by_workspace
    ]
    if not heads:
        return False
    operation = min(heads, key=lambda row: row.route.priority)
    take_turn(operation, pool)
    session = state.sessions.get(operation.session)
    rows = by_workspace[operation.workspace]
    best = rows[0]
    if session is not None:
        best = min(rows, key=lambda row: connection_setup.distance(session, row))
    best.operation = operation.operation
    handle(ConnectionAssigned(operation.operation, best.connection), state)
    return True


def take_turn(operation: OperationRow, pool: PoolRow) -> None:
    """Remove an operation from its queue; its workspace goes to the end of the turn."""
    queue = pool.waiting.pop(operation.workspace)
    queue.popleft()
    if queue:
        pool.waiting[operation.workspace] = queue


def open_missing(pool: PoolRow, state: State) -> None:
    """Open connections for operations that wait, within the limit."""
    now = state.clock.monotonic()
    if now < pool.retry_at or now < pool.full_until:
        return
    if pool.endpoint not in state.registry:
        return
    for workspace, queue in pool.waiting.items():
        rows = [state.pooled[number] for number in pool.connections]
        opening = sum(
            1 for row in rows if not row.is_open and row.workspace == workspace
        )
        for _ in range(len(queue) - opening):
            if not make_room(pool, state):
                return
            open_one(workspace, pool, state)


def make_room(pool: PoolRow, state: State) -> bool:
    """Return whether one connection more may be opened, closing an idle one for it."""
    if len(pool.connections) < limit(pool, state):
        return True
    unused = [row for row in idle(pool, state) if row.workspace not in pool.waiting]
    if not unused:
        return False
    close(min(unused, key=lambda row: row.idle_since), state)
    return True


def open_one(workspace: str, pool: PoolRow, state: State) -> None:
    """Open a connection for a workspace."""
    number = state.new_number()
    entry = state.registry[pool.endpoint].entry
    now = state.clock.monotonic()
    state.pooled[number] = PooledRow(
        number, pool.endpoint, pool.group, workspace, opened_at=now
    )
    pool.connections.add(number)
    state.counters["pools.opened"] += 1
    state.outbox.append(
        OpenPooled(number, entry.address, pool.group, workspace, pool.endpoint)
    )


def probe(pool: PoolRow, state: State) -> None:
    """Open a connection to learn whether an endpoint answers, and its position."""
    workspace = next(iter(state.configuration.workspaces), "")
    open_one(workspace, pool, state)
    state.counters["pools.probes"] += 1


def release(row: PooledRow, state: State) -> None:
    """Make a connection idle once its steps are answered."""
    row.operation = 0
    row.session = 0
    row.releasing = bool(row.steps)
    if row.releasing:
        return
    row.idle_since = state.clock.monotonic()
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        serve(pool, state)


def close(row: PooledRow, state: State) -> None:
    """Close a connection."""
    state.outbox.append(ClosePooled(row.connection))
    discard(row, state)


def discard(row: PooledRow, state: State) -> None:
    """Forget a connection."""
    state.pooled.pop(row.connection, None)
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        pool.connections.discard(row.connection)


def drop_endpoint(endpoint: str, state: State) -> None:
    """Forget an endpoint; what used or awaited its connections is told."""
    pool = state.pools.pop(endpoint, None)
    if pool is None:
        return
    for number in list(pool.connections):
        row = state.pooled.pop(number)
        state.outbox.append(ClosePooled(number))
        tell_users(row, state)
    for queue in pool.waiting.values():
        for operation in queue:
            handle(OperationLost(operation), state)


def tell_users(row: PooledRow, state: State) -> None:
    """Tell an operation or transaction that its connection is gone."""
    if row.operation:
        handle(OperationLost(row.operation), state)
    elif row.session:
        handle(TransactionLost(row.session), state)


@handle.register
def _(message: PooledOpened, state: State) -> None:
    row = state.pooled.get(message.connection)
    pool = state.pools.get(row.endpoint) if row is not None else None
    if row is None or pool is None:
        return
    now = state.clock.monotonic()
    row.is_open = True
    row.idle_since = now
    taken = now - row.opened_at
    before = pool.round_trip
    pool.round_trip = (
        taken if before is None else before + (taken - before) * ROUND_TRIP_WEIGHT
    )
    pool.answered_at = now
    pool.position, pool.position_at = message.position, now
    recover(pool, state)
    serve(pool, state)


def recover(pool: PoolRow, state: State) -> None:
    """Note that an endpoint answers."""
    if pool.failing_since is not None:
        failed = state.clock.monotonic() - pool.failing_since
        state.log_event(EndpointAnswers(pool.endpoint, failed // MILLISECOND))
    pool.failing_since = None
    pool.failures = 0


@handle.register
def _(message: PooledLost, state: State) -> None:
    row = state.pooled.get(message.connection)
    if row is not None:
        lost(row, message.fault, state)


def lost(row: PooledRow, fault: Fault | None, state: State) -> None:
    """Take over that a connection is gone."""
    discard(row, state)
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        if row.is_open:
            state.counters["pools.lost"] += 1
            pool.lost_at = state.clock.monotonic()
        elif fault is Fault.TOO_MANY_CONNECTIONS:
            state.counters["pools.full"] += 1
            pool.answered_at = state.clock.monotonic()
            pool.full_until = pool.answered_at + FULL_PAUSE
            if not any(state.pooled[number].is_open for number in pool.connections):
                fail_waiting(pool, state)
        else:
            fail(pool, fault, state)
    tell_users(row, state)


def unanswered_since(pool: PoolRow, state: State) -> timedelta | None:
    """Return when the oldest question since the endpoint's last answer was sent."""
    rows = [state.pooled[number] for number in pool.connections]
    asked = [row.steps[0][1] for row in rows if row.steps]
    asked += [row.opened_at for row in rows if not row.is_open]
    since = min((at for at in asked if at > pool.answered_at), default=None)
    # What came while this process was paused may not have been read yet.
    return max(since, state.resumed_at) if since is not None else None


def note_silence(row: PooledRow, state: State) -> None:
    """Note that an endpoint has said nothing since a connection was asked for."""
    pool = state.pools.get(row.endpoint)
    if pool is not None and pool.answered_at < row.opened_at:
        begin_failure(pool, row.opened_at, UNREACHABLE, state)


def begin_failure(pool: PoolRow, since: timedelta, fault: str, state: State) -> None:
    """Note since when an endpoint fails."""
    if pool.failing_since is None:
        pool.failing_since = max(since, state.resumed_at)
        state.log_event(EndpointFailing(pool.endpoint, fault))


def fail(pool: PoolRow, fault: Fault | None, state: State) -> None:
    """Note that an endpoint gave no connection; try again after a growing pause."""
    now = state.clock.monotonic()
    begin_failure(pool, now, fault or UNREACHABLE, state)
    pool.failures += 1
    pause = min(FIRST_BACKOFF * 2 ** min(pool.failures, 5), LONGEST_BACKOFF)
    pool.retry_at = now + pause
    fail_waiting(pool, state)


def fail_waiting(pool: PoolRow, state: State) -> None:
    """Send the operations that wait for an endpoint elsewhere."""
    if pool.waiting:
        handle(EndpointFailed(pool.endpoint), state)


def run(state: State) -> None:
    """Give up connections that do not open, close idle ones, open missing ones."""
    now = state.clock.monotonic()
    for row in list(state.pooled.values()):
        if not row.is_open and now - row.opened_at > OPEN_TIMEOUT:
            state.outbox.append(ClosePooled(row.connection))
            note_silence(row, state)
            lost(row, None, state)
    is_due = now >= state.pools_checked_at + IDLE_CHECK
    if is_due:
        state.pools_checked_at = now
    for pool in list(state.pools.values()):
        if is_due:
            close_idle(pool, state)
        if pool.waiting:
            serve(pool, state)


def close_idle(pool: PoolRow, state: State) -> None:
    """Close the connections that were idle for long."""
    if not pool.connections:
        return
    now = state.clock.monotonic()
    leaving = state.registry.get(pool.endpoint)
    is_leaving = leaving is None or leaving.leaving_since is not None
    part = even_part(pool, state)
    for row in idle(pool, state):
        beyond = len(pool.connections) * 2 > part or is_leaving
        if now - row.idle_since > (IDLE_BEYOND_PART if beyond else IDLE_WITHIN_PART):
            close(row, state)
