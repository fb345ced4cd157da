"""Tests that the stand-ins speak the protocols of the systems that they replace."""

import asyncio
import json
import select
import socket
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

import psycopg
import pytest
from aiohttp.test_utils import make_mocked_request
from psycopg import pq

from standins.platform_server import RegionalApi, Store

from .standin_processes import (
    TIMEOUT_S,
    Endpoint,
    Processes,
    free_ports,
    running_processes,
)


@pytest.fixture
def processes() -> Iterator[Processes]:
    with running_processes() as result:
        yield result


# --- SQL over the PostgreSQL protocol


def test_transactions_and_types_through_psycopg(processes: Processes) -> None:
    """Guards against lost or partly applied transactions and wrong value types."""
    database = processes.start_database("a", "--primary")
    database.run("CREATE TABLE t (k bigint PRIMARY KEY, v text, f float)")
    with database.connect() as connection:
        with connection.transaction():
            text = "INSERT INTO t VALUES (%s, %s, %s) RETURNING k"
            assert connection.execute(text, (1, "one", 1.5)).fetchall() == [(1,)]
        duplicate = pytest.raises(psycopg.errors.UniqueViolation)
        with duplicate, connection.transaction():
            connection.execute("INSERT INTO t VALUES (2, 'two', 0)")
            connection.execute("INSERT INTO t VALUES (1, 'again', 0)")
        with connection.transaction():
            connection.execute("SELECT v FROM t WHERE k = %s FOR UPDATE", (1,))
            with duplicate, connection.transaction():
                connection.execute("INSERT INTO t VALUES (3, 'three', 0)")
                connection.execute("INSERT INTO t VALUES (1, 'again', 0)")
            connection.execute("UPDATE t SET v = 'uno' WHERE k = %s", (1,))
        text = "INSERT INTO t VALUES (%s, 'x', 0) ON CONFLICT DO NOTHING"
        assert connection.execute(text, (1,)).rowcount == 0
        assert connection.execute("SELECT * FROM t").fetchall() == [(1, "uno", 1.5)]


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
    """Guards against errors that a client can't tell apart by their SQLSTATE."""
    database = processes.start_database("a", "--primary")
    database.run("CREATE TABLE t (k bigint NOT NULL UNIQUE)")
    with pytest.raises(psycopg.Error) as caught:
        database.run(text)
    assert caught.value.sqlstate == ERRORS[text]
    assert database.run("SELECT count(*) FROM t") == [(0,)]


def flush(connection: pq.abc.PGconn) -> None:
    while connection.flush():
        select.select([], [connection.socket], [], TIMEOUT_S)


def next_result(connection: pq.abc.PGconn) -> pq.abc.PGresult | None:
    while connection.is_busy():
        select.select([connection.socket], [], [], TIMEOUT_S)
        connection.consume_input()
    return connection.get_result()


def command_result(connection: pq.abc.PGconn) -> pq.ExecStatus:
    """Return the status of a single command's result; the connection is then idle."""
    result = next_result(connection)
    assert result is not None
    assert next_result(connection) is None
    return pq.ExecStatus(result.status)


def pipeline_results(endpoint: Endpoint, segments: list[list[str]]) -> list[list[str]]:
    """Send all segments in one pipeline and return the results of each segment.

    A result is the SQLSTATE of an error, "aborted", or the first value.
    """
    conninfo = f"host=127.0.0.1 port={endpoint.sql_port} user=test dbname=test"
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
    """Guards against a failed segment that keeps its writes or stops later segments."""
    database = processes.start_database("a", "--primary")
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
    """Guards against a stand-in that accepts connections beyond its limit.

    Tests of connection limits would then pass without checking anything.
    """
    database = processes.start_database("a", "--primary", "--max-connections", 1)
    refused = pytest.raises(psycopg.OperationalError, match="too many connections")
    with database.connect(), refused:
        database.connect()


def test_writers_wait_for_each_other(processes: Processes) -> None:
    """Guards against a writer that fails, or blocks reads, while another one writes."""
    database = processes.start_database("a", "--primary", "--slots", 1)
    database.run("CREATE TABLE t (k bigint)")
    with database.connect() as first, database.connect() as second:
        first.execute("BEGIN")
        first.execute("INSERT INTO t VALUES (1)")
        second.pgconn.send_query(b"INSERT INTO t SELECT max(k) + 1 FROM t")
        assert database.run("SELECT count(*) FROM t") == [(0,)]
        first.execute("COMMIT")
        assert command_result(second.pgconn) == pq.ExecStatus.COMMAND_OK
    assert database.run("SELECT k FROM t ORDER BY k") == [(1,), (2,)]
    counts = dict(database.run("SELECT name, value FROM standin_counts()"))
    assert (counts["writes"], counts["reads"], counts["commits"]) == (3, 2, 3)


# --- Store


def call(method: str, url: str, body: object = None, **headers: str) -> tuple[int, Any]:
    data = None if body is None else json.dumps(body).encode()
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(url, data, names, method=method)
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
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


def test_conditional_writes_check_the_version(store: list[str]) -> None:
    """Guards against conflicting writes of one object that both succeed."""
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


def test_watch_address_rewrites_and_faults(store: list[str]) -> None:
    """Guards against missed changes and against injected faults without effect."""
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
    database = processes.start_database("a", "--primary")
    port, control = free_ports(2)
    processes.start(
        "link",
        *("--listen", f"127.0.0.1:{port}", "--to", f"127.0.0.1:{database.sql_port}"),
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


def test_change_at_the_end_of_a_watch_is_not_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a version whose change the watch has left out.

    A caller that watches from that version would never see the change.
    """

    async def end_of_wait(api: RegionalApi, deadline: float) -> bool:
        api.store.write(("piece", "late"), {"value": 1})
        return False

    monkeypatch.setattr(RegionalApi, "wait_for_change", end_of_wait)
    api = RegionalApi(Store(), "r1")
    request = make_mocked_request("GET", "/v1/objects?after=0&wait_ms=10")
    body = json.loads(asyncio.run(api.watch(request)).body)
    assert body["version"] == 1
    assert [item["name"] for item in body["items"]] == ["late"]
