"""Applies the evacuations that a relay sends, and the objects of their kind."""

from .. import store_eras
from ..dispatch import handle
from ..kind_messages import Entry, Gone, KindChanged, WatchedKind
from ..kind_rows import KindRow, confirm_kind, row_of
from ..kind_watch import apply_changes, apply_content, remove_content
from ..notices import EvacuationsRelayed
from ..peer_messages import RelayedEvacuations
from ..tables import State
from .messages import Evacuation


@apply_content.register
@remove_content.register
def _(content: Evacuation, entry: Entry, state: State) -> None:
    """Leave the object to `tracking`, which follows the names of the kind."""


def relayed_entries(update: RelayedEvacuations, row: KindRow) -> list[Entry]:
    """Return the entries that bring a copy up to what a relay sent."""
    entries = [
        Entry(name, revision, Evacuation())
        for name, revision in update.objects.items()
        if name not in row.known or row.known[name].revision < revision
    ]
    lost = [name for name in row.known if name not in update.objects]
    return entries + [Entry(name, update.revision, Gone()) for name in lost]


@handle.register
def _(message: EvacuationsRelayed, state: State) -> None:
    row = row_of(WatchedKind.EVACUATIONS, state)
    update = message.update
    if not row.revision or not store_eras.observe_version(update.revision, state):
        return
    row.relayed_at = state.clock.monotonic()
    entries = tuple(relayed_entries(update, row))
    apply_changes(row, KindChanged(row.kind, entries, update.revision), state)
    if message.since is not None:
        confirm_kind(row, message.since, state)
