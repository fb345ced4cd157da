"""Grants single tokens of a small burst to requests that wait at other instances.

Answers a flood on a workspace whose burst is smaller than the fleet: its allocator's
instance holds the whole share, and a token lent with its burst would be out of use
until the burst has come back. A grant carries tokens without burst; the holder spends
them at once or drops them.

A grant counts against the bucket when it is sent and is spent at most `GRANT_LIFE`
later, so the bucket is smaller by what it gains in that time. Then the sum of all
instances still stays within the workspace's rate and burst in any window.
"""

from datetime import timedelta

from attrs import evolve

from . import peers, rates
from .burst_reduction import limits_of, surplus
from .dispatch import handle_peer
from .peer_messages import ShareGrant, ShareReport
from .rate_rows import AllocationRow, HoldingRow
from .tables import State, WorkspaceRow

# A smaller burst is not worth dividing: many buckets under one token overflow.
MIN_BURST_PER_HOLDER = 1.0
# Nor is this one while the workspace sends more than its rate, as each token counts.
# Within the rate, divided shares spare the way to the allocator and outlive its loss.
SCARCE_BURST_PER_HOLDER = 4.0
# Parts of the rate: demand that begins and ends the scarcity.
SCARCE_FROM = 0.95
SCARCE_UNTIL = 0.8
# Counted by the holder from its report; two ways between regions and two ticks.
GRANT_LIFE = timedelta(milliseconds=100)
# A grant without an answer is taken for lost after this.
GRANT_LOST = 2 * GRANT_LIFE


def is_central(row: AllocationRow, workspace: WorkspaceRow) -> bool:
    """Return whether the allocator's instance holds the whole share."""
    least = SCARCE_BURST_PER_HOLDER if row.is_scarce else MIN_BURST_PER_HOLDER
    return workspace.burst < least * len(row.holdings)


def note_demand(row: AllocationRow, workspace: WorkspaceRow) -> None:
    """Decide whether the workspace sends about as much as its rate, or more."""
    demand = sum(holding.demand for holding in row.holdings.values())
    part = SCARCE_UNTIL if row.is_scarce else SCARCE_FROM
    row.is_scarce = demand > part * workspace.rate


def grants(row: AllocationRow, state: State) -> bool:
    """Return whether tokens are granted one by one instead of lent with burst."""
    limits = limits_of(row, state)
    # While a lowered burst is taken back, holders have more than the limit.
    is_easing = surplus(row, state.clock.monotonic()) > 0
    if limits is None or is_easing or not is_central(row, limits):
        return False
    return limits.burst - in_flight(limits) >= 1


def usable_limits(row: AllocationRow, state: State) -> WorkspaceRow | None:
    """Return the workspace with the rate and burst that may be divided now."""
    limits = limits_of(row, state)
    if limits is None:
        return None
    is_recent = state.clock.monotonic() - row.granted_at <= GRANT_LOST
    if is_recent or grants(row, state):
        return evolve(limits, burst=max(1.0, limits.burst - in_flight(limits)))
    return limits


def in_flight(limits: WorkspaceRow) -> float:
    """Return the tokens that the rate yields while a grant is on its way."""
    return limits.rate * GRANT_LIFE.total_seconds()


def grant(
    row: AllocationRow, holding: HoldingRow, report: ShareReport, state: State
) -> None:
    """Grant tokens of this instance's share to requests that wait at a holder."""
    limits = limits_of(row, state)
    own = rates.get_or_create_share(row.workspace, state)
    if limits is None or not may_grant(row, holding, report, limits, state):
        return
    rates.refill(own, state)
    tokens = int(min(own.tokens + rates.ROUNDING, holding.tokens_needed))
    if tokens < 1 or not rates.in_force(own, state):
        return
    own.tokens = max(0.0, own.tokens - tokens)
    holding.tokens_needed -= tokens
    holding.grant_number = report.number
    holding.granted_at = row.granted_at = state.clock.monotonic()
    message = ShareGrant(row.workspace, row.epoch, report.number, tokens)
    peers.send(holding.instance, message, state)


def may_grant(
    row: AllocationRow,
    holding: HoldingRow,
    report: ShareReport,
    limits: WorkspaceRow,
    state: State,
) -> bool:
    """Return whether a grant keeps the limit and is no second one for a request."""
    if holding.instance == state.settings.name or not grants(row, state):
        return False
    if row.locked_burst > 0:
        return False
    held = sum(other.burst for other in row.holdings.values())
    if held > limits.burst - in_flight(limits) + rates.ROUNDING:
        return False
    is_answered = report.granted >= holding.grant_number
    return is_answered or state.clock.monotonic() - holding.granted_at > GRANT_LOST


@handle_peer.register
def _(message: ShareGrant, sender: str, state: State) -> None:
    row = rates.get_or_create_share(message.workspace, state)
    sent_at = row.reports_sent.get(message.number)
    if message.epoch != row.epoch or sent_at is None or message.number <= row.granted:
        return
    row.granted = message.number
    if state.clock.monotonic() - sent_at > GRANT_LIFE:
        state.counters["rates.grants_late"] += 1
        return
    rates.spend_grant(row, message.tokens, state)
