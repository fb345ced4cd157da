"""Rows of the tables of heartbeats, monitoring, replication and failover.

`tables` defines the other rows, the state that holds all tables, and the conventions
for rows.
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
    """An instance that this one sends messages to and therefore pings."""

    name: str
    used_at: timedelta = NEVER
    since: timedelta = NEVER  # When it became a contact.
    pinged_at: timedelta = NEVER
    unanswered: int = 0  # Pings since the last Pong.
    pings_sent: dict[int, timedelta] = field(
        factory=dict
    )  # By number, unanswered ones.
    # When the last ping was sent whose answer told of `decisions`: tokens, by group.
    attested_at: timedelta = NEVER
    decisions: dict[str, int] = field(factory=dict)


class Channel(StrEnum):
    """The kind of jobs that a monitoring connection runs."""

    STATUS = "status"
    ACKNOWLEDGMENT = "acknowledgment"
    COMMAND = "command"


@define
class MonitorRow:
    """A monitoring connection and the job in flight on it."""

    endpoint: str
    channel: Channel
    connection: int = 0
    job: object | None = None
    segments: tuple[tuple[Statement, ...], ...] = ()
    deadline: timedelta = NEVER
    used_at: timedelta = NEVER
    refused: bool = False  # The last job failed on a refused connection.


@define
class WaitingWrite:
    """A committed write whose replication is not confirmed yet."""

    work: int
    endpoint: str
    position: Position
    durability: Durability
    deadline: timedelta
    number: int  # Only readings with a higher number can confirm the write.


@define
class ProbeRow:
    """How this instance sees the primary of a group's current term."""

    group: str
    term: int
    failing_since: timedelta | None = None
    # Since when the primary's machine has refused connections.
    refused_since: timedelta | None = None
    queried_at: timedelta = NEVER  # When the other watchers were last asked.
    # By reporting instance: when its report arrived, and whether the primary has failed
    # for it long enough to be replaced.
    reports: dict[str, tuple[timedelta, bool]] = field(factory=dict)
    established_at: timedelta | None = None  # When a failover became due.
    retry_at: timedelta = NEVER  # No new attempt of this instance before this time.


class Stage(StrEnum):
    """A stage of a failover; the stages follow each other in this order."""

    # From the first failed probe, or the start if planned, until a term is reserved.
    NOTICING = "noticing"
    FENCING = "fencing"  # The endpoints are fenced for the new term.
    CHOOSING = "choosing"  # The endpoint with the longest log is chosen.
    PROMOTING = "promoting"  # The chosen endpoint is promoted.
    FOLLOWING = "following"  # A majority of the group joins the new term.
    RECORDING = "recording"  # The new term is written to the store.


@define
class FailoverRow:
    """A failover that this instance coordinates."""

    group: str
    old_term: int
    old_primary: str
    planned: bool  # The old primary has not failed.
    started_at: timedelta = NEVER
    stage: Stage = Stage.NOTICING
    stage_started: dict[Stage, timedelta] = field(factory=dict)
    term: int = 0  # The new term; 0 until fencing begins.
    fences: dict[str, FenceAnswer] = field(factory=dict)
    outstanding: set[str] = field(factory=set)  # Endpoints whose fence is unanswered.
    chosen: str = ""  # The new primary; empty before the choice.
    # Endpoints that follow the new primary.
    following: set[str] = field(factory=set)
    completed_at: timedelta = NEVER


@define
class RejoinRow:
    """The return of an endpoint to its group, as a replica of the current primary."""

    endpoint: str
    attempted_at: timedelta = NEVER
    # The last term up to which its log is certainly part of the group's; None: unknown.
    lineage_term: int | None = None
    checked_term: int = 0  # Its dropped entries up to this term are stored.
    writes: set[str] = field(factory=set)  # Objects whose write is in flight.
    # Since when its term has been above the group's, so that it needs a new term.
    ahead_since: timedelta | None = None


@define
class StoreWrite:
    """A conditional update of the store that is in flight."""

    call: int
    kind: str
    name: str
    purpose: object


@define
class GroupWrite:
    """The state of this instance's writes of a group's object in the store."""

    in_flight: bool = False
    retry_at: timedelta = NEVER
    behind_since: timedelta | None = None  # When the object became out of date.
