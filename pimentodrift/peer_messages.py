"""Messages between instances, sent over msgpack streams.

Times that travel between instances are durations in milliseconds, because clocks
differ.
"""

from attrs import frozen

from .errors import Failure
from .messages import (
    Access,
    Action,
    Durability,
    PeerMessage,
    Position,
    Ran,
    Statement,
    StoreObject,
)
from .session_rows import RegisteredEndpoint


@frozen
class Hello(PeerMessage):
    """Introduce the dialing instance; the first message on a stream."""

    instance: str
    region: str
    data_centre: str


@frozen
class Ping(PeerMessage):
    """Ask for a `Pong` with the same number."""

    number: int


@frozen
class EndpointSample:
    """The state of an endpoint as its owner last read it, `age_ms` ago."""

    endpoint: str
    is_primary: bool
    position: Position
    age_ms: int


@frozen
class Pong(PeerMessage):
    """Answer a `Ping`; tell the positions of the endpoints that the sender owns.

    `store_age_ms` is the time since the sender last had its configuration confirmed
    by the store, directly or through a relay.
    """

    number: int
    store_age_ms: int
    samples: tuple[EndpointSample, ...] = ()


@frozen
class Forward(PeerMessage):
    """Ask the owner of `endpoint` to carry out one action for a workspace.

    `minimum` is the session's position: a read below it must not be answered.
    `primary_only` asks that a read is refused unless the endpoint is the primary.
    `term` is the group's term that the entry knows. `remaining_ms` is the time left
    until the caller's deadline. `transaction` names an open transaction on the owner.
    """

    request: int
    endpoint: str
    workspace: str
    key_id: str
    action: Action
    access: Access
    statement: Statement
    minimum: Position
    term: int
    remaining_ms: int
    durability: Durability = Durability.MAJORITY
    idempotency_key: str = ""
    body_digest: str = ""
    transaction: str = ""
    primary_only: bool = False
    values: tuple[tuple[str, str], ...] = ()  # Of the session, by name.
    request_id: str = ""  # For the log.


@frozen
class Reply(PeerMessage):
    """Answer the `Forward` with the same request number."""

    request: int
    result: Ran | Failure


@frozen
class Cancel(PeerMessage):
    """Tell the owner that the caller of a request has disconnected."""

    request: int


@frozen
class Subscribe(PeerMessage):
    """Ask a relay for all objects changed after `version`, now and later.

    Sent again each second; `number` tells the subscriber which request was answered.
    `registry` is the revision up to which the subscriber knows the registry, if it has
    one apart from the objects.
    """

    version: int
    number: int = 0
    registry: int = 0


@frozen
class RelayedEndpoint:
    """An entry of the registry at a revision; one without content is gone."""

    name: str
    revision: int
    content: RegisteredEndpoint | None


@frozen
class RegistryUpdate:
    """All changes of the registry after a revision up to another one."""

    after: int
    revision: int
    changes: tuple[RelayedEndpoint, ...]


@frozen
class ViewUpdate(PeerMessage):
    """Carry changed objects from a relay; confirm freshness when there are none.

    `age_ms` is the time since the store last confirmed the relay's copy. `number` is
    that of the subscriber's last `Subscribe`. The items are all changes after `after`
    up to `version`, so a subscriber whose copy is older than `after` has missed some.
    `version` is 0 while more items follow. Where the store keeps the configuration
    apart, the relay knows of no change of it after `configured_at`.
    """

    version: int
    age_ms: int
    number: int = 0
    after: int = 0
    items: tuple[StoreObject, ...] = ()
    configured_at: int = 0
    registry: RegistryUpdate | None = None


@frozen(order=True)
class Epoch:
    """Identifies one allocator's time in charge; the highest wins."""

    number: int
    holder: str


@frozen
class ShareReport(PeerMessage):
    """Tell the allocator of a workspace what this holder has and needs.

    `demand` is in requests per second; `tokens_needed` counts requests that wait;
    `admitted` counts the requests admitted since the holder started.
    """

    workspace: str
    epoch: Epoch
    rate: float
    burst: float
    tokens: float
    demand: float
    tokens_needed: float
    number: int = 0
    admitted: int = 0
    granted: int = 0  # The report that the last `ShareGrant` answered.


@frozen
class ShareRenew(PeerMessage):
    """Confirm a holder's share; a newer epoch binds the holder to the new allocator.

    `number` is that of the `ShareReport` that it answers, or 0.
    """

    workspace: str
    epoch: Epoch
    number: int = 0


@frozen
class ShareLower(PeerMessage):
    """Ask a holder to give up parts of its share, numbered for retransmission."""

    workspace: str
    epoch: Epoch
    number: int
    rate: float
    burst: float


@frozen
class ShareLowered(PeerMessage):
    """Report what a holder has given up for the `ShareLower` with the same number."""

    workspace: str
    epoch: Epoch
    number: int
    rate: float
    burst: float
    tokens: float


@frozen
class ShareRaise(PeerMessage):
    """Add to a holder's share; `number` makes a repeated message harmless."""

    workspace: str
    epoch: Epoch
    number: int
    rate: float
    burst: float
    tokens: float


@frozen
class ShareRaised(PeerMessage):
    """Confirm the `ShareRaise` with the same number."""

    workspace: str
    epoch: Epoch
    number: int


@frozen
class ShareDenied(PeerMessage):
    """Tell a holder that the workspace has no free tokens for `retry_after_ms`."""

    workspace: str
    epoch: Epoch
    retry_after_ms: int


@frozen
class ShareGrant(PeerMessage):
    """Give tokens to the requests that wait at a holder, to be spent at once.

    `number` is that of the `ShareReport` that it answers.
    """

    workspace: str
    epoch: Epoch
    number: int
    tokens: int


@frozen
class ProbeQuery(PeerMessage):
    """Ask another owner of the group whether the primary of `term` fails for it too."""

    group: str
    term: int


@frozen
class ProbeReport(PeerMessage):
    """Tell for how long the primary has failed for the sender; 0 when it answers.

    `lasts` tells that the sender holds this for long enough to replace the primary.
    """

    group: str
    term: int
    failing_ms: int
    lasts: bool = False


@frozen
class GroupChanged(PeerMessage):
    """Announce a new primary ahead of the store's watch; the higher term wins."""

    group: str
    term: int
    primary: str
    term_starts: dict[int, int]


@frozen
class Leaving(PeerMessage):
    """Announce a graceful shutdown: the sender gives up its roles."""

    instance: str
