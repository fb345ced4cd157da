"""Instances of a store that comes back from an older copy of its objects."""

from collections import Counter
from datetime import timedelta
from string import ascii_lowercase
from typing import Any
from unittest.mock import patch

import pytest

from pimentodrift import view
from pimentodrift.kind_messages import WatchedKind
from pimentodrift.messages import SendPeer, StoreObject, StoreWritten
from pimentodrift.peer_messages import ViewUpdate
from pimentodrift.store_versions import (
    era_of,
    next_token,
    pack_version,
    revision_of,
)
from pimentodrift.store_writes import StoreOutcome, write_ended, write_object
from pimentodrift.tables import State

from .kind_network import KindNetwork, make_network
from .session_support import (
    KEY,
    SECOND,
    make_configuration,
    make_endpoint,
    make_harness,
)
from .support import make_state

NAMES = tuple(ascii_lowercase[:12])
MILLISECOND = timedelta(milliseconds=1)


def running_network() -> KindNetwork:
    network = make_network(NAMES)
    network.run(5 * SECOND)
    return network


def values(network: KindNetwork, kind: str, name: str) -> list[Any]:
    """Return what each instance knows of an object."""
    states = [node.state for node in network.nodes.values()]
    items = [state.view.objects.get((kind, name)) for state in states]
    return [item.value if item is not None else None for item in items]


def test_versions_are_ordered_by_era_first() -> None:
    """Guards against taking a revision of an earlier era for a later change."""
    before, after = pack_version(3, 900), pack_version(4, 7)
    assert before < after
    assert (era_of(after), revision_of(after)) == (4, 7)


def test_token_of_an_era_is_above_forgotten_ones() -> None:
    """Guards against a token that was given out before the store forgot it."""
    forgotten = next_token(3, 2, 8)
    assert next_token(4, 2) > forgotten > 8
    assert next_token(4, next_token(4)) == next_token(4) + 1


@pytest.mark.parametrize("changes", [0, 3, 40])
def test_copies_follow_the_restored_store(changes: int) -> None:
    """Guards against copies that keep what the store has lost.

    After enough changes, the store has the revisions again from which instances watch.
    """
    network = running_network()
    network.put("allocator", "old", {"epoch": 1, "holder": "x"})
    copy = network.copy_store()
    network.put("allocator", "old", {"epoch": 2, "holder": "y"})
    network.put("allocator", "lost", {"epoch": 1, "holder": "x"})
    network.run(SECOND)
    assert all(values(network, "allocator", "lost"))
    network.restore_store(copy)
    for number in range(changes):
        network.put("note", f"n{number}", {"text": ""})
    network.run(3 * SECOND)
    assert values(network, "allocator", "lost") == [None] * len(NAMES)
    first = {"epoch": 1, "holder": "x"}
    assert values(network, "allocator", "old") == [first] * len(NAMES)
    network.put("allocator", "new", {"epoch": 3, "holder": "z"})
    network.run(SECOND)
    assert all(values(network, "allocator", "new"))
    ages = [view.copy_age(node.state) for node in network.nodes.values()]
    assert max(ages) < 2 * SECOND


def test_each_kind_is_listed_once_and_by_relays_first() -> None:
    """Guards against a burst of calls to a store that has just been restored."""
    network = running_network()
    copy = network.copy_store()
    network.put("note", "n", {"text": ""})
    network.run(SECOND)
    network.list_times.clear()
    network.restore_store(copy)
    network.run(3 * SECOND)
    counts = Counter(name for _, name in network.list_times)
    assert set(counts) == set(NAMES)
    assert max(counts.values()) <= len(WatchedKind)
    relays = {name for name in NAMES if not network.nodes[name].state.view.relay}
    first = [name for _, name in network.list_times[: len(WatchedKind)]]
    assert set(first) <= relays


def test_relays_send_few_updates_while_they_list() -> None:
    """Guards against an update of all subscribers for each object that is listed."""
    network = running_network()
    for number in range(60):
        network.put("note", f"n{number}", {"text": ""})
    network.run(SECOND)
    sent: Counter[str] = Counter()
    original = KindNetwork.send

    def send(self: KindNetwork, sender: str, message: SendPeer) -> None:
        sent[message.instance] += isinstance(message.message, ViewUpdate)
        original(self, sender, message)

    with patch.object(KindNetwork, "send", send):
        network.restore_store(network.copy_store())
        network.run(2 * SECOND)
    # One for each subscription, and one for each change of the copy at its relay.
    assert max(sent.values()) <= 12


def test_lost_registrations_are_written_again() -> None:
    """Guards against an instance that runs but is not listed any more."""
    network = make_network(NAMES)
    copy = network.copy_store()
    for name in NAMES[:3]:
        del copy.objects["instance", name]
    network.run(5 * SECOND)
    network.restore_store(copy)
    network.run(4 * SECOND)
    listed = {name for kind, name in network.objects if kind == "instance"}
    assert listed == set(NAMES)


def test_removed_instance_that_is_listed_again() -> None:
    """Guards against a lost deletion that is never made again."""
    network = running_network()
    copy = network.copy_store()
    network.kill("c")
    network.run(12 * SECOND)
    assert network.objects["instance", "c"].value is None
    network.restore_store(copy)
    network.run(12 * SECOND)
    assert network.objects["instance", "c"].value is None


def test_configuration_is_not_undone() -> None:
    """Guards against a withdrawn key that works again after a restore."""
    network = running_network()
    copy = network.copy_store()
    network.configure(make_configuration(version=2, keys=("another",)))
    network.run(SECOND)
    network.restore_store(copy)
    network.run(3 * SECOND)
    for node in network.nodes.values():
        assert node.state.configuration.version == 2
    network.configure(make_configuration(version=3, keys=(KEY,)))
    network.run(SECOND)
    for node in network.nodes.values():
        assert node.state.configuration.version == 3


def allocators(network: KindNetwork) -> dict[str, list[tuple[int, str]]]:
    """Return the epochs of the ledgers that instances keep, by workspace."""
    result: dict[str, list[tuple[int, str]]] = {}
    for name, node in network.nodes.items():
        for workspace, row in node.state.allocations.items():
            result.setdefault(workspace, []).append((row.epoch.number, name))
    return result


def test_allocators_whose_claims_were_lost() -> None:
    """Guards against two ledgers of a workspace, or an epoch that was used before."""
    network = make_network(NAMES)
    copy = network.copy_store()
    network.run(5 * SECOND)
    before = allocators(network)
    assert {len(rows) for rows in before.values()} == {1}
    network.restore_store(copy)
    for name in NAMES:
        network.put(
            "instance",
            name,
            network.nodes[name].state.view.objects["instance", name].value,
        )
    network.run(8 * SECOND)
    after = allocators(network)
    assert after.keys() == before.keys()
    for workspace, rows in after.items():
        assert len(rows) == 1
        assert rows[0][0] > before[workspace][0][0]


def test_successor_of_a_lost_claim_starts_with_locked_shares() -> None:
    """Guards against a rate given out twice: the old allocator may still be active."""
    network = make_network(NAMES)
    copy = network.copy_store()
    network.run(5 * SECOND)
    network.restore_store(copy)
    workspace = "w1"
    for _ in range(200):
        network.run(20 * MILLISECOND)
        rows = [
            row
            for node in network.nodes.values()
            for row in node.state.allocations.values()
            if row.workspace == workspace and era_of_epoch(row.epoch.number)
        ]
        if rows:
            assert rows[0].locked_rate > 0
            return
    raise AssertionError("no instance claimed the workspace again")


def era_of_epoch(number: int) -> int:
    """Return the era in which an epoch was taken."""
    era = 0
    while next_token(era + 1) <= number:
        era += 1
    return era


OUTCOMES: list[StoreOutcome] = []


class Purpose:
    """The purpose of the updates of these tests."""


@write_ended.register
def _(purpose: Purpose, outcome: StoreOutcome, state: State) -> None:
    OUTCOMES.append(outcome)


def test_update_acknowledged_before_the_restore_is_unclear() -> None:
    """Guards against building on an update that the restored store may have lost."""
    harness = make_harness()
    state = harness.state
    OUTCOMES.clear()
    harness.store_is_up = False
    write_object(StoreObject("note", "n", 0, None), {}, Purpose(), state)
    call = max(state.store_writes)
    harness.process_outbox()
    harness.revision = pack_version(1, 50)
    harness.store_is_up = True
    harness.run(2 * SECOND)
    assert state.view.era == 1
    harness.deliver(StoreWritten(call, StoreObject("note", "n", 140, {})))
    assert OUTCOMES == [StoreOutcome.UNCLEAR]


def test_condition_of_an_earlier_era_is_not_sent() -> None:
    """Guards against overwriting a change that has the expected revision by chance."""
    state = make_state()
    OUTCOMES.clear()
    state.view.era = 2
    write_object(StoreObject("note", "n", pack_version(1, 9), {}), {}, Purpose(), state)
    assert OUTCOMES == [StoreOutcome.UNCLEAR]
    assert not state.outbox


def test_databases_stay_in_use_until_they_register_again() -> None:
    """Guards against closing all connections because the store lost the entries."""
    network = running_network()
    copy = network.copy_store()
    network.change(WatchedKind.REGISTRY, "e1", make_endpoint())
    network.run(SECOND)
    network.restore_store(copy)
    network.run(1500 * MILLISECOND)
    for node in network.nodes.values():
        assert "e1" in node.state.registry
    network.change(WatchedKind.REGISTRY, "e1", make_endpoint())
    network.run(4 * SECOND)
    for node in network.nodes.values():
        assert "e1" in node.state.registry
