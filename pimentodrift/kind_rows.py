"""The copies of a store's objects, one for each kind, and how old they are.

A copy is confirmed by the store's answer to this instance, or by a relay. The relay
tells the revision of the last change and the time since its own copy was confirmed.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from .clock import MILLISECOND, NEVER
from .kind_messages import Entry, WatchedKind, stored_name
from .messages import StoreObject
from .peer_messages import RegistryUpdate, RelayedEndpoint
from .session_rows import RegisteredEndpoint
from .tables import State

# Once its copy is older, a subscriber checks the store itself and a relay stops sending
# its registry.
MAX_RELAYED_AGE = timedelta(milliseconds=1500)
# The same for the copy of the registry, which is checked at longer intervals.
MAX_RELAYED_REGISTRY_AGE = timedelta(seconds=3)
MAX_DELETIONS = 4096  # Deletions remembered for each kind; bounds their memory.
# The age of the view is that of the older copy of these kinds.
VIEW_KINDS = (WatchedKind.CONFIGURATION, WatchedKind.OWN)
# The same where evacuations are followed.
EVACUATION_VIEW_KINDS = (*VIEW_KINDS, WatchedKind.EVACUATIONS)
ALL_KINDS = tuple(WatchedKind)
KINDS_WITHOUT_EVACUATIONS = tuple(
    kind for kind in WatchedKind if kind is not WatchedKind.EVACUATIONS
)


@define
class KindRow:
    """The copy of the objects of a kind."""

    kind: WatchedKind
    revision: int = 0  # All changes up to it are in the copy; 0: not listed yet.
    changed_revision: int = 0  # No later change of the kind is known.
    complete_from: int = 0  # Deletions up to this revision may be missing in `gone`.
    gone: dict[str, int] = field(factory=dict)  # Revisions of deletions, by name.
    relayed_at: timedelta = NEVER  # When a relay last sent all changes.
    known: dict[str, Entry] = field(factory=dict)  # By name.
    sent_at: timedelta | None = None  # When the list or watch in flight was sent.
    next_at: timedelta = NEVER  # No list or watch is sent before this time.
    failures: int = 0  # Failed lists and watches in a row.
    listed: set[str] = field(factory=set)  # Names received by the list in progress.
    listed_after: str = ""  # Last name of the previous part; empty at the first part.
    list_began_at: timedelta = NEVER
    list_revision: int = 0  # The revision of the list's first part.
    confirmed_at: timedelta = NEVER  # When the copy was last known to be current.
    checked_at: timedelta | None = None  # When the check in flight was sent.
    check_after: timedelta = NEVER  # No check is sent before this time.
    is_unchecked: bool = False  # The last check failed.
    unchecked_at: timedelta = NEVER  # When checks began to fail.
    is_lost: bool = False  # The last list or watch failed.
    lost_at: timedelta = NEVER  # When lists and watches began to fail.
    # The content last sent to followers as bytes, and its revision.
    encoded: tuple[int, bytes] = field(default=(0, b""), repr=False)


def row_of(kind: WatchedKind, state: State) -> KindRow:
    """Return the row of a kind; create it at the first use."""
    row = state.kinds.get(kind)
    if row is None:
        row = state.kinds[kind] = KindRow(kind)
    return row


def follows_evacuations(state: State) -> bool:
    """Return whether this instance follows evacuations."""
    return state.settings.evacuation_bound > timedelta(0)


def watched_kinds(state: State) -> tuple[WatchedKind, ...]:
    """Return the kinds of which this instance keeps a copy."""
    return ALL_KINDS if follows_evacuations(state) else KINDS_WITHOUT_EVACUATIONS


def watched_rows(state: State) -> list[KindRow]:
    """Return the copies that this instance keeps."""
    return [row_of(kind, state) for kind in watched_kinds(state)]


def view_kinds(state: State) -> tuple[WatchedKind, ...]:
    """Return the kinds whose oldest copy gives the age of the view."""
    return EVACUATION_VIEW_KINDS if follows_evacuations(state) else VIEW_KINDS


def reset_copy(row: KindRow) -> None:
    """Let a kind be listed again; what was known stays in use until then."""
    row.revision = 0
    row.sent_at = None
    row.checked_at = None
    row.listed_after = ""


def is_every_kind_listed(state: State) -> bool:
    """Return whether every kind has been listed since the start."""
    return all(row_of(kind, state).revision for kind in watched_kinds(state))


def confirm_kind(row: KindRow, since: timedelta, state: State) -> None:
    """Record that the copy of a kind was current at `since`.

    The view is as old as the oldest copy of `view_kinds`.
    """
    row.confirmed_at = max(row.confirmed_at, since)
    if row.kind is WatchedKind.OWN:
        state.view.version = max(state.view.version, row.revision)
    times = [row_of(kind, state).confirmed_at for kind in view_kinds(state)]
    confirm_view(min(times), state)


def confirm_view(since: timedelta, state: State) -> None:
    """Record that the view was current at `since`, and whether it had been older."""
    now = state.clock.monotonic()
    if now - state.view.confirmed_at > state.settings.allocator_lease:
        state.view.steady_since = now
    state.view.confirmed_at = max(state.view.confirmed_at, since)


def is_own_kind_listed(state: State) -> bool:
    """Return whether the proxy's own objects are listed, if they are kept by kind."""
    return not state.kinds or row_of(WatchedKind.OWN, state).revision > 0


def record_deletion(name: str, revision: int, row: KindRow) -> None:
    """Record a deletion, so that subscribers can be told of it."""
    if len(row.gone) >= MAX_DELETIONS:
        row.gone.clear()
        row.complete_from = row.revision
    row.gone[name] = revision


def deletions_known_from(state: State) -> int:
    """Return the revision up to which deletions of own objects may be unknown."""
    row = state.kinds.get(WatchedKind.OWN)
    return row.complete_from if row is not None else 0


def registry_revision(state: State) -> int:
    """Return the revision up to which the registry is known; 0 without a copy."""
    row = state.kinds.get(WatchedKind.REGISTRY)
    return row.revision if row is not None else 0


def configuration_revision(state: State) -> int:
    """Return the revision up to which the configuration is known; 0 without a copy."""
    row = state.kinds.get(WatchedKind.CONFIGURATION)
    return row.revision if row is not None else 0


def registry_update(known: int, state: State) -> RegistryUpdate | None:
    """Return the changes of the registry after the revision `known`, for a subscriber.

    Return None if this copy is not complete, or old because the store does not answer,
    or only confirmed by neighbours: their registry may come from this instance.
    """
    row = state.kinds.get(WatchedKind.REGISTRY)
    now = state.clock.monotonic()
    age = now - state.view.confirmed_at
    asked = now - state.view.peer_asked_at
    is_old = age > MAX_RELAYED_AGE or asked <= MAX_RELAYED_AGE
    if row is None or not row.revision or is_old:
        return None
    registry_age = now - row.confirmed_at
    if registry_age > MAX_RELAYED_REGISTRY_AGE:
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
    age_ms = registry_age // MILLISECOND
    return RegistryUpdate(after, row.revision, tuple(changes), age_ms)


def configuration_changed_revision(state: State) -> int:
    """Return the revision after which no change of the configuration is known."""
    row = state.kinds.get(WatchedKind.CONFIGURATION)
    return row.changed_revision if row is not None else 0


def without_deleted(items: Iterable[StoreObject], state: State) -> list[StoreObject]:
    """Return the items without those that an old update would bring back.

    An item is left out if the last list, which is newer, did not have its object.
    """
    limit = deletions_known_from(state)
    return [
        item
        for item in items
        if item.version > limit or (item.kind, item.name) in state.view.objects
    ]


def record_relayed_objects(
    items: Iterable[StoreObject], is_complete: bool, state: State
) -> None:
    """Record own objects that a relay sent; `is_complete` if none was missed."""
    row = row_of(WatchedKind.OWN, state)
    for item in items:
        name = stored_name(item.kind, item.name)
        # The view has the newer of the versions from the relay and from the store.
        newest = state.view.objects[item.kind, item.name]
        if newest.value is None:
            row.known.pop(name, None)
            record_deletion(name, newest.version, row)
        else:
            row.known[name] = Entry(name, newest.version, newest)
    if is_complete:
        row.revision = max(row.revision, state.view.version)


def confirm_relayed(since: timedelta, configured_at: int, state: State) -> None:
    """Confirm the copies that a relay has confirmed.

    At `since`, the relay had the same own objects as this instance, and knew of no
    change of the configuration after the revision `configured_at`.
    """
    confirm_kind(row_of(WatchedKind.OWN, state), since, state)
    row = row_of(WatchedKind.CONFIGURATION, state)
    if row.revision >= configured_at:
        confirm_kind(row, since, state)
