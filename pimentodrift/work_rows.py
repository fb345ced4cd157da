"""Rows of the owner's side: work, its queues and transactions, and connections.

`tables` has the other rows, the state that holds all tables, and their conventions.
"""

from collections import deque
from datetime import timedelta
from enum import StrEnum

from attrs import define, field

from .clock import NEVER
from .errors import Failure
from .messages import Position, Rows, Statement
from .peer_messages import Forward

# --- queueing, execution, transactions (the owner's side)


class Step:
    """What the batch in flight does for a piece of work; see `execution`."""

    commits = False  # The batch contains a COMMIT.


@define
class WorkRow:
    """A forwarded request at the owner, from its arrival to its reply."""

    work: int
    sender: str  # Empty for the owner's own work.
    forward: Forward
    arrived_at: timedelta
    deadline: timedelta
    started_at: timedelta | None = None  # None while it is queued.
    connection: int = 0  # 0 before it starts and after its last batch.
    step: Step | None = None
    expected_cost: float = 0.0  # Seconds of slot time charged at the start.
    is_answered: bool = False
    position: Position = Position(0, 0)
    rows: Rows = Rows()
    replayed: bool = False
    # Sets the session's values before the statement, and its place in the batch.
    values: Statement | None = None
    values_at: int | None = None
    is_resetting: bool = False  # The batch first drops what another workspace left.


@define
class EndpointQueue:
    """The queued work and the work connections of an endpoint."""

    endpoint: str
    waiting: dict[str, deque[int]] = field(factory=dict)  # By workspace.
    rotation: deque[str] = field(factory=deque)  # Workspaces with queued work.
    deficits: dict[str, float] = field(factory=dict)  # Seconds of slot time.
    queued_cost: dict[str, float] = field(factory=dict)  # Seconds, by workspace.
    head_granted: bool = False  # The rotation's head got its quantum.
    urgent: deque[int] = field(factory=deque)  # Work of open transactions.
    running: set[int] = field(factory=set)
    idle: deque[tuple[int, timedelta]] = field(factory=deque)  # (number, since).
    opening: dict[int, timedelta] = field(factory=dict)  # Number: since.
    connections: set[int] = field(factory=set)  # All work connections.
    transactions: set[str] = field(factory=set)  # The open ones.
    is_reachable: bool = True  # The last attempt to open a connection succeeded.
    outcomes_term: int = 0  # The term in which the outcomes table was seen.
    outcomes_cleaned_at: timedelta = NEVER


@define
class TransactionRow:
    """A caller's transaction on a connection of the owner."""

    transaction: str
    workspace: str
    key_id: str
    endpoint: str
    term: int
    connection: int  # 0 once the transaction has ended.
    began_at: timedelta
    used_at: timedelta
    work: int = 0  # The work that runs in it, or 0.
    waiting: deque[int] = field(factory=deque)
    ended: Failure | None = None  # What later requests are told.
    values: dict[str, str] = field(factory=dict)  # Of the session, set in it.


# --- connections


class ConnectionPurpose(StrEnum):
    """What a connection to an endpoint carries."""

    WORK = "work"
    MONITOR = "monitor"


@define
class ConnectionRow:
    """A connection to an endpoint; `batch` is in flight, or 0."""

    connection: int
    endpoint: str
    purpose: ConnectionPurpose
    opened_at: timedelta
    is_open: bool = False
    batch: int = 0
    workspace: str = ""  # Whose work ran on it last; empty after a reset.
