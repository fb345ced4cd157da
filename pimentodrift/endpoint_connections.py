"""Connections to endpoints with libpq's non-blocking calls and pipeline mode.

libpq owns the sockets; this module registers their descriptors with the poller for the
epoll events that libpq needs. A batch takes one round trip: it sends the statements of
all segments, with a Sync message after each segment.
"""

from collections.abc import Callable
from select import EPOLLIN, EPOLLOUT

from attrs import define, field
from psycopg import Error, pq

from .endpoint_results import (
    ABORTED,
    encode_statement,
    to_result,
    unsendable_results,
)
from .messages import (
    CloseEndpoint,
    EndpointAnswered,
    EndpointClosed,
    EndpointOpened,
    OpenEndpoint,
    RunBatch,
    StatementResult,
)
from .shell_base import OutboxHandlers
from .sockets import Poller, parse_address
from .tables import State
from .timers import Timer

CONNECT_TIMEOUT_S = 2.0
WANTED_EVENTS: dict[int, int] = {
    pq.PollingStatus.READING: EPOLLIN,
    pq.PollingStatus.WRITING: EPOLLOUT,
}
DATA_STATUSES = frozenset(
    {
        pq.ExecStatus.TUPLES_OK,
        pq.ExecStatus.COMMAND_OK,
        pq.ExecStatus.EMPTY_QUERY,
        pq.ExecStatus.FATAL_ERROR,
    }
)


@define(eq=False)
class EndpointConnection:
    """A connection to an endpoint; it runs one batch at a time."""

    adapter: "EndpointConnections"
    number: int
    libpq: pq.abc.PGconn
    descriptor: int = -1
    is_open: bool = False
    is_closed: bool = False
    was_accepted: bool = False  # The TCP connection was established.
    batch: int = 0  # Number of the batch in flight, or 0.
    pending_syncs: int = 0  # Segments of the batch whose Sync is not yet answered.
    results: list[StatementResult] = field(factory=list)
    connect_timer: Timer | None = None

    def on_ready(self, events: int) -> None:
        """Continue to connect, read or write."""
        try:
            if self.is_open:
                self.read_and_write(events)
            else:
                self.poll_connect()
        except Error as error:
            self.fail(str(error))

    def poll_connect(self) -> None:
        """Let libpq take the next step of connecting."""
        status = self.libpq.connect_poll()
        if status == pq.PollingStatus.FAILED:
            self.fail(self.libpq.get_error_message())
        elif status == pq.PollingStatus.OK:
            self.on_open()
        else:
            self.was_accepted = self.libpq.status != pq.ConnStatus.STARTED
            self.watch(WANTED_EVENTS.get(status, EPOLLIN | EPOLLOUT))

    def watch(self, events: int) -> None:
        """Watch libpq's socket, whose descriptor may change while connecting."""
        descriptor = self.libpq.socket
        if descriptor != self.descriptor:
            self.adapter.poller.unwatch(self.descriptor)
            self.descriptor = descriptor
        self.adapter.poller.watch(descriptor, self, events)

    def on_open(self) -> None:
        """Enter pipeline mode and tell the core that the connection is open."""
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.libpq.nonblocking = 1
        self.libpq.enter_pipeline_mode()
        self.is_open = self.was_accepted = True
        self.watch(EPOLLIN)
        self.adapter.deliver_all([EndpointOpened(self.number)])

    def run(self, message: RunBatch) -> None:
        """Send a batch, or answer it at once if it cannot be sent."""
        refused = unsendable_results(message.segments)
        if refused is not None:
            answer = EndpointAnswered(self.number, message.batch, refused)
            self.adapter.deliver_all([answer])
            return
        self.adapter.state.counters["endpoints.batches"] += 1
        self.batch = message.batch
        self.pending_syncs = len(message.segments)
        self.results = []
        try:
            for segment in message.segments:
                for statement in segment:
                    self.libpq.send_query_params(*encode_statement(statement))
                self.libpq.pipeline_sync()
            self.flush()
        except Error as error:
            self.fail(str(error))

    def flush(self) -> None:
        """Write buffered output; watch for a writable socket if some remains."""
        has_more = self.libpq.flush()
        self.watch(EPOLLIN | EPOLLOUT if has_more else EPOLLIN)

    def read_and_write(self, events: int) -> None:
        """Read input and write buffered output as the epoll events allow."""
        if events & ~EPOLLOUT:
            self.libpq.consume_input()
        if events & EPOLLOUT:
            self.flush()
        end_markers = 0  # libpq returns one None after the results of a statement.
        while self.batch and not self.libpq.is_busy():
            result = self.libpq.get_result()
            if result is not None:
                end_markers = 0
                self.handle_result(result)
                continue
            end_markers += 1
            if end_markers > 1 or self.libpq.status != pq.ConnStatus.OK:
                self.fail(self.libpq.get_error_message())
        if not self.batch and not self.is_closed:
            self.libpq.is_busy()  # Parses notices that arrived between batches.

    def handle_result(self, result: pq.abc.PGresult) -> None:
        """Add a result to those of the batch, or end a segment."""
        status = result.status
        if status in DATA_STATUSES:
            self.results.append(to_result(result))
        elif status == pq.ExecStatus.PIPELINE_ABORTED:
            self.results.append(ABORTED)
        elif status == pq.ExecStatus.PIPELINE_SYNC:
            self.end_segment()
        else:  # COPY and other modes are unsupported and cannot be ended.
            self.fail(f"unsupported result status {pq.ExecStatus(status).name}")

    def end_segment(self) -> None:
        """Count the end of a segment; answer the batch after its last one."""
        self.pending_syncs -= 1
        if self.pending_syncs:
            return
        batch, self.batch = self.batch, 0
        results, self.results = self.results, []
        answer = EndpointAnswered(self.number, batch, tuple(results))
        self.adapter.deliver_all([answer])

    def fail(self, detail: str = "internal error", timed_out: bool = False) -> None:
        """Close the connection and tell the core why it was lost."""
        if not self.is_closed:
            self.close()
            self.adapter.state.counters["endpoints.lost"] += 1
            refused = not self.was_accepted and not timed_out
            closed = EndpointClosed(self.number, detail.strip(), refused)
            self.adapter.deliver_all([closed])

    def close(self) -> None:
        """Close the connection without telling the core."""
        if self.is_closed:
            return
        self.is_closed = True
        self.adapter.connections.pop(self.number, None)
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        self.adapter.poller.unwatch(self.descriptor)
        self.libpq.finish()
        self.batch = 0


class EndpointConnections:
    """All connections of an instance to endpoints, by number."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        deliver_all: Callable[[list[object]], None],
    ) -> None:
        self.state = state
        self.poller = poller
        self.deliver_all = deliver_all
        self.connections: dict[int, EndpointConnection] = {}

    def open(self, message: OpenEndpoint) -> None:
        """Begin to connect to an endpoint."""
        self.state.counters["endpoints.connects"] += 1
        try:
            text = conninfo(message.address)
        except OSError as error:
            closed = EndpointClosed(message.connection, str(error))
            self.deliver_all([closed])
            return
        libpq = pq.PGconn.connect_start(text)
        connection = EndpointConnection(self, message.connection, libpq)
        self.connections[message.connection] = connection
        if libpq.status == pq.ConnStatus.BAD:
            connection.fail(libpq.get_error_message())
            return
        connection.connect_timer = self.poller.timers.call_later(
            CONNECT_TIMEOUT_S,
            lambda: connection.fail("connect timeout", timed_out=True),
        )
        # libpq requires a wait for a writable socket before the first `connect_poll`.
        connection.watch(EPOLLOUT)

    def run(self, message: RunBatch) -> None:
        """Run a batch, unless the loss of its connection was already reported."""
        connection = self.connections.get(message.connection)
        if connection is not None:
            connection.run(message)

    def close_connection(self, message: CloseEndpoint) -> None:
        """Close the connection that a message names."""
        connection = self.connections.get(message.connection)
        if connection is not None:
            connection.close()

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the handlers of messages about endpoint connections."""
        return {
            OpenEndpoint: self.open,
            RunBatch: self.run,
            CloseEndpoint: self.close_connection,
        }

    def gauges(self) -> dict[str, int]:
        """Return the number of connections."""
        return {"endpoints.connections": len(self.connections)}

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections.values()):
            connection.close()


def conninfo(address: str) -> bytes:
    """Return libpq's connection string for a numeric address; raise OSError."""
    host, port = parse_address(address)[1][:2]
    text = (
        f"hostaddr={host} port={port} user=pimentodrift"
        " dbname=pimentodrift sslmode=disable gssencmode=disable"
    )
    return text.encode()
