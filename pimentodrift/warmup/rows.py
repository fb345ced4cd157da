"""Rows of what is known about the starts of endpoints."""

from datetime import timedelta

from attrs import define, field

from ..clock import NEVER


@define
class ColdRow:
    """What an instance knows about an endpoint's last start.

    Kept after the endpoint is gone from the registry, since it may come back.
    """

    endpoint: str
    group: str
    address: str
    incarnation: int
    revision: int  # Of the entry that the row was made from.
    seen_at: timedelta  # When that entry arrived.
    # How much longer the endpoint was slow then; None if its entry doesn't say: as long
    # as the group declares.
    left: timedelta | None
    suspected_at: timedelta = NEVER  # When it was last lost or unreachable.
    told_at: timedelta = NEVER  # When a loss was last told to or by another instance.
    is_cold: bool = False  # As last logged.
    used_at: timedelta = NEVER  # When its entry was last in the registry.


@define
class ColdSampleRow:
    """The questions for the position of a group's cold primary."""

    group: str
    asked_at: timedelta = NEVER  # When this instance last asked another one.
    # When each recent question of this instance was sent, by number.
    queries: dict[int, timedelta] = field(factory=dict)
    # The last question of each other instance, and when it arrived.
    askers: dict[str, tuple[int, timedelta]] = field(factory=dict)
