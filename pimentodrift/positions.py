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

from . import membership, replica_lag
from .messages import Position
from .tables import State

HISTORY = timedelta(seconds=60)
# Below the interval in which positions arrive (a heartbeat each 200 ms).
RUN_INTERVAL = timedelta(milliseconds=100)
# Bounds the samples that replies add.
SAMPLE_INTERVAL = timedelta(milliseconds=20)


def record_position(
    endpoint: str, position: Position, at: timedelta, state: State
) -> None:
    """Record a position that an endpoint had reached at a time or later."""
    row = state.endpoints.get(endpoint)
    if row is None:
        return
    if position > row.position:
        row.position = position
        row.sampled_at = max(at, row.sampled_at)
    group = state.groups.get(row.group)
    if group is not None and group.primary == endpoint:
        add_sample(row.group, position, at, state)


def add_sample(group: str, position: Position, at: timedelta, state: State) -> None:
    """Add a sample of a primary's position, if the group's history is kept."""
    history = state.histories.get(group)
    if history is None or (history and at - history[-1][0] < SAMPLE_INTERVAL):
        return
    if history and position.term < history[-1][1].term:
        return  # From a replaced primary.
    # A failover may have dropped what the last samples of the term before had seen.
    while history and history[-1][1].offset > position.offset:
        history.pop()
    history.append((at, position))
    while history[-1][0] - history[0][0] > HISTORY:
        history.popleft()


def history_of(group: str, state: State) -> deque[tuple[timedelta, Position]]:
    """Return the history of a group, kept from the first read that needs it."""
    history = state.histories.get(group)
    if history is None:
        history = state.histories[group] = deque()
        sample_group(group, state)
    return history


def position_at_age(group: str, age: timedelta, state: State) -> Position | None:
    """Return a position at or past the one that the primary had `age` ago."""
    history = history_of(group, state)
    oldest = state.clock.monotonic() - age
    index = bisect_left(history, oldest, key=lambda entry: entry[0])
    return history[index][1] if index < len(history) else None


def sample_group(group: str, state: State) -> None:
    """Use the newest known positions of a group's endpoints."""
    row = state.groups.get(group)
    primary = state.endpoints.get(row.primary) if row is not None else None
    if primary is None:
        return
    if primary.is_primary:
        add_sample(group, primary.position, primary.sampled_at, state)
    history = state.histories[group]
    for endpoint in membership.group_endpoints(group, state):
        if endpoint is not primary:
            replica_lag.update_estimate(endpoint, history, state)


def run(state: State) -> None:
    """Sample the groups whose history is kept."""
    now = state.clock.monotonic()
    if now - state.histories_sampled_at < RUN_INTERVAL:
        return
    state.histories_sampled_at = now
    for group in state.histories:
        sample_group(group, state)
