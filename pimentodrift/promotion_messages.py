"""Messages about replacing a group's primary through a call to the platform."""

from enum import StrEnum

from attrs import frozen

from .messages import PeerMessage, Position


@frozen
class PrimaryQuery(PeerMessage):
    """Ask whether a group's primary answers the receiver."""

    group: str
    endpoint: str


@frozen
class LeftReplica:
    """A replica that has left its group, and may have acknowledged commits before.

    If that was planned, the next endpoint at its address has its log. `covered_by` is a
    position that the primary told later, None if none is known.
    """

    endpoint: str
    incarnation: int
    age_ms: int  # Since it left.
    address: str
    data_centre: str
    is_planned: bool
    covered_by: Position | None


@frozen
class PrimaryReport(PeerMessage):
    """Tell whether a group's primary fails for the sender.

    `left` has the replicas that the sender has seen leave.
    """

    group: str
    endpoint: str
    is_failing: bool
    left: tuple[LeftReplica, ...] = ()


@frozen
class PromoteEndpoint:
    """Ask the platform to make an endpoint the primary of its group."""

    call: int
    group: str
    endpoint: str
    holder: str
    token: int


class PromoteOutcome(StrEnum):
    """The outcome of a call to the platform."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # A higher token was seen, or the endpoint is not running.
    NOT_DONE = "not-done"  # The platform was busy or out of reach.
    UNCLEAR = "unclear"  # The call may still take effect.


@frozen
class PromoteEnded:
    """A call to the platform has ended."""

    call: int
    outcome: PromoteOutcome
    detail: str = ""
