"""Connections to the endpoints, each opened for one workspace.

An endpoint limits the connections of all instances together: it refuses a connection
above its limit before anything runs on it (`connection_limits`). While an instance has
more than half of its fair share, its idle connections are closed soon after their last
use.
"""

from collections import Counter, deque
from datetime import timedelta

from . import connection_limits, connection_setup, membership
from .clock import MILLISECOND
from .dispatch import handle
from .ejection import results
from .evacuation import permissions
from .log_events import EndpointAnswers, EndpointFailing
from .owners import ownership
from .policies import Policy
from .service_order import selection, serving
from .session_messages import (
    ClosePooled,
    ConnectionAssigned,
    EndpointFailed,
    Fault,
    OpenPooled,
    OperationLost,
    PooledLost,
    PooledOpened,
    ReplicaCommand,
    TransactionLost,
)
from .session_rows import OperationRow, PooledRow, PoolRow
from .tables import State
from .ticks import hasten_steady_run
from .warmup import knowledge, losses

UNREACHABLE = "unreachable"  # Logged as the fault when the endpoint gave none.
# Covers several round trips between regions and the endpoint's connection setup.
OPEN_TIMEOUT = timedelta(milliseconds=700)
# An idle connection serves only one workspace and counts against the limit that all
# instances share, so an instance with more than half of its fair share closes it early.
SHORT_IDLE_TIMEOUT = timedelta(milliseconds=250)
IDLE_TIMEOUT = timedelta(seconds=3)
# At the owner of the endpoint, where idle connections are in nobody's way.
OWNED_IDLE_TIMEOUT = timedelta(minutes=5)
IDLE_CHECK_INTERVAL = timedelta(milliseconds=100)  # Finer than both idle timeouts.
# After this wait, a workspace without a connection gets the place of another
# workspace's idle connection.
STARVING_AFTER = timedelta(milliseconds=100)
# Backoff between connection attempts to a failing endpoint: it starts short because an
# endpoint may refuse only briefly, and doubles up to one second.
BACKOFF_BASE = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=1)
DEFAULT_CONNECTIONS = 16  # Limit of an endpoint whose group declares none.
ROUND_TRIP_WEIGHT = 0.2  # Of the newest sample in the average round trip.


def declared_limit(pool: PoolRow, state: State) -> int:
    """Return how many connections of all instances an endpoint accepts."""
    return state.session_limits.connections.get(pool.group, DEFAULT_CONNECTIONS)


def fair_share(pool: PoolRow, state: State) -> int:
    """Return this instance's fair share of an endpoint's connection limit."""
    declared = declared_limit(pool, state)
    live = [
        row
        for row in state.instances.values()
        if membership.is_instance_usable(row, state)
    ]
    return connection_limits.fair_share(declared, len(live))


def connection_limit(pool: PoolRow, state: State) -> int:
    """Return how many connections this instance may open to an endpoint."""
    owned = ownership.own_limit(pool, state)
    if owned is not None:
        return owned
    share = fair_share(pool, state)
    if selection.is_ordered(pool, state) and share >= declared_limit(pool, state):
        return max(connection_limits.MIN_CONNECTION_LIMIT, share)
    return connection_limits.connection_limit(share, is_crowded(pool, state))


def is_crowded(pool: PoolRow, state: State) -> bool:
    """Return whether the instances compete for an endpoint's connections."""
    if not state.settings.uses(Policy.CONNECTION_SHARES):
        return False
    return connection_limits.is_crowded(state.clock.monotonic() - pool.full_until)


def is_full(pool: PoolRow, state: State) -> bool:
    """Return whether an endpoint has just refused a connection above its limit."""
    return state.clock.monotonic() < pool.full_until


def is_available(pool: PoolRow, state: State) -> bool:
    """Return whether an endpoint is not in backoff after a failure."""
    return state.clock.monotonic() >= pool.retry_at


def outstanding_count(pool: PoolRow, state: State) -> int:
    """Return how many operations and transactions run at an endpoint or wait for it."""
    rows = (state.pooled[number] for number in pool.connections)
    used = sum(1 for row in rows if row.operation or row.session)
    return used + waiting_count(pool)


def waiting_count(pool: PoolRow) -> int:
    """Return how many operations wait for a connection of a pool."""
    return sum(map(len, pool.waiting.values()))


def idle_connections(pool: PoolRow, state: State) -> list[PooledRow]:
    """Return the connections of a pool that can be assigned to an operation."""
    rows = (state.pooled[number] for number in pool.connections)
    return [row for row in rows if is_idle(row)]


def is_idle(row: PooledRow) -> bool:
    """Return whether a connection can be assigned to an operation."""
    return row.is_open and not (row.operation or row.session or row.releasing)


def enqueue(operation: OperationRow, pool: PoolRow, state: State) -> None:
    """Queue an operation for a connection of a pool."""
    queue = pool.waiting.setdefault(operation.workspace, deque())
    queue.append(operation.operation)
    serve_waiting(pool, state)


def remove_waiting(operation: OperationRow, state: State) -> None:
    """Remove an operation from the queue of its pool, if it is there."""
    pool = state.pools.get(operation.endpoint)
    queue = pool.waiting.get(operation.workspace) if pool is not None else None
    if pool is None or queue is None or operation.operation not in queue:
        return
    queue.remove(operation.operation)
    if not queue:
        del pool.waiting[operation.workspace]


def serve_waiting(pool: PoolRow, state: State) -> None:
    """Assign idle connections to waiting operations; open more for the rest."""
    if selection.is_ordered(pool, state):
        serving.serve(pool, state)
        return
    prevent_starvation(pool, state)
    while assign_connection(pool, state):
        pass
    if pool.waiting:
        open_needed(pool, state)


def prevent_starvation(pool: PoolRow, state: State) -> None:
    """Replace an idle connection of another workspace for one that waits without any.

    A workspace that keeps every connection busy would starve the others: each
    connection that becomes idle would be assigned to that workspace's next statement.
    """
    if not pool.waiting or not state.settings.uses(Policy.STARVATION_GUARD):
        return
    has_room = len(pool.connections) < connection_limit(pool, state)
    if has_room and not is_full(pool, state):
        return
    now = state.clock.monotonic()
    rows = [state.pooled[number] for number in pool.connections]
    connection_counts = Counter(row.workspace for row in rows)
    for workspace, queue in list(pool.waiting.items()):
        waited = now - state.operations[queue[0]].staged_at
        if connection_counts[workspace] or waited < STARVING_AFTER:
            continue
        free = [
            row for row in idle_connections(pool, state) if row.workspace != workspace
        ]
        if not free:
            return
        close_connection(
            max(free, key=lambda row: connection_counts[row.workspace]), state
        )
        open_connection(workspace, pool, state)


def assign_connection(pool: PoolRow, state: State) -> bool:
    """Assign an idle connection to a waiting operation; return whether there was one.

    The highest priority is served first, the workspaces of a priority in turns.
    """
    free = idle_connections(pool, state)
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
    dequeue(operation, pool)
    rows = by_workspace[operation.workspace]
    assign(operation, best_connection(operation, rows, state), state)
    return True


def best_connection(
    operation: OperationRow, rows: list[PooledRow], state: State
) -> PooledRow:
    """Return the idle connection that needs the fewest steps to run an operation."""
    session = state.sessions.get(operation.session)
    if session is None:
        return rows[0]
    return min(rows, key=lambda row: connection_setup.setup_cost(session, row))


def assign(operation: OperationRow, row: PooledRow, state: State) -> None:
    """Assign an idle connection to an operation."""
    row.operation = operation.operation
    handle(ConnectionAssigned(operation.operation, row.connection), state)


def dequeue(operation: OperationRow, pool: PoolRow) -> None:
    """Remove an operation from its queue; its workspace is then served last."""
    queue = pool.waiting.pop(operation.workspace)
    queue.popleft()
    if queue:
        pool.waiting[operation.workspace] = queue


def open_needed(pool: PoolRow, state: State) -> None:
    """Open connections for waiting operations, within the connection limit."""
    if not is_available(pool, state):
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
            open_connection(workspace, pool, state)


def make_room(pool: PoolRow, state: State) -> bool:
    """Return whether a connection may be opened.

    At the limit, or that of the endpoint, a connection of a workspace that needs none
    is closed first.
    """
    if is_full(pool, state):
        if not state.settings.uses(Policy.CONNECTION_SHARES):
            return False
    elif len(pool.connections) < connection_limit(pool, state):
        return True
    unused = [
        row
        for row in idle_connections(pool, state)
        if row.workspace not in pool.waiting
    ]
    if not unused:
        return False
    close_connection(min(unused, key=lambda row: row.idle_since), state)
    return True


def open_connection(
    workspace: str,
    pool: PoolRow,
    state: State,
    command: ReplicaCommand = ReplicaCommand.NONE,
    term: int = 0,
    address: str = "",
) -> int:
    """Open a connection for a workspace and return its number.

    `address` is that of an endpoint that is not in the registry. Return 0 if the
    endpoint is evacuated.
    """
    if not permissions.may_connect(pool, state):
        return 0
    number = state.new_number()
    known = state.registry.get(pool.endpoint)
    if known is not None:
        address = known.entry.address
    now = state.clock.monotonic()
    state.pooled[number] = PooledRow(
        number,
        pool.endpoint,
        pool.group,
        workspace,
        opened_at=now,
        command=command,
        term=term,
    )
    pool.connections.add(number)
    state.counters["pools.opened"] += 1
    endpoint = pool.endpoint
    state.outbox.append(
        OpenPooled(number, address, pool.group, workspace, endpoint, command, term)
    )
    return number


def probe(
    pool: PoolRow,
    state: State,
    command: ReplicaCommand = ReplicaCommand.NONE,
    term: int = 0,
    address: str = "",
) -> int:
    """Open a connection to learn whether an endpoint answers, and its log position.

    A replica can be told to stop or resume receiving with it; `term` is above all terms
    so far. `address` is that of an endpoint that is not in the registry.
    """
    workspace = next(iter(state.configuration.workspaces), "")
    state.counters["pools.probes"] += 1
    return open_connection(workspace, pool, state, command, term, address)


def release(row: PooledRow, state: State) -> None:
    """Make a connection idle, at once or when its steps in flight are answered."""
    serving.record_release(row, state)
    row.operation = 0
    row.session = 0
    row.releasing = bool(row.steps)
    if row.releasing:
        return
    row.idle_since = state.clock.monotonic()
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        serve_waiting(pool, state)


def close_connection(row: PooledRow, state: State) -> None:
    """Close a connection and remove its row."""
    state.outbox.append(ClosePooled(row.connection))
    remove_connection(row, state)


def remove_connection(row: PooledRow, state: State) -> None:
    """Remove the row of a connection and its place in the pool."""
    state.pooled.pop(row.connection, None)
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        pool.connections.discard(row.connection)


def drop_endpoint(endpoint: str, state: State) -> None:
    """Remove an endpoint's pool and fail what uses or waits for its connections."""
    pool = state.pools.pop(endpoint, None)
    if pool is None:
        return
    for number in list(pool.connections):
        row = state.pooled.pop(number)
        state.outbox.append(ClosePooled(number))
        notify_users(row, state)
    for queue in pool.waiting.values():
        for operation in queue:
            handle(OperationLost(operation), state)


def notify_users(row: PooledRow, state: State) -> None:
    """Notify the operation or transaction of a connection that it is lost."""
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
    connect_time = now - row.opened_at
    before = pool.round_trip
    pool.round_trip = (
        connect_time
        if before is None
        else before + (connect_time - before) * ROUND_TRIP_WEIGHT
    )
    pool.answered_at = now
    pool.position, pool.position_at = message.position, now
    pool.position_asked_at = row.opened_at
    if row.command is ReplicaCommand.STOP_RECEIVING:
        pool.received = message.received
        pool.has_stopped = message.has_stopped and message.term < row.term
        pool.newest_term = message.term
        pool.stop_asked_at = row.opened_at
    record_recovery(pool, state)
    serve_waiting(pool, state)


def record_recovery(pool: PoolRow, state: State) -> None:
    """Record that an endpoint answers; log the end of its failure, if it failed."""
    if pool.failing_since is not None:
        failed = state.clock.monotonic() - pool.failing_since
        state.log_event(EndpointAnswers(pool.endpoint, failed // MILLISECOND))
    pool.failing_since = None
    pool.failures = 0
    pool.refusals = 0


@handle.register
def _(message: PooledLost, state: State) -> None:
    row = state.pooled.get(message.connection)
    if row is not None:
        handle_loss(row, message.fault, state)


def handle_loss(row: PooledRow, fault: Fault | None, state: State) -> None:
    """Remove a lost connection; record what the loss tells about its endpoint."""
    results.record_loss(row, fault, state)
    remove_connection(row, state)
    pool = state.pools.get(row.endpoint)
    if pool is not None:
        if row.is_open:
            state.counters["pools.lost"] += 1
            pool.lost_at = state.clock.monotonic()
            losses.record_lost_connection(pool.endpoint, state)
        elif fault is Fault.TOO_MANY_CONNECTIONS:
            state.counters["pools.full"] += 1
            if ownership.has_owner(pool.group, state):
                pool.failing_since = None  # It answers, and its owner has connections.
            pool.answered_at = state.clock.monotonic()
            record_refusal(pool, state)
            # At the owner the statements wait: others would be refused as well.
            is_owner = ownership.own_limit(pool, state) is not None
            numbers = pool.connections
            if not is_owner and not any(state.pooled[item].is_open for item in numbers):
                reroute_waiting(pool, state)
        else:
            record_failure(pool, fault, state)
    notify_users(row, state)


def record_refusal(pool: PoolRow, state: State) -> None:
    """Record that an endpoint refused a connection above its limit."""
    now = state.clock.monotonic()
    if not state.settings.uses(Policy.CONNECTION_SHARES):
        pool.full_until = now + connection_limits.MAX_BACKOFF
        return
    if now < pool.full_until:
        return  # Of the same attempt as the refusal before.
    pool.refusals += 1
    pool.full_until = now + connection_limits.backoff(pool.refusals)


def unanswered_since(pool: PoolRow, state: State) -> timedelta | None:
    """Return when the oldest request since the endpoint's last answer was sent."""
    rows = [state.pooled[number] for number in pool.connections]
    sent_times = [row.steps[0][1] for row in rows if row.steps]
    sent_times += [row.opened_at for row in rows if not row.is_open]
    since = min((at for at in sent_times if at > pool.answered_at), default=None)
    # Answers that arrived while this process was paused may not have been read yet.
    return max(since, state.resumed_at) if since is not None else None


def record_open_timeout(row: PooledRow, state: State) -> None:
    """Record the failure of an endpoint that has not answered since a connect began."""
    pool = state.pools.get(row.endpoint)
    if pool is not None and pool.answered_at < row.opened_at:
        record_failure_start(pool, row.opened_at, UNREACHABLE, state)


def record_failure_start(
    pool: PoolRow, since: timedelta, fault: str, state: State
) -> None:
    """Record and log since when an endpoint fails."""
    knowledge.record_loss(pool.endpoint, state)
    if pool.failing_since is None:
        pool.failing_since = max(since, state.resumed_at)
        hasten_steady_run(state)  # `promotion` asks the others if it is a primary.
        results.record_outage(pool, state)
        state.log_event(EndpointFailing(pool.endpoint, fault))


def record_failure(pool: PoolRow, fault: Fault | None, state: State) -> None:
    """Record that an endpoint gave no connection; back off before the next attempt."""
    now = state.clock.monotonic()
    record_failure_start(pool, now, fault or UNREACHABLE, state)
    pool.failures += 1
    backoff = min(BACKOFF_BASE * 2 ** min(pool.failures, 5), MAX_BACKOFF)
    pool.retry_at = now + backoff
    reroute_waiting(pool, state)


def reroute_waiting(pool: PoolRow, state: State) -> None:
    """Place the operations that wait for an endpoint on other endpoints."""
    if pool.waiting:
        handle(EndpointFailed(pool.endpoint), state)


def run(state: State) -> None:
    """Drop connections that do not open in time, close idle ones, open needed ones."""
    now = state.clock.monotonic()
    for row in list(state.pooled.values()):
        if not row.is_open and now - row.opened_at > OPEN_TIMEOUT:
            state.outbox.append(ClosePooled(row.connection))
            record_open_timeout(row, state)
            handle_loss(row, None, state)
    is_due = now >= state.pools_checked_at + IDLE_CHECK_INTERVAL
    if is_due:
        state.pools_checked_at = now
    for pool in list(state.pools.values()):
        if is_due:
            close_idle_connections(pool, state)
        if pool.waiting:
            serve_waiting(pool, state)


def close_idle_connections(pool: PoolRow, state: State) -> None:
    """Close the connections of a pool that have exceeded their idle timeout."""
    if not pool.connections:
        return
    now = state.clock.monotonic()
    leaving = state.registry.get(pool.endpoint)
    is_leaving = leaving is None or leaving.leaving_since is not None
    owned = ownership.own_limit(pool, state)
    share = fair_share(pool, state)
    uses_short_timeout = state.settings.uses(Policy.SHORT_IDLE_TIMEOUT)
    longest = IDLE_TIMEOUT if owned is None else OWNED_IDLE_TIMEOUT
    if selection.is_ordered(pool, state) and share >= declared_limit(pool, state):
        uses_short_timeout = False  # No other instance needs the connections.
    for row in idle_connections(pool, state):
        is_above = uses_short_timeout and len(pool.connections) * 2 > share
        closes_early = (is_above and owned is None) or is_leaving
        if now - row.idle_since > (SHORT_IDLE_TIMEOUT if closes_early else longest):
            close_connection(row, state)
