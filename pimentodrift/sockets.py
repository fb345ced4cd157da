"""The poller and non-blocking streams for all users of sockets.

`Poller` is the circuits EPoll component with one difference: it calls the owner of a
ready descriptor directly instead of firing an event, because events cost more than
the requests that they would announce. Owners are kept in a dict by descriptor.

`Stream` does partial writes, backpressure, connecting and closing once for callers,
peers and the store; libpq's connections use the poller without it.
"""

import socket
from collections.abc import Callable
from errno import EAGAIN, ECONNREFUSED, EINPROGRESS, EINVAL, ENOENT
from functools import lru_cache
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT, EPOLLRDHUP
from time import monotonic
from typing import Any, Protocol

from attrs import define, field
from circuits.core.pollers import EPoll

from .timers import SLICE_S, Timers

READ_BYTES = 64 * 1024
# Output above this pauses the sources of more output.
HIGH_WATER_BYTES = 256 * 1024
# A write timeout is renewed by this much progress, so that a slow reader of a large
# answer is kept and one that reads a byte at a time is not.
PROGRESS_BYTES = 16 * 1024
SWEEP_S = 1.0
# After a last answer, input is discarded for this long: closing with unread input
# would reset the connection and could destroy the answer on its way.
LINGER_S = 2.0
BACKLOG = 4096


class Target(Protocol):
    """The owner of a descriptor."""

    def on_ready(self, events: int) -> None:
        """Handle the epoll events of the descriptor."""

    def fail(self) -> None:
        """Give up after an internal error."""


class StreamUser(Protocol):
    """The user of a stream."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_connected(self) -> None:
        """Handle the end of connecting."""

    def on_drained(self) -> None:
        """Handle that all output was written after reading or writing had to wait."""

    def on_closed(self) -> None:
        """Handle the loss of the stream; not called after `close`."""


class Poller(EPoll):
    """Call the owners of ready descriptors and the due timers."""

    def __init__(self) -> None:
        super().__init__()
        self.targets: dict[int, Target] = {}
        self.timers = Timers()
        self.unflushed: list[Stream] = []
        self.held_up: set[Stream] = set()
        self.on_error: Callable[[str, Exception], None] = raise_error
        self.timers.call_every(SWEEP_S, self.close_unread)

    def watch(self, descriptor: int, target: Target, events: int) -> None:
        """Call a target for events of a descriptor, in place of what was watched."""
        self.targets[descriptor] = target
        try:
            self._poller.modify(descriptor, events)
        except OSError as error:
            if error.errno != ENOENT:
                raise
            self._poller.register(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """Forget a descriptor, which may already be closed."""
        if self.targets.pop(descriptor, None) is None:
            return
        try:
            self._poller.unregister(descriptor)
        except OSError:
            return  # Closing a descriptor removes it from epoll.

    def flush(self) -> None:
        """Write the output that was queued since the last call."""
        while self.unflushed:
            streams, self.unflushed = self.unflushed, []
            for stream in streams:
                stream.flush()

    def close_unread(self) -> None:
        """Close the streams whose reader made no progress in time."""
        now = monotonic()
        for stream in list(self.held_up):
            if now >= stream.write_deadline:
                stream.fail()

    def _generate_events(self, event: Any) -> None:
        end = monotonic() + SLICE_S
        if 0 <= event.time_left < SLICE_S:
            end += event.time_left - SLICE_S
        while True:
            now = monotonic()
            due = self.run_timers(now)
            waiting = len(self.root) or event.time_left == 0
            timeout = 0.0 if waiting else max(0.0, min(due, end) - now)
            self.poll_once(timeout)
            if waiting or now >= end or not self.root.running:
                return

    def poll_once(self, timeout_s: float) -> None:
        """Wait for events, tell their owners and write what they answer."""
        for descriptor, events in self._poller.poll(timeout_s):
            self.call_target(descriptor, events)
        self.flush()

    def run_timers(self, now: float) -> float:
        """Run due timers; an error in one does not stop the others."""
        try:
            return self.timers.run_due(now)
        except Exception as error:  # noqa: BLE001
            self.on_error("timer", error)
            return now

    def call_target(self, descriptor: int, events: int) -> None:
        """Tell the owner of a descriptor; its failure must not stop the others."""
        target = self.targets.get(descriptor)
        if target is None:
            if descriptor == self._ctrl_recv:
                self._read_ctrl()
            return
        try:
            target.on_ready(events)
        except Exception as error:  # noqa: BLE001
            self.on_error(type(target).__name__, error)
            target.fail()


def raise_error(where: str, error: Exception) -> None:
    """Raise an error that nothing else handles."""
    raise error


@lru_cache(maxsize=16_384)
def parse_address(text: str) -> tuple[socket.AddressFamily, Any]:
    """Return family and socket address of a numeric `host:port`; raise OSError.

    Names are refused, because resolving them would block the loop.
    """
    host, _, port = text.rpartition(":")
    flags = socket.AI_NUMERICHOST | socket.AI_NUMERICSERV
    try:
        found = socket.getaddrinfo(
            host.strip("[]"), port, type=socket.SOCK_STREAM, flags=flags
        )
    except UnicodeError as error:
        raise OSError(EINVAL, f"not an address: {text!r}") from error
    return found[0][0], found[0][4]


@define(eq=False)
class Stream:
    """A non-blocking TCP socket with an output buffer."""

    poller: Poller
    connection: socket.socket
    user: StreamUser
    write_timeout_s: float = float("inf")
    connecting: bool = False
    refused: bool = False  # Nothing listens on the address.
    reading: bool = True
    closed: bool = False
    finishing: bool = False  # Closes when the output is written.
    output: list[bytes | memoryview] = field(factory=list)
    queued: int = 0  # Bytes ever queued.
    sent: int = 0  # Bytes ever sent.
    write_deadline: float = 0.0
    write_mark: int = 0
    events: int = 0
    descriptor: int = -1

    def __attrs_post_init__(self) -> None:
        """Begin to watch the socket."""
        self.descriptor = self.connection.fileno()
        self.update()

    @property
    def pending(self) -> int:
        """Return the number of bytes that wait to be sent."""
        return self.queued - self.sent

    def write(self, data: bytes) -> None:
        """Queue bytes for the next flush of the poller."""
        if self.closed or self.finishing:
            return
        if not self.output:
            self.poller.unflushed.append(self)
        self.output.append(data)
        self.queued += len(data)

    def flush(self) -> None:
        """Send as much as the socket takes."""
        if self.closed or self.connecting or not self.output:
            return
        output = self.output
        data = output[0] if len(output) == 1 else b"".join(output)
        try:
            written = self.connection.send(data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.fail()
            return
        self.sent += written
        if written == len(data):
            self.output = []
            self.end_hold_up()
        else:
            self.output = [memoryview(data)[written:]]
            self.hold_up()

    def hold_up(self) -> None:
        """Wait for the reader, within the write timeout."""
        held_up = self in self.poller.held_up
        if not held_up or self.sent - self.write_mark >= PROGRESS_BYTES:
            self.write_mark = self.sent
            self.write_deadline = monotonic() + self.write_timeout_s
        self.poller.held_up.add(self)
        self.update()

    def end_hold_up(self) -> None:
        """Go on after all output was sent."""
        was_held_up = self in self.poller.held_up
        if was_held_up:
            self.poller.held_up.discard(self)
            self.update()
        if self.finishing:
            self.linger()
        elif was_held_up or not self.reading:
            self.user.on_drained()

    def set_reading(self, reading: bool) -> None:
        """Stop or resume reading."""
        if reading != self.reading:
            self.reading = reading
            self.update()

    def update(self) -> None:
        """Tell the poller which events are wanted."""
        if self.closed:
            return
        events = EPOLLIN if self.reading else EPOLLRDHUP
        if self.connecting or self.output:
            events |= EPOLLOUT
        if events != self.events:
            self.events = events
            self.poller.watch(self.descriptor, self, events)

    def on_ready(self, events: int) -> None:
        """Connect, write and read as the events allow."""
        if self.connecting:
            self.end_connecting()
            return
        if events & EPOLLOUT:
            self.flush()
        if self.closed or not events & ~EPOLLOUT:
            return
        if self.reading:
            self.read()
        elif events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP):
            self.fail()

    def end_connecting(self) -> None:
        """Begin the use of a connected socket."""
        error = self.connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.refused = error == ECONNREFUSED
            self.fail()
            return
        self.connecting = False
        self.user.on_connected()
        self.flush()
        self.update()

    def read(self) -> None:
        """Read once; epoll reports the rest again."""
        try:
            data = self.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.fail()
        elif not self.finishing:
            self.user.on_data(data)

    def finish(self) -> None:
        """Close after the output is written; discard further input."""
        if self.finishing:
            return
        self.finishing = True
        self.set_reading(True)
        if not self.output:
            self.linger()

    def linger(self) -> None:
        """Wait a while for the other side to close first."""
        try:
            self.connection.shutdown(socket.SHUT_WR)
        except OSError:
            self.fail()
            return
        self.poller.timers.call_later(LINGER_S, self.fail)

    def fail(self) -> None:
        """Close and tell the user."""
        if not self.closed:
            self.close()
            self.user.on_closed()

    def close(self) -> None:
        """Close without a call of the user."""
        if self.closed:
            return
        self.closed = True
        self.poller.held_up.discard(self)
        self.poller.unwatch(self.descriptor)
        self.connection.close()
        self.output = []


def connect(poller: Poller, address: str, user: StreamUser) -> Stream:
    """Begin to connect to a numeric `host:port`; raise OSError if it fails at once."""
    family, target = parse_address(address)
    connection = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error = connection.connect_ex(target)
    if error not in (0, EINPROGRESS, EAGAIN):
        connection.close()
        raise OSError(error, "connect failed")
    return Stream(poller, connection, user, connecting=True)
