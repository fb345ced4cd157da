"""Calls of the platform's object API: one connection for the watch, one for writes."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlsplit

import httptools
import orjson
from attrs import define, field

from .messages import (
    ObjectsReceived,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WatchStore,
    WriteStore,
)
from .sockets import Poller, Stream, Timer, connect
from .tables import State

CALL_TIMEOUT_S = 2.0  # Beyond the time for which a watch may wait.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
DEFAULT_PORT = 80
OK = 200
CREATED = 201
# The object is missing, has another version, or does not match the condition.
CONFLICT_STATUSES = frozenset({404, 409, 412})


@define(eq=False)
class Call:
    """A request to the store and what to do with its response."""

    number: int
    request: bytes
    convert: Callable[[int, Any], object]
    timer: Timer | None = None


class StoreConnection:
    """A keep-alive connection that carries one call after the other."""

    def __init__(self, client: "StoreClient") -> None:
        self.client = client
        self.calls: deque[Call] = deque()
        self.is_sent = False  # The first call is on its way.
        self.stream: Stream | None = None
        self.reset_response()

    def reset_response(self) -> None:
        """Prepare for the next response."""
        self.body: list[bytes] = []
        self.size = 0
        self.complete = False
        self.keep_alive = False
        self.status = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    def add(self, call: Call, timeout_s: float) -> None:
        """Queue a call."""
        self.client.state.counters["store.calls"] += 1
        call.timer = self.client.poller.timers.later(
            timeout_s, lambda: self.time_out(call)
        )
        self.calls.append(call)
        self.send_next()

    def send_next(self) -> None:
        """Send the first call if none is on its way."""
        if self.is_sent or not self.calls:
            return
        if self.stream is None:
            try:
                self.stream = connect(self.client.poller, self.client.address, self)
            except OSError as error:
                self.fail_first(str(error))
                return
        self.reset_response()
        self.is_sent = True
        self.stream.write(self.calls[0].request)

    def fail_first(self, detail: str) -> None:
        """Fail the first call and go on with the next."""
        call = self.calls.popleft()
        self.is_sent = False
        self.end(call, StoreFailed(call.number, detail))

    def end(self, call: Call, message: object) -> None:
        """Report a call and go on with the next."""
        if call.timer is not None:
            call.timer.cancel()
        if isinstance(message, StoreFailed):
            self.client.state.counters["store.failed"] += 1
        self.client.deliver_all([message])
        self.send_next()

    def time_out(self, call: Call) -> None:
        """Give up a call; its late response must not be taken for the next."""
        if call not in self.calls:
            return
        if call is self.calls[0]:
            self.disconnect()
            self.fail_first("timeout")
        else:
            self.calls.remove(call)
            self.end(call, StoreFailed(call.number, "timeout"))

    def disconnect(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def abandon(self) -> None:
        """Drop the calls without a report."""
        for call in self.calls:
            if call.timer is not None:
                call.timer.cancel()
        self.calls.clear()
        self.is_sent = False
        self.disconnect()

    def on_connected(self) -> None:
        """Do nothing; the request is queued."""

    def on_drained(self) -> None:
        """Do nothing; requests are sent one at a time."""

    def on_data(self, data: bytes) -> None:
        """Parse the response."""
        self.size += len(data)
        if not self.is_sent or self.size > MAX_RESPONSE_BYTES:
            self.drop("unexpected or too large response")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.drop(f"bad response: {error}")
            return
        if self.complete:
            self.respond()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the response; the parser forgets its state afterwards."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.status = self.parser.get_status_code()

    def respond(self) -> None:
        """Report the first call."""
        call = self.calls.popleft()
        self.is_sent = False
        if not self.keep_alive:
            self.disconnect()
        try:
            value = orjson.loads(b"".join(self.body) or b"null")
            message = call.convert(self.status, value)
        except (ValueError, KeyError, TypeError) as error:
            message = StoreFailed(call.number, f"bad response: {error!r}")
        self.end(call, message)

    def drop(self, detail: str) -> None:
        """Close the connection and fail its call."""
        self.disconnect()
        if self.is_sent:
            self.fail_first(detail)

    def on_closed(self) -> None:
        """Fail the call on its way; an idle connection is opened again on demand."""
        self.stream = None
        if self.is_sent:
            self.fail_first("connection closed")


@define(eq=False)
class StoreClient:
    """The connections of an instance to the store."""

    state: State
    poller: Poller
    deliver_all: Callable[[list[object]], None]
    address: str = field(init=False)
    host: str = field(init=False)
    prefix: str = field(init=False)
    watching: StoreConnection = field(init=False)
    writing: StoreConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Resolve the platform's name once, before the loop runs; raise OSError."""
        url = urlsplit(self.state.settings.platform)
        port = url.port or DEFAULT_PORT
        found = socket.getaddrinfo(url.hostname, port, type=socket.SOCK_STREAM)
        self.address = f"{found[0][4][0]!s}:{port}"
        self.host = url.netloc
        self.prefix = url.path.rstrip("/")
        self.watching = StoreConnection(self)
        self.writing = StoreConnection(self)

    def watch(self, message: WatchStore) -> None:
        """Ask for changes, in place of an earlier watch."""
        if self.watching.calls:
            self.watching.abandon()
        path = f"/v1/objects?after={message.version}&wait_ms={message.wait_ms}"
        call = Call(0, self.request("GET", path), watch_result)
        self.watching.add(call, message.wait_ms / 1000 + CALL_TIMEOUT_S)

    def write(self, message: WriteStore) -> None:
        """Write an object on a condition."""
        path = f"/v1/objects/{quote(message.kind, '')}/{quote(message.name, '')}"
        condition = (
            f"If-Match: {message.version}\r\n"
            if message.version
            else "If-None-Match: *\r\n"
        )
        body = orjson.dumps(message.value)
        request = self.request("PUT", path, condition, body)
        convert = write_result(message)
        self.writing.add(Call(message.call, request, convert), CALL_TIMEOUT_S)

    def request(
        self, method: str, path: str, headers: str = "", body: bytes = b""
    ) -> bytes:
        """Return the bytes of a request."""
        if body:
            headers += (
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            )
        head = f"{method} {self.prefix}{path} HTTP/1.1\r\nHost: {self.host}\r\n"
        return f"{head}{headers}\r\n".encode() + body

    def close(self) -> None:
        """Close everything."""
        self.watching.abandon()
        self.writing.abandon()


def to_object(value: dict[str, Any]) -> StoreObject:
    """Convert an object of the store."""
    return StoreObject(
        value["kind"], value["name"], int(value["version"]), value.get("value")
    )


def watch_result(status: int, value: Any) -> object:
    """Convert the response to a watch."""
    if status != OK:
        return StoreFailed(0, f"status {status}")
    items = tuple(to_object(item) for item in value["items"])
    return ObjectsReceived(int(value["version"]), items)


def write_result(message: WriteStore) -> Callable[[int, Any], object]:
    """Return the function that converts the response to a write."""

    def convert(status: int, value: Any) -> object:
        if status in (OK, CREATED):
            item = StoreObject(
                message.kind, message.name, int(value["version"]), message.value
            )
            return StoreWritten(message.call, item)
        if status in CONFLICT_STATUSES:
            is_object = isinstance(value, dict) and "kind" in value
            return StoreConflict(message.call, to_object(value) if is_object else None)
        return StoreFailed(message.call, f"status {status}")

    return convert
