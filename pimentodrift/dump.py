"""Gives the state of an instance on request, over its peer port.

The dump is for operators: tables with their rows, and counters. It never has a key or
a digest of one; keys appear only by their key id.
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
# Not tables: what the shell has passed in, and what is on its way out.
OMITTED = frozenset({"clock", "random", "outbox", "events", "typed_events"})
# Fields that hold keys or their digests; headers carry the caller's key.
SECRET_FIELDS = frozenset({"digest", "headers", "authorization"})
# Kinds of the store's objects whose values hold digests of keys.
SECRET_KINDS = frozenset({"piece"})
SECOND = timedelta(seconds=1)


@frozen
class DumpRequest(PeerMessage):
    """Ask an instance for its state."""


@frozen
class DumpReply(PeerMessage):
    """Carry the state of an instance."""

    state: dict[str, Any] = field(factory=dict)


def dump_reply(state: State) -> DumpReply:
    """Return the reply to a request for the state."""
    return DumpReply(dump_state(state))


def dump_state(state: State) -> dict[str, Any]:
    """Return the tables and counters as plain values."""
    key_ids = {row.digest: row.key_id for row in state.configuration.keys.values()}
    names = [item.name for item in attrs.fields(State) if item.name not in OMITTED]
    return {name: plain(getattr(state, name), key_ids) for name in names}


def plain(value: Any, key_ids: Mapping[str, str]) -> Any:
    """Return a value with only what JSON has; times are in seconds."""
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
        return [plain(part, key_ids) for part in value]
    return type(value).__name__


def plain_row(row: Any, key_ids: Mapping[str, str]) -> dict[str, Any]:
    """Return a row without secrets."""
    hidden = set(SECRET_FIELDS)
    if getattr(row, "kind", None) in SECRET_KINDS:
        hidden.add("value")
    # A field without a representation holds keys.
    names = (item.name for item in attrs.fields(type(row)) if item.repr)
    return {
        name: plain(getattr(row, name), key_ids) for name in names if name not in hidden
    }


def plain_table(table: dict[Any, Any], key_ids: Mapping[str, str]) -> dict[str, Any]:
    """Return a table with text for its keys."""
    return {
        plain_key(key, key_ids): plain(row, key_ids)
        for key, row in table.items()
        if key not in SECRET_FIELDS
    }


def plain_key(key: Any, key_ids: Mapping[str, str]) -> str:
    """Return the text that names a row."""
    if isinstance(key, tuple):
        return "/".join(plain_key(part, key_ids) for part in key)
    return key_ids.get(key, str(key))


def fetch_dump(address: str) -> dict[str, Any]:
    """Return the state of the instance at a peer address; raise OSError."""
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
