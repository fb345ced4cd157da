"""Grants single tokens of a small burst to requests that wait at other instances.

If a workspace's burst is too small to be divided among its holders, the allocator's
instance holds the whole share. A `ShareRaise` moves tokens together with burst, and the
burst would be out of use until it has come back, which wastes tokens under overload. A
grant carries tokens without burst; the holder spends them at once or discards them.

A grant counts against the bucket when it is sent and is spent at most `GRANT_LIFETIME`
later. So the bucket's burst is reduced by the refill of that time, and all instances
together still stay within the workspace's rate and burst in any window.
"""

from datetime import timedelta

from attrs import evolve

from . import peers, rates
from .burst_reduction import effective_limits, remaining_surplus
from .clock import CLOCK_DRIFT_FACTOR
from .dispatch import handle_peer
from .peer_messages import ShareGrant, ShareReport
from .policies import Policy
from .rate_rows import AllocationRow, HoldingRow, ShareRow
from .tables import State, WorkspaceRow

# Requests per holder. A smaller burst is not divided: buckets that hold less than a
# token overflow before they have a whole one.
MIN_BURST_PER_HOLDER = 1.0
# The same limit while the workspace's demand is about its rate or more, since no token
# may be wasted then. Below the rate, divided shares save the round trip to the
# allocator and stay usable when it fails.
SCARCE_BURST_PER_HOLDER = 4.0
# Parts of the rate: tokens are scarce once the demand exceeds the first, until it is at
# or below the second.
SCARCITY_START = 0.95
SCARCITY_END = 0.8
# Requests in whose time, at the rate, the demand that decides this is averaged. A few
# requests/s vary so much from one moment to the next that a calm workspace would often
# seem to be at its rate.
SCARCITY_SAMPLE = 30
# How long after the sending of its report a holder may spend the grant that answers it:
# a round trip between regions and two ticks.
GRANT_LIFETIME = timedelta(milliseconds=100)
# After this time, a grant that no report has confirmed counts as lost.
GRANT_TIMEOUT = 2 * GRANT_LIFETIME


def is_central(row: AllocationRow, workspace: WorkspaceRow) -> bool:
    """Return whether the allocator's instance should hold the whole rate and burst."""
    least = SCARCE_BURST_PER_HOLDER if row.is_scarce else MIN_BURST_PER_HOLDER
    return workspace.burst < least * holder_count(row)


def is_indivisible(row: AllocationRow, workspace: WorkspaceRow) -> bool:
    """Return whether the burst is too small to be divided even while none is scarce."""
    return workspace.burst < MIN_BURST_PER_HOLDER * holder_count(row)


def holder_count(row: AllocationRow) -> int:
    """Return how many instances hold shares; one more if a lost one may have a part.

    Otherwise the loss of a holder could make the rest of a small burst seem divisible.
    """
    return len(row.holdings) + (row.locked_burst > 0)


def update_scarcity(row: AllocationRow, workspace: WorkspaceRow, state: State) -> None:
    """Update whether the demand is about the workspace's rate or above it."""
    now = state.clock.monotonic()
    demand = sum(holding.demand for holding in row.holdings.values())
    elapsed = (now - row.measured_at).total_seconds()
    # The holders' demand is an average already.
    window = SCARCITY_SAMPLE / workspace.rate - rates.DEMAND_WINDOW.total_seconds()
    window = min(window, (now - row.taken_at).total_seconds())
    weight = elapsed / window if window > elapsed else 1.0
    row.demand += (demand - row.demand) * weight
    row.measured_at = now
    part = SCARCITY_END if row.is_scarce else SCARCITY_START
    row.is_scarce = row.demand > part * workspace.rate


def uses_grants(row: AllocationRow, state: State) -> bool:
    """Return whether waiting requests get grants instead of shares with burst."""
    if not state.settings.uses(Policy.TOKEN_GRANTS):
        return False
    limits = effective_limits(row, state)
    # While a burst reduction is in progress, holders have more than the declared burst.
    is_reducing = remaining_surplus(row, state.clock.monotonic()) > 0
    if limits is None or is_reducing or not is_central(row, limits):
        return False
    return limits.burst - refill_per_grant(limits) >= 1


def usable_limits(row: AllocationRow, state: State) -> WorkspaceRow | None:
    """Return the workspace with the rate and burst that may be divided into shares."""
    limits = effective_limits(row, state)
    if limits is None:
        return None
    is_recent = state.clock.monotonic() - row.granted_at <= GRANT_TIMEOUT
    if is_recent or uses_grants(row, state):
        return evolve(limits, burst=max(1.0, limits.burst - refill_per_grant(limits)))
    return limits


def refill_per_grant(limits: WorkspaceRow) -> float:
    """Return the tokens that the rate adds during the lifetime of a grant."""
    return limits.rate * GRANT_LIFETIME.total_seconds()


def grant_tokens(
    row: AllocationRow, holding: HoldingRow, report: ShareReport, state: State
) -> None:
    """Grant tokens of this instance's own share to requests that wait at a holder."""
    limits = effective_limits(row, state)
    own = rates.get_or_create_share(row.workspace, state)
    if limits is None or not may_grant(row, holding, report, limits, state):
        return
    rates.refill_bucket(own, state)
    tokens = int(min(own.tokens + rates.TOKEN_TOLERANCE, holding.tokens_needed))
    if tokens < 1 or not may_spend_on_others(own, state):
        return
    record_grant(own, tokens, state)
    holding.tokens_needed -= tokens
    holding.grant_number = report.number
    holding.granted_at = row.granted_at = state.clock.monotonic()
    message = ShareGrant(row.workspace, row.epoch, report.number, tokens)
    peers.send(holding.instance, message, state)


def may_spend_on_others(own: ShareRow, state: State) -> bool:
    """Return whether tokens of this instance's share may be granted now."""
    is_paused = state.clock.monotonic() < own.grants_after
    return rates.is_share_valid(own, state) and not is_paused


def record_grant(own: ShareRow, tokens: int, state: State) -> None:
    """Take granted tokens from the share; they count as held until they are spent.

    So the tokens in buckets and grants never exceed the burst.
    """
    own.tokens = max(0.0, own.tokens - tokens)
    until = state.clock.monotonic() + CLOCK_DRIFT_FACTOR * GRANT_LIFETIME
    own.outstanding.append((until, tokens))


def may_grant(
    row: AllocationRow,
    holding: HoldingRow,
    report: ShareReport,
    limits: WorkspaceRow,
    state: State,
) -> bool:
    """Return whether a grant keeps to the limit and the previous one has ended.

    Otherwise, requests whose grant is in flight could get tokens twice.
    """
    if holding.instance == state.settings.name or not uses_grants(row, state):
        return False
    if row.locked_burst and not state.settings.uses(Policy.LOCKED_GRANTS):
        return False
    held = row.locked_burst + sum(other.burst for other in row.holdings.values())
    if held > limits.burst - refill_per_grant(limits) + rates.TOKEN_TOLERANCE:
        return False
    is_answered = report.granted >= holding.grant_number
    return is_answered or state.clock.monotonic() - holding.granted_at > GRANT_TIMEOUT


@handle_peer.register
def _(message: ShareGrant, sender: str, state: State) -> None:
    row = rates.get_or_create_share(message.workspace, state)
    if message.number in row.queries_sent:
        asked_at = row.queries_sent.pop(message.number)
        row.standby_heard_at = state.clock.monotonic()
        spend_grant(row, message, asked_at, state)
        return
    sent_at = row.reports_sent.get(message.number)
    if message.epoch != row.epoch or sent_at is None or message.number <= row.granted:
        return
    row.granted = message.number
    spend_grant(row, message, sent_at, state)


def spend_grant(
    row: ShareRow, message: ShareGrant, sent_at: timedelta, state: State
) -> None:
    """Admit waiting requests with a grant, unless it is late."""
    if state.clock.monotonic() - sent_at > GRANT_LIFETIME:
        state.counters["rates.grants_late"] += 1
        return
    rates.admit_from_grant(row, message.tokens, state)
