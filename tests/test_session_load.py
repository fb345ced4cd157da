"""Load on one endpoint's pool: what the clients of each workspace get."""

from collections import Counter
from datetime import timedelta

import pytest
from attrs import evolve

from pimentodrift.placement import Candidate, choose
from pimentodrift.session_messages import AnswerStatement, Fault, RefuseStatement

from .session_support import (
    GROUP,
    MILLISECOND,
    SECOND,
    WRITE,
    SessionHarness,
    make_configuration,
    make_harness,
)


def small_pool() -> SessionHarness:
    """Return an instance whose pools are limited to nine connections."""
    configuration = make_configuration()
    return make_harness(evolve(configuration, connections={GROUP: 4}))


def play(
    harness: SessionHarness, sessions: dict[int, str], ticks: int, slots: int
) -> Counter[str]:
    """Let clients repeat a write; the primary answers `slots` statements a tick."""
    harness.holds_statements = True
    outcomes: Counter[str] = Counter()
    for session in sessions:
        harness.send(session, WRITE)
    for _ in range(ticks):
        kept, harness.held = harness.held[slots:], harness.held[:slots]
        before = len(harness.to_clients)
        harness.answer_held()
        harness.held = kept + harness.held
        harness.run()
        for message in harness.to_clients[before:]:
            if isinstance(message, AnswerStatement | RefuseStatement):
                is_answer = isinstance(message, AnswerStatement)
                kind = "served" if is_answer else "refused"
                outcomes[f"{kind} {sessions[message.session]}"] += 1
                harness.send(message.session, WRITE)
    return outcomes


def test_hot_workspace_leaves_connections_to_the_others() -> None:
    """Guards against a workspace whose connections another's load takes."""
    harness = small_pool()
    sessions = {harness.open_session("own-db"): "hot" for _ in range(30)}
    sessions |= {harness.open_session("own-db", "key-2"): "calm" for _ in range(2)}
    outcomes = play(harness, sessions, ticks=500, slots=1)
    served = outcomes["served calm"] + outcomes["served hot"]
    assert served >= 400
    # Two of 32 clients: an even part of what is served.
    assert outcomes["served calm"] >= served * 2 / 32
    assert outcomes["refused calm"] <= outcomes["served calm"]


def test_refusals_come_early_and_say_when() -> None:
    """Guards against statements that wait for a connection until they are late."""
    harness = small_pool()
    pool = harness.state.pools["e1"]
    sessions = {harness.open_session("own-db"): "hot" for _ in range(60)}
    started = harness.clock.time
    play(harness, sessions, ticks=40, slots=1)
    refusals = [m for m in harness.to_clients if isinstance(m, RefuseStatement)]
    assert refusals and harness.clock.time - started < SECOND
    assert all(m.refusal.fault is Fault.OVERLOADED for m in refusals)
    assert all(m.refusal.retry_after for m in refusals)
    assert pool.connections


NEAR = Candidate("near", MILLISECOND, timedelta(0), 20 * MILLISECOND, 0, 3)
FAR = Candidate("far", 40 * MILLISECOND, timedelta(0), 20 * MILLISECOND, 0, 3)


@pytest.mark.parametrize(
    ("near", "far", "chosen"),
    [
        ({}, {}, "near"),
        ({"outstanding": 3}, {}, "near"),
        ({"outstanding": 9}, {}, "far"),
        ({"service": 100 * MILLISECOND}, {}, "far"),
        ({"connecting": 60 * MILLISECOND}, {}, "far"),
        ({"connecting": 60 * MILLISECOND}, {"outstanding": 9}, "near"),
    ],
)
def test_placement(
    near: dict[str, object], far: dict[str, object], chosen: str
) -> None:
    """Guards against a near replica that gets all reads, and against needless ways."""
    candidates = evolve(NEAR, **near), evolve(FAR, **far)  # type: ignore[arg-type]
    best = choose(candidates)
    assert best is not None and best.endpoint == chosen
