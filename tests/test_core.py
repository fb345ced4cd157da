"""The tick runs every system on an empty state."""

from pimentodrift import core

from .support import make_state


def test_tick_on_empty_state() -> None:
    """Guards against systems that need a configuration at the start."""
    state = make_state()
    core.tick(state)
    assert state.groups == {}
