"""Messages of sessions that are connections, and of the pooled connections behind them.

`messages` has the messages of the HTTP interface, of the store and between instances.
A session's statements are typed where they enter; texts that a database must receive
unchanged travel beside the type.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen

from .messages import Access, Position


class Phase(StrEnum):
    """Where a session or connection stands between two statements."""

    IDLE = "idle"
    OPEN = "open"  # In a transaction.
    FAILED = "failed"  # In a transaction that can only be ended.


class Fault(StrEnum):
    """Why a statement has no result."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"  # The transaction was rolled back.
    BEHIND = "behind"  # The log lacks the position asked for.
    READ_ONLY = "read-only"  # The endpoint is not the primary.
    WRONG_ENDPOINT = "wrong-endpoint"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    STATEMENT_UNKNOWN = "statement-unknown"  # No such prepared statement.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    IN_DOUBT = "in-doubt"
    MALFORMED = "malformed"
    DATABASE_UNKNOWN = "database-unknown"
    KEY_INVALID = "key-invalid"


# With these, a database certainly did not run the statement.
NOT_RUN = frozenset(
    {Fault.OVERLOADED, Fault.BEHIND, Fault.READ_ONLY, Fault.STATEMENT_UNKNOWN}
)


# --- Statements of a session


@frozen
class Command:
    """Base of what a client can ask on its session."""


@frozen
class Begin(Command):
    """Begin a transaction."""

    read_only: bool = False


@frozen
class Commit(Command):
    """Commit the transaction."""


@frozen
class Rollback(Command):
    """Roll the transaction back."""


@frozen
class Run(Command):
    """Run a statement; `text` reaches the database unchanged."""

    access: Access
    text: str


@frozen
class SetValue(Command):
    """Set a value of the session."""

    name: str
    value: str


@frozen
class Prepare(Command):
    """Give a statement's shape a name in the session."""

    name: str
    access: Access
    shape: str


@frozen
class Execute(Command):
    """Run a prepared statement; `arguments` reach the database unchanged."""

    name: str
    arguments: str


@frozen
class Deallocate(Command):
    """Forget a prepared statement."""

    name: str


@frozen
class Unreadable(Command):
    """A statement that is none of the above."""

    detail: str


# --- From the shell to the core


@frozen
class SessionOpened:
    """A client opened a session on a database with a key."""

    session: int
    database: str
    key: str


@frozen
class SessionStatement:
    """A client sent a statement; `statement_id` is its own id for it."""

    session: int
    statement_id: str
    command: Command


@frozen
class SessionClosed:
    """The client ended its session, or its connection was lost."""

    session: int


# --- From the core to the shell


@frozen
class Refusal:
    """A fault with what the client should know; `retry_after` when to come back."""

    fault: Fault
    detail: str = ""
    retry_after: timedelta | None = None


@frozen
class AcceptSession:
    """Tell the client that its session is open."""

    session: int


@frozen
class RefuseSession:
    """Tell the client why it gets no session, and close the connection."""

    session: int
    refusal: Refusal


@frozen
class AnswerStatement:
    """Give a statement's result to the client."""

    session: int
    phase: Phase
    rows: tuple[str, ...] = ()
    signature: str = ""  # Of the database; empty for an answer of this instance.
    position: Position | None = None


@frozen
class RefuseStatement:
    """Tell the client that a statement has no result."""

    session: int
    phase: Phase
    refusal: Refusal


@frozen
class EndSession:
    """Close a session's connection; no statement of it is outstanding."""

    session: int


@frozen
class StopListening:
    """Accept no further clients."""


# --- Steps on a pooled connection


@frozen
class ApplyStep:
    """Base of what is sent on a pooled connection."""


@frozen
class ResetSession(ApplyStep):
    """Drop the values and prepared statements of the connection."""


@frozen
class ApplyValue(ApplyStep):
    """Set a session value on the connection."""

    name: str
    value: str


@frozen
class PrepareShape(ApplyStep):
    """Prepare a shape under the connection's own name for it."""

    name: str
    access: Access
    shape: str


@frozen
class BeginWork(ApplyStep):
    """Begin a transaction, read-only at a log that has `minimum`."""

    read_only: bool = False
    minimum: Position | None = None


@frozen
class EndWork(ApplyStep):
    """Roll back what the connection has open."""


@frozen
class RunStatement(ApplyStep):
    """Run a client's statement; a read only at a log that has `minimum`."""

    statement_id: str
    text: str
    minimum: Position | None = None


@frozen
class RunPrepared(ApplyStep):
    """Run a client's prepared statement, which has `name` on this connection."""

    statement_id: str
    name: str
    arguments: str
    minimum: Position | None = None


@frozen
class CommitWork(ApplyStep):
    """Commit a client's transaction."""

    statement_id: str


@frozen
class RunSteps:
    """Send steps on a connection in one write; each is answered in its turn."""

    connection: int
    steps: tuple[ApplyStep, ...]


@frozen
class OpenPooled:
    """Open a connection to an endpoint for a workspace."""

    connection: int
    address: str
    group: str
    workspace: str
    endpoint: str


@frozen
class ClosePooled:
    """Close a pooled connection; the database rolls back what is open on it."""

    connection: int


@frozen
class PooledOpened:
    """A pooled connection is ready; `position` is the end of the endpoint's log."""

    connection: int
    position: Position | None = None


@frozen
class PooledLost:
    """A pooled connection failed; `fault` tells why the database refused it.

    `unreachable` tells that nothing at the address accepted the connection.
    """

    connection: int
    fault: Fault | None = None
    unreachable: bool = False


@frozen
class StepAnswered:
    """The oldest unanswered step of a connection has ended."""

    connection: int
    phase: Phase
    rows: tuple[str, ...] = ()
    signature: str = ""
    position: Position | None = None
    fault: Fault | None = None
    detail: str = ""


# --- Inside the core


@frozen
class ConnectionAssigned:
    """An operation gets an idle connection of its pool."""

    operation: int
    connection: int


@frozen
class EndpointFailed:
    """An endpoint gives no connections; what waits there must go elsewhere."""

    endpoint: str


@frozen
class TransactionLost:
    """The connection that a session's transaction was pinned to is gone."""

    session: int


@frozen
class OperationLost:
    """The connection that carried an operation is gone."""

    operation: int


@frozen
class StatementEnded:
    """A session can go on with its next statement."""

    session: int


@frozen
class Placed:
    """An operation needs another endpoint."""

    operation: int
