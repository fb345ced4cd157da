"""The instance's copy of the store's objects, kept by a watch or by a relay.

Objects only move to higher versions, so an old update that arrives late changes
nothing. Two instances of each data centre, the relays, watch the store; the others
subscribe to a relay, so that the store's calls do not grow with the fleet.
"""

from collections.abc import Iterable
from datetime import timedelta

from . import configuration, membership
from .messages import StoreObject
from .tables import State

FRESH = timedelta(seconds=3)
# A watch returns at least this often, which confirms that the copy is current.
WATCH_WAIT = timedelta(seconds=1)


def apply(items: Iterable[StoreObject], state: State) -> list[StoreObject]:
    """Store the items that are newer than the copy and return them."""
    changed = []
    for item in items:
        key = (item.kind, item.name)
        known = state.view.objects.get(key)
        if known is not None and known.version >= item.version:
            continue
        state.view.objects[key] = item
        changed.append(item)
    for item in changed:
        membership.apply(item, state)
    if changed:
        configuration.refresh(state)
    return changed


def is_fresh(state: State) -> bool:
    """Return whether the store has confirmed the copy recently."""
    return state.clock.monotonic() - state.view.confirmed_at <= FRESH


def is_isolated(state: State) -> bool:
    """Return whether keyed requests must be refused: a withdrawal may be unseen."""
    return False


def run(state: State) -> None:
    """Keep the watch or the subscription alive."""
