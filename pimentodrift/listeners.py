"""Listening sockets of the caller port and the peer port."""

import socket
from collections.abc import Callable
from errno import ECONNABORTED, EMFILE, ENFILE
from select import EPOLLIN

from attrs import define

from .sockets import BACKLOG, Poller, parse_address

# Connections accepted per event, so that a flood of them does not stop the tick.
ACCEPT_BATCH = 64
# Without free descriptors the listener would be ready all the time.
NO_DESCRIPTOR_PAUSE_S = 0.1
# Accepted sockets inherit the options of the listener. Keep-alive probes find peers
# that are gone without a FIN; an idle connection has no other time limit.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 60),  # Seconds.
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 20),  # Seconds.
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)


@define(eq=False)
class Listener:
    """A listening socket that passes on accepted sockets."""

    poller: Poller
    server: socket.socket
    accepted: Callable[[socket.socket], None]
    descriptor: int

    @property
    def port(self) -> int:
        """Return the port, which the system chose if the address said 0."""
        return int(self.server.getsockname()[1])

    def on_ready(self, events: int) -> None:
        """Accept waiting connections."""
        for _ in range(ACCEPT_BATCH):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Accept a connection; return False if there is none or no descriptor."""
        try:
            connection = self.server.accept()[0]
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno == ECONNABORTED:
                return True
            if error.errno not in (EMFILE, ENFILE):
                raise
            self.fail()
            return False
        connection.setblocking(False)
        self.accepted(connection)
        return True

    def fail(self) -> None:
        """Leave connections in the backlog for a while after an error."""
        self.poller.unwatch(self.descriptor)
        self.poller.timers.call_later(NO_DESCRIPTOR_PAUSE_S, self.resume)

    def resume(self) -> None:
        """Accept again unless closed."""
        if self.server.fileno() >= 0:
            self.poller.watch(self.descriptor, self, EPOLLIN)

    def close(self) -> None:
        """Stop listening."""
        self.poller.unwatch(self.descriptor)
        self.server.close()


def listen(
    poller: Poller, address: str, accepted: Callable[[socket.socket], None]
) -> Listener:
    """Listen on a numeric `host:port`; raise OSError."""
    family, target = parse_address(address)
    server = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    for option in SOCKET_OPTIONS:
        server.setsockopt(*option)
    server.bind(target)
    server.listen(BACKLOG)
    listener = Listener(poller, server, accepted, server.fileno())
    poller.watch(listener.descriptor, listener, EPOLLIN)
    return listener
