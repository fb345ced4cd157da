"""Keeps copies of the objects of a store that lists and watches them by kind.

Each kind is listed once and then watched from the revision of the list; when the store
no longer has the changes since a revision, the kind is listed again. The type of an
entry's content selects the functions that apply it: the modules that own the rows
register theirs at `apply_content` and `remove_content`.

A copy counts as current from the moment a list or watch was sent, never from the
arrival of its answer, which may have waited in a network buffer.
"""

from datetime import timedelta
from functools import singledispatch

from . import store_eras, view
from .clock import MILLISECOND, NEVER
from .dispatch import handle
from .evacuation import tracking
from .kind_messages import (
    CheckExpired,
    CheckFailed,
    CheckKind,
    Entry,
    Gone,
    KindChanged,
    KindChecked,
    KindExpired,
    KindFailed,
    KindListed,
    ListKind,
    Unreadable,
    WatchedKind,
    WatchKind,
    parse_stored_name,
)
from .kind_rows import (
    MAX_RELAYED_AGE,
    MAX_RELAYED_REGISTRY_AGE,
    KindRow,
    confirm_kind,
    record_deletion,
    row_of,
    view_kinds,
    watched_kinds,
    watched_rows,
)
from .log_events import (
    CheckLost,
    CheckRegained,
    ObjectUnreadable,
    StoreHistoryGone,
    StoreLost,
    StoreRegained,
)
from .messages import StoreObject
from .notices import RegistryRelayed
from .store_versions import era_of
from .tables import State
from .ticks import hasten_steady_run

# A watch without a change ends after this time. The next one is another call to the
# store, so the wait is long.
WATCH_WAIT = timedelta(seconds=20)
# How long a watch after a failure waits for a change: its immediate answer tells
# whether the store is back.
WAIT_AFTER_FAILURE = timedelta(0)
# Time between two checks, which do not wait and confirm that the copies are current. It
# is short because an outage of the store is tolerated only for the configuration lease
# less the age of the last confirmation.
CHECK_INTERVAL = timedelta(milliseconds=700)
# Age at which the copy of the registry is checked. Its watch alone confirms it only
# after WATCH_WAIT, and never on a connection that is silent.
REGISTRY_CHECK_AGE = 2 * CHECK_INTERVAL
# Age at which a copy is checked because an answer shows that the store has changed.
# Checks of two kinds would otherwise follow each other for as long as anybody writes.
FOLLOW_UP_AGE = CHECK_INTERVAL / 2
# Least time between two watches of a kind, so that changes in quick succession share an
# answer: databases that start or restart change the registry several times a second.
WATCH_INTERVALS = {
    WatchedKind.CONFIGURATION: timedelta(milliseconds=100),
    WatchedKind.REGISTRY: timedelta(milliseconds=300),
    WatchedKind.OWN: timedelta(milliseconds=100),
    WatchedKind.EVACUATIONS: timedelta(milliseconds=100),
}
# After its first list, an instance waits for so long before it watches what a relay may
# send it: the list of instances, which names the relays, may come a little later.
RELAY_CHOICE_TIME = timedelta(milliseconds=200)
WATCH_BACKOFF_BASE = timedelta(milliseconds=100)
CHECK_BACKOFF = timedelta(milliseconds=500)
# Longer than CHECK_BACKOFF, because a check that succeeds also ends the backoff of the
# watches.
WATCH_BACKOFF_MAX = timedelta(milliseconds=1500)


@singledispatch
def apply_content(content: object, entry: Entry, state: State) -> None:
    """Apply an object's new content; its type selects the function."""
    raise TypeError(f"no handler for {type(content).__name__}")


@singledispatch
def remove_content(content: object, entry: Entry, state: State) -> None:
    """Apply an object's deletion; the type of its last content selects the function."""
    raise TypeError(f"no handler for {type(content).__name__}")


@apply_content.register
def _(content: StoreObject, entry: Entry, state: State) -> None:
    view.apply((content,), state)


@remove_content.register
def _(content: StoreObject, entry: Entry, state: State) -> None:
    gone = StoreObject(content.kind, content.name, entry.revision, None)
    view.apply((gone,), state)


@remove_content.register
def _(content: Unreadable, entry: Entry, state: State) -> None:
    """Ignore the deletion of an object whose content was never applied."""


def run(state: State) -> None:
    """Keep the copies current by calls to the store, and by a relay if one answers."""
    is_following = view.follow_relay(state)
    view.expire_subscribers(state)
    for kind in watched_kinds(state):
        row = row_of(kind, state)
        if not (is_following and is_relayed(row, state)):
            start_call(row, state)
    start_checks(is_following, state)


def start_checks(is_following: bool, state: State) -> None:
    """Check the copies that neither the store nor a relay has confirmed lately.

    While the check of the configuration fails, it is the only one.
    """
    configuration = row_of(WatchedKind.CONFIGURATION, state)
    if not is_following or view.copy_age(state) > MAX_RELAYED_AGE:
        start_check(configuration, state, CHECK_INTERVAL)
    if configuration.is_unchecked:
        return
    registry = row_of(WatchedKind.REGISTRY, state)
    is_registry_relayed = is_following and is_relayed(registry, state)
    age = MAX_RELAYED_REGISTRY_AGE if is_registry_relayed else REGISTRY_CHECK_AGE
    start_check(registry, state, age)


def is_relayed(row: KindRow, state: State) -> bool:
    """Return whether a relay that answers keeps the copy of a kind current."""
    match row.kind:
        case WatchedKind.OWN:
            return row.revision > 0
        case _:
            now = state.clock.monotonic()
            return row.revision > 0 and now - row.relayed_at <= view.RELAY_TIMEOUT


def start_call(row: KindRow, state: State) -> None:
    """Send the next list or watch of a kind, unless one is in flight."""
    now = state.clock.monotonic()
    if row.sent_at is not None or now < row.next_at:
        return
    row.sent_at = now
    if row.revision:
        state.outbox.append(WatchKind(row.kind, row.revision, watch_wait(row)))
        return
    if not row.listed_after:
        row.list_began_at = now
        row.listed.clear()
    state.outbox.append(ListKind(row.kind, row.listed_after))


def start_check(row: KindRow, state: State, max_age: timedelta) -> None:
    """Send a check of a kind if its copy has this age, unless one is in flight."""
    now = state.clock.monotonic()
    is_due = now >= max(row.check_after, row.confirmed_at + max_age)
    if row.checked_at is None and row.revision and is_due:
        row.checked_at = now
        row.check_after = now + CHECK_INTERVAL
        state.outbox.append(CheckKind(row.kind, row.revision))


def watch_wait(row: KindRow) -> timedelta:
    """Return how long the next watch may wait."""
    return WAIT_AFTER_FAILURE if row.failures else WATCH_WAIT


def latest_revision(name: str, row: KindRow) -> int:
    """Return the revision of the last known change or deletion of an object."""
    known = row.known.get(name)
    if known is not None:
        return known.revision
    # If the last list did not have the object, any deletion of it came before the list.
    return max(row.gone.get(name, 0), row.complete_from)


def apply_entry(entry: Entry, row: KindRow, state: State) -> None:
    """Apply an entry unless a newer one of the same object is known."""
    known = row.known.get(entry.name)
    if entry.revision <= latest_revision(entry.name, row):
        return
    if isinstance(entry.content, Gone):
        record_deletion(entry.name, entry.revision, row)
        if known is not None:
            del row.known[entry.name]
            remove_content(known.content, entry, state)
        elif row.kind is WatchedKind.OWN:
            # A subscriber may still have the object.
            kind, name = parse_stored_name(entry.name)
            view.apply((StoreObject(kind, name, entry.revision, None),), state)
        return
    row.known[entry.name] = entry
    row.gone.pop(entry.name, None)
    if isinstance(entry.content, Unreadable):
        report_unreadable(entry, row, state)
        if known is not None:
            remove_content(known.content, entry, state)
        return
    apply_content(entry.content, entry, state)


def apply_changes(
    row: KindRow, message: KindChanged | KindChecked, state: State
) -> None:
    """Apply all changes of a kind up to the message's revision."""
    for entry in message.entries:
        row.changed_revision = max(row.changed_revision, entry.revision)
        apply_entry(entry, row, state)
    tracking.update_from_kind(row, state)
    row.revision = max(row.revision, message.revision)
    if row.kind is WatchedKind.OWN:
        state.view.version = max(state.view.version, row.revision)
    if message.entries and is_sent_on(row, state):
        view.push_updates(state)


def is_sent_on(row: KindRow, state: State) -> bool:
    """Return whether changes of a kind are sent to subscribers."""
    if row.kind is not WatchedKind.CONFIGURATION:
        return True
    return any(other.configuration for other in state.view.subscribers.values())


def report_unreadable(entry: Entry, row: KindRow, state: State) -> None:
    """Count and log an object that cannot be used."""
    state.counters[f"store.unreadable.{row.kind}"] += 1
    detail = str(entry.content)
    state.log_event(ObjectUnreadable(row.kind, entry.name, entry.revision, detail))


def record_answer(row: KindRow, state: State) -> timedelta:
    """Record an answer to a list or watch and return when the call was sent."""
    now = state.clock.monotonic()
    sent_at = now if row.sent_at is None else row.sent_at
    row.sent_at = None
    row.failures = 0
    row.next_at = now
    hasten_steady_run(state)
    if row.is_lost:
        row.is_lost = False
        lost_ms = (now - row.lost_at) // MILLISECOND
        state.log_event(StoreRegained(row.kind, lost_ms))
    return sent_at


def is_usable_answer(revision: int, row: KindRow, state: State) -> bool:
    """Return whether an answer is of the store's era, and to the call in flight.

    An answer that reveals a new era ends the call, since the copy is listed anew.
    """
    if not store_eras.observe_version(revision, state):
        record_answer(row, state)
        return False
    return not (store_eras.was_restored(state) and row.sent_at is None)


@handle.register
def _(message: KindListed, state: State) -> None:
    row = row_of(message.kind, state)
    is_list_begun = row.sent_at is not None and not row.listed_after
    is_usable = is_usable_answer(message.revision, row, state)
    # The first part of a list is usable even if it reveals a new era.
    is_first = is_list_begun and era_of(message.revision) == state.view.era
    if not (is_usable or is_first):
        return
    record_answer(row, state)
    if not row.listed_after:
        row.list_revision = message.revision
    for entry in message.entries:
        row.listed.add(entry.name)
        apply_entry(entry, row, state)
    tracking.update_from_kind(row, state)
    if message.has_more and message.entries:
        row.listed_after = message.entries[-1].name
        return
    row.listed_after = ""
    is_first_list = not row.complete_from
    if is_first_list and row.kind is not WatchedKind.OWN:
        row.next_at += RELAY_CHOICE_TIME
    # The watch starts at the revision of the first part, so that it brings the changes
    # made while the other parts were read.
    row.revision = row.changed_revision = row.list_revision
    row.complete_from = row.list_revision
    row.gone.clear()
    for name in [name for name in row.known if name not in row.listed]:
        apply_entry(Entry(name, row.list_revision, Gone()), row, state)
    tracking.update_from_kind(row, state)
    confirm_kind(row, row.list_began_at, state)


@handle.register
def _(message: KindChanged, state: State) -> None:
    row = row_of(message.kind, state)
    if not is_usable_answer(message.revision, row, state):
        return
    sent_at = record_answer(row, state)
    row.next_at = max(row.next_at, sent_at + WATCH_INTERVALS[row.kind])
    apply_changes(row, message, state)
    confirm_kind(row, sent_at, state)


@handle.register
def _(message: KindChecked, state: State) -> None:
    row = row_of(message.kind, state)
    if not store_eras.observe_version(message.revision, state):
        row.checked_at = None
        return
    sent_at, row.checked_at = row.checked_at, None
    if row.is_unchecked:
        row.is_unchecked = False
        lost = state.clock.monotonic() - row.unchecked_at
        state.log_event(CheckRegained(row.kind, lost // MILLISECOND))
    for other in state.kinds.values():
        if other.failures:
            other.next_at = state.clock.monotonic()
    if sent_at is None or not row.revision:
        return
    apply_changes(row, message, state)
    confirm_kind(row, sent_at, state)
    if row.kind is WatchedKind.REGISTRY:
        return  # The pace of the other checks follows from that of the configuration.
    for other in watched_rows(state):
        if other.revision >= message.revision:
            # The store has not changed since the revision of this copy.
            confirm_kind(other, sent_at, state)
        elif (
            other is not row
            and other.kind in view_kinds(state)
            and row.kind is not WatchedKind.EVACUATIONS
        ):
            # The answer to a check of the evacuations comes last and starts no other.
            other.check_after = NEVER
            start_check(other, state, FOLLOW_UP_AGE)


@handle.register
def _(message: CheckExpired, state: State) -> None:
    row = row_of(message.kind, state)
    row.checked_at = None
    if not row.revision:
        return
    # The watch in flight would report the lost history only at its end, so the list is
    # sent now and replaces it.
    state.log_event(StoreHistoryGone(row.kind, row.revision))
    row.revision = 0
    row.sent_at = None
    row.listed_after = ""


@handle.register
def _(message: CheckFailed, state: State) -> None:
    row = row_of(message.kind, state)
    row.checked_at = None
    pause = CHECK_BACKOFF * state.random.uniform(0.5, 1.0)
    now = state.clock.monotonic()
    row.check_after = now + pause
    state.counters["store.check_failures"] += 1
    if not row.is_unchecked:
        row.is_unchecked = True
        row.unchecked_at = now
        state.log_event(
            CheckLost(row.kind, message.detail, view.copy_age(state) // MILLISECOND)
        )


@handle.register
def _(message: KindExpired, state: State) -> None:
    row = row_of(message.kind, state)
    record_answer(row, state)
    state.log_event(StoreHistoryGone(row.kind, row.revision))
    row.revision = 0
    row.listed_after = ""


@handle.register
def _(message: KindFailed, state: State) -> None:
    row = row_of(message.kind, state)
    now = state.clock.monotonic()
    row.sent_at = None
    row.listed_after = ""
    row.failures += 1
    pause = min(WATCH_BACKOFF_BASE * 2 ** min(row.failures, 6), WATCH_BACKOFF_MAX)
    # The jitter spreads the calls of many instances after an outage.
    row.next_at = now + pause * state.random.uniform(0.5, 1.0)
    state.counters["store.watch_failures"] += 1
    if not row.is_lost:
        row.is_lost = True
        row.lost_at = now
        state.log_event(StoreLost(row.kind, message.detail))


@handle.register
def _(message: RegistryRelayed, state: State) -> None:
    row = row_of(WatchedKind.REGISTRY, state)
    update = message.update
    if not store_eras.observe_version(update.revision, state):
        return
    if not row.revision or update.after > row.revision:
        return  # Changes would be missing; this instance's watch goes on.
    row.relayed_at = state.clock.monotonic()
    entries = tuple(
        Entry(item.name, item.revision, item.content or Gone())
        for item in update.changes
    )
    apply_changes(row, KindChanged(row.kind, entries, update.revision), state)
    if message.since is not None:
        confirm_kind(row, message.since, state)
