"""Non-blocking client of the platform's object API, for instances.

One connection carries the watch, another one the writes, which a watch would delay.
"""

import socket
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import quote, urlsplit

import orjson
from attrs import define, field

from .http_client import Call, HttpConnection, http_request
from .kind_messages import Unreadable
from .messages import (
    ObjectsReceived,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WatchStore,
    WriteStore,
)
from .shell_base import OutboxHandlers
from .sockets import Poller
from .tables import State

CALL_TIMEOUT_S = 2.0  # A watch has this in addition to the time that it may wait.
DEFAULT_PORT = 80
# How deep the fields of an object's value are nested in the response to a watch.
WATCH_PART_DEPTH = 4
OK = 200
CREATED = 201
# Answers to a write whose object is missing, has another version, or does not match the
# condition.
CONFLICT_STATUSES = frozenset({404, 409, 412})


@define(eq=False)
class StoreClient:
    """The adapter between an instance's core and the store, with its connections."""

    state: State
    poller: Poller
    deliver_all: Callable[[list[object]], None]
    address: str = field(init=False)
    host: str = field(init=False)
    prefix: str = field(init=False)
    watch_connection: HttpConnection = field(init=False)
    write_connection: HttpConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Resolve the store's host name once, before the loop runs; raise OSError."""
        url = urlsplit(self.state.settings.platform)
        port = url.port or DEFAULT_PORT
        found = socket.getaddrinfo(url.hostname, port, type=socket.SOCK_STREAM)
        self.address = f"{found[0][4][0]!s}:{port}"
        self.host = url.netloc
        self.prefix = url.path.rstrip("/")
        self.watch_connection = self.connection()
        self.write_connection = self.connection()

    def connection(self) -> HttpConnection:
        """Return a new connection to the store."""
        return HttpConnection(
            "store", self.address, self.state, self.poller, self.deliver_all
        )

    def watch(self, message: WatchStore) -> None:
        """Send a watch for changes; abandon an earlier one."""
        if self.watch_connection.calls:
            self.watch_connection.abandon()
        path = f"/v1/objects?after={message.version}&wait_ms={message.wait_ms}"
        call = Call(
            self.request("GET", path),
            convert_watch_response,
            partial(StoreFailed, 0),
            WATCH_PART_DEPTH,
        )
        self.watch_connection.add(call, message.wait_ms / 1000 + CALL_TIMEOUT_S)

    def write(self, message: WriteStore) -> None:
        """Write an object if its version is still the expected one."""
        path = f"/v1/objects/{quote(message.kind, '')}/{quote(message.name, '')}"
        condition = (
            f"If-Match: {message.version}\r\n"
            if message.version
            else "If-None-Match: *\r\n"
        )
        body = orjson.dumps(message.value)
        request = self.request("PUT", path, condition, body)
        convert = write_response_converter(message)
        fail = partial(StoreFailed, message.call)
        self.write_connection.add(Call(request, convert, fail), CALL_TIMEOUT_S)

    def request(
        self, method: str, path: str, headers: str = "", body: bytes = b""
    ) -> bytes:
        """Return the bytes of a request."""
        return http_request(method, self.host, self.prefix + path, headers, body)

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the functions that carry out messages of the core, by type."""
        return {WatchStore: self.watch, WriteStore: self.write}

    def gauges(self) -> dict[str, int]:
        """Return no gauges."""
        return {}

    def close(self) -> None:
        """Close both connections."""
        self.watch_connection.abandon()
        self.write_connection.abandon()


def parse_object(value: dict[str, Any]) -> StoreObject:
    """Convert the JSON form of a stored object.

    Raise KeyError, TypeError or ValueError if it can't be read.
    """
    kind, name, version = value["kind"], value["name"], int(value["version"])
    content = value.get("value")
    if content is not None and not isinstance(content, dict):
        raise TypeError(f"not a mapping: {content!r}")
    for part in (kind, name, *(content or {}).values()):
        if isinstance(part, Unreadable):
            raise ValueError(part.detail)
    return StoreObject(kind, name, version, content)


def convert_watch_response(status: int, value: Any) -> object:
    """Convert the response to a watch into a message for the core."""
    if status != OK:
        return StoreFailed(0, f"status {status}")
    items, unreadable = [], []
    for item in value["items"]:
        try:
            items.append(parse_object(item))
        except (KeyError, TypeError, ValueError) as error:
            unreadable.append(f"{item!r}: {error!r}")
    return ObjectsReceived(int(value["version"]), tuple(items), tuple(unreadable))


def write_response_converter(message: WriteStore) -> Callable[[int, Any], object]:
    """Return the function that converts the response to a write."""

    def convert(status: int, value: Any) -> object:
        if status in (OK, CREATED):
            item = StoreObject(
                message.kind, message.name, int(value["version"]), message.value
            )
            return StoreWritten(message.call, item)
        if status in CONFLICT_STATUSES:
            is_object = isinstance(value, dict) and "kind" in value
            return StoreConflict(
                message.call, parse_object(value) if is_object else None
            )
        return StoreFailed(message.call, f"status {status}")

    return convert
