"""Rows of the tables for rate shares and their allocators.

The module `tables` defines the state that holds all tables, and the conventions.
"""

from collections import deque
from datetime import timedelta

from attrs import define, field

from .clock import NEVER
from .messages import StoreObject
from .peer_messages import (
    Epoch,
    HeldShare,
    ShareLower,
    ShareLowered,
    ShareRaise,
)


@define
class WaitingRequest:
    """A request in the queue for a token of its workspace's share."""

    request: int
    since: timedelta  # When it was queued.
    deadline: timedelta
    priority: int = 0  # 0 is the highest.
    patience: timedelta | None = None  # Longest wait in a flood, if there is a limit.


@define
class ShareRow:
    """This instance's share of a workspace's rate (requests/s) and burst (requests)."""

    workspace: str
    epoch: Epoch = Epoch(0, "")
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    refilled_at: timedelta = NEVER  # Time up to which refills are in `tokens`.
    renewed_at: timedelta = NEVER  # Start of the current lease.
    last_number: int = 0  # Number of the last share operation applied in this epoch.
    last_lowered: ShareLowered | None = None  # Last answer, sent again on a repeat.
    waiting: deque[WaitingRequest] = field(factory=deque)  # By priority, then age.
    usable_since: timedelta = NEVER  # When the lease began after a gap or the start.
    arrivals: int = 0  # Requests since `measured_at`.
    used_at: timedelta = NEVER  # When the last request arrived.
    admitted: int = 0  # Requests since the start of the process.
    demand: float = 0.0  # Requests/s, moving average.
    admission_rate: float = 0.0  # Admitted requests/s, moving average.
    admitted_before: int = 0  # `admitted` at `measured_at`.
    measured_at: timedelta = NEVER
    denied_until: timedelta = NEVER  # The allocator has no tokens before this time.
    report_at: timedelta = NEVER  # When the next report is due.
    # When each recent report was sent, by number.
    reports_sent: dict[int, timedelta] = field(factory=dict)
    granted: int = 0  # Number of the report that the last grant answered.
    # When the first report without an answer since was sent; None if none is open.
    unanswered_since: timedelta | None = None
    is_locked: bool = False  # Others may hold a part of the rate, by its allocator.
    is_denial_locked: bool = False  # The last denial was for that reason.
    can_return: bool = False  # The allocator takes back shares that are given up.
    # Tokens granted to others that they may still spend: until when, and how many.
    outstanding: deque[tuple[timedelta, int]] = field(factory=deque)
    grants_after: timedelta = NEVER  # No grant before this time; see `must_defer`.
    standbys: tuple[str, ...] = ()  # Other instances that grant tokens.
    standby_asked_at: timedelta = NEVER  # When the last one was asked for tokens.
    standby_heard_at: timedelta = NEVER  # When the last one granted tokens.
    standby_asked: int = 0  # Questions to standbys; each goes to the next of them.
    # When each recent question to a standby was sent, by number.
    queries_sent: dict[int, timedelta] = field(factory=dict)


@define
class GivenUpShare:
    """What an instance remembers of a share that it has given up."""

    epoch: Epoch = Epoch(0, "")
    last_number: int = 0  # As in `ShareRow`.
    admitted: int = 0  # As in `ShareRow`.


@define
class HoldingRow:
    """What the allocator knows about an instance that holds a share."""

    instance: str
    rate: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    demand: float = 0.0
    tokens_needed: float = 0.0
    admitted: int | None = None  # None before the first report.
    heard_at: timedelta = NEVER  # When its last report arrived.
    report_number: int = 0  # Number of its last report.
    returned: float = 0.0  # Tokens of the share that it has given up.
    # The operation in flight, resent until it is answered; None if there is none.
    operation: ShareLower | ShareRaise | None = None
    operation_sent_at: timedelta = NEVER
    grant_number: int = 0  # Number of the report that the last grant answered.
    granted_at: timedelta = NEVER
    can_stand_by: bool = False  # Its build can grant tokens of its own share.
    # Since when its process has run without admitting anything, at its first report in
    # this epoch; None if it had admitted something.
    quiet_since: timedelta | None = None


@define
class AllocationRow:
    """The ledger of a workspace that this instance allocates.

    `locked_rate` and `locked_burst` are what instances may hold that have not reported
    in this epoch.
    """

    workspace: str
    epoch: Epoch
    taken_at: timedelta
    store_version: int  # Version of the store's `allocator` object with this epoch.
    locked_rate: float = 0.0
    locked_burst: float = 0.0
    free_tokens: float = 0.0
    holdings: dict[str, HoldingRow] = field(factory=dict)
    predecessor: str = ""  # Holder of the epoch before; empty if there was none.
    balance_at: timedelta = NEVER  # When the shares are balanced next.
    granted_at: timedelta = NEVER  # When the last grant was sent to any holder.
    is_scarce: bool = False  # Whether the demand is about the rate or above it.
    demand: float = 0.0  # Requests/s of all holders, moving average.
    measured_at: timedelta = NEVER  # When `demand` was last updated.
    # The burst declared last, the surplus over it after reductions (requests), and the
    # time from which the surplus decays; see `burst_reduction`.
    declared_burst: float = 0.0
    surplus: float = 0.0
    surplus_from: timedelta = NEVER
    # Tokens that a single bucket for the whole workspace would hold.
    level: float = 0.0
    level_at: timedelta = NEVER
    # Instances that said that they hold no share; when they started, if they have
    # admitted nothing since.
    without_share: dict[str, timedelta | None] = field(factory=dict)
    asked_at: timedelta = NEVER  # When those that have not reported were last asked.
    standbys: tuple[str, ...] = ()  # Holders of parts of a burst that is not divided.
    # The shares that the predecessor had given out, by holder, if it has said so.
    ledger: dict[str, HeldShare] | None = None
    knows_holders: bool = False  # No instance outside `ledger` has a share.
    ledger_asked_at: timedelta = NEVER  # When the predecessor was last asked.


@define
class EpochSeen:
    """The epoch last seen in the store for a workspace, and its cooldown."""

    item: StoreObject | None  # The `allocator` object that has the epoch.
    epoch: Epoch
    since: timedelta  # When the epoch was first seen.
    rest: timedelta  # Cooldown after `since`, in which this instance makes no claim.


@define
class ClaimRow:
    """A conditional update in flight by which this instance claims a workspace."""

    workspace: str
    epoch: Epoch
    predecessor: str
    sent_at: timedelta
