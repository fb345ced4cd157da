"""What every log event has: a name, fields and a weight."""

import re
from enum import IntEnum
from functools import cache
from typing import ClassVar

from attrs import asdict, frozen


class EventCategory(IntEnum):
    """Which lines are kept when there are too many: the heavier ones."""

    SUCCESS = 1
    REFUSAL = 2
    CHANGE = 3


@frozen
class Event:
    """Base of the events."""

    category: ClassVar[EventCategory] = EventCategory.CHANGE

    def fields(self) -> dict[str, object]:
        """Return the fields of the line."""
        return asdict(self)


def event_name(kind: type[Event]) -> str:
    """Return the name of an event's lines."""
    return snake_case(kind.__name__)


@cache
def snake_case(name: str) -> str:
    """Return the name of a class as the log writes it."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def all_events(base: type[Event] = Event) -> list[type[Event]]:
    """Return the classes of the events that are written."""
    found: list[type[Event]] = []
    for kind in base.__subclasses__():
        found += all_events(kind) or [kind]
    return found
