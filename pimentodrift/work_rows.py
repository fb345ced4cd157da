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
    connection: int = 0  # 0 before the work starts and after its last batch.
    step: Step | None = None
    expected_cost: float = 0.0  # Slot time deducted at the start, in seconds.
    is_answered: bool = False
    position: Position = Position(0, 0)  # Of the committed write.
    rows: Rows = Rows()  # Result of the write, until it is acknowledged.
    replayed: bool = False  # `rows` come from an idempotency record.
    values: Statement | None = None  # Sets the session's values before the statement.
    values_at: int | None = None  # Index of `values` in the batch.
    is_resetting: bool = False  # The batch begins with a reset of the connection.


@define
class EndpointQueue:
    """The queued work and the work connections of an endpoint."""

    endpoint: str
    waiting: dict[str, deque[int]] = field(factory=dict)  # Work, by workspace.
    rotation: deque[str] = field(factory=deque)  # Workspaces with queued work.
    deficits: dict[str, float] = field(factory=dict)  # Slot seconds, by workspace.
    queued_cost: dict[str, float] = field(factory=dict)  # Slot seconds, by workspace.
    head_granted: bool = False  # The rotation's head has got its quantum.
    urgent: deque[int] = field(factory=deque)  # Queued work of open transactions.
    running: set[int] = field(factory=set)  # Work that holds a slot.
    # Idle connections with the time since when, the least recently used first.
    idle: deque[tuple[int, timedelta]] = field(factory=deque)
    # Connections that are being opened, with the time since when.
    opening: dict[int, timedelta] = field(factory=dict)
    connections: set[int] = field(factory=set)  # All work connections.
    transactions: set[str] = field(factory=set)  # Ids of open transactions.
    is_reachable: bool = True  # The last attempt to open a connection succeeded.
    outcomes_term: int = 0  # The term in which the outcomes table was seen.
    outcomes_cleaned_at: timedelta = NEVER  # Last deletion of expired records.


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
    used_at: timedelta  # When it began, last ended a statement, or ended.
    work: int = 0  # Its work that is running or queued for a slot, or 0.
    waiting: deque[int] = field(factory=deque)  # Further work, in order of arrival.
    ended: Failure | None = None  # Failure of later requests; None while it is open.
    values: dict[str, str] = field(factory=dict)  # Session values set in it.


# --- connections


class ConnectionPurpose(StrEnum):
    """What a connection to an endpoint carries."""

    WORK = "work"
    MONITOR = "monitor"


@define
class ConnectionRow:
    """A connection to an endpoint."""

    connection: int
    endpoint: str
    purpose: ConnectionPurpose
    opened_at: timedelta
    is_open: bool = False
    batch: int = 0  # The batch in flight, or 0.
    workspace: str = ""  # The workspace that used it last; empty: none so far.
