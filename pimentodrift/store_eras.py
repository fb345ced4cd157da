"""Notices that the store was restored from an older copy, and reads the copies anew.

What the store acknowledged before may be gone, and its revisions are given out again.
So no copy counts as confirmed until it was listed in the new era, and answers from
before the restore are dropped. The relays list at once, the others spread their calls.
"""

from datetime import timedelta

from . import kind_rows
from .clock import NEVER
from .kind_messages import WatchedKind
from .log_events import StoreRestored
from .store_versions import era_of
from .tables import State

# Of the lists of all instances together, so that a restored store is not overloaded.
LISTS_PER_SECOND = 200
MAX_SPREAD = timedelta(seconds=1)


def observe_version(version: int, state: State) -> bool:
    """Note the era of a received version; return whether the version is current.

    A version of 0 tells nothing and is current.
    """
    era = era_of(version)
    if not version or era == state.view.era:
        return True
    if era < state.view.era:
        state.counters["store.outdated_answers"] += 1
        return False
    is_restored = any(row.revision for row in state.kinds.values())
    state.view.era = era
    if is_restored:
        begin_era(era, state)
    return True


def begin_era(era: int, state: State) -> None:
    """List all kinds anew, because their copies are of an earlier era."""
    now = state.clock.monotonic()
    state.view.restored_at = now
    state.counters["store.restored"] += 1
    state.log_event(StoreRestored(era))
    for row in state.kinds.values():
        kind_rows.reset_copy(row)
        row.next_at = now + list_delay(state)


def list_delay(state: State) -> timedelta:
    """Return how long this instance waits with its lists after a restore."""
    if not state.view.relay:
        return timedelta(0)
    spread = timedelta(seconds=len(state.instances) / LISTS_PER_SECOND)
    return min(spread, MAX_SPREAD) * state.random.random()


def was_restored(state: State) -> bool:
    """Return whether the store was restored while this process ran."""
    return state.view.restored_at != NEVER


def are_own_objects_current(state: State) -> bool:
    """Return whether the own objects were listed in the store's present era."""
    row = kind_rows.row_of(WatchedKind.OWN, state)
    return row.revision > 0 and era_of(row.revision) == state.view.era
