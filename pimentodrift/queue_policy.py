"""Decides whether a statement may wait for a connection to an endpoint, and how long.

Answers an endpoint that gets more statements than its connections can carry. What
would be late anyway is refused on arrival, so its client can go elsewhere and the
statements behind it are served in time. The other policies are baselines.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen


class QueuePolicy(StrEnum):
    """When a statement is refused instead of queued."""

    EXPECTED_WAIT = "expected-wait"  # The queue costs too much of the objective.
    QUEUE_LENGTH = "queue-length"  # As many wait as there are connections.
    FIRST_COME = "first-come"  # Never; it waits as long as its route allows.


# Part of the objective that a statement may spend in a queue.
MAX_QUEUE_FRACTION = 0.5
MIN_RETRY_AFTER = timedelta(milliseconds=100)


@frozen
class Queue:
    """What waits at an endpoint; `service` is a statement's usual time there."""

    waiting: int
    connections: int
    service_time: timedelta

    @property
    def expected_wait(self) -> timedelta:
        """Return how long a new statement would wait for a connection."""
        return self.service_time * (self.waiting / (self.connections or 1))


def max_wait(
    policy: QueuePolicy, objective: timedelta, timeout: timedelta
) -> timedelta:
    """Return how long a statement may wait at most."""
    if policy is QueuePolicy.FIRST_COME:
        return timeout
    return objective * MAX_QUEUE_FRACTION


def arrival_retry_after(
    policy: QueuePolicy, queue: Queue, objective: timedelta
) -> timedelta | None:
    """Return when a refused statement should come back; None if it may wait."""
    match policy:
        case QueuePolicy.FIRST_COME:
            return None
        case QueuePolicy.QUEUE_LENGTH:
            is_full = queue.waiting >= max(1, queue.connections)
            return max(MIN_RETRY_AFTER, queue.expected_wait) if is_full else None
        case QueuePolicy.EXPECTED_WAIT:
            excess = queue.expected_wait - objective * MAX_QUEUE_FRACTION
            return max(MIN_RETRY_AFTER, excess) if excess > timedelta(0) else None
