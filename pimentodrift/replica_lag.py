"""Estimates replication lag, to tell whether a replica has a session's write by now.

Samples of a replica's position arrive a few times a second. A session that waited for
the next sample would read from the primary for longer than the lag itself. Each sample
bounds the lag by comparison with the history of the primary's positions; a read goes to
the replica once the write is older than the estimate. The owner checks the position in
any case, and a replica that turns out to be behind gets a higher estimate.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from datetime import timedelta

from .messages import Position
from .tables import EndpointRow, LagRow, State
from .tokens import reaches

# Added to the estimate for the jitter of the lag and of the samples' times.
LAG_MARGIN = timedelta(milliseconds=10)
# Added to the estimate after a read that reached the replica too early.
MISS_INCREMENT = timedelta(milliseconds=10)
# A replica without samples for this long may have stopped replaying.
MAX_SAMPLE_AGE = timedelta(seconds=1)

History = deque[tuple[timedelta, Position]]


def update_estimate(row: EndpointRow, history: History, state: State) -> None:
    """Narrow the estimate of a replica's lag by its newest sample."""
    lag = state.lags.setdefault(row.name, LagRow(row.name))
    if row.sampled_at <= lag.sampled_at:
        return
    lag.sampled_at = row.sampled_at
    # The primary reached the replica's offset after the last sample below it and passed
    # it before the first sample above it. Samples with the same offset bound nothing: a
    # replica that has caught up does not show how long that took.
    before = bisect_left(history, row.position.offset, key=offset_of) - 1
    after = bisect_right(history, row.position.offset, key=offset_of)
    if before >= 0:
        upper = max(timedelta(0), row.sampled_at - history[before][0])
        lag.lag = upper if lag.lag is None else min(lag.lag, upper)
    if after < len(history) and lag.lag is not None:
        lag.lag = max(lag.lag, row.sampled_at - history[after][0])


def offset_of(entry: tuple[timedelta, Position]) -> int:
    """Return the log offset of a sample of the history."""
    return entry[1].offset


def has_reached(row: EndpointRow, minimum: Position, state: State) -> bool:
    """Return whether a replica is believed to have reached a position."""
    if reaches(row.position, minimum):
        return True
    lag = state.lags.get(row.name)
    history = state.histories.get(row.group)
    if lag is None or lag.lag is None or not history:
        return False
    now = state.clock.monotonic()
    if row.position.term < minimum.term or now - row.sampled_at > MAX_SAMPLE_AGE:
        return False
    index = bisect_left(history, minimum.offset, key=offset_of)
    if index == len(history) or history[index][1].term < minimum.term:
        return False
    return now - history[index][0] >= lag.lag + LAG_MARGIN


def catch_up_time(
    row: EndpointRow, minimum: Position, state: State
) -> timedelta | None:
    """Return how long a replica will take to reach a position; None if unknown."""
    lag = state.lags.get(row.name)
    now = state.clock.monotonic()
    if lag is None or lag.lag is None or now - row.sampled_at > MAX_SAMPLE_AGE:
        return None
    if row.position.term < minimum.term:
        return None
    history = state.histories.get(row.group) or deque()
    index = bisect_left(history, minimum.offset, key=offset_of)
    # A position past the end of the history counts as reached by the primary just now.
    reached_at = history[index][0] if index < len(history) else now
    return max(timedelta(0), reached_at + lag.lag + LAG_MARGIN - now)


def raise_estimate(endpoint: str, state: State) -> None:
    """Raise the estimate of a replica that was behind the position a read needed."""
    lag = state.lags.get(endpoint)
    if lag is not None and lag.lag is not None:
        lag.lag += MISS_INCREMENT
        state.counters["replica_lag.missed"] += 1
