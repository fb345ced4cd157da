"""Writes log events as JSON lines, within a rate limit and without blocking the loop.

Each category of events has its own limit of lines a second, so that many successes do
not displace refusals. If the reader of the log stops reading, requests go on: lines
that do not fit into the buffer are dropped and counted.
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

# Rate limits by category. An instance serves some dozens of statements a second; a line
# takes about 50 microseconds of CPU time.
LINES_PER_SECOND = {
    EventCategory.SUCCESS: 20,
    EventCategory.REFUSAL: 60,
    EventCategory.CHANGE: 200,
}
# Holds the lines of a few seconds while the reader pauses.
BUFFER_BYTES = 256 * 1024
PREFIX = "pimentodrift:"
RATE_LIMIT_PERIOD_S = 1.0


@define(eq=False)
class LineWriter:
    """Buffers lines for a descriptor that may be unable to take them at once."""

    descriptor: int
    buffer: bytearray = field(factory=bytearray)
    dropped: int = 0  # Lines that did not fit into the buffer.

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer an eliot message as a line; drop it if the buffer is full."""
        # The timestamp comes first, so that sorting the merged lines of several logs
        # orders them by time.
        ordered = {"timestamp": message["timestamp"], **message}
        line = orjson.dumps(ordered, default=str) + b"\n"
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.buffer += line

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor takes."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; the process goes on without a log.
                self.buffer.clear()
                return
            del self.buffer[:written]


@define(eq=False)
class EventLog:
    """The log of an instance, with the rate limit of each category of events."""

    instance: str
    writer: LineWriter
    monotonic: Callable[[], float]
    period_started_at: float = 0.0  # Monotonic time in seconds.
    written: Counter[EventCategory] = field(factory=Counter)  # In this period.
    omitted: Counter[str] = field(factory=Counter)  # Lines by event name.

    def write(self, events: list[Event]) -> None:
        """Write events; at the start of a period, log how many lines were omitted."""
        now = self.monotonic()
        if now - self.period_started_at >= RATE_LIMIT_PERIOD_S:
            self.start_period(now)
        for event in events:
            self.write_event(event)
        self.writer.flush()

    def start_period(self, now: float) -> None:
        """Reset the rate limits and log the omitted lines of the previous period."""
        self.period_started_at = now
        self.written.clear()
        if self.writer.dropped:
            self.omitted["buffer-full"] += self.writer.dropped
            self.writer.dropped = 0
        if self.omitted:
            counts, self.omitted = dict(self.omitted), Counter()
            self.emit(LinesLeftOut(counts))

    def write_event(self, event: Event) -> None:
        """Write an event, or omit and count it beyond the limit of its category."""
        if self.written[event.category] >= LINES_PER_SECOND[event.category]:
            self.omitted[event_name(type(event))] += 1
            return
        self.written[event.category] += 1
        self.emit(event)

    def emit(self, event: Event) -> None:
        """Pass an event to eliot."""
        name = PREFIX + event_name(type(event))
        fields = event.fields()
        eliot.log_message(message_type=name, instance=self.instance, **fields)


def null_log(state: State) -> EventLog:
    """Return a log that discards its lines."""
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    return EventLog(state.settings.name, writer, monotonic)


def open_log(
    instance: str, descriptor: int, monotonic: Callable[[], float]
) -> EventLog:
    """Return a log that writes to a descriptor, which becomes non-blocking."""
    if not os.isatty(descriptor):  # Other programs share a terminal.
        os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    eliot.add_destinations(writer)
    return EventLog(instance, writer, monotonic)
