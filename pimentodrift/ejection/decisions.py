"""Judges an endpoint by the results of its statements, compared with its group's.

Answers to an endpoint that is registered and opens connections, but fails a part of its
statements, answers far slower than the others, or goes down and up again and again.
What an endpoint reports about itself doesn't count.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from enum import StrEnum
from statistics import median_low

from attrs import frozen

from ..session_messages import Fault

WINDOW = timedelta(seconds=5)  # Has some 20 statements of a replica in a large fleet.
# One or two failures in a window happen at healthy endpoints, as when one is replaced.
MIN_FAILURES = 3
MIN_FAILED_FRACTION = 0.2
# An error of a client's own statement fails at every endpoint, so errors count only
# from several workspaces and above what the group's other endpoints have.
MIN_ERROR_WORKSPACES = 2
GROUP_FACTOR = 3
MIN_TIMES = 8  # Fewer are no measure of a usual time.
SLOW_FACTOR = 4
# Smaller differences are of the network and of single long statements.
MIN_SLOW_EXCESS = timedelta(milliseconds=15)
# An endpoint that is replaced or cut off goes down once or twice.
FLAPS = 3
FLAP_WINDOW = timedelta(seconds=30)
FIRST_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=10)
MAX_DOUBLINGS = 4  # More than the longest ejection needs.
# After this time without an ejection, the next one is a first one again. It is longer
# than the period of an endpoint that goes down and up every few seconds.
FORGET_AFTER = timedelta(seconds=30)

# What says that a statement was refused, not that the endpoint is faulty.
HEALTHY_FAULTS = frozenset(Fault) - {Fault.FAILED, Fault.TIMED_OUT}


class Reason(StrEnum):
    """Why an endpoint is ejected."""

    FAILING = "failing"
    SLOW = "slow"
    FLAPPING = "flapping"  # It went down and up again and again.


@frozen
class Result:
    """The result of a statement, of a connection that was lost or did not open."""

    at: timedelta
    workspace: str = ""
    database: str = ""
    fault: Fault | None = None  # None if it was answered.
    # Time at the endpoint; None if it was not measured, as behind a queue.
    time: timedelta | None = None
    is_lost: bool = False  # The connection was lost, or none was opened.

    @property
    def is_failure(self) -> bool:
        """Return whether it tells against the endpoint."""
        return self.is_lost or self.fault in (Fault.FAILED, Fault.TIMED_OUT)


def failed_fraction(results: Collection[Result]) -> float:
    """Return the part of the results that tell against an endpoint."""
    return sum(item.is_failure for item in results) / len(results) if results else 0.0


def is_failing(results: Collection[Result], others: Collection[Result]) -> bool:
    """Return whether an endpoint fails a part of its statements that others serve."""
    failures = [item for item in results if item.is_failure]
    fraction = failed_fraction(results)
    if len(failures) < MIN_FAILURES or fraction < MIN_FAILED_FRACTION:
        return False
    if fraction < GROUP_FACTOR * failed_fraction(others):
        return False
    has_losses = any(item.fault is not Fault.FAILED for item in failures)
    workspaces = {item.workspace for item in failures}
    return has_losses or len(workspaces) >= MIN_ERROR_WORKSPACES


def usual_times(results: Iterable[Result]) -> dict[str, timedelta]:
    """Return the median time of an endpoint's statements, by database name."""
    times: defaultdict[str, list[timedelta]] = defaultdict(list)
    for item in results:
        if item.time is not None:
            times[item.database].append(item.time)
    return {
        name: median_low(items)
        for name, items in times.items()
        if len(items) >= MIN_TIMES
    }


def is_slow(
    own: Mapping[str, timedelta], others: Iterable[Mapping[str, timedelta]]
) -> bool:
    """Return whether statements of any database are slow for their group.

    Endpoints have different kinds of statements, so those of one database are compared.
    """
    others = list(others)
    for name, time in own.items():
        known = [times[name] for times in others if name in times]
        if not known:
            continue
        usual = median_low([time, *known])
        if time >= usual * SLOW_FACTOR and time - usual >= MIN_SLOW_EXCESS:
            return True
    return False


def is_flapping(
    outages: Collection[timedelta], returned_at: timedelta, now: timedelta
) -> bool:
    """Return whether an endpoint that began to fail at these times flaps.

    Once it has been ejected, it is again for each outage after its return.
    """
    recent = [at for at in outages if now - at <= FLAP_WINDOW]
    return len(recent) >= FLAPS and max(recent) > returned_at


def judge(
    results: Collection[Result], others: Collection[Collection[Result]]
) -> Reason | None:
    """Return why its results tell that an endpoint should be ejected, if they do."""
    if is_failing(results, [item for items in others for item in items]):
        return Reason.FAILING
    is_behind = is_slow(usual_times(results), map(usual_times, others))
    return Reason.SLOW if is_behind else None


def may_lose_one(usable: int, in_use: int) -> bool:
    """Return whether half of the usable endpoints, and one, remain without another."""
    remaining = in_use - 1
    return remaining >= 1 and remaining * 2 >= usable


def may_stay_out(usable: int, in_use: int) -> bool:
    """Return whether the endpoints in use suffice for those that are ejected."""
    return in_use >= 1 and in_use * 2 >= usable


def ejection_time(ejections: int) -> timedelta:
    """Return how long an endpoint is ejected, given how often it was before."""
    return min(FIRST_EJECTION * (1 << min(ejections, MAX_DOUBLINGS)), MAX_EJECTION)
