"""Rate shares under failures: never above rate and burst, and few wrongful refusals."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from random import Random

import pytest
from attrs import define, field
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pimentodrift import membership, rates
from pimentodrift.notices import Admitted, Refused
from pimentodrift.tables import State

from .network import Network

SECOND = timedelta(seconds=1)
STEP = timedelta(milliseconds=20)
RATE = 50.0
BURST = 25.0
NAMES = ("a", "b", "c", "d", "e", "f")


@define
class Load:
    """Counts what the instances admit and refuse for workspace `w`."""

    network: Network
    rate: float = RATE
    burst: float = BURST
    admitted: list[timedelta] = field(factory=list)
    refused: int = 0
    asked_at: dict[int, timedelta] = field(factory=dict)
    refusal_waits: list[timedelta] = field(factory=list)
    retry_afters: list[timedelta | None] = field(factory=list)
    credit: float = 0.0

    def request(self, name: str) -> None:
        node = self.network.nodes[name]
        if not node.alive or node.paused:
            return
        state = node.state
        if rates.take("w", state):
            self.admitted.append(self.network.time)
            return
        deadline = state.clock.monotonic() + 10 * SECOND
        number = state.number()
        self.asked_at[number] = self.network.time
        rates.wait("w", number, deadline, state)
        self.network.carry_out(name)

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


def choice(names: Sequence[str]) -> str:
    return CURRENT[-1].network.random.choice(names)


@pytest.fixture(autouse=True)
def outcomes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Collects the outcomes of waiting requests in place of the routing module."""

    def collect(message: object, state: State) -> None:
        if isinstance(message, Admitted):
            CURRENT[-1].admitted.append(CURRENT[-1].network.time)
        elif isinstance(message, Refused):
            load = CURRENT[-1]
            load.refused += 1
            asked_at = load.asked_at.get(message.request, load.network.time)
            load.refusal_waits.append(load.network.time - asked_at)
            load.retry_afters.append(message.failure.retry_after)

    monkeypatch.setattr(rates, "handle", collect)


def make_load(
    names: tuple[str, ...] = NAMES,
    seed: int = 1,
    rate: float = RATE,
    burst: float = BURST,
) -> Load:
    network = Network(Random(seed))
    workspace = {"rate": rate, "burst": burst, "groups": []}
    network.put("piece", "p", {"workspaces": {"w": workspace}})
    network.put("manifest", "current", {"publication": "1", "pieces": ["p"]})
    for name in names:
        network.add(name, f"r{ord(name) % 3}")
    load = Load(network, rate, burst)
    CURRENT[:] = [load]
    network.run(3 * SECOND)
    return load


def allocator(load: Load) -> str:
    item = load.network.objects["allocator", "w"]
    assert item.value is not None
    return str(item.value["holder"])


def test_steady_load_is_not_refused() -> None:
    """Guards against refusals inside the rate when callers use all instances."""
    load = make_load()
    load.offer(0.9 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_load_that_moves_is_not_refused() -> None:
    """Guards against static shares: all callers sit on one instance, then another."""
    load = make_load()
    for name in ("a", "d", "f", "b"):
        load.offer(0.8 * RATE, 5 * SECOND, lambda name=name: name)
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_flood_gets_its_rate_and_no_more() -> None:
    """Guards against both sides of the bound in a five-fold flood."""
    load = make_load()
    load.offer(5 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * RATE * 20


def between_regions(one: str, other: str) -> timedelta:
    """Return the delay of a deployment whose regions are 20 ms apart."""
    same = ord(one[0]) % 3 == ord(other[0]) % 3
    return timedelta(milliseconds=0.5 if same else 20)


def flood_small_rate(load_factor: float, burst: float) -> None:
    """Check that a small rate is used up by instances that differ in load."""
    rate, names = 12.0, tuple("abcdefgh")
    load = make_load(names, rate=rate, burst=burst)
    load.network.delay = between_regions
    weights = (8, 1, 5, 2, 3, 1, 6, 2)
    choose = load.network.random.choices
    load.offer(load_factor * rate, 20 * SECOND, lambda: choose(names, weights)[0])
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * rate * 20


def test_refusals_tell_when_to_come_back() -> None:
    """Guards against a minute's wait for a token that comes within a second."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=12.0)
    load.network.delay = between_regions
    load.offer(36.0, 10 * SECOND, lambda: load.network.random.choice("abcdefgh"))
    assert load.refused > 0
    assert all(after and after <= 2 * SECOND for after in load.retry_afters)


@pytest.mark.parametrize("load_factor", [1.5, 2.5, 5.0])
def test_small_rate_is_used_up_in_a_flood(load_factor: float) -> None:
    """Guards against a small burst that lies idle at the allocator's instance."""
    flood_small_rate(load_factor, 12.0)


@pytest.mark.parametrize("load_factor", [1.5, 2.5, 5.0])
def test_burst_below_the_holders_is_used_up_in_a_flood(load_factor: float) -> None:
    """Guards against the same with less burst than there are instances."""
    flood_small_rate(load_factor, 5.0)


def publish_rate(load: Load, rate: float, burst: float) -> None:
    """Put another rate in force for the workspace."""
    load.rate, load.burst = rate, burst
    workspace = {"rate": rate, "burst": burst, "groups": []}
    load.network.put("piece", "p2", {"workspaces": {"w": workspace}})
    manifest = {"publication": "2", "pieces": ["p2"]}
    load.network.put("manifest", "current", manifest)


def test_lowered_rate_leaves_the_tokens_that_were_granted() -> None:
    """Guards against clients that are cut off at once by a lower rate and burst."""
    names, old, new = tuple("abcdefgh"), 40.0, 12.0
    load = make_load(names, rate=old, burst=old)
    load.network.delay = between_regions
    load.offer(0.5 * old, 5 * SECOND, lambda: load.network.random.choice(names))
    assert load.refused == 0
    publish_rate(load, new, new)
    load.offer(0.5 * old, 2 * SECOND, lambda: load.network.random.choice(names))
    assert load.refused <= 2
    load.admitted.clear()
    load.offer(0.5 * old, 20 * SECOND, lambda: load.network.random.choice(names))
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * new * 20


def test_death_of_the_allocator() -> None:
    """Guards against shares that lapse or are granted twice at a change."""
    load = make_load()
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(NAMES))
    dead = allocator(load)
    load.network.kill(dead)
    rest = [name for name in NAMES if name != dead]
    before = len(load.admitted)
    load.offer(0.8 * RATE, 30 * SECOND, lambda: load.network.random.choice(rest))
    assert allocator(load) != dead
    assert load.worst_excess() <= 1e-6
    assert load.refused <= 0.001 * (len(load.admitted) - before + load.refused)


@pytest.mark.parametrize("store_down", [False, True])
def test_paused_allocator_does_not_grant_again(store_down: bool) -> None:
    """Guards against a stale allocator that resumes after its replacement."""
    load = make_load()
    old = allocator(load)
    load.network.nodes[old].paused = True
    for node in load.network.nodes.values():
        node.state.instances[old].suspected_until = timedelta(days=1)
    rest = [name for name in NAMES if name != old]
    load.offer(2 * RATE, 8 * SECOND, lambda: load.network.random.choice(rest))
    load.network.store_down = store_down
    load.network.resume(old)
    load.offer(2 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.worst_excess() <= 1e-6


def test_instances_that_suspect_each_other() -> None:
    """Guards against a role that passes to and fro after a cut has healed."""
    load = make_load()
    network, holder = load.network, allocator(load)
    before = network.objects["allocator", "w"].value
    for _ in range(50):
        for name, node in network.nodes.items():
            for other in NAMES if name == holder else (holder,):
                membership.suspect(other, node.state)
        load.offer(0.5 * RATE, 2 * STEP, lambda: network.random.choice(NAMES))
    after = network.objects["allocator", "w"].value
    assert before is not None and after is not None
    assert after["epoch"] - before["epoch"] <= 1
    assert load.worst_excess() <= 1e-6


def test_allocator_that_loses_the_store() -> None:
    """Guards against a workspace whose allocator lives but may not act."""
    load = make_load()
    network, holder = load.network, allocator(load)
    network.cuts.add(frozenset((holder, "store")))
    load.offer(0.5 * RATE, 8 * SECOND, lambda: network.random.choice(NAMES))
    assert allocator(load) != holder
    load.refused = 0
    load.offer(0.5 * RATE, 5 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("other_half_has_store", [True, False])
def test_cut_into_halves(other_half_has_store: bool) -> None:
    """Guards against a half with the store whose allocators are in the other half."""
    names = tuple("abcdefgh")
    load = make_load(names)
    network, holder = load.network, allocator(load)
    far = [holder, *[name for name in names if name != holder][:3]]
    near = [name for name in names if name not in far]
    for one in far:
        network.cuts.update(frozenset((one, other)) for other in near)
        if not other_half_has_store:
            network.cuts.add(frozenset((one, "store")))
    before = network.objects["allocator", "w"].value
    load.offer(0.3 * RATE, 10 * SECOND, lambda: network.random.choice(near))
    assert load.worst_excess() <= 1e-6
    after = network.objects["allocator", "w"].value
    assert before is not None and after is not None
    assert after["epoch"] - before["epoch"] <= 4
    if not other_half_has_store:
        load.refused = 0
        load.offer(0.3 * RATE, 5 * SECOND, lambda: network.random.choice(near))
        assert load.refused == 0


def test_restart_of_all_beside_a_lost_instance() -> None:
    """Guards against requests that wait for shares that cannot come soon."""
    load = make_load()
    network = load.network
    network.add("lost", "r0")
    network.nodes["lost"].paused = True  # Dark: its machine refuses nothing.
    network.delay = between_regions
    for name in NAMES:
        network.kill(name)
    network.run(2 * SECOND)  # What was on its way is lost.
    for name in NAMES:
        network.add(name, f"r{ord(name) % 3}")  # Anew, with nothing in memory.
    network.run(2 * SECOND)
    load.offer(0.5 * RATE, 2 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused > 0
    assert max(load.refusal_waits) <= timedelta(milliseconds=500)
    network.run(5 * SECOND)
    load.refused = 0
    load.offer(0.5 * RATE, 5 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def suspect_everywhere(load: Load, name: str) -> None:
    for node in load.network.nodes.values():
        node.state.instances[name].suspected_until = timedelta(days=1)


def test_holder_out_of_reach_of_the_successor() -> None:
    """Guards against handing out what a holder beyond a cut still spends.

    The allocator and a holder with most of the rate are cut off from the others, which
    choose a successor; both sides are flooded.
    """
    load = make_load()
    old = allocator(load)
    holder = next(name for name in NAMES if name != old)
    rest = [name for name in NAMES if name not in (old, holder)]
    load.offer(RATE, 4 * SECOND, lambda: holder)
    load.network.cuts.update(
        frozenset((one, other)) for one in (old, holder) for other in rest
    )
    suspect_everywhere(load, old)
    load.offer(4 * RATE, 30 * SECOND, lambda: load.network.random.choice(NAMES))
    assert allocator(load) not in (old, holder)
    assert load.worst_excess() <= 1e-6


def test_allocator_without_the_store_after_a_short_pause() -> None:
    """Guards against a replaced allocator that still believes in its authority."""
    load = make_load()
    old = allocator(load)
    load.network.nodes[old].paused = True
    load.network.cuts.add(frozenset((old, "store")))
    suspect_everywhere(load, old)
    rest = [name for name in NAMES if name != old]
    load.offer(3 * RATE, 1.5 * SECOND, lambda: load.network.random.choice(rest))
    load.network.resume(old)
    for name in rest:
        load.offer(3 * RATE, 2 * SECOND, lambda name=name: name)
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize(("loss", "doubled"), [(0.3, 0.0), (0.0, 0.5), (0.3, 0.5)])
def test_lost_and_repeated_messages(loss: float, doubled: float) -> None:
    """Guards against a share operation that counts twice or is forgotten."""
    load = make_load()
    load.network.loss = loss
    load.network.doubled = doubled
    for name in 2 * NAMES:
        load.offer(3 * RATE, 2 * SECOND, lambda name=name: name)
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(3))
def test_small_burst_outlives_its_allocator(seed: int) -> None:
    """Guards against requests inside the rate that all depend on one instance."""
    names = tuple("abcdefgh")
    load = make_load(names, seed=seed, rate=60.0, burst=24.0)
    load.network.delay = between_regions
    load.offer(30.0, 5 * SECOND, partial(choice, names))
    assert load.refused == 0
    lost = allocator(load)
    load.network.nodes[lost].paused = True
    rest = [name for name in names if name != lost]
    load.admitted.clear()
    load.offer(30.0, 6 * SECOND, partial(choice, rest))
    # The share of the lost instance is out of reach until it has certainly lapsed.
    assert len(load.admitted) >= (1 - 1 / len(names)) * 30 * 6
    load.network.resume(lost)
    load.offer(30.0, 5 * SECOND, partial(choice, names))
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(5))
def test_late_reports_do_not_deny(seed: int) -> None:
    """Guards against an allocator that forgets what came back before late reports."""
    load = make_load(seed=seed, rate=400.0, burst=400.0)
    load.network.delay = between_regions
    random = Random(seed)
    for _ in range(8):
        stalled = random.choice(NAMES)
        rest = [name for name in NAMES if name != stalled]
        load.network.nodes[stalled].paused = True
        load.offer(
            360.0, random.choice((0.3, 0.8, 1.2)) * SECOND, partial(choice, rest)
        )
        load.network.resume(stalled)
        load.offer(360.0, 0.7 * SECOND, partial(choice, NAMES))
    assert load.worst_excess() <= 1e-6
    assert load.refused == 0


class RateMachine(RuleBasedStateMachine):
    """Any failures in any order never admit more than rate and burst."""

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
        self.load.network.cuts.add(frozenset((self.names[one], name)))

    @rule()
    def heal(self) -> None:
        self.load.network.cuts.clear()

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


class SmallBurstMachine(RateMachine):
    """The same with a burst whose tokens are granted one by one."""

    rate, burst = 12.0, 5.0


@pytest.mark.parametrize("delay_ms", [30, 60, 120])
def test_late_grants_are_dropped(delay_ms: int) -> None:
    """Guards against tokens that are spent long after they left the bucket."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=5.0)
    load.network.delay = lambda _one, _other: timedelta(milliseconds=delay_ms)
    load.offer(36.0, 20 * SECOND, lambda: load.network.random.choice("abcdefgh"))
    assert load.worst_excess() <= 1e-6
    late = sum(
        node.state.counters["rates.grants_late"] for node in load.network.nodes.values()
    )
    assert (late > 0) == (2 * delay_ms > 100)


def test_paused_holder_drops_its_grant() -> None:
    """Guards against tokens that a holder spends after it was paused."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=5.0)
    load.network.delay = between_regions
    for name in "abcdefgh" * 3:
        load.offer(24.0, 0.2 * SECOND, lambda: load.network.random.choice("abcdefgh"))
        load.network.nodes[name].paused = True
        load.offer(24.0, 0.4 * SECOND, lambda: load.network.random.choice("abcdefgh"))
        load.network.resume(name)
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.8 * 12 * 14


MACHINE_SETTINGS = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=12
)
RateMachine.TestCase.settings = MACHINE_SETTINGS
TestRateMachine = RateMachine.TestCase
SmallBurstMachine.TestCase.settings = MACHINE_SETTINGS
TestSmallBurstMachine = SmallBurstMachine.TestCase
