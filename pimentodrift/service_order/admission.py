"""Decides which statements a queue refuses on arrival and when they should come back.

Answers to more statements than an endpoint can serve in time. What can't be in time is
refused at once. The refused ones get times one after the other, so that they return in
order: if all came back when the queue has drained, most would be refused again.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from attrs import frozen

from ..queue_policy import MIN_RETRY_AFTER
from .decisions import PASSED_FACTOR, ZERO, Group, Order, Waiting, count_ahead

# Fraction of the time left that the expected wait may take: service times vary, and
# statements of higher priority may still arrive.
MAX_WAIT_FRACTION = 0.8
# Part of an endpoint's time that returning statements are given; the rest is for new
# ones, which would otherwise push the returning ones out again.
BOOKED_FRACTION = 0.5
# The longest budgets of clients are 4 to 8 s; a longer time would only be a guess.
MAX_RETRY_AFTER = timedelta(seconds=8)


@frozen
class Capacity:
    """How fast an endpoint works: statements run at a time, and the time to the next.

    `running_left` is the time on connections that running statements still need.
    """

    max_running: int
    running_left: timedelta = ZERO

    def time_for(self, work: timedelta) -> timedelta:
        """Return how long an amount of time on connections takes."""
        return work / self.max_running


def expected_wait(
    item: Waiting,
    groups: Iterable[Group],
    order: Order,
    capacity: Capacity,
    booked_left: timedelta,
) -> timedelta:
    """Return the expected wait of a new statement behind those that go before it."""
    ahead, lower = capacity.running_left, ZERO
    for group in groups:
        work = group.first.cost * count_ahead(group, item, order)
        ahead += work
        if group.first.priority > item.priority:
            lower += group.work - work
    # Lower priorities get their share of the time even before it.
    ahead += min(lower, ahead / PASSED_FACTOR)
    return with_bookings(capacity.time_for(ahead), booked_left)


def with_bookings(wait: timedelta, booked_left: timedelta) -> timedelta:
    """Return a wait during which returning statements take their part of the time."""
    slowed = wait / (1 - BOOKED_FRACTION)
    return min(slowed, wait + max(ZERO, booked_left) * BOOKED_FRACTION)


def excess(item: Waiting, wait: timedelta) -> timedelta | None:
    """Return by how much a statement's wait is too long; None if it may wait.

    One that is late already may wait while its answer is of use, since `rank` puts it
    behind all that can be in time.
    """
    left = item.timeout_left if item.is_late else item.objective_left
    too_long = wait - (left - item.cost) * MAX_WAIT_FRACTION
    return too_long if too_long > ZERO else None


def booked_left(
    booked_until: Mapping[int, timedelta], priority: int, now: timedelta
) -> timedelta:
    """Return how long statements that were refused before still come back."""
    ends = [end for other, end in booked_until.items() if other <= priority]
    return max(ZERO, max(ends, default=ZERO) - now)


def book(
    item: Waiting,
    too_long: timedelta,
    booked_until: Mapping[int, timedelta],
    capacity: Capacity,
    now: timedelta,
) -> tuple[timedelta, dict[int, timedelta]]:
    """Return when a refused statement should come back, and the bookings after it."""
    earliest = max(MIN_RETRY_AFTER, too_long)
    after = max(earliest, booked_left(booked_until, item.priority, now))
    if after >= MAX_RETRY_AFTER:
        return MAX_RETRY_AFTER, dict(booked_until)
    length = capacity.time_for(item.cost) / BOOKED_FRACTION
    booked = {
        priority: end + length if priority > item.priority else end
        for priority, end in booked_until.items()
        if end > now
    }
    booked[item.priority] = now + after + length
    return after, booked
