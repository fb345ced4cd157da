"""What a workspace gets that constantly sends more than its rate."""

from datetime import timedelta
from random import Random

import pytest
from attrs import define, field

from pimentodrift import rates
from pimentodrift.queue_policy import FLOOD_RETRY_AFTER, token_retry_after

from .rate_support import SECOND, Load, make_window_load, outcomes

__all__ = ["outcomes"]  # A fixture that every test here uses.

NAMES = "abcdefg"
MILLISECOND = timedelta(milliseconds=1)


@define
class Kind:
    """A kind of request, and how its requests ended."""

    objective: timedelta
    priority: int
    part: float  # Of all requests.
    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def part_in_time(self) -> float:
        return self.in_time / self.sent


@define
class Flood:
    """Sends requests as `operations` does, and records when they get a token."""

    load: Load
    refuses_early: bool
    kinds: tuple[Kind, ...]
    random: Random = field(factory=lambda: Random(3))
    asked: dict[tuple[str, int], tuple[Kind, timedelta]] = field(factory=dict)

    def request(self, name: str) -> None:
        state = self.load.network.nodes[name].state
        now = self.load.network.time
        (kind,) = self.random.choices(self.kinds, [kind.part for kind in self.kinds])
        kind.sent += 1
        if rates.take_token("w", state):
            kind.in_time += 1
            self.load.admitted.append(now)
            return
        wait = rates.expected_wait("w", kind.priority, state)
        delay = token_retry_after(wait, kind.objective)
        if self.refuses_early and delay is not None:
            kind.refused += 1
            return
        number = state.new_number()
        self.asked[name, number] = kind, now
        deadline = state.clock.monotonic() + 10 * SECOND
        patience = kind.objective / 2 if self.refuses_early else None
        rates.queue_for_token("w", number, deadline, state, kind.priority, patience)
        self.load.network.process_outbox(name)

    def offer(self, rate: float, duration: timedelta) -> None:
        load = self.load
        step = timedelta(milliseconds=20)
        for _ in range(int(duration / step)):
            load.credit += rate * step.total_seconds()
            while load.credit >= 1:
                load.credit -= 1
                self.request(self.random.choice(NAMES))
            load.network.run(step)


def play(
    monkeypatch: pytest.MonkeyPatch, refuses_early: bool, rate: float, factor: float
) -> Flood:
    """Play a flood of a workspace over seven instances."""
    load = make_window_load(rate)
    kinds = (Kind(300 * MILLISECOND, 1, 0.2), Kind(600 * MILLISECOND, 2, 0.8))
    flood = Flood(load, refuses_early, kinds)

    def collect(message: object, state: object) -> None:
        name = state.settings.name  # type: ignore[attr-defined]
        request = message.request  # type: ignore[attr-defined]
        kind, asked_at = flood.asked[name, request]
        if isinstance(message, rates.Refused):
            kind.refused += 1
            return
        load.admitted.append(load.network.time)
        waited = load.network.time - asked_at
        if waited <= kind.objective:
            kind.in_time += 1
        else:
            kind.late += 1

    monkeypatch.setattr(rates, "handle", collect)
    flood.offer(0.6 * rate, 4 * SECOND)
    for kind in kinds:
        kind.sent = kind.in_time = kind.late = kind.refused = 0
    flood.offer(factor * rate, 10 * SECOND)
    return flood


@pytest.mark.parametrize("rate", [20.0, 100.0])
@pytest.mark.parametrize("factor", [1.3, 3.0])
def test_tokens_go_to_requests_that_are_in_time(
    monkeypatch: pytest.MonkeyPatch, rate: float, factor: float
) -> None:
    """Guards against a flood in which each token goes to a request that is late."""
    flood = play(monkeypatch, True, rate, factor)
    admitted = sum(kind.in_time + kind.late for kind in flood.kinds)
    in_time = sum(kind.in_time for kind in flood.kinds)
    assert admitted >= 0.9 * 10 * flood.load.rate
    assert in_time >= 0.95 * admitted
    assert flood.load.worst_excess() <= 1e-6


def test_waiting_in_a_flood_makes_requests_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a model in which the policy makes no difference."""
    before = play(monkeypatch, False, 100.0, 1.3)
    after = play(monkeypatch, True, 100.0, 1.3)
    for old, new in zip(before.kinds, after.kinds, strict=True):
        assert new.part_in_time > old.part_in_time
    assert sum(kind.late for kind in before.kinds) > 100


def test_urgent_requests_are_admitted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a flood in which the declared priorities count for nothing."""
    urgent, other = play(monkeypatch, True, 100.0, 1.5).kinds
    assert urgent.part_in_time >= 0.9
    assert other.part_in_time >= 0.5


def test_backlog_of_an_outage_is_served_late() -> None:
    """Guards against refusing clients that return after an outage, all at once."""
    load = make_window_load(100.0)
    state = load.network.nodes["a"].state
    share = state.shares["w"]
    for number in range(20):
        rates.queue_for_token("w", number, 100 * SECOND, state)
    share.admission_rate = 20.0
    load.network.time += SECOND
    assert rates.expected_wait("w", 0, state) is not None
    share.usable_since = load.network.time - SECOND
    assert rates.expected_wait("w", 0, state) is None


def test_requests_wait_while_nothing_is_admitted() -> None:
    """Guards against refusals at once while an allocator is being replaced."""
    load = make_window_load(20.0)
    state = load.network.nodes["a"].state
    for number in range(5):
        rates.queue_for_token("w", number, 100 * SECOND, state)
    state.shares["w"].admission_rate = 0.0
    load.network.time += SECOND
    assert rates.expected_wait("w", 0, state) is None


@pytest.mark.parametrize(
    ("wait_ms", "objective_ms", "expected_ms"),
    [(None, 300, None), (150, 300, None), (200, 300, 1000), (2500, 300, 2500)],
)
def test_token_retry_after(
    wait_ms: int | None, objective_ms: int, expected_ms: int | None
) -> None:
    """Guards against waits that use up the objective, and against early returns."""
    wait = None if wait_ms is None else wait_ms * MILLISECOND
    expected = None if expected_ms is None else expected_ms * MILLISECOND
    assert token_retry_after(wait, objective_ms * MILLISECOND) == expected
    assert FLOOD_RETRY_AFTER == 1000 * MILLISECOND
