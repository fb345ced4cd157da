"""Rows of statements that run at the owner of their endpoint."""

from datetime import timedelta

from attrs import define, field, frozen

from ..clock import NEVER

# For how long an entry's earlier process counts as ended. If it still sends after that,
# what seemed to be the next process was an earlier one whose statement came late.
LATE_MESSAGES = timedelta(seconds=5)


@frozen
class Origin:
    """The session of another instance for which the owner keeps a session row."""

    entry: str
    process: int  # Differs between the processes of an instance.
    session: int  # Its number at the entry.


@define
class EntryRow:
    """The process of an entry of an earlier build, and those before it."""

    process: int
    ended: dict[int, timedelta] = field(factory=dict)  # When the next one was heard.


@define
class ForwardRow:
    """A statement that this instance, as the entry, has sent to an owner."""

    operation: int
    owner: str
    sent_at: timedelta


@define
class PositionRow:
    """The questions about the end of the log of a group's primary."""

    group: str
    number: int = 0  # Of the last question that this instance sent.
    asked_at: timedelta = NEVER
    sampled_at: timedelta = NEVER  # When this instance last asked the primary.
    # Questions of others that wait for the primary's answer: (instance, number).
    askers: list[tuple[str, int]] = field(factory=list)


@define
class OwnerRow:
    """What an entry knows of an instance that owns endpoints."""

    name: str
    pinged_at: timedelta = NEVER
    is_waiting: bool = False  # For the answer to a ping.
    # Until when it gets no statements for an endpoint, "" for all endpoints.
    avoided: dict[str, timedelta] = field(factory=dict)


@frozen
class PrimaryProven:
    """A group's primary has just answered as such, with its position."""

    group: str


@frozen
class PositionKnown:
    """The position that a read must see is known now."""

    operation: int
