"""The core's state: rows of entities in tables (dicts by their key).

Rows hold data only. Each section names the module that owns its rows; other modules
read them. Times are monotonic times of the instance's own clock, unless stated.
"""

from collections import Counter
from datetime import timedelta
from enum import StrEnum
from random import Random

from attrs import define, field

from .clock import Clock
from .database_group import FenceAnswer
from .messages import Access, Durability, Position, Statement, StoreObject
from .settings import Settings

NEVER = timedelta(days=-1)


class Presence(StrEnum):
    """Whether an instance or endpoint may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


# --- view: the copy of the store


@define
class View:
    """The instance's copy of the store's objects."""

    version: int = 0
    objects: dict[tuple[str, str], StoreObject] = field(factory=dict)
    confirmed_at: timedelta = NEVER  # When the store last confirmed the copy.


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


# --- heartbeats, monitoring, replication, failover


@define
class ContactRow:
    """An instance that this one has a reason to talk to."""

    name: str
    used_at: timedelta = NEVER
    pinged_at: timedelta = NEVER
    unanswered: int = 0


class Channel(StrEnum):
    """What a monitoring connection carries."""

    STATUS = "status"
    ACKNOWLEDGMENT = "acknowledgment"
    COMMAND = "command"


@define
class MonitorRow:
    """A monitoring connection and the job that waits for its answer."""

    endpoint: str
    channel: Channel
    connection: int = 0
    job: object | None = None
    segments: tuple[tuple[Statement, ...], ...] = ()
    deadline: timedelta = NEVER
    used_at: timedelta = NEVER


@define
class WaitingWrite:
    """A committed write whose replication is not confirmed yet."""

    work: int
    endpoint: str
    position: Position
    durability: Durability
    deadline: timedelta
    number: int  # Only readings with a higher number can confirm it.


@define
class ProbeRow:
    """How the primary of a group's current term looks from here."""

    group: str
    term: int
    failing_since: timedelta | None = None
    queried_at: timedelta = NEVER
    # Of other instances: when the report came and how long the failure lasted then.
    reports: dict[str, tuple[timedelta, timedelta]] = field(factory=dict)
    established_at: timedelta | None = None
    retry_at: timedelta = NEVER  # After a failed attempt of this instance.


class Stage(StrEnum):
    """A stage of a change of primary, in this order."""

    NOTICING = "noticing"
    FENCING = "fencing"
    CHOOSING = "choosing"
    PROMOTING = "promoting"
    FOLLOWING = "following"
    RECORDING = "recording"


@define
class FailoverRow:
    """A change of primary that this instance coordinates."""

    group: str
    old_term: int
    old_primary: str
    planned: bool
    started_at: timedelta = NEVER
    stage: Stage = Stage.NOTICING
    stage_started: dict[Stage, timedelta] = field(factory=dict)
    term: int = 0
    fences: dict[str, FenceAnswer] = field(factory=dict)
    outstanding: set[str] = field(factory=set)  # Endpoints that have yet to answer.
    chosen: str = ""
    following: set[str] = field(factory=set)
    completed_at: timedelta = NEVER


@define
class RejoinRow:
    """The return of an endpoint to its group."""

    endpoint: str
    attempted_at: timedelta = NEVER
    # The last term up to which its log is surely part of the group's log.
    lineage_term: int | None = None
    read_at: timedelta = NEVER
    checked_term: int = 0  # Its dropped entries are stored up to this term.
    writes: set[str] = field(factory=set)  # Names of objects to be stored.
    # Since when it cannot return to the group's term and needs a new one.
    ahead_since: timedelta | None = None


@define
class StoreWrite:
    """A conditional update that has not been answered."""

    call: int
    kind: str
    name: str
    purpose: object


@define
class GroupWrite:
    """The writing of a group's object by this instance."""

    in_flight: bool = False
    retry_at: timedelta = NEVER
    behind_since: timedelta | None = None


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
    next_number: int = 0
    stopping: bool = False
    view: View = field(factory=View)
    instances: dict[str, InstanceRow] = field(factory=dict)
    endpoints: dict[str, EndpointRow] = field(factory=dict)
    groups: dict[str, GroupRow] = field(factory=dict)
    configuration: Configuration = field(factory=Configuration)
    pending: dict[int, PendingRequest] = field(factory=dict)
    connections: dict[int, ConnectionRow] = field(factory=dict)
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
    monitored: set[str] = field(factory=set)  # Endpoints whose status it reads.
    contacts_at: timedelta = NEVER
    probes: dict[str, ProbeRow] = field(factory=dict)
    failovers: dict[str, FailoverRow] = field(factory=dict)
    past_failovers: dict[str, FailoverRow] = field(factory=dict)  # The last completed.
    rejoins: dict[str, RejoinRow] = field(factory=dict)
    used_terms: dict[str, int] = field(factory=dict)  # Highest that it fenced with.
    store_writes: dict[int, StoreWrite] = field(factory=dict)
    group_writes: dict[str, GroupWrite] = field(factory=dict)

    def number(self) -> int:
        """Return a number unused so far by this instance."""
        self.next_number += 1
        return self.next_number
