"""Rate shares when an allocator fails, is unreachable or is replaced."""

from datetime import timedelta

import pytest

from pimentodrift import membership, token_grants

from .rate_support import (
    NAMES,
    RATE,
    SECOND,
    STEP,
    allocator_name,
    make_load,
    make_window_load,
    outcomes,
    regional_delay,
    suspect_everywhere,
)

__all__ = ["outcomes"]  # A fixture that every test here uses.


def test_killed_allocator_is_replaced() -> None:
    """Guards against shares that end or are given out twice when allocators change."""
    load = make_load()
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(NAMES))
    dead = allocator_name(load)
    load.network.kill(dead)
    rest = [name for name in NAMES if name != dead]
    before = len(load.admitted)
    load.offer(0.8 * RATE, 30 * SECOND, lambda: load.network.random.choice(rest))
    assert allocator_name(load) != dead
    assert load.worst_excess() <= 1e-6
    assert load.refused <= 0.001 * (len(load.admitted) - before + load.refused)


@pytest.mark.parametrize("store_down", [False, True])
def test_paused_allocator_does_not_grant_again(store_down: bool) -> None:
    """Guards against a paused allocator that resumes after it was replaced."""
    load = make_load()
    old = allocator_name(load)
    load.network.nodes[old].paused = True
    for node in load.network.nodes.values():
        node.state.instances[old].suspected_until = timedelta(days=1)
    rest = [name for name in NAMES if name != old]
    load.offer(2 * RATE, 8 * SECOND, lambda: load.network.random.choice(rest))
    load.network.store_down = store_down
    load.network.resume(old)
    load.offer(2 * RATE, 20 * SECOND, lambda: load.network.random.choice(NAMES))
    assert load.worst_excess() <= 1e-6


def test_mutual_suspicion_keeps_the_allocator() -> None:
    """Guards against a role that passes back and forth after a network partition."""
    load = make_load()
    network, holder = load.network, allocator_name(load)
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


def test_allocator_without_the_store_is_replaced() -> None:
    """Guards against keeping an allocator that runs but may no longer act."""
    load = make_load()
    network, holder = load.network, allocator_name(load)
    network.partitions.add(frozenset((holder, "store")))
    load.offer(0.5 * RATE, 8 * SECOND, lambda: network.random.choice(NAMES))
    assert allocator_name(load) != holder
    load.refused = 0
    load.offer(0.5 * RATE, 5 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("other_half_has_store", [True, False])
def test_partition_into_halves(other_half_has_store: bool) -> None:
    """Guards against a half with the store whose allocator is in the other half."""
    names = tuple("abcdefgh")
    load = make_load(names)
    network, holder = load.network, allocator_name(load)
    far = [holder, *[name for name in names if name != holder][:3]]
    near = [name for name in names if name not in far]
    for one in far:
        network.partitions.update(frozenset((one, other)) for other in near)
        if not other_half_has_store:
            network.partitions.add(frozenset((one, "store")))
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


def test_restart_of_all_but_an_unreachable_instance() -> None:
    """Guards against requests that wait for shares that will stay locked for long."""
    load = make_load()
    network = load.network
    network.add("lost", "r0")
    network.nodes["lost"].paused = True  # Its machine does not refuse connections.
    network.delay = regional_delay
    for name in NAMES:
        network.kill(name)
    network.run(2 * SECOND)  # Messages in flight are lost.
    for name in NAMES:
        network.add(name, f"r{ord(name) % 3}")  # Restarted, with empty memory.
    network.run(2 * SECOND)
    load.offer(0.5 * RATE, 2 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused > 0
    assert max(load.refusal_waits) <= timedelta(milliseconds=500)
    network.run(5 * SECOND)
    load.refused = 0
    load.offer(0.5 * RATE, 5 * SECOND, lambda: network.random.choice(NAMES))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_holder_unreachable_for_the_successor() -> None:
    """Guards against giving out a share that an unreachable holder still uses.

    A network partition separates the allocator and a holder with most of the rate from
    the others, which choose a successor. Both sides get more load than the rate.
    """
    load = make_load()
    old = allocator_name(load)
    holder = next(name for name in NAMES if name != old)
    rest = [name for name in NAMES if name not in (old, holder)]
    load.offer(RATE, 4 * SECOND, lambda: holder)
    load.network.partitions.update(
        frozenset((one, other)) for one in (old, holder) for other in rest
    )
    suspect_everywhere(load, old)
    load.offer(4 * RATE, 30 * SECOND, lambda: load.network.random.choice(NAMES))
    assert allocator_name(load) not in (old, holder)
    assert load.worst_excess() <= 1e-6


def test_replaced_allocator_without_the_store_resumes() -> None:
    """Guards against a replaced allocator that keeps acting after a short pause.

    The allocator cannot reach the store, so it does not learn of its successor.
    """
    load = make_load()
    old = allocator_name(load)
    load.network.nodes[old].paused = True
    load.network.partitions.add(frozenset((old, "store")))
    suspect_everywhere(load, old)
    rest = [name for name in NAMES if name != old]
    load.offer(3 * RATE, 1.5 * SECOND, lambda: load.network.random.choice(rest))
    load.network.resume(old)
    for name in rest:
        load.offer(3 * RATE, 2 * SECOND, lambda name=name: name)
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("delays_calls", [False, True])
@pytest.mark.parametrize("outage", [2.5, 3.6, 6.0])
def test_outage_of_the_store_keeps_the_allocator(
    outage: float, delays_calls: bool
) -> None:
    """Guards against replacing allocators that live when the store comes back.

    Their last heartbeats still tell that they had lost it, or a claim that was sent
    during the outage takes effect.
    """
    load = make_window_load(20.0)
    network = load.network
    network.delays_calls = delays_calls
    load.offer(10.0, 5 * SECOND, lambda: network.random.choice("abcdefg"))
    before = network.objects["allocator", "w"]
    network.store_down = True
    load.offer(10.0, outage * SECOND, lambda: network.random.choice("abcdefg"))
    network.store_down = False
    load.offer(10.0, 6 * SECOND, lambda: network.random.choice("abcdefg"))
    assert network.objects["allocator", "w"] == before
    assert load.worst_excess() <= 1e-6


CALM_LOAD = 0.62  # Part of the rate.


def refused_span_after_loss(rate: float, store_down: bool, seed: int = 1) -> timedelta:
    """Return for how long a calm workspace is refused after losing its allocator.

    The allocator's machine does not refuse connections, so it may still use its share.
    """
    load = make_window_load(rate, seed)
    network, lost = load.network, allocator_name(load)
    rest = [name for name in network.nodes if name != lost]
    load.offer(CALM_LOAD * rate, 5 * SECOND, lambda: network.random.choice("abcdefg"))
    network.store_down = store_down
    load.offer(CALM_LOAD * rate, 1.5 * SECOND, lambda: network.random.choice(rest))
    network.nodes[lost].paused = True
    load.refused_at.clear()
    load.offer(CALM_LOAD * rate, 1.6 * SECOND, lambda: network.random.choice(rest))
    network.store_down = False
    load.offer(CALM_LOAD * rate, 9 * SECOND, lambda: network.random.choice(rest))
    assert load.worst_excess() <= 1e-6
    if not load.refused_at:
        return timedelta(0)
    return load.refused_at[-1] - load.refused_at[0]


@pytest.mark.parametrize("store_down", [False, True])
@pytest.mark.parametrize("rate", [12.0, 20.0, 40.0])
def test_calm_workspace_outlives_its_allocator(rate: float, store_down: bool) -> None:
    """Guards against refusals for seconds after an allocator was lost."""
    assert refused_span_after_loss(rate, store_down) <= SECOND


@pytest.mark.parametrize("seed", [11, 14, 19])
@pytest.mark.parametrize("rate", [12.0, 20.0])
def test_calm_workspace_has_shares_when_its_allocator_is_lost(
    rate: float, seed: int
) -> None:
    """Guards against a whole rate at the allocator after a moment of more requests."""
    assert refused_span_after_loss(rate, False, seed) <= SECOND


@pytest.mark.parametrize(
    ("rate", "seed"),
    [(12.0, 6), (12.0, 20), (20.0, 7), (20.0, 12), (40.0, 4), (40.0, 15)],
)
def test_holders_share_tokens_without_an_allocator(rate: float, seed: int) -> None:
    """Guards against tokens that lie unused at one holder and are wanted at another.

    Nobody can become the allocator, since the store is down.
    """
    assert refused_span_after_loss(rate, True, seed) <= SECOND


@pytest.mark.parametrize("seed", range(3))
def test_tokens_are_scarce_only_near_the_rate(seed: int) -> None:
    """Guards against a calm workspace that a few requests/s make seem flooded."""
    load = make_window_load(12.0, seed)
    network, allocator = load.network, allocator_name(load)
    row = network.nodes[allocator].state.allocations["w"]
    for _ in range(40):
        load.offer(
            CALM_LOAD * 12.0, 0.5 * SECOND, lambda: network.random.choice("abcdefg")
        )
        assert not row.is_scarce
    load.offer(36.0, 2 * SECOND, lambda: network.random.choice("abcdefg"))
    assert row.is_scarce


@pytest.mark.parametrize("rate", [1.0, 30.0, 60.0, 1000.0])
def test_demand_is_averaged_again_at_the_same_moment(rate: float) -> None:
    """Guards against a division by the time since the last average."""
    load = make_window_load(rate)
    state = load.network.nodes[allocator_name(load)].state
    row, workspace = state.allocations["w"], state.configuration.workspaces["w"]
    for _ in range(2):
        token_grants.update_scarcity(row, workspace, state)
    assert not row.is_scarce
    row.taken_at = row.measured_at = state.clock.monotonic()
    token_grants.update_scarcity(row, workspace, state)
    assert not row.is_scarce


@pytest.mark.parametrize("store_down", [False, True])
def test_workspace_with_a_small_burst_outlives_its_allocator(store_down: bool) -> None:
    """Guards against the same for a burst below a request an instance."""
    assert refused_span_after_loss(6.0, store_down) <= SECOND


@pytest.mark.parametrize("rate", [12.0, 20.0, 40.0])
def test_flood_while_a_lost_share_is_locked(rate: float) -> None:
    """Guards against a whole rate that stands still until a lost part is free.

    In a flood, a small burst is at the allocator's instance and the others get grants.
    """
    load = make_window_load(rate)
    network, lost = load.network, allocator_name(load)
    rest = [name for name in network.nodes if name != lost]
    load.offer(CALM_LOAD * rate, 5 * SECOND, lambda: network.random.choice("abcdefg"))
    network.nodes[lost].paused = True
    load.offer(CALM_LOAD * rate, 2.2 * SECOND, lambda: network.random.choice(rest))
    before = len(load.admitted)
    load.offer(3 * rate, 3.5 * SECOND, lambda: network.random.choice(rest))
    held = 6 / 7 * 3.5 * load.rate  # Without the part that the lost instance held.
    assert len(load.admitted) - before >= 0.8 * held
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("down", [0.0, 1.0])
def test_restart_of_all_gives_no_token_twice(down: float) -> None:
    """Guards against tokens for a time in which the processes before still admitted."""
    load = make_window_load(100.0)
    network = load.network
    names = list(network.nodes)
    load.offer(300.0, 4 * SECOND, lambda: network.random.choice(names))
    for name in names:
        network.kill(name)
    network.run(down * SECOND)
    for name in names:
        network.add(name, network.nodes[name].state.settings.region)
    load.offer(300.0, 4 * SECOND, lambda: network.random.choice(names))
    assert load.worst_excess() <= 1e-6


def test_returning_clients_find_tokens_after_a_restart() -> None:
    """Guards against empty buckets although nothing was admitted for a while."""
    load = make_window_load(100.0)
    network = load.network
    names = list(network.nodes)
    for name in names:
        network.kill(name)
    network.run(SECOND)
    for name in names:
        network.add(name, network.nodes[name].state.settings.region)
    began = network.time
    load.offer(300.0, 0.8 * SECOND, lambda: network.random.choice(names))
    first = min(load.admitted)
    assert first - began <= 0.5 * SECOND
    # More than what the rate alone gives from the first token on.
    assert len(load.admitted) > load.rate * (network.time - first).total_seconds() + 5
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("cuts_allocator", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_holders_behind_a_cut_that_refuses(seed: int, cuts_allocator: bool) -> None:
    """Guards against giving out the shares of holders that are only cut off.

    Their connections are refused on the other side, as those of an ended process are.
    """
    load = make_window_load(50.0, seed)
    network, allocator = load.network, allocator_name(load)
    network.partitions_refuse = True
    names = list(network.nodes)
    others = [name for name in names if name != allocator]
    lost = [allocator, others[0]] if cuts_allocator else others[:2]
    load.offer(4 * load.rate, 2 * SECOND, lambda: network.random.choice(names))
    for name in lost:
        rest = [other for other in names if other not in lost]
        network.partitions.update(frozenset((name, other)) for other in rest)
    load.offer(4 * load.rate, 6 * SECOND, lambda: network.random.choice(names))
    network.partitions.clear()
    load.offer(4 * load.rate, 6 * SECOND, lambda: network.random.choice(names))
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("wait", "is_isolated"),
    [
        pytest.param(0, False, id="outage at once"),
        pytest.param(8, False, id="outage long after the end of the lease"),
        pytest.param(8, True, id="holder without the store from the beginning"),
    ],
)
def test_holder_that_sees_an_outage_of_the_store(
    wait: int, is_isolated: bool, seed: int
) -> None:
    """Guards against giving out a share that its holder uses beyond its lease.

    Most instances lose the store, so that the holder takes it to be down. Its allocator
    still has the store, and they don't reach each other.
    """
    load = make_window_load(200.0, seed)
    network, allocator = load.network, allocator_name(load)
    names = list(network.nodes)
    *others, holder = [name for name in names if name != allocator]
    load.offer(4 * load.rate, 2 * SECOND, lambda: network.random.choice(names))
    network.partitions.add(frozenset((holder, allocator)))
    if is_isolated:
        network.partitions.add(frozenset((holder, "store")))
    load.offer(4 * load.rate, wait * SECOND, lambda: network.random.choice(names))
    for name in (holder, *others[:-1]):
        network.partitions.add(frozenset((name, "store")))
    load.offer(4 * load.rate, 14 * SECOND, lambda: network.random.choice(names))
    assert load.worst_excess() <= 1e-6


def test_restarted_holder_is_not_taken_for_ended() -> None:
    """Guards against giving out the share of a holder that had only restarted before.

    Its machine refused connections then. Now it is cut off, and its allocator is lost.
    """
    load = make_load()
    network, lost = load.network, allocator_name(load)
    holder, *rest = [name for name in NAMES if name != lost]
    network.kill(holder)
    load.offer(0.2 * RATE, 2 * SECOND, lambda: network.random.choice(rest))
    network.add(holder, network.nodes[holder].state.settings.region)
    load.offer(RATE, 8 * SECOND, lambda: holder)
    network.kill(lost)
    network.partitions.update(frozenset((holder, name)) for name in rest)
    load.offer(4 * RATE, 8 * SECOND, lambda: network.random.choice([holder, *rest]))
    assert allocator_name(load) in rest
    assert load.worst_excess() <= 1e-6
