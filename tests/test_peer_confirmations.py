"""Copies of instances without the store that neighbours confirm."""

from datetime import timedelta
from string import ascii_lowercase

import pytest

from pimentodrift import view

from .kind_network import KindNetwork, make_network
from .session_support import SECOND, make_configuration

NAMES = tuple(ascii_lowercase[:12])
LEASE = timedelta(seconds=3.9)
ALLOCATOR_LEASE = timedelta(seconds=2)


def partitioned_network(names: set[str]) -> KindNetwork:
    """Return a network in which the store does not answer the named instances."""
    network = make_network(NAMES, data_centres=3)
    network.settings = {"configuration_lease": LEASE}
    network.run(4 * SECOND)
    network.partitions |= {frozenset((name, "store")) for name in names}
    return network


def oldest_copy(network: KindNetwork, steps: int) -> timedelta:
    """Return the greatest age of a copy in steps of 0.1 s."""
    ages = []
    for _ in range(steps):
        network.run(0.1 * SECOND)
        ages += [view.copy_age(node.state) for node in network.nodes.values()]
    return max(ages)


@pytest.mark.parametrize("lost", ["abcd", "adgj", "abcdefgh"])
def test_copies_without_the_store_are_confirmed(lost: str) -> None:
    """Guards against allocators that stop although others could confirm their copies.

    A whole data centre with its relays has lost the store, or two have.
    """
    network = partitioned_network(set(lost))
    network.run(SECOND)
    assert oldest_copy(network, 80) <= ALLOCATOR_LEASE


def test_changed_configuration_is_not_confirmed() -> None:
    """Guards against a withdrawn key that is used after the configuration lease.

    The configuration is not relayed, so an instance without the store can't know it.
    """
    network = partitioned_network(set("adgj"))
    network.run(3 * SECOND)
    network.configure(make_configuration(version=2))
    changed_at = network.time
    while network.time < changed_at + 9 * SECOND:
        network.run(0.1 * SECOND)
        for node in network.nodes.values():
            state = node.state
            if state.configuration.version < 2:
                assert state.view.confirmed_at <= changed_at
    for name in NAMES:
        state = network.nodes[name].state
        assert view.is_copy_fresh(state) == (name not in "adgj")


def test_own_objects_reach_instances_without_the_store() -> None:
    """Guards against a confirmed copy that lacks an allocator's new epoch."""
    network = partitioned_network(set("adgj"))
    network.run(4 * SECOND)
    network.put("allocator", "w9", {"epoch": 1, "holder": "a"})
    written_at = network.time
    for _ in range(50):
        network.run(0.1 * SECOND)
        for node in network.nodes.values():
            if node.state.view.confirmed_at > written_at:
                assert ("allocator", "w9") in node.state.view.objects
    assert oldest_copy(network, 10) <= ALLOCATOR_LEASE


def test_outage_for_all_is_not_confirmed() -> None:
    """Guards against instances that confirm each other's copies in a circle."""
    network = partitioned_network(set(NAMES))
    network.run(6 * SECOND)
    for node in network.nodes.values():
        assert view.copy_age(node.state) > 5 * SECOND
