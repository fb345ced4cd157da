"""Keeps the table of evacuations, from the copy of the store.

Where the store is watched by kind, each object of the kind `evacuations` is one; only
its existence matters. In the project's own store it is an object of kind `evacuation`.
"""

from collections.abc import Iterable
from datetime import timedelta

from .. import membership
from ..clock import MILLISECOND
from ..kind_messages import WatchedKind
from ..kind_rows import KindRow, follows_evacuations
from ..log_events import EvacuationEnded, EvacuationSeen
from ..messages import StoreObject
from ..peer_messages import RelayedEvacuations
from ..rendezvous import invalidate_index
from ..tables import State
from . import decisions
from .rows import EvacuationRow

OWN_KIND = "evacuation"  # Of the objects in the project's own store.
EVACUATED, RESTORED = "evacuated", "restored"  # Their states.


def update_from_kind(row: KindRow, state: State) -> None:
    """Follow the copy of the kind, before an answer confirms it."""
    if row.kind is WatchedKind.EVACUATIONS and follows_evacuations(state):
        update(row.known, row.confirmed_at, state)


def update_from_objects(
    changed: Iterable[StoreObject], confirmed_at: timedelta, state: State
) -> None:
    """Follow changed objects of the project's own store.

    At `confirmed_at`, the copy was current without them.
    """
    if state.kinds or not follows_evacuations(state):
        return
    if any(item.kind == OWN_KIND for item in changed):
        names = [
            name
            for (kind, name), item in state.view.objects.items()
            if kind == OWN_KIND and is_evacuation(item)
        ]
        update(names, confirmed_at, state)
        for row in state.endpoints.values():
            membership.set_presence(row, state)
        invalidate_index("endpoint", state)


def is_evacuation(item: StoreObject) -> bool:
    """Return whether an object of the project's own store asks for an evacuation."""
    return item.value is not None and item.value.get("state") != RESTORED


def update(names: Iterable[str], confirmed_at: timedelta, state: State) -> None:
    """Begin and end evacuations so that they are those of the given data centres."""
    now = state.clock.monotonic()
    wanted = set(names)
    for name in sorted(wanted - state.evacuations.keys()):
        deadline = decisions.deadline(confirmed_at, state.settings.evacuation_bound)
        state.evacuations[name] = EvacuationRow(name, now, deadline)
        state.counters["evacuation.seen"] += 1
        left_ms = max(0, (deadline - now) // MILLISECOND)
        state.log_event(EvacuationSeen(name, left_ms))
    for name in sorted(state.evacuations.keys() - wanted):
        row = state.evacuations.pop(name)
        state.counters["evacuation.ended"] += 1
        state.log_event(EvacuationEnded(name, (now - row.seen_at) // MILLISECOND))


def relayed(state: State) -> RelayedEvacuations | None:
    """Return the evacuations for a subscriber; None without a copy of the kind."""
    row = state.kinds.get(WatchedKind.EVACUATIONS)
    if row is None or not row.revision or not follows_evacuations(state):
        return None
    objects = {name: entry.revision for name, entry in row.known.items()}
    return RelayedEvacuations(row.revision, objects)
