"""Calls of the platform's object API: one connection for the watch, one for writes."""

import socket
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import quote, urlsplit

import orjson
from attrs import define, field

from .edges import Performers
from .http_connections import Call, HttpConnection, http_request
from .messages import (
    ObjectsReceived,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WatchStore,
    WriteStore,
)
from .sockets import Poller
from .tables import State

CALL_TIMEOUT_S = 2.0  # Beyond the time for which a watch may wait.
DEFAULT_PORT = 80
OK = 200
CREATED = 201
# The object is missing, has another version, or does not match the condition.
CONFLICT_STATUSES = frozenset({404, 409, 412})


@define(eq=False)
class StoreClient:
    """The connections of an instance to the store."""

    state: State
    poller: Poller
    deliver_all: Callable[[list[object]], None]
    address: str = field(init=False)
    host: str = field(init=False)
    prefix: str = field(init=False)
    watching: HttpConnection = field(init=False)
    writing: HttpConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Resolve the platform's name once, before the loop runs; raise OSError."""
        url = urlsplit(self.state.settings.platform)
        port = url.port or DEFAULT_PORT
        found = socket.getaddrinfo(url.hostname, port, type=socket.SOCK_STREAM)
        self.address = f"{found[0][4][0]!s}:{port}"
        self.host = url.netloc
        self.prefix = url.path.rstrip("/")
        self.watching = self.connection()
        self.writing = self.connection()

    def connection(self) -> HttpConnection:
        """Return a connection to the store."""
        return HttpConnection(
            "store", self.address, self.state, self.poller, self.deliver_all
        )

    def watch(self, message: WatchStore) -> None:
        """Ask for changes, in place of an earlier watch."""
        if self.watching.calls:
            self.watching.abandon()
        path = f"/v1/objects?after={message.version}&wait_ms={message.wait_ms}"
        call = Call(self.request("GET", path), watch_result, partial(StoreFailed, 0))
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
        fail = partial(StoreFailed, message.call)
        self.writing.add(Call(request, convert, fail), CALL_TIMEOUT_S)

    def request(
        self, method: str, path: str, headers: str = "", body: bytes = b""
    ) -> bytes:
        """Return the bytes of a request."""
        return http_request(method, self.host, self.prefix + path, headers, body)

    def performers(self) -> Performers:
        """Return what the edge carries out."""
        return {WatchStore: self.watch, WriteStore: self.write}

    def gauges(self) -> dict[str, int]:
        """Return the sizes of what the edge keeps."""
        return {}

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
