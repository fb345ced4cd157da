"""Bounds of `make bench`, from the targets in docs/design.md, section 2.

A bound states a target and is not fitted to a machine or a build: a missed bound stays
and is reported.
"""

from enum import Enum

from attrs import field, frozen


class Limit(Enum):
    """On which side of the limit a figure has to be."""

    AT_LEAST = ">="
    AT_MOST = "<="
    BELOW = "<"


@frozen
class Bound:
    """The limit of one figure."""

    limit: Limit
    value: float

    def holds(self, figure: float) -> bool:
        """Return whether a figure keeps the bound."""
        if self.limit is Limit.AT_LEAST:
            return figure >= self.value
        if self.limit is Limit.AT_MOST:
            return figure <= self.value
        return figure < self.value

    def __str__(self) -> str:
        """Return the bound as the table shows it."""
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
        """Return whether the figure keeps its bound, if it has one."""
        return self.bound is None or self.bound.holds(self.value)


# --- Measures and targets

REPLICA_SHARE = Bound(Limit.AT_LEAST, 95)  # Percent of reads.
WRITE_GAP_MEDIAN = Bound(Limit.BELOW, 1500)  # Milliseconds from the kill.
WRITE_GAP_WORST = Bound(Limit.BELOW, 3000)  # Milliseconds, worst of 20.
STEADY_REFUSALS = Bound(Limit.AT_MOST, 0)  # Requests refused inside the rate.
ALLOCATOR_KILL_REFUSALS = Bound(
    Limit.BELOW, 0.1
)  # Percent, through an allocator's death.
WORST_SERVED = Bound(Limit.AT_LEAST, 95)  # Percent of what the workspace is owed.
HOP_LATENCY = Bound(Limit.BELOW, 1)  # Milliseconds a hop on an idle read.
PUBLICATION = Bound(Limit.AT_MOST, 4)  # Seconds until every instance has it.

# --- Requirements 1, 2 and 7

STALE_READS = Bound(Limit.AT_MOST, 0)
LOST_WRITES = Bound(Limit.AT_MOST, 0)
OVER_RATE = Bound(Limit.AT_MOST, 100)  # Percent of rate and burst.

# --- Target scale: 12 million statements/s over 5,800 instances

STATEMENTS_PER_INSTANCE = Bound(Limit.AT_LEAST, round(12_000_000 / 5_800))
