"""Finds out what a new allocator's predecessor had given out, to unlock the rest.

In a small fleet every instance reports its share of each workspace. In a larger one,
most instances have no share of a workspace, and the allocator asks them, so that after
a stop of the whole fleet nothing stays locked for the length of a lease. An instance
without a share answers that, and takes none from an older epoch any more.
"""

from datetime import timedelta

from attrs import evolve

from . import peers, view
from .allocator_claims import renewal
from .clock import CLOCK_DRIFT_FACTOR, MILLISECOND
from .peer_messages import ShareReport
from .policies import Policy
from .rate_rows import AllocationRow
from .rates import SHARE_LEASE, holds_all_shares
from .share_moves import EPSILON
from .tables import State

# Time between two questions to the instances that have not reported.
ASK_INTERVAL = timedelta(milliseconds=100)
# Instances; in a larger fleet the questions to all cost more than they save.
MAX_ASKED_FLEET = 256


def is_locked(row: AllocationRow) -> bool:
    """Return whether a part of the rate or burst may be held by others."""
    return row.locked_rate > EPSILON or row.locked_burst > EPSILON


def unlock_shares(row: AllocationRow, state: State) -> None:
    """Unlock the rate and burst of silent holders once their leases have ended."""
    if not is_locked(row):
        # Rounding errors of what the holders have reported.
        row.locked_rate = row.locked_burst = 0.0
        return
    # A view at least as new as the claim has every instance that was listed before it.
    if state.view.version < row.store_version or not view.is_copy_fresh(state):
        return
    missing = missing_holders(row, state)
    leases_ended = state.clock.monotonic() - row.taken_at > max_predecessor_lease(state)
    if missing and not (leases_ended and not view.may_appear_down(state)):
        return
    row.free_tokens += refilled_tokens(row, state)
    row.locked_rate = 0.0
    row.locked_burst = 0.0
    state.counters["allocator.unlocked"] += 1


def refilled_tokens(row: AllocationRow, state: State) -> float:
    """Return the tokens by which the locked part has refilled since it was last used.

    If all instances have restarted, it was held by the processes before them, which
    ended before the last of the present ones started.
    """
    expected = state.instances.keys() | {row.predecessor}
    is_used = state.settings.uses(Policy.REFILLED_TOKENS)
    if expected - row.holdings.keys() - row.without_share.keys() or not is_used:
        return 0.0
    starts = [holding.quiet_since for holding in row.holdings.values()]
    starts += row.without_share.values()
    known = [start for start in starts if start is not None]
    if not known or len(known) < len(starts):
        return 0.0
    quiet = state.clock.monotonic() - max(known)
    return min(row.locked_burst, row.locked_rate * quiet.total_seconds())


def missing_holders(row: AllocationRow, state: State) -> set[str]:
    """Return the instances that may hold a share and have not reported it yet."""
    expected = state.instances.keys() | {row.predecessor}
    if row.ledger is not None and row.knows_holders:
        expected = set(row.ledger)
    return expected - row.holdings.keys() - row.without_share.keys()


def max_predecessor_lease(state: State) -> timedelta:
    """Return how long shares that a predecessor renewed may stay valid."""
    return CLOCK_DRIFT_FACTOR * (SHARE_LEASE + state.settings.allocator_lease)


def ask_missing_holders(row: AllocationRow, state: State) -> None:
    """Ask the instances that have not reported what share they hold."""
    now = state.clock.monotonic()
    if not is_locked(row) or now - row.asked_at < ASK_INTERVAL:
        return
    is_large = len(state.instances) > MAX_ASKED_FLEET and not row.knows_holders
    if holds_all_shares(state) or is_large:
        return
    row.asked_at = now
    question = evolve(renewal(row), asks_report=True)
    for name in sorted(missing_holders(row, state)):
        peers.send(name, question, state)


def record_without_share(
    row: AllocationRow, sender: str, report: ShareReport, state: State
) -> None:
    """Record that an instance has no share and takes none from an older epoch."""
    row.without_share[sender] = quiet_since(report, state)


def quiet_since(report: ShareReport, state: State) -> timedelta | None:
    """Return when the sender of a report started, if it has admitted nothing yet."""
    if not report.quiet_ms:
        return None
    quiet = report.quiet_ms * MILLISECOND / CLOCK_DRIFT_FACTOR
    return state.clock.monotonic() - quiet
