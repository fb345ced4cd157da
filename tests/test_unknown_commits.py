"""A failed primary is replaced only by a database with every acknowledged commit.

A replica that can't be asked may be the only one that has received a commit.
"""

from pimentodrift.evacuation.messages import Evacuation
from pimentodrift.kind_messages import WatchedKind

from .session_support import SECOND
from .test_leaving_primary import (
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
