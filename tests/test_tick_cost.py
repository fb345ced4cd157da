"""What a tick costs, counted in lines of code that it runs."""

import sys
from types import FrameType
from typing import Any

from attrs import evolve

from pimentodrift import session_core
from pimentodrift.due_times import DueTimes
from pimentodrift.messages import PeerReceived, StoreObject
from pimentodrift.peer_messages import Ping, Pong
from pimentodrift.route_configuration import DeclaredWorkspace

from .session_support import (
    MILLISECOND,
    SECOND,
    TICK,
    SessionHarness,
    make_configuration,
    make_harness,
)

INTERVAL = session_core.REST_TICK


def make_fleet_member(count: int) -> SessionHarness:
    """Return an instance of a fleet with as many instances as workspaces."""
    harness = make_harness()
    for number in range(count):
        harness.list_instance(f"i{number}")
    names = [f"w{number}" for number in range(count)]
    for number, name in enumerate(names):
        # The roles of allocators are held by others.
        value = {"epoch": 2, "holder": f"i{number}"}
        version = harness.state.view.version
        allocator = StoreObject("allocator", name, version, value)
        harness.state.view.objects["allocator", name] = allocator
    workspaces = tuple(
        DeclaredWorkspace(name, (f"key-of-{name}",), 1000.0, 1000.0) for name in names
    )
    harness.configure(evolve(make_configuration(2), workspaces=workspaces))
    for _ in range(int(12 * SECOND / INTERVAL)):
        run_and_answer(harness)
    return harness


def run_and_answer(harness: SessionHarness) -> None:
    """Run a tick at rest; the other instances answer its pings."""
    harness.clock.advance(INTERVAL)
    session_core.tick(harness.state)
    answer_pings(harness)


def answer_pings(harness: SessionHarness) -> None:
    """Let the other instances answer the pings that were sent."""
    harness.process_outbox()
    sent, harness.to_peers = harness.to_peers, []
    for item in sent:
        if isinstance(item.message, Ping):
            pong = Pong(item.message.number, 0, ())
            harness.deliver(PeerReceived(item.instance, pong))


def count_lines(harness: SessionHarness) -> int:
    """Return how many lines a tick runs."""
    lines = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    sys.settrace(trace)
    try:
        session_core.tick(harness.state)
    finally:
        sys.settrace(None)
    answer_pings(harness)
    return lines


def least_cost(count: int) -> int:
    """Return the cost of the cheapest tick of two seconds at rest."""
    harness = make_fleet_member(count)
    costs = []
    for _ in range(int(2 * SECOND / INTERVAL)):
        harness.clock.advance(INTERVAL)
        costs.append(count_lines(harness))
    return min(costs)


def test_tick_without_work_does_not_grow_with_the_fleet() -> None:
    """Guards against a tick that looks at each workspace and instance."""
    assert least_cost(85) == least_cost(20)


def test_ticks_between_steady_runs_are_cheap() -> None:
    """Guards against statements that let all systems run fifty times a second."""
    harness = make_fleet_member(20)
    harness.clock.advance(INTERVAL)
    count_lines(harness)
    harness.clock.advance(TICK)
    prompt = count_lines(harness)
    harness.clock.advance(INTERVAL)
    assert prompt < count_lines(harness) / 2


def test_due_times_return_only_what_is_due() -> None:
    """Guards against rows that are looked at early, twice or never again."""
    due = DueTimes()
    due.keep_only(["a", "b", "c"], SECOND)
    assert due.take_due(SECOND - MILLISECOND) == []
    assert sorted(due.take_due(SECOND)) == ["a", "b", "c"]
    for name in ("a", "b", "c"):
        due.put(name, 3 * SECOND)
    due.put("a", 2 * SECOND)
    due.hasten("b", 2 * SECOND)
    due.hasten("unknown", SECOND)
    due.keep_only(["a", "b"], 2 * SECOND)
    assert sorted(due.take_due(2 * SECOND)) == ["a", "b"]
    due.put("a", 4 * SECOND)
    due.put("b", 9 * SECOND)
    assert due.take_due(3 * SECOND) == []
    due.hasten_all()
    assert sorted(due.take_due(3 * SECOND)) == ["a", "b"]
    assert due.take_due(3 * SECOND) == []
    due.put("a", 4 * SECOND)
    assert due.take_due(9 * SECOND) == ["a"]
