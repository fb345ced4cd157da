"""Messages of sessions held on client connections, and of pooled connections.

`messages` has the messages of the HTTP interface, of the store and between instances.
Statements are parsed into command types where they enter; texts that a database must
receive unchanged stay in a field of the command.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen

from .messages import Access, Position


class Phase(StrEnum):
    """The transaction state of a session or connection between two statements."""

    IDLE = "idle"
    OPEN = "open"  # In a transaction.
    FAILED = "failed"  # In a failed transaction, which can only be ended.


class Fault(StrEnum):
    """Why a statement has no result."""

    OVERLOADED = "overloaded"
    ABORTED = "aborted"  # The transaction was rolled back.
    BEHIND = "behind"  # The endpoint's log lacks the minimum position.
    READ_ONLY = "read-only"  # The endpoint is not the primary.
    WRONG_ENDPOINT = "wrong-endpoint"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    STATEMENT_UNKNOWN = "statement-unknown"  # No such prepared statement.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    IN_DOUBT = "in-doubt"  # The statement may have run.
    MALFORMED = "malformed"
    DATABASE_UNKNOWN = "database-unknown"
    KEY_INVALID = "key-invalid"


# After one of these faults, the database certainly did not run the statement.
NOT_RUN = frozenset(
    {Fault.OVERLOADED, Fault.BEHIND, Fault.READ_ONLY, Fault.STATEMENT_UNKNOWN}
)


# --- Statements of a session


@frozen
class Command:
    """Base of the statements that a client can send on its session."""


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
    """Set a named value of the session."""

    name: str
    value: str


@frozen
class Prepare(Command):
    """Prepare a statement under a name; `shape` is its text without arguments."""

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
    """Remove a prepared statement from the session."""

    name: str


@frozen
class Unreadable(Command):
    """A statement that could not be parsed; `detail` tells why."""

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
    """Why a statement or session is refused, and after which time to retry."""

    fault: Fault
    detail: str = ""
    retry_after: timedelta | None = None  # None if the client is told no time.


@frozen
class AcceptSession:
    """Tell the client that its session is open."""

    session: int


@frozen
class RefuseSession:
    """Tell the client why its session is refused, and close its connection."""

    session: int
    refusal: Refusal


@frozen
class AnswerStatement:
    """Give a statement's result to the client."""

    session: int
    phase: Phase
    rows: tuple[str, ...] = ()
    signature: str = ""  # From the database; empty if this instance answered.
    position: Position | None = None


@frozen
class RefuseStatement:
    """Tell the client why a statement has no result."""

    session: int
    phase: Phase
    refusal: Refusal


@frozen
class EndSession:
    """Close a session's client connection; none of its statements is in flight."""

    session: int


@frozen
class StopListening:
    """Accept no further client connections."""


# --- Steps on a pooled connection


@frozen
class ApplyStep:
    """Base of the requests that are sent on a pooled connection."""


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
    """Prepare a statement under the connection's own name for it."""

    name: str
    access: Access
    shape: str


@frozen
class BeginWork(ApplyStep):
    """Begin a transaction; with `minimum`, only if the endpoint's log has it."""

    read_only: bool = False
    minimum: Position | None = None


@frozen
class EndWork(ApplyStep):
    """Roll back the connection's open transaction, if any."""


@frozen
class RunStatement(ApplyStep):
    """Run a client's statement; with `minimum`, only if the endpoint's log has it."""

    statement_id: str
    text: str
    minimum: Position | None = None


@frozen
class RunPrepared(ApplyStep):
    """Run a prepared statement of a client, under the connection's name for it."""

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
    """Send steps on a connection in one write; they are answered in order."""

    connection: int
    steps: tuple[ApplyStep, ...]


class ReplicaCommand(StrEnum):
    """What a replica is told about receiving commits, on a new connection."""

    NONE = "none"
    # Until it is told to resume, a promotion or its restart.
    STOP_RECEIVING = "stop-receiving"
    RESUME_RECEIVING = "resume-receiving"


@frozen
class OpenPooled:
    """Open a connection to an endpoint for a workspace.

    A `command` is sent with its opening; `term` is above all terms so far.
    """

    connection: int
    address: str
    group: str
    workspace: str
    endpoint: str
    command: ReplicaCommand = ReplicaCommand.NONE
    term: int = 0


@frozen
class ClosePooled:
    """Close a pooled connection; the database rolls back its open transaction."""

    connection: int


@frozen
class PooledOpened:
    """A pooled connection is ready; `position` is the end of the endpoint's log.

    `received` is what a replica has received, if it was told to stop receiving and is
    one; `has_stopped` tells that it accepted that, and `term` the newest term that it
    knows (0: not told). It has not stopped if it was told so with no higher term.
    """

    connection: int
    position: Position | None = None
    received: Position | None = None
    has_stopped: bool = False
    term: int = 0


@frozen
class PooledLost:
    """A pooled connection failed or was refused.

    `fault` is the database's reason, if it gave one.
    """

    connection: int
    fault: Fault | None = None


@frozen
class StepAnswered:
    """The oldest step in flight on a connection was answered."""

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
    """An idle connection of its pool was assigned to an operation."""

    operation: int
    connection: int


@frozen
class EndpointFailed:
    """An endpoint opens no connections; operations that wait for it go elsewhere."""

    endpoint: str


@frozen
class TransactionLost:
    """The connection that a session's transaction was pinned to is lost."""

    session: int


@frozen
class OperationLost:
    """The connection or the endpoint of an operation is lost."""

    operation: int


@frozen
class StatementEnded:
    """A statement has ended; its session can start the next one."""

    session: int


@frozen
class PlacementNeeded:
    """An operation must be placed on an endpoint again."""

    operation: int
