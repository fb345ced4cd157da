"""Messages between instances, sent over msgpack streams.

Times in them are durations in milliseconds, because the instances' clocks differ.
"""

from attrs import field, frozen

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

# The era of a message of a build that knows none.
NO_ERA = -1


@frozen
class Hello(PeerMessage):
    """Name the dialing instance; the first message on each stream."""

    instance: str
    region: str
    data_centre: str


@frozen
class Ping(PeerMessage):
    """Ask for a `Pong` with the same number.

    `removal` is the version at which the sender was removed from the list of instances,
    as it knows; 0 if it is listed.
    """

    number: int
    removal: int = 0


@frozen
class EndpointSample:
    """The state of an endpoint that its owner read `age_ms` ago."""

    endpoint: str
    is_primary: bool
    position: Position
    age_ms: int


@frozen
class KnownDecision(PeerMessage):
    """The token of the newest decision on a group's primary that the sender knows."""

    group: str
    token: int


@frozen
class Pong(PeerMessage):
    """Answer a `Ping`; tell the positions of the endpoints that the sender owns.

    `store_age_ms` is the time since the sender last had its configuration confirmed
    by the store, directly or through a relay. `decisions` are all that it knows; None
    if it has not read the store yet, or keeps no replaced primary out of use.
    `uptime_ms` is the age of its process; 0 of a build that does not tell it.
    """

    number: int
    store_age_ms: int
    samples: tuple[EndpointSample, ...] = ()
    decisions: tuple[KnownDecision, ...] | None = None
    uptime_ms: int = 0


@frozen
class Forward(PeerMessage):
    """Ask the owner of `endpoint` to carry out one action for a workspace.

    `minimum` is the session's position: a read below it must not be answered.
    `primary_only` asks that a read is refused unless the endpoint is the primary.
    `term` is the newest term of the group that the entry knows. `remaining_ms` is the
    time left until the caller's deadline. `transaction` names an open transaction on
    the owner.
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
    values: tuple[tuple[str, str], ...] = ()  # Names and values of session variables.
    request_id: str = ""  # Names the request in the log.


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

    Sent again at an interval; a `ViewUpdate` repeats the `number` of the last one that
    the relay received. `registry` is the revision up to which the subscriber knows the
    registry; 0 where the registry is part of the objects. `evacuations` asks for the
    evacuations, which builds before did not know.
    """

    version: int
    number: int = 0
    registry: int = 0
    era: int = NO_ERA
    evacuations: bool = False
    # Revision up to which the subscriber knows the configuration; 0 if it reads that
    # from the store.
    configuration: int = 0


@frozen
class RelayedEndpoint:
    """A database's entry in the registry; `content` is None if it was deleted."""

    name: str
    revision: int
    content: RegisteredEndpoint | None


@frozen
class RegistryUpdate:
    """All changes of the registry after the revision `after`, up to `revision`.

    `age_ms` is the time since the store last confirmed the relay's copy of the
    registry; None from a build that does not tell it.
    """

    after: int
    revision: int
    changes: tuple[RelayedEndpoint, ...]
    age_ms: int | None = None


@frozen
class RelayedEvacuations:
    """All evacuations at `revision`: the revision of each object, by data centre."""

    revision: int
    objects: dict[str, int]


@frozen
class RelayedConfiguration:
    """The configuration at `revision`, in an object that changed at `changed`.

    `content` is empty if the subscriber has it.
    """

    revision: int
    name: str
    changed: int
    content: bytes = field(repr=False)


@frozen
class ViewUpdate(PeerMessage):
    """Send changed objects from a relay; without objects, only confirm the copy.

    `age_ms` is the time since the store last confirmed the relay's copy. `number` is
    that of the subscriber's last `Subscribe`. The items are all changes after `after`
    up to `version`, so a subscriber whose copy is older than `after` has missed some.
    `version` is 0 while more items follow; `part` counts the messages of an update from
    0, so that a subscriber notices a lost one. Where the configuration is a kind of its
    own in the store, the relay knows of no change of it after revision `configured_at`.
    """

    version: int
    age_ms: int
    number: int = 0
    after: int = 0
    items: tuple[StoreObject, ...] = ()
    configured_at: int = 0
    registry: RegistryUpdate | None = None
    part: int = 0
    era: int = NO_ERA
    evacuations: RelayedEvacuations | None = None
    configuration: RelayedConfiguration | None = None


@frozen(order=True)
class Epoch:
    """Fencing token of a workspace's allocator; the highest epoch wins."""

    number: int
    holder: str


@frozen
class ShareReport(PeerMessage):
    """Tell the allocator of a workspace what share the sender holds and needs.

    `rate` and `demand` are in requests per second. `tokens_needed` counts the requests
    that wait for a token; `admitted` counts those admitted since the sender started.
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
    granted: int = 0  # Number of the report that the last `ShareGrant` answered.
    is_final: bool = False  # The sender has given up its whole share.
    # In a final report: no change of the share up to this number will be applied.
    last_number: int = 0
    declined: int = 0  # Number of a change that was not applied; 0 if there is none.
    # Time since the sender's process started, if it has admitted nothing; else 0.
    quiet_ms: int = 0
    can_stand_by: bool = False  # The sender's build answers a `TokenQuery`.


@frozen
class ShareRenew(PeerMessage):
    """Confirm a holder's share; a newer epoch makes the sender its allocator.

    `number` is that of the `ShareReport` that this message answers, or 0. Builds that
    know no final reports leave `takes_back` out.
    """

    workspace: str
    epoch: Epoch
    number: int = 0
    takes_back: bool = False
    asks_report: bool = False  # An instance without a share answers a final report.
    # Instances besides the allocator that grant tokens of their own shares.
    standbys: tuple[str, ...] = ()
    asks_ledger: bool = False  # The allocator before answers a `LedgerHandover`.
    is_locked: bool = False  # Others may hold a part of the rate; see `locked_shares`.


@frozen
class ShareLower(PeerMessage):
    """Ask a holder to give up part of its share.

    A retransmission keeps `number`, by which the holder detects it.
    """

    workspace: str
    epoch: Epoch
    number: int
    rate: float
    burst: float


@frozen
class ShareLowered(PeerMessage):
    """Report what the sender has given up for the `ShareLower` with the same number."""

    workspace: str
    epoch: Epoch
    number: int
    rate: float
    burst: float
    tokens: float


@frozen
class ShareRaise(PeerMessage):
    """Add to a holder's share; `number` identifies a retransmission."""

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
    """Tell a holder that the workspace has no free tokens before `retry_after_ms`."""

    workspace: str
    epoch: Epoch
    retry_after_ms: int
    is_locked: bool = False  # Others may hold the rate; the workspace may be within it.


@frozen
class ShareGrant(PeerMessage):
    """Give a holder tokens for its waiting requests, to be used at once.

    `number` is that of the `ShareReport` that this message answers.
    """

    workspace: str
    epoch: Epoch
    number: int
    tokens: int


@frozen
class HeldShare:
    """A share that an instance may hold; `rate` in requests/s, `burst` in requests."""

    instance: str
    rate: float
    burst: float


@frozen
class LedgerHandover(PeerMessage):
    """Tell the allocator of `epoch` what its predecessor, the sender, had given out.

    The sender has stopped giving out shares. `locked_rate` and `locked_burst` are what
    it did not know the holders of itself; `free_tokens` were in no share.
    """

    workspace: str
    epoch: Epoch
    locked_rate: float
    locked_burst: float
    free_tokens: float
    held: tuple[HeldShare, ...] = ()


@frozen
class AllocatorOffer(PeerMessage):
    """Offer the role of allocator of a workspace; `epoch` is that of the sender."""

    workspace: str
    epoch: Epoch


@frozen
class TokenQuery(PeerMessage):
    """Ask a standby for tokens of its own share; a `ShareGrant` answers.

    `needed` counts the requests that wait for a token.
    """

    workspace: str
    epoch: Epoch
    number: int
    needed: int


@frozen
class ProbeQuery(PeerMessage):
    """Ask another watcher of the group whether it sees the primary of `term` fail."""

    group: str
    term: int


@frozen
class ProbeReport(PeerMessage):
    """Tell for how long the sender's probes of the primary have failed (0: they pass).

    `lasts` says that this is long enough for the sender to replace the primary.
    """

    group: str
    term: int
    failing_ms: int
    lasts: bool = False


@frozen
class GroupChanged(PeerMessage):
    """Announce a new primary before the store's watch does; the higher term wins."""

    group: str
    term: int
    primary: str
    term_starts: dict[int, int]


@frozen
class Leaving(PeerMessage):
    """Announce a graceful shutdown: the sender gives up its roles."""

    instance: str
