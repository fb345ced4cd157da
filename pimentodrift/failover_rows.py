"""Rows of the tables of heartbeats, monitoring, replication and failover.

`tables` has the other rows, the state that holds all tables, and their conventions.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import define, field

from .clock import NEVER
from .database_group import FenceAnswer
from .messages import (
    Durability,
    Position,
    Statement,
)


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
    refused: bool = False  # The last job ended because the endpoint refused it.


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
    refused_since: timedelta | None = None  # Its machine refuses connections.
    queried_at: timedelta = NEVER
    # Of other instances: when the report came, and whether their failure lasts enough.
    reports: dict[str, tuple[timedelta, bool]] = field(factory=dict)
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
