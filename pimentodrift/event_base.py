"""The base class of log events: their names, fields and categories."""

import re
import sys
from enum import IntEnum
from functools import cache
from typing import ClassVar

from attrs import asdict, frozen


class EventCategory(IntEnum):
    """Groups events; the log limits the lines a second of each category separately."""

    SUCCESS = 1
    REFUSAL = 2
    CHANGE = 3


@frozen
class Event:
    """Base class of log events; an event is written as one line."""

    category: ClassVar[EventCategory] = EventCategory.CHANGE

    def fields(self) -> dict[str, object]:
        """Return the fields of the event's line."""
        return asdict(self)


def event_name(event_class: type[Event]) -> str:
    """Return the name under which the log writes an event class."""
    return snake_case(event_class.__name__)


@cache
def snake_case(name: str) -> str:
    """Return a class name in snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def event_classes(base: type[Event] = Event) -> list[type[Event]]:
    """Return the event classes without subclasses; only their objects are written."""
    classes: list[type[Event]] = []
    for event_class in base.__subclasses__():
        # attrs replaces a class with slots by a new one; the replaced class is still
        # listed as a subclass until it is collected.
        module = sys.modules[event_class.__module__]
        if getattr(module, event_class.__name__, event_class) is event_class:
            classes += event_classes(event_class) or [event_class]
    return classes
