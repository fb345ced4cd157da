"""Messages between the decision core and the shell, and the values in them.

`peer_messages` has the messages between instances, and `notices` those between modules
of the core.
"""

from enum import StrEnum
from typing import Any

from attrs import field, frozen

# A value that PostgreSQL parameters, JSON and msgpack can all carry.
Scalar = str | int | float | bool | None


class Access(StrEnum):
    """Whether a statement only reads; only a read may run on a replica."""

    READ = "read"
    WRITE = "write"


class Action(StrEnum):
    """What a forwarded request asks the owner to do."""

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
    """A position in a group's log; positions are ordered by term, then by offset."""

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
    """The result of a request that ran.

    `position` is the session's position after the request; for a read, it is a lower
    bound of what the read saw.
    """

    rows: Rows
    position: Position
    transaction: str = ""
    replayed: bool = False  # The answer of an earlier run with the idempotency key.


@frozen
class StoreObject:
    """An object of the platform's store; `value` is None if the object was deleted."""

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
    request_id: str = ""  # For the log; from the caller, else from the server.


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
    `refused` tells that the machine refused the connection because nothing listens on
    the address any more. This proves that the process has ended, since a paused process
    still accepts connections.
    """

    instance: str
    unsent: frozenset[int] = frozenset()
    refused: bool = False


@frozen
class EndpointOpened:
    """A connection to an endpoint that the core asked for is ready."""

    connection: int


@frozen
class StatementResult:
    """The result of one statement of a batch; `error` is the database's message."""

    rows: Rows = Rows()
    error: str = ""
    sqlstate: str = ""


@frozen
class EndpointAnswered:
    """The results of all statements of a batch.

    A failed statement ends its pipeline segment: later statements have SQLSTATE
    "aborted" and did not run.
    """

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class EndpointClosed:
    """A connection to an endpoint failed, closed, or could not be opened.

    `refused` tells that the connection was refused because nothing listens on the
    endpoint's address.
    """

    connection: int
    detail: str = ""
    refused: bool = False


@frozen
class ObjectsReceived:
    """The store's answer to a watch; `unreadable` tells what could not be decoded."""

    version: int
    items: tuple[StoreObject, ...]
    unreadable: tuple[str, ...] = ()


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
    """A conditional update found another version.

    `item` is the current object; None if there is none.
    """

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
    """Write an object of the store if its version is still `version`.

    With version 0, the object is created.
    """

    call: int
    kind: str
    name: str
    version: int
    value: dict[str, Any] = field(factory=dict)


@frozen
class DeleteStore:
    """Delete an object of the store if its version is still `version`."""

    call: int
    kind: str
    name: str
    version: int


@frozen
class ExitProcess:
    """End the process, because the graceful shutdown is complete."""
