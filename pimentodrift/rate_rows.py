"""Rows of the tables that the rate shares and their allocators keep.

`tables` has the other rows, the state that holds all tables, and their conventions.
"""

from collections import deque
from datetime import timedelta

from attrs import define, field

from .clock import NEVER
from .messages import StoreObject
from .peer_messages import Epoch, ShareLower, ShareLowered, ShareRaise


@define
class WaitingRequest:
    """A request that waits for a token."""

    request: int
    since: timedelta
    deadline: timedelta


@define
class ShareRow:
    """This instance's share of a workspace's rate (requests/s) and burst (requests)."""

    workspace: str
    epoch: Epoch = Epoch(0, "")
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    refilled_at: timedelta = NEVER
    renewed_at: timedelta = NEVER
    last_number: int = 0  # Of the last share operation applied in this epoch.
    last_lowered: ShareLowered | None = None
    waiting: deque[WaitingRequest] = field(factory=deque)
    arrivals: int = 0
    admitted: int = 0
    demand: float = 0.0  # Requests/s, moving average.
    measured_at: timedelta = NEVER
    denied_until: timedelta = NEVER
    report_at: timedelta = NEVER
    reports_sent: dict[int, timedelta] = field(factory=dict)
    granted: int = 0  # The report that the last grant answered.


@define
class HoldingRow:
    """What the allocator knows of a holder's share."""

    instance: str
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    demand: float = 0.0
    tokens_needed: float = 0.0
    admitted: int | None = None  # None before the first report.
    heard_at: timedelta = NEVER
    # The share operation without an answer so far, sent again until answered.
    operation: ShareLower | ShareRaise | None = None
    operation_sent_at: timedelta = NEVER
    grant_number: int = 0  # The report that the last grant answered.
    granted_at: timedelta = NEVER


@define
class AllocationRow:
    """The ledger of the allocator of a workspace.

    `locked_*` is what holders may have that have not reported to this epoch.
    """

    workspace: str
    epoch: Epoch
    taken_at: timedelta
    store_version: int  # Of the store's object with this epoch.
    locked_rate: float = 0.0
    locked_burst: float = 0.0
    free_tokens: float = 0.0
    holdings: dict[str, HoldingRow] = field(factory=dict)
    predecessor: str = ""
    balance_at: timedelta = NEVER
    granted_at: timedelta = NEVER  # When the last grant was sent.
    is_scarce: bool = False  # The demand is about the rate, or more.
    # What was taken off the burst, and since when; see `limit_easing`.
    declared_burst: float = 0.0
    surplus: float = 0.0
    surplus_from: timedelta = NEVER
    # The bucket as it would be in one place: what the workspace is still owed.
    level: float = 0.0
    level_at: timedelta = NEVER


@define
class EpochSeen:
    """An epoch of the store, since when it was seen, and how long it is left alone."""

    item: StoreObject | None  # Whose epoch it is.
    epoch: Epoch
    since: timedelta
    rest: timedelta


@define
class ClaimRow:
    """A conditional update by which this instance wants to become the allocator."""

    workspace: str
    epoch: Epoch
    predecessor: str
    sent_at: timedelta
