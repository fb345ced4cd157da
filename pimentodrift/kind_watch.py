"""Follows a store that lists and watches its objects by kind.

Each kind is listed once and then watched from the revision of the list; when the store
has dropped that history, it is listed again. What the entries mean is decided by the
type of their content: the modules that own the rows register `apply` and `remove`.

The configuration counts as current from the moment a list or watch was sent, never
from the arrival of its answer, which may have waited in a network buffer.
"""

from datetime import timedelta
from functools import singledispatch

from . import view
from .clock import NEVER
from .dispatch import handle
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
    own_key,
)
from .kind_rows import (
    CONFIRMING,
    RELAYED_AGE,
    KindRow,
    confirm,
    note_gone,
    row_of,
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
from .tables import State

# Watches bring the news; each end of one is a call, so they wait long.
LONG_WAIT = timedelta(seconds=20)
# After a failure, the first watch only asks whether the store is back.
RETURN_WAIT = timedelta(0)
# A question without a wait confirms that the copies are current. An outage is borne for
# the configuration's lease less the age of the last confirmation.
CHECK_INTERVAL = timedelta(milliseconds=700)
# Between two watches of a kind, so that changes in quick succession share an answer;
# databases that start or restart change the registry several times in a second.
WATCH_INTERVALS = {
    WatchedKind.CONFIGURATION: timedelta(milliseconds=100),
    WatchedKind.REGISTRY: timedelta(milliseconds=300),
    WatchedKind.OWN: timedelta(milliseconds=100),
}
MILLISECOND = timedelta(milliseconds=1)
FIRST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(milliseconds=500)
# A check that succeeds ends the pause of the watches.
LONGEST_WATCH_PAUSE = timedelta(milliseconds=1500)


@singledispatch
def apply_content(content: object, entry: Entry, state: State) -> None:
    """Take over an object's new content."""
    raise TypeError(f"no handler for {type(content).__name__}")


@singledispatch
def remove_content(content: object, entry: Entry, state: State) -> None:
    """Take over that an object with this content is gone."""
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
    """Ignore the end of an object that was never used."""


def run(state: State) -> None:
    """Keep the copies current by calls of the store, and by a relay if there is one."""
    is_led = view.follow_relay(state)
    view.forget_subscribers(state)
    for kind in WatchedKind:
        row = row_of(kind, state)
        if not (is_led and is_relayed(row, state)):
            ask(row, state)
    if not is_led or view.copy_age(state) > RELAYED_AGE:
        check(row_of(WatchedKind.CONFIGURATION, state), state)


def is_relayed(row: KindRow, state: State) -> bool:
    """Return whether a relay that answers keeps a copy current."""
    match row.kind:
        case WatchedKind.OWN:
            return row.revision > 0
        case WatchedKind.REGISTRY:
            now = state.clock.monotonic()
            return row.revision > 0 and now - row.relayed_at <= view.RELAY_TIMEOUT
        case WatchedKind.CONFIGURATION:
            return False


def ask(row: KindRow, state: State) -> None:
    """Keep one call for a kind in progress."""
    now = state.clock.monotonic()
    if row.sent_at is not None or now < row.next_at:
        return
    row.sent_at = now
    if row.revision:
        state.outbox.append(WatchKind(row.kind, row.revision, wait_of(row)))
        return
    if not row.listed_after:
        row.list_began_at = now
        row.listed.clear()
    state.outbox.append(ListKind(row.kind, row.listed_after))


def check(row: KindRow, state: State) -> None:
    """Ask whether a kind is current, if it is time and no answer is awaited."""
    now = state.clock.monotonic()
    if row.checked_at is None and row.revision and now >= row.check_after:
        row.checked_at = now
        row.check_after = now + CHECK_INTERVAL
        state.outbox.append(CheckKind(row.kind, row.revision))


def wait_of(row: KindRow) -> timedelta:
    """Return how long the next watch may wait."""
    return RETURN_WAIT if row.failures else LONG_WAIT


def latest_revision(name: str, row: KindRow) -> int:
    """Return the last revision known of an object, or of its deletion."""
    known = row.known.get(name)
    if known is not None:
        return known.revision
    # An object that the last list did not have was deleted before, if it ever was.
    return max(row.gone.get(name, 0), row.complete_from)


def take(entry: Entry, row: KindRow, state: State) -> None:
    """Take over an entry unless a newer one is known."""
    known = row.known.get(entry.name)
    if entry.revision <= latest_revision(entry.name, row):
        return
    if isinstance(entry.content, Gone):
        note_gone(entry.name, entry.revision, row)
        if known is not None:
            del row.known[entry.name]
            remove_content(known.content, entry, state)
        elif row.kind is WatchedKind.OWN:
            # A follower may know the object.
            kind, name = own_key(entry.name)
            view.apply((StoreObject(kind, name, entry.revision, None),), state)
        return
    row.known[entry.name] = entry
    row.gone.pop(entry.name, None)
    if isinstance(entry.content, Unreadable):
        note_unreadable(entry, row, state)
        if known is not None:
            remove_content(known.content, entry, state)
        return
    apply_content(entry.content, entry, state)


def advance(row: KindRow, message: KindChanged | KindChecked, state: State) -> None:
    """Take over all changes of a kind up to a revision."""
    for entry in message.entries:
        row.changed_revision = max(row.changed_revision, entry.revision)
        take(entry, row, state)
    row.revision = max(row.revision, message.revision)
    if row.kind is WatchedKind.OWN:
        state.view.version = max(state.view.version, row.revision)
    if message.entries and row.kind is not WatchedKind.CONFIGURATION:
        view.push_updates(state)


def note_unreadable(entry: Entry, row: KindRow, state: State) -> None:
    """Count and log an object that cannot be used."""
    state.counters[f"store.unreadable.{row.kind}"] += 1
    detail = str(entry.content)
    state.log_event(ObjectUnreadable(row.kind, entry.name, entry.revision, detail))


def succeed(row: KindRow, state: State) -> timedelta:
    """Note an answer of the store and return when its question was sent."""
    now = state.clock.monotonic()
    sent_at = now if row.sent_at is None else row.sent_at
    row.sent_at = None
    row.failures = 0
    row.next_at = now
    if row.is_lost:
        row.is_lost = False
        lost_ms = (now - row.lost_at) // MILLISECOND
        state.log_event(StoreRegained(row.kind, lost_ms))
    return sent_at


@handle.register
def _(message: KindListed, state: State) -> None:
    row = row_of(message.kind, state)
    succeed(row, state)
    if not row.listed_after:
        row.list_revision = message.revision
    for entry in message.entries:
        row.listed.add(entry.name)
        take(entry, row, state)
    if message.has_more and message.entries:
        row.listed_after = message.entries[-1].name
        return
    row.listed_after = ""
    # Changes made while the parts were read are watched from the first part on.
    row.revision = row.changed_revision = row.list_revision
    row.complete_from = row.list_revision
    row.gone.clear()
    for name in [name for name in row.known if name not in row.listed]:
        take(Entry(name, row.list_revision, Gone()), row, state)
    confirm(row, row.list_began_at, state)


@handle.register
def _(message: KindChanged, state: State) -> None:
    row = row_of(message.kind, state)
    sent_at = succeed(row, state)
    row.next_at = max(row.next_at, sent_at + WATCH_INTERVALS[row.kind])
    advance(row, message, state)
    confirm(row, sent_at, state)


@handle.register
def _(message: KindChecked, state: State) -> None:
    row = row_of(message.kind, state)
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
    advance(row, message, state)
    confirm(row, sent_at, state)
    for kind in CONFIRMING:
        other = row_of(kind, state)
        if other.revision >= message.revision:
            # The store has not changed at all since this copy.
            confirm(other, sent_at, state)
        elif other is not row:
            other.check_after = NEVER
            check(other, state)


@handle.register
def _(message: CheckExpired, state: State) -> None:
    row = row_of(message.kind, state)
    row.checked_at = None
    if not row.revision:
        return
    # The watch that waits would learn of it at its end only; the list replaces it.
    state.log_event(StoreHistoryGone(row.kind, row.revision))
    row.revision = 0
    row.sent_at = None
    row.listed_after = ""


@handle.register
def _(message: CheckFailed, state: State) -> None:
    row = row_of(message.kind, state)
    row.checked_at = None
    pause = LONGEST_PAUSE * state.random.uniform(0.5, 1.0)
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
    succeed(row, state)
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
    pause = min(FIRST_PAUSE * 2 ** min(row.failures, 6), LONGEST_WATCH_PAUSE)
    # Spreads the return of many instances after an outage.
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
    if not row.revision or update.after > row.revision:
        return  # Deletions may be missing; the own watch goes on.
    row.relayed_at = state.clock.monotonic()
    entries = tuple(
        Entry(item.name, item.revision, item.content or Gone())
        for item in update.changes
    )
    advance(row, KindChanged(row.kind, entries, update.revision), state)
