"""Baselines that are computed from recorded arrivals, without another code path.

They answer what simpler schemes would have done with the same requests: one central
token bucket, static parts of a rate for each instance, and first come first served.
"""

from collections import defaultdict
from collections.abc import Iterable
from heapq import heappop, heappush

from attrs import define, frozen


@define
class TokenBucket:
    """A token bucket that is full at time 0."""

    rate: float
    burst: float
    tokens: float = -1
    filled_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self.tokens = self.burst

    def take_token(self, at: float) -> bool:
        """Take a token if there is one."""
        earned = (at - self.filled_at) * self.rate
        self.tokens = min(self.burst, self.tokens + earned)
        self.filled_at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def admitted_centrally(times: Iterable[float], rate: float, burst: float) -> list[bool]:
    """Return which of the arrivals one bucket for all instances admits."""
    bucket = TokenBucket(rate, burst)
    return [bucket.take_token(at) for at in times]


def admitted_by_parts(
    arrivals: Iterable[tuple[float, int]], rate: float, burst: float, instances: int
) -> list[bool]:
    """Return which (time, instance) arrivals equal parts of the rate admit."""
    buckets: dict[int, TokenBucket] = defaultdict(
        lambda: TokenBucket(rate / instances, burst / instances)
    )
    return [buckets[instance].take_token(at) for at, instance in arrivals]


@frozen
class Queue:
    """A first-come-first-served queue in front of slots."""

    slots: int
    service_s: float  # Time that a request keeps a slot.
    places: int  # Arrivals that find all of them taken are refused.

    def simulate(self, times: Iterable[float]) -> list[float | None]:
        """Return the latency of each arrival in seconds; None if it is refused."""
        free_at = [0.0] * self.slots
        starts: list[float] = []  # Of queued requests, as a heap.
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
