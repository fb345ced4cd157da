"""Lists this instance in the store, and again if it was removed by mistake."""

from datetime import timedelta

from attrs import frozen

from . import kind_rows
from .clock import MILLISECOND
from .fencing import permissions
from .fencing.decisions import CONTACT_LEASE
from .kind_messages import WatchedKind
from .log_events import InstanceListed
from .messages import StoreObject
from .owners import ownership
from .store_writes import (
    StoreOutcome,
    writable_object,
    write_ended,
    write_object,
)
from .tables import Presence, State
from .warmup import losses

RETRY_INTERVAL = timedelta(seconds=1)


@frozen
class Registration:
    """The purpose of a store write of this instance's own object."""


def run(state: State) -> None:
    """Write this instance's object when it is missing or has another address."""
    now = state.clock.monotonic()
    if state.stopping or now < state.registration_at:
        return
    if not kind_rows.row_of(WatchedKind.OWN, state).revision:
        return
    settings = state.settings
    value = {
        "address": settings.peer_listen,
        "region": settings.region,
        "data_centre": settings.data_centre,
        "state": Presence.LIVE.value,
    }
    if permissions.is_enabled(state):
        value["fencing"] = state.settings.primary_fencing
        value["contact_lease_ms"] = str(CONTACT_LEASE // MILLISECOND)
    if losses.has_limits(state):
        value[losses.ANNOUNCEMENT] = "read"
    if kind_rows.follows_evacuations(state):
        value["evacuation_bound_ms"] = str(settings.evacuation_bound // MILLISECOND)
    known = state.view.objects.get(("instance", settings.name))
    if must_offer(known, state):
        value["serves_sessions"] = "yes"
    if known is not None and known.value == value:
        return
    state.registration_at = now + RETRY_INTERVAL
    target = writable_object("instance", settings.name, state)
    write_object(target, value, Registration(), state)


def must_offer(known: StoreObject | None, state: State) -> bool:
    """Return whether the own object says that this build can own endpoints.

    An object that lacks only this is not written again where no endpoint has an owner:
    a fleet that needs none makes no calls for them.
    """
    if not ownership.is_enabled(state):
        return False
    value = known.value if known is not None else None
    if value is None or "serves_sessions" in value:
        return True
    groups = {row.entry.group for row in state.registry.values()}
    return any(ownership.has_owner(group, state) for group in groups)


@write_ended.register
def _(purpose: Registration, outcome: StoreOutcome, state: State) -> None:
    """Log the outcome; `run` tries again if the view lacks the object."""
    state.log_event(InstanceListed(outcome))
