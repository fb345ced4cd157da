"""Messages between instances about endpoints that may have restarted."""

from attrs import frozen

from ..messages import PeerMessage, Position


@frozen
class EndpointLost(PeerMessage):
    """Tell that an open connection to a process of an endpoint was lost."""

    endpoint: str
    incarnation: int


@frozen
class ColdPositionQuery(PeerMessage):
    """Ask for a recent log position of a group's primary, which is cold."""

    group: str
    number: int


@frozen
class ColdPositionReport(PeerMessage):
    """Answer a `ColdPositionQuery`; `age_ms` is the age of the position, rounded up."""

    group: str
    number: int
    endpoint: str
    position: Position
    age_ms: int
