"""Rows of the evacuations that an instance knows, and of planned switchovers."""

from datetime import timedelta
from enum import StrEnum

from attrs import define, field

from ..clock import NEVER


@define
class EvacuationRow:
    """A data centre whose endpoints are to get no more requests."""

    data_centre: str
    seen_at: timedelta
    deadline: timedelta  # Until then, a primary there may be used.
    done_at: timedelta | None = None  # When no connection to an endpoint was left.
    aborted: int = 0  # Transactions that were rolled back.
    used: dict[str, str] = field(factory=dict)  # Primaries in use there, with groups.


@define
class HoldClaim:
    """The last request of a coordinator to hold the work at a primary."""

    attempt: int
    until: timedelta
    # Number of the last message that was not confirmed yet; 0 if there is none.
    unconfirmed: int


@define
class HoldRow:
    """A group whose new statements for the primary wait during a switchover."""

    group: str
    endpoint: str
    hold: int  # Number of this hold, new after each one that has ended.
    since: timedelta
    # By coordinator; there may be two for a moment.
    claims: dict[str, HoldClaim] = field(factory=dict)


class SwitchoverStage(StrEnum):
    """A stage of a planned switchover."""

    HOLDING = "holding"  # Waits until all instances have stopped their work.
    CATCHING_UP = "catching-up"  # Waits for a replica with the primary's last position.
    PROMOTING = "promoting"  # The replica was chosen; its promotion is under way.


@define
class SwitchoverRow:
    """An attempt of this instance to replace a primary without losing a write."""

    group: str
    endpoint: str  # The primary to replace.
    attempt: int
    started_at: timedelta
    stage: SwitchoverStage = SwitchoverStage.HOLDING
    staged_at: timedelta = NEVER  # When the stage began.
    sent_at: timedelta = NEVER  # When the last `HoldPrimary` was sent.
    probed_at: timedelta = NEVER
    sends: dict[int, timedelta] = field(factory=dict)  # Send times, by number.
    # By instance: its hold, and when the last message that it confirmed was sent.
    confirmed: dict[str, tuple[int, timedelta]] = field(factory=dict)
    is_broken: bool = False  # An instance went on in the meantime.
