"""A failed primary is replaced only by a database with every acknowledged commit.

A replica that can't be asked may be the only one that has received a commit.
"""

import pytest

from pimentodrift.evacuation.messages import Evacuation
from pimentodrift.kind_messages import Gone, WatchedKind

from .session_support import GROUP, MILLISECOND, SECOND
from .test_leaving_primary import (
    NAMES,
    LeavingNetwork,
    check_writes,
    crash,
    make_group,
)


def recover(network: LeavingNetwork, name: str) -> None:
    """Start a database again with the log that it had."""
    network.members[name].is_up = True
    network.register(name)


def check_recovery(network: LeavingNetwork) -> None:
    """Check that nothing was lost and that writes go on."""
    assert not network.dropped and not network.wrong
    assert not network.stopped
    check_writes(network)


def test_evacuated_replica_with_the_only_copy() -> None:
    """Guards against commits that only a replica in an evacuated data centre has."""
    network = make_group(evacuation_bound=5 * SECOND)
    network.change(WatchedKind.EVACUATIONS, "z3", Evacuation())
    network.play(6 * SECOND)
    network.transit["e2"] = 60 * SECOND
    network.play(SECOND)
    crash(network, "e1")
    network.play(10 * SECOND)
    assert network.leader == "e1" and not network.dropped
    recover(network, "e1")
    network.transit.clear()
    network.play(3 * SECOND)
    assert network.leader == "e1"
    check_recovery(network)


def leave_registry(network: LeavingNetwork, name: str) -> None:
    """End a database, whose entry is gone with it."""
    crash(network, name)
    network.change(WatchedKind.REGISTRY, name, Gone())


@pytest.mark.parametrize("returns", ["e1", "e3"])
def test_lost_replica_with_the_only_copy(returns: str) -> None:
    """Guards against commits that only a replica had which is gone with the primary."""
    network = make_group()
    network.transit["e2"] = 60 * SECOND
    network.play(SECOND)
    leave_registry(network, "e3")
    crash(network, "e1")
    network.play(12 * SECOND)
    assert network.leader == "e1" and not network.dropped
    recover(network, returns)
    network.play(2 * SECOND)
    network.transit.clear()
    network.play(2 * SECOND)
    assert network.leader == returns
    check_recovery(network)


def test_restarted_replica_with_the_only_copy() -> None:
    """Guards against trust in the log of a replica that has started without one."""
    network = make_group()
    network.transit["e2"] = 60 * SECOND
    network.play(SECOND)
    crash(network, "e1")
    network.restart_empty("e3")
    network.play(6 * SECOND)
    assert network.leader == "e1" and not network.dropped
    recover(network, "e1")
    network.transit.clear()
    network.play(3 * SECOND)
    check_recovery(network)


@pytest.mark.parametrize("is_restarted", [True, False])
def test_replica_that_was_lost_before(is_restarted: bool) -> None:
    """Guards against a group that waits for a replica whose commits others have."""
    network = make_group()
    if is_restarted:
        network.restart_empty("e3")
    else:
        leave_registry(network, "e3")
    network.play(5 * SECOND)
    crash(network, "e1")
    network.play(4 * SECOND)
    assert network.leader != "e1"
    check_recovery(network)


def test_coordinator_that_did_not_know_the_lost_replica() -> None:
    """Guards against a choice by an instance that started after a replica had left."""
    network = make_group()
    network.transit["e2"] = 60 * SECOND
    network.play(SECOND)
    leave_registry(network, "e3")
    crash(network, "e1")
    network.play(6 * SECOND)
    for name in NAMES[:1]:
        network.restart(name)
    network.play(6 * SECOND)
    assert network.leader == "e1" and not network.dropped


def test_replica_that_still_calls_itself_the_primary() -> None:
    """Guards against commits that only a deposed primary has received.

    Its entry in the registry is old: it does not reach the store.
    """
    network = make_group()
    network.mute.add("e1")
    network.transit["e2"] = 5 * SECOND
    network.partitions.update(frozenset((name, "e1")) for name in NAMES)
    network.play(3 * SECOND)
    network.partitions.clear()
    network.play(2 * SECOND)
    assert network.leader == "e3"
    crash(network, "e3")
    network.play(6 * SECOND)
    assert not network.dropped and not network.wrong


@pytest.mark.parametrize("seed", range(1, 9))
def test_replicas_that_go_on_receiving(seed: int) -> None:
    """Guards against a choice by positions that are old when it takes effect.

    Such a replica has refused to stop, and the primary still serves an instance.
    """
    network = make_group(seed=seed)
    network.knows_commands = False
    network.jitter = 100 * MILLISECOND
    for name in ("a", "b"):
        network.partitions.add(frozenset((name, "e1")))
    network.play(5 * SECOND)
    assert not network.dropped and not network.wrong
    network.knows_commands = True
    network.play(4 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong


@pytest.mark.parametrize("seed", [1, 4, 8, 12])
def test_instance_that_is_not_listed(seed: int) -> None:
    """Guards against commits at a primary that the listed instances have left.

    The coordinator does not know an instance whose entry in the list is missing.
    """
    network = make_group(seed=seed)
    network.jitter = 700 * MILLISECOND
    network.unlisted.add("c")
    network.put("instance", "c", None)
    network.play(SECOND)
    network.leave("e1")
    network.play(4 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong
    network.unlisted.clear()
    network.play(3 * SECOND)
    check_recovery(network)


@pytest.mark.parametrize("seed", [65, 85, 98, 106, 127, 148])
def test_two_coordinators(seed: int) -> None:
    """Guards against a replica that receives again while another instance chooses.

    The first coordinator is cut off from the others and reaches the primary again.
    """
    network = make_group(seed=seed)
    network.jitter = 100 * MILLISECOND
    for name in NAMES:
        network.partitions.update(frozenset((name, other)) for other in ("e1", "e3"))
    network.play(2 * SECOND)
    first = next(
        name
        for name, node in network.nodes.items()
        if node.state.promotions[GROUP].stopped
    )
    others = [name for name in NAMES if name != first]
    network.partitions.update(frozenset((first, name)) for name in others)
    network.partitions.discard(frozenset((first, "e1")))
    network.play(network.random.uniform(1, 3.5) * SECOND)
    network.partitions.difference_update(frozenset((name, "e3")) for name in NAMES)
    network.play(4 * SECOND)
    assert not network.dropped and not network.wrong
    network.partitions.clear()
    network.play(8 * SECOND)
    check_recovery(network)


@pytest.mark.parametrize("seed", [23, 60, 78, 85, 94])
def test_stop_in_a_term_that_is_not_new(seed: int) -> None:
    """Guards against a replica that goes on receiving since it knows a newer term.

    The coordinator has lost the primary of that term before it had its positions.
    """
    network = make_group(seed=seed)
    network.lag = 3 * SECOND
    network.jitter = 100 * MILLISECOND
    crash(network, "e1")
    while network.leader == "e1":
        network.play(40 * MILLISECOND)
    leader, coordinator = network.leader, network.tokens[-1][1]
    recover(network, "e1")
    others = [name for name in NAMES if name != coordinator]
    network.partitions.update(
        frozenset((name, leader)) for name in (coordinator, others[-1])
    )
    network.play(4 * SECOND)
    assert network.leader != leader
    assert not network.dropped and not network.wrong


@pytest.mark.parametrize("is_delivered", [True, False])
def test_replica_that_runs_without_an_entry(is_delivered: bool) -> None:
    """Guards against commits that only a replica has which does not reach the store.

    Its entry is gone, but it goes on receiving commits.
    """
    network = make_group()
    network.mute.add("e3")
    network.change(WatchedKind.REGISTRY, "e3", Gone())
    network.play(5 * SECOND)
    if not is_delivered:
        network.transit["e2"] = 60 * SECOND
    network.play(SECOND)
    crash(network, "e1")
    network.play(6 * SECOND)
    assert network.leader == ("e2" if is_delivered else "e1")
    assert not network.dropped and not network.wrong
    network.mute.clear()
    network.register("e3")
    network.play(4 * SECOND)
    network.transit.clear()
    network.play(SECOND)
    check_recovery(network)
