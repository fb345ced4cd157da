"""Removes instances that are lost for good from the list in the store.

Nothing in the store expires, and a lost instance cannot remove its own object. While it
is listed, it counts for majorities, and a new allocator waits for what it may still
hold. An instance that was only cut off lists itself again.

In a large fleet, no instance hears all others. It is divided into circles of a bounded
size; each member pings the one in charge of its circle, which therefore hears them all.
"""

from datetime import timedelta

from attrs import frozen

from . import heartbeats, membership, view
from .log_events import InstanceRemoved
from .peer_messages import Ping
from .rendezvous import circle_of
from .store_writes import StoreOutcome, delete, write_ended
from .tables import InstanceRow, State

INTERVAL = timedelta(seconds=1)
HEARD = timedelta(seconds=2)
# Longer than the leases of rate shares, and than most cuts last.
GONE_AFTER = timedelta(seconds=6)


@frozen
class Removal:
    """The purpose of the deletion of another instance's object."""

    instance: str


def run(state: State) -> None:
    """Keep in touch with the circle and remove its lost members, if in charge."""
    now = state.clock.monotonic()
    if now < state.removal_at:
        return
    state.removal_at = now + INTERVAL
    circle = circle_of(state.settings.name, state)
    first = first_of(circle, state)
    if first is None:
        return
    is_first = first.name == state.settings.name
    if is_first or len(state.instances) <= view.SMALL_FLEET:
        note_silence(circle, state)
    else:
        state.silent_since.clear()
    if not is_first:
        report_to(first, state)
    elif may_remove(circle, state):
        remove_gone(state)


def first_of(circle: list[InstanceRow], state: State) -> InstanceRow | None:
    """Return the member in charge."""
    rows = [row for row in circle if membership.is_instance_usable(row, state)]
    ranked = membership.ranked("removal", rows)
    return ranked[0] if ranked else None


def report_to(first: InstanceRow, state: State) -> None:
    """Let the member in charge hear this instance, and notice if it is lost."""
    if state.clock.monotonic() - first.last_heard > HEARD:
        membership.track_contact(first.name, state)
    else:
        heartbeats.post(first, Ping(state.new_number()), state)


def note_silence(circle: list[InstanceRow], state: State) -> None:
    """Note since when members are silent."""
    now = state.clock.monotonic()
    for row in circle:
        if row.name == state.settings.name or now - row.last_heard <= HEARD:
            state.silent_since.pop(row.name, None)
        else:
            state.silent_since.setdefault(row.name, now)


def may_remove(circle: list[InstanceRow], state: State) -> bool:
    """Return whether the silence of others is theirs rather than this instance's."""
    now = state.clock.monotonic()
    was_paused = now - state.resumed_at <= GONE_AFTER
    if state.stopping or was_paused or not view.is_copy_fresh(state):
        return False
    silent = sum(row.name in state.silent_since for row in circle)
    return silent * 2 < len(circle)


def remove_gone(state: State) -> None:
    """Delete the objects of the members that have been silent for long."""
    now = state.clock.monotonic()
    for name, since in list(state.silent_since.items()):
        item = state.view.objects.get(("instance", name))
        if now - since > GONE_AFTER and item is not None and item.value is not None:
            state.silent_since[name] = now
            delete(item, Removal(name), state)


@write_ended.register
def _(purpose: Removal, outcome: StoreOutcome, state: State) -> None:
    state.log_event(InstanceRemoved(purpose.instance, outcome))
