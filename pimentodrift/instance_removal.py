"""Removes instances that are lost for good from the list in the store.

Nothing in the store expires, and a lost instance cannot remove its own object. While it
is listed, it counts for majorities, and a new allocator waits for the shares that it
may still hold. An instance that was only cut off lists itself again.

In a large fleet, no instance exchanges heartbeats with all others. So the fleet is
divided into subsets of a bounded size; each member pings the leader of its subset,
which therefore notices the loss of any member.
"""

from datetime import timedelta

from attrs import frozen

from . import heartbeats, membership, view
from .log_events import InstanceRemoved
from .peer_messages import Ping
from .rendezvous import subset_of
from .store_writes import StoreOutcome, delete_object, write_ended
from .tables import InstanceRow, State

RUN_INTERVAL = timedelta(seconds=1)
MAX_HEARTBEAT_AGE = timedelta(seconds=2)
# Longer than the leases of rate shares and than most network partitions.
REMOVE_AFTER = timedelta(seconds=6)


@frozen
class Removal:
    """The purpose of a store deletion of another instance's object."""

    instance: str


def run(state: State) -> None:
    """Ping the leader of this instance's subset, or as leader remove lost members."""
    now = state.clock.monotonic()
    if now < state.removal_at:
        return
    state.removal_at = now + RUN_INTERVAL
    subset = subset_of(state.settings.name, state)
    leader = subset_leader(subset, state)
    if leader is None:
        return
    is_leader = leader.name == state.settings.name
    if is_leader or len(state.instances) <= view.SMALL_FLEET:
        update_silent_since(subset, state)
    else:
        state.silent_since.clear()
    if not is_leader:
        ping_leader(leader, state)
    elif may_remove(subset, state):
        remove_lost(state)


def subset_leader(subset: list[InstanceRow], state: State) -> InstanceRow | None:
    """Return the leader of a subset, its first usable member."""
    rows = [row for row in subset if membership.is_instance_usable(row, state)]
    ranked = membership.ranked("removal", rows)
    return ranked[0] if ranked else None


def ping_leader(leader: InstanceRow, state: State) -> None:
    """Ping the leader; make it a contact if it is silent, to detect its loss."""
    if state.clock.monotonic() - leader.last_heard > MAX_HEARTBEAT_AGE:
        membership.track_contact(leader.name, state)
    else:
        heartbeats.send_heartbeat(leader, Ping(state.new_number()), state)


def update_silent_since(subset: list[InstanceRow], state: State) -> None:
    """Record since when each member has been silent."""
    now = state.clock.monotonic()
    for row in subset:
        if row.name == state.settings.name or now - row.last_heard <= MAX_HEARTBEAT_AGE:
            state.silent_since.pop(row.name, None)
        else:
            state.silent_since.setdefault(row.name, now)


def may_remove(subset: list[InstanceRow], state: State) -> bool:
    """Return whether silent members are lost, rather than this instance cut off."""
    now = state.clock.monotonic()
    was_paused = now - state.resumed_at <= REMOVE_AFTER
    if state.stopping or was_paused or not view.is_copy_fresh(state):
        return False
    silent = sum(row.name in state.silent_since for row in subset)
    return silent * 2 < len(subset)


def remove_lost(state: State) -> None:
    """Delete the objects of members that have been silent for `REMOVE_AFTER`."""
    now = state.clock.monotonic()
    for name, since in list(state.silent_since.items()):
        if now - since > REMOVE_AFTER and remove(name, state):
            state.silent_since[name] = now


def remove_refusing(state: State) -> None:
    """Delete the objects of silent instances that refuse connections.

    For work that can't go on while they are listed. One that was only cut off stops
    using primaries once it knows, and lists itself again.
    """
    now = state.clock.monotonic()
    if not view.reaches_half(state) or now < state.refusing_removal_at:
        return
    # An instance that does not answer is pinged each second. After a pause of this
    # process, nobody has been heard, and an older refusal tells nothing.
    since = now - MAX_HEARTBEAT_AGE
    for row in list(state.instances.values()):
        is_silent = row.last_heard < since
        if is_silent and membership.has_refused_since(row.name, since, state):
            state.refusing_removal_at = now + REMOVE_AFTER
            remove(row.name, state)


def remove(name: str, state: State) -> bool:
    """Delete an instance's object; return whether there is one."""
    item = state.view.objects.get(("instance", name))
    if item is None or item.value is None:
        return False
    delete_object(item, Removal(name), state)
    return True


@write_ended.register
def _(purpose: Removal, outcome: StoreOutcome, state: State) -> None:
    state.log_event(InstanceRemoved(purpose.instance, outcome))
