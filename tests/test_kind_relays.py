"""Instances that get the store's changes through a relay of their data centre."""

from datetime import timedelta
from string import ascii_lowercase

import pytest

from pimentodrift import dispatch, view
from pimentodrift.kind_messages import CheckKind, Gone, WatchedKind, WatchKind
from pimentodrift.messages import SendPeer, StoreObject
from pimentodrift.peer_messages import Subscribe
from pimentodrift.tables import State

from .kind_network import KindNetwork, make_network
from .session_support import SECOND, make_configuration, make_endpoint
from .support import make_state

NAMES = tuple(ascii_lowercase[:12])
LEASE = timedelta(seconds=3.5)
REGISTRY = WatchedKind.REGISTRY
HELD = {"epoch": 1, "holder": "a"}


def network_with_relays(names: tuple[str, ...] = NAMES) -> KindNetwork:
    """Return a network whose instances have subscribed to their relays."""
    network = make_network(names)
    network.run(4 * SECOND)
    network.calls.clear()
    return network


def relays(network: KindNetwork) -> set[str]:
    """Return the names of the instances that subscribe to no relay."""
    nodes = network.nodes.items()
    return {name for name, node in nodes if not node.state.view.relay}


def copy_ages(network: KindNetwork, names: set[str]) -> list[timedelta]:
    return [view.copy_age(network.nodes[name].state) for name in sorted(names)]


def partition_from_store(network: KindNetwork, names: set[str]) -> None:
    """Interrupt the connections between instances and the store."""
    network.partitions |= {frozenset((name, "store")) for name in names}


def test_only_relays_check_an_unchanged_store() -> None:
    """Guards against a number of calls to the store that grows with the fleet."""
    network = network_with_relays()
    network.run(10 * SECOND)
    asked = {name for call, name in network.calls if call is CheckKind}
    assert asked == relays(network)
    assert len(asked) == 2 * view.RELAYS_PER_DATA_CENTRE
    assert max(copy_ages(network, set(NAMES))) < 2 * SECOND


def test_starting_fleet_watches_little() -> None:
    """Guards against a watch of each kind by instances that a relay serves at once."""
    names = tuple(ascii_lowercase[:24])
    network = make_network(names)
    network.run(4 * SECOND)
    assert network.count(WatchKind) < len(names)


def test_own_object_reaches_subscribers_without_calls() -> None:
    """Guards against a call by every instance for each change of an allocator."""
    network = network_with_relays()
    network.put("allocator", "w9", {"epoch": 1, "holder": "a"})
    network.run(SECOND)
    for node in network.nodes.values():
        assert ("allocator", "w9") in node.state.view.objects
    network.put("allocator", "w9", None)
    network.run(SECOND)
    for node in network.nodes.values():
        assert node.state.view.objects["allocator", "w9"].value is None
    # Each instance has one watch from before it subscribed to its relay.
    assert network.count(WatchKind) <= len(NAMES) + 2 * len(relays(network))


def registered_endpoints(network: KindNetwork, name: str) -> set[str]:
    """Return the databases that are registered according to an instance."""
    registry = network.nodes[name].state.registry.values()
    return {row.name for row in registry if row.missing_since is None}


def test_registry_reaches_subscribers_without_calls() -> None:
    """Guards against a call by every instance for each change of a database."""
    network = network_with_relays()
    for number in range(5):
        network.change(REGISTRY, f"e{number}", make_endpoint())
        network.run(SECOND)
    network.change(REGISTRY, "e0", Gone())
    network.run(2 * SECOND)
    for name in NAMES:
        assert registered_endpoints(network, name) == {"e1", "e2", "e3", "e4"}
    # Each instance has one watch from before it subscribed to its relay.
    asked = relays(network)
    rest = {
        name: count
        for (call, name), count in network.calls.items()
        if call is WatchKind
    }
    assert all(count <= 3 for name, count in rest.items() if name not in asked)


def test_subscribers_watch_the_registry_if_relays_lose_the_store() -> None:
    """Guards against subscribers that use the stale registry of a cut-off relay."""
    network = network_with_relays()
    network.change(REGISTRY, "e1", make_endpoint())
    network.run(SECOND)
    lost = relays(network)
    partition_from_store(network, lost)
    network.run(2 * SECOND)
    network.change(REGISTRY, "e2", make_endpoint())
    network.change(REGISTRY, "e1", Gone())
    network.run(2 * SECOND)
    for name in set(NAMES) - lost:
        assert registered_endpoints(network, name) == {"e2"}


def check_copies(network: KindNetwork) -> None:
    """Check that each copy has every change made before it was last confirmed."""
    for name, node in network.nodes.items():
        if node.paused:
            continue
        confirmed_at = node.state.view.confirmed_at
        for (kind, key), changed_at in network.changed_at.items():
            if kind is not REGISTRY and changed_at < confirmed_at:
                assert has_newest(node.state, network, kind, key), (name, key)


def has_newest(state: State, network: KindNetwork, kind: WatchedKind, key: str) -> bool:
    """Return whether an instance has the newest content of an object."""
    entry = next(item for item in network.changes(kind, 0) if item.name == key)
    known = state.kinds[kind].known.get(key)
    if isinstance(entry.content, Gone):
        return known is None
    return known is not None and known.revision >= entry.revision


@pytest.mark.parametrize("seed", [*range(6), 111, 131])
def test_copies_are_as_new_as_they_seem(seed: int) -> None:
    """Guards against confirming a copy that lacks earlier changes."""
    network = network_with_relays()
    random = network.random
    random.seed(seed)
    actions = (
        lambda: network.put(
            "allocator", f"x{random.randrange(4)}", {"epoch": 1, "holder": "a"}
        ),
        lambda: network.put("allocator", f"x{random.randrange(4)}", None),
        lambda: network.configure(make_configuration(version=network.version)),
        lambda: network.change(REGISTRY, f"e{random.randrange(4)}", make_endpoint()),
        lambda: network.change(REGISTRY, f"e{random.randrange(4)}", Gone()),
        lambda: network.restart(random.choice(NAMES)),
        lambda: partition_from_store(network, set(random.sample(NAMES, 3))),
        lambda: network.partitions.add(frozenset(random.sample(NAMES, 2))),
        network.partitions.clear,
        lambda: setattr(network.nodes[random.choice(NAMES)], "paused", True),
        lambda: [network.resume(name) for name in NAMES],
    )
    for _ in range(40):
        random.choice(actions)()
        for _ in range(random.randrange(1, 8)):
            network.run(2 * network.core.TICK)
            check_copies(network)
    network.partitions.clear()
    for name in NAMES:
        network.resume(name)
    network.run(6 * SECOND)
    check_copies(network)
    assert max(copy_ages(network, set(NAMES))) < 2 * SECOND
    current = network.contents.get(REGISTRY, {}).items()
    live = {name for name, entry in current if not isinstance(entry.content, Gone)}
    for name in NAMES:
        known = network.nodes[name].state.kinds[REGISTRY].known
        assert set(known) == live


@pytest.mark.parametrize("is_killed", [False, True])
def test_subscribers_stay_current_after_losing_their_relays(is_killed: bool) -> None:
    """Guards against subscribers whose copies become stale with their relay."""
    network = network_with_relays()
    lost = relays(network)
    if is_killed:
        for name in lost:
            network.kill(name)
    else:
        partition_from_store(network, lost)
    rest = set(NAMES) - lost
    for _ in range(40):
        network.run(SECOND / 4)
        assert max(copy_ages(network, rest)) < LEASE


def test_relay_does_not_confirm_a_configuration_that_subscribers_lack() -> None:
    """Guards against accepting a withdrawn key.

    A subscriber without the store gets no new configuration from its relay, which must
    therefore not confirm the old one.
    """
    network = network_with_relays()
    subscribers = set(NAMES) - relays(network)
    partition_from_store(network, subscribers)
    network.configure(make_configuration(version=2, keys=("key-9",)))
    network.run(2 * LEASE)
    assert min(copy_ages(network, subscribers)) > LEASE
    network.partitions.clear()
    network.run(4 * SECOND)
    for name in subscribers:
        assert network.nodes[name].state.configuration.version == 2
    assert max(copy_ages(network, subscribers)) < 2 * SECOND


def test_relays_confirm_subscribers_cut_off_from_the_store() -> None:
    """Guards against refusals while only some instances have lost the store."""
    network = network_with_relays()
    subscribers = set(NAMES) - relays(network)
    partition_from_store(network, subscribers)
    network.run(2 * LEASE)
    assert max(copy_ages(network, subscribers)) < 2 * SECOND


def test_resumed_relay_does_not_confirm_old_subscriptions() -> None:
    """Guards against a relay that confirms copies right after a pause.

    It answers subscriptions that arrived during the pause with what it knew before.
    """
    network = network_with_relays()
    asked = relays(network)
    for name in asked:
        network.nodes[name].paused = True
    partition_from_store(network, set(NAMES))
    network.run(2 * LEASE)
    network.configure(make_configuration(version=2))
    for name in asked:
        network.resume(name)
    network.run(SECOND)
    assert min(copy_ages(network, set(NAMES))) > LEASE


@pytest.mark.parametrize("lost", [0, 1])
def test_lost_part_of_an_update(lost: int) -> None:
    """Guards against a copy that is called complete although a part of it was lost."""
    relay, follower = make_state("a"), make_state("b")
    for state in (relay, follower):
        for name in ("a", "b"):
            value = {"address": "127.0.0.1:1", "region": "r", "data_centre": "r"}
            view.apply([StoreObject("instance", name, 1, value)], state)
    pieces = [StoreObject("piece", f"p{n}", 5 + n, {}) for n in range(2)]
    view.apply(
        [
            *pieces,
            StoreObject("manifest", "current", 9, {"publication": "1", "pieces": []}),
        ],
        relay,
    )
    relay.view.version = 9
    relay.outbox.clear()
    dispatch.handle_peer(Subscribe(1, 3), "b", relay)
    parts = [item.message for item in relay.outbox if isinstance(item, SendPeer)]
    assert len(parts) == 3
    follower.view.version = 1
    for index, part in enumerate(parts):
        if index != lost:
            dispatch.handle_peer(part, "a", follower)
    assert follower.view.version == 1
    for part in parts:
        dispatch.handle_peer(part, "a", follower)
    assert follower.view.version == 9


def test_deletion_unknown_to_a_restarted_relay() -> None:
    """Guards against deleted objects that stay in the copy of a subscriber.

    A relay that starts after the deletion cannot report it.
    """
    network = network_with_relays()
    name = min(set(NAMES) - relays(network))
    node = network.nodes[name]
    network.put("allocator", "w9", {"epoch": 1, "holder": "a"})
    network.run(SECOND)
    partition_from_store(network, {name})
    node.paused = True
    network.put("allocator", "w9", None)
    for relay in relays(network):
        network.restart(relay)
    network.run(4 * SECOND)
    network.resume(name)
    network.run(2 * SECOND)
    assert view.copy_age(node.state) > LEASE
    network.partitions.clear()
    network.run(2 * SECOND)
    assert node.state.view.objects["allocator", "w9"].value is None
    assert view.copy_age(node.state) < 2 * SECOND
