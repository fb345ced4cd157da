"""The pool of work connections that an owner keeps to each of its endpoints.

Connections are opened on demand. An owner uses at most half of what the endpoint
allows, so that a second instance that believes itself the owner fits beside it.
"""

from datetime import timedelta

from .connections import close_connection, open_connection
from .tables import EndpointRow, State
from .work_rows import ConnectionPurpose, EndpointQueue

RESERVED_CONNECTIONS = 2  # Part of an owner's half, kept free for monitoring.
IDLE_LIMIT = timedelta(seconds=60)  # Connections idle for longer are closed.
OPENING_LIMIT = timedelta(seconds=2)  # Far above the 30 ms of a slow connect.


def max_connections(endpoint: EndpointRow) -> int:
    """Return how many work connections an owner may have to an endpoint."""
    return max(1, endpoint.connections // 2 - RESERVED_CONNECTIONS)


def queue_of(endpoint: str, state: State) -> EndpointQueue:
    """Return the queue of an endpoint, creating it at its first use."""
    queue = state.queues.get(endpoint)
    if queue is None:
        queue = EndpointQueue(endpoint)
        state.queues[endpoint] = queue
    return queue


def take_idle(queue: EndpointQueue) -> int | None:
    """Remove and return the most recently used idle connection, if any."""
    return queue.idle.pop()[0] if queue.idle else None


def return_to_pool(queue: EndpointQueue, connection: int, state: State) -> None:
    """Return a connection to the pool; it has no batch in flight and no transaction."""
    if connection in queue.connections:
        queue.idle.append((connection, state.clock.monotonic()))


def open_more(queue: EndpointQueue, wanted: int, state: State) -> None:
    """Open connections until `wanted` are idle or opening, within the limit."""
    endpoint = state.endpoints.get(queue.endpoint)
    if endpoint is None:
        return
    room = max_connections(endpoint) - len(queue.connections)
    missing = wanted - len(queue.idle) - len(queue.opening)
    for _ in range(min(room, missing)):
        connection = open_connection(queue.endpoint, ConnectionPurpose.WORK, state)
        queue.connections.add(connection)
        queue.opening[connection] = state.clock.monotonic()


def add_opened(queue: EndpointQueue, connection: int, state: State) -> None:
    """Put a connection that has just opened into the pool."""
    queue.opening.pop(connection, None)
    return_to_pool(queue, connection, state)


def remove_connection(queue: EndpointQueue, connection: int) -> None:
    """Remove a lost connection from the pool."""
    queue.connections.discard(connection)
    queue.opening.pop(connection, None)
    queue.idle = type(queue.idle)(
        entry for entry in queue.idle if entry[0] != connection
    )


def close(queue: EndpointQueue, connection: int, state: State) -> None:
    """Close a connection whose state is unknown or that is no longer needed."""
    remove_connection(queue, connection)
    close_connection(connection, state)


def close_idle(queue: EndpointQueue, state: State) -> None:
    """Close the idle connections of an endpoint that has stopped answering.

    Connections to a machine that has died stay open on this side. When the endpoint is
    back, the first work on each of them would wait until its deadline.
    """
    while queue.idle:
        close(queue, queue.idle[0][0], state)


def close_expired(queue: EndpointQueue, state: State) -> list[int]:
    """Close connections that were idle or opening too long; return the latter."""
    now = state.clock.monotonic()
    while queue.idle and now - queue.idle[0][1] > IDLE_LIMIT:
        close(queue, queue.idle[0][0], state)
    late = [
        number for number, since in queue.opening.items() if now - since > OPENING_LIMIT
    ]
    for number in late:
        close(queue, number, state)
    return late
