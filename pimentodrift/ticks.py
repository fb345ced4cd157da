"""The tick and the outbox, which `core` and `session_core` share."""

from datetime import timedelta

from .tables import State

TICK = timedelta(milliseconds=20)


def take_outbox(state: State) -> list[object]:
    """Return the messages for the shell and empty the outbox."""
    messages, state.outbox = state.outbox, []
    return messages
