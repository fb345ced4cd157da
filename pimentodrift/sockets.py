"""The poller and the non-blocking streams of all adapters.

`Poller` is the circuits EPoll component with one difference: it calls the owner of a
ready descriptor directly instead of firing an event, because handling an event costs
more than handling the request that it announces.

`Stream` implements connecting, partial writes, backpressure and closing for callers,
peers and the store. libpq does this itself, so its connections use only the poller.
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

from .timers import TIME_SLICE_S, Timers

READ_BYTES = 64 * 1024
# Above this much unsent output, no more requests are read from the connection.
HIGH_WATER_BYTES = 256 * 1024
# Bytes that the other side must take to renew the write timeout. A slow reader of a
# large answer stays connected; one that reads a byte at a time does not.
MIN_PROGRESS_BYTES = 16 * 1024
TIMEOUT_CHECK_S = 1.0
# After the last answer, input is discarded for this long: closing a socket with unread
# input would reset the connection and could destroy the answer in transit.
LINGER_S = 2.0
LISTEN_BACKLOG = 4096


class DescriptorOwner(Protocol):
    """Handles the epoll events of a descriptor."""

    def on_ready(self, events: int) -> None:
        """Read, write or accept as the epoll events allow."""

    def fail(self) -> None:
        """Release the descriptor after an internal error in `on_ready`."""


class StreamUser(Protocol):
    """Callbacks of a stream, implemented by the object that uses it."""

    def on_data(self, data: bytes) -> None:
        """Handle received bytes."""

    def on_connected(self) -> None:
        """Begin to use a connection that has been established."""

    def on_drained(self) -> None:
        """Resume after all output was sent, if reading or sending was paused."""

    def on_closed(self) -> None:
        """Handle the loss of the connection; not called after `Stream.close`."""


class Poller(EPoll):
    """Calls the owners of ready descriptors and runs the due timers."""

    def __init__(self) -> None:
        super().__init__()
        self.owners: dict[int, DescriptorOwner] = {}
        self.timers = Timers()
        self.unflushed: list[Stream] = []
        self.stalled: set[Stream] = set()
        self.on_error: Callable[[str, Exception], None] = raise_error
        self.timers.call_every(TIMEOUT_CHECK_S, self.close_stalled)

    def watch(self, descriptor: int, owner: DescriptorOwner, events: int) -> None:
        """Set the owner and the wanted epoll events of a descriptor."""
        self.owners[descriptor] = owner
        try:
            self._poller.modify(descriptor, events)
        except OSError as error:
            if error.errno != ENOENT:
                raise
            self._poller.register(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a descriptor, which may already be closed."""
        if self.owners.pop(descriptor, None) is None:
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

    def close_stalled(self) -> None:
        """Close the streams whose write timeout has passed."""
        now = monotonic()
        for stream in list(self.stalled):
            if now >= stream.write_deadline:
                stream.fail()

    def _generate_events(self, event: Any) -> None:
        end = monotonic() + TIME_SLICE_S
        if 0 <= event.time_left < TIME_SLICE_S:
            end += event.time_left - TIME_SLICE_S
        while True:
            now = monotonic()
            due = self.run_timers(now)
            waiting = len(self.root) or event.time_left == 0
            timeout = 0.0 if waiting else max(0.0, min(due, end) - now)
            self.poll_once(timeout)
            if waiting or now >= end or not self.root.running:
                return

    def poll_once(self, timeout_s: float) -> None:
        """Wait for epoll events, call the owners and flush their output."""
        for descriptor, events in self._poller.poll(timeout_s):
            self.notify_owner(descriptor, events)
        self.flush()

    def has_last_answers(self) -> bool:
        """Return whether a stream that closes has output that was not sent yet."""
        return any(stream.finishing for stream in self.stalled)

    def run_timers(self, now: float) -> float:
        """Run due timers and return when the next one is due.

        An error in a timer is reported, and the remaining ones run at the next poll.
        """
        try:
            return self.timers.run_due(now)
        except Exception as error:  # noqa: BLE001
            self.on_error("timer", error)
            return now

    def notify_owner(self, descriptor: int, events: int) -> None:
        """Call the owner of a descriptor; its error must not stop the other owners."""
        owner = self.owners.get(descriptor)
        if owner is None:
            if descriptor == self._ctrl_recv:
                self._read_ctrl()
            return
        try:
            owner.on_ready(events)
        except Exception as error:  # noqa: BLE001
            self.on_error(type(owner).__name__, error)
            owner.fail()


def raise_error(where: str, error: Exception) -> None:
    """Raise an error again: the default `Poller.on_error`."""
    raise error


@lru_cache(maxsize=16_384)
def parse_address(text: str) -> tuple[socket.AddressFamily, Any]:
    """Return family and socket address of a numeric `host:port`; raise OSError.

    Host names are refused, because resolving them would block the loop.
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
    reading: bool = True  # False while backpressure pauses the input.
    closed: bool = False
    finishing: bool = False  # Closes when the output is written.
    output: list[bytes | memoryview] = field(factory=list)
    queued: int = 0  # Bytes ever queued.
    sent: int = 0  # Bytes ever sent.
    write_deadline: float = 0.0  # Monotonic time; used while output is stalled.
    progress_mark: int = 0  # `sent` when the write deadline was last renewed.
    events: int = 0  # The epoll events that the poller watches.
    descriptor: int = -1

    def __attrs_post_init__(self) -> None:
        """Register the socket with the poller."""
        self.descriptor = self.connection.fileno()
        self.update_events()

    @property
    def pending(self) -> int:
        """Return the number of unsent bytes."""
        return self.queued - self.sent

    def write(self, data: bytes) -> None:
        """Queue bytes for the poller's next flush."""
        if self.closed or self.finishing:
            return
        if not self.output:
            self.poller.unflushed.append(self)
        self.output.append(data)
        self.queued += len(data)

    def flush(self) -> None:
        """Send as much output as the socket accepts."""
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
            self.on_output_sent()
        else:
            self.output = [memoryview(data)[written:]]
            self.mark_stalled()

    def mark_stalled(self) -> None:
        """Wait for a writable socket; renew the write deadline after progress."""
        stalled = self in self.poller.stalled
        if not stalled or self.sent - self.progress_mark >= MIN_PROGRESS_BYTES:
            self.progress_mark = self.sent
            self.write_deadline = monotonic() + self.write_timeout_s
        self.poller.stalled.add(self)
        self.update_events()

    def on_output_sent(self) -> None:
        """Close a finishing stream, or tell the user that paused output was sent."""
        was_stalled = self in self.poller.stalled
        if was_stalled:
            self.poller.stalled.discard(self)
            self.update_events()
        if self.finishing:
            self.linger()
        elif was_stalled or not self.reading:
            self.user.on_drained()

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading."""
        if reading != self.reading:
            self.reading = reading
            self.update_events()

    def update_events(self) -> None:
        """Tell the poller which epoll events the stream needs now."""
        if self.closed:
            return
        events = EPOLLIN if self.reading else EPOLLRDHUP
        if self.connecting or self.output:
            events |= EPOLLOUT
        if events != self.events:
            self.events = events
            self.poller.watch(self.descriptor, self, events)

    def on_ready(self, events: int) -> None:
        """Finish connecting, write or read as the epoll events allow."""
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
        """Handle the result of a non-blocking connect."""
        error = self.connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.refused = error == ECONNREFUSED
            self.fail()
            return
        self.connecting = False
        self.user.on_connected()
        self.flush()
        self.update_events()

    def read(self) -> None:
        """Read once; epoll reports remaining input again."""
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
        """Shut down writing and wait up to `LINGER_S` for the other side to close."""
        try:
            self.connection.shutdown(socket.SHUT_WR)
        except OSError:
            self.fail()
            return
        self.poller.timers.call_later(LINGER_S, self.fail)

    def fail(self) -> None:
        """Close the socket and tell the user."""
        if not self.closed:
            self.close()
            self.user.on_closed()

    def close(self) -> None:
        """Close the socket without telling the user."""
        if self.closed:
            return
        self.closed = True
        self.poller.stalled.discard(self)
        self.poller.unwatch(self.descriptor)
        self.connection.close()
        self.output = []


def connect(poller: Poller, address: str, user: StreamUser) -> Stream:
    """Begin to connect to a numeric `host:port`; raise OSError on immediate failure."""
    family, socket_address = parse_address(address)
    connection = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    error = connection.connect_ex(socket_address)
    if error not in (0, EINPROGRESS, EAGAIN):
        connection.close()
        raise OSError(error, "connect failed")
    return Stream(poller, connection, user, connecting=True)
