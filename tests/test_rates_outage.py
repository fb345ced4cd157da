"""Many workspaces while the store refuses a third of a large fleet."""

from datetime import timedelta

import pytest

from pimentodrift import rates

from .fleet_load import FleetLoad, make_fleet_load
from .session_support import SECOND

# With all 78 workspaces of the largest deployment the test takes a minute.
INSTANCES, WORKSPACES = 72, 40
RATE = 8.0  # Requests/s of each workspace.
CALM_LOAD = 0.62  # Part of the rate.
OUTAGE = 9 * SECOND
MAX_REFUSED = 0.01


def refused_part(load: FleetLoad, since: timedelta) -> float:
    """Return the part of the requests since a time that were refused."""
    rows = [row for row in load.outcomes if row.asked_at >= since]
    return sum(row.refused_at is not None for row in rows) / len(rows)


def test_a_third_without_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calm workspaces refused because their allocators lost the store.

    Before allocators survived it, 20 % of the requests were refused.
    """
    load = make_fleet_load(INSTANCES, WORKSPACES, RATE)
    monkeypatch.setattr(rates, "handle", load.collect)
    network = load.network
    network.run(2 * SECOND)
    load.offer(CALM_LOAD, 2 * SECOND)
    lost = list(network.nodes)[1::3]
    network.partitions |= {frozenset((name, "store")) for name in lost}
    start = network.time
    load.offer(CALM_LOAD, OUTAGE)
    assert refused_part(load, start) <= MAX_REFUSED
    assert load.worst_excess() <= 1e-6
