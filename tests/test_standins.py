"""The stand-ins speak their protocols and fail over as the design expects."""

import json
import select
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any

import psycopg
import pytest
from attrs import define, field
from psycopg import pq

PATIENCE_S = 20  # Ends a test that would wait forever; no result depends on it.


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def wait_for(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.005)


@define
class Processes:
    running: list[subprocess.Popen[str]] = field(factory=list)

    def start(self, module: str, *arguments: object) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *map(str, arguments)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.running.append(process)
        assert process.stdout is not None
        assert process.stdout.readline() == "ready\n"
        return process

    def database(self, name: str, *arguments: object) -> "Endpoint":
        sql, replication = free_ports(2)
        process = self.start(
            "database_server",
            *("--name", name, "--listen", f"127.0.0.1:{sql}"),
            *("--replication-listen", f"127.0.0.1:{replication}", *arguments),
        )
        return Endpoint(name, sql, replication, process)

    def group(self, *arguments: object) -> list["Endpoint"]:
        primary = self.database("a", "--primary", *arguments)
        address = f"127.0.0.1:{primary.replication}"
        followers = [
            self.database(name, "--follow", address, *arguments) for name in "bc"
        ]
        for follower in followers:
            wait_for(lambda name=follower.name: name in primary.acknowledged())
        return [primary, *followers]


@define
class Endpoint:
    name: str
    sql: int
    replication: int
    process: subprocess.Popen[str]

    def connect(self) -> psycopg.Connection[Any]:
        conninfo = f"host=127.0.0.1 port={self.sql} user=test dbname=test"
        return psycopg.connect(conninfo, autocommit=True)

    def run(self, text: str, *parameters: object) -> list[Any]:
        with self.connect() as connection:
            cursor = connection.execute(text, parameters or None)
            return cursor.fetchall() if cursor.description else []

    def status(self) -> tuple[str, int, int, int]:
        (row,) = self.run("SELECT role, term, received, replayed FROM group_status()")
        return row  # type: ignore[no-any-return]

    def acknowledged(self) -> dict[str, tuple[int, int]]:
        rows = self.run("SELECT endpoint, term, received FROM group_replicas()")
        return {name: (term, received) for name, term, received in rows}

    def fence(self, term: int) -> Any:
        text = "SELECT accepted, last_term, received FROM group_fence(%s)"
        return self.run(text, term)[0]

    def promote(self, term: int) -> Any:
        text = "SELECT accepted, start_position FROM group_promote(%s)"
        return self.run(text, term)[0]

    def follow(self, term: int, primary: "Endpoint", start: int) -> Any:
        text = "SELECT accepted FROM group_follow(%s, %s, %s, %s)"
        return self.run(text, term, "127.0.0.1", primary.sql, start)[0][0]

    def control(self, name: str, value: int) -> None:
        self.run("SELECT standin_set(%s, %s)", name, value)


@pytest.fixture
def processes() -> Iterator[Processes]:
    result = Processes()
    yield result
    for process in result.running:
        process.terminate()
    for process in result.running:
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


# --- SQL over the PostgreSQL protocol


def test_transactions_and_types_through_psycopg(processes: Processes) -> None:
    """Guards against lost or half applied transactions and wrong value types."""
    database = processes.database("a", "--primary")
    database.run("CREATE TABLE t (k bigint PRIMARY KEY, v text, f float)")
    with database.connect() as connection:
        with connection.transaction():
            text = "INSERT INTO t VALUES (%s, %s, %s) RETURNING k"
            assert connection.execute(text, (1, "one", 1.5)).fetchall() == [(1,)]
        with pytest.raises(psycopg.errors.UniqueViolation), connection.transaction():
            connection.execute("INSERT INTO t VALUES (2, 'two', 0)")
            connection.execute("INSERT INTO t VALUES (1, 'again', 0)")
        text = "INSERT INTO t VALUES (%s, 'x', 0) ON CONFLICT DO NOTHING"
        assert connection.execute(text, (1,)).rowcount == 0
        assert connection.execute("SELECT * FROM t").fetchall() == [(1, "one", 1.5)]


ERRORS = {
    "SELECT * FROM missing": "42P01",
    "SELECT missing": "42703",
    "SELEKT 1": "42601",
    "INSERT INTO t VALUES (NULL)": "23502",
    "INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)": "23505",
}


@pytest.mark.parametrize("text", ERRORS)
def test_errors_have_the_sqlstate_of_postgresql(
    processes: Processes, text: str
) -> None:
    """Guards against errors that a client cannot tell apart."""
    database = processes.database("a", "--primary")
    database.run("CREATE TABLE t (k bigint NOT NULL UNIQUE)")
    with pytest.raises(psycopg.Error) as caught:
        database.run(text)
    assert caught.value.sqlstate == ERRORS[text]
    assert database.run("SELECT count(*) FROM t") == [(0,)]


def flush(connection: pq.abc.PGconn) -> None:
    while connection.flush():
        select.select([], [connection.socket], [], PATIENCE_S)


def next_result(connection: pq.abc.PGconn) -> pq.abc.PGresult | None:
    while connection.is_busy():
        select.select([connection.socket], [], [], PATIENCE_S)
        connection.consume_input()
    return connection.get_result()


def command_result(connection: pq.abc.PGconn) -> pq.ExecStatus:
    """Return the status of a single command and leave the connection idle."""
    result = next_result(connection)
    assert result is not None
    assert next_result(connection) is None
    return pq.ExecStatus(result.status)


def pipeline_results(endpoint: Endpoint, segments: list[list[str]]) -> list[list[str]]:
    """Send all segments at once; return SQLSTATE or first value of each result."""
    conninfo = f"host=127.0.0.1 port={endpoint.sql} user=test dbname=test"
    connection = pq.PGconn.connect(conninfo.encode())
    connection.nonblocking = 1
    connection.enter_pipeline_mode()
    for segment in segments:
        for text in segment:
            connection.send_query_params(text.encode(), [])
        connection.pipeline_sync()
    flush(connection)
    results: list[list[str]] = [[]]
    while len(results) <= len(segments):
        result = next_result(connection)
        if result is None:
            continue
        if result.status == pq.ExecStatus.PIPELINE_SYNC:
            results.append([])
        elif result.status == pq.ExecStatus.PIPELINE_ABORTED:
            results[-1].append("aborted")
        elif result.status == pq.ExecStatus.FATAL_ERROR:
            state = result.error_field(pq.DiagnosticField.SQLSTATE) or b""
            results[-1].append(state.decode())
        else:
            value = result.get_value(0, 0) if result.ntuples else b""
            results[-1].append((value or b"").decode())
    connection.finish()
    return results[:-1]


def test_a_pipeline_segment_is_one_transaction(processes: Processes) -> None:
    """Guards against a failed segment that leaves writes, or stops later segments."""
    database = processes.database("a", "--primary")
    database.run("CREATE TABLE t (k bigint UNIQUE)")
    segments = [
        ["INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (1)", "SELECT 1"],
        ["INSERT INTO t VALUES (2)", "SELECT count(*) FROM t"],
        ["BEGIN", "INSERT INTO t VALUES (3)"],
        ["COMMIT"],
        ["SELECT group_concat(k) FROM t", "SELECT received FROM group_status()"],
    ]
    assert pipeline_results(database, segments) == [
        ["", "23505", "aborted"],
        ["", "1"],
        ["", ""],
        [""],
        ["2,3", "3"],
    ]


def test_connections_beyond_the_limit_are_refused(processes: Processes) -> None:
    """Guards against tests of connection limits that the stand-in never enforces."""
    database = processes.database("a", "--primary", "--max-connections", 1)
    refused = pytest.raises(psycopg.OperationalError, match="too many connections")
    with database.connect(), refused:
        database.connect()


def test_writers_wait_for_each_other(processes: Processes) -> None:
    """Guards against a writer that fails or blocks the process while another writes."""
    database = processes.database("a", "--primary", "--slots", 1)
    database.run("CREATE TABLE t (k bigint)")
    with database.connect() as first, database.connect() as second:
        first.execute("BEGIN")
        first.execute("INSERT INTO t VALUES (1)")
        second.pgconn.send_query(b"INSERT INTO t SELECT max(k) + 1 FROM t")
        assert database.run("SELECT count(*) FROM t") == [(0,)]
        first.execute("COMMIT")
        assert command_result(second.pgconn) == pq.ExecStatus.COMMAND_OK
    assert database.run("SELECT k FROM t ORDER BY k") == [(1,), (2,)]


# --- Groups


def test_replicas_receive_at_once_and_replay_later(processes: Processes) -> None:
    """Guards against positions that claim more than a replica shows."""
    primary, replica, other = processes.group()
    primary.run("CREATE TABLE t (k bigint)")
    wait_for(lambda: replica.status() == ("replica", 1, 1, 1))
    replica.control("frozen", 1)
    primary.run("INSERT INTO t VALUES (%s)", 5)
    wait_for(lambda: primary.acknowledged()["b"] == (1, 2))
    wait_for(lambda: other.run("SELECT * FROM t") == [(5,)])
    assert replica.status() == ("replica", 1, 2, 1)
    assert replica.run("SELECT * FROM t") == []
    replica.control("frozen", 0)
    wait_for(lambda: replica.run("SELECT * FROM t") == [(5,)])
    with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
        replica.run("INSERT INTO t VALUES (6)")


def test_failover_drops_what_only_the_old_primary_has(processes: Processes) -> None:
    """Guards against a lost acknowledged write and against an old primary's writes."""
    old, new, third = endpoints = processes.group()
    old.run("CREATE TABLE t (k bigint)")
    old.run("INSERT INTO t VALUES (1)")
    for endpoint in endpoints:
        wait_for(lambda endpoint=endpoint: endpoint.status()[2:] == (2, 2))
    new.control("frozen", 1)
    old.run("INSERT INTO t VALUES (2)")
    wait_for(lambda: old.acknowledged() == {"b": (1, 3), "c": (1, 3)})
    old.control("cut", 1)
    old.run("INSERT INTO t VALUES (%s)", 666)
    with old.connect() as late:
        late.execute("BEGIN")
        late.execute("INSERT INTO t VALUES (667)")
        assert [new.fence(2), third.fence(2)] == [(True, 1, 3)] * 2
        assert new.fence(2)[0] is False
        assert new.promote(3)[0] is False
        assert new.promote(2) == (True, 4)
        assert third.follow(2, new, 4) is True
        new.run("INSERT INTO t VALUES (3)")
        wait_for(lambda: new.acknowledged() == {"c": (2, 5)})
        assert old.fence(2) == (True, 1, 4)
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            late.execute("COMMIT")
    assert old.status()[0] == "fenced"
    assert old.follow(1, new, 4) is False
    assert old.follow(2, new, 4) is True
    old.control("cut", 0)
    for endpoint in endpoints:
        wait_for(lambda endpoint=endpoint: endpoint.status()[1:] == (2, 5, 5))
        assert endpoint.run("SELECT k FROM t ORDER BY k") == [(1,), (2,), (3,)]
    text = "SELECT term, position, statement FROM group_dropped()"
    assert old.run(text) == [(1, 4, "INSERT INTO t VALUES (666)")]


def test_following_drops_a_tail_from_before_the_last_promotion(
    processes: Processes,
) -> None:
    """Guards against a divergent tail below START_POSITION that survives."""
    old, second, third = processes.group()
    old.run("CREATE TABLE t (k bigint)")
    for replica in (second, third):
        wait_for(lambda replica=replica: replica.status()[2] == 1)
    old.control("cut", 1)
    old.run("INSERT INTO t VALUES (666)")
    for term, primary, replica in ((2, second, third), (3, third, second)):
        primary.fence(term)
        replica.fence(term)
        accepted, start = primary.promote(term)
        assert replica.follow(term, primary, start) is True
        primary.run("INSERT INTO t VALUES (%s)", term)
        wait_for(
            lambda primary=primary, term=term: (
                term in {item[0] for item in primary.acknowledged().values()}
            )
        )
        wait_for(
            lambda replica=replica, p=primary: replica.status()[1:] == p.status()[1:]
        )
    assert old.follow(3, third, 4) is True
    old.control("cut", 0)
    wait_for(lambda: old.status() == ("replica", 3, 5, 5))
    assert old.run("SELECT k FROM t ORDER BY k") == [(2,), (3,)]


# --- Store


def call(method: str, url: str, body: object = None, **headers: str) -> tuple[int, Any]:
    data = None if body is None else json.dumps(body).encode()
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(url, data, names, method=method)
    try:
        with urllib.request.urlopen(request, timeout=PATIENCE_S) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.load(error)


@pytest.fixture
def store(processes: Processes) -> list[str]:
    near, far = free_ports(2)
    listen = (f"near=127.0.0.1:{near}", f"far=127.0.0.1:{far}")
    processes.start("platform_server", "--listen", listen[0], "--listen", listen[1])
    return [f"http://127.0.0.1:{port}" for port in (near, far)]


def test_conditional_updates(store: list[str]) -> None:
    """Guards against two writers that both believe they changed an object."""
    url = f"{store[0]}/v1/objects/group/g"
    steps: list[tuple[dict[str, str], int, dict[str, int], int]] = [
        ({"If_Match": "1"}, 409, {}, 0),
        ({"If_None_Match": "*"}, 200, {"term": 1}, 1),
        ({"If_None_Match": "*"}, 409, {"term": 1}, 1),
        ({"If_Match": "1"}, 200, {"term": 2}, 2),
        ({"If_Match": "1"}, 409, {"term": 2}, 2),
    ]
    for headers, status, value, version in steps:
        body = value if status == 200 else {"term": 9}
        answer = call("PUT", url, body, **headers)
        assert (answer[0], answer[1]["version"]) == (status, version)
        assert answer[1]["value"] == (value or None)
    assert call("PUT", url, {})[0] == 428
    assert call("GET", url)[1]["value"] == {"term": 2}


def test_watch_rewrites_and_faults(store: list[str]) -> None:
    """Guards against missed changes, and against faults that have no effect."""
    near, far = store
    value = {"address": "127.0.0.1:1"}
    rewrites = {"far": {"127.0.0.1:1": "127.0.0.1:2"}}
    call("POST", f"{near}/standin/rewrites", rewrites)
    with pytest.raises(OSError):
        call("POST", f"{near}/standin/faults", {"lose_next_answers": 1})
        call("PUT", f"{near}/v1/objects/instance/a", value, If_None_Match="*")
    for url, address in ((near, "127.0.0.1:1"), (far, "127.0.0.1:2")):
        _, body = call("GET", f"{url}/v1/objects?after=0&wait_ms=20000")
        assert [item["value"]["address"] for item in body["items"]] == [address]
    assert call("GET", f"{near}/v1/objects?after=1&wait_ms=1")[1] == {
        "version": 1,
        "items": [],
    }
    call("POST", f"{near}/standin/faults", {"down": True})
    assert call("GET", f"{far}/v1/objects/instance/a")[0] == 503
    calls = call("GET", f"{near}/standin/calls")[1]
    assert (calls["put"], calls["watch"], calls["unavailable"]) == (1, 3, 1)


# --- Link


def test_a_cut_link_holds_bytes_until_it_is_healed(processes: Processes) -> None:
    """Guards against a cut that loses or reorders bytes, or lets them pass."""
    database = processes.database("a", "--primary")
    port, control = free_ports(2)
    processes.start(
        "link",
        *("--listen", f"127.0.0.1:{port}", "--to", f"127.0.0.1:{database.sql}"),
        *("--delay-ms", 1, "--control", f"127.0.0.1:{control}"),
    )
    far = Endpoint("a", port, 0, database.process)
    database.run("CREATE TABLE t (k bigint)")
    with (
        socket.create_connection(("127.0.0.1", control)) as commands,
        commands.makefile("rw") as lines,
        far.connect() as connection,
    ):
        lines.write("cut\n")
        lines.flush()
        assert lines.readline() == "ok\n"
        connection.pgconn.send_query(b"INSERT INTO t VALUES (1)")
        assert database.run("SELECT * FROM t") == []
        lines.write("heal\n")
        lines.flush()
        assert lines.readline() == "ok\n"
        assert command_result(connection.pgconn) == pq.ExecStatus.COMMAND_OK
        assert database.run("SELECT * FROM t") == [(1,)]
