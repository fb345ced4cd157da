"""Bytes on the wire of control messages, for `bench.slopes`."""

from pimentodrift.messages import PeerMessage, Position
from pimentodrift.peer_messages import (
    EndpointSample,
    Epoch,
    Ping,
    Pong,
    ShareLower,
    ShareLowered,
    ShareRaise,
    ShareRaised,
    ShareRenew,
    ShareReport,
    Subscribe,
    ViewUpdate,
)

from . import slopes_states as states
from .slopes_measure import Row, sweep

NUMBER = 5_000_000  # Takes as many bytes as an instance's numbers after some hours.
EPOCH = Epoch(12, "instance-4711")
OFFSET = 10_000_000
# Bytes of the headers of a segment with timestamps; each message has its own segment.
IP_TCP_HEADERS = 52


def wire_size(message: PeerMessage) -> int:
    """Return the number of bytes of a message with the headers of its segment."""
    return len(states.encode(message)) + IP_TCP_HEADERS


def make_pong(samples: int) -> Pong:
    """Return a `Pong` with samples of some endpoints."""
    position = Position(12, OFFSET)
    row = EndpointSample("database-4711", True, position, 50)
    return Pong(NUMBER, 700, (row,) * samples)


def make_share_report() -> ShareReport:
    """Return a `ShareReport` with typical values."""
    return ShareReport(
        "workspace-1234", EPOCH, 1.23, 4.56, 3.21, 1.1, 0.0, NUMBER, NUMBER
    )


def instances_update(instances: int) -> ViewUpdate:
    """Return a `ViewUpdate` with some changed instances."""
    items = tuple(states.instance_object(index, NUMBER) for index in range(instances))
    return ViewUpdate(NUMBER, 700, NUMBER, NUMBER, items)


def piece_update(workspaces: int) -> ViewUpdate:
    """Return a `ViewUpdate` with a piece that declares some workspaces."""
    return ViewUpdate(
        0, 700, NUMBER, NUMBER, (states.piece_objects(workspaces, 1, 1)[0],)
    )


def manifest_update(count: int) -> ViewUpdate:
    """Return a `ViewUpdate` with a manifest of some pieces, named by their digests."""
    item = states.manifest_object(count, NUMBER)
    assert item.value is not None
    item.value["pieces"] = [f"{place:064x}" for place in range(count)]
    return ViewUpdate(NUMBER, 700, NUMBER, NUMBER, (item,))


def control_messages() -> dict[str, PeerMessage]:
    """Return the messages, by name, that instances exchange without any requests."""
    return {
        "Ping": Ping(NUMBER),
        "Pong, 1 sample": make_pong(1),
        "ShareReport": make_share_report(),
        "ShareRenew": ShareRenew("workspace-1234", EPOCH, NUMBER),
        "ShareLower": ShareLower("workspace-1234", EPOCH, NUMBER, 1.23, 4.56),
        "ShareLowered": ShareLowered("workspace-1234", EPOCH, NUMBER, 1.2, 4.5, 3.2),
        "ShareRaise": ShareRaise("workspace-1234", EPOCH, NUMBER, 1.2, 4.5, 3.2),
        "ShareRaised": ShareRaised("workspace-1234", EPOCH, NUMBER),
        "Subscribe": Subscribe(NUMBER, NUMBER),
        "ViewUpdate, empty": instances_update(0),
    }


def wire_rows() -> list[Row]:
    """Return the bytes of messages by the number of items in them."""
    return [
        sweep("Pong", "samples", (1, 8, 64), lambda n: wire_size(make_pong(n)), "B"),
        sweep(
            "ViewUpdate",
            "instances",
            (1, 16, 256),
            lambda n: wire_size(instances_update(n)),
            "B",
        ),
        sweep(
            "piece",
            "workspaces",
            (1, 23, 230),
            lambda n: wire_size(piece_update(n)),
            "B",
        ),
        sweep(
            "manifest",
            "pieces",
            (1, 8, 100),
            lambda n: wire_size(manifest_update(n)),
            "B",
        ),
    ]
