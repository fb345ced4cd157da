"""Positions that reads of a stated age must see."""

from datetime import timedelta

from pimentodrift import leadership
from pimentodrift.messages import Position

from .session_support import make_harness

MS = timedelta(milliseconds=1)


def test_read_needs_the_earliest_position_that_is_young_enough() -> None:
    """Guards against replica reads refused for writes that they need not see."""
    state = make_harness().state
    now = state.clock.monotonic()
    group = next(iter(state.leaderships))
    for age, offset in ((900, 10), (600, 20), (300, 30), (280, 31)):
        leadership.record_proof(group, "e1", Position(1, offset), now - age * MS, state)

    def needed(age: int) -> Position | None:
        return leadership.earliest_position(group, now - age * MS, state)

    assert needed(1000) == Position(1, 10)
    assert needed(700) == Position(1, 20)
    assert needed(600) == Position(1, 20)
    assert needed(290) == Position(1, 31)
    assert needed(100) is None
    # Positions of a replaced primary prove nothing for the next one.
    leadership.record_proof(group, "e2", Position(2, 5), now - 200 * MS, state)
    assert needed(1000) == Position(2, 5)
