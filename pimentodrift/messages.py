"""All messages that enter and leave the decision core.

Three families: between instances (`PeerMessage` subclasses, sent over msgpack
streams), from the shell to the core, and from the core to the shell. Times that
travel between instances are durations in milliseconds, because clocks differ.
"""

from enum import StrEnum
from typing import Any

from attrs import field, frozen

from .errors import Failure

# A value that PostgreSQL parameters, JSON and msgpack can all carry.
Scalar = str | int | float | bool | None


class Access(StrEnum):
    """Whether a statement may run on a replica."""

    READ = "read"
    WRITE = "write"


class Action(StrEnum):
    """What a forwarded request asks of the owner."""

    STATEMENT = "statement"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Durability(StrEnum):
    """How many endpoints of a group must receive a write before its acknowledgment."""

    MAJORITY = "majority"
    ALL = "all"


@frozen(order=True)
class Position:
    """A place in a group's log; positions are ordered by term, then by offset."""

    term: int
    offset: int


@frozen
class Statement:
    """An SQL text with its parameters ($1, $2, ...)."""

    text: str
    parameters: tuple[Scalar, ...] = ()


@frozen
class Rows:
    """The result of a statement."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()


# --- Between instances


@frozen
class PeerMessage:
    """Base of the messages between instances."""


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
class Ran:
    """The request ran; `position` is the session's position after it.

    For a read, `position` is a lower bound of what the read saw.
    """

    rows: Rows
    position: Position
    transaction: str = ""
    replayed: bool = False  # The answer of an earlier run with the idempotency key.


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
class StoreObject:
    """An object of the platform's store; `value` is None when it was deleted."""

    kind: str
    name: str
    version: int
    value: dict[str, Any] | None


@frozen
class Subscribe(PeerMessage):
    """Ask a relay for all objects changed after `version`, now and later.

    Sent again each second; `number` tells the subscriber which request was answered.
    """

    version: int
    number: int = 0


@frozen
class ViewUpdate(PeerMessage):
    """Carry changed objects from a relay; confirm freshness when there are none.

    `age_ms` is the time since the store last confirmed the relay's copy. `number` is
    that of the subscriber's last `Subscribe`. The items are all changes after `after`
    up to `version`, so a subscriber whose copy is older than `after` has missed some.
    `version` is 0 while more items follow.
    """

    version: int
    age_ms: int
    number: int = 0
    after: int = 0
    items: tuple[StoreObject, ...] = ()


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


# --- From the shell to the core


@frozen
class CallerRequest:
    """A whole HTTP request; header names are in lower case."""

    request: int
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str = ""  # The caller's own or the server's, for the log.


@frozen
class CallerGone:
    """The caller's connection closed before its answer."""

    request: int


@frozen
class PeerReceived:
    """A message from another instance."""

    instance: str
    message: PeerMessage


@frozen
class PeerLost:
    """The stream to an instance closed or could not be opened.

    `unsent` has the request numbers of `Forward` messages of which no byte was sent.
    `refused` tells that the machine answered and nothing listens on the address any
    more, which proves that the process has ended; a paused process still accepts.
    """

    instance: str
    unsent: frozenset[int] = frozenset()
    refused: bool = False


@frozen
class EndpointOpened:
    """A connection that the core asked for is ready."""

    connection: int


@frozen
class StatementResult:
    """The result of one statement of a batch; `error` is the database's message."""

    rows: Rows = Rows()
    error: str = ""
    sqlstate: str = ""


@frozen
class EndpointAnswered:
    """All results of the batch that runs on a connection.

    A failed statement ends its pipeline segment: later statements have SQLSTATE
    "aborted" and did not run.
    """

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class EndpointClosed:
    """A connection failed, closed, or could not be opened.

    `refused` tells that it failed before the endpoint accepted it: nothing listens on
    the address.
    """

    connection: int
    detail: str = ""
    refused: bool = False


@frozen
class ObjectsReceived:
    """Answer of the store to a watch."""

    version: int
    items: tuple[StoreObject, ...]


@frozen
class StoreFailed:
    """A call of the store failed or timed out; a write may have taken effect."""

    call: int
    detail: str = ""


@frozen
class StoreWritten:
    """A conditional update succeeded."""

    call: int
    item: StoreObject


@frozen
class StoreConflict:
    """A conditional update found another version; `item` is the current object."""

    call: int
    item: StoreObject | None


@frozen
class StopRequested:
    """The process received SIGTERM or SIGINT."""


# --- From the core to the shell


@frozen
class CallerAnswer:
    """The whole HTTP answer to a request."""

    request: int
    status: int
    headers: dict[str, str]
    body: bytes


@frozen
class SendPeer:
    """Send a message to an instance, dialing `address` (host:port) if needed."""

    instance: str
    address: str
    message: PeerMessage


@frozen
class ClosePeer:
    """Close the stream to an instance that does not answer."""

    instance: str


@frozen
class OpenEndpoint:
    """Open a connection to an endpoint at `address` (host:port)."""

    connection: int
    endpoint: str
    address: str


@frozen
class RunBatch:
    """Send statements in one round trip and answer with `EndpointAnswered`.

    `segments` are pipeline segments, each closed by a Sync: an error in one segment
    does not stop the next.
    """

    connection: int
    batch: int
    segments: tuple[tuple[Statement, ...], ...]


@frozen
class CloseEndpoint:
    """Close a connection to an endpoint."""

    connection: int


@frozen
class WatchStore:
    """Ask the store for changes after `version`; one watch at a time."""

    version: int
    wait_ms: int


@frozen
class WriteStore:
    """Write an object if its version is still `version` (0: create it)."""

    call: int
    kind: str
    name: str
    version: int
    value: dict[str, Any] = field(factory=dict)


@frozen
class DeleteStore:
    """Delete an object if its version is still `version`."""

    call: int
    kind: str
    name: str
    version: int


@frozen
class ExitProcess:
    """The graceful shutdown is complete."""


# --- Inside the core


@frozen
class Notice:
    """Base of what is told to whoever needs it; an assembly may have nobody."""


@frozen
class Admitted:
    """The rate of its workspace admits a waiting request."""

    request: int


@frozen
class Refused:
    """A waiting request gets its final answer."""

    request: int
    failure: Failure


@frozen
class WorkAnswered:
    """A batch on a connection that carries callers' work has ended."""

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class WorkConnectionReady:
    """A connection for callers' work is open and idle."""

    connection: int


@frozen
class WorkConnectionLost:
    """A connection that carried callers' work is gone; `batch` was in flight or 0."""

    connection: int
    endpoint: str
    batch: int


@frozen
class MonitorAnswered:
    """A batch on a monitoring connection has ended."""

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class MonitorConnectionReady:
    """A monitoring connection is open."""

    connection: int


@frozen
class MonitorConnectionLost:
    """A monitoring connection is gone; `batch` was in flight or 0."""

    connection: int
    endpoint: str
    batch: int
    refused: bool = False


@frozen
class SlotReleased:
    """A slot or a work connection of an endpoint is free again."""

    endpoint: str


@frozen
class WriteAcknowledged:
    """A majority of the group has received the write of a piece of work."""

    work: int


@frozen
class WriteUnconfirmed:
    """The write of a piece of work was not confirmed by its deadline or its term."""

    work: int
    failure: Failure


@frozen
class PrimaryChanged(Notice):
    """A group has a new term."""

    group: str


@frozen
class ConfigurationChanged(Notice):
    """Another publication is in force; keys may have been withdrawn."""


@frozen
class InstanceDown(Notice):
    """An instance is suspected: its stream closed or it does not answer.

    `unsent` has the numbers of requests of which no byte reached it.
    """

    instance: str
    unsent: frozenset[int]
    refused: bool = False
