"""Samples the positions of endpoints, by which an entry chooses a replica for a read.

The samples only decide which endpoint is asked first; the owner checks the position in
the batch of the read. The history of a group's primary turns a maximum age into a
position: the first sample that is not older than the age is at or past the position
that the primary had then. Without such a sample no replica counts as fresh enough.
"""

from bisect import bisect_left
from collections import deque
from datetime import timedelta

from . import membership, replica_lag
from .messages import Position
from .tables import State

HISTORY_DURATION = timedelta(seconds=60)
# Shorter than the interval of the heartbeats that bring positions (200 ms).
RUN_INTERVAL = timedelta(milliseconds=100)
# Least time between two samples of a history; bounds those that replies add.
SAMPLE_INTERVAL = timedelta(milliseconds=20)


def record_position(
    endpoint: str, position: Position, at: timedelta, state: State
) -> None:
    """Record a position that an endpoint reported at the time `at` or later."""
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
    """Add a sample of a primary's position to the group's history, if it has one."""
    history = state.histories.get(group)
    if history is None or (history and at - history[-1][0] < SAMPLE_INTERVAL):
        return
    if history and position.term < history[-1][1].term:
        return  # The sample comes from a replaced primary.
    # A failover may have dropped the end of the log that earlier samples had counted.
    while history and history[-1][1].offset > position.offset:
        history.pop()
    history.append((at, position))
    while history[-1][0] - history[0][0] > HISTORY_DURATION:
        history.popleft()


def history_of(group: str, state: State) -> deque[tuple[timedelta, Position]]:
    """Return the history of a group, which starts at the first call for the group."""
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
    """Update a group's history and replica lags from the newest known positions."""
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
    """Sample the groups that have a history, every RUN_INTERVAL."""
    now = state.clock.monotonic()
    if now - state.histories_sampled_at < RUN_INTERVAL:
        return
    state.histories_sampled_at = now
    for group in state.histories:
        sample_group(group, state)
