"""Compares owners and watchers in the index with the order that hashing defines."""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest

from pimentodrift import instance_removal, membership, rendezvous
from pimentodrift.dispatch import handle_peer
from pimentodrift.messages import DeleteStore, StoreObject
from pimentodrift.peer_messages import Ping, Pong
from pimentodrift.tables import Presence, State

from .support import ManualClock, make_state

NAMES = [f"i{number}" for number in range(12)]
REGIONS = ["r1", "r2", "r3"]
GROUPS = ["g1", "g2"]


def list_instance(state: State, random: Random) -> None:
    name, region = random.choice(NAMES), random.choice(REGIONS)
    value = {
        "address": "127.0.0.1:1",
        "region": region,
        "data_centre": f"{region}-1",
        "state": random.choice(["live", "live", "leaving"]),
    }
    membership.apply(StoreObject("instance", name, 1, value), state)


def drop_instance(state: State, random: Random) -> None:
    name = random.choice(NAMES)
    membership.apply(StoreObject("instance", name, 1, None), state)


def suspect(state: State, random: Random) -> None:
    membership.suspect(random.choice(NAMES), state)


def answer(state: State, random: Random) -> None:
    handle_peer(Pong(state.new_number(), 0), random.choice(NAMES), state)


def leave(state: State, random: Random) -> None:
    row = state.instances.get(random.choice(NAMES))
    if row is not None:
        row.presence = Presence.LEAVING


def wait(state: State, random: Random) -> None:
    assert isinstance(state.clock, ManualClock)
    state.clock.advance(timedelta(milliseconds=random.choice([20, 500, 2100])))


def change_endpoint(state: State, random: Random) -> None:
    value = {
        "group": random.choice(GROUPS),
        "region": random.choice(REGIONS),
        "address": "127.0.0.1:2",
        "slots": 1,
        "connections": 2,
    }
    name = f"e{random.randrange(6)}"
    membership.apply(StoreObject("endpoint", name, 1, value), state)


def reserve(state: State, random: Random) -> None:
    for group in state.groups.values():
        group.reservations = {random.choice(NAMES): 2}


STEPS: list[Callable[[State, Random], None]] = [
    list_instance,
    drop_instance,
    suspect,
    answer,
    leave,
    wait,
    change_endpoint,
    reserve,
]


def expected_watchers(group: str, state: State) -> list[str]:
    rows = [
        row
        for row in state.instances.values()
        if membership.is_instance_usable(row, state)
    ]
    order = [row.name for row in membership.ranked(group, rows)]
    members = [row for row in state.endpoints.values() if row.group == group]
    names = {
        row.name for e in members for row in membership.owner_candidates(e, state)[:1]
    }
    names |= set(state.groups[group].reservations)
    chosen = [name for name in order if name in names]
    others = [name for name in order if name not in names]
    return chosen + others[: max(0, membership.MIN_WATCHERS - len(chosen))]


@pytest.mark.parametrize("seed", range(20))
def test_index_agrees_with_the_tables(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an outdated owner or watcher after an instance has changed."""
    monkeypatch.setattr(rendezvous, "MAX_ADDED", 1 + seed)
    state, random = make_state("i0"), Random(seed)
    for _ in range(300):
        random.choice(STEPS)(state, random)
        for row in state.endpoints.values():
            expected = [
                found.name for found in membership.owner_candidates(row, state)
            ][:1]
            found = membership.owner(row, state)
            assert ([found] if found else []) == expected
        for group in state.groups:
            assert membership.watchers(group, state) == expected_watchers(group, state)
            names = [e.name for e in membership.group_endpoints(group, state)]
            rows = state.endpoints.values()
            assert names == sorted(row.name for row in rows if row.group == group)


@pytest.mark.parametrize(("removal", "counts"), [(0, True), (4, True), (5, False)])
def test_ping_of_a_removed_instance(removal: int, counts: bool) -> None:
    """Guards against a removed instance that counts as out of use on an older ping.

    It was removed at version 5, and before that at version 4.
    """
    state = make_state()
    value = {"address": "127.0.0.1:1", "region": "r1", "data_centre": "r1-1"}
    for version, content in ((3, value), (4, None), (4, value), (5, None)):
        item = StoreObject("instance", "i1", version, content)
        state.view.objects["instance", "i1"] = item
        membership.apply(item, state)
    handle_peer(Ping(1, removal), "i1", state)
    assert membership.recently_removed(state) == {"i1"}
    assert isinstance(state.clock, ManualClock)
    state.clock.advance(timedelta(seconds=1))
    assert (membership.recently_removed(state) == {"i1"}) is counts


@pytest.mark.parametrize(("refused", "is_removed"), [(1, False), (9, True)])
def test_removal_of_a_refusing_instance(refused: int, is_removed: bool) -> None:
    """Guards against the removal of an instance for a refusal of long ago.

    After a pause of this process, none has been heard yet.
    """
    state = make_state()
    assert isinstance(state.clock, ManualClock)
    value = {"address": "127.0.0.1:1", "region": "r1", "data_centre": "r1-1"}
    for version, name in enumerate(("i1", state.settings.name), 1):
        item = StoreObject("instance", name, version, value)
        state.view.objects["instance", name] = item
        membership.apply(item, state)
    state.ended["i1"] = state.clock.monotonic() + timedelta(seconds=refused)
    state.clock.advance(timedelta(seconds=10))
    instance_removal.remove_refusing(state)
    removed = [item.name for item in state.outbox if isinstance(item, DeleteStore)]
    assert removed == (["i1"] if is_removed else [])
