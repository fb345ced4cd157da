"""The core's state: tables (dicts by key) with a row for each entity.

Rows hold data only. The title of each section names the module that owns its rows;
other modules read them. Unless stated otherwise, times are monotonic times of the
instance's own clock.
"""

from collections import Counter, deque
from datetime import timedelta
from enum import StrEnum
from random import Random
from typing import Any

from attrs import Factory, define, field

from .clock import NEVER, Clock
from .due_times import DueTimes
from .ejection.rows import JudgementRow
from .errors import Failure
from .evacuation.rows import EvacuationRow, HoldRow, SwitchoverRow
from .event_base import Event
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
from .fencing.rows import CoordinationRow, FenceRow
from .latencies import Latencies
from .messages import Access, Action, Durability, Position, Statement, StoreObject
from .owners.rows import EntryRow, ForwardRow, Origin, OwnerRow, PositionRow
from .peer_messages import LedgerHandover
from .rate_rows import (
    AllocationRow,
    ClaimRow,
    EpochSeen,
    GivenUpShare,
    ShareRow,
)
from .service_order.rows import ServiceRow
from .session_rows import (
    LeadershipRow,
    OpeningRow,
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
from .warmup.rows import ColdRow, ColdSampleRow
from .work_rows import ConnectionRow, EndpointQueue, TransactionRow, WorkRow


class Presence(StrEnum):
    """Whether an instance or endpoint may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


# --- view: the copy of the store


@define
class SubscriberRow:
    """An instance that subscribed to this instance's copy of the store."""

    instance: str
    version: int  # The version up to which the subscriber has the store.
    number: int  # The number of its last `Subscribe`.
    heard_at: timedelta
    registry: int = 0  # The revision up to which the subscriber has the registry.
    follows_evacuations: bool = False  # It asked for the evacuations.
    # The revision up to which the subscriber has the configuration; 0 if it reads that
    # from the store.
    configuration: int = 0


@define
class View:
    """The instance's copy of the store's objects."""

    version: int = 0
    era: int = 0  # Of the store; older versions confirm nothing any more.
    restored_at: timedelta = NEVER  # When the era rose while this process ran.
    objects: dict[tuple[str, str], StoreObject] = field(factory=dict)
    confirmed_at: timedelta = NEVER  # When the store last confirmed the copy.
    # Since when no confirmation has come later than the allocator lease.
    steady_since: timedelta = NEVER
    watch_sent_at: timedelta | None = None  # None if no watch is in progress.
    watch_after: timedelta = NEVER  # Earliest time of the next watch.
    watch_failures: int = 0  # Since the last answer.
    relay: str = ""  # The instance that this one subscribes to; "" if there is none.
    relay_heard_at: timedelta = NEVER
    # When each recent Subscribe was sent, by number.
    subscriptions_sent: dict[int, timedelta] = field(factory=dict)
    subscribe_at: timedelta = NEVER
    # Parts of the last update that arrived without a gap, by relay.
    parts_received: dict[str, int] = field(factory=dict)
    subscribers: dict[str, SubscriberRow] = field(factory=dict)
    relay_age: timedelta = NEVER  # Age of the relay's copy, by its last update.
    # The neighbour asked last to confirm the copy; "" if several or none were.
    peer: str = ""
    peer_asked_at: timedelta = NEVER
    peer_needed_at: timedelta | None = None  # Since when neighbours are needed.
    peer_confirmed_at: timedelta = NEVER  # `confirmed_at` when it was asked.


# --- membership


@define
class InstanceRow:
    """An instance that the platform lists."""

    name: str
    address: str
    region: str
    data_centre: str
    presence: Presence = Presence.LIVE
    # When its process announced its graceful shutdown, until the next one is heard.
    left_at: timedelta | None = None
    suspected_until: timedelta = NEVER
    last_heard: timedelta = NEVER
    store_age: timedelta | None = None  # Age of its view, from its last `Pong`.
    store_seen_at: timedelta = NEVER  # When its view was confirmed, from the same.
    started_after: timedelta = NEVER  # Its process started at this time or later.
    # Set when the instance is suspected, until it answers a ping with a higher number.
    suspected_number: int | None = None
    can_fence: bool = False  # Its build keeps replaced primaries out of use.
    # How long it uses a primary without contact; None if its build has no such limit.
    contact_lease: timedelta | None = None
    contact_since: timedelta = NEVER  # When this instance learned of that.
    listed_at: timedelta = NEVER  # When this instance learned of it.
    reads_losses: bool = False  # Its build reads of lost connections to endpoints.
    follows_evacuations: bool = False  # It takes part in planned switchovers.
    serves_sessions: bool = False  # Its build runs statements of others as an owner.


@define
class EndpointRow:
    """An endpoint, that is, a database of a group."""

    name: str
    group: str
    region: str
    address: str
    slots: int
    connections: int
    presence: Presence = Presence.LIVE
    # The state last reported. It may be out of date, so it only guides choices.
    position: Position = Position(0, 0)
    is_primary: bool = False
    sampled_at: timedelta = NEVER
    failing_until: timedelta = NEVER
    received: Position = Position(0, 0)  # End of its log according to its primary.
    data_centre: str = ""
    # The presence that its object states; in an evacuated data centre it is leaving.
    listed: Presence = Presence.LIVE


@define
class GroupRow:
    """A group of endpoints: a primary and its replicas."""

    name: str
    term: int = 0
    primary: str = ""
    term_starts: dict[int, int] = field(factory=dict)  # First log offset by term.
    reservations: dict[str, int] = field(factory=dict)  # Reserved term by instance.
    version: int = 0  # Version of the store's `group` object.


# --- rendezvous: derived from the tables of instances and endpoints

Candidate = tuple[bytes, InstanceRow]  # The instance's name in bytes, for hashing.


@define(eq=False)
class Winner:
    """The usable instance with the highest rendezvous weight for a key.

    Instances of the key's region come before all others. `row` is current once it was
    compared with all of `Index.added`.
    """

    key: str
    region: str
    row: InstanceRow
    is_near: bool  # Whether the instance is in the key's region.
    weight: int
    seen: int  # How many rows of `Index.added` have been compared with `row`.


@define(eq=False)
class Ranking:
    """The usable instances with the highest weights for a key, best first."""

    epoch: int  # The index's epoch when the ranking was made.
    rows: list[InstanceRow]
    # The object that the ranking was made from, such as a group's reservations. Once
    # another object replaces it, the ranking is out of date.
    source: object = None


@define(eq=False)
class Index:
    """Lookup tables for instances and endpoints, derived from the tables of a state."""

    listed: dict[str, InstanceRow] = field(factory=dict)
    # Region and data centre by instance.
    places: dict[str, tuple[str, str]] = field(factory=dict)
    candidates: list[Candidate] = field(factory=list)
    by_region: dict[str, list[Candidate]] = field(factory=dict)
    by_data_centre: dict[str, list[Candidate]] = field(factory=dict)
    is_stale: bool = True  # The listed instances may have changed.
    # Instances that were found unusable and are checked again later.
    unusable: dict[str, InstanceRow] = field(factory=dict)
    revived_at: timedelta = NEVER  # When `unusable` was last checked.
    # Instances that became usable, with which the cached winners are still compared.
    added: list[InstanceRow] = field(factory=list)
    epoch: int = 0  # Grows if an instance becomes usable or the endpoints change.
    winners: dict[tuple[str, str], Winner] = field(factory=dict)  # By key and region.
    rankings: dict[str, Ranking] = field(factory=dict)  # In a data centre, by key.
    # Instances that watch a group's primary, by group.
    watchers: dict[str, Ranking] = field(factory=dict)
    by_group: dict[str, list[EndpointRow]] = field(factory=dict)
    # Endpoints by region.
    endpoint_regions: dict[str, list[EndpointRow]] = field(factory=dict)
    # Number of endpoints in the lists above; below 0: an endpoint has changed.
    endpoint_count: int = -1
    # Instances that this one has heard from; some may not be listed any more.
    heard: dict[str, InstanceRow] = field(factory=dict)
    # The highest version of an object in the view; below 0: to be computed again.
    newest: int = -1
    # Endpoints that this instance owns; `epoch` and time when the list was made.
    owned: list[EndpointRow] = field(factory=list)
    owned_epoch: int = -1
    owned_at: timedelta = NEVER


@define(eq=False)
class OwnerCandidates:
    """The listed instances in the order in which they would own an endpoint."""

    # Data centre of the endpoint, version of the view, and number of instances for
    # which the order holds.
    key: tuple[str, int, int]
    rows: list[InstanceRow]


# --- configuration


@define
class OpenRoute:
    """A read that callers may run without a key, on behalf of a workspace."""

    name: str
    group: str
    statement: str
    max_age: timedelta = timedelta(0)
    regions: frozenset[str] = frozenset()  # Allowed for endpoints; empty: all.


@define
class WorkspaceRow:
    """A tenant as the operators' files declare it; `rate` is in requests/s."""

    name: str
    rate: float
    burst: float
    share: float = 1.0
    groups: frozenset[str] = frozenset()
    durability: Durability = Durability.MAJORITY
    # By group, the age of data that the workspace's reads accept.
    max_ages: dict[str, timedelta] = field(factory=dict)
    regions: frozenset[str] = frozenset()  # Allowed for endpoints; empty: all.


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
    version: int = 0  # Version of the manifest.
    workspaces: dict[str, WorkspaceRow] = field(factory=dict)
    keys: dict[str, KeyRow] = field(factory=dict)  # By digest.
    key_ids: frozenset[str] = frozenset()
    key_holders: frozenset[tuple[str, str]] = frozenset()  # Key ids and workspaces.
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
    kept: SessionState = EMPTY_STATE  # The session's values and prepared statements.
    request_id: str = ""  # For the log.
    arrived_at: timedelta = NEVER
    attempts: int = 0
    max_age: timedelta | None = None  # The age of data that the read accepts.
    admitted: bool = False
    # Number of the attempt in flight; 0 if there is none.
    attempt: int = 0
    attempt_at: timedelta = NEVER
    instance: str = ""
    endpoint: str = ""
    tried: set[str] = field(factory=set)  # Endpoints tried since the last backoff.
    pauses: int = 0  # Backoffs so far, at most 10; reset when the primary changes.
    # End of the backoff or of the wait for a replica; None if there is neither.
    retry_at: timedelta | None = None
    waited_for_replica: bool = False
    may_have_run: bool = False  # The outcome of an earlier attempt is unknown.
    failure: Failure | None = None  # Failure of the last attempt.
    open_route: str = ""  # The open route that was called, if any.


@define
class LagRow:
    """The estimated replication lag of a replica."""

    endpoint: str
    lag: timedelta | None = None  # None before the first estimate.
    sampled_at: timedelta = NEVER  # Time of the newest sample used for the estimate.


# --- the state


@define
class State:
    """All data of one instance's core, passed to each system and handler."""

    settings: Settings
    clock: Clock
    random: Random
    outbox: list[object] = field(factory=list)  # Messages for the shell, in order.
    counters: Counter[str] = field(factory=Counter)
    # Log events not yet written: (event name, fields).
    events: list[tuple[str, dict[str, object]]] = field(factory=list)
    started_at: timedelta = field(
        default=Factory(lambda self: self.clock.monotonic(), takes_self=True)
    )
    typed_events: list[Event] = field(factory=list)  # Log events as objects.
    next_number: int = 0  # The last number given out; see `runtime.first_number`.
    stopping: bool = False
    view: View = field(factory=View)
    instances: dict[str, InstanceRow] = field(factory=dict)
    # When each instance was removed from the list, for recent removals.
    removed_at: dict[str, timedelta] = field(factory=dict)
    # When removed instances first told that they know of it.
    removals_known: dict[str, timedelta] = field(factory=dict)
    # When a connection to an instance was last refused, which a partition may do too.
    ended: dict[str, timedelta] = field(factory=dict)
    endpoints: dict[str, EndpointRow] = field(factory=dict)
    index: Index = field(factory=Index, repr=False)
    groups: dict[str, GroupRow] = field(factory=dict)
    configuration: Configuration = field(factory=Configuration)
    pending: dict[int, PendingRequest] = field(factory=dict)
    connections: dict[int, ConnectionRow] = field(factory=dict)
    shares: dict[str, ShareRow] = field(factory=dict)
    given_up_shares: dict[str, GivenUpShare] = field(factory=dict)  # By workspace.
    allocations: dict[str, AllocationRow] = field(factory=dict)
    claims: dict[str, ClaimRow] = field(factory=dict)
    epochs_seen: dict[str, EpochSeen] = field(factory=dict)
    # When to check whether the role of a workspace's allocator is vacant.
    vacancies: DueTimes = field(factory=DueTimes, repr=False)
    # Version of the configuration and cold limits that `vacancies` is made from.
    vacancies_source: tuple[int, tuple[str, ...]] = (0, ())
    # Heartbeats, monitoring, replication, failover.
    ticked_at: timedelta | None = None
    steady_run_at: timedelta = NEVER  # Last run of the systems with the steady pace.
    resumed_at: timedelta = NEVER  # When this process last detected its own pause.
    stop_requested_at: timedelta | None = None
    exit_sent: bool = False
    contacts: dict[str, ContactRow] = field(factory=dict)
    pings_due_at: timedelta = NEVER  # When the next contact is to be pinged.
    monitors: dict[tuple[str, Channel], MonitorRow] = field(factory=dict)
    monitor_keys: dict[int, tuple[str, Channel]] = field(factory=dict)
    waiting_writes: dict[str, dict[int, WaitingWrite]] = field(factory=dict)
    # Watchers, by group, of the groups that this instance watches.
    watched: dict[str, list[str]] = field(factory=dict)
    watched_at: timedelta = NEVER
    watch_examined: int = 0  # Where the next examination of `groups` starts.
    contacts_at: timedelta = NEVER
    probes: dict[str, ProbeRow] = field(factory=dict)
    failovers: dict[str, FailoverRow] = field(factory=dict)
    # The last completed failover, by group.
    past_failovers: dict[str, FailoverRow] = field(factory=dict)
    rejoins: dict[str, RejoinRow] = field(factory=dict)
    # By group, the highest term with which this instance has fenced endpoints.
    used_terms: dict[str, int] = field(factory=dict)
    store_writes: dict[int, StoreWrite] = field(factory=dict)
    group_writes: dict[str, GroupWrite] = field(factory=dict)
    attempts: dict[int, int] = field(factory=dict)  # Caller's request, by attempt.
    # Number of attempts in flight, by endpoint.
    outstanding: Counter[str] = field(factory=Counter)
    # Samples of the primary's position by group, oldest first: (time, position).
    histories: dict[str, deque[tuple[timedelta, Position]]] = field(factory=dict)
    histories_sampled_at: timedelta = NEVER
    lags: dict[str, LagRow] = field(factory=dict)  # By endpoint.
    works: dict[int, WorkRow] = field(factory=dict)
    # The work of each forwarded request, by its sender and number.
    forwarded: dict[tuple[str, int], int] = field(factory=dict)
    connection_works: dict[int, int] = field(factory=dict)  # The work on a connection.
    queues: dict[str, EndpointQueue] = field(factory=dict)
    transactions: dict[str, TransactionRow] = field(factory=dict)
    ended_transactions: deque[str] = field(factory=deque)  # Oldest end first.
    # Moving average of slot time (seconds) by workspace and access.
    costs: dict[tuple[str, Access], float] = field(factory=dict)

    # Sessions on client connections, and the connection pools behind them.
    registration_at: timedelta = NEVER  # Earliest next write of the own object.
    removal_at: timedelta = NEVER  # Earliest next search for lost instances.
    # No instance is removed for refusing connections before this time.
    refusing_removal_at: timedelta = NEVER
    silent_since: dict[str, timedelta] = field(factory=dict)  # By instance.
    kinds: dict[str, Any] = field(factory=dict)  # Copies of store objects, by kind.
    routes: dict[str, Route] = field(factory=dict)  # By database.
    session_limits: SessionLimits = field(factory=SessionLimits)
    openings: dict[int, OpeningRow] = field(factory=dict)  # By session.
    sessions: dict[int, SessionRow] = field(factory=dict)
    operations: dict[int, OperationRow] = field(factory=dict)
    pools: dict[str, PoolRow] = field(factory=dict)  # By endpoint.
    pooled: dict[int, PooledRow] = field(factory=dict)
    pools_checked_at: timedelta = NEVER
    registry: dict[str, RegistryRow] = field(factory=dict)  # By endpoint.
    leaderships: dict[str, LeadershipRow] = field(factory=dict)  # By group.
    promotions: dict[str, PromotionRow] = field(factory=dict)  # By group.
    fences: dict[str, FenceRow] = field(factory=dict)  # By group.
    coordinations: dict[str, CoordinationRow] = field(factory=dict)  # By group.
    latencies: Latencies = field(factory=dict)
    services: dict[str, ServiceRow] = field(factory=dict)  # By endpoint.
    evacuations: dict[str, EvacuationRow] = field(factory=dict)  # By data centre.
    cold_endpoints: dict[str, ColdRow] = field(factory=dict)  # By endpoint.
    cold_samples: dict[str, ColdSampleRow] = field(factory=dict)  # By group.
    # The limits of endpoints that may be cold, by name of the limit.
    cold_limits: dict[str, WorkspaceRow] = field(factory=dict)
    judgements: dict[str, JudgementRow] = field(factory=dict)  # By endpoint.
    judged_at: timedelta = NEVER
    primary_holds: dict[str, HoldRow] = field(factory=dict)  # By group.
    switchovers: dict[str, SwitchoverRow] = field(factory=dict)  # By group.
    switchover_after: dict[str, timedelta] = field(factory=dict)  # Next one, by group.
    # Statements at the owners of their endpoints.
    process: int = 0  # Identifies this process to owners; 0 before it is needed.
    owners: dict[str, OwnerRow] = field(factory=dict)  # By instance.
    owner_candidates: dict[str, OwnerCandidates] = field(factory=dict)  # By endpoint.
    forwards: dict[int, ForwardRow] = field(factory=dict)  # By operation.
    positions: dict[str, PositionRow] = field(factory=dict)  # By group.
    owned: set[str] = field(factory=set)  # Endpoints that were owned at the last check.
    owned_checked_at: timedelta = NEVER
    served: dict[Origin, int] = field(factory=dict)  # Session of each origin.
    entries: dict[str, EntryRow] = field(factory=dict)  # By instance.
    # The last hand-over of a workspace's ledger to another allocator, by workspace.
    handovers: dict[str, LedgerHandover] = field(factory=dict)
    # When each ledger was dropped that its successor has not asked for, by workspace.
    unasked_ledgers: dict[str, timedelta] = field(factory=dict)
    offered_at: timedelta = NEVER  # When a role of allocator was last offered.

    def log_event(self, event: Event) -> None:
        """Keep an event until the shell writes it to the log."""
        self.typed_events.append(event)

    def new_number(self) -> int:
        """Return a number that no process of this instance has used before."""
        self.next_number += 1
        return self.next_number
