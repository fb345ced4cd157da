"""Connections to endpoints with libpq's non-blocking calls and pipeline mode.

libpq owns the sockets; this module only registers their descriptors for the events
that libpq wants. A batch is one round trip: all statements, one Sync per segment.
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
    """One connection; it runs one batch at a time."""

    owner: "EndpointConnections"
    number: int
    libpq: pq.abc.PGconn
    descriptor: int = -1
    is_open: bool = False
    is_closed: bool = False
    was_accepted: bool = False  # The TCP connection was established.
    batch: int = 0
    syncs: int = 0  # Segments of the batch that are still to end.
    results: list[StatementResult] = field(factory=list)
    timer: Timer | None = None

    def on_ready(self, events: int) -> None:
        """Go on connecting, reading or writing."""
        try:
            if self.is_open:
                self.transfer(events)
            else:
                self.poll_connect()
        except Error as error:
            self.fail(str(error))

    def poll_connect(self) -> None:
        """Take the next step of connecting."""
        status = self.libpq.connect_poll()
        if status == pq.PollingStatus.FAILED:
            self.fail(self.libpq.get_error_message())
        elif status == pq.PollingStatus.OK:
            self.opened()
        else:
            self.was_accepted = self.libpq.status != pq.ConnStatus.STARTED
            self.watch(WANTED_EVENTS.get(status, EPOLLIN | EPOLLOUT))

    def watch(self, events: int) -> None:
        """Register libpq's socket, whose descriptor may change while connecting."""
        descriptor = self.libpq.socket
        if descriptor != self.descriptor:
            self.owner.poller.unwatch(self.descriptor)
            self.descriptor = descriptor
        self.owner.poller.watch(descriptor, self, events)

    def opened(self) -> None:
        """Begin the use of the connection."""
        if self.timer is not None:
            self.timer.cancel()
        self.libpq.nonblocking = 1
        self.libpq.enter_pipeline_mode()
        self.is_open = self.was_accepted = True
        self.watch(EPOLLIN)
        self.owner.deliver_all([EndpointOpened(self.number)])

    def run(self, message: RunBatch) -> None:
        """Send a batch."""
        refused = unsendable_results(message.segments)
        if refused is not None:
            answer = EndpointAnswered(self.number, message.batch, refused)
            self.owner.deliver_all([answer])
            return
        self.owner.state.counters["endpoints.batches"] += 1
        self.batch = message.batch
        self.syncs = len(message.segments)
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
        """Write, and wait for room if libpq has more to write."""
        has_more = self.libpq.flush()
        self.watch(EPOLLIN | EPOLLOUT if has_more else EPOLLIN)

    def transfer(self, events: int) -> None:
        """Read what has arrived and write what waits."""
        if events & ~EPOLLOUT:
            self.libpq.consume_input()
        if events & EPOLLOUT:
            self.flush()
        ends = 0  # A statement's results end with one None.
        while self.batch and not self.libpq.is_busy():
            result = self.libpq.get_result()
            if result is not None:
                ends = 0
                self.take(result)
                continue
            ends += 1
            if ends > 1 or self.libpq.status != pq.ConnStatus.OK:
                self.fail(self.libpq.get_error_message())
        if not self.batch and not self.is_closed:
            self.libpq.is_busy()  # Parses notices that arrive between batches.

    def take(self, result: pq.abc.PGresult) -> None:
        """Add a result to the batch, or end a segment."""
        status = result.status
        if status in DATA_STATUSES:
            self.results.append(to_result(result))
        elif status == pq.ExecStatus.PIPELINE_ABORTED:
            self.results.append(ABORTED)
        elif status == pq.ExecStatus.PIPELINE_SYNC:
            self.end_segment()
        else:  # COPY and other modes cannot be used here and cannot be left.
            self.fail(f"unsupported result status {pq.ExecStatus(status).name}")

    def end_segment(self) -> None:
        """Answer the batch after its last segment."""
        self.syncs -= 1
        if self.syncs:
            return
        batch, self.batch = self.batch, 0
        results, self.results = self.results, []
        answer = EndpointAnswered(self.number, batch, tuple(results))
        self.owner.deliver_all([answer])

    def fail(self, detail: str = "internal error", timed_out: bool = False) -> None:
        """Close and tell the core."""
        if not self.is_closed:
            self.close()
            self.owner.state.counters["endpoints.lost"] += 1
            refused = not self.was_accepted and not timed_out
            closed = EndpointClosed(self.number, detail.strip(), refused)
            self.owner.deliver_all([closed])

    def close(self) -> None:
        """Close without a message."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.connections.pop(self.number, None)
        if self.timer is not None:
            self.timer.cancel()
        self.owner.poller.unwatch(self.descriptor)
        self.libpq.finish()
        self.batch = 0


class EndpointConnections:
    """All connections of an instance to endpoints."""

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
        """Begin to connect."""
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
        connection.timer = self.poller.timers.call_later(
            CONNECT_TIMEOUT_S,
            lambda: connection.fail("connect timeout", timed_out=True),
        )
        connection.watch(EPOLLOUT)  # As after connect_poll said WRITING.

    def run(self, message: RunBatch) -> None:
        """Run a batch; a closed connection has been reported already."""
        connection = self.connections.get(message.connection)
        if connection is not None:
            connection.run(message)

    def close_one(self, message: CloseEndpoint) -> None:
        """Close a connection."""
        connection = self.connections.get(message.connection)
        if connection is not None:
            connection.close()

    def outbox_handlers(self) -> OutboxHandlers:
        """Return what the edge carries out."""
        return {
            OpenEndpoint: self.open,
            RunBatch: self.run,
            CloseEndpoint: self.close_one,
        }

    def gauges(self) -> dict[str, int]:
        """Return the sizes of what the edge keeps."""
        return {"endpoints.connections": len(self.connections)}

    def close(self) -> None:
        """Close everything."""
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
