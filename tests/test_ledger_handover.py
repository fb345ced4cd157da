"""Allocators that are replaced while they run, and requests without an allocator."""

from datetime import timedelta

import pytest
from attrs import evolve

from pimentodrift.errors import Problem
from pimentodrift.messages import PeerReceived
from pimentodrift.peer_messages import ShareRenew

from .network import Network
from .rate_support import (
    RATE,
    SECOND,
    Load,
    allocator_name,
    make_load,
    outcomes,
)
from .test_rates_fleet import NAMES, three_other_instances

__all__ = ["outcomes"]  # A fixture that every test here uses.

NOTICE_TIME = timedelta(milliseconds=300)  # For the question and the holders' reports.


def replace_live_allocator(load: Load, used: list[str], silent: str) -> timedelta:
    """Cut the allocator's region off from the store; return how long shares are locked.

    Another instance without a share is silent, so that it answers no questions.
    """
    network, old = load.network, allocator_name(load)
    load.offer(0.6 * RATE, 4 * SECOND, lambda: network.random.choice(used))
    network.nodes[silent].paused = True
    regions = {name: node.state.settings.region for name, node in network.nodes.items()}
    network.partitions |= {
        frozenset((name, "store")) for name in NAMES if regions[name] == regions[old]
    }
    locked = timedelta(0)
    for _ in range(100):
        load.offer(0.6 * RATE, 0.1 * SECOND, lambda: network.random.choice(used))
        rows = [
            node.state.allocations.get("w")
            for name, node in network.nodes.items()
            if name == allocator_name(load) != old
        ]
        locked += 0.1 * SECOND * any(row and row.locked_rate > 0 for row in rows)
    assert allocator_name(load) != old
    assert load.worst_excess() <= 1e-6
    return locked


def test_live_allocator_hands_its_ledger_over() -> None:
    """Guards against shares locked for a lease although the predecessor could tell."""
    load = make_load(NAMES)
    old, used = allocator_name(load), three_other_instances(load)
    silent = next(name for name in NAMES[::-1] if name not in (old, *used))
    assert replace_live_allocator(load, used, silent) <= NOTICE_TIME
    assert load.refused == 0
    assert load.network.nodes[old].state.counters["allocator.handed_over"] == 1


@pytest.mark.parametrize("seed", [2, 3, 10, 17, 18, 19, 21, 28, 40])
def test_hand_over_on_a_bad_network(seed: int) -> None:
    """Guards against an answer that is lost, repeated or overtaken by reports.

    Some holders suspect the new allocator, whose answers to their pings are lost.
    """
    load = make_load(NAMES, seed=seed)
    load.network.loss, load.network.doubled = 0.2, 0.3
    old, used = allocator_name(load), three_other_instances(load)
    silent = next(name for name in NAMES[::-1] if name not in (old, *used))
    assert replace_live_allocator(load, used, silent) <= SECOND


def test_nothing_stays_locked_by_rounding() -> None:
    """Guards against "unconfirmed" refusals while every share is known."""
    load = make_load(NAMES[:3])
    row = load.network.nodes[allocator_name(load)].state.allocations["w"]
    row.locked_rate = row.locked_burst = 1e-12
    load.network.run(SECOND)
    assert row.locked_rate == row.locked_burst == 0.0


def test_predecessor_of_the_build_before(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a rolling update whose older allocators answer no question."""
    original = Network.deliver

    def deliver(network: Network, to: str, message: object) -> None:
        if isinstance(message, PeerReceived) and isinstance(
            message.message, ShareRenew
        ):
            renewal = evolve(
                message.message, asks_ledger=False, asks_report=False, standbys=()
            )
            message = evolve(message, message=renewal)
        original(network, to, message)

    monkeypatch.setattr(Network, "deliver", deliver)
    load = make_load(NAMES)
    old, used = allocator_name(load), three_other_instances(load)
    silent = next(name for name in NAMES[::-1] if name not in (old, *used))
    assert replace_live_allocator(load, used, silent) > SECOND


@pytest.mark.parametrize("first", [True, False])
def test_requests_without_an_allocator_have_the_true_reason(first: bool) -> None:
    """Guards against "over its rate", and a wait in vain, while no allocator answers.

    The instance is cut off from all others and the store, with a share or without.
    """
    load = make_load(NAMES)
    network, lost = load.network, three_other_instances(load)[0]
    load.offer(0.2 * RATE, 2 * SECOND, lambda: lost if first else allocator_name(load))
    network.partitions |= {
        frozenset((lost, name)) for name in (*NAMES, "store") if name != lost
    }
    network.run(2.5 * SECOND)
    load.offer(0.4 * RATE, 5 * SECOND, lambda: lost)
    assert load.refused > 0
    assert set(load.problems) == {Problem.RATE_UNCONFIRMED}
    assert all(load.retry_afters)
    load.refusal_waits.clear()
    load.offer(0.4 * RATE, 2 * SECOND, lambda: lost)
    assert max(load.refusal_waits) == timedelta(0)
    network.partitions.clear()
    network.run(3 * SECOND)
    load.refused = 0
    load.offer(0.4 * RATE, 2 * SECOND, lambda: lost)
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6
