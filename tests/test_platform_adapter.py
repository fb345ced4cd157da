"""The translation between the users' platform and the product."""

import os
import subprocess
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from adapter import (  # noqa: E402
    database_connections,
    line_protocol,
    object_decoding,
    object_store,
    settings,
)

from pimentodrift import session_messages as m  # noqa: E402
from pimentodrift.fencing.decisions import PrimaryFencing  # noqa: E402
from pimentodrift.fencing.messages import DemoteEndpoint  # noqa: E402
from pimentodrift.kind_messages import (  # noqa: E402
    CheckExpired,
    CheckFailed,
    Gone,
    KindChanged,
    KindChecked,
    KindExpired,
    KindFailed,
    KindListed,
    Unreadable,
    WatchedKind,
)
from pimentodrift.messages import (  # noqa: E402
    Access,
    Position,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WriteStore,
)
from pimentodrift.session_rows import Consistency, EndpointRole  # noqa: E402
from pimentodrift.warmup.decisions import ColdLimit  # noqa: E402

SERVER = {
    "upstream": "g",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldLeftMs": 0,
    "dbRole": "replica",
    "sequence": 4,
    "born": 17,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "db",
            "routeKind": "bounded_staleness",
            "timeoutMs": 2000,
            "targetLatencyMs": 1000,
            "priority": 2,
            "upstream": "g",
            "maxStalenessMs": 1500,
            "public": False,
        }
    ],
    "upstreams": [{"name": "g", "maxConns": 23}],
    "limits": {"txIdleMs": 3000},
    "tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 65, "burst": 60}],
}
SETTINGS: dict[str, Any] = {
    "node": "front-1",
    "region": "r",
    "zone": "z",
    "ip": "127.0.0.1",
    "portRange": [7560, 7575],
    "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "platform": {"address": "127.0.0.1:3"},
    "cloudApi": {"address": "127.0.0.1:4"},
    "limits": {"maxFds": 4200},
    "bounds": {"graceS": 6, "revokeMs": 5000, "configApplyMs": 4000},
}


@pytest.mark.parametrize(
    ("text", "command"),
    [
        ("BEGIN", m.Begin()),
        ("BEGIN READ", m.Begin(read_only=True)),
        ("COMMIT", m.Commit()),
        ("ROLLBACK", m.Rollback()),
        ("READ 1a4", m.Run(Access.READ, "READ 1a4")),
        ("WRITE 1a4 a b", m.Run(Access.WRITE, "WRITE 1a4 a b")),
        ("SET tz utc +1", m.SetValue("tz", "utc +1")),
        ("PREPARE s1 WRITE q2c", m.Prepare("s1", Access.WRITE, "q2c")),
        ("EXECUTE s1 1a4 x", m.Execute("s1", "1a4 x")),
        ("CLOSE s1", m.Deallocate("s1")),
    ],
)
def test_commands_are_parsed(text: str, command: m.Command) -> None:
    """Guards against a statement that is parsed as another."""
    assert line_protocol.parse_command(text) == command


@pytest.mark.parametrize(
    "text",
    [
        "",
        "BEGIN WRITE",
        "COMMIT now",
        "READ",
        "READ a b",
        "WRITE a",
        "PREPARE s ALTER x",
        "PREPARE s READ",
        "EXECUTE s",
        "AFTER 3.1 READ x",
        "STATUS",
        "RESET",
        "read x",
    ],
)
def test_unknown_and_internal_commands_are_unreadable(text: str) -> None:
    """Guards against clients sending statements that only the proxy may send."""
    assert isinstance(line_protocol.parse_command(text), m.Unreadable)


def test_lines_split_over_reads() -> None:
    """Guards against losing a line that the network splits."""
    reader = line_protocol.LineReader()
    parts = b"QUERY 1 READ \xc3\xa9\r\nTERMIN", b"ATE\r", b"\n"
    assert [line for part in parts for line in reader.feed(part)] == [
        "QUERY 1 READ é",
        "TERMINATE",
    ]


@pytest.mark.parametrize(
    "data", [b"x" * (line_protocol.MAX_LINE_BYTES + 1), b"READ \xff\xfe\r\n"]
)
def test_malformed_bytes_are_refused(data: bytes) -> None:
    """Guards against a line without end that fills the memory, and invalid UTF-8."""
    with pytest.raises(line_protocol.LineError):
        list(line_protocol.LineReader().feed(data))


@pytest.mark.parametrize(
    ("text", "position"),
    [("3.12", Position(3, 12)), ("-", None), ("3", None), ("3.x", None), ("", None)],
)
def test_positions_are_parsed(text: str, position: Position | None) -> None:
    """Guards against reading a position from a text that has none."""
    assert line_protocol.parse_position(text) == position


@pytest.mark.parametrize(
    ("step", "text"),
    [
        (m.BeginWork(), "BEGIN"),
        (m.BeginWork(True, Position(3, 4)), "AFTER 3.4 BEGIN READ"),
        (m.EndWork(), "ROLLBACK"),
        (m.CommitWork("i"), "COMMIT"),
        (m.ResetSession(), "RESET"),
        (m.ApplyValue("a", "b c"), "SET a b c"),
        (m.PrepareShape("p1", Access.READ, "q"), "PREPARE p1 READ q"),
        (m.RunPrepared("i", "p1", "x y"), "EXECUTE p1 x y"),
        (DemoteEndpoint(4), "DEMOTE 4"),
        (m.RunStatement("i", "READ x", Position(3, 4)), "AFTER 3.4 READ x"),
    ],
)
def test_texts_and_ids_of_steps(step: m.ApplyStep, text: str) -> None:
    """Guards against a step whose text a database does not accept."""
    assert database_connections.step_text(step) == text
    own = isinstance(step, m.CommitWork | m.RunPrepared | m.RunStatement)
    assert database_connections.step_id(step) == ("i" if own else "-")


def decode_server(**changes: Any) -> object:
    value = {"meta": {"name": "i"}, "spec": {**SERVER, **changes}}
    return object_decoding.decode_content(WatchedKind.REGISTRY, "i", 1, value)


def test_registration_is_decoded() -> None:
    """Guards against a field that is read as another."""
    endpoint = object_decoding.decode_endpoint(SERVER)
    assert endpoint.group == "g" and endpoint.data_centre == "z"
    assert endpoint.role is EndpointRole.REPLICA and endpoint.incarnation == 17


@pytest.mark.parametrize(
    "changes",
    [
        {"upstream": None},
        {"address": 7},
        {"slots": "3"},
        {"slots": True},
        {"state": "resting"},
        {"dbRole": "leader"},
        {"sequence": None},
        {"born": 1.5},
    ],
)
def test_invalid_entries_of_databases_are_unreadable(changes: dict[str, Any]) -> None:
    """Guards against accepting an entry that does not describe a database."""
    assert isinstance(decode_server(**changes), Unreadable)


@pytest.mark.parametrize("spec", [None, "text", [], {}, 5])
def test_malformed_objects_are_unreadable(spec: Any) -> None:
    """Guards against an entry that fails the watch instead of being unreadable."""
    value = {"meta": {"name": "i"}, "spec": spec}
    for kind in WatchedKind:
        content = object_decoding.decode_content(kind, "main", 1, value)
        assert isinstance(content, Unreadable) or (
            kind is WatchedKind.OWN and spec == {}
        )


def test_configuration_is_decoded() -> None:
    """Guards against a limit that is read as another."""
    configuration = object_decoding.decode_configuration(CONFIGURATION)
    route = configuration.routes[0]
    assert route.database == "db" and route.consistency is Consistency.BOUNDED
    assert route.max_staleness.total_seconds() == 1.5
    assert route.timeout.total_seconds() == 2
    assert route.objective.total_seconds() == 1
    assert configuration.connections == {"g": 23}
    assert configuration.workspaces[0].keys == ("k",)


def test_settings_are_decoded() -> None:
    """Guards against using an address for the wrong purpose."""
    read = settings.decode_settings(SETTINGS)
    assert read.clients == "127.0.0.1:1" and read.readiness == "127.0.0.1:2"
    assert read.instance.peer_listen == "127.0.0.1:7560"
    assert read.instance.configuration_lease.total_seconds() == 3.9
    assert read.instance.stop_timeout.total_seconds() < 6


@pytest.mark.parametrize("grace_s", [6, 3.5, 20])
def test_open_transactions_have_half_of_the_grace(grace_s: float) -> None:
    """Guards against a time that is taken from the time after the margin."""
    bounds = {**SETTINGS["bounds"], "graceS": grace_s}
    read = settings.decode_settings({**SETTINGS, "bounds": bounds}).instance
    assert read.stop_transaction_timeout.total_seconds() == grace_s / 2
    assert read.stop_transaction_timeout < read.stop_timeout


@pytest.mark.parametrize(
    ("bounds", "fencing"),
    [
        ({}, PrimaryFencing.PLATFORM),
        ({"fenceChecked": True}, PrimaryFencing.PLATFORM),
        ({"fenceChecked": False}, PrimaryFencing.INSTANCES),
    ],
)
def test_fencing_follows_the_platform(
    bounds: dict[str, Any], fencing: PrimaryFencing
) -> None:
    """Guards against two primaries where the platform does not depose the old one."""
    changed = {**SETTINGS, "bounds": {**SETTINGS["bounds"], **bounds}}
    read = settings.decode_settings(changed)
    assert read.instance.primary_fencing == fencing


def body(revision: int = 4) -> dict[str, Any]:
    meta = {"name": "allocator.w", "revision": revision}
    return {"meta": meta, "spec": {"epoch": 1}, "status": None}


WRITE = WriteStore(3, "allocator", "w", 2, {"epoch": 1})
OBJECT = StoreObject("allocator", "w", 4, {"epoch": 1})


@pytest.mark.parametrize(
    ("status", "value", "expected"),
    [
        (200, body(), StoreWritten(3, OBJECT)),
        (201, body(), StoreWritten(3, OBJECT)),
        (409, body(), StoreConflict(3, OBJECT)),
        (404, None, StoreConflict(3, None)),
        (503, None, StoreFailed(3, "status 503")),
        (429, None, StoreFailed(3, "status 429")),
    ],
)
def test_outcomes_of_writes(status: int, value: Any, expected: object) -> None:
    """Guards against a response that is read as another outcome."""
    assert object_store.decode_write(WRITE, 0, status, value) == expected


def test_messages_of_lists_watches_and_checks() -> None:
    """Guards against a response that is converted to the wrong message."""
    own = WatchedKind.OWN
    page = {"items": [body()], "hasMore": True, "currentRev": 9}
    listed = object_store.decode_list(own, 0, 200, page)
    assert isinstance(listed, KindListed) and listed.has_more
    assert listed.entries[0].content == OBJECT
    events = [{"object": body(8), "deleted": True}]
    changes = {"events": events, "currentRev": 9}
    changed = object_store.decode_watch(own, 0, 200, changes)
    assert isinstance(changed, KindChanged)
    assert changed.entries[0].content == Gone()
    assert object_store.decode_watch(own, 0, 410, None) == KindExpired(own)
    assert object_store.decode_watch(own, 0, 429, None) == KindFailed(own, "status 429")
    assert isinstance(object_store.decode_check(own, 0, 200, changes), KindChecked)
    assert object_store.decode_check(own, 0, 410, None) == CheckExpired(own)
    assert isinstance(object_store.decode_check(own, 0, 503, None), CheckFailed)


def test_an_instance_imports_no_more_than_it_needs() -> None:
    """Guards against importing a library of 3 MB that only the HTTP interface needs."""
    code = "import sys, adapter.app; print('expression' in sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'platform'}:{ROOT}"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == "False"


def test_region_limits_are_decoded() -> None:
    """Guards against a limit that is dropped, or one misread as no limit."""
    limited = {"allowedRegions": ["north", "south"]}
    configuration = CONFIGURATION | {
        "routes": [CONFIGURATION["routes"][0] | limited],  # type: ignore[index]
        "tenants": [CONFIGURATION["tenants"][0] | limited],  # type: ignore[index]
    }
    decoded = object_decoding.decode_configuration(configuration)
    assert decoded.routes[0].regions == {"north", "south"}
    assert decoded.workspaces[0].regions == {"north", "south"}
    assert object_decoding.decode_regions([]) == frozenset()
    for value in ("north", [""], [3], {"north": 1}):
        with pytest.raises(TypeError):
            object_decoding.decode_regions(value)
    zones = SETTINGS | {"zones": {"n1": "north", "s1": "south"}}
    assert settings.decode_settings(zones).instance.regions == "n1=north,s1=south"


def test_cold_endpoints_are_decoded() -> None:
    """Guards against a limit that is dropped, or raised by rounding."""
    group = {"name": "g", "maxConns": 23, "coldStartS": 30, "coldPerS": 12}
    decoded = object_decoding.decode_configuration(
        CONFIGURATION | {"upstreams": [group]}
    )
    assert decoded.cold["g"] == ColdLimit(timedelta(seconds=30), 12.0)
    plain = object_decoding.decode_configuration(CONFIGURATION)
    assert not plain.cold["g"].is_limited
    with pytest.raises(TypeError):
        object_decoding.decode_cold_limit(group | {"coldPerS": "12"})
    left = object_decoding.decode_endpoint(SERVER | {"coldLeftMs": 1500}).cold_left
    assert left == timedelta(milliseconds=1500)
    absent = {key: value for key, value in SERVER.items() if key != "coldLeftMs"}
    assert object_decoding.decode_endpoint(absent).cold_left is None
    bounds = SETTINGS["bounds"] | {"coldExcess": 1.25, "coldSlack": 3.9}
    decoded_settings = settings.decode_settings(SETTINGS | {"bounds": bounds})
    assert decoded_settings.instance.cold_excess_percent == 125
    assert decoded_settings.instance.cold_slack == 3


@pytest.mark.parametrize(
    ("command", "texts"),
    [
        (m.ReplicaCommand.NONE, []),
        (m.ReplicaCommand.STOP_RECEIVING, [b"PAUSE 4", b"STATUS"]),
        (m.ReplicaCommand.RESUME_RECEIVING, [b"RESUME"]),
    ],
)
def test_lines_of_commands(command: m.ReplicaCommand, texts: list[bytes]) -> None:
    """Guards against a replica that goes on receiving commits."""
    lines = [b"QUERY - %s\r\n" % text for text in texts]
    assert database_connections.command_lines(command, 4) == lines


@pytest.mark.parametrize(
    ("rows", "fault", "received"),
    [
        (["replica 3 3.1209 0 12 2 17"], None, Position(3, 1209)),
        (["primary 3 3.1209 0 12 2 17"], None, None),
        (["replica 3 3.1209 0 12 2 17"], m.Fault.OVERLOADED, None),
        (["replica 3 - 0 12 2 17"], None, None),
        (["replica 3 3.1209"], None, None),
        ([], None, None),
    ],
)
def test_received_positions(
    rows: list[str], fault: m.Fault | None, received: Position | None
) -> None:
    """Guards against a position that a database has not told as a replica."""
    assert database_connections.parse_received(rows, fault) == received


STATUS = "ROW replica 4 3.5 0 12 2 17"


@pytest.mark.parametrize(
    ("answers", "received", "has_stopped", "term"),
    [
        ([[STATUS, "DONE -"], [STATUS, "DONE -"]], Position(3, 5), True, 4),
        ([[STATUS, "DONE -"], ["ERROR BUSY -"]], Position(3, 5), True, 4),
        ([["DONE -"], [STATUS, "DONE -"]], Position(3, 5), False, 4),
        ([["ERROR MALFORMED -"], [STATUS, "DONE -"]], Position(3, 5), False, 4),
        ([["ERROR BUSY -"], ["ERROR BUSY -"]], None, False, 0),
    ],
)
def test_connection_with_a_command_is_ready_once_it_is_answered(
    answers: list[list[str]], received: Position | None, has_stopped: bool, term: int
) -> None:
    """Guards against a position that is taken from the answer to STARTUP."""
    connection = database_connections.CommandConnection(
        object(),  # type: ignore[arg-type]
        7,
        unanswered=1 + len(answers),
    )
    lines = ["READY I 3.1"]
    for answer in answers:
        lines += [*answer, "READY I 3.2"]
    *early, opened = map(connection.decode, lines)
    assert not any(early)
    assert opened == m.PooledOpened(7, Position(3, 2), received, has_stopped, term)
    lines = ["ROW x", "DONE signed", "READY I 3.6"]
    assert [connection.decode(line) for line in lines][-1] == m.StepAnswered(
        7, m.Phase.IDLE, ("x",), "signed", Position(3, 6)
    )
