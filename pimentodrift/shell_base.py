"""The loop between the decision core and the edges: messages in, outbox carried out.

An edge owns sockets of one kind: callers, endpoints, the store, other instances. It
names the messages of the core that it carries out and delivers others to the core.
Which edges an instance has is decided where it is assembled. Everything here is called
directly; no event of circuits lies between a request and its answer.
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
from .untyped_events import write_untyped_events

SECOND = timedelta(seconds=1)

OutboxHandlers = Mapping[type, Callable[[Any], None]]
DeliverAll = Callable[[list[object]], None]


class Core(Protocol):
    """What the shell calls; a module such as `core`, or a stub in tests."""

    def handle(self, message: object, state: State) -> None:
        """Apply a message."""

    def tick(self, state: State) -> None:
        """Run the systems."""

    def take_outbox(self, state: State) -> list[object]:
        """Return the messages for the shell."""


class Adapter(Protocol):
    """Sockets of one kind."""

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the functions that carry out messages of the core, by type."""

    def gauges(self) -> dict[str, int]:
        """Return the sizes of what the edge keeps."""

    def close(self) -> None:
        """Close the sockets."""


class BaseShell:
    """The edges of an instance around its core."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        exit_process: Callable[[], None],
        core: Core,
        tick: timedelta,
        log: EventLog,
    ) -> None:
        self.state = state
        self.poller = poller
        self.core = core
        self.log = log
        self.is_processing_outbox = False
        self.last_tick = monotonic()
        self.longest_tick_gap_s = 0.0
        self.known_errors: set[tuple[str, str]] = set()
        self.adapters: list[Adapter] = []
        self.outbox_handlers: dict[type, Callable[[Any], None]] = {
            ExitProcess: lambda _: exit_process()
        }
        poller.on_error = self.report_error
        poller.timers.call_every(tick / SECOND, self.tick)

    def add(self, adapter: Adapter) -> None:
        """Let an edge carry out its messages."""
        self.adapters.append(adapter)
        self.outbox_handlers.update(adapter.outbox_handlers())

    def deliver_all(self, messages: list[object]) -> None:
        """Let the core handle messages, then carry out what it wants."""
        for message in messages:
            try:
                self.core.handle(message, self.state)
            except Exception as error:  # noqa: BLE001
                self.report_error(type(message).__name__, error)
                self.close_sender(message)
        self.process_outbox()

    def close_sender(self, message: object) -> None:
        """End what waits for the answer to a message that the core failed on."""

    def tick(self) -> None:
        """Run the core's systems."""
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
        """Write what the core has noted, within the log's budgets."""
        if self.state.events:
            write_untyped_events(self.state)
        events, self.state.typed_events = self.state.typed_events, []
        self.log.write(events)

    def process_outbox(self) -> None:
        """Carry out the outbox until it stays empty.

        What is carried out may fail at once and give the core another message, whose
        outbox the same loop then takes.
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
        """Carry out one message; its failure must not lose the others."""
        try:
            self.outbox_handlers[type(message)](message)
        except Exception as error:  # noqa: BLE001
            self.report_error(type(message).__name__, error)

    def report_error(self, where: str, error: Exception) -> None:
        """Count an internal error and log it the first time."""
        self.state.counters["shell.errors"] += 1
        frames = extract_tb(error.__traceback__)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        known = (where, place)
        if known in self.known_errors:
            return
        self.known_errors.add(known)
        fields: dict[str, object] = {
            "where": where,
            "place": place,
            "error": repr(error),
        }
        self.state.events.append(("internal_error", fields))

    def gauges(self) -> dict[str, int]:
        """Return the sizes of what the shell keeps, and the longest gap of ticks."""
        gap_s, self.longest_tick_gap_s = self.longest_tick_gap_s, 0.0
        sizes = {"shell.longest_tick_gap_ms": round(gap_s * 1000)}
        for adapter in self.adapters:
            sizes |= adapter.gauges()
        return sizes

    def close(self) -> None:
        """Close all sockets."""
        for adapter in self.adapters:
            adapter.close()
