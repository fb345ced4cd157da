"""Messages between instances about endpoints that may have restarted."""

from attrs import frozen

from ..messages import PeerMessage


@frozen
class EndpointLost(PeerMessage):
    """Tell that an open connection to a process of an endpoint was lost."""

    endpoint: str
    incarnation: int
