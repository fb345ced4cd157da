"""Connections to endpoints, tested against a scripted PostgreSQL server."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from pimentodrift import endpoint_connections
from pimentodrift import messages as m

from .postgres_script import Answer, PostgresScript
from .shell_support import Rig, running

S = m.Statement
OIDS = [16, 20, 21, 23, 701, 1700, 25]
CELLS: list[bytes | None] = [b"t", b"1", b"2", b"-3", b"1.5", b"0.10", b"\xc3\xa9"]


def script(text: str, parameters: list[bytes | None]) -> Answer:
    answers: dict[str, Answer] = {
        "echo": ([("c", 25)] * len(parameters), [parameters]),
        "types": ([(str(oid), oid) for oid in OIDS], [CELLS, [None] * len(OIDS)]),
        "large": ([("a", 25)], [[b"x" * 1000]] * 5000),
        "none": ([], []),
    }
    return answers.get(text, "42601")


@contextmanager
def connected() -> Iterator[tuple[Rig, PostgresScript]]:
    server = PostgresScript(script)
    with running() as rig:
        rig.send_from_core(m.OpenEndpoint(1, "e1", server.address))
        rig.until(lambda: rig.core.received_of(m.EndpointOpened))
        yield rig, server
    server.close()


def run(rig: Rig, *segments: tuple[m.Statement, ...]) -> tuple[m.StatementResult, ...]:
    rig.core.received.clear()
    rig.send_from_core(m.RunBatch(1, 9, segments))
    rig.until(lambda: rig.core.received)
    (answer,) = rig.core.received
    assert isinstance(answer, m.EndpointAnswered)
    assert (answer.connection, answer.batch) == (1, 9)
    return answer.results


@pytest.mark.parametrize(
    ("segments", "outcomes"),
    [
        ([["none"]], [""]),
        ([["none", "bad", "none"], ["none"]], ["", "42601", "aborted", ""]),
        ([["bad"], ["bad"], ["none"]], ["42601", "42601", ""]),
        ([["none", "a\0b"], ["none"]], ["aborted", "22021", "aborted"]),
        ([["none", "\ud800"]], ["aborted", "22021"]),
    ],
)
def test_results_match_their_statements(
    segments: list[list[str]], outcomes: list[str]
) -> None:
    """Guards against a result that is attributed to another statement."""
    with connected() as (rig, _):
        parts = [tuple(S(text) for text in segment) for segment in segments]
        for _repetition in range(2):
            results = run(rig, *parts)
            assert [result.sqlstate for result in results] == outcomes


def test_parameters_and_results_keep_their_values() -> None:
    """Guards against parameters and results that are converted incorrectly."""
    with connected() as (rig, _):
        echo = S("echo", ("é", 1, 2.5, True, False, None, "", "x" * 200_000))
        first, second, third = run(rig, (echo, S("types")), (S("large"),))
        assert first.rows.rows == (
            ("é", "1", "2.5", "true", "false", None, "", "x" * 200_000),
        )
        assert second.rows.columns[:2] == ("16", "20")
        assert second.rows.rows[0] == (True, 1, 2, -3, 1.5, "0.10", "é")
        assert second.rows.rows[1] == (None,) * 7
        assert len(third.rows.rows) == 5000


@pytest.mark.parametrize("in_flight", [False, True])
def test_lost_connection_is_reported(in_flight: bool) -> None:
    """Guards against a batch that is neither answered nor reported as lost."""
    with connected() as (rig, server):
        server.disconnect_all()
        if in_flight:
            rig.send_from_core(m.RunBatch(1, 9, ((S("none"),),)))
        rig.until(lambda: rig.core.received_of(m.EndpointClosed))
        assert not rig.core.received_of(m.EndpointAnswered)
        assert not rig.shell.endpoints.connections


def test_failed_connects_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against endless connecting and against libpq options in an address."""
    monkeypatch.setattr(endpoint_connections, "CONNECT_TIMEOUT_S", 0.0)
    silent = PostgresScript(script, answers_startup=False)
    with running() as rig:
        for address in [silent.address, "127.0.0.1:1", "a:1", "127.0.0.1:1 user=a", ""]:
            rig.send_from_core(m.OpenEndpoint(2, "e2", address))
            rig.until(lambda: rig.core.received_of(m.EndpointClosed))
            rig.core.received.clear()
    silent.close()


def test_connection_closed_by_the_core_is_not_reported() -> None:
    """Guards against an `EndpointClosed` for a connection that the core has closed."""
    with connected() as (rig, server):
        rig.send_from_core(m.CloseEndpoint(1), m.RunBatch(1, 9, ((S("none"),),)))
        server.disconnect_all()
        rig.step()
        assert not rig.core.received_of(m.EndpointClosed)
