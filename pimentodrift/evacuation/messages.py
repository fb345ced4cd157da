"""Contents and messages of evacuations."""

from attrs import frozen

from ..messages import PeerMessage


@frozen
class Evacuation:
    """The content of an evacuation in the store; only its existence matters."""


@frozen
class HoldPrimary(PeerMessage):
    """Ask to hold new statements that need `endpoint`, the primary of a group.

    `attempt` is the sender's number of the planned switchover, `number` that of the
    message. `is_over` asks to go on.
    """

    group: str
    endpoint: str
    attempt: int
    number: int
    is_over: bool = False


@frozen
class HoldConfirmed(PeerMessage):
    """Tell that the sender has no work at the primary, in answer to a `HoldPrimary`.

    `hold` is the sender's number of the hold; another one tells that it had ended.
    """

    group: str
    attempt: int
    number: int
    hold: int
