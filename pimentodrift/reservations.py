"""Writes the groups' objects: terms reserved in advance and the newest primary.

One conditional update brings a group's object up to date in both respects. The first
watcher of a group writes; a coordinator writes its own new term or reservation without
waiting for that watcher. A conflict returns the current object, on which the next
update is based, so concurrent writers are harmless.
"""

from datetime import timedelta
from typing import Any

from attrs import frozen

from .failover_rows import GroupWrite, Stage
from .membership import is_instance_usable
from .messages import StoreObject
from .store_writes import StoreOutcome, write_ended, write_object
from .tables import GroupRow, Presence, State

RESERVED_TERMS = 2  # In each group, for failovers to come.
RETRY_INTERVAL = timedelta(milliseconds=500)
# Leaves the coordinator of a failover time to write the new term itself.
RECORDING_GRACE = timedelta(seconds=3)
# Bounds the object's size. A session token that is older than this many terms counts as
# one from before the first term that is kept.
MAX_TERM_STARTS = 100


@frozen
class GroupObjectWrite:
    """The purpose of a store write of a group's object."""

    group: str


def run(state: State) -> None:
    """Update the objects of watched groups that are out of date."""
    for name in state.watched:
        item = state.view.objects.get(("group", name))
        if item is not None and item.value is not None:
            update_group_object(state.groups[name], item, item.value, state)


def update_group_object(
    group: GroupRow, item: StoreObject, value: dict[str, Any], state: State
) -> None:
    """Write a group's object if it is out of date and this instance may write it."""
    row = state.group_writes.setdefault(group.name, GroupWrite())
    now = state.clock.monotonic()
    changed = desired_value(group, value, state)
    if changed == value:
        row.behind_since = None
        return
    row.behind_since = now if row.behind_since is None else row.behind_since
    if row.in_flight or now < row.retry_at or not is_writer(group, row, value, state):
        return
    row.in_flight = True
    purpose = GroupObjectWrite(group.name)
    write_object(item, changed, purpose, state)


def is_writer(
    group: GroupRow, row: GroupWrite, value: dict[str, Any], state: State
) -> bool:
    """Return whether this instance may write a group's object now."""
    failover = state.failovers.get(group.name)
    if failover is not None:
        return failover.stage in (Stage.NOTICING, Stage.FOLLOWING, Stage.RECORDING)
    own = state.settings.name
    if group.reservations.get(own, 0) > group.term and own_term(group, state) is None:
        return True  # Only this instance knows that its reservation was used.
    if state.watched[group.name][0] != own:
        return False
    waited = state.clock.monotonic() - (row.behind_since or timedelta(0))
    return value["term"] == group.term or waited >= RECORDING_GRACE


def desired_value(
    group: GroupRow, value: dict[str, Any], state: State
) -> dict[str, Any]:
    """Return the group's object as it should be; unknown fields are kept."""
    result = dict(value)
    if group.term > value["term"]:
        known = value.get("term_starts") or {}
        starts = {int(term): int(start) for term, start in known.items()}
        starts |= group.term_starts
        kept = sorted(starts)[-MAX_TERM_STARTS:]
        result["term"] = group.term
        result["primary"] = group.primary
        result["term_starts"] = {str(term): starts[term] for term in kept}
    renew_reservations(group, result, state)
    return result


def renew_reservations(group: GroupRow, result: dict[str, Any], state: State) -> None:
    """Replace unusable reservations in `result`; `last_reserved` never decreases."""
    old = {name: int(term) for name, term in result.get("reservations", {}).items()}
    kept = {
        name: term
        for name, term in old.items()
        if is_reservation_valid(name, term, result["term"], group.name, state)
    }
    highest = max(
        result["term"],
        result.get("last_reserved", 0),
        state.used_terms.get(group.name, 0),
        *old.values(),
    )
    for name in reservation_candidates(group.name, state):
        if len(kept) >= RESERVED_TERMS and not must_reserve(name, group.name, state):
            break
        if name not in kept:
            drop_highest_reservation(kept)
            highest += 1
            kept[name] = highest
    if kept != old:
        result["reservations"] = kept
        result["last_reserved"] = highest


def drop_highest_reservation(kept: dict[str, int]) -> None:
    """Drop the highest reservation if there are `RESERVED_TERMS` already."""
    if len(kept) >= RESERVED_TERMS:
        del kept[max(kept, key=lambda name: kept[name])]


def is_reservation_valid(
    name: str, term: int, group_term: int, group: str, state: State
) -> bool:
    """Return whether a reservation can still be used by its holder."""
    row = state.instances.get(name)
    if row is None or row.presence is not Presence.LIVE or term <= group_term:
        return False
    is_own = name == state.settings.name
    return not is_own or term > state.used_terms.get(group, 0)


def must_reserve(name: str, group: str, state: State) -> bool:
    """Return whether `name` is this instance and it needs a term for a failover."""
    failover = state.failovers.get(group)
    if failover is None or name != state.settings.name:
        return False
    return failover.stage is Stage.NOTICING


def reservation_candidates(group: str, state: State) -> list[str]:
    """Return the watchers to reserve terms for; this one first if it needs a term."""
    rows = [state.instances.get(name) for name in state.watched[group]]
    names = [
        row.name for row in rows if row is not None and is_instance_usable(row, state)
    ]
    return sorted(names, key=lambda name: not must_reserve(name, group, state))


def own_term(group: GroupRow, state: State) -> int | None:
    """Return this instance's reserved term if it has not been used."""
    term = group.reservations.get(state.settings.name, 0)
    used = state.used_terms.get(group.name, 0)
    return term if term > max(group.term, used) else None


@write_ended.register
def _(purpose: GroupObjectWrite, outcome: StoreOutcome, state: State) -> None:
    row = state.group_writes.setdefault(purpose.group, GroupWrite())
    row.in_flight = False
    if outcome is StoreOutcome.UNCLEAR:
        # If it took effect, the view shows it or the next update gets a conflict.
        row.retry_at = state.clock.monotonic() + RETRY_INTERVAL
