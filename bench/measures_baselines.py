"""Baselines that are simulated on the arrivals which a measurement recorded.

The simulations tell what simpler schemes would have done with the same requests: one
central token bucket, a fixed part of the rate for each instance, and a queue with the
order first come, first served.
"""

from collections import defaultdict
from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import define, frozen


@define
class TokenBucket:
    """A token bucket that is full at time 0; times are in seconds."""

    rate: float  # Tokens/s.
    burst: float
    tokens: float = -1  # Set to `burst` at the start.
    filled_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self.tokens = self.burst

    def take_token(self, at: float) -> bool:
        """Take a token if there is one, and return whether there was."""
        earned = (at - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.filled_at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def admitted_centrally(times: Iterable[float], rate: float, burst: float) -> list[bool]:
    """Return for each arrival whether one bucket for all instances admits it."""
    bucket = TokenBucket(rate, burst)
    return [bucket.take_token(at) for at in times]


def admitted_by_parts(
    arrivals: Iterable[tuple[float, int]], rate: float, burst: float, instances: int
) -> list[bool]:
    """Return for each arrival (time, instance) whether its instance's bucket admits it.

    Each instance has an equal part of rate and burst.
    """
    buckets: dict[int, TokenBucket] = defaultdict(
        lambda: TokenBucket(rate / instances, burst / instances)
    )
    return [buckets[instance].take_token(at) for at, instance in arrivals]


@frozen
class Queue:
    """A queue in front of slots, in the order first come, first served."""

    slots: int  # Requests that are served at the same time.
    service_s: float  # Time for which a request holds a slot.
    places: int  # Limit of the queue's length; further arrivals are refused.

    def simulate(self, times: Iterable[float]) -> list[float | None]:
        """Return the latency of each arrival in seconds, or None if it is refused."""
        free_at = [0.0] * self.slots
        starts: list[float] = []  # Start times of queued requests, as a heap.
        result: list[float | None] = []
        for at in times:
            while starts and starts[0] <= at:
                heappop(starts)
            if len(starts) >= self.places:
                result.append(None)
                continue
            start = max(at, heappop(free_at))
            heappush(free_at, start + self.service_s)
            heappush(starts, start)
            result.append(start + self.service_s - at)
        return result
