"""Rows of sessions, of their operations and of the pools of connections.

`tables` has the other rows, the state that holds all tables, and their conventions.
"""

from collections import deque
from datetime import timedelta
from enum import StrEnum

from attrs import define, field, frozen

from .clock import NEVER
from .messages import Access, Position
from .session_messages import ApplyStep, Command, Phase, Prepare, SessionStatement


class Consistency(StrEnum):
    """What the reads of a route must see."""

    PRIMARY = "primary"  # Every acknowledged write.
    BOUNDED = "bounded"  # Every write older than the route's age.
    OWN_WRITES = "own-writes"  # As BOUNDED, and the session's own writes.


@frozen
class Route:
    """How the sessions of a database name are served."""

    database: str
    group: str
    consistency: Consistency
    max_staleness: timedelta
    timeout: timedelta  # Of one statement at a database.
    objective: timedelta  # For the latency of a whole operation.
    priority: int  # 0 is the highest.
    is_open: bool  # Needs no key.


@define
class SessionLimits:
    """Limits that the configuration sets for sessions and groups."""

    transaction_idle: timedelta = timedelta(seconds=3)
    connections: dict[str, int] = field(factory=dict)  # Of an endpoint, by group.


@define
class SessionRow:
    """A client's session; `connection` is pinned by its transaction, or 0."""

    session: int
    database: str
    workspace: str  # Empty on an open route.
    key_digest: str
    used_at: timedelta
    phase: Phase = Phase.IDLE
    read_only: bool = False
    began_at: timedelta = NEVER  # Of the transaction.
    route: Route | None = None  # Of the transaction.
    wrote: bool = False  # In the transaction.
    ran: bool = False  # A statement of the transaction.
    connection: int = 0
    operation: int = 0
    values: dict[str, str] = field(factory=dict)
    prepared: dict[str, Prepare] = field(factory=dict)
    writes: dict[str, Position] = field(factory=dict)  # The last one, by group.
    waiting: deque[SessionStatement] = field(factory=deque)


class Stage(StrEnum):
    """How far an operation has come."""

    RATE = "rate"  # Waits for a token of its workspace's rate.
    HELD = "held"  # Waits for an endpoint that can serve it.
    QUEUED = "queued"  # Waits for a connection.
    BEGINNING = "beginning"  # A transaction is begun for it.
    RUNNING = "running"  # Sent to the database.


@define
class OperationRow:
    """A statement of a session from its arrival to its answer."""

    operation: int
    session: int
    statement_id: str
    command: Command
    route: Route
    workspace: str
    access: Access
    text: str
    arrived_at: timedelta
    aged_from: timedelta  # Its reads must see what is old enough by this time.
    primary_only: bool
    stage: Stage = Stage.RATE
    shape: Prepare | None = None  # Of a prepared statement.
    endpoint: str = ""
    connection: int = 0
    minimum: Position | None = None
    staged_at: timedelta = NEVER  # When its stage began.
    attempts: int = 0
    tried: set[str] = field(factory=set)  # Endpoints that refused it.
    timed_out: bool = False  # Its endpoint did not answer in time.


@define
class PooledRow:
    """A connection to an endpoint, for one workspace."""

    connection: int
    endpoint: str
    group: str
    workspace: str
    opened_at: timedelta
    is_open: bool = False
    operation: int = 0
    session: int = 0  # Whose transaction is open on it.
    idle_since: timedelta = NEVER
    steps: deque[tuple[ApplyStep, timedelta]] = field(factory=deque)  # With its time.
    values: dict[str, str] = field(factory=dict)
    shapes: dict[tuple[Access, str], str] = field(factory=dict)  # To the name there.
    releasing: bool = False  # Becomes idle when its steps are answered.


@define
class PoolRow:
    """The connections of an endpoint and the operations that wait for one."""

    endpoint: str
    group: str
    connections: set[int] = field(factory=set)
    waiting: dict[str, deque[int]] = field(factory=dict)  # By workspace, in turns.
    full_until: timedelta = NEVER  # The endpoint refused one connection more.
    failing_since: timedelta | None = None
    failures: int = 0
    retry_at: timedelta = NEVER
    answered_at: timedelta = NEVER
    lost_at: timedelta = NEVER  # When an open connection was last lost.
    behind_until: timedelta = NEVER
    position: Position | None = None  # Of its log, when a connection was opened.
    position_at: timedelta = NEVER
    round_trip: timedelta | None = None  # Measured by opening connections.
    service: timedelta = timedelta(milliseconds=20)  # Moving average of a statement.
    service_at: timedelta = NEVER


class EndpointRole(StrEnum):
    """What an endpoint says of itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@frozen
class RegisteredEndpoint:
    """What a database writes about itself into the registry."""

    group: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    role: EndpointRole
    incarnation: int  # When its process started, in Unix milliseconds.


@define
class RegistryRow:
    """A database of the registry, until it is certainly gone."""

    name: str
    entry: RegisteredEndpoint
    revision: int
    missing_since: timedelta | None = None
    leaving_since: timedelta | None = None


@define
class LeadershipRow:
    """What is known of a group's primary.

    At `sampled_at` or later, `position` was the end of the primary's log.
    """

    group: str
    primary: str = ""
    position: Position | None = None
    sampled_at: timedelta = NEVER
    denied: dict[str, timedelta] = field(factory=dict)  # Endpoints that lost the lead.


@define
class PromotionRow:
    """How a group's primary looks to this instance, and its part in replacing it."""

    group: str
    # Of other instances: when the report came, and whether the primary fails there.
    reports: dict[str, tuple[timedelta, bool]] = field(factory=dict)
    reported_at: timedelta = NEVER
    queried_at: timedelta = NEVER
    askers: set[str] = field(factory=set)  # Instances that wait for a report.
    probed_at: timedelta = NEVER
    missing_since: timedelta | None = None  # No endpoint calls itself primary.
    choosing_since: timedelta | None = None
    is_writing: bool = False  # The token's write is on its way.
    next_at: timedelta = NEVER  # No decision before.
    rejected: set[str] = field(factory=set)  # Endpoints that could not be promoted.
    old_primary: str = ""
    target: str = ""
    token: int = 0
    call: int = 0  # On its way, or 0.
    called_at: timedelta = NEVER
    seen_token: int = 0  # The highest in the store, and when it was first seen.
    seen_at: timedelta = NEVER
