"""Applies the configuration that a relay sent."""

from .. import store_eras
from ..clock import NEVER
from ..dispatch import handle
from ..kind_messages import Entry, KindChanged, WatchedKind
from ..kind_rows import row_of
from ..kind_watch import apply_changes
from ..notices import ConfigurationRelayed
from ..route_configuration import RouteConfiguration
from ..tables import State
from .encoding import decode


@handle.register
def _(message: ConfigurationRelayed, state: State) -> None:
    row = row_of(WatchedKind.CONFIGURATION, state)
    update = message.update
    if not row.revision or not store_eras.observe_version(update.revision, state):
        return
    entries: tuple[Entry, ...] = ()
    if update.content:
        content = decode(update.content, RouteConfiguration)
        if content.sync_replicas is None:
            # The relay's build left out what this one needs, so the store is read.
            row.relayed_at = NEVER
            return
        entries = (Entry(update.name, update.changed, content),)
    elif update.name not in row.known:
        return  # The change that the relay supposes known was read as another object.
    row.relayed_at = state.clock.monotonic()
    apply_changes(row, KindChanged(row.kind, entries, update.revision), state)
