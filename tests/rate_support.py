"""Offers load to instances that share a workspace's rate; records what they admit."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random
from typing import Any

import pytest
from attrs import define, field
from hypothesis import settings as test_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pimentodrift import rates
from pimentodrift.errors import Problem
from pimentodrift.notices import Admitted, Refused
from pimentodrift.rate_windows import bucket_for
from pimentodrift.tables import State

from .network import Network

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=20)
RATE = 50.0
BURST = 25.0
WINDOW = 5 * SECOND
NAMES = ("a", "b", "c", "d", "e", "f")


@define
class Load:
    """Sends requests of workspace `w` to instances and records the outcomes."""

    network: Network
    rate: float = RATE
    burst: float = BURST
    admitted: list[timedelta] = field(factory=list)
    refused: int = 0
    refused_at: list[timedelta] = field(factory=list)
    # By instance and number of the request.
    asked_at: dict[tuple[str, int], timedelta] = field(factory=dict)
    refusal_waits: list[timedelta] = field(factory=list)
    retry_afters: list[timedelta | None] = field(factory=list)
    problems: list[Problem] = field(factory=list)
    credit: float = 0.0

    def request(self, name: str) -> None:
        node = self.network.nodes[name]
        if not node.alive or node.paused:
            return
        state = node.state
        if rates.take_token("w", state):
            self.admitted.append(self.network.time)
            return
        deadline = state.clock.monotonic() + 10 * SECOND
        number = state.new_number()
        self.asked_at[name, number] = self.network.time
        rates.queue_for_token("w", number, deadline, state)
        self.network.process_outbox(name)

    def offer(
        self, rate: float, duration: timedelta, choose: Callable[[], str]
    ) -> None:
        """Send `rate` requests/s for a time, each to the instance that is chosen."""
        for _ in range(int(duration / STEP)):
            self.credit += rate * STEP.total_seconds()
            while self.credit >= 1:
                self.credit -= 1
                self.request(choose())
            self.network.run(STEP)

    def worst_excess(self) -> float:
        """Return the most requests over burst + rate x window, over all windows."""
        worst, level, last = 0.0, 0.0, timedelta(0)
        for at in self.admitted:
            level = max(0.0, level - self.rate * (at - last).total_seconds())
            level += 1
            last = at
            worst = max(worst, level - self.burst)
        return worst


CURRENT: list[Load] = []


def random_instance(names: Sequence[str]) -> str:
    return CURRENT[-1].network.random.choice(names)


@pytest.fixture(autouse=True)
def outcomes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Records how waiting requests end, in place of the modules that queued them."""

    def collect(message: object, state: State) -> None:
        if not isinstance(message, Admitted | Refused):
            return
        load = CURRENT[-1]
        now = load.network.time
        asked_at = load.asked_at.get((state.settings.name, message.request), now)
        if isinstance(message, Admitted):
            load.admitted.append(now)
            return
        load.refused += 1
        load.refused_at.append(now)
        load.refusal_waits.append(now - asked_at)
        load.retry_afters.append(message.failure.retry_after)
        load.problems.append(message.failure.problem)

    monkeypatch.setattr(rates, "handle", collect)


def make_load(
    names: tuple[str, ...] = NAMES,
    seed: int = 1,
    rate: float = RATE,
    burst: float = BURST,
    **settings: Any,
) -> Load:
    """Start instances with a workspace; `settings` are those that differ."""
    network = Network(Random(seed), settings=settings)
    workspace = {"rate": rate, "burst": burst, "groups": []}
    network.put("piece", "p", {"workspaces": {"w": workspace}})
    network.put("manifest", "current", {"publication": "1", "pieces": ["p"]})
    for name in names:
        network.add(name, f"r{ord(name) % 3}")
    load = Load(network, rate, burst)
    CURRENT[:] = [load]
    network.run(3 * SECOND)
    return load


def make_window_load(rate: float, seed: int = 1) -> Load:
    """Start seven instances with a limit per window, set up as in production."""
    bucket = bucket_for(rate, rate, WINDOW)
    load = make_load(
        tuple("abcdefg"),
        seed=seed,
        rate=bucket.rate,
        burst=bucket.burst,
        allocator_lease=2 * SECOND,
        configuration_lease=3.9 * SECOND,
        heartbeat_interval=0.5 * SECOND,
    )
    load.network.delay = regional_delay
    return load


def allocator_name(load: Load) -> str:
    item = load.network.objects["allocator", "w"]
    assert item.value is not None
    return str(item.value["holder"])


def regional_delay(one: str, other: str) -> timedelta:
    """Return the network delay in a deployment whose regions are 20 ms apart."""
    same = ord(one[0]) % 3 == ord(other[0]) % 3
    return timedelta(milliseconds=0.5 if same else 20)


def suspect_everywhere(load: Load, name: str) -> None:
    for node in load.network.nodes.values():
        node.state.instances[name].suspected_until = timedelta(days=1)


class RateMachine(RuleBasedStateMachine):
    """Checks that no failures, in any order, lead to more than rate and burst."""

    rate, burst = RATE, BURST

    def __init__(self) -> None:
        super().__init__()
        self.load = make_load(NAMES[:4], rate=self.rate, burst=self.burst)
        self.names = list(NAMES[:4])

    @rule(index=st.integers(0, 3), paused=st.booleans())
    def pause(self, index: int, paused: bool) -> None:
        name = self.names[index]
        if paused:
            self.load.network.nodes[name].paused = True
        elif self.load.network.nodes[name].paused:
            self.load.network.resume(name)

    @rule(index=st.integers(0, 3))
    def kill(self, index: int) -> None:
        if sum(node.alive for node in self.load.network.nodes.values()) > 2:
            self.load.network.kill(self.names[index])

    @rule(one=st.integers(0, 3), other=st.sampled_from([0, 1, 2, 3, "store"]))
    def cut(self, one: int, other: int | str) -> None:
        name = self.names[other] if isinstance(other, int) else other
        self.load.network.partitions.add(frozenset((self.names[one], name)))

    @rule(refuses=st.booleans())
    def refuse(self, refuses: bool) -> None:
        self.load.network.partitions_refuse = refuses

    @rule()
    def heal(self) -> None:
        self.load.network.partitions.clear()

    @rule(down=st.booleans())
    def store(self, down: bool) -> None:
        self.load.network.store_down = down

    @rule(lose=st.booleans(), loss=st.sampled_from([0.0, 0.1, 0.5]))
    def lossy(self, lose: bool, loss: float) -> None:
        self.load.network.lose_answers = lose
        self.load.network.loss = loss
        self.load.network.doubled = loss

    @rule(index=st.integers(0, 3))
    def suspect(self, index: int) -> None:
        until = self.load.network.time + 20 * SECOND
        for node in self.load.network.nodes.values():
            row = node.state.instances.get(self.names[index])
            if row is not None and node.state.settings.name != self.names[index]:
                row.suspected_until = until

    @rule(seconds=st.sampled_from([0.2, 1.0, 6.0]), focus=st.integers(0, 4))
    def flood(self, seconds: float, focus: int) -> None:
        names = self.names if focus == 4 else [self.names[focus]]
        choose = self.load.network.random.choice
        self.load.offer(3 * self.rate, seconds * SECOND, lambda: choose(names))

    @invariant()
    def within_rate_and_burst(self) -> None:
        assert self.load.worst_excess() <= 1e-6


MACHINE_SETTINGS = test_settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=12
)
RateMachine.TestCase.settings = MACHINE_SETTINGS
