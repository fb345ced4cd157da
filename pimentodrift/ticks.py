"""The tick and the outbox, which `core` and `session_core` share."""

from datetime import timedelta

from .tables import State

TICK = timedelta(milliseconds=20)
# The interval while nothing waits for a tick: an instance that serves little would
# otherwise spend most of its processor time on ticks.
REST_TICK = timedelta(milliseconds=100)


def tick_interval(state: State) -> timedelta:
    """Return the time until the next tick."""
    return TICK


def take_outbox(state: State) -> list[object]:
    """Return the messages for the shell and empty the outbox."""
    messages, state.outbox = state.outbox, []
    return messages
