"""Connections to endpoints: work connections of owners and monitoring connections.

Each connection runs one batch at a time. A connection whose batch has not been
answered is never reused: it is closed when the owner gives up the batch.
"""

from .dispatch import handle
from .messages import (
    CloseEndpoint,
    EndpointAnswered,
    EndpointClosed,
    EndpointOpened,
    OpenEndpoint,
    RunBatch,
    Statement,
)
from .notices import (
    MonitorAnswered,
    MonitorConnectionLost,
    MonitorConnectionReady,
    WorkAnswered,
    WorkConnectionLost,
    WorkConnectionReady,
)
from .tables import State
from .work_rows import ConnectionPurpose, ConnectionRow


def open_connection(endpoint: str, purpose: ConnectionPurpose, state: State) -> int:
    """Begin to open a connection and return its number."""
    row = ConnectionRow(
        state.new_number(), endpoint, purpose, opened_at=state.clock.monotonic()
    )
    state.connections[row.connection] = row
    address = state.endpoints[endpoint].address
    state.outbox.append(OpenEndpoint(row.connection, endpoint, address))
    return row.connection


def run_batch(
    connection: int, segments: tuple[tuple[Statement, ...], ...], state: State
) -> int:
    """Send a batch of pipeline segments on an idle connection; return its number."""
    row = state.connections[connection]
    row.batch = state.new_number()
    state.outbox.append(RunBatch(connection, row.batch, segments))
    return row.batch


def close_connection(connection: int, state: State) -> None:
    """Close a connection; its batch, if any, gets no answer."""
    if state.connections.pop(connection, None) is not None:
        state.outbox.append(CloseEndpoint(connection))


@handle.register
def _(message: EndpointOpened, state: State) -> None:
    row = state.connections.get(message.connection)
    if row is None:
        return
    row.is_open = True
    if row.purpose is ConnectionPurpose.WORK:
        handle(WorkConnectionReady(row.connection), state)
    else:
        handle(MonitorConnectionReady(row.connection), state)


@handle.register
def _(message: EndpointAnswered, state: State) -> None:
    row = state.connections.get(message.connection)
    if row is None or row.batch != message.batch:
        return
    row.batch = 0
    if row.purpose is ConnectionPurpose.WORK:
        handle(WorkAnswered(row.connection, message.batch, message.results), state)
    else:
        handle(MonitorAnswered(row.connection, message.batch, message.results), state)


@handle.register
def _(message: EndpointClosed, state: State) -> None:
    row = state.connections.pop(message.connection, None)
    if row is None:
        return
    if row.purpose is ConnectionPurpose.WORK:
        handle(WorkConnectionLost(row.connection, row.endpoint, row.batch), state)
    else:
        lost = MonitorConnectionLost(
            row.connection, row.endpoint, row.batch, message.refused
        )
        handle(lost, state)
