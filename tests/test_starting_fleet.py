"""Starts the instances of a fleet one after the other."""

from datetime import timedelta
from random import Random

import pytest

from pimentodrift import view
from pimentodrift.membership import is_instance_usable
from pimentodrift.messages import PeerLost, PeerReceived
from pimentodrift.peer_messages import Hello

from .kind_network import KindNetwork

NAMES = [f"i{number}" for number in range(6)]
SECOND = timedelta(seconds=1)
# A few round trips and the interval of heartbeats.
REJOIN_TIME = timedelta(milliseconds=300)


def make_fleet() -> KindNetwork:
    """Return a fleet that has run for a while."""
    network = KindNetwork(Random(1))
    for name in NAMES:
        network.add(name, "r1")
    network.run(3 * SECOND)
    return network


def unusable_pairs(network: KindNetwork) -> set[tuple[str, str]]:
    """Return the pairs of live instances of which the first does not use the second."""
    live = [name for name in NAMES if network.nodes[name].alive]
    return {
        (name, other)
        for name in live
        for other, row in network.nodes[name].state.instances.items()
        if other in live and not is_instance_usable(row, network.nodes[name].state)
    }


@pytest.mark.parametrize("pause_ms", [20, 60, 100, 400])
def test_instances_that_start_in_turn_use_each_other(pause_ms: int) -> None:
    """Guards against avoiding an instance whose machine had refused a connection.

    The first ones to start reach the others before these listen.
    """
    network = make_fleet()
    for name in NAMES:
        network.kill(name)
    network.run(SECOND)
    for name in NAMES:
        network.restart(name)
        network.run(timedelta(milliseconds=pause_ms))
    network.run(REJOIN_TIME)
    assert unusable_pairs(network) == set()


def test_suspected_instance_of_a_larger_fleet_is_pinged_when_it_dials() -> None:
    """Guards against a suspicion without end.

    In a larger fleet, an instance pings only its contacts. A suspected instance that is
    none of them would never answer a ping.
    """
    network = KindNetwork(Random(1))
    names = [f"i{number}" for number in range(view.SMALL_FLEET + 2)]
    for name in names:
        network.add(name, "r1")
    network.run(3 * SECOND)
    first, second = names[:2]
    state = network.nodes[first].state
    state.contacts.pop(second, None)
    network.deliver(first, PeerLost(second, refused=True))
    assert not is_instance_usable(state.instances[second], state)
    network.deliver(first, PeerReceived(second, Hello(second, "r1", "r1")))
    network.run(REJOIN_TIME)
    assert is_instance_usable(state.instances[second], state)


def test_instance_that_does_not_start_stays_unusable() -> None:
    """Guards against sending work to a machine that goes on refusing connections."""
    network = make_fleet()
    missing = NAMES[-1]
    for name in NAMES:
        network.kill(name)
    for name in NAMES[:-1]:
        network.restart(name)
    for _ in range(20):
        network.run(timedelta(milliseconds=100))
        for name in NAMES[:-1]:
            state = network.nodes[name].state
            row = state.instances.get(missing)
            if row is not None and network.time - row.listed_at > REJOIN_TIME:
                assert not is_instance_usable(row, state)


def test_instance_behind_a_lossy_link_rejoins_late() -> None:
    """Guards against flapping when an instance that was silent answers once."""
    network = make_fleet()
    first, second = NAMES[:2]
    network.partitions.add(frozenset((first, second)))
    state = network.nodes[first].state
    row = state.instances[second]
    while is_instance_usable(row, state):
        network.run(timedelta(milliseconds=20))
    network.partitions.clear()
    network.run(SECOND)
    assert not is_instance_usable(row, state)
    network.run(2 * SECOND)
    assert is_instance_usable(row, state)
