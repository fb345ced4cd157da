"""Rows of sessions, their operations, connection pools, and the registry's endpoints.

`tables` has the other rows, the state that holds all tables, and their conventions.
"""

from collections import deque
from datetime import timedelta
from enum import StrEnum

from attrs import define, field, frozen

from .clock import NEVER
from .messages import Access, Position
from .owners.rows import Origin
from .session_messages import (
    ApplyStep,
    Command,
    Fault,
    Phase,
    Prepare,
    ReplicaCommand,
    SessionStatement,
)
from .warmup.decisions import ColdLimit


class Consistency(StrEnum):
    """Which writes the reads of a route must see."""

    PRIMARY = "primary"  # Every acknowledged write.
    BOUNDED = "bounded"  # Every write older than the route's max_staleness.
    OWN_WRITES = "own-writes"  # As BOUNDED, and the session's own writes.


@frozen
class Route:
    """How the sessions of a database name are served."""

    database: str
    group: str
    consistency: Consistency
    max_staleness: timedelta
    timeout: timedelta  # Limit for one statement at a database.
    objective: timedelta  # Target latency of a whole operation.
    priority: int  # 0 is the highest.
    is_open: bool  # Its sessions need no key.
    regions: frozenset[str] = frozenset()  # Allowed for endpoints; empty: all.


@define
class SessionLimits:
    """Limits that the configuration sets for sessions and groups."""

    # A transaction that is idle for longer is rolled back.
    transaction_idle: timedelta = timedelta(seconds=3)
    # Connection limit of each endpoint, by group.
    connections: dict[str, int] = field(factory=dict)
    cold: dict[str, ColdLimit] = field(factory=dict)  # By group.
    # Replicas that must have received a commit before it is acknowledged, by group.
    sync_replicas: dict[str, int] = field(factory=dict)


@define
class OpeningRow:
    """A session that waits for the first copies of the store."""

    session: int
    database: str
    key_digest: str
    since: timedelta
    # Statements that arrived before the session was open.
    statements: list[SessionStatement] = field(factory=list)


@define
class SessionRow:
    """A client's session."""

    session: int
    database: str
    workspace: str  # Empty on an open route.
    key_digest: str
    used_at: timedelta  # When its last statement arrived or ended.
    phase: Phase = Phase.IDLE
    read_only: bool = False
    began_at: timedelta = NEVER  # When the transaction began.
    route: Route | None = None  # Route of the transaction, fixed when it began.
    wrote: bool = False  # A write of the transaction has run.
    ran: bool = False  # A statement of the transaction has run.
    connection: int = 0  # Pooled connection that its transaction is pinned to, or 0.
    operation: int = 0  # Operation of its current statement, or 0.
    values: dict[str, str] = field(factory=dict)
    prepared: dict[str, Prepare] = field(factory=dict)
    writes: dict[str, Position] = field(factory=dict)  # Its last write, by group.
    # Statements that arrived while another one was in progress.
    waiting: deque[SessionStatement] = field(factory=deque)
    failure: str = ""  # Why its transaction was rolled back, if that is known.
    origin: Origin | None = None  # At the owner of an endpoint: the entry's session.
    owner: str = ""  # At the entry: the instance that its transaction is pinned to.
    # At the entry: the endpoint of that transaction.
    owner_endpoint: str = ""


class Stage(StrEnum):
    """The step of its processing that an operation is in."""

    RATE = "rate"  # Waits for a token of its workspace's rate limit.
    HELD = "held"  # Waits for an endpoint that can serve it.
    QUEUED = "queued"  # Waits for a connection.
    BEGINNING = "beginning"  # Waits for its transaction to begin at the database.
    RUNNING = "running"  # Its statement was sent to the database.
    COLD = "cold"  # Waits on its connection for a token of an endpoint that is slow.
    FORWARDED = "forwarded"  # Was sent to the owner of the endpoint.
    POSITION = "position"  # Its owner asks for the position that it must see.


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
    aged_from: timedelta  # The staleness of its reads is measured back from this time.
    primary_only: bool
    stage: Stage = Stage.RATE
    shape: Prepare | None = None  # The prepared statement that it runs, if any.
    endpoint: str = ""
    connection: int = 0
    minimum: Position | None = None  # The endpoint's log must have it; None: primary.
    staged_at: timedelta = NEVER  # When its stage began.
    attempts: int = 0  # How often it was queued at an endpoint.
    tried: set[str] = field(factory=set)  # Endpoints that refused it or failed.
    timed_out: bool = False  # Its endpoint did not answer in time.
    # When it was put into its endpoint's queue; its stage begins anew with each attempt
    # to get a first connection.
    queued_at: timedelta = NEVER
    cold: set[str] = field(factory=set)  # Cold endpoints that had no token for it.
    cold_stage: Stage | None = None  # Its stage before it waited for a cold endpoint.
    has_cold_token: bool = False  # Until it is sent.
    forwarded: int = 0  # Number at the entry of one that this instance runs as owner.
    received_at: timedelta = NEVER  # When the owner received it.
    asks_position: bool = False  # The owner finds out which position it must see.
    own_write: Position | None = None  # At the owner: a write that it must see.
    busy_retry_after: timedelta | None = None  # Told by an owner with a long queue.
    failing_owners: int = 0  # Owners that got no connection to its endpoint.
    fault: Fault | None = None  # Why its last attempt was not run, if that is known.


@define
class PooledRow:
    """A connection to an endpoint, for one workspace."""

    connection: int
    endpoint: str
    group: str
    workspace: str
    opened_at: timedelta
    is_open: bool = False
    operation: int = 0  # Operation that uses it, or 0.
    session: int = 0  # Session whose transaction is pinned to it, or 0.
    needs_primary: bool = False  # Only the primary may run what it is used for.
    idle_since: timedelta = NEVER
    # Steps in flight, each with its send time.
    steps: deque[tuple[ApplyStep, timedelta]] = field(factory=deque)
    values: dict[str, str] = field(factory=dict)
    # Its names of prepared statements, by access and text.
    shapes: dict[tuple[Access, str], str] = field(factory=dict)
    releasing: bool = False  # Becomes idle when its steps in flight are answered.
    # When it was assigned, and the time charged for that (`service_order`).
    assigned_at: timedelta = NEVER
    charged: timedelta = timedelta(0)
    command: ReplicaCommand = ReplicaCommand.NONE  # Sent with its opening.
    term: int = 0  # Of the command.


@define
class PoolRow:
    """The connections of an endpoint and the operations that wait for one."""

    endpoint: str
    group: str
    connections: set[int] = field(factory=set)
    # Operations by workspace; the order of the workspaces is that of their turns.
    waiting: dict[str, deque[int]] = field(factory=dict)
    full_until: timedelta = NEVER  # The endpoint refused a connection above its limit.
    failing_since: timedelta | None = None  # None while the endpoint answers.
    failures: int = 0  # Since it last opened a connection; sets the backoff.
    retry_at: timedelta = NEVER  # End of the backoff.
    answered_at: timedelta = NEVER
    lost_at: timedelta = NEVER  # When an open connection was last lost.
    behind_until: timedelta = NEVER  # Gets no reads as a replica: its log was behind.
    position: Position | None = None  # End of its log when a connection was opened.
    position_at: timedelta = NEVER
    # Moving average, measured by opening connections.
    round_trip: timedelta | None = None
    # Moving average of a statement's time at the endpoint, and when it last changed.
    service: timedelta = timedelta(milliseconds=20)
    service_at: timedelta = NEVER
    # Refused attempts to connect since it last opened a connection; sets the backoff.
    refusals: int = 0
    position_asked_at: timedelta = NEVER  # When the opening began that told `position`.
    # What a replica that was told to stop receiving has received, the newest term that
    # it knew, and when the opening of the connection began on which it was told.
    received: Position | None = None
    newest_term: int = 0
    has_stopped: bool = False  # It receives nothing more.
    stop_asked_at: timedelta = NEVER
    stop_sent_at: timedelta = NEVER  # When it was last told so.


class EndpointRole(StrEnum):
    """The role that an endpoint states in its registry entry."""

    PRIMARY = "primary"
    REPLICA = "replica"


@frozen
class RegisteredEndpoint:
    """The entry that a database writes about itself into the registry."""

    group: str
    address: str
    data_centre: str
    slots: int  # Statements that it can run at a time.
    is_leaving: bool
    role: EndpointRole
    incarnation: int  # When its process started, in Unix milliseconds.
    # How much longer it is slow after its start; None if the entry doesn't say.
    cold_left: timedelta | None = None


@define
class RegistryRow:
    """A database in the registry, kept for a grace period after its entry is gone."""

    name: str
    entry: RegisteredEndpoint
    revision: int
    missing_since: timedelta | None = None  # None while its entry exists.
    leaving_since: timedelta | None = None  # None unless its entry says it is leaving.


@define
class LeadershipRow:
    """The known primary of a group.

    At `sampled_at` or later, `position` was the end of the primary's log.
    """

    group: str
    primary: str = ""  # Empty if not known.
    position: Position | None = None
    sampled_at: timedelta = NEVER
    # When each endpoint refused work as not the primary.
    denied: dict[str, timedelta] = field(factory=dict)
    # Earlier samples of the present primary, oldest first: (sampled_at, position).
    samples: deque[tuple[timedelta, Position]] = field(factory=deque)


@define
class LeftReplicaRow:
    """A replica that has left its group; see `former_replicas`."""

    at: timedelta  # When it had left.
    address: str
    data_centre: str
    is_planned: bool  # It announced that; the next endpoint at its address has its log.
    # A position that the primary told later; None if none is known.
    covered_by: Position | None = None


@define
class PromotionRow:
    """Whether a group's primary fails, and the promotion of a replica in its place."""

    group: str
    # By other instance: when its report came, and whether it sees the primary fail.
    reports: dict[str, tuple[timedelta, bool]] = field(factory=dict)
    reported_at: timedelta = NEVER  # When this instance last reported a failure.
    queried_at: timedelta = NEVER  # When it last asked the others for reports.
    askers: set[str] = field(factory=set)  # Instances that wait for this one's report.
    probed_at: timedelta = NEVER  # When it last probed the primary.
    # Since when no endpoint is registered as primary; None if one is.
    missing_since: timedelta | None = None
    # Since when it waits for the replicas' positions; None if it does not.
    choosing_since: timedelta | None = None
    is_writing: bool = False  # The write of the fencing token is in flight.
    next_at: timedelta = NEVER  # No decision before this time.
    stopped: set[str] = field(factory=set)  # Replicas that were told to stop receiving.
    stopped_token: int = 0  # The highest token in the store when the first was told.
    rejected: set[str] = field(factory=set)  # Endpoints that could not be promoted.
    # The last decision: the replaced primary, the endpoint to promote, and the fencing
    # token. Empty or 0 if there is none.
    old_primary: str = ""
    target: str = ""
    token: int = 0
    call: int = 0  # The platform call in flight, or 0.
    called_at: timedelta = NEVER
    # Until then, a call without an answer may still take effect.
    unclear_until: timedelta = NEVER
    seen_token: int = 0  # The highest token in the store; first seen at `seen_at`.
    seen_at: timedelta = NEVER
    # Where commits wait for replicas: those in the registry, and those that have left,
    # by name and incarnation.
    replicas: dict[str, RegisteredEndpoint] = field(factory=dict)
    left: dict[tuple[str, int], LeftReplicaRow] = field(factory=dict)
