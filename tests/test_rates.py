"""Rate shares never exceed rate and burst, and rarely refuse load within the rate."""

from datetime import timedelta
from functools import partial
from random import Random

import pytest

from pimentodrift import rates
from pimentodrift.notices import Admitted, Refused
from pimentodrift.rate_rows import WaitingRequest
from pimentodrift.tables import State

from .rate_support import (
    MACHINE_SETTINGS,
    NAMES,
    RATE,
    SECOND,
    Load,
    RateMachine,
    allocator_name,
    make_load,
    outcomes,
    random_instance,
    regional_delay,
)

__all__ = ["outcomes"]  # A fixture that every test here uses.


def test_steady_load_is_not_refused() -> None:
    """Guards against refusals of load within the rate that uses all instances."""
    load = make_load()
    load.offer(0.9 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_load_moving_between_instances_is_not_refused() -> None:
    """Guards against shares that do not follow callers from instance to instance."""
    load = make_load()
    for name in ("a", "d", "f", "b"):
        load.offer(0.8 * RATE, 5 * SECOND, lambda name=name: name)
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_flood_gets_its_rate_and_no_more() -> None:
    """Guards against admitting more or less than the rate at five times the rate."""
    load = make_load()
    load.offer(5 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * RATE * 20


def flood_small_rate(load_factor: float, burst: float) -> None:
    """Check that unevenly loaded instances admit a small rate in full, and no more."""
    rate, names = 12.0, tuple("abcdefgh")
    load = make_load(names, rate=rate, burst=burst)
    load.network.delay = regional_delay
    weights = (8, 1, 5, 2, 3, 1, 6, 2)
    choose = load.network.random.choices
    load.offer(load_factor * rate, 20 * SECOND, lambda: choose(names, weights)[0])
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * rate * 20


def test_refusals_have_a_short_retry_after() -> None:
    """Guards against a Retry-After of a minute if a token comes within a second."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=12.0)
    load.network.delay = regional_delay
    load.offer(36.0, 10 * SECOND, lambda: load.network.random.choice("abcdefgh"))
    assert load.refused > 0
    assert all(after and after <= 2 * SECOND for after in load.retry_afters)


@pytest.mark.parametrize("load_factor", [1.5, 2.5, 5.0])
def test_small_rate_is_used_up_in_a_flood(load_factor: float) -> None:
    """Guards against a small burst that stays unused at the allocator's instance."""
    flood_small_rate(load_factor, 12.0)


@pytest.mark.parametrize("load_factor", [1.5, 2.5, 5.0])
def test_burst_smaller_than_fleet_is_used_up_in_a_flood(load_factor: float) -> None:
    """Guards against an unused burst that is smaller than the number of instances."""
    flood_small_rate(load_factor, 5.0)


def publish_rate(load: Load, rate: float, burst: float) -> None:
    """Publish another rate and burst of the workspace."""
    load.rate, load.burst = rate, burst
    workspace = {"rate": rate, "burst": burst, "groups": []}
    load.network.put("piece", "p2", {"workspaces": {"w": workspace}})
    manifest = {"publication": "2", "pieces": ["p2"]}
    load.network.put("manifest", "current", manifest)


def test_lowered_burst_is_reduced_gradually() -> None:
    """Guards against refusals right after the rate and burst were lowered."""
    names, old, new = tuple("abcdefgh"), 40.0, 12.0
    load = make_load(names, rate=old, burst=old)
    load.network.delay = regional_delay
    load.offer(0.5 * old, 5 * SECOND, lambda: load.network.random.choice(names))
    assert load.refused == 0
    publish_rate(load, new, new)
    load.offer(0.5 * old, 2 * SECOND, lambda: load.network.random.choice(names))
    assert load.refused <= 2
    load.admitted.clear()
    load.offer(0.5 * old, 20 * SECOND, lambda: load.network.random.choice(names))
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.95 * new * 20


@pytest.mark.parametrize(("loss", "doubled"), [(0.3, 0.0), (0.0, 0.5), (0.3, 0.5)])
def test_lost_and_repeated_messages_keep_the_limit(loss: float, doubled: float) -> None:
    """Guards against a share operation that is applied twice or lost."""
    load = make_load()
    load.network.loss = loss
    load.network.doubled = doubled
    for name in 2 * NAMES:
        load.offer(3 * RATE, 2 * SECOND, lambda name=name: name)
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(3))
def test_small_burst_is_served_without_its_allocator(seed: int) -> None:
    """Guards against a load within the rate that depends on the allocator alone."""
    names = tuple("abcdefgh")
    load = make_load(names, seed=seed, rate=60.0, burst=24.0)
    load.network.delay = regional_delay
    load.offer(30.0, 5 * SECOND, partial(random_instance, names))
    assert load.refused == 0
    lost = allocator_name(load)
    load.network.nodes[lost].paused = True
    rest = [name for name in names if name != lost]
    load.admitted.clear()
    load.offer(30.0, 6 * SECOND, partial(random_instance, rest))
    # The share of the lost instance stays locked until its lease has certainly ended.
    assert len(load.admitted) >= (1 - 1 / len(names)) * 30 * 6
    load.network.resume(lost)
    load.offer(30.0, 5 * SECOND, partial(random_instance, names))
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(5))
def test_late_reports_cause_no_refusals(seed: int) -> None:
    """Guards against refusals by an allocator that gets reports late.

    Its level must count the refill since the oldest report, or it sinks too low.
    """
    load = make_load(seed=seed, rate=400.0, burst=400.0)
    load.network.delay = regional_delay
    random = Random(seed)
    for _ in range(8):
        stalled = random.choice(NAMES)
        rest = [name for name in NAMES if name != stalled]
        load.network.nodes[stalled].paused = True
        load.offer(
            360.0,
            random.choice((0.3, 0.8, 1.2)) * SECOND,
            partial(random_instance, rest),
        )
        load.network.resume(stalled)
        load.offer(360.0, 0.7 * SECOND, partial(random_instance, NAMES))
    assert load.worst_excess() <= 1e-6
    assert load.refused == 0


class SmallBurstMachine(RateMachine):
    """The checks of `RateMachine` with a burst whose tokens are granted one by one."""

    rate, burst = 12.0, 5.0


@pytest.mark.parametrize("delay_ms", [30, 60, 120])
def test_late_grants_are_discarded(delay_ms: int) -> None:
    """Guards against grants that are spent long after their tokens left the bucket."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=5.0)
    load.network.delay = lambda _one, _other: timedelta(milliseconds=delay_ms)
    load.offer(36.0, 20 * SECOND, lambda: load.network.random.choice("abcdefgh"))
    assert load.worst_excess() <= 1e-6
    late = sum(
        node.state.counters["rates.grants_late"] for node in load.network.nodes.values()
    )
    assert (late > 0) == (2 * delay_ms > 100)


def test_paused_holder_discards_its_grant() -> None:
    """Guards against a holder that spends an old grant after a pause."""
    load = make_load(tuple("abcdefgh"), rate=12.0, burst=5.0)
    load.network.delay = regional_delay
    for name in "abcdefgh" * 3:
        load.offer(24.0, 0.2 * SECOND, lambda: load.network.random.choice("abcdefgh"))
        load.network.nodes[name].paused = True
        load.offer(24.0, 0.4 * SECOND, lambda: load.network.random.choice("abcdefgh"))
        load.network.resume(name)
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) >= 0.8 * 12 * 14


TestRateMachine = RateMachine.TestCase
SmallBurstMachine.TestCase.settings = MACHINE_SETTINGS
TestSmallBurstMachine = SmallBurstMachine.TestCase


def test_refusal_whose_client_goes_on_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error that ends the tick, with all systems after the rates.

    The next request of a refused client is handled within the refusal, and may admit
    others that wait as long.
    """
    load = make_load()
    state = load.network.nodes["a"].state
    row = rates.get_or_create_share("w", state)
    row.tokens = 0.0
    for number in (1, 2):
        deadline = state.clock.monotonic() + SECOND
        row.waiting.append(WaitingRequest(number, state.clock.monotonic(), deadline))
    ended: list[object] = []

    def handle(message: object, state: State) -> None:
        ended.append(message)
        if isinstance(message, Refused):
            row.tokens = 1.0
            rates.admit_waiting(row, state)

    monkeypatch.setattr(rates, "handle", handle)
    load.network.time += SECOND
    row.renewed_at = row.refilled_at = state.clock.monotonic()
    rates.refuse_expired(row, state)
    assert [type(message) for message in ended] == [Refused, Admitted]
    assert not row.waiting


def test_grant_whose_client_goes_on_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error as an admitted client's next request admits others."""
    load = make_load()
    state = load.network.nodes["a"].state
    row = rates.get_or_create_share("w", state)
    now = state.clock.monotonic()
    row.waiting += [WaitingRequest(number, now, now + SECOND) for number in (1, 2)]
    ended: list[object] = []

    def handle(message: object, state: State) -> None:
        ended.append(message)
        row.waiting.clear()

    monkeypatch.setattr(rates, "handle", handle)
    rates.admit_from_grant(row, 2, state)
    assert ended == [Admitted(1)]
