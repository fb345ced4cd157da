"""Load on the pool of one endpoint: fairness, refusals and placement."""

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


def make_small_pool_harness() -> SessionHarness:
    """Return a harness whose instance may open nine connections to an endpoint."""
    configuration = make_configuration()
    return make_harness(evolve(configuration, connections={GROUP: 4}))


def run_load(
    harness: SessionHarness, sessions: dict[int, str], ticks: int, slots: int
) -> Counter[str]:
    """Let clients repeat a write; the primary answers `slots` statements each tick."""
    harness.holds_statements = True
    outcomes: Counter[str] = Counter()
    for session in sessions:
        harness.send(session, WRITE)
    for _ in range(ticks):
        remaining, harness.held_steps = (
            harness.held_steps[slots:],
            harness.held_steps[:slots],
        )
        before = len(harness.to_clients)
        harness.answer_held()
        harness.held_steps = remaining + harness.held_steps
        harness.run()
        for message in harness.to_clients[before:]:
            if isinstance(message, AnswerStatement | RefuseStatement):
                is_answer = isinstance(message, AnswerStatement)
                kind = "served" if is_answer else "refused"
                outcomes[f"{kind} {sessions[message.session]}"] += 1
                harness.send(message.session, WRITE)
    return outcomes


def test_busy_workspace_does_not_starve_others() -> None:
    """Guards against a workspace that gets no connection under the load of another."""
    harness = make_small_pool_harness()
    sessions = {harness.open_session("own-db"): "hot" for _ in range(30)}
    sessions |= {harness.open_session("own-db", "key-2"): "calm" for _ in range(2)}
    outcomes = run_load(harness, sessions, ticks=500, slots=1)
    served = outcomes["served calm"] + outcomes["served hot"]
    assert served >= 400
    # Two of 32 clients: their fair share of the served statements.
    assert outcomes["served calm"] >= served * 2 / 32
    assert outcomes["refused calm"] <= outcomes["served calm"]


def test_overload_is_refused_early_with_retry_after() -> None:
    """Guards against refusals that come only after a long wait for a connection."""
    harness = make_small_pool_harness()
    pool = harness.state.pools["e1"]
    sessions = {harness.open_session("own-db"): "hot" for _ in range(60)}
    started = harness.clock.time
    run_load(harness, sessions, ticks=40, slots=1)
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
def test_placement_minimizes_expected_latency(
    near: dict[str, object], far: dict[str, object], chosen: str
) -> None:
    """Guards against reads that all go to the nearest replica, or needlessly far."""
    candidates = evolve(NEAR, **near), evolve(FAR, **far)  # type: ignore[arg-type]
    best = choose(candidates)
    assert best is not None and best.endpoint == chosen
