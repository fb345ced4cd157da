"""Lists this instance in the store, and removes those that are gone.

Nothing in the store expires, and an instance that is lost for good cannot remove its
own object. While it is listed, it counts for majorities, and a new allocator waits for
what it may still hold. An instance that was only cut off lists itself again.
"""

from datetime import timedelta

from attrs import frozen

from . import kind_watch, membership, view
from .kind_messages import (
    WatchedKind,
)
from .log_events import InstanceListed, InstanceRemoved
from .messages import StoreObject
from .store_writes import StoreOutcome, delete, write, write_ended
from .tables import Presence, State

RETRY_INTERVAL = timedelta(seconds=1)
HEARD = timedelta(seconds=2)
# Longer than the leases of rate shares, and than most cuts last.
GONE_AFTER = timedelta(seconds=6)


@frozen
class Registration:
    """The purpose of a write of this instance's own object."""


@frozen
class Removal:
    """The purpose of the deletion of another instance's object."""

    instance: str


def run(state: State) -> None:
    """Keep the list of instances true."""
    list_own(state)
    remove_gone(state)


def remove_gone(state: State) -> None:
    """Remove instances that nobody has heard for long, if this one is in charge."""
    now = state.clock.monotonic()
    if now < state.removal_at:
        return
    state.removal_at = now + RETRY_INTERVAL
    own = state.settings.name
    for row in state.instances.values():
        if row.name == own or now - row.last_heard <= HEARD:
            state.silent_since.pop(row.name, None)
        else:
            state.silent_since.setdefault(row.name, now)
    was_paused = now - state.resumed_at <= GONE_AFTER
    if state.stopping or was_paused or not view.is_fresh(state):
        return
    first = membership.first("removal", "", state)
    if first is None or first.name != own or not view.hears_majority(state):
        return
    for name, since in list(state.silent_since.items()):
        item = state.view.objects.get(("instance", name))
        if now - since > GONE_AFTER and item is not None and item.value is not None:
            state.silent_since[name] = now
            delete(item, Removal(name), state)


def list_own(state: State) -> None:
    """Write this instance's object when it is missing or has another address."""
    now = state.clock.monotonic()
    if state.stopping or now < state.registration_at:
        return
    if not kind_watch.row_of(WatchedKind.OWN, state).revision:
        return
    settings = state.settings
    value = {
        "address": settings.peer_listen,
        "region": settings.region,
        "data_centre": settings.data_centre,
        "state": Presence.LIVE.value,
    }
    known = state.view.objects.get(("instance", settings.name))
    if known is not None and known.value == value:
        return
    state.registration_at = now + RETRY_INTERVAL
    target = known or StoreObject("instance", settings.name, 0, None)
    if target.value is None:
        target = StoreObject("instance", settings.name, 0, None)
    write(target, value, Registration(), state)


@write_ended.register
def _(purpose: Registration, outcome: StoreOutcome, state: State) -> None:
    """Leave the next attempt to the next run; the view shows what is stored."""
    state.note(InstanceListed(outcome))


@write_ended.register
def _(purpose: Removal, outcome: StoreOutcome, state: State) -> None:
    state.note(InstanceRemoved(purpose.instance, outcome))
