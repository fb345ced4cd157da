"""Generated malformed input at the edges of an instance on the users' platform.

A message that cannot be read must end at most the connection that brought it.
"""

import sys
from pathlib import Path
from typing import Any

import msgpack
import orjson
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from pimentodrift.kind_messages import Unreadable, WatchedKind
from pimentodrift.messages import PeerMessage
from pimentodrift.peer_codec import PeerCodec, PeerCodecError, message_classes

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

from adapter.database_connections import DatabaseConnection  # noqa: E402
from adapter.line_protocol import (  # noqa: E402
    LineError,
    LineReader,
    parse_command,
    parse_position,
)
from adapter.line_server import ClientConnection  # noqa: E402
from adapter.object_decoding import decode_content  # noqa: E402

GENERATED = settings(max_examples=300, deadline=None, derandomize=True)
LONG_NUMBER = "9" * 5000  # More digits than `int` converts.

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False)
    | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
ENDPOINT: dict[str, Any] = {
    "upstream": "g",
    "address": "10.0.0.1:1",
    "zone": "z",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "sequence": 1,
    "born": 1,
}
ROUTE: dict[str, Any] = {
    "host": "db",
    "upstream": "g",
    "routeKind": "primary",
    "maxStalenessMs": 1500,
    "timeoutMs": 800,
    "targetLatencyMs": 300,
}
WORKSPACE: dict[str, Any] = {
    "name": "w",
    "apiKeys": ["k"],
    "ratePerS": 5,
    "burst": 5,
    "priority": 1,
}


def lines(words: list[str]) -> st.SearchStrategy[str]:
    """Return lines that begin with a known word, and others."""
    known = st.builds(" ".join, st.tuples(st.sampled_from(words), st.text()))
    return known | st.text()


CLIENT_LINES = lines(["STARTUP", "QUERY", "QUERY 1", "QUERY 1 SET", "TERMINATE"])
DATABASE_LINES = lines(["ROW", "DONE", "ERROR", "READY", "READY I", "READY T"])


@GENERATED
@given(st.lists(st.binary(max_size=40) | st.sampled_from([b"\r\n", b"\xff"])))
def test_line_reader(parts: list[bytes]) -> None:
    """Guards against bytes that are no text, or split at any place."""
    reader = LineReader()
    try:
        for part in parts:
            list(reader.feed(part))
    except LineError:
        return


@GENERATED
@given(CLIENT_LINES)
def test_lines_of_clients(line: str) -> None:
    """Guards against a client's line that fails with another error than its own."""
    for is_open in (False, True):
        connection = object.__new__(ClientConnection)
        connection.number, connection.is_open = 1, is_open
        try:
            connection.decode(line)
        except LineError:
            continue
    parse_command(line)


@GENERATED
@given(st.lists(DATABASE_LINES, max_size=6))
@example([f"READY I {LONG_NUMBER}.1"])
@example([f"READY I 1.{LONG_NUMBER}", f"READY I 1.{LONG_NUMBER}"])
def test_lines_of_databases(received: list[str]) -> None:
    """Guards against a database's line that fails with another error than its own."""
    connection = object.__new__(DatabaseConnection)
    connection.number, connection.is_open = 1, False
    connection.rows, connection.signature = [], ""
    connection.fault, connection.detail = None, ""
    try:
        for line in received:
            connection.decode(line)
    except LineError:
        return


def test_position_with_too_many_digits_is_none() -> None:
    """Guards against a number that cannot be converted."""
    assert parse_position(f"{LONG_NUMBER}.1") is None
    assert parse_position(f"1.{LONG_NUMBER}") is None


@GENERATED
@given(JSON_VALUES)
def test_objects_of_the_store(value: Any) -> None:
    """Guards against an object of another writer that is not merely unreadable."""
    value = value if isinstance(value, dict) else {"spec": value}
    for kind in WatchedKind:
        decode_content(kind, "main", 1, value)


@pytest.mark.parametrize(
    ("kind", "base", "wrap"),
    [
        (WatchedKind.REGISTRY, ENDPOINT, lambda spec: spec),
        (
            WatchedKind.CONFIGURATION,
            ROUTE,
            lambda route: {"version": 1, "routes": [route], "upstreams": []},
        ),
        (
            WatchedKind.CONFIGURATION,
            WORKSPACE,
            lambda item: {
                "version": 1,
                "routes": [],
                "upstreams": [],
                "tenants": [item],
            },
        ),
    ],
)
@GENERATED
@given(data=st.data())
def test_objects_with_one_changed_field(
    kind: WatchedKind, base: dict[str, Any], wrap: Any, data: st.DataObject
) -> None:
    """Guards against an entry that is right but for the type of one field."""
    name = data.draw(st.sampled_from(sorted(base)))
    assert not isinstance(
        decode_content(kind, "main", 1, {"spec": wrap(base)}), Unreadable
    )
    changed = base | {name: data.draw(JSON_VALUES)}
    decode_content(kind, "main", 1, {"spec": wrap(changed)})
    without = {key: value for key, value in base.items() if key != name}
    decode_content(kind, "main", 1, {"spec": wrap(without)})


@pytest.mark.parametrize("duration", [1e300, 10**18])
def test_duration_out_of_range(duration: float) -> None:
    """Guards against a number that no duration can hold."""
    route = ROUTE | {"timeoutMs": duration}
    spec = {"version": 1, "routes": [route], "upstreams": []}
    content = decode_content(WatchedKind.CONFIGURATION, "main", 1, {"spec": spec})
    assert isinstance(content, Unreadable)


@GENERATED
@given(st.data())
def test_messages_of_peers(data: st.DataObject) -> None:
    """Guards against a peer's message that fails with another error than its own."""
    names = sorted(cls.__name__ for cls in message_classes(PeerMessage))
    name = data.draw(st.sampled_from(names) | st.text(max_size=8))
    fields = data.draw(st.lists(JSON_VALUES, max_size=8) | JSON_VALUES)
    packed = msgpack.packb((name, orjson.loads(orjson.dumps(fields))))
    codec = PeerCodec()
    try:
        codec.decode(msgpack.unpackb(packed))
    except PeerCodecError:
        return
