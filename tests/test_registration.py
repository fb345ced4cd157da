"""Tests of the list of instances in the store."""

from datetime import timedelta
from string import ascii_lowercase

from pimentodrift import membership, view
from pimentodrift.messages import DeleteStore

from .kind_network import KindNetwork, make_network

SECOND = timedelta(seconds=1)
FLEET = tuple(ascii_lowercase[: view.SMALL_FLEET + 8])


def listed(network: KindNetwork) -> set[str]:
    """Return the instances that the store lists."""
    return {
        name
        for (kind, name), item in network.objects.items()
        if kind == "instance" and item.value is not None
    }


def contact_next(network: KindNetwork) -> None:
    """Make each instance's successor in the alphabet one of its contacts."""
    for name, other in zip(FLEET, (*FLEET[1:], FLEET[0]), strict=True):
        membership.track_contact(other, network.nodes[name].state)


def test_fleet_without_losses_stays_listed() -> None:
    """Guards against the removal of live instances that are not contacts of others."""
    network = make_network(FLEET)
    for _ in range(15):
        contact_next(network)
        network.run(SECOND)
    assert network.count(DeleteStore) == 0
    assert listed(network) == set(FLEET)


def test_lost_instances_of_a_fleet_are_removed() -> None:
    """Guards against lost instances that count for majorities forever."""
    network = make_network(FLEET)
    network.run(5 * SECOND)
    lost = set(FLEET[:3])
    for name in lost:
        network.kill(name)
    network.run(15 * SECOND)
    assert listed(network) == set(FLEET) - lost
