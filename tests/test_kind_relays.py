"""Instances that follow the product's objects through a relay of their data centre."""

from datetime import timedelta
from string import ascii_lowercase

import pytest

from pimentodrift import view
from pimentodrift.kind_messages import CheckKind, WatchKind

from .kind_network import KindNetwork, make_network
from .session_support import SECOND, make_configuration

NAMES = tuple(ascii_lowercase[:12])
LEASE = timedelta(seconds=3.5)


def settled(names: tuple[str, ...] = NAMES) -> KindNetwork:
    """Return a network whose instances have found their relays."""
    network = make_network(names)
    network.run(4 * SECOND)
    network.calls.clear()
    return network


def relays(network: KindNetwork) -> set[str]:
    """Return the instances that follow nobody."""
    nodes = network.nodes.items()
    return {name for name, node in nodes if not node.state.view.relay}


def ages(network: KindNetwork, names: set[str]) -> list[timedelta]:
    return [view.age(network.nodes[name].state) for name in sorted(names)]


def cut(network: KindNetwork, names: set[str]) -> None:
    """Separate instances from the store."""
    network.cuts |= {frozenset((name, "store")) for name in names}


def test_only_relays_ask_at_rest() -> None:
    """Guards against calls of the store that grow with the fleet."""
    network = settled()
    network.run(10 * SECOND)
    asked = {name for call, name in network.calls if call is CheckKind}
    assert asked == relays(network)
    assert len(asked) == 2 * view.RELAYS_PER_DATA_CENTRE
    assert max(ages(network, set(NAMES))) < 2 * SECOND


def test_object_reaches_followers_without_calls() -> None:
    """Guards against a call of every instance for each change of an allocator."""
    network = settled()
    network.put("allocator", "w9", {"epoch": 1, "holder": "a"})
    network.run(SECOND)
    for node in network.nodes.values():
        assert ("allocator", "w9") in node.state.view.objects
    network.put("allocator", "w9", None)
    network.run(SECOND)
    for node in network.nodes.values():
        assert node.state.view.objects["allocator", "w9"].value is None
    # Each has one watch from before it found its relay.
    assert network.count(WatchKind) <= len(NAMES) + 2 * len(relays(network))


@pytest.mark.parametrize("is_killed", [False, True])
def test_lost_relays(is_killed: bool) -> None:
    """Guards against followers that go stale with their relay."""
    network = settled()
    lost = relays(network)
    if is_killed:
        for name in lost:
            network.kill(name)
    else:
        cut(network, lost)
    rest = set(NAMES) - lost
    for _ in range(40):
        network.run(SECOND / 4)
        assert max(ages(network, rest)) < LEASE


def test_configuration_that_only_the_relay_has_seen() -> None:
    """Guards against a withdrawn key that a follower without the store still takes."""
    network = settled()
    followers = set(NAMES) - relays(network)
    cut(network, followers)
    network.configure(make_configuration(version=2, keys=("key-9",)))
    network.run(2 * LEASE)
    assert min(ages(network, followers)) > LEASE
    network.cuts.clear()
    network.run(4 * SECOND)
    for name in followers:
        assert network.nodes[name].state.configuration.version == 2
    assert max(ages(network, followers)) < 2 * SECOND


def test_relays_confirm_without_a_way_to_the_store() -> None:
    """Guards against refusals while only the way from one instance is lost."""
    network = settled()
    followers = set(NAMES) - relays(network)
    cut(network, followers)
    network.run(2 * LEASE)
    assert max(ages(network, followers)) < 2 * SECOND


def test_frozen_relay_does_not_confirm_the_past() -> None:
    """Guards against questions that a relay answers after it was frozen."""
    network = settled()
    asked = relays(network)
    for name in asked:
        network.nodes[name].paused = True
    cut(network, set(NAMES))
    network.run(2 * LEASE)
    network.configure(make_configuration(version=2))
    for name in asked:
        network.resume(name)
    network.run(SECOND)
    assert min(ages(network, set(NAMES))) > LEASE


def test_deletion_that_the_relay_never_saw() -> None:
    """Guards against objects that stay because a new relay does not know them."""
    network = settled()
    name = min(set(NAMES) - relays(network))
    node = network.nodes[name]
    network.put("allocator", "w9", {"epoch": 1, "holder": "a"})
    network.run(SECOND)
    cut(network, {name})
    node.paused = True
    network.put("allocator", "w9", None)
    for relay in relays(network):
        network.add(relay, network.nodes[relay].state.settings.region)
    network.run(4 * SECOND)
    network.resume(name)
    network.run(2 * SECOND)
    assert view.age(node.state) > LEASE
    network.cuts.clear()
    network.run(2 * SECOND)
    assert node.state.view.objects["allocator", "w9"].value is None
    assert view.age(node.state) < 2 * SECOND
