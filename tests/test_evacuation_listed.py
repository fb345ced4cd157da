"""An evacuation in front of endpoints that the store lists (`core`)."""

from datetime import timedelta
from unittest.mock import patch

import pytest
from attrs import evolve

from pimentodrift.evacuation.tracking import EVACUATED, OWN_KIND, RESTORED
from pimentodrift.tables import Presence

from .fake_fleet import Fleet

BOUND = timedelta(seconds=5)
ZONE = "z1"


def make_fleet(evacuated: tuple[str, ...]) -> Fleet:
    """Return a fleet that follows evacuations, with databases in a data centre."""
    fleet = Fleet()
    for state in fleet.states.values():
        state.settings = evolve(state.settings, evacuation_bound=BOUND)
    for name in evacuated:
        value = fleet.objects["endpoint", name].value
        assert value is not None
        fleet.put("endpoint", name, {**value, "data_centre": ZONE})
    fleet.run(1000)
    for state in fleet.states.values():
        state.view.confirmed_at = fleet.clock.time
    fleet.put(OWN_KIND, ZONE, {"state": EVACUATED})
    return fleet


def test_primary_is_replaced() -> None:
    """Guards against a primary that stays in an evacuated data centre."""
    fleet = make_fleet(("d1",))
    fleet.write("a", 1)
    fleet.run(3000)
    fleet.write("b", 2)
    fleet.run(3000)
    for state in fleet.states.values():
        assert state.groups["g"].primary in ("d2", "d3")
        assert state.evacuations[ZONE].done_at is not None
    assert len(fleet.acknowledged) == 2
    fleet.assert_acknowledged_writes_survive()
    fleet.put(OWN_KIND, ZONE, {"state": RESTORED})
    fleet.run(100)
    for state in fleet.states.values():
        assert not state.evacuations
        assert state.endpoints["d1"].presence is Presence.LIVE
    patch.stopall()


@pytest.mark.parametrize("after_ms", [1000, 4200])
def test_primary_that_cannot_be_replaced(after_ms: int) -> None:
    """Guards against work after the deadline where all endpoints are evacuated."""
    fleet = make_fleet(("d1", "d2", "d3"))
    fleet.run(after_ms)
    before = len(fleet.acknowledged)
    fleet.write("a", 1)
    fleet.run(1000)
    assert len(fleet.acknowledged) - before == (after_ms < 4000)
    patch.stopall()
