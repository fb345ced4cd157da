"""Streams between instances: dialed on demand, and accepted on the peer port.

A message is sent on the stream that this instance dialed, otherwise on one that the
other instance dialed and introduced with `Hello`; without either, a stream is dialed.
The loss of a stream is reported as `PeerLost` with the requests of which no byte was
sent: those certainly did not run.
"""

import socket
from collections import deque
from collections.abc import Callable

import msgpack
from attrs import define, field

from .dump import DumpRequest, dump_reply
from .errors import Problem, outcome_unknown
from .listeners import listen
from .messages import ClosePeer, PeerLost, PeerMessage, PeerReceived, SendPeer
from .owners.messages import ForwardStatement, StatementReply, too_large_reply
from .peer_codec import MAX_MESSAGE_BYTES, PeerCodec, PeerCodecError, make_unpacker
from .peer_messages import Forward, Hello, Reply
from .shell_base import OutboxHandlers
from .sockets import Poller, Stream, connect
from .tables import State
from .timers import Timer

CONNECT_TIMEOUT_S = 0.5
# The stream to a peer that leaves more than this unread is closed.
MAX_PENDING_BYTES = 16 * 1024 * 1024


@define(eq=False)
class PeerStream:
    """A stream to another instance; `instance` is empty until the `Hello` arrives."""

    streams: "PeerStreams"
    instance: str = ""
    dialed: bool = False
    unpacker: msgpack.Unpacker = field(factory=make_unpacker)
    # Unsent `Forward` messages: offset of the first byte in the stream, request number.
    unsent: deque[tuple[int, int]] = field(factory=deque)
    timer: Timer | None = None
    stream: Stream = field(init=False)

    def send(self, message: PeerMessage, data: bytes) -> None:
        """Queue an encoded message; close the stream if its backlog is too large."""
        if isinstance(message, Forward | ForwardStatement):
            self.drop_sent()
            self.unsent.append((self.stream.queued, message.request))
        self.stream.write(data)
        if self.stream.pending > MAX_PENDING_BYTES:
            self.stream.fail()

    def drop_sent(self) -> None:
        """Drop from `unsent` the requests whose first byte was sent."""
        while self.unsent and self.unsent[0][0] < self.stream.sent:
            self.unsent.popleft()

    def unsent_requests(self) -> frozenset[int]:
        """Return the requests of which no byte was sent."""
        self.drop_sent()
        return frozenset(request for _, request in self.unsent)

    def on_connected(self) -> None:
        """Cancel the connect timeout."""
        if self.timer is not None:
            self.timer.cancel()

    def on_data(self, data: bytes) -> None:
        """Decode messages and deliver them; close the stream on malformed data."""
        try:
            self.unpacker.feed(data)
            messages = [self.streams.codec.decode(part) for part in self.unpacker]
        except (PeerCodecError, msgpack.UnpackException, ValueError):
            self.streams.state.counters["peers.undecodable"] += 1
            self.stream.fail()
            return
        self.streams.receive(self, messages)

    def on_drained(self) -> None:
        """Do nothing: no sender waits until the queue is empty."""

    def on_closed(self) -> None:
        """Cancel the connect timeout and report the loss."""
        if self.timer is not None:
            self.timer.cancel()
        self.streams.report_lost(self)


def smaller_reply(message: PeerMessage) -> PeerMessage | None:
    """Return what is sent in place of a reply that is too large; None for others."""
    if isinstance(message, StatementReply):
        return too_large_reply(message, MAX_MESSAGE_BYTES)
    if not isinstance(message, Reply):
        return None
    detail = f"the result is larger than {MAX_MESSAGE_BYTES} bytes"
    return Reply(message.request, outcome_unknown(Problem.STATEMENT_FAILED, detail))


class PeerStreams:
    """All streams of an instance to other instances."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        deliver_all: Callable[[list[object]], None],
    ) -> None:
        self.state = state
        self.poller = poller
        self.deliver_all = deliver_all
        self.codec = PeerCodec()
        self.dialed: dict[str, PeerStream] = {}
        self.accepted: dict[str, PeerStream] = {}
        # Accepted streams whose `Hello` has not arrived.
        self.unidentified: set[PeerStream] = set()
        self.listener = listen(poller, state.settings.peer_listen, self.accept)

    def accept(self, connection: socket.socket) -> None:
        """Take an accepted connection; its first message must be a `Hello`."""
        peer = PeerStream(self)
        peer.stream = Stream(self.poller, connection, peer)
        self.unidentified.add(peer)

    def send(self, message: SendPeer) -> None:
        """Send a message to an instance; dial it if there is no stream."""
        peer = self.dialed.get(message.instance) or self.accepted.get(message.instance)
        if peer is None:
            peer = self.dial(message.instance, message.address)
        if peer is None:
            request = message.message
            unsent: set[int] = set()
            if isinstance(request, Forward | ForwardStatement):
                unsent.add(request.request)
            self.deliver_all([PeerLost(message.instance, frozenset(unsent))])
            return
        self.send_on(peer, message.message)

    def send_on(self, peer: PeerStream, message: PeerMessage) -> None:
        """Encode and send a message; drop one that is too large.

        A `Reply` that is too large is replaced by a failure, so that its request ends.
        """
        data = self.codec.encode(message)
        if len(data) > MAX_MESSAGE_BYTES:
            self.report_too_large(peer, message, len(data))
            substitute = smaller_reply(message)
            if substitute is None:
                return
            data = self.codec.encode(substitute)
        self.state.counters["peers.sent"] += 1
        peer.send(message, data)

    def report_too_large(
        self, peer: PeerStream, message: PeerMessage, size: int
    ) -> None:
        """Count and log a message that cannot be sent."""
        self.state.counters["peers.too_large"] += 1
        fields: dict[str, object] = {
            "instance": peer.instance,
            "message": type(message).__name__,
            "bytes": size,
        }
        self.state.events.append(("peer_message_too_large", fields))

    def dial(self, instance: str, address: str) -> PeerStream | None:
        """Start connecting to an instance; return None if that fails at once."""
        self.state.counters["peers.dialed"] += 1
        peer = PeerStream(self, instance, dialed=True)
        try:
            peer.stream = connect(self.poller, address, peer)
        except OSError:
            return None
        peer.timer = self.poller.timers.call_later(CONNECT_TIMEOUT_S, peer.stream.fail)
        self.dialed[instance] = peer
        settings = self.state.settings
        hello = Hello(settings.name, settings.region, settings.data_centre)
        self.send_on(peer, hello)
        return peer

    def receive(self, peer: PeerStream, messages: list[PeerMessage]) -> None:
        """Deliver messages to the core, and answer requests for a dump.

        An accepted stream whose first message is no `Hello` is closed; dumps need none.
        """
        self.state.counters["peers.received"] += len(messages)
        received: list[object] = []
        for message in messages:
            if isinstance(message, DumpRequest):
                peer.stream.write(self.codec.encode(dump_reply(self.state)))
                continue
            if isinstance(message, Hello) and not peer.dialed:
                self.identify(peer, message.instance)
            if not peer.instance:
                peer.stream.fail()
                return
            received.append(PeerReceived(peer.instance, message))
        if received:
            self.deliver_all(received)

    def identify(self, peer: PeerStream, instance: str) -> None:
        """Assign an accepted stream to its instance; close an older such stream."""
        if peer.instance or instance == self.state.settings.name:
            return
        self.unidentified.discard(peer)
        older = self.accepted.get(instance)
        if older is not None:
            older.stream.fail()
        peer.instance = instance
        self.accepted[instance] = peer

    def report_lost(self, peer: PeerStream) -> None:
        """Forget a lost stream; report the loss if the stream was in use."""
        self.unidentified.discard(peer)
        table = self.dialed if peer.dialed else self.accepted
        if table.get(peer.instance) is not peer:
            return
        del table[peer.instance]
        self.state.counters["peers.lost"] += 1
        message = PeerLost(peer.instance, peer.unsent_requests(), peer.stream.refused)
        self.deliver_all([message])

    def close_peer(self, message: ClosePeer) -> None:
        """Close the streams to an instance; `PeerLost` then tells what was unsent."""
        for table in (self.dialed, self.accepted):
            peer = table.get(message.instance)
            if peer is not None:
                peer.stream.fail()

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the functions that carry out messages of the core, by type."""
        return {SendPeer: self.send, ClosePeer: self.close_peer}

    def gauges(self) -> dict[str, int]:
        """Return the number of identified streams."""
        return {"peers.streams": len(self.dialed) + len(self.accepted)}

    def close(self) -> None:
        """Close the listener and all streams."""
        self.listener.close()
        peers = [*self.dialed.values(), *self.accepted.values(), *self.unidentified]
        for peer in peers:
            peer.stream.close()
