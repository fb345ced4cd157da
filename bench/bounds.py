"""Bounds of `make bench`, from the targets in docs/design.md, section 2.

A bound states a target and is not adapted to a machine or a build: a bound that is
missed stays as it is and is reported.
"""

from enum import Enum

from attrs import field, frozen


class Limit(Enum):
    """The comparison with the limit that a figure has to satisfy."""

    AT_LEAST = ">="
    AT_MOST = "<="
    BELOW = "<"


@frozen
class Bound:
    """A limit and the side of it on which a figure has to be."""

    limit: Limit
    value: float

    def holds(self, figure: float) -> bool:
        """Return whether a figure is within the bound."""
        if self.limit is Limit.AT_LEAST:
            return figure >= self.value
        if self.limit is Limit.AT_MOST:
            return figure <= self.value
        return figure < self.value

    def __str__(self) -> str:
        """Return the bound as the results' table shows it."""
        return f"{self.limit.value} {self.value:g}"


@frozen
class Figure:
    """A measured value, with a bound if the design states a target for it."""

    name: str
    value: float
    unit: str
    bound: Bound | None = None
    note: str = ""
    details: dict[str, object] = field(factory=dict)

    @property
    def holds(self) -> bool:
        """Return whether the figure is within its bound, or has none."""
        return self.bound is None or self.bound.holds(self.value)


# --- Measures and targets

REPLICA_SHARE = Bound(Limit.AT_LEAST, 95)  # Percent of reads that replicas serve.
WRITE_GAP_MEDIAN = Bound(Limit.BELOW, 1500)  # Milliseconds from a primary's kill.
WRITE_GAP_WORST = Bound(Limit.BELOW, 3000)  # Milliseconds, worst of 20 kills.
STEADY_REFUSALS = Bound(Limit.AT_MOST, 0)  # Refused requests within the rate limit.
# Percent of the requests within the rate limit that are refused after the kill of their
# workspace's allocator.
ALLOCATOR_KILL_REFUSALS = Bound(Limit.BELOW, 0.1)
# Percent of the worst-served workspace's requests that are answered; the workspace
# sends less than its rate or share entitles it to.
WORST_SERVED = Bound(Limit.AT_LEAST, 95)
HOP_LATENCY = Bound(Limit.BELOW, 1)  # Milliseconds that a hop adds to an idle read.
# Seconds until a publication is in force at every instance.
PUBLICATION = Bound(Limit.AT_MOST, 4)

# --- Requirements 1, 2 and 7

STALE_READS = Bound(Limit.AT_MOST, 0)  # Reads older than the session's own data.
LOST_WRITES = Bound(Limit.AT_MOST, 0)  # Writes that contradict their answers.
OVER_RATE = Bound(Limit.AT_MOST, 100)  # Percent of what rate and burst admit.

# --- Target scale: 12 million statements/s over 5,800 instances

STATEMENTS_PER_INSTANCE = Bound(Limit.AT_LEAST, round(12_000_000 / 5_800))
