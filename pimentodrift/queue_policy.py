"""Decides whether a statement may wait for a token or a connection, and how long.

Guards against an endpoint that gets more statements than its connections can carry. A
statement that would be late is refused on arrival, so that its client can try another
instance and the statements behind it are served in time. This is EXPECTED_WAIT; the
other policies are baselines for comparison.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen


class QueuePolicy(StrEnum):
    """When a statement is refused instead of queued."""

    EXPECTED_WAIT = "expected-wait"  # The wait would take too much of the objective.
    QUEUE_LENGTH = "queue-length"  # As many wait as there are connections.
    FIRST_COME = "first-come"  # Never; statements wait for up to the route's timeout.
    # By priority, deadline and fair shares of time on connections (`service_order`).
    DEADLINE_ORDER = "deadline-order"


# Fraction of the latency objective that a statement may spend in a queue.
MAX_QUEUE_FRACTION = 0.5
MIN_RETRY_AFTER = timedelta(milliseconds=100)
# A workspace that floods is told to come back after at least this time: an earlier
# attempt would meet the same flood.
FLOOD_RETRY_AFTER = timedelta(seconds=1)


@frozen
class Queue:
    """The queue of an endpoint, as far as the policies need it."""

    waiting: int  # Statements in the queue.
    connections: int
    service_time: timedelta  # Usual time of a statement at the endpoint.

    @property
    def expected_wait(self) -> timedelta:
        """Return how long a new statement would wait for a connection."""
        return self.service_time * (self.waiting / (self.connections or 1))


def max_wait(
    policy: QueuePolicy, objective: timedelta, timeout: timedelta
) -> timedelta:
    """Return the longest time that a statement may wait in a queue."""
    if policy is QueuePolicy.FIRST_COME:
        return timeout
    return objective * MAX_QUEUE_FRACTION


def is_wait_over(
    policy: QueuePolicy,
    since_attempt: timedelta,
    since_queued: timedelta,
    objective: timedelta,
    timeout: timedelta,
) -> bool:
    """Return whether a queued statement must be refused.

    While an instance has no connection at all, each attempt to get one begins anew: its
    statements hold up no others, and their clients would find other instances in the
    same state, as after a loss of power, when vanished connections fill the endpoint.
    """
    longest = max_wait(policy, objective, timeout)
    return since_attempt > longest or since_queued > timeout


def arrival_retry_after(
    policy: QueuePolicy, queue: Queue, objective: timedelta
) -> timedelta | None:
    """Return the time after which to retry a refused statement; None if it may wait."""
    match policy:
        case QueuePolicy.FIRST_COME:
            return None
        case QueuePolicy.QUEUE_LENGTH:
            is_full = queue.waiting >= max(1, queue.connections)
            return max(MIN_RETRY_AFTER, queue.expected_wait) if is_full else None
        case QueuePolicy.EXPECTED_WAIT | QueuePolicy.DEADLINE_ORDER:
            excess = queue.expected_wait - objective * MAX_QUEUE_FRACTION
            return max(MIN_RETRY_AFTER, excess) if excess > timedelta(0) else None


def token_retry_after(
    expected_wait: timedelta | None, objective: timedelta
) -> timedelta | None:
    """Return when to retry a statement without a token; None if it may wait for one.

    Answers to a workspace that constantly sends more than its rate: if all its
    statements waited, each token would go to one that is late already. `expected_wait`
    is None if it is not known.
    """
    if expected_wait is None or expected_wait <= objective * MAX_QUEUE_FRACTION:
        return None
    return max(FLOOD_RETRY_AFTER, expected_wait)
