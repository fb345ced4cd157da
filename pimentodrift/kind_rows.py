"""The copies of a store's kinds and how old they are.

A copy is confirmed by the store's answer to this instance, or by a relay that tells
the revision of the last change and for how long it may have missed a later one.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from .clock import NEVER
from .kind_messages import Entry, WatchedKind, stored_name
from .messages import StoreObject
from .peer_messages import RegistryUpdate, RelayedEndpoint
from .session_rows import RegisteredEndpoint
from .tables import State

# A copy that was confirmed so lately needs no call of a follower, and may be passed on.
RELAYED_AGE = timedelta(milliseconds=1500)
MAX_GONE = 4096  # Bounds the memory of deletions.
CONFIRMING = (WatchedKind.CONFIGURATION, WatchedKind.OWN)


@define
class KindRow:
    """The copy of a kind; `revision` is 0 until a list is complete."""

    kind: WatchedKind
    revision: int = 0
    changed_revision: int = 0  # No change after it was known at the confirmation.
    complete_from: int = 0  # Deletions before this revision may be unknown.
    gone: dict[str, int] = field(factory=dict)  # Revisions of later deletions.
    relayed_at: timedelta = NEVER  # When a relay last told all changes.
    known: dict[str, Entry] = field(factory=dict)
    sent_at: timedelta | None = None  # Of the call in progress.
    next_at: timedelta = NEVER
    failures: int = 0
    listed: set[str] = field(factory=set)  # Names of the list in progress.
    listed_after: str = ""
    list_began_at: timedelta = NEVER
    list_revision: int = 0  # Of the first part of the list.
    confirmed_at: timedelta = NEVER
    checked_at: timedelta | None = None  # When the check in progress was sent.
    check_after: timedelta = NEVER  # No check before.
    is_unchecked: bool = False  # The last check failed.
    unchecked_at: timedelta = NEVER
    is_lost: bool = False
    lost_at: timedelta = NEVER


def row_of(kind: WatchedKind, state: State) -> KindRow:
    """Return the copy of a kind."""
    row = state.kinds.get(kind)
    if row is None:
        row = state.kinds[kind] = KindRow(kind)
    return row


def is_every_kind_listed(state: State) -> bool:
    """Return whether every kind has been listed since the start."""
    return all(row_of(kind, state).revision for kind in WatchedKind)


def confirm(row: KindRow, since: timedelta, state: State) -> None:
    """Record that the copy of a kind was current at `since`.

    The view is as old as the older of the configuration and the product's objects.
    """
    row.confirmed_at = max(row.confirmed_at, since)
    if row.kind is WatchedKind.OWN:
        state.view.version = max(state.view.version, row.revision)
    times = [row_of(kind, state).confirmed_at for kind in CONFIRMING]
    state.view.confirmed_at = max(state.view.confirmed_at, min(times))


def is_listed(state: State) -> bool:
    """Return whether all objects of the product are known, as far as they are kept."""
    return not state.kinds or row_of(WatchedKind.OWN, state).revision > 0


def note_gone(name: str, revision: int, row: KindRow) -> None:
    """Remember a deletion for those that follow this copy."""
    if len(row.gone) >= MAX_GONE:
        row.gone.clear()
        row.complete_from = row.revision
    row.gone[name] = revision


def complete_from(state: State) -> int:
    """Return the revision before which deletions of objects may be unknown."""
    row = state.kinds.get(WatchedKind.OWN)
    return row.complete_from if row is not None else 0


def registry_revision(state: State) -> int:
    """Return the revision up to which the registry is known; 0 without one."""
    row = state.kinds.get(WatchedKind.REGISTRY)
    return row.revision if row is not None else 0


def registry_update(known: int, state: State) -> RegistryUpdate | None:
    """Return what a follower that knows the registry up to a revision has missed.

    Nothing if this copy is not complete, or may be old because the store is silent.
    """
    row = state.kinds.get(WatchedKind.REGISTRY)
    age = state.clock.monotonic() - state.view.confirmed_at
    if row is None or not row.revision or age > RELAYED_AGE:
        return None
    after = max(known, row.complete_from)
    changes: list[RelayedEndpoint] = []
    if after < row.changed_revision:
        for entry in row.known.values():
            if entry.revision > after:
                is_endpoint = isinstance(entry.content, RegisteredEndpoint)
                content = entry.content if is_endpoint else None
                changes.append(RelayedEndpoint(entry.name, entry.revision, content))
        gone = [(name, at) for name, at in row.gone.items() if at > after]
        changes += [RelayedEndpoint(name, at, None) for name, at in gone]
    return RegistryUpdate(after, row.revision, tuple(changes))


def configured_at(state: State) -> int:
    """Return the revision after which no change of the configuration is known."""
    row = state.kinds.get(WatchedKind.CONFIGURATION)
    return row.changed_revision if row is not None else 0


def not_deleted(items: Iterable[StoreObject], state: State) -> list[StoreObject]:
    """Leave out objects of a late update that were deleted before the last list."""
    limit = complete_from(state)
    return [
        item
        for item in items
        if item.version > limit or (item.kind, item.name) in state.view.objects
    ]


def learn(items: Iterable[StoreObject], is_all: bool, state: State) -> None:
    """Note objects of the product that a relay sent; `is_all` if none was missed."""
    row = row_of(WatchedKind.OWN, state)
    for item in items:
        name = stored_name(item.kind, item.name)
        # The view keeps the newer one of what the relay and the store have told.
        newest = state.view.objects[item.kind, item.name]
        if newest.value is None:
            row.known.pop(name, None)
            note_gone(name, newest.version, row)
        else:
            row.known[name] = Entry(name, newest.version, newest)
    if is_all:
        row.revision = max(row.revision, state.view.version)


def confirm_relayed(since: timedelta, configured_at: int, state: State) -> None:
    """Take over a relay's confirmation.

    At `since`, the relay knew the same objects of the product and no change of the
    configuration after the revision `configured_at`.
    """
    confirm(row_of(WatchedKind.OWN, state), since, state)
    row = row_of(WatchedKind.CONFIGURATION, state)
    if row.revision >= configured_at:
        confirm(row, since, state)
