"""The shell of an instance that serves HTTP callers from PostgreSQL databases."""

from collections.abc import Callable

from . import core
from .endpoint_connections import EndpointConnections
from .event_log import EventLog
from .http_server import HttpServer
from .messages import CallerRequest
from .peer_streams import PeerStreams
from .shell_base import SECOND, BaseShell
from .sockets import Poller
from .store_client import StoreClient
from .tables import State

__all__ = ["SECOND", "Shell"]


class Shell(BaseShell):
    """The core with adapters for callers, other instances, endpoints and the store."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        exit_process: Callable[[], None],
        log: EventLog,
    ) -> None:
        super().__init__(state, poller, exit_process, core, log)
        self.http = HttpServer(state, poller, self.deliver_all)
        self.peers = PeerStreams(state, poller, self.deliver_all)
        self.endpoints = EndpointConnections(state, poller, self.deliver_all)
        self.store = StoreClient(state, poller, self.deliver_all)
        for adapter in (self.http, self.peers, self.endpoints, self.store):
            self.add_adapter(adapter)

    def close_sender(self, message: object) -> None:
        """Close the connection of a caller whose request the core failed to handle."""
        if isinstance(message, CallerRequest):
            self.http.drop_connection(message.request)
