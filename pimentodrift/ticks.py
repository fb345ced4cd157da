"""The pace of the ticks and the outbox, which `core` and `session_core` share."""

from datetime import timedelta

from .clock import NEVER
from .tables import State

TICK = timedelta(milliseconds=20)
# The interval while nothing waits for a tick: an instance that serves little would
# otherwise spend most of its processor time on ticks.
REST_TICK = timedelta(milliseconds=100)
# A tick that comes a little early still counts as that of the interval's end.
EARLY = TICK / 2


def tick_interval(state: State) -> timedelta:
    """Return the time until the next tick."""
    return TICK


def begin_steady_run(state: State) -> bool:
    """Return whether the systems that keep the steady pace run in this tick.

    They run as often as at rest, however many statements are in progress.
    """
    now = state.clock.monotonic()
    if now + EARLY < state.steady_run_at + REST_TICK:
        return False
    state.steady_run_at = now
    return True


def hasten_steady_run(state: State) -> None:
    """Let the systems that keep the steady pace run in the next tick."""
    state.steady_run_at = NEVER


def take_outbox(state: State) -> list[object]:
    """Return the messages for the shell and empty the outbox."""
    messages, state.outbox = state.outbox, []
    return messages
