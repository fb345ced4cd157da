"""Gives a relay's followers the configuration, if theirs is older."""

from ..kind_messages import Entry, Unreadable, WatchedKind
from ..kind_rows import MAX_RELAYED_AGE, KindRow
from ..peer_messages import RelayedConfiguration
from ..tables import State, SubscriberRow
from .encoding import encode

# A larger configuration is read by each follower itself: sending it to all of them
# would hold up a relay's other work for tens of milliseconds.
MAX_RELAYED_BYTES = 256 * 1024


def relayed(subscriber: SubscriberRow, state: State) -> RelayedConfiguration | None:
    """Return the configuration for a subscriber, without content if it has it.

    Return None if this copy is not complete, or old because the store does not answer.
    """
    row = state.kinds.get(WatchedKind.CONFIGURATION)
    age = state.clock.monotonic() - state.view.confirmed_at
    if not subscriber.configuration or row is None or age > MAX_RELAYED_AGE:
        return None
    entry = newest_entry(row)
    if entry is None or row.gone or isinstance(entry.content, Unreadable):
        return None
    if entry.revision <= subscriber.configuration:
        return RelayedConfiguration(row.revision, entry.name, entry.revision, b"")
    content = encoded(entry, row)
    if len(content) > MAX_RELAYED_BYTES:
        return None
    state.counters["relay.configurations_sent"] += 1
    return RelayedConfiguration(row.revision, entry.name, entry.revision, content)


def newest_entry(row: KindRow) -> Entry | None:
    """Return the last changed object of a copy, None if it has none."""
    entries = row.known.values()
    return max(entries, key=lambda entry: entry.revision, default=None)


def encoded(entry: Entry, row: KindRow) -> bytes:
    """Return an object's content as bytes; each revision is encoded once."""
    if row.encoded[0] != entry.revision:
        row.encoded = entry.revision, encode(entry.content)
    return row.encoded[1]
