"""Passes messages between the decision core and the adapters of an instance.

An adapter owns the sockets of one kind: those of callers, endpoints, the store or other
instances. It names the message types of the core's outbox that it handles, and delivers
what it receives to the core as messages. The modules that assemble an instance, such as
`shell` and `session_process`, choose its adapters. All calls are direct: no circuits
event lies between a request and its answer.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from time import monotonic
from traceback import extract_tb
from typing import Any, Protocol

from .event_log import EventLog
from .messages import ExitProcess
from .sockets import Poller
from .tables import State
from .ticks import TICK
from .timers import Timer
from .untyped_events import write_untyped_events

SECOND = timedelta(seconds=1)

OutboxHandlers = Mapping[type, Callable[[Any], None]]
DeliverAll = Callable[[list[object]], None]


class Core(Protocol):
    """The functions of the core that the shell calls: a module, or a stub in tests."""

    def handle(self, message: object, state: State) -> None:
        """Apply a message to the state."""

    def tick(self, state: State) -> None:
        """Run the systems of the core once."""

    def tick_interval(self, state: State) -> timedelta:
        """Return the time until the next tick."""

    def take_outbox(self, state: State) -> list[object]:
        """Remove and return the messages that the shell has to handle."""


class Adapter(Protocol):
    """Owns the sockets of one kind and handles the core's messages about them."""

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the handlers of outbox messages by message type."""

    def gauges(self) -> dict[str, int]:
        """Return the adapter's gauges, such as numbers of connections, by name."""

    def close(self) -> None:
        """Close the sockets."""


class BaseShell:
    """The core of an instance with its adapters, its tick and its log."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        exit_process: Callable[[], None],
        core: Core,
        log: EventLog,
    ) -> None:
        self.state = state
        self.poller = poller
        self.core = core
        self.log = log
        self.is_processing_outbox = False
        self.last_tick = monotonic()
        self.longest_tick_gap_s = 0.0
        self.logged_errors: set[tuple[str, str]] = set()
        self.adapters: list[Adapter] = []
        self.outbox_handlers: dict[type, Callable[[Any], None]] = {
            ExitProcess: lambda _: exit_process()
        }
        poller.on_error = self.report_error
        self.tick_timer = Timer(None)
        self.next_tick_s = 0.0
        self.schedule_tick(self.tick_interval_s())

    def add_adapter(self, adapter: Adapter) -> None:
        """Register an adapter and its handlers of outbox messages."""
        self.adapters.append(adapter)
        self.outbox_handlers.update(adapter.outbox_handlers())

    def deliver_all(self, messages: list[object]) -> None:
        """Let the core handle messages, then process its outbox."""
        for message in messages:
            try:
                self.core.handle(message, self.state)
            except Exception as error:  # noqa: BLE001
                self.report_error(type(message).__name__, error)
                self.close_sender(message)
        self.process_outbox()
        self.hasten_tick()

    def schedule_tick(self, delay_s: float) -> None:
        """Run the next tick after a delay, and not at the time set before."""
        self.tick_timer.cancel()
        self.next_tick_s = monotonic() + delay_s
        self.tick_timer = self.poller.timers.call_later(delay_s, self.run_tick)

    def run_tick(self) -> None:
        """Run a tick and schedule the next one, counted from the time it was due."""
        due_s = self.next_tick_s
        self.tick()
        self.schedule_tick(max(0.0, due_s + self.tick_interval_s() - monotonic()))

    def hasten_tick(self) -> None:
        """Run the next tick sooner if a message has ended the rest."""
        left_s = self.next_tick_s - monotonic()
        if left_s <= TICK / SECOND:
            return  # No interval is shorter.
        interval_s = self.tick_interval_s()
        if left_s > interval_s:
            self.schedule_tick(interval_s)

    def tick_interval_s(self) -> float:
        """Return the seconds until the next tick; an error must not end the ticks."""
        try:
            return self.core.tick_interval(self.state) / SECOND
        except Exception as error:  # noqa: BLE001
            self.report_error("tick_interval", error)
            return TICK / SECOND

    def close_sender(self, message: object) -> None:
        """Close the connection that sent a message which the core failed to handle.

        Its client would wait for an answer that never comes.
        """

    def tick(self) -> None:
        """Run the core's systems, process its outbox and write its log events."""
        now = monotonic()
        self.longest_tick_gap_s = max(self.longest_tick_gap_s, now - self.last_tick)
        self.last_tick = now
        try:
            self.core.tick(self.state)
        except Exception as error:  # noqa: BLE001
            self.report_error("tick", error)
        self.process_outbox()
        self.write_log()

    def write_log(self) -> None:
        """Write the log events that the core has queued."""
        if self.state.events:
            write_untyped_events(self.state)
        events, self.state.typed_events = self.state.typed_events, []
        self.log.write(events)

    def process_outbox(self) -> None:
        """Handle the messages of the outbox until it stays empty.

        A handler may fail at once and deliver another message to the core. The nested
        call returns, and this loop handles what the core adds to the outbox.
        """
        if self.is_processing_outbox:
            return
        self.is_processing_outbox = True
        try:
            while self.state.outbox:
                for message in self.core.take_outbox(self.state):
                    self.handle_outgoing(message)
                self.poller.flush()
        finally:
            self.is_processing_outbox = False

    def handle_outgoing(self, message: object) -> None:
        """Handle one message of the outbox; an error must not lose the others."""
        try:
            self.outbox_handlers[type(message)](message)
        except Exception as error:  # noqa: BLE001
            self.report_error(type(message).__name__, error)

    def report_error(self, where: str, error: Exception) -> None:
        """Count an internal error; log it if it is the first one at its code line."""
        self.state.counters["shell.errors"] += 1
        frames = extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        known = (where, place)
        if known in self.logged_errors:
            return
        self.logged_errors.add(known)
        fields: dict[str, object] = {
            "where": where,
            "place": place,
            "error": repr(error),
        }
        self.state.events.append(("internal_error", fields))

    def gauges(self) -> dict[str, int]:
        """Return the gauges of all adapters and the longest gap between two ticks.

        The gap is the longest since the previous call, in milliseconds.
        """
        gap_s, self.longest_tick_gap_s = self.longest_tick_gap_s, 0.0
        sizes = {"shell.longest_tick_gap_ms": round(gap_s * 1000)}
        for adapter in self.adapters:
            sizes |= adapter.gauges()
        return sizes

    def close(self) -> None:
        """Close the sockets of all adapters."""
        for adapter in self.adapters:
            adapter.close()
