"""Applies the order of service to the pool of an endpoint.

A connection belongs to one workspace. A statement whose workspace has no idle one gets
a new one, in place of an idle one of another workspace where there is no room, or
waits until one of its own is free (`decisions.may_open`).
"""

from collections import Counter
from datetime import timedelta

from .. import operation_completion, placement, pools
from ..clock import MILLISECOND, NEVER
from ..session_messages import Fault, Refusal
from ..session_rows import OperationRow, PooledRow, PoolRow
from ..tables import State
from . import admission, decisions, transactions
from .admission import Capacity
from .decisions import ZERO, Group, Order, Waiting
from .rows import ServiceRow

# An endpoint that served nothing for a whole objective gives no measure of a wait; its
# failure is noticed in about this time, and its statements are then placed elsewhere.
STALLED_AFTER = 500 * MILLISECOND
TYPICAL_COST = 20 * MILLISECOND  # Until statements of a database have been measured.
SETUP_TIME = 10 * MILLISECOND  # Typical of a new connection.
MAX_COST = timedelta(seconds=1)  # A statement that hung says nothing about the usual.
COST_WEIGHT = 0.1  # Of the newest sample in the average cost.
NEAR_ROUND_TRIP = MILLISECOND  # Typical of a data centre.
DISTANT_ROUND_TRIP = 40 * MILLISECOND  # Typical of another region.


def row_of(pool: PoolRow, state: State) -> ServiceRow:
    """Return the row of an endpoint's queue, new if it has none."""
    row = state.services.get(pool.endpoint)
    if row is None:
        row = state.services[pool.endpoint] = ServiceRow(pool.endpoint)
    return row


# --- What the decisions need to know


def cost_of(operation: OperationRow, row: ServiceRow) -> timedelta:
    """Return the usual time of such a statement on a connection."""
    return row.costs.get(operation.route.database, TYPICAL_COST)


def describe(operation: OperationRow, row: ServiceRow, state: State) -> Waiting:
    """Return a statement as the decisions see it."""
    route = operation.route
    age = state.clock.monotonic() - operation.arrived_at
    return Waiting(
        operation.operation,
        operation.workspace,
        route.priority,
        route.objective,
        route.objective - age,
        route.timeout - age,
        cost_of(operation, row),
    )


def waiting_groups(pool: PoolRow, row: ServiceRow, state: State) -> list[Group]:
    """Return the statements that can be served, by workspace and database.

    First statements of transactions have groups of their own, and none while no further
    transaction may begin.
    """
    ends: dict[tuple[str, str, bool], tuple[OperationRow, OperationRow, int]] = {}
    is_full: bool | None = None  # Counted only for statements that it matters to.
    for workspace, queue in pool.waiting.items():
        for number in queue:
            operation = state.operations[number]
            begins = transactions.begins(operation, state)
            if begins and is_full is None:
                is_full = transactions.is_full(pool, state)
            if begins and is_full:
                continue
            key = workspace, operation.route.database, begins
            first, _, count = ends.get(key, (operation, operation, 0))
            ends[key] = first, operation, count + 1
    return [
        Group(describe(first, row, state), describe(last, row, state), count)
        for first, last, count in ends.values()
    ]


def order_of(row: ServiceRow) -> Order:
    """Return what the order of a queue depends on besides the statements."""
    return Order(row.accounts, row.floor, row.passed)


def running_count(pool: PoolRow, state: State) -> int:
    """Return how many slots this instance uses; a transaction at rest uses none."""
    rows = (state.pooled[number] for number in pool.connections)
    return sum(1 for row in rows if row.operation or not row.is_open)


def round_trip_to(pool: PoolRow, state: State) -> timedelta:
    """Return the usual round trip to an endpoint."""
    entry = state.registry[pool.endpoint].entry
    is_near = entry.data_centre == state.settings.data_centre
    return NEAR_ROUND_TRIP if is_near else DISTANT_ROUND_TRIP


def capacity_of(pool: PoolRow, row: ServiceRow, state: State) -> Capacity:
    """Return how fast an endpoint works."""
    entry, round_trip = state.registry[pool.endpoint].entry, round_trip_to(pool, state)
    cost = sum(row.costs.values(), ZERO) / len(row.costs) if row.costs else TYPICAL_COST
    most = decisions.max_running(entry.slots, round_trip, cost)
    return Capacity(most, cost * running_count(pool, state) / 2)


# --- Admission


def expected_wait(
    operation: OperationRow, pool: PoolRow, row: ServiceRow, state: State
) -> timedelta:
    """Return how long a new statement would wait for a slot of an endpoint."""
    item, now = describe(operation, row, state), state.clock.monotonic()
    capacity = capacity_of(pool, row, state)
    left = admission.booked_left(row.booked_until, item.priority, now)
    groups = waiting_groups(pool, row, state)
    return admission.expected_wait(item, groups, order_of(row), capacity, left)


def candidate(
    operation: OperationRow, pool: PoolRow, state: State
) -> placement.Candidate:
    """Return an endpoint as placement compares it, with the wait in its queue.

    So a read that is refused could be served in time by none of its endpoints.
    """
    row = row_of(pool, state)
    idle = pools.idle_connections(pool, state)
    has_idle = any(item.workspace == operation.workspace for item in idle)
    wait = expected_wait(operation, pool, row, state)
    return placement.Candidate(
        pool.endpoint,
        round_trip_to(pool, state),
        ZERO if has_idle else SETUP_TIME + round_trip_to(pool, state),
        wait + cost_of(operation, row),
        outstanding=0,  # They are in the expected wait.
        slots=state.registry[pool.endpoint].entry.slots,
    )


def refusal_for(operation: OperationRow, pool: PoolRow, state: State) -> Refusal | None:
    """Return the refusal of a statement on arrival; None if it may wait."""
    row = row_of(pool, state)
    after = transactions.refused_for(operation, pool, state)
    if after is not None:
        state.counters["service_order.refused_transactions"] += 1
        detail = f"as many transactions as {pool.endpoint} may have are open"
        return Refusal(Fault.OVERLOADED, detail, after)
    item = describe(operation, row, state)
    wait = expected_wait(operation, pool, row, state)
    too_long = admission.excess(item, wait)
    if too_long is None:
        return None
    state.counters["service_order.refused_on_arrival"] += 1
    after = book(item, too_long, row, capacity_of(pool, row, state), state)
    detail = f"the queue of {pool.endpoint} takes longer than the objective allows"
    return Refusal(Fault.OVERLOADED, detail, after)


def book(
    item: Waiting,
    too_long: timedelta,
    row: ServiceRow,
    capacity: Capacity,
    state: State,
) -> timedelta:
    """Return when a refused statement should come back, and keep the time for it."""
    now = state.clock.monotonic()
    after, booked = admission.book(item, too_long, row.booked_until, capacity, now)
    row.booked_until = booked
    return after


def check_waiting(operation: OperationRow, pool: PoolRow, state: State) -> None:
    """Refuse a late statement that can't be served within its timeout any more."""
    row, now = row_of(pool, state), state.clock.monotonic()
    item = describe(operation, row, state)
    if not item.is_late:
        return
    waited = now - operation.queued_at
    if row.served_at < operation.queued_at and waited > item.objective:
        detail = f"no connection to {pool.endpoint} became free"
        refuse_waiting(
            operation, pool, Refusal(Fault.OVERLOADED, detail, STALLED_AFTER), state
        )
        return
    if row.added_at != now:
        groups = waiting_groups(pool, row, state)
        row.work, row.added_at = sum((group.work for group in groups), ZERO), now
    capacity = capacity_of(pool, row, state)
    # Late statements of the same rank may be behind it, so half of the wait is assumed.
    wait = capacity.time_for(row.work) / 2
    too_long = admission.excess(item, wait)
    if too_long is None:
        return
    row.work -= item.cost
    detail = f"{pool.endpoint} can't serve the statement within its timeout"
    after = book(item, too_long, row, capacity, state)
    refuse_waiting(operation, pool, Refusal(Fault.OVERLOADED, detail, after), state)


def refuse_waiting(
    operation: OperationRow, pool: PoolRow, refusal: Refusal, state: State
) -> None:
    """Refuse a statement that has waited."""
    pools.remove_waiting(operation, state)
    state.counters["service_order.refused_late"] += 1
    operation_completion.refuse(operation, refusal, state)


# --- Service


def serve(pool: PoolRow, state: State) -> None:
    """Serve waiting statements in order while the endpoint has slots for them."""
    row = row_of(pool, state)
    while pool.waiting and pool.endpoint in state.registry:
        most = capacity_of(pool, row, state).max_running
        if running_count(pool, state) >= most or not serve_one(pool, row, state):
            break
    if not pool.waiting:
        row.accounts, row.floor, row.passed = {}, ZERO, {}


def serve_one(pool: PoolRow, row: ServiceRow, state: State) -> bool:
    """Give the next statement a connection or open one; return whether it was done."""
    row.floor = decisions.next_floor(pool.waiting, row.accounts, row.floor)
    items = decisions.in_order(waiting_groups(pool, row, state), order_of(row))
    idle = Counter(
        connection.workspace for connection in pools.idle_connections(pool, state)
    )
    opening, usable = connection_counts(pool, state)
    for item in items:
        workspace = item.workspace
        if idle[workspace]:
            assign(item, pool, row, state)
            return True
        waiting, busy = len(pool.waiting[workspace]), usable[workspace]
        if opening[workspace] >= waiting:
            continue
        busy += opening[workspace]
        if decisions.may_open(item, waiting, busy) and open_for(item, pool, state):
            return True
    return False


def connection_counts(pool: PoolRow, state: State) -> tuple[Counter[str], Counter[str]]:
    """Return the connections that open, and those outside transactions, by workspace.

    A connection in a transaction doesn't become free soon.
    """
    rows = [state.pooled[number] for number in pool.connections]
    opening = Counter(row.workspace for row in rows if not row.is_open)
    usable = Counter(row.workspace for row in rows if row.is_open and not row.session)
    return opening, usable


def assign(item: Waiting, pool: PoolRow, row: ServiceRow, state: State) -> None:
    """Give a statement an idle connection and charge its workspace for it."""
    operation = state.operations[item.number]
    pools.remove_waiting(operation, state)
    priorities = {
        state.operations[number].route.priority
        for queue in pool.waiting.values()
        for number in queue
    }
    if not item.is_late:
        row.passed = decisions.passed_after(row.passed, item, priorities)
    charge(item.workspace, item.cost, row)
    idle = [
        connection
        for connection in pools.idle_connections(pool, state)
        if connection.workspace == item.workspace
    ]
    connection = pools.best_connection(operation, idle, state)
    connection.assigned_at = state.clock.monotonic()
    connection.charged = item.cost
    row.served_at = connection.assigned_at
    pools.assign(operation, connection, state)


def charge(workspace: str, time: timedelta, row: ServiceRow) -> None:
    """Add a time on connections to a workspace's account; it is negative to correct."""
    before = max(row.floor, row.accounts.get(workspace, row.floor))
    row.accounts[workspace] = before + time


def open_for(item: Waiting, pool: PoolRow, state: State) -> bool:
    """Open a connection for a statement; return whether there was room for it."""
    if not pools.is_available(pool, state):
        return False
    is_full = pools.is_full(pool, state)
    has_room = len(pool.connections) < pools.connection_limit(pool, state)
    if is_full or not has_room:
        unused = replaceable(item, pool, state)
        if unused is None:
            return False
        pools.close_connection(unused, state)
        state.counters["service_order.replaced"] += 1
    pools.open_connection(item.workspace, pool, state)
    return True


def replaceable(item: Waiting, pool: PoolRow, state: State) -> PooledRow | None:
    """Return the idle connection whose place a statement should get, if any.

    First the longest idle one that nobody waits for. One whose workspace has waiting
    statements goes only to a workspace without any that has waited unduly.
    """
    rows = [
        row
        for row in pools.idle_connections(pool, state)
        if row.workspace != item.workspace
    ]
    unused = [row for row in rows if row.workspace not in pool.waiting]
    if unused:
        return min(unused, key=lambda row: row.idle_since)
    # A connection in a transaction serves no other statement of its workspace.
    connections = (state.pooled[number] for number in pool.connections)
    owners = Counter(row.workspace for row in connections if not row.session)
    if not rows or owners[item.workspace] or not decisions.waits_unduly(item):
        return None
    return max(rows, key=lambda row: owners[row.workspace])


# --- Results


def record_release(connection: PooledRow, state: State) -> None:
    """Correct what a workspace was charged to the time that it used a connection."""
    row = state.services.get(connection.endpoint)
    if row is None or connection.assigned_at == NEVER:
        return
    used = state.clock.monotonic() - connection.assigned_at
    charge(connection.workspace, used - connection.charged, row)
    connection.assigned_at = NEVER


def record_time(
    operation: OperationRow, sent_at: timedelta, pool: PoolRow, state: State
) -> None:
    """Add the time of a statement on its connection to the usual one."""
    row = row_of(pool, state)
    elapsed = min(MAX_COST, state.clock.monotonic() - sent_at)
    name = operation.route.database
    before = row.costs.get(name, TYPICAL_COST)
    row.costs[name] = before + (elapsed - before) * COST_WEIGHT
