"""Tests of when a committed write is confirmed, unconfirmed or kept waiting."""

from datetime import timedelta
from typing import Any

import pytest

from pimentodrift import core, replication
from pimentodrift import messages as m
from pimentodrift import notices as n
from pimentodrift import peer_messages as p
from pimentodrift.dispatch import handle
from pimentodrift.errors import Outcome
from pimentodrift.failover_rows import Channel
from pimentodrift.tables import EndpointRow, GroupRow, State

from .support import ManualClock, make_state

MS = timedelta(milliseconds=1)
POSITION = m.Position(3, 10)


@pytest.fixture
def ended(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    result: list[object] = []
    monkeypatch.setattr(
        replication, "handle", lambda message, _: result.append(message)
    )
    return result


def waiting_state(durability: m.Durability) -> State:
    state = make_state()
    state.groups["g"] = GroupRow("g", 3, "d1", {3: 0})
    for name in ("d1", "d2", "d3"):
        state.endpoints[name] = EndpointRow(name, "g", "r1", "127.0.0.1:1", 3, 20)
    deadline = state.clock.monotonic() + 1000 * MS
    replication.await_acknowledgment(7, "d1", POSITION, durability, deadline, state)
    connection = state.monitors[("d1", Channel.ACKNOWLEDGMENT)].connection
    handle(m.EndpointOpened(connection), state)
    return state


def answer(
    state: State, replicas: list[tuple[str, int, int]], role: str, term: int
) -> None:
    batch = next(o for o in reversed(state.outbox) if isinstance(o, m.RunBatch))
    rows = [m.Rows((), tuple(replicas)), m.Rows((), ((role, term, 10, 10),))]
    results = tuple(m.StatementResult(r) for r in rows)
    handle(m.EndpointAnswered(batch.connection, batch.batch, results), state)


ALL, MAJORITY = m.Durability.ALL, m.Durability.MAJORITY
CASES = [
    (MAJORITY, [("d2", 3, 10), ("d3", 3, 9)], "primary", 3, n.WriteAcknowledged),
    (MAJORITY, [("d2", 3, 9), ("d3", 3, 9)], "primary", 3, None),
    (MAJORITY, [("d2", 2, 10)], "primary", 3, None),  # Received in another term.
    (MAJORITY, [("d2", 4, 10)], "primary", 3, None),
    (MAJORITY, [("other", 3, 10)], "primary", 3, None),  # Not in the group.
    (MAJORITY, [("d1", 3, 10)], "primary", 3, None),  # The primary counts once.
    (MAJORITY, [("d2", 3, 10)], "primary", 4, n.WriteUnconfirmed),
    (MAJORITY, [("d2", 3, 10)], "fenced", 3, n.WriteUnconfirmed),
    (MAJORITY, [("d2", 3, 10)], "replica", 3, n.WriteUnconfirmed),
    (ALL, [("d2", 3, 10)], "primary", 3, None),
    (ALL, [("d2", 3, 10), ("d3", 3, 11)], "primary", 3, n.WriteAcknowledged),
]


@pytest.mark.parametrize("case", CASES)
def test_reading(ended: list[object], case: tuple[Any, ...]) -> None:
    """Guards against a confirmation that a failover could undo."""
    durability, replicas, role, term, expected = case
    state = waiting_state(durability)
    answer(state, replicas, role, term)
    assert [type(message) for message in ended] == ([expected] if expected else [])


def test_reading_begun_before_the_write_does_not_confirm_it(
    ended: list[object],
) -> None:
    """Guards against a confirmation by a reading that is older than the commit."""
    state = waiting_state(MAJORITY)
    deadline = state.clock.monotonic() + 1000 * MS
    replication.await_acknowledgment(8, "d1", POSITION, MAJORITY, deadline, state)
    answer(state, [("d2", 3, 10)], "primary", 3)
    assert ended == [n.WriteAcknowledged(7)]
    answer(state, [("d2", 3, 10)], "primary", 3)
    assert ended == [n.WriteAcknowledged(7), n.WriteAcknowledged(8)]


@pytest.mark.parametrize("reason", ["deadline", "term"])
def test_wait_ends_with_unknown_outcome(ended: list[object], reason: str) -> None:
    """Guards against a write that waits forever or is reported as not run."""
    state = waiting_state(MAJORITY)
    if reason == "term":
        state.groups["g"].term = 4
    else:
        assert isinstance(state.clock, ManualClock)
        state.clock.advance(1000 * MS)
    core.tick(state)
    (message,) = ended
    assert isinstance(message, n.WriteUnconfirmed)
    assert message.failure.outcome is Outcome.UNKNOWN
    assert not any(state.waiting_writes.values())


def test_samples_only_move_forward_in_time() -> None:
    """Guards against an old position that replaces a newer one."""
    state = waiting_state(MAJORITY)
    assert isinstance(state.clock, ManualClock)
    state.clock.advance(1000 * MS)
    core.membership.apply_instance("b", INSTANCE, state)
    for age, offset, expected in ((50, 5, 5), (100, 9, 5), (20, 7, 7)):
        sample = p.EndpointSample("d2", False, m.Position(3, offset), age)
        pong = p.Pong(1, 30, (sample,))
        handle(m.PeerReceived("b", pong), state)
        assert state.endpoints["d2"].position.offset == expected
    assert state.instances["b"].store_age == 30 * MS


INSTANCE = {"address": "127.0.0.1:2", "region": "r1", "data_centre": "x"}
