"""Finds the first usable instances for a key by rendezvous hashing.

A fleet has thousands of instances and endpoints, and ownership is looked up at each
request and tick. So the results are cached in the state's `Index`, which is derived
from the tables alone. A cached result is checked before its use: it is valid while its
instances are listed and usable and no other instance has become so.
"""

from collections.abc import Iterable
from datetime import timedelta
from functools import lru_cache
from heapq import nlargest

import xxhash

from .clock import NEVER
from .tables import Candidate, Index, InstanceRow, Presence, Ranking, State, Winner

WEIGHT_CACHE = 2**16  # Entries, for 8 instances and some thousand keys.
# How often unusable instances are rechecked; bounds the cost when there are many.
REVIVE_INTERVAL = timedelta(milliseconds=20)
# Bounds the memory of `Index.added`.
MAX_ADDED = 4096
# Instances in a subset, on average; bounds the pings that its leader answers.
AVERAGE_SUBSET_SIZE = 32
# How many instances of the highest weights are tried before all are checked.
MAX_UNUSABLE_WINNERS = 3


def invalidate_index(kind: str, state: State) -> None:
    """Mark what the index derives from objects of a kind as out of date."""
    index = state.index
    index.newest = -1
    index.is_stale = index.is_stale or kind == "instance"
    if kind == "endpoint":
        index.endpoint_count = -1


def current_index(state: State) -> Index:
    """Return the index of a state, up to date with its tables."""
    index = state.index
    if index.is_stale or len(index.listed) != len(state.instances):
        index_instances(index, state)
    if index.endpoint_count != len(state.endpoints):
        index_endpoints(index, state)
    if index.unusable:
        restore_usable(index, state)
    return index


def newest_version(state: State) -> int:
    """Return the highest version of an object in the view."""
    index = current_index(state)
    if index.newest < 0:
        versions = (item.version for item in state.view.objects.values())
        index.newest = max(versions, default=0)
    return index.newest


def index_instances(index: Index, state: State) -> None:
    """Update the index after a change of the listed instances."""
    index.is_stale = False
    index.by_region, index.by_data_centre, index.candidates = {}, {}, []
    known, places = index.listed, index.places
    index.listed, index.places = dict(state.instances), {}
    for name, row in state.instances.items():
        candidate = (name.encode(), row)
        place = (row.region, row.data_centre)
        index.places[name] = place
        index.candidates.append(candidate)
        index.by_region.setdefault(row.region, []).append(candidate)
        index.by_data_centre.setdefault(row.data_centre, []).append(candidate)
        if known.get(name) is not row:
            record_addition(row, index)
        elif places[name] != place:
            index.winners.clear()
            record_addition(row, index)
    index.revived_at = NEVER


def index_endpoints(index: Index, state: State) -> None:
    """Update the index after a change of the listed endpoints."""
    index.endpoint_count = len(state.endpoints)
    index.epoch += 1
    index.by_group, index.endpoint_regions = {}, {}
    for row in sorted(state.endpoints.values(), key=lambda row: row.name):
        index.by_group.setdefault(row.group, []).append(row)
        index.endpoint_regions.setdefault(row.region, []).append(row)


def record_addition(row: InstanceRow, index: Index) -> None:
    """Record that an instance may now be the first for some keys."""
    index.epoch += 1
    if not index.winners:
        index.added.clear()
        return
    index.added.append(row)
    if len(index.added) > MAX_ADDED:
        for winner in index.winners.values():
            compare_additions(winner, index)
            winner.seen = 0
        index.added.clear()


def restore_usable(index: Index, state: State) -> None:
    """Move the instances that are usable again from `unusable` to `added`."""
    now = state.clock.monotonic()
    if now - index.revived_at < REVIVE_INTERVAL:
        return
    index.revived_at = now
    for name, row in list(index.unusable.items()):
        if state.instances.get(name) is not row:
            del index.unusable[name]
        elif is_instance_usable(row, state):
            del index.unusable[name]
            record_addition(row, index)


def recheck_unusable(state: State) -> None:
    """Make the next use of the index recheck the unusable instances."""
    current_index(state).revived_at = NEVER


def is_instance_usable(row: InstanceRow, state: State) -> bool:
    """Return whether new work may go to an instance."""
    if row.presence is not Presence.LIVE:
        return False
    if row.suspected_number is not None:
        return False
    if row.suspected_until == NEVER:
        return True  # The usual case; reading the clock costs more than the rest.
    return row.suspected_until <= state.clock.monotonic()


@lru_cache(maxsize=WEIGHT_CACHE)
def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def ranked(key: str, rows: Iterable[InstanceRow]) -> list[InstanceRow]:
    """Return the rows in rendezvous order for a key."""
    return sorted(
        rows,
        key=lambda row: weight(key, row.name),
        reverse=True,
    )


def subset_of(name: str, state: State) -> list[InstanceRow]:
    """Return the listed instances of the subset that an instance belongs to.

    A hash divides the fleet into subsets for the removal of lost instances.
    """
    count = -(-len(state.instances) // AVERAGE_SUBSET_SIZE) or 1
    number = weight("circle", name) % count
    rows = state.instances.values()
    return [row for row in rows if weight("circle", row.name) % count == number]


def check_usable(row: InstanceRow, index: Index, state: State) -> bool:
    """Return whether a row is listed and usable.

    An unlisted row makes the index stale; an unusable one is added to `unusable`.
    """
    is_listed = state.instances.get(row.name) is row
    if is_listed and row.suspected_until == NEVER and row.suspected_number is None:
        # The usual case, without a call: `probes` gets here per endpoint and tick.
        if row.presence is Presence.LIVE:
            return True
    elif not is_listed:
        index.is_stale = True
        return False
    if is_instance_usable(row, state):
        return True
    index.unusable[row.name] = row
    return False


def first_usable(key: str, region: str, state: State) -> InstanceRow | None:
    """Return the usable instance that comes first for a key.

    Instances of the region come before all others, so that a database in a region
    without usable instances still has an owner.
    """
    index = current_index(state)
    winner = index.winners.get((key, region))
    if winner is not None:
        if winner.seen != len(index.added):
            compare_additions(winner, index)
        if check_usable(winner.row, index, state):
            return winner.row
        index = current_index(state)
    winner = find_first(key, region, index, state)
    if winner is None:
        index.winners.pop((key, region), None)
        return None
    index.winners[key, region] = winner
    return winner.row


def compare_additions(winner: Winner, index: Index) -> None:
    """Compare a cached winner with the instances that have become usable since."""
    prefix = f"{winner.key}\0".encode()
    for row in index.added[winner.seen :]:
        is_near = row.region == winner.region
        rank = xxhash.xxh3_64_intdigest(prefix + row.name.encode())
        if (is_near, rank) > (winner.is_near, winner.weight):
            winner.row, winner.is_near, winner.weight = row, is_near, rank
    winner.seen = len(index.added)


def find_first(key: str, region: str, index: Index, state: State) -> Winner | None:
    """Find the first usable instance in the region, or else among all."""
    near = index.by_region.get(region, [])
    for rows in (near, index.candidates):
        found = heaviest_instance(key, rows, index, state)
        if found is not None:
            is_near = rows is near
            return Winner(key, region, found[1], is_near, found[0], len(index.added))
    return None


def heaviest_instance(
    key: str, rows: list[Candidate], index: Index, state: State
) -> tuple[int, InstanceRow] | None:
    """Return the usable row with the highest weight for a key."""
    prefix = f"{key}\0".encode()
    weights = [xxhash.xxh3_64_intdigest(prefix + name) for name, _ in rows]
    for _ in range(MAX_UNUSABLE_WINNERS if rows else 0):
        highest = max(weights)
        place = weights.index(highest)
        if check_usable(rows[place][1], index, state):
            return highest, rows[place][1]
        weights[place] = -1
    left = [
        (rank, row)
        for rank, (_, row) in zip(weights, rows, strict=True)
        if rank >= 0 and check_usable(row, index, state)
    ]
    return max(left, key=lambda pair: pair[0], default=None)


def heaviest_instances(
    key: str, rows: list[Candidate], count: int, index: Index, state: State
) -> list[InstanceRow]:
    """Return the usable rows with the highest weights for a key."""
    prefix = f"{key}\0".encode()
    best = nlargest(
        count,
        [pair for pair in rows if check_usable(pair[1], index, state)],
        key=lambda pair: xxhash.xxh3_64_intdigest(prefix + pair[0]),
    )
    return [row for _, row in best]


def is_ranking_current(
    ranking: Ranking, source: object, index: Index, state: State
) -> bool:
    """Return whether a cached ranking is still valid."""
    if ranking.epoch != index.epoch or ranking.source is not source:
        return False
    # There are two or three rows; a generator would cost more than it saves.
    return all([check_usable(row, index, state) for row in ranking.rows])
