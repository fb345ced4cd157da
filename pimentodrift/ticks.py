"""What every assembly of the core's systems has: the tick and the outbox."""

from datetime import timedelta

from .tables import State

TICK = timedelta(milliseconds=20)


def take_outbox(state: State) -> list[object]:
    """Remove and return the messages for the shell."""
    messages, state.outbox = state.outbox, []
    return messages
