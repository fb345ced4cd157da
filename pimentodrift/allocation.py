"""Divides a workspace's rate and burst into shares, as the workspace's allocator.

The allocator is the instance that the store's `allocator` object names; a conditional
update with a higher epoch passes the role on (module `allocator_claims`). Its ledger
counts rate and burst as held from the moment a `ShareRaise` is sent, and as free only
when `ShareLowered` has arrived, so messages may be lost, delayed and repeated.

A successor does not know the shares that its predecessor gave out. At first it treats
the whole rate and burst as locked, that is, possibly held by another instance. Each
report unlocks what its sender holds. The remainder is unlocked once every listed
instance has reported, or has been silent for longer than its lease can last. A refused
connection does not prove that a holder has ended: a network partition may refuse, too.
"""

from datetime import timedelta

from . import membership, peers, view
from .allocator_claims import (
    claim_if_vacant,
    claim_vacant_roles,
    drop_superseded,
    renewal,
    stored_epoch,
)
from .burst_reduction import effective_limits
from .clock import NEVER
from .dispatch import handle_peer
from .ledger_takeover import ask_predecessor, redirect
from .locked_shares import (
    ask_missing_holders,
    max_predecessor_lease,
    missing_holders,
    quiet_since,
    record_without_share,
    unlock_shares,
)
from .peer_messages import (
    ShareDenied,
    ShareLower,
    ShareLowered,
    ShareRaise,
    ShareRaised,
    ShareReport,
)
from .rate_rows import AllocationRow, HoldingRow
from .rates import SHARE_LEASE
from .share_moves import (
    EPSILON,
    collect_tokens,
    distribute_free_tokens,
    free_burst,
    lower_excess_shares,
    raise_deficient_shares,
    resend_operations,
    send_lower,
    target_rates,
)
from .standby_grants import choose_standbys
from .tables import State
from .token_grants import grant_tokens, update_scarcity, usable_limits
from .warmup.limits import limit_named

BALANCE_INTERVAL = timedelta(milliseconds=100)
# After this silence, a holder's lease has ended; twice the lease, so that the holder's
# clock may run at half speed.
SILENCE_LIMIT = 2 * SHARE_LEASE
# Time for the first reports to reach a new allocator.
REPORT_ARRIVAL_TIME = timedelta(seconds=1)


def has_authority(state: State) -> bool:
    """Return whether this instance may still act as allocator of its workspaces.

    It may while its view of the store is recent enough to show a successor, and during
    an outage of the store, when no instance can succeed it.
    """
    is_current = view.copy_age(state) <= state.settings.allocator_lease
    return is_current or view.is_store_outage(state)


def run(state: State) -> None:
    """Claim workspaces without an allocator; balance those that this one allocates."""
    claim_vacant_roles(state)
    now = state.clock.monotonic()
    for row in list(state.allocations.values()):
        if not drop_superseded(row, state) and now >= row.balance_at:
            balance_shares(row, state)


def reclaim_shares(row: AllocationRow, state: State) -> None:
    """Free the shares of holders whose lease has certainly ended.

    None are freed while this instance hears from less than half of all instances, since
    the fault may then be its own, or while holders may take the store to be down.
    """
    limit = state.clock.monotonic() - SILENCE_LIMIT
    silent = [name for name, item in row.holdings.items() if item.heard_at < limit]
    if not silent or not view.is_copy_fresh(state) or view.may_appear_down(state):
        return
    for name in silent:
        del row.holdings[name]
        state.counters["allocator.reclaimed"] += 1


@handle_peer.register
def _(message: ShareReport, sender: str, state: State) -> None:
    row = state.allocations.get(message.workspace)
    if row is None:
        check_allocator(message.workspace, state)
        redirect(message, sender, state)
        return
    if not has_authority(state):
        grant_without_authority(row, sender, message, state)
        return
    if message.epoch != row.epoch:
        # The holder has not adopted this epoch; another allocator may change its share.
        if message.epoch < row.epoch:
            peers.send(sender, renewal(row), state)
        return
    holding = row.holdings.get(sender)
    if holding is None and message.is_final:
        record_without_share(row, sender, message, state)
        return
    if holding is None:
        holding = add_holding(row, sender, message, state)
    update_level(row, holding, message.admitted, state)
    is_newer = message.number > holding.report_number
    holding.report_number = max(holding.report_number, message.number)
    if message.is_final:
        if is_newer:
            holding.returned += message.tokens
        if is_newer and not is_change_pending(holding, message):
            remove_holding(row, holding, message, state)
        return
    holding.heard_at = state.clock.monotonic()
    holding.tokens = message.tokens
    holding.demand = message.demand
    holding.tokens_needed = message.tokens_needed
    holding.can_stand_by = message.can_stand_by
    peers.send(
        sender,
        renewal(row, message.number),
        state,
    )
    if holding.operation is None and message.rate < holding.rate - EPSILON:
        # A holder that restarted under the same name has lost its share. Its answer to
        # this message corrects the ledger.
        send_lower(row, holding, holding.rate, holding.burst, state)
    grant_tokens(row, holding, message, state)
    if holding.tokens_needed > 0 and not deny_while_locked(row, holding, state):
        collect_tokens(row, holding, state)


def grant_without_authority(
    row: AllocationRow, sender: str, report: ShareReport, state: State
) -> None:
    """Grant tokens of the own share while its lease lasts, but change no share.

    A successor counts the own share as held until then.
    """
    holding = row.holdings.get(sender)
    if holding is None or report.is_final or report.epoch != row.epoch:
        return
    holding.tokens_needed = report.tokens_needed
    grant_tokens(row, holding, report, state)


def is_change_pending(holding: HoldingRow, report: ShareReport) -> bool:
    """Return whether a change in flight may still be applied by its holder.

    The holder then declines it with another final report.
    """
    operation = holding.operation
    return operation is not None and operation.number > report.last_number


def remove_holding(
    row: AllocationRow, holding: HoldingRow, report: ShareReport, state: State
) -> None:
    """Take back the share of a holder that has given it up."""
    del row.holdings[holding.instance]
    row.free_tokens += holding.returned
    operation = holding.operation
    if isinstance(operation, ShareRaise) and operation.number == report.declined:
        row.free_tokens += operation.tokens
    state.counters["allocator.returned"] += 1
    distribute_free_tokens(row, state)


def deny_while_locked(row: AllocationRow, holding: HoldingRow, state: State) -> bool:
    """Deny tokens while the whole rate is locked; return whether they were denied.

    In the first moments of an epoch, nothing is denied, because the reports that unlock
    the shares are still on their way.
    """
    workspace = limit_named(row.workspace, state)
    waited = state.clock.monotonic() - row.taken_at
    if workspace is None or waited < REPORT_ARRIVAL_TIME:
        return False
    if row.locked_rate < workspace.rate - EPSILON:
        return False
    remaining = max_predecessor_lease(state) - waited
    retry_ms = max(1, remaining // timedelta(milliseconds=1))
    denied = ShareDenied(row.workspace, row.epoch, retry_ms, is_locked=True)
    peers.send(holding.instance, denied, state)
    return True


def check_allocator(workspace: str, state: State) -> None:
    """Check whether a workspace's allocator is alive, and claim the role if it is not.

    A report that reaches another instance than the allocator usually means that its
    sender considers the allocator unusable.
    """
    holder = stored_epoch(workspace, state).holder
    if limit_named(workspace, state) is None or not holder:
        return
    membership.track_contact(holder, state)
    claim_if_vacant(workspace, state)


def add_holding(
    row: AllocationRow, sender: str, message: ShareReport, state: State
) -> HoldingRow:
    """Add the share that a holder reports for the first time in this epoch."""
    holding = HoldingRow(sender, message.rate, message.burst)
    holding.quiet_since = quiet_since(message, state)
    row.holdings[sender] = holding
    known = (row.ledger or {}).get(sender)
    # A change in flight from the predecessor is not applied any more.
    rate, burst = (known.rate, known.burst) if known else (message.rate, message.burst)
    row.locked_rate = max(0.0, row.locked_rate - rate)
    row.locked_burst = max(0.0, row.locked_burst - burst)
    if not missing_holders(row, state):
        row.balance_at = NEVER  # What nobody holds can be unlocked and divided.
    return holding


def update_level(
    row: AllocationRow, holding: HoldingRow, admitted: int, state: State
) -> None:
    """Update the level of the workspace's bucket by a holder's admitted requests.

    The level is that of a single bucket for the whole workspace.
    """
    workspace = effective_limits(row, state)
    if workspace is None:
        return
    now = state.clock.monotonic()
    elapsed = (now - row.level_at).total_seconds()
    row.level_at = now
    # The level may exceed the burst by the refill since the oldest report, because the
    # requests that used these tokens may not have been reported yet.
    reported = min(other.heard_at for other in row.holdings.values())
    unreported = workspace.rate * (now - max(reported, row.taken_at)).total_seconds()
    max_level = workspace.burst + max(0.0, unreported)
    row.level = min(max_level, row.level + workspace.rate * elapsed)
    if holding.admitted is not None:
        row.level -= max(0, admitted - holding.admitted)
    row.level = max(-workspace.burst, row.level)
    holding.admitted = admitted


@handle_peer.register
def _(message: ShareLowered, sender: str, state: State) -> None:
    row = state.allocations.get(message.workspace)
    if row is None or row.epoch != message.epoch:
        return
    holding = row.holdings.get(sender)
    if holding is None or not isinstance(holding.operation, ShareLower):
        return
    asked = holding.operation
    if asked.number != message.number:
        return
    holding.operation = None
    # A holder that gave up less than it was asked for has nothing left.
    lacks_rate = message.rate < asked.rate - EPSILON
    lacks_burst = message.burst < asked.burst - EPSILON
    holding.rate = 0.0 if lacks_rate else max(0.0, holding.rate - asked.rate)
    holding.burst = 0.0 if lacks_burst else max(0.0, holding.burst - asked.burst)
    holding.tokens = max(0.0, holding.tokens - message.tokens)
    row.free_tokens += message.tokens
    state.counters["allocator.moves"] += 1
    distribute_free_tokens(row, state)


@handle_peer.register
def _(message: ShareRaised, sender: str, state: State) -> None:
    row = state.allocations.get(message.workspace)
    if row is None or row.epoch != message.epoch:
        return
    holding = row.holdings.get(sender)
    if holding is None or not isinstance(holding.operation, ShareRaise):
        return
    if holding.operation.number == message.number:
        holding.operation = None


def balance_shares(row: AllocationRow, state: State) -> None:
    """Adjust the shares to the demand; end the ledger if there is no such limit."""
    row.balance_at = state.clock.monotonic() + BALANCE_INTERVAL
    workspace = usable_limits(row, state)
    if workspace is None:
        del state.allocations[row.workspace]
        return
    if not has_authority(state):
        return
    reclaim_shares(row, state)
    unlock_shares(row, state)
    ask_predecessor(row, state)
    ask_missing_holders(row, state)
    resend_operations(row, state)
    row.free_tokens = min(row.free_tokens, max(0.0, free_burst(row, workspace)))
    update_scarcity(row, workspace, state)
    choose_standbys(row, workspace, state)
    targets = target_rates(row, workspace, state)
    lower_excess_shares(row, workspace, targets, state)
    raise_deficient_shares(row, workspace, targets, state)
