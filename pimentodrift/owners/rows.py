"""Rows of statements that run at the owner of their endpoint."""

from datetime import timedelta

from attrs import define, field, frozen

from ..clock import NEVER


@frozen
class Origin:
    """The session of another instance for which the owner keeps a session row."""

    entry: str
    process: int  # Differs between the processes of an instance.
    session: int  # Its number at the entry.


@define
class ForwardRow:
    """A statement that this instance, as the entry, has sent to an owner."""

    operation: int
    owner: str
    sent_at: timedelta


@define
class OwnerRow:
    """What an entry knows of an instance that owns endpoints."""

    name: str
    pinged_at: timedelta = NEVER
    is_waiting: bool = False  # For the answer to a ping.
    # Until when it gets no statements for an endpoint, "" for all endpoints.
    avoided: dict[str, timedelta] = field(factory=dict)
