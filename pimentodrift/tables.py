"""The core's state: rows of entities in tables (dicts by their key).

Rows hold data only. Each section names the module that owns its rows; other modules
read them. Times are monotonic times of the instance's own clock, unless stated.
"""

from collections import Counter, deque
from datetime import timedelta
from enum import StrEnum
from random import Random
from typing import Any

from attrs import define, field

from .clock import NEVER, Clock
from .errors import Failure
from .failover_rows import (
    Channel,
    ContactRow,
    FailoverRow,
    GroupWrite,
    MonitorRow,
    ProbeRow,
    RejoinRow,
    StoreWrite,
    WaitingWrite,
)
from .latencies import Latencies
from .log_lines import Event
from .messages import Access, Action, Durability, Position, Statement, StoreObject
from .rate_rows import AllocationRow, ClaimRow, EpochSeen, ShareRow
from .session_rows import (
    LeadershipRow,
    OperationRow,
    PooledRow,
    PoolRow,
    PromotionRow,
    RegistryRow,
    Route,
    SessionLimits,
    SessionRow,
)
from .session_state_rows import EMPTY_STATE, SessionState
from .settings import Settings
from .work_rows import ConnectionRow, EndpointQueue, TransactionRow, WorkRow


class Presence(StrEnum):
    """Whether an instance or endpoint may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


# --- view: the copy of the store


@define
class SubscriberRow:
    """An instance that follows this one's copy of the store."""

    instance: str
    version: int
    number: int
    heard_at: timedelta
    registry: int = 0  # The revision up to which it knows the registry.


@define
class View:
    """The instance's copy of the store's objects."""

    version: int = 0
    objects: dict[tuple[str, str], StoreObject] = field(factory=dict)
    confirmed_at: timedelta = NEVER  # When the store last confirmed the copy.
    watch_sent_at: timedelta | None = None  # Of the watch in progress.
    watch_after: timedelta = NEVER  # No watch before this time.
    watch_failures: int = 0
    relay: str = ""
    relay_heard_at: timedelta = NEVER
    # When each recent Subscribe was sent, by number.
    subscriptions_sent: dict[int, timedelta] = field(factory=dict)
    subscribe_at: timedelta = NEVER
    subscribers: dict[str, SubscriberRow] = field(factory=dict)


# --- membership


@define
class InstanceRow:
    """An instance that the platform lists."""

    name: str
    address: str
    region: str
    data_centre: str
    presence: Presence = Presence.LIVE
    suspected_until: timedelta = NEVER
    last_heard: timedelta = NEVER
    store_age: timedelta | None = None  # As its last Pong told.
    # Set by a suspicion, until a ping with a number above it is answered.
    suspected_number: int | None = None


@define
class EndpointRow:
    """A database of a group."""

    name: str
    group: str
    region: str
    address: str
    slots: int
    connections: int
    presence: Presence = Presence.LIVE
    # The newest known state, an estimate that only guides choices.
    position: Position = Position(0, 0)
    is_primary: bool = False
    sampled_at: timedelta = NEVER
    failing_until: timedelta = NEVER
    received: Position = Position(0, 0)  # The end of its log, as its primary sees it.


@define
class GroupRow:
    """A group of endpoints; `term_starts` maps a term to its first offset."""

    name: str
    term: int = 0
    primary: str = ""
    term_starts: dict[int, int] = field(factory=dict)
    reservations: dict[str, int] = field(factory=dict)
    version: int = 0  # Of the store's object.


# --- rendezvous: derived from the tables of instances and endpoints

Candidate = tuple[bytes, InstanceRow]  # With the name's bytes, for hashing.


@define(eq=False)
class Winner:
    """The first usable instance for a key; `seen` counts the additions compared."""

    key: str
    region: str
    row: InstanceRow
    is_near: bool
    weight: int
    seen: int


@define(eq=False)
class Ranking:
    """The first usable instances for a key at an epoch of the index."""

    epoch: int
    rows: list[InstanceRow]
    source: object = None  # What else the ranking depends on.


@define(eq=False)
class Index:
    """What is derived from the tables of a state to find instances and endpoints."""

    listed: dict[str, InstanceRow] = field(factory=dict)
    places: dict[str, tuple[str, str]] = field(factory=dict)
    candidates: list[Candidate] = field(factory=list)
    by_region: dict[str, list[Candidate]] = field(factory=dict)
    by_data_centre: dict[str, list[Candidate]] = field(factory=dict)
    is_stale: bool = True
    # Rows that were passed over, until they are usable again.
    unusable: dict[str, InstanceRow] = field(factory=dict)
    revived_at: timedelta = NEVER
    added: list[InstanceRow] = field(factory=list)  # That have become usable.
    epoch: int = 0  # Grows with each addition and with changes of endpoints.
    winners: dict[tuple[str, str], Winner] = field(factory=dict)
    rankings: dict[str, Ranking] = field(factory=dict)
    watchers: dict[str, Ranking] = field(factory=dict)  # By group.
    by_group: dict[str, list[EndpointRow]] = field(factory=dict)
    endpoint_regions: dict[str, list[EndpointRow]] = field(factory=dict)
    endpoint_count: int = -1  # Below 0: the endpoints have changed.
    heard: dict[str, InstanceRow] = field(factory=dict)  # Some may have gone.
    newest: int = -1  # The highest version of an object; below 0: not known.
    owned: list[EndpointRow] = field(factory=list)
    owned_epoch: int = -1
    owned_at: timedelta = NEVER


# --- configuration


@define
class OpenRoute:
    """A read that runs without a key, for the workspace that declares it."""

    name: str
    group: str
    statement: str
    max_age: timedelta = timedelta(0)


@define
class WorkspaceRow:
    """A tenant as the operators' files declare it; `rate` is in requests/s."""

    name: str
    rate: float
    burst: float
    share: float = 1.0
    groups: frozenset[str] = frozenset()
    durability: Durability = Durability.MAJORITY
    # The age that reads may accept, by group.
    max_ages: dict[str, timedelta] = field(factory=dict)


@define
class KeyRow:
    """A key, found by the SHA-256 digest of its text (hex)."""

    digest: str
    key_id: str
    workspace: str


@define
class Configuration:
    """The configuration in force."""

    publication: str = ""
    version: int = 0  # Of the manifest.
    workspaces: dict[str, WorkspaceRow] = field(factory=dict)
    keys: dict[str, KeyRow] = field(factory=dict)
    key_ids: frozenset[str] = frozenset()
    open_routes: dict[str, tuple[str, OpenRoute]] = field(factory=dict)


# --- admission and routing (the entry's side)


@define
class PendingRequest:
    """A caller's request from its admission to its answer."""

    request: int
    workspace: str
    key_id: str
    group: str
    access: Access
    statement: Statement
    deadline: timedelta
    action: Action = Action.STATEMENT
    transaction: str = ""
    idempotency_key: str = ""
    body_digest: str = ""
    durability: Durability = Durability.MAJORITY
    session: dict[str, Position] = field(factory=dict)  # By group.
    kept: SessionState = EMPTY_STATE
    request_id: str = ""  # For the log.
    arrived_at: timedelta = NEVER
    attempts: int = 0
    max_age: timedelta | None = None  # The age that the read accepts.
    admitted: bool = False
    # The attempt in flight; its number is 0 when there is none.
    attempt: int = 0
    attempt_at: timedelta = NEVER
    instance: str = ""
    endpoint: str = ""
    tried: set[str] = field(factory=set)  # Endpoints, since the last pause.
    pauses: int = 0
    retry_at: timedelta | None = None
    waited_for_replica: bool = False
    may_have_run: bool = False  # The outcome of an earlier attempt is unknown.
    failure: Failure | None = None  # Of the last attempt.


@define
class LagRow:
    """How far a replica is estimated to lag; None before the first estimate."""

    endpoint: str
    lag: timedelta | None = None
    sampled_at: timedelta = NEVER  # Of the newest sample that was used.


# --- the state


@define
class State:
    """Everything one instance knows; systems and handlers get it passed in."""

    settings: Settings
    clock: Clock
    random: Random
    outbox: list[object] = field(factory=list)  # Messages for the shell, in order.
    counters: Counter[str] = field(factory=Counter)
    # State changes to be logged: (event name, fields).
    events: list[tuple[str, dict[str, object]]] = field(factory=list)
    typed_events: list[Event] = field(factory=list)  # In the order of their notes.
    next_number: int = 0
    stopping: bool = False
    view: View = field(factory=View)
    instances: dict[str, InstanceRow] = field(factory=dict)
    # Instances whose machine refuses connections: their processes have ended.
    ended: set[str] = field(factory=set)
    endpoints: dict[str, EndpointRow] = field(factory=dict)
    index: Index = field(factory=Index, repr=False)
    groups: dict[str, GroupRow] = field(factory=dict)
    configuration: Configuration = field(factory=Configuration)
    pending: dict[int, PendingRequest] = field(factory=dict)
    connections: dict[int, ConnectionRow] = field(factory=dict)
    shares: dict[str, ShareRow] = field(factory=dict)
    allocations: dict[str, AllocationRow] = field(factory=dict)
    claims: dict[str, ClaimRow] = field(factory=dict)
    epochs_seen: dict[str, EpochSeen] = field(factory=dict)
    # Heartbeats, monitoring, replication, failover.
    ticked_at: timedelta | None = None
    resumed_at: timedelta = NEVER  # When this process last noticed its own pause.
    stop_requested_at: timedelta | None = None
    exit_sent: bool = False
    contacts: dict[str, ContactRow] = field(factory=dict)
    monitors: dict[tuple[str, Channel], MonitorRow] = field(factory=dict)
    monitor_keys: dict[int, tuple[str, Channel]] = field(factory=dict)
    waiting_writes: dict[str, dict[int, WaitingWrite]] = field(factory=dict)
    watched: dict[str, list[str]] = field(factory=dict)  # Group to its watchers.
    watched_at: timedelta = NEVER
    watch_examined: int = 0  # Groups examined for their watchers, in turn.
    contacts_at: timedelta = NEVER
    probes: dict[str, ProbeRow] = field(factory=dict)
    failovers: dict[str, FailoverRow] = field(factory=dict)
    past_failovers: dict[str, FailoverRow] = field(factory=dict)  # The last completed.
    rejoins: dict[str, RejoinRow] = field(factory=dict)
    used_terms: dict[str, int] = field(factory=dict)  # Highest that it fenced with.
    store_writes: dict[int, StoreWrite] = field(factory=dict)
    group_writes: dict[str, GroupWrite] = field(factory=dict)
    attempts: dict[int, int] = field(factory=dict)  # Attempt: caller's request.
    outstanding: Counter[str] = field(factory=Counter)  # Attempts by endpoint.
    # Samples of the primary's position by group, oldest first: (time, position).
    histories: dict[str, deque[tuple[timedelta, Position]]] = field(factory=dict)
    histories_sampled_at: timedelta = NEVER
    lags: dict[str, LagRow] = field(factory=dict)  # By endpoint.
    works: dict[int, WorkRow] = field(factory=dict)
    forwarded: dict[tuple[str, int], int] = field(factory=dict)  # To the work.
    connection_works: dict[int, int] = field(factory=dict)
    queues: dict[str, EndpointQueue] = field(factory=dict)
    transactions: dict[str, TransactionRow] = field(factory=dict)
    ended_transactions: deque[str] = field(factory=deque)  # In the order of their end.
    # Moving average of slot time (seconds) by workspace and access.
    costs: dict[tuple[str, Access], float] = field(factory=dict)

    # Sessions that are connections, and the pools behind them.
    registration_at: timedelta = NEVER  # No write of the own object before.
    removal_at: timedelta = NEVER  # No search for lost instances before.
    silent_since: dict[str, timedelta] = field(factory=dict)  # By instance.
    kinds: dict[str, Any] = field(factory=dict)  # Copies of the store's kinds.
    routes: dict[str, Route] = field(factory=dict)  # By database.
    session_limits: SessionLimits = field(factory=SessionLimits)
    sessions: dict[int, SessionRow] = field(factory=dict)
    operations: dict[int, OperationRow] = field(factory=dict)
    pools: dict[str, PoolRow] = field(factory=dict)  # By endpoint.
    pooled: dict[int, PooledRow] = field(factory=dict)
    pools_checked_at: timedelta = NEVER
    registry: dict[str, RegistryRow] = field(factory=dict)  # By endpoint.
    leaderships: dict[str, LeadershipRow] = field(factory=dict)  # By group.
    promotions: dict[str, PromotionRow] = field(factory=dict)  # By group.

    latencies: Latencies = field(factory=dict)

    def log_event(self, event: Event) -> None:
        """Keep an event for the log."""
        self.typed_events.append(event)

    def new_number(self) -> int:
        """Return a number unused so far by this instance."""
        self.next_number += 1
        return self.next_number
