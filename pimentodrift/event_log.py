"""Writes events as JSON lines, within a budget and without ever blocking the loop.

Each weight of events has its own budget of lines a second, so that refusals are kept
when there are many successes. A reader that stops reading costs lines, not requests:
what does not fit into the buffer is left out and counted.
"""

import os
from collections import Counter
from collections.abc import Callable
from time import monotonic
from typing import Any

import eliot  # type: ignore[import-untyped]
import orjson
from attrs import define, field

from .event_base import Event, EventCategory, event_name
from .log_events import LinesLeftOut
from .tables import State

# Lines a second by weight. An instance serves some dozens of statements a second; a
# line takes about 50 microseconds of a processor.
BUDGETS = {
    EventCategory.SUCCESS: 20,
    EventCategory.REFUSAL: 60,
    EventCategory.CHANGE: 200,
}
# Holds the lines of some seconds for a reader that pauses.
BUFFER_BYTES = 256 * 1024
PREFIX = "pimentodrift:"
PERIOD_S = 1.0


@define(eq=False)
class LineWriter:
    """Bytes on their way to a descriptor that may not take them."""

    descriptor: int
    buffer: bytearray = field(factory=bytearray)
    dropped: int = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message of eliot as a line."""
        # The time comes first, so that sorting the lines of several logs orders them.
        ordered = {"timestamp": message["timestamp"], **message}
        line = orjson.dumps(ordered, default=str) + b"\n"
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.buffer += line

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without a log.
                self.buffer.clear()
                return
            del self.buffer[:written]


@define(eq=False)
class EventLog:
    """The log of an instance."""

    instance: str
    writer: LineWriter
    monotonic: Callable[[], float]
    period_began: float = 0.0
    written: Counter[EventCategory] = field(factory=Counter)
    left_out: Counter[str] = field(factory=Counter)

    def write(self, events: list[Event]) -> None:
        """Write events, and what was left out in the period before."""
        now = self.monotonic()
        if now - self.period_began >= PERIOD_S:
            self.begin_period(now)
        for event in events:
            self.write_one(event)
        self.writer.flush()

    def begin_period(self, now: float) -> None:
        """Renew the budgets."""
        self.period_began = now
        self.written.clear()
        if self.writer.dropped:
            self.left_out["buffer-full"] += self.writer.dropped
            self.writer.dropped = 0
        if self.left_out:
            counts, self.left_out = dict(self.left_out), Counter()
            self.send(LinesLeftOut(counts))

    def write_one(self, event: Event) -> None:
        """Write an event within the budget of its weight."""
        if self.written[event.category] >= BUDGETS[event.category]:
            self.left_out[event_name(type(event))] += 1
            return
        self.written[event.category] += 1
        self.send(event)

    def send(self, event: Event) -> None:
        """Pass an event on to eliot."""
        name = PREFIX + event_name(type(event))
        fields = event.fields()
        eliot.log_message(message_type=name, instance=self.instance, **fields)


def null_log(state: State) -> EventLog:
    """Return a log whose lines go nowhere."""
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    return EventLog(state.settings.name, writer, monotonic)


def open_log(
    instance: str, descriptor: int, monotonic: Callable[[], float]
) -> EventLog:
    """Send eliot's messages to a descriptor, which must not block from now on."""
    if not os.isatty(descriptor):  # A terminal belongs to other programs too.
        os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    return EventLog(instance, writer, monotonic)
