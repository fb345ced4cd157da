"""The tick runs every system on an empty state."""

from pimentodrift import core

from .support import make_state


def test_tick_of_an_instance_that_knows_nothing() -> None:
    """Guards against systems that assume a configuration at start."""
    state = make_state()
    core.tick(state)
    assert state.groups == {}
