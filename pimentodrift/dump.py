"""Dumps the state of an instance, which it sends on request over its peer port.

The dump is for operators: it has all tables with their rows, and the counters. It never
contains a key or the digest of one; a key appears only as its key id.
"""

import socket
from collections.abc import Mapping
from datetime import timedelta
from enum import Enum
from typing import Any, cast

import attrs
from attrs import field, frozen

from .messages import PeerMessage
from .peer_codec import PeerCodec, make_unpacker
from .sockets import READ_BYTES
from .tables import State

CLIENT_TIMEOUT_S = 10.0
MAX_REPLY_BYTES = 256 * 1024 * 1024
# Fields of the state that are not tables: objects that the shell passes in, and queues
# of messages and log events for the shell.
OMITTED = frozenset({"clock", "random", "outbox", "events", "typed_events"})
# Fields that hold keys or their digests; headers contain the caller's key.
SECRET_FIELDS = frozenset({"digest", "headers", "authorization"})
# Kinds of store objects whose values hold digests of keys.
SECRET_KINDS = frozenset({"piece"})
SECOND = timedelta(seconds=1)


@frozen
class DumpRequest(PeerMessage):
    """Ask an instance for a dump of its state."""


@frozen
class DumpReply(PeerMessage):
    """Answer a `DumpRequest` with the state of the instance."""

    state: dict[str, Any] = field(factory=dict)


def dump_reply(state: State) -> DumpReply:
    """Return the reply to a `DumpRequest`."""
    return DumpReply(dump_state(state))


def dump_state(state: State) -> dict[str, Any]:
    """Return the tables and counters as values that JSON can represent."""
    key_ids = {row.digest: row.key_id for row in state.configuration.keys.values()}
    names = [item.name for item in attrs.fields(State) if item.name not in OMITTED]
    return {name: plain_value(getattr(state, name), key_ids) for name in names}


def plain_value(value: Any, key_ids: Mapping[str, str]) -> Any:
    """Convert a value to types that JSON can represent; durations to seconds."""
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, str):
        return key_ids.get(value, str(value))
    if isinstance(value, timedelta):
        return value / SECOND
    if isinstance(value, Enum):
        return value.name
    if isinstance(value, dict):
        return plain_table(value, key_ids)
    if attrs.has(type(value)):
        return plain_row(value, key_ids)
    if hasattr(value, "__iter__") and hasattr(value, "__len__"):
        return [plain_value(part, key_ids) for part in value]
    return type(value).__name__


def plain_row(row: Any, key_ids: Mapping[str, str]) -> dict[str, Any]:
    """Convert a row, or another object with fields, without its secret fields."""
    hidden = set(SECRET_FIELDS)
    if getattr(row, "kind", None) in SECRET_KINDS:
        hidden.add("value")
    # Fields that hold keys are defined with `repr=False`.
    names = (item.name for item in attrs.fields(type(row)) if item.repr)
    return {
        name: plain_value(getattr(row, name), key_ids)
        for name in names
        if name not in hidden
    }


def plain_table(table: dict[Any, Any], key_ids: Mapping[str, str]) -> dict[str, Any]:
    """Convert a table or another dict to text keys, without secret fields."""
    return {
        plain_key(key, key_ids): plain_value(row, key_ids)
        for key, row in table.items()
        if key not in SECRET_FIELDS
    }


def plain_key(key: Any, key_ids: Mapping[str, str]) -> str:
    """Convert the key of a table to text; replace key digests by key ids."""
    if isinstance(key, tuple):
        return "/".join(plain_key(part, key_ids) for part in key)
    return key_ids.get(key, str(key))


def fetch_dump(address: str) -> dict[str, Any]:
    """Return the dump of the instance at a peer address; raise OSError."""
    host, _, port = address.rpartition(":")
    codec = PeerCodec()
    unpacker = make_unpacker(MAX_REPLY_BYTES)
    target = (host.strip("[]"), int(port))
    with socket.create_connection(target, CLIENT_TIMEOUT_S) as connection:
        connection.sendall(codec.encode(DumpRequest()))
        while data := connection.recv(READ_BYTES):
            unpacker.feed(data)
            for part in unpacker:
                return cast(DumpReply, codec.decode(part)).state
    raise ConnectionError(f"{address} closed the connection without a reply")
