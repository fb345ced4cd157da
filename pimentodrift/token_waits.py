"""Decides how long requests wait for tokens of their workspace's rate.

Answers to a flood, a workspace that constantly sends more than its rate. If all its
requests waited, each token would go to one that is late already; so those that would
wait for too long are refused in favour of those still in time. While an allocator is
replaced, or a backlog of an outage is served, requests wait as long as it may take.
"""

from datetime import timedelta

from .rate_rows import ShareRow, WaitingRequest

# Longest wait for an allocator that does not answer, because a successor may take over.
MAX_ALLOCATOR_WAIT = timedelta(milliseconds=1500)
# Without an answer for this long, longer than two intervals of reports, the allocator
# counts as unreachable.
ALLOCATOR_SILENCE = timedelta(milliseconds=1100)
# Within this time, a successor has the role if one can get it: three pings without an
# answer, the write to the store and the reports to the new allocator.
MAX_TAKEOVER_TIME = timedelta(seconds=3)
# A queue whose first request has waited for longer than a round trip to the allocator
# is one that the allocator cannot empty.
FLOOD_QUEUE_AGE = timedelta(milliseconds=100)
# After an outage, the clients that were not served return all at once. Their backlog
# ends by itself, and a late answer is better than none.
BACKLOG_TIME = timedelta(seconds=3)
MIN_FLOOD_RATE = 1.0  # Requests/s; a lower rate of admissions is no measure of a wait.


def is_unconfirmed(row: ShareRow, now: timedelta) -> bool:
    """Return whether a refusal is for want of an allocator, not for too many requests.

    Either no allocator answers, or the one that does may not give out the rate yet.
    """
    if now < row.denied_until:
        return row.is_denial_locked
    return row.is_locked or unanswered_time(row, now) >= ALLOCATOR_SILENCE


def is_wait_in_vain(row: ShareRow, now: timedelta) -> bool:
    """Return whether a new request would wait for a token that cannot come in time."""
    if now - row.standby_heard_at <= ALLOCATOR_SILENCE:
        return False
    return unanswered_time(row, now) >= MAX_TAKEOVER_TIME


def unanswered_time(row: ShareRow, now: timedelta) -> timedelta:
    """Return for how long no allocator has answered the reports about a share."""
    if row.unanswered_since is None:
        return timedelta(0)
    return now - row.unanswered_since


def count_ahead(row: ShareRow, priority: int) -> int:
    """Return how many waiting requests are admitted before a new one."""
    return sum(other.priority <= priority for other in row.waiting)


def is_flooded(row: ShareRow, now: timedelta) -> bool:
    """Return whether requests are admitted all the time and yet wait."""
    if not row.waiting or row.admission_rate < MIN_FLOOD_RATE:
        return False
    oldest = min(item.since for item in row.waiting)
    has_backlog = now - row.usable_since < BACKLOG_TIME
    return now - oldest >= FLOOD_QUEUE_AGE and not has_backlog


def expected_wait(row: ShareRow, priority: int, now: timedelta) -> timedelta | None:
    """Return how long a new request would wait for a token in a flood; else None."""
    if not is_flooded(row, now):
        return None
    ahead = count_ahead(row, priority)
    return timedelta(seconds=(ahead + 1) / row.admission_rate)


def expired(row: ShareRow, now: timedelta) -> list[WaitingRequest]:
    """Return the requests that reached their deadline or the longest wait."""
    is_flood = is_flooded(row, now)
    return [
        item
        for item in row.waiting
        if now >= min(item.deadline, item.since + longest_wait(item, is_flood))
    ]


def longest_wait(item: WaitingRequest, is_flood: bool) -> timedelta:
    """Return how long a request may wait for a token."""
    if is_flood and item.patience is not None:
        return min(item.patience, MAX_ALLOCATOR_WAIT)
    return MAX_ALLOCATOR_WAIT
