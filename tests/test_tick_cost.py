"""What a tick costs, counted in lines of code that it runs."""

import sys
from datetime import timedelta
from types import FrameType
from typing import Any

from attrs import evolve

from pimentodrift import session_core
from pimentodrift.allocator_claims import EXAMINATION_INTERVAL, claim_vacant_roles
from pimentodrift.due_times import DueTimes
from pimentodrift.messages import PeerReceived, StoreObject
from pimentodrift.peer_messages import Ping, Pong
from pimentodrift.route_configuration import DeclaredWorkspace
from pimentodrift.tables import WorkspaceRow

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
    workspaces = tuple(
        DeclaredWorkspace(f"w{number}", (f"key-of-w{number}",), 1000.0, 1000.0)
        for number in range(count)
    )
    for number, row in enumerate(workspaces):
        harness.list_instance(f"i{number}")
        # The role of the workspace's allocator is held by this other instance.
        value = {"epoch": 2, "holder": f"i{number}"}
        role = StoreObject("allocator", row.name, harness.state.view.version, value)
        harness.state.view.objects["allocator", row.name] = role
    harness.configure(evolve(make_configuration(2), workspaces=workspaces))
    run(harness, 12 * SECOND)
    return harness


def answer_pings(harness: SessionHarness) -> None:
    """Let the other instances answer the pings that were sent."""
    harness.process_outbox()
    sent, harness.to_peers = harness.to_peers, []
    for item in sent:
        if isinstance(item.message, Ping):
            pong = Pong(item.message.number, 0, ())
            harness.deliver(PeerReceived(item.instance, pong))


def count_lines(harness: SessionHarness, delay: timedelta = INTERVAL) -> int:
    """Return how many lines a tick after a delay runs."""
    lines = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal lines
        lines += event == "line"
        return trace

    harness.clock.advance(delay)
    sys.settrace(trace)
    try:
        session_core.tick(harness.state)
    finally:
        sys.settrace(None)
    answer_pings(harness)
    return lines


def run(harness: SessionHarness, duration: timedelta) -> list[int]:
    """Run the ticks of an instance at rest; return their costs."""
    return [count_lines(harness) for _ in range(int(duration / INTERVAL))]


def test_tick_without_work_does_not_grow_with_the_fleet() -> None:
    """Guards against a tick that looks at each workspace and instance."""
    small, large = (min(run(make_fleet_member(n), 2 * SECOND)) for n in (20, 85))
    assert small == large


def test_ticks_between_steady_runs_are_cheap() -> None:
    """Guards against statements that let all systems run fifty times a second."""
    harness = make_fleet_member(20)
    count_lines(harness)
    assert count_lines(harness, TICK) < count_lines(harness) / 2


def test_roles_are_examined_at_their_interval() -> None:
    """Guards against a role that is never examined again, and a metric that is gone."""
    harness = make_fleet_member(20)
    before = harness.state.counters["allocator.examined"]
    run(harness, 2 * EXAMINATION_INTERVAL)
    assert 20 <= harness.state.counters["allocator.examined"] - before <= 3 * 20


def test_limit_that_replaces_another_is_examined() -> None:
    """Guards against a cold endpoint whose bucket never gets an allocator."""
    state = make_fleet_member(1).state
    for name in ("cold.a", "cold.b"):
        state.cold_limits = {name: WorkspaceRow(name, 5.0, 5.0)}
        claim_vacant_roles(state)
    assert set(state.vacancies.at) == {"w0", "cold.b"}


def test_due_times_return_only_what_is_due() -> None:
    """Guards against rows that are looked at early, twice or never again."""
    due = DueTimes()
    due.keep_only(["a", "b", "c"], SECOND)
    assert due.take_due(SECOND - MILLISECOND) == []
    assert due.take_due(SECOND) == ["a", "b", "c"]
    for name, at in (("a", 3), ("b", 3), ("c", 3), ("a", 2)):
        due.put(name, at * SECOND)
    due.hasten("b", 2 * SECOND)
    due.hasten("unknown", SECOND)
    due.keep_only(["a", "b"], 2 * SECOND)
    assert due.take_due(2 * SECOND) == ["a", "b"]
    due.put("a", 4 * SECOND)
    due.put("b", 9 * SECOND)
    assert due.take_due(3 * SECOND) == []
    due.hasten_all()
    assert due.take_due(3 * SECOND) == ["a", "b"]
    assert due.take_due(3 * SECOND) == []
    due.put("a", 4 * SECOND)
    assert due.take_due(9 * SECOND) == ["a"]
