"""Listening sockets of the caller port and the peer port."""

import socket
from collections.abc import Callable
from errno import ECONNABORTED, EMFILE, ENFILE
from select import EPOLLIN

from attrs import define

from .sockets import LISTEN_BACKLOG, Poller, parse_address

# Connections accepted per epoll event, so that a flood of them does not delay the tick.
ACCEPT_BATCH = 64
# Pause of accepting when no file descriptor is free: the listening socket stays ready,
# and the loop would spin.
NO_DESCRIPTOR_PAUSE_S = 0.1
# Accepted sockets inherit the options of the listening socket. TCP keep-alive detects
# clients that disappeared without a FIN; idle connections have no other timeout.
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
    """A listening socket that passes accepted sockets to a callback."""

    poller: Poller
    server: socket.socket
    on_accept: Callable[[socket.socket], None]
    descriptor: int

    @property
    def port(self) -> int:
        """Return the port, which the system chose if the address has port 0."""
        return int(self.server.getsockname()[1])

    def on_ready(self, events: int) -> None:
        """Accept waiting connections, at most `ACCEPT_BATCH`."""
        for _ in range(ACCEPT_BATCH):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Accept a connection; return False if none waits or no descriptor is free."""
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
        self.on_accept(connection)
        return True

    def fail(self) -> None:
        """Pause accepting after an error; connections wait in the listen backlog."""
        self.poller.unwatch(self.descriptor)
        self.poller.timers.call_later(NO_DESCRIPTOR_PAUSE_S, self.resume)

    def resume(self) -> None:
        """Resume accepting unless the listener was closed."""
        if self.server.fileno() >= 0:
            self.poller.watch(self.descriptor, self, EPOLLIN)

    def close(self) -> None:
        """Stop listening."""
        self.poller.unwatch(self.descriptor)
        self.server.close()


def listen(
    poller: Poller, address: str, on_accept: Callable[[socket.socket], None]
) -> Listener:
    """Listen on a numeric `host:port`; raise OSError if that fails."""
    family, socket_address = parse_address(address)
    server = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    for option in SOCKET_OPTIONS:
        server.setsockopt(*option)
    server.bind(socket_address)
    server.listen(LISTEN_BACKLOG)
    listener = Listener(poller, server, on_accept, server.fileno())
    poller.watch(listener.descriptor, listener, EPOLLIN)
    return listener
