"""Metrics sent to statsd, and values of untyped log events."""

import contextlib
import socket

import pytest
from attrs import evolve

from pimentodrift.metrics import Metrics
from pimentodrift.untyped_events import to_json_value

from .support import make_state


def received_lines(receiver: socket.socket) -> list[str]:
    """Return the lines of all received datagrams; each holds several metrics."""
    receiver.setblocking(False)
    lines: list[str] = []
    with contextlib.suppress(BlockingIOError):
        while True:
            lines += receiver.recv(65536).decode().split("\n")
    return lines


def test_counters_are_sent_as_deltas() -> None:
    """Guards against increases of a counter that are sent twice."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    state = make_state("a.b")
    address = f"127.0.0.1:{receiver.getsockname()[1]}"
    state.settings = evolve(state.settings, statsd=address)
    metrics = Metrics(state)
    for total, line in [(3, "3|c"), (3, ""), (5, "2|c")]:
        state.counters["x"] = total
        metrics.send({"gauge": 7})
        lines = received_lines(receiver)
        counts = [part for part in lines if part.startswith("pimentodrift.a_b.x:")]
        assert counts == ([f"pimentodrift.a_b.x:{line}"] if line else [])
        assert "pimentodrift.a_b.gauge:7|g" in lines


@pytest.mark.parametrize(
    ("value", "expected"),
    [(1, 1), ("a", "a"), (None, None), (frozenset(), "frozenset()")],
)
def test_to_json_value(value: object, expected: object) -> None:
    """Guards against a log event with a field that JSON cannot represent."""
    assert to_json_value(value) == expected
