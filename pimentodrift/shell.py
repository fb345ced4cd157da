"""Connects the decision core with the sockets: messages in, outbox carried out.

Everything here is called directly; no event of circuits lies between a request and
its answer.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatch
from time import monotonic
from traceback import extract_tb
from typing import Protocol

from . import core
from .endpoint_connections import EndpointConnections
from .http_server import HttpServer
from .logs import write_events
from .messages import (
    CallerAnswer,
    CallerRequest,
    CloseEndpoint,
    ClosePeer,
    ExitProcess,
    OpenEndpoint,
    RunBatch,
    SendPeer,
    WatchStore,
    WriteStore,
)
from .peer_streams import PeerStreams
from .sockets import Poller
from .store_client import StoreClient
from .tables import State

SECOND = timedelta(seconds=1)


class Core(Protocol):
    """What the shell calls; the module `core`, or a stub in tests."""

    def handle(self, message: object, state: State) -> None:
        """Apply a message."""

    def tick(self, state: State) -> None:
        """Run the systems."""

    def take_outbox(self, state: State) -> list[object]:
        """Return the messages for the shell."""


class Shell:
    """The sockets of an instance around its core."""

    def __init__(
        self, state: State, poller: Poller, exit_process: Callable[[], None]
    ) -> None:
        self.state = state
        self.poller = poller
        self.exit_process = exit_process
        self.core: Core = core
        self.carrying_out = False
        self.last_tick = monotonic()
        self.longest_tick_gap_s = 0.0
        self.known_errors: set[tuple[str, str]] = set()
        poller.on_error = self.report_error
        self.http = HttpServer(state, poller, self.deliver_all)
        self.peers = PeerStreams(state, poller, self.deliver_all)
        self.endpoints = EndpointConnections(state, poller, self.deliver_all)
        self.store = StoreClient(state, poller, self.deliver_all)
        poller.timers.every(core.TICK / SECOND, self.tick)

    def deliver_all(self, messages: list[object]) -> None:
        """Let the core handle messages, then carry out what it wants."""
        for message in messages:
            try:
                self.core.handle(message, self.state)
            except Exception as error:  # noqa: BLE001
                self.report_error(type(message).__name__, error)
                if isinstance(message, CallerRequest):
                    self.http.drop(message.request)
        self.carry_out()

    def tick(self) -> None:
        """Run the core's systems."""
        now = monotonic()
        self.longest_tick_gap_s = max(self.longest_tick_gap_s, now - self.last_tick)
        self.last_tick = now
        try:
            self.core.tick(self.state)
        except Exception as error:  # noqa: BLE001
            self.report_error("tick", error)
        self.carry_out()
        if self.state.events:
            write_events(self.state)

    def carry_out(self) -> None:
        """Carry out the outbox until it stays empty.

        What is carried out may fail at once and give the core another message, whose
        outbox the same loop then takes.
        """
        if self.carrying_out:
            return
        self.carrying_out = True
        try:
            while self.state.outbox:
                for message in self.core.take_outbox(self.state):
                    self.perform_safely(message)
                self.poller.flush()
        finally:
            self.carrying_out = False

    def perform_safely(self, message: object) -> None:
        """Carry out one message; its failure must not lose the others."""
        try:
            perform(message, self)
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
        return {
            "shell.longest_tick_gap_ms": round(gap_s * 1000),
            "http.connections": len(self.http.connections),
            "http.requests": len(self.http.slots),
            "peers.streams": len(self.peers.dialed) + len(self.peers.accepted),
            "endpoints.connections": len(self.endpoints.connections),
        }

    def close(self) -> None:
        """Close all sockets."""
        self.http.close()
        self.peers.close()
        self.endpoints.close()
        self.store.close()


@singledispatch
def perform(message: object, shell: Shell) -> None:
    """Carry out a message of the core."""
    raise TypeError(f"the shell cannot carry out {type(message).__name__}")


@perform.register
def _(message: CallerAnswer, shell: Shell) -> None:
    shell.http.answer(message)


@perform.register
def _(message: SendPeer, shell: Shell) -> None:
    shell.peers.send(message)


@perform.register
def _(message: ClosePeer, shell: Shell) -> None:
    shell.peers.close_peer(message)


@perform.register
def _(message: OpenEndpoint, shell: Shell) -> None:
    shell.endpoints.open(message)


@perform.register
def _(message: RunBatch, shell: Shell) -> None:
    shell.endpoints.run(message)


@perform.register
def _(message: CloseEndpoint, shell: Shell) -> None:
    shell.endpoints.close_one(message)


@perform.register
def _(message: WatchStore, shell: Shell) -> None:
    shell.store.watch(message)


@perform.register
def _(message: WriteStore, shell: Shell) -> None:
    shell.store.write(message)


@perform.register
def _(message: ExitProcess, shell: Shell) -> None:
    shell.exit_process()
