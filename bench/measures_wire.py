"""HTTP clients with little overhead, for the measurements of latency and throughput.

`HttpCaller` sends one request at a time over one blocking connection. As a process,
this module keeps many connections open and sends on them in turn, in a closed loop with
a fixed number of requests in flight. The process reads a plan as JSON from standard
input and prints its counts as JSON.
"""

import asyncio
import socket
import sys
from collections import deque
from time import perf_counter, time
from urllib.parse import urlsplit

import httptools
import orjson
from attrs import define, field, frozen
from cattrs import structure

READ_BYTES = 65536
OK = 200
STATEMENT = "SELECT 1"
CONNECTS_AT_ONCE = 50
TOKEN_HEADER = b"session-token"


def request_bytes(key: str, group: str, token: str = "") -> bytes:
    """Return the bytes of an HTTP request for a read."""
    body = orjson.dumps({"statement": STATEMENT, "parameters": [], "access": "read"})
    lines = [
        f"POST /v1/groups/{group}/statements HTTP/1.1",
        "Host: bench",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    if token:
        lines.append(f"Session-Token: {token}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class AnswerParser:
    """Parses one HTTP response; `done` is set at its end."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.done = False
        self.token = ""

    def feed(self, data: bytes) -> None:
        """Parse further bytes of the response."""
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the session token (called by the parser)."""
        if name.lower() == TOKEN_HEADER:
            self.token = value.decode()

    def on_message_complete(self) -> None:
        """Set `done` (called by the parser)."""
        self.done = True

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return int(self.parser.get_status_code())


class HttpCaller:
    """Sends reads to one instance over one connection, one at a time."""

    def __init__(self, proxy: str, key: str, group: str) -> None:
        address = urlsplit(proxy)
        self.connection = socket.create_connection((address.hostname, address.port), 10)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request = request_bytes(key, group)

    def read(self) -> float:
        """Run a read and return its latency in seconds.

        Raises ConnectionError if the connection ends or the status is not 200.
        """
        parser = AnswerParser()
        started = perf_counter()
        self.connection.sendall(self.request)
        while not parser.done:
            data = self.connection.recv(READ_BYTES)
            if not data:
                raise ConnectionError("the instance closed the connection")
            parser.feed(data)
        elapsed = perf_counter() - started
        if parser.status != OK:
            raise ConnectionError(f"the instance answered {parser.status}")
        return elapsed

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


# --- Many connections


@frozen
class Plan:
    """The load of one process; times are wall-clock times."""

    proxy: str
    key: str
    groups: list[str]
    connections: int
    active: int  # Number of connections with a request in flight.
    begin_at: float  # When requests begin; all connections are open by then.
    count_from: float  # When the counting of answers begins.
    end_at: float


@define(eq=False)
class Caller(asyncio.Protocol):
    """A connection whose requests form one session."""

    load: "Load"
    group: str
    parser: AnswerParser = field(factory=AnswerParser)
    transport: asyncio.Transport | None = None
    sent_at: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Count a connection that the instance closed."""
        self.load.lost += not self.load.stopped

    def send(self) -> None:
        """Send a read with the session token of the last answer."""
        token = self.parser.token
        self.parser = AnswerParser()
        self.parser.token = token
        self.sent_at = perf_counter()
        if self.transport is not None:
            plan = self.load.plan
            self.transport.write(request_bytes(plan.key, self.group, token))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; at its end, another connection sends."""
        self.parser.feed(data)
        if self.parser.done:
            self.load.handle_answer(self)


@define(eq=False)
class Load:
    """A closed loop of requests over all connections in turn, and its counts."""

    plan: Plan
    idle: deque[Caller] = field(factory=deque)  # The longest idle connection is first.
    answers: int = 0  # Answers with status 200 in the counted time.
    refused: int = 0  # Answers with another status in the counted time.
    lost: int = 0  # Connections that ended before the end of the plan.
    stopped: bool = False
    latencies: list[float] = field(factory=list)  # Seconds, of the counted answers.

    async def run(self) -> None:
        """Open all connections, send until the end of the plan, and close them."""
        for first in range(0, self.plan.connections, CONNECTS_AT_ONCE):
            last = min(first + CONNECTS_AT_ONCE, self.plan.connections)
            await asyncio.gather(*(self.connect(index) for index in range(first, last)))
        callers = list(self.idle)
        await asyncio.sleep(self.plan.begin_at - time())
        for _ in range(min(self.plan.active, len(callers))):
            self.idle.popleft().send()
        await asyncio.sleep(self.plan.end_at - time())
        self.stopped = True
        for caller in callers:
            if caller.transport is not None:
                caller.transport.abort()

    async def connect(self, index: int) -> None:
        """Open a connection."""
        host, _, port = urlsplit(self.plan.proxy).netloc.rpartition(":")
        group = self.plan.groups[index % len(self.plan.groups)]
        _, caller = await asyncio.get_running_loop().create_connection(
            lambda: Caller(self, group), host, int(port)
        )
        self.idle.append(caller)

    def handle_answer(self, caller: Caller) -> None:
        """Count an answer and send a request on the connection that is idle longest."""
        now = time()
        if self.plan.count_from <= now < self.plan.end_at:
            if caller.parser.status == OK:
                self.answers += 1
                self.latencies.append(perf_counter() - caller.sent_at)
            else:
                self.refused += 1
        self.idle.append(caller)
        if not self.stopped:
            self.idle.popleft().send()


def main() -> None:
    """Read the plan from standard input, run its load, and print the counts."""
    plan = structure(orjson.loads(sys.stdin.buffer.read()), Plan)
    load = Load(plan)
    asyncio.run(load.run())
    result = {
        "answers": load.answers,
        "refused": load.refused,
        "lost": load.lost,
        "latencies": load.latencies,
    }
    sys.stdout.buffer.write(orjson.dumps(result))


if __name__ == "__main__":
    main()
