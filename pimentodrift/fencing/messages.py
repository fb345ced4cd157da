"""Messages about stopping the use of a group's old primary."""

from attrs import frozen

from ..messages import PeerMessage
from ..session_messages import ApplyStep


@frozen
class FenceRequest(PeerMessage):
    """Ask an instance to use no other primary of a group than `target`."""

    group: str
    token: int
    target: str


@frozen
class FenceConfirmed(PeerMessage):
    """Tell that the sender uses no other primary than the one that `token` chose."""

    group: str
    token: int


@frozen
class DemoteEndpoint(ApplyStep):
    """Make an endpoint a replica if its term is lower than `term`."""

    term: int


@frozen
class FenceCompleted:
    """No instance can use another primary than the one that `token` chose."""

    group: str
    token: int
