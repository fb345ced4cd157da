"""The codec of messages between instances, and their streams."""

from datetime import timedelta

import pytest
from attrs import evolve

from pimentodrift import messages as m
from pimentodrift import peer_messages as p
from pimentodrift.dump import dump_state
from pimentodrift.errors import Problem, outcome_unknown
from pimentodrift.messages import PeerLost, PeerMessage, PeerReceived, SendPeer
from pimentodrift.peer_codec import (
    MAX_MESSAGE_BYTES,
    PeerCodec,
    PeerCodecError,
    make_unpacker,
)
from pimentodrift.tables import KeyRow

from .shell_support import Rig, running

STATEMENT = m.Statement("SELECT $1", (1, "x", None, True, 2.5))
POSITION = m.Position(1, 2)
FORWARD = p.Forward(
    7,
    "e1",
    "w",
    "0123456789ab",
    m.Action.STATEMENT,
    m.Access.READ,
    STATEMENT,
    POSITION,
    3,
    900,
)
ROWS = m.Rows(("a", "b"), ((1, "x"), (2, None)))
OBJECT = m.StoreObject("k", "n", 1, {"pieces": ["a", {"b": 2}]})


@pytest.mark.parametrize(
    "message",
    [
        p.Hello("a", "r", "d"),
        p.Ping(1),
        p.Pong(1, 20, (p.EndpointSample("e", True, POSITION, 5),)),
        FORWARD,
        p.Reply(1, m.Ran(ROWS, POSITION, "t", True)),
        p.Reply(2, outcome_unknown(Problem.QUEUE_FULL, "d", timedelta(seconds=1.5))),
        p.ViewUpdate(3, 0, items=(OBJECT, m.StoreObject("k", "n", 2, None))),
        p.ShareReport("w", p.Epoch(1, "h"), 1, 2.0, 3.0, 4.0, 5.0),
        p.GroupChanged("g", 1, "p", {1: 2, 3: 4}),
    ],
)
def test_codec_round_trip(message: PeerMessage) -> None:
    """Guards against a type of field that changes when it is encoded and decoded."""
    codec = PeerCodec()
    unpacker = make_unpacker()
    unpacker.feed(codec.encode(message))
    assert codec.decode(unpacker.unpack()) == message


def test_codec_accepts_other_versions() -> None:
    """Guards against instances of neighbouring versions that cannot communicate."""
    codec = PeerCodec()
    assert codec.decode(("Pong", (1, 2))) == p.Pong(1, 2)
    assert codec.decode(("Ping", (1,))) == p.Ping(1)
    assert codec.decode(("Ping", (1, 2, "later field"))) == p.Ping(1, 2)


@pytest.mark.parametrize(
    "broken", [1, (), ("Unknown", ()), ("Ping", ()), ("Ping", ("x",)), ("Ping", 1)]
)
def test_codec_rejects_malformed_messages(broken: object) -> None:
    """Guards against malformed input that reaches the core."""
    with pytest.raises(PeerCodecError):
        PeerCodec().decode(broken)


def send_message(a: Rig, b: Rig, message: PeerMessage) -> None:
    address = f"127.0.0.1:{b.shell.peers.listener.port}"
    a.send_from_core(SendPeer(b.state.settings.name, address, message))


def wait_for_messages(a: Rig, b: Rig, kind: type, count: int = 1) -> list[object]:
    def arrived() -> bool:
        a.step()
        return len(b.core.received_of(kind)) >= count

    b.until(arrived)
    return b.core.received_of(kind)


def test_messages_travel_both_ways_on_one_stream() -> None:
    """Guards against a second stream for the messages of the accepting instance."""
    with running(name="a") as a, running(name="b") as b:
        send_message(a, b, FORWARD)
        hello, forward = wait_for_messages(a, b, PeerReceived, 2)
        assert hello == PeerReceived("a", p.Hello("a", "r1", "r1-1"))
        assert forward == PeerReceived("a", FORWARD)
        b.send_from_core(SendPeer("a", "127.0.0.1:1", p.Ping(1)))
        assert wait_for_messages(b, a, PeerReceived) == [PeerReceived("b", p.Ping(1))]
        a.shell.peers.dialed["b"].stream.close()
        assert wait_for_messages(a, b, PeerLost) == [PeerLost("a")]


def test_too_large_reply_becomes_a_failure() -> None:
    """Guards against a too large result that closes the stream of all requests."""
    with running(name="a") as a, running(name="b") as b:
        rows = m.Rows(("a",), (("x" * MAX_MESSAGE_BYTES,),))
        send_message(a, b, p.Reply(1, m.Ran(rows, POSITION)))
        reply = wait_for_messages(a, b, PeerReceived, 2)[1]
        assert isinstance(reply, PeerReceived)
        assert isinstance(reply.message, p.Reply)
        assert not isinstance(reply.message.result, m.Ran)


def test_messages_of_the_maximum_size() -> None:
    """Guards against counting the start of the next message towards the limit."""
    with running(name="a") as a, running(name="b") as b:
        overhead = len(PeerCodec().encode(p.Leaving(""))) + 4
        largest = p.Leaving("x" * (MAX_MESSAGE_BYTES - overhead))
        for message in [largest, largest, p.Ping(1)]:
            send_message(a, b, message)
        received = wait_for_messages(a, b, PeerReceived, 4)
        assert received[1:3] == [PeerReceived("a", largest)] * 2


def test_unsent_requests_of_a_failed_dial() -> None:
    """Guards against a failed dial that reports too few or too many requests unsent."""
    with running(name="a") as a, running(name="b") as b:
        port = b.shell.peers.listener.port
        b.shell.peers.listener.close()
        a.state.outbox.append(SendPeer("b", f"127.0.0.1:{port}", FORWARD))
        a.send_from_core(SendPeer("b", f"127.0.0.1:{port}", p.Ping(1)))
        a.until(lambda: a.core.received_of(PeerLost))
        lost = [part for part in a.core.received if isinstance(part, PeerLost)]
        assert lost[0] == PeerLost("b", frozenset({7}), refused=True)


def test_partly_sent_request_is_not_reported_as_unsent() -> None:
    """Guards against a retry of a request whose first bytes were sent."""
    with running(name="a") as a, running(name="b") as b:
        large = evolve(FORWARD, statement=m.Statement("x" * 3_000_000))
        send_message(a, b, FORWARD)
        wait_for_messages(a, b, PeerReceived, 2)
        for number in range(100, 104):  # More than the socket's buffers take.
            send_message(a, b, evolve(large, request=number))
        a.shell.peers.close_peer(m.ClosePeer("b"))
        (lost,) = a.core.received_of(PeerLost)
        assert isinstance(lost, PeerLost)
        assert 103 in lost.unsent
        assert not lost.unsent & {7, 100}


def test_stream_with_garbage_is_closed() -> None:
    """Guards against reading on from a stream after malformed data."""
    with running() as rig:
        client = rig.dial(rig.shell.peers.listener.port)
        client.sendall(b"\xc1garbage")
        rig.until(lambda: rig.state.counters["peers.undecodable"])
        rig.until(lambda: not rig.shell.peers.unidentified)


def test_dump_has_no_key_digest() -> None:
    """Guards against key digests in dumps."""
    with running() as rig:
        digest = "ab" * 32
        state = rig.state
        state.configuration.keys[digest] = KeyRow(digest, digest[:12], "w")
        value = {"workspaces": {"w": {"keys": [digest]}}}
        state.view.objects["piece", "p"] = m.StoreObject("piece", "p", 1, value)
        dump = dump_state(state)
        assert digest not in repr(dump)
        assert dump["configuration"]["keys"][digest[:12]]["workspace"] == "w"
