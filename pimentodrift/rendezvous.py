"""Finds the first usable instances for a key by rendezvous hashing.

A fleet has thousands of instances and endpoints, and ownership is asked for at each
request and tick. So the answers are kept in the state's `Index`, which is
derived from the tables alone. An answer that is kept is checked before its use: it
stands while its instances are listed and usable and no other has become so.
"""

from collections.abc import Iterable
from datetime import timedelta
from functools import lru_cache
from heapq import nlargest

import xxhash

from .clock import NEVER
from .tables import Candidate, Index, InstanceRow, Presence, Ranking, State, Winner

WEIGHT_CACHE = 2**16  # Entries, for 8 instances and some thousand keys.
# How often unusable instances are looked at, which bounds the cost when many are.
REVIVE_INTERVAL = timedelta(milliseconds=20)
# Bounds the memory of the list of additions.
MAX_ADDED = 4096
# Instances, on average; bounds the pings that the one in charge answers.
LARGEST_CIRCLE = 32
# Winners that may prove unusable before all candidates are looked at.
MAX_UNUSABLE_WINNERS = 3


def note_change(kind: str, state: State) -> None:
    """Let the next use of the index take over a change of the tables."""
    index = state.index
    index.newest = -1
    index.is_stale = index.is_stale or kind == "instance"
    if kind == "endpoint":
        index.endpoint_count = -1


def index_of(state: State) -> Index:
    """Return the index of a state, up to date with its tables."""
    index = state.index
    if index.is_stale or len(index.listed) != len(state.instances):
        index_instances(index, state)
    if index.endpoint_count != len(state.endpoints):
        index_endpoints(index, state)
    if index.unusable:
        revive(index, state)
    return index


def newest_version(state: State) -> int:
    """Return the highest version of an object in the view."""
    index = index_of(state)
    if index.newest < 0:
        versions = (item.version for item in state.view.objects.values())
        index.newest = max(versions, default=0)
    return index.newest


def index_instances(index: Index, state: State) -> None:
    """Take over the list of instances."""
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
            add(row, index)
        elif places[name] != place:
            index.winners.clear()
            add(row, index)
    index.revived_at = NEVER


def index_endpoints(index: Index, state: State) -> None:
    """Take over the list of endpoints."""
    index.endpoint_count = len(state.endpoints)
    index.epoch += 1
    index.by_group, index.endpoint_regions = {}, {}
    for row in sorted(state.endpoints.values(), key=lambda row: row.name):
        index.by_group.setdefault(row.group, []).append(row)
        index.endpoint_regions.setdefault(row.region, []).append(row)


def add(row: InstanceRow, index: Index) -> None:
    """Note that an instance may come first for some keys now."""
    index.epoch += 1
    if not index.winners:
        index.added.clear()
        return
    index.added.append(row)
    if len(index.added) > MAX_ADDED:
        for winner in index.winners.values():
            catch_up(winner, index)
            winner.seen = 0
        index.added.clear()


def revive(index: Index, state: State) -> None:
    """Note which instances have become usable again."""
    now = state.clock.monotonic()
    if now - index.revived_at < REVIVE_INTERVAL:
        return
    index.revived_at = now
    for name, row in list(index.unusable.items()):
        if state.instances.get(name) is not row:
            del index.unusable[name]
        elif is_instance_usable(row, state):
            del index.unusable[name]
            add(row, index)


def recheck(state: State) -> None:
    """Look at the unusable instances at the next use of the index."""
    index_of(state).revived_at = NEVER


def is_instance_usable(row: InstanceRow, state: State) -> bool:
    """Return whether new work may go to an instance."""
    if row.presence is not Presence.LIVE:
        return False
    if row.suspected_number is not None:
        return False
    if row.suspected_until == NEVER:
        return True  # The rule; reading the clock costs more than the rest.
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


def circle_of(name: str, state: State) -> list[InstanceRow]:
    """Return the listed instances of the circle of one of them."""
    count = -(-len(state.instances) // LARGEST_CIRCLE) or 1
    number = weight("circle", name) % count
    rows = state.instances.values()
    return [row for row in rows if weight("circle", row.name) % count == number]


def check_usable(row: InstanceRow, index: Index, state: State) -> bool:
    """Return whether a row is listed and usable; if not, wait for it to be."""
    is_listed = state.instances.get(row.name) is row
    if is_listed and row.suspected_until == NEVER and row.suspected_number is None:
        # The rule, without a further call; probes ask for each endpoint at each tick.
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

    Instances of the region go first, so that a database in a region without usable
    instances still has an owner.
    """
    index = index_of(state)
    winner = index.winners.get((key, region))
    if winner is not None:
        if winner.seen != len(index.added):
            catch_up(winner, index)
        if check_usable(winner.row, index, state):
            return winner.row
        index = index_of(state)
    winner = find_first(key, region, index, state)
    if winner is None:
        index.winners.pop((key, region), None)
        return None
    index.winners[key, region] = winner
    return winner.row


def catch_up(winner: Winner, index: Index) -> None:
    """Compare the first instance with those that have become usable since."""
    prefix = f"{winner.key}\0".encode()
    for row in index.added[winner.seen :]:
        is_near = row.region == winner.region
        rank = xxhash.xxh3_64_intdigest(prefix + row.name.encode())
        if (is_near, rank) > (winner.is_near, winner.weight):
            winner.row, winner.is_near, winner.weight = row, is_near, rank
    winner.seen = len(index.added)


def find_first(key: str, region: str, index: Index, state: State) -> Winner | None:
    """Find the first instance among all."""
    near = index.by_region.get(region, [])
    for rows in (near, index.candidates):
        found = heaviest(key, rows, index, state)
        if found is not None:
            is_near = rows is near
            return Winner(key, region, found[1], is_near, found[0], len(index.added))
    return None


def heaviest(
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


def heaviest_few(
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


def stands(ranking: Ranking, source: object, index: Index, state: State) -> bool:
    """Return whether a ranking is what it would be if it were made now."""
    if ranking.epoch != index.epoch or ranking.source is not source:
        return False
    # Of two or three rows; a generator would cost more than it saves.
    return all([check_usable(row, index, state) for row in ranking.rows])
