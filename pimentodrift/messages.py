"""Messages between the decision core and the shell, and the values they share.

`peer_messages` has those between instances and `notices` those inside the core.
"""

from enum import StrEnum
from typing import Any

from attrs import field, frozen

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
class StoreObject:
    """An object of the platform's store; `value` is None when it was deleted."""

    kind: str
    name: str
    version: int
    value: dict[str, Any] | None


@frozen
class PeerMessage:
    """Base of the messages between instances."""


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
