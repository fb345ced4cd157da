"""The owner's queue of an endpoint: accepts forwarded requests and starts them.

Work starts at once when a slot and a connection are free, otherwise in the order that
`scheduling` gives. Work that cannot be served is refused as not run: at its arrival,
when it is about to start, or at its deadline.
"""

from datetime import timedelta

from attrs import evolve

from . import execution, scheduling, transactions
from . import work_connections as pool
from .dispatch import handle, handle_peer
from .errors import Failure, Problem, not_run
from .evacuation import permissions
from .homes.requests import may_use_endpoint
from .messages import Access, Action
from .notices import SlotReleased, WorkConnectionLost, WorkConnectionReady
from .peer_messages import Cancel, Forward
from .tables import EndpointRow, Presence, State
from .work_rows import EndpointQueue, WorkRow

MAX_QUEUED = 256  # Queued requests of a workspace at an endpoint.
RETRY_AFTER = timedelta(seconds=1)  # Least time told to callers of refused work.


# --- Arrival of forwarded requests


@handle_peer.register
def _(message: Forward, sender: str, state: State) -> None:
    accept(message, sender, state)


def accept(message: Forward, sender: str, state: State) -> None:
    """Queue a request, or refuse it when it cannot be served in time."""
    now = state.clock.monotonic()
    remaining = timedelta(milliseconds=message.remaining_ms)
    row = state.transactions.get(message.transaction)
    if row is not None:
        # The entry names the current primary; the transaction may be on an earlier one.
        message = evolve(message, endpoint=row.endpoint)
    work = WorkRow(state.new_number(), sender, message, now, now + remaining)
    state.works[work.work] = work
    state.forwarded[(sender, message.request)] = work.work
    state.counters["queueing.arrived"] += 1
    queue = pool.queue_of(message.endpoint, state)
    failure = arrival_failure(work, queue, state)
    if failure is not None:
        execution.finish(work, failure, state)
        return
    if message.transaction:
        transactions.queue_work(work, state)
    else:
        scheduling.enqueue(queue, work, state)
    dispatch(queue, state)


def arrival_failure(
    work: WorkRow, queue: EndpointQueue, state: State
) -> Failure | None:
    """Return the failure if work must be refused at its arrival."""
    transaction = work.forward.transaction
    if transaction and transaction not in state.transactions:
        return not_run(Problem.TRANSACTION_UNKNOWN)
    failure = start_failure(work, state)
    if failure is None and not transaction:
        failure = enqueue_failure(work, queue, state)
    return failure


def start_failure(work: WorkRow, state: State) -> Failure | None:
    """Return the failure if work must not start now."""
    forward = work.forward
    endpoint = state.endpoints.get(forward.endpoint)
    if endpoint is None:
        return not_run(Problem.ENDPOINT_UNAVAILABLE, "the endpoint is not listed")
    holder = forward.key_id, forward.workspace
    if forward.key_id and holder not in state.configuration.key_holders:
        return key_failure(state)
    if not may_use_endpoint(forward.workspace, forward.endpoint, state):
        return not_run(Problem.REGION_FORBIDDEN, "the workspace's regions changed")
    if not permissions.may_use_listed(endpoint, state):
        detail = f"the data centre {endpoint.data_centre} is evacuated"
        return not_run(Problem.ENDPOINT_UNAVAILABLE, detail)
    if forward.transaction:
        return None  # A transaction keeps the connection and term of its beginning.
    group = state.groups[endpoint.group]
    is_primary = group.primary == endpoint.name
    if needs_primary(forward):
        if not is_primary and group.term >= forward.term:
            return not_run(Problem.PRIMARY_UNAVAILABLE, "the primary was replaced")
    elif endpoint.presence is Presence.LEAVING and not is_primary:
        return not_run(Problem.ENDPOINT_UNAVAILABLE, "the endpoint is leaving")
    return None


def key_failure(state: State) -> Failure:
    """Return the failure of a key id that the configuration does not contain."""
    if state.configuration.version == 0:
        detail = "the owner has no configuration yet"
        return not_run(Problem.ENDPOINT_UNAVAILABLE, detail)
    return not_run(Problem.KEY_INVALID, "the key was withdrawn")


def needs_primary(forward: Forward) -> bool:
    """Return whether only the primary may run the request."""
    return (
        forward.access is Access.WRITE
        or forward.action is not Action.STATEMENT
        or forward.primary_only
    )


def enqueue_failure(
    work: WorkRow, queue: EndpointQueue, state: State
) -> Failure | None:
    """Return the failure if the queue is full or too long for the work's deadline."""
    workspace = work.forward.workspace
    slots = state.endpoints[queue.endpoint].slots
    average_cost = scheduling.average_cost(workspace, work.forward.access, state)
    wait = scheduling.backlog(queue, workspace, state) / slots
    if len(queue.waiting.get(workspace, ())) >= MAX_QUEUED:
        retry = max(RETRY_AFTER, timedelta(seconds=wait))
        return not_run(Problem.QUEUE_FULL, retry_after=retry)
    needed = timedelta(seconds=wait + average_cost)
    remaining = work.deadline - work.arrived_at
    if needed > remaining:
        detail = "the queue is too long for the request's deadline"
        retry = max(RETRY_AFTER, needed - remaining)
        return not_run(Problem.DEADLINE_EXCEEDED, detail, retry)
    return None


@handle_peer.register
def _(message: Cancel, sender: str, state: State) -> None:
    number = state.forwarded.get((sender, message.request), 0)
    work = state.works.get(number)
    if work is None or work.started_at is not None:
        return  # Running work is not interrupted; the entry ignores its reply.
    remove_queued(work, state)
    state.works.pop(number)
    state.forwarded.pop((sender, message.request))
    state.counters["queueing.cancelled"] += 1


def remove_queued(work: WorkRow, state: State) -> None:
    """Remove work from its queue or from its transaction's queue."""
    queue = state.queues[work.forward.endpoint]
    row = state.transactions.get(work.forward.transaction)
    if row is None:
        scheduling.remove(queue, work)
    elif work.work in row.waiting:
        row.waiting.remove(work.work)
    else:
        queue.urgent.remove(work.work)
        row.work = 0
        transactions.queue_next(row, state)


# --- Start of queued work


@handle.register
def _(message: SlotReleased, state: State) -> None:
    dispatch(state.queues[message.endpoint], state)


@handle.register
def _(message: WorkConnectionReady, state: State) -> None:
    queue = pool.queue_of(state.connections[message.connection].endpoint, state)
    pool.add_opened(queue, message.connection, state)
    record_reachability(queue, True, state)
    dispatch(queue, state)


def dispatch(queue: EndpointQueue, state: State) -> None:
    """Start queued work as long as slots and connections are free."""
    endpoint = state.endpoints.get(queue.endpoint)
    if endpoint is None:
        return
    while len(queue.running) < endpoint.slots:
        if not (start_urgent(queue, state) or start_waiting(queue, endpoint, state)):
            return


def start_urgent(queue: EndpointQueue, state: State) -> bool:
    """Start work of an open transaction; return whether there was any."""
    if not queue.urgent:
        return False
    work = state.works[queue.urgent.popleft()]
    failure = start_failure(work, state)
    if failure is None:
        transactions.start(work, state)
    else:
        transactions.end(state.transactions[work.forward.transaction], failure, state)
    return True


def start_waiting(queue: EndpointQueue, endpoint: EndpointRow, state: State) -> bool:
    """Start the next queued work; return whether there was any that could start."""
    queued = sum(len(numbers) for numbers in queue.waiting.values())
    if not queued:
        return False
    open_transactions = len(queue.transactions)
    free = free_slots(queue, endpoint, open_transactions)
    if free <= 0:
        return False
    pool.open_more(queue, min(queued, free), state)
    connection = pool.take_idle(queue)
    if connection is None:
        return False
    work = next_work(queue, endpoint, open_transactions, state)
    if work is None:
        pool.return_to_pool(queue, connection, state)
        return False
    failure = start_failure(work, state)
    if failure is not None:
        pool.return_to_pool(queue, connection, state)
        execution.finish(work, failure, state)
    elif work.forward.action is Action.BEGIN:
        transactions.begin(work, connection, state)
    else:
        execution.start(work, connection, state)
    return True


def free_slots(
    queue: EndpointQueue, endpoint: EndpointRow, open_transactions: int
) -> int:
    """Return how many slots queued work may take.

    One slot is reserved while a transaction is open: work that waits for locks of the
    transaction could otherwise fill all slots and prevent the transaction from ending.
    """
    reserved = 1 if open_transactions and endpoint.slots > 1 else 0
    return endpoint.slots - reserved - len(queue.running)


def next_work(
    queue: EndpointQueue, endpoint: EndpointRow, open_transactions: int, state: State
) -> WorkRow | None:
    """Remove and return the queued work that starts next, if any may start."""
    begins = sum(
        1
        for number in queue.running
        if state.works[number].forward.action is Action.BEGIN
    )
    may_begin = open_transactions + begins < max_transactions(endpoint)
    return scheduling.pop_next(
        queue,
        lambda work: may_begin or work.forward.action is not Action.BEGIN,
        state,
    )


def max_transactions(endpoint: EndpointRow) -> int:
    """Return how many transactions may be open without blocking all other work."""
    return max(1, min(endpoint.slots, pool.max_connections(endpoint)) - 1)


# --- Connections and replaced primaries


@handle.register
def _(message: WorkConnectionLost, state: State) -> None:
    queue = pool.queue_of(message.endpoint, state)
    was_opening = message.connection in queue.opening
    work = state.works.get(state.connection_works.get(message.connection, 0))
    pool.remove_connection(queue, message.connection)
    state.counters["queueing.connections_lost"] += 1
    if was_opening:
        on_connect_failed(queue, state)
    elif work is not None:
        detail = "the connection to the database was lost"
        abort_work_and_transaction(work, Problem.ENDPOINT_UNAVAILABLE, detail, state)
    else:
        transactions.end_after_connection_loss(queue, message.connection, state)
    dispatch(queue, state)


def on_connect_failed(queue: EndpointQueue, state: State) -> None:
    """Refuse the queued work if there is no open connection that could serve it."""
    if not queue.connections - queue.opening.keys():
        record_reachability(queue, False, state)
        refuse_queued(queue, "the endpoint accepts no connection", state)


def record_reachability(queue: EndpointQueue, is_reachable: bool, state: State) -> None:
    """Log when an endpoint starts or stops accepting connections."""
    if queue.is_reachable is not is_reachable:
        queue.is_reachable = is_reachable
        name = "endpoint_reachable" if is_reachable else "endpoint_unreachable"
        state.events.append((name, {"endpoint": queue.endpoint}))


def abort_work_and_transaction(
    work: WorkRow, problem: Problem, detail: str, state: State
) -> None:
    """Stop running work; a transaction that it belongs to ends with the connection."""
    row = state.transactions.get(work.forward.transaction)
    if row is not None and row.ended is None:
        transactions.mark_ended(row, not_run(Problem.TRANSACTION_ENDED, detail), state)
        if work.step is not None and not work.step.commits:
            problem = Problem.TRANSACTION_ENDED
    execution.abort_work(work, problem, detail, state)


def refuse_queued(queue: EndpointQueue, detail: str, state: State) -> None:
    """Refuse all queued work, so that its entries try other endpoints."""
    for work in queued_work(queue, state):
        problem = (
            Problem.PRIMARY_UNAVAILABLE
            if needs_primary(work.forward)
            else Problem.ENDPOINT_UNAVAILABLE
        )
        refuse(work, not_run(problem, detail), state)


def queued_work(queue: EndpointQueue, state: State) -> list[WorkRow]:
    """Return the queued work outside transactions."""
    return [
        state.works[number] for numbers in queue.waiting.values() for number in numbers
    ]


def refuse(work: WorkRow, failure: Failure, state: State) -> None:
    """Refuse queued work, unless it has started or ended meanwhile."""
    if work.work in state.works and work.started_at is None:
        remove_queued(work, state)
        execution.finish(work, failure, state)
