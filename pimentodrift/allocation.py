"""The allocator of a workspace: its ledger of shares and how it moves them.

The allocator is the holder of the store's `allocator` object, which a conditional
update with a higher epoch passes on. The ledger counts a share as held from the
moment a `ShareRaise` is sent and as free only when `ShareLowered` has arrived, so
messages may be lost, delayed and repeated.

A successor knows nothing at first: all is locked, and each report unlocks what the
reporter holds. The rest is unlocked once every listed instance has reported or has
certainly ended. A holder has ended when its machine refuses connections to its
address, or when it has been silent for longer than its lease can last.
"""

from datetime import timedelta

from . import membership, peers, view
from .allocator_claims import (
    claim_if_vacant,
    drop_superseded,
    examined,
    stored_epoch,
)
from .burst_reduction import limits_of
from .dispatch import handle_peer
from .peer_messages import (
    ShareDenied,
    ShareLower,
    ShareLowered,
    ShareRaise,
    ShareRaised,
    ShareRenew,
    ShareReport,
)
from .rate_rows import AllocationRow, HoldingRow
from .rates import LEASE
from .share_moves import (
    EPSILON,
    free_burst,
    lower_excess,
    raise_deficits,
    raise_needy,
    resend,
    send_lower,
    serve_need,
    target_rates,
)
from .tables import State, WorkspaceRow
from .token_grants import grant, note_demand, usable_limits

BALANCE_INTERVAL = timedelta(milliseconds=100)
# Twice the lease, so that a holder's clock may run at half speed.
SILENCE_LIMIT = 2 * LEASE
REPORTS_ARRIVE = timedelta(seconds=1)
# A successor also waits until its predecessor can no longer renew leases; the factor
# allows for clocks that drift.
DRIFT = 1.1


def has_authority(state: State) -> bool:
    """Return whether this instance may still act as the allocator it knows to be."""
    is_current = view.copy_age(state) <= state.settings.allocator_lease
    return is_current or view.is_store_outage(state)


def run(state: State) -> None:
    """Claim workspaces without an allocator and balance those of this instance."""
    for workspace in examined(state):
        claim_if_vacant(workspace, state)
    for name, row in list(state.allocations.items()):
        limits = usable_limits(row, state)
        if limits is None:
            del state.allocations[name]
        elif not drop_superseded(row, state):
            balance_shares(row, limits, state)


def unlock(row: AllocationRow, state: State) -> None:
    """Unlock what silent holders had once none of them can be alive."""
    if row.locked_rate <= EPSILON and row.locked_burst <= EPSILON:
        return
    # Instances listed before the claim are in a view at least as new as the claim.
    if state.view.version < row.store_version or not view.is_copy_fresh(state):
        return
    expected = {name for name in state.instances} | {row.predecessor}
    missing = expected - row.holdings.keys() - state.ended
    waited = state.clock.monotonic() - row.taken_at > takeover_limit(state)
    if missing and not (waited and view.reaches_half(state)):
        return
    row.locked_rate = 0.0
    row.locked_burst = 0.0
    state.counters["allocator.unlocked"] += 1


def takeover_limit(state: State) -> timedelta:
    """Return how long a predecessor's shares may hold."""
    return DRIFT * (LEASE + state.settings.allocator_lease)


def reclaim(row: AllocationRow, state: State) -> None:
    """Free the shares of holders whose lease has certainly ended."""
    if not view.is_copy_fresh(state) or not view.reaches_half(state):
        return
    now = state.clock.monotonic()
    for name, holding in list(row.holdings.items()):
        silent = now - holding.heard_at > SILENCE_LIMIT
        if silent or name in state.ended:
            del row.holdings[name]
            state.counters["allocator.reclaimed"] += 1


@handle_peer.register
def _(message: ShareReport, sender: str, state: State) -> None:
    row = state.allocations.get(message.workspace)
    if row is None:
        expect_vacancy(message.workspace, state)
        return
    if not has_authority(state):
        return
    if message.epoch != row.epoch:
        # The holder is not bound to this epoch yet; its numbers may still change.
        if message.epoch < row.epoch:
            peers.send(sender, ShareRenew(row.workspace, row.epoch), state)
        return
    holding = row.holdings.get(sender)
    if holding is None:
        holding = add_holding(row, sender, message, state)
    count_admitted(row, holding, message.admitted, state)
    holding.heard_at = state.clock.monotonic()
    holding.tokens = message.tokens
    holding.demand = message.demand
    holding.tokens_needed = message.tokens_needed
    peers.send(sender, ShareRenew(row.workspace, row.epoch, message.number), state)
    if holding.operation is None and message.rate < holding.rate - EPSILON:
        # A holder that restarted under its name has less; ask it to state so.
        send_lower(row, holding, holding.rate, holding.burst, state)
    grant(row, holding, message, state)
    if holding.tokens_needed > 0 and not deny_locked(row, holding, state):
        serve_need(row, holding, state)


def deny_locked(row: AllocationRow, holding: HoldingRow, state: State) -> bool:
    """Deny tokens while silent instances may hold everything for some time yet.

    Right after the takeover, the reports that unlock the shares are on their way.
    """
    workspace = state.configuration.workspaces.get(row.workspace)
    waited = state.clock.monotonic() - row.taken_at
    if workspace is None or waited < REPORTS_ARRIVE:
        return False
    if row.locked_rate < workspace.rate - EPSILON:
        return False
    left = takeover_limit(state) - waited
    retry_ms = max(1, left // timedelta(milliseconds=1))
    peers.send(holding.instance, ShareDenied(row.workspace, row.epoch, retry_ms), state)
    return True


def expect_vacancy(workspace: str, state: State) -> None:
    """Find out whether the allocator is alive, which a holder seems to doubt."""
    holder = stored_epoch(workspace, state).holder
    if workspace not in state.configuration.workspaces or not holder:
        return
    membership.track_contact(holder, state)
    claim_if_vacant(workspace, state)


def add_holding(
    row: AllocationRow, sender: str, message: ShareReport, state: State
) -> HoldingRow:
    """Count the share that a holder reports for the first time in this epoch."""
    holding = HoldingRow(sender, message.rate, message.burst)
    row.holdings[sender] = holding
    state.ended.discard(sender)
    row.locked_rate = max(0.0, row.locked_rate - message.rate)
    row.locked_burst = max(0.0, row.locked_burst - message.burst)
    return holding


def count_admitted(
    row: AllocationRow, holding: HoldingRow, admitted: int, state: State
) -> None:
    """Update the workspace's level by the requests that a holder has admitted."""
    workspace = limits_of(row, state)
    if workspace is None:
        return
    now = state.clock.monotonic()
    elapsed = (now - row.level_at).total_seconds()
    row.level_at = now
    # What admitted requests took may be reported later than what came back since.
    reported = min(other.heard_at for other in row.holdings.values())
    unreported = workspace.rate * (now - max(reported, row.taken_at)).total_seconds()
    most = workspace.burst + max(0.0, unreported)
    row.level = min(most, row.level + workspace.rate * elapsed)
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
    # Less than asked means that the holder has nothing left.
    lacks_rate = message.rate < asked.rate - EPSILON
    lacks_burst = message.burst < asked.burst - EPSILON
    holding.rate = 0.0 if lacks_rate else max(0.0, holding.rate - asked.rate)
    holding.burst = 0.0 if lacks_burst else max(0.0, holding.burst - asked.burst)
    holding.tokens = max(0.0, holding.tokens - message.tokens)
    row.free_tokens += message.tokens
    state.counters["allocator.moves"] += 1
    raise_needy(row, state)


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


def balance_shares(row: AllocationRow, workspace: WorkspaceRow, state: State) -> None:
    """Move the shares toward the demand."""
    now = state.clock.monotonic()
    if now < row.balance_at:
        return
    row.balance_at = now + BALANCE_INTERVAL
    if not has_authority(state):
        return
    reclaim(row, state)
    unlock(row, state)
    resend(row, state)
    row.free_tokens = min(row.free_tokens, max(0.0, free_burst(row, workspace)))
    note_demand(row, workspace)
    targets = target_rates(row, workspace, state)
    lower_excess(row, workspace, targets, state)
    raise_deficits(row, workspace, targets, state)
