"""Tests of the arithmetic of the benchmarks: baselines, bounds and failover stages.

They guard against results that show the system as better or worse than it is.
"""

import pytest

from bench.bounds import Bound, Limit
from bench.measures_baselines import Queue, admitted_by_parts, admitted_centrally
from bench.measures_failover import stage_times


@pytest.mark.parametrize(
    ("times", "admitted"),
    [
        ([0, 0, 0], [True, True, False]),
        ([0, 0, 0.4, 0.5], [True, True, False, True]),
        # After a time without arrivals, the bucket holds no more than the burst.
        ([0, 100, 100, 100], [True, True, True, False]),
    ],
)
def test_central_bucket_admits_rate_and_burst(
    times: list[float], admitted: list[bool]
) -> None:
    assert admitted_centrally(times, rate=2, burst=2) == admitted


def test_equal_parts_refuse_callers_that_use_one_instance() -> None:
    at_one_instance = [(0.0, 0)] * 4
    spread = [(0.0, index) for index in range(4)]
    assert admitted_by_parts(at_one_instance, 4, 4, 4).count(True) == 1
    assert admitted_by_parts(spread, 4, 4, 4).count(True) == 4


@pytest.mark.parametrize(
    ("slots", "places", "latencies"),
    [
        (1, 9, [1, 2, 3]),
        (2, 9, [1, 1, 2]),
        (1, 1, [1, 2, None]),  # The second request takes the only place in the queue.
    ],
)
def test_queue_serves_in_order_and_refuses_when_full(
    slots: int, places: int, latencies: list[float | None]
) -> None:
    queue = Queue(slots, service_s=1, places=places)
    assert queue.simulate([0, 0, 0]) == latencies


@pytest.mark.parametrize(
    ("limit", "figure", "holds"),
    [
        (Limit.AT_LEAST, 95, True),
        (Limit.AT_LEAST, 94.9, False),
        (Limit.AT_MOST, 95, True),
        (Limit.AT_MOST, 95.1, False),
        (Limit.BELOW, 95, False),
    ],
)
def test_bound_at_and_beside_its_limit(
    limit: Limit, figure: float, holds: bool
) -> None:
    assert Bound(limit, 95).holds(figure) is holds


def test_stages_are_those_of_the_attempt_that_succeeded() -> None:
    def event(term: int, stage: str, at: float) -> dict[str, object]:
        return {"group": "g", "term": term, "stage": stage, "timestamp": at}

    stages = ["fencing", "choosing", "promoting", "following", "recording"]
    events = [event(2, "fencing", 10.5)]
    events += [event(3, stage, 11 + index) for index, stage in enumerate(stages)]
    found = stage_times(events, "g", killed_at=10, end=15.25)
    assert list(found.values()) == [1000, 1000, 1000, 1000, 1000, 250]
    assert stage_times(events[:1], "g", killed_at=10, end=15.25) == {}
