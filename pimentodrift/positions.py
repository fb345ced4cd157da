"""What an entry knows about the positions of endpoints, to choose among them.

All of this is estimated from samples: it decides which endpoint is asked first, while
the owner checks the position in the batch of the read. The history of a group's
primary turns an accepted age into a position: the first sample that is not older than
the age is at least what the primary had then. Without such a sample no replica counts
as new enough.
"""

from bisect import bisect_left
from collections import deque
from datetime import timedelta

from .messages import Position
from .tables import State

HISTORY = timedelta(seconds=60)
# Below the interval in which owners read positions (a heartbeat each 200 ms).
SAMPLE_INTERVAL = timedelta(milliseconds=20)


def note(endpoint: str, position: Position, at: timedelta, state: State) -> None:
    """Record a position that an endpoint had reached at a time or later."""
    row = state.endpoints.get(endpoint)
    if row is None:
        return
    if position > row.position:
        row.position = position
        row.sampled_at = max(at, row.sampled_at)
    group = state.groups.get(row.group)
    if group is not None and group.primary == endpoint:
        sample(row.group, position, at, state)


def sample(group: str, position: Position, at: timedelta, state: State) -> None:
    """Add a sample of a primary's position, if the group's history is kept."""
    history = state.histories.get(group)
    if history is None or (history and at - history[-1][0] < SAMPLE_INTERVAL):
        return
    history.append((at, position))
    while history[-1][0] - history[0][0] > HISTORY:
        history.popleft()


def position_before(group: str, age: timedelta, state: State) -> Position | None:
    """Return a position at or past the one that the primary had `age` ago."""
    history = state.histories.get(group)
    if history is None:
        # Kept from the first read that accepts an age.
        state.histories[group] = deque()
        sample_primary(group, state)
        history = state.histories[group]
    oldest = state.clock.monotonic() - age
    index = bisect_left(history, oldest, key=lambda entry: entry[0])
    return history[index][1] if index < len(history) else None


def sample_primary(group: str, state: State) -> None:
    """Add the newest known position of a group's primary to its history."""
    row = state.groups.get(group)
    primary = state.endpoints.get(row.primary) if row is not None else None
    if primary is not None and primary.is_primary:
        sample(group, primary.position, primary.sampled_at, state)


def run(state: State) -> None:
    """Sample the primaries of the groups whose history is kept."""
    for group in state.histories:
        sample_primary(group, state)
