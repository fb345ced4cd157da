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
from itertools import islice

from . import membership, peers, view
from .dispatch import handle_peer
from .messages import (
    Epoch,
    ShareDenied,
    ShareLower,
    ShareLowered,
    ShareRaise,
    ShareRaised,
    ShareRenew,
    ShareReport,
    StoreObject,
)
from .rates import LEASE, holds_all, is_usable
from .store_writes import StoreOutcome, write, write_ended
from .tables import (
    AllocationRow,
    ClaimRow,
    HoldingRow,
    Presence,
    State,
    WorkspaceRow,
)

BALANCE_INTERVAL = timedelta(milliseconds=100)
RESEND_INTERVAL = timedelta(milliseconds=200)
# Twice the lease, so that a holder's clock may run at half speed.
SILENCE_LIMIT = 2 * LEASE
# A successor also waits until its predecessor can no longer renew leases.
TAKEOVER_LIMIT = 2 * (LEASE + view.FRESH)
# Demand is met with this factor before the remainder is spread evenly.
HEADROOM = 1.1
# A share moves only by more than this part of an even share, to avoid endless moves.
DEAD_BAND = 0.1
# A smaller burst is not worth dividing: the allocator's instance holds all of it and
# the others ask for each token, because many buckets under one token overflow.
MIN_BURST_PER_HOLDER = 4.0
CLAIM_TIMEOUT = timedelta(seconds=3)
EPSILON = 1e-9
# Up to this many workspaces are examined for a vacancy at each tick; more are examined
# in turn within a second, because a walk of 2,300 at each tick took half a core.
MIN_EXAMINED = 32
EXAMINATION_TICKS = 50


def has_authority(state: State) -> bool:
    """Return whether this instance may still act as the allocator it knows to be."""
    return view.is_fresh(state) or view.is_outage(state)


def run(state: State) -> None:
    """Claim workspaces without an allocator and balance those of this instance."""
    for workspace in examined(state):
        claim_if_vacant(workspace, state)
    for name, row in list(state.allocations.items()):
        declared = state.configuration.workspaces.get(name)
        if declared is None:
            del state.allocations[name]
        elif not drop_superseded(row, state):
            balance(row, declared, state)


def examined(state: State) -> list[str]:
    """Return the workspaces to be examined in this tick, a part of many in turn."""
    names = state.configuration.workspaces
    count = max(MIN_EXAMINED, -(-len(names) // EXAMINATION_TICKS))
    if len(names) <= count:
        return list(names)
    start = state.counters["allocator.examined"] % len(names)
    state.counters["allocator.examined"] += min(count, len(names) - start)
    return list(islice(names, start, start + count))


def stored_epoch(workspace: str, state: State) -> Epoch:
    """Return the epoch in the store's object; number 0 if there is none."""
    item = state.view.objects.get(("allocator", workspace))
    if item is None or item.value is None:
        return Epoch(0, "")
    return Epoch(int(item.value["epoch"]), str(item.value["holder"]))


def claim_if_vacant(workspace: str, state: State) -> None:
    """Become the allocator if there is none and this instance comes first."""
    own = state.settings.name
    item = state.view.objects.get(("allocator", workspace))
    if item is not None and item.value is not None:
        holder = item.value["holder"]
        if holder != own and is_usable(holder, state):
            return
    stored = stored_epoch(workspace, state)
    now = state.clock.monotonic()
    claim = state.claims.get(workspace)
    if claim is not None and now - claim.sent_at < CLAIM_TIMEOUT:
        return
    if workspace in state.allocations or not view.is_fresh(state) or state.stopping:
        return
    # Without this, the two sides of a cut that both reach the store would replace each
    # other's allocator again and again.
    if not view.hears_majority(state):
        return
    # An own object without a ledger is left by a claim with an unclear answer.
    if stored.holder != own and first_candidate(workspace, state) != own:
        return
    epoch = Epoch(stored.number + 1, own)
    claim = ClaimRow(workspace, epoch, stored.holder, now)
    state.claims[workspace] = claim
    target = item or StoreObject("allocator", workspace, 0, None)
    value = {"epoch": epoch.number, "holder": own}
    write(target, value, claim, state)


def first_candidate(workspace: str, state: State) -> str | None:
    """Return the instance that should become the allocator."""
    row = membership.first(f"allocator/{workspace}", "", state)
    return row.name if row is not None else None


def drop_superseded(row: AllocationRow, state: State) -> bool:
    """Give up the ledger when the store names a later epoch; tell whether it did."""
    if stored_epoch(row.workspace, state) <= row.epoch:
        return False
    del state.allocations[row.workspace]
    state.counters["allocator.superseded"] += 1
    return True


@write_ended.register
def _(purpose: ClaimRow, outcome: StoreOutcome, state: State) -> None:
    state.claims.pop(purpose.workspace, None)
    if outcome is StoreOutcome.WRITTEN:
        take_over(purpose, state)


def take_over(claim: ClaimRow, state: State) -> None:
    """Start the ledger; after a predecessor, everything is locked at first."""
    workspace = state.configuration.workspaces.get(claim.workspace)
    if workspace is None:
        return
    row = AllocationRow(
        claim.workspace,
        claim.epoch,
        state.clock.monotonic(),
        state.view.objects["allocator", claim.workspace].version,
        predecessor=claim.predecessor,
        level=workspace.burst,
        level_at=state.clock.monotonic(),
    )
    if claim.predecessor:
        row.locked_rate = workspace.rate
        row.locked_burst = workspace.burst
        state.counters["allocator.takeovers"] += 1
    else:
        row.free_tokens = workspace.burst
    state.allocations[claim.workspace] = row
    fields: dict[str, object] = {
        "workspace": claim.workspace,
        "epoch": claim.epoch.number,
        "predecessor": claim.predecessor,
    }
    state.events.append(("allocator_started", fields))
    for name in to_be_told(state):
        peers.send(name, ShareRenew(row.workspace, row.epoch), state)


def to_be_told(state: State) -> list[str]:
    """Return the instances that hear of a new allocator at once.

    In a larger fleet, which has no stream between any two instances, the others follow
    the store's object.
    """
    if holds_all(state):
        return list(state.instances)
    return [state.settings.name, *state.contacts]


# --- The ledger


def free_rate(row: AllocationRow, workspace: WorkspaceRow) -> float:
    """Return the rate (requests/s) that nobody holds."""
    held = sum(holding.rate for holding in row.holdings.values())
    return workspace.rate - held - row.locked_rate


def free_burst(row: AllocationRow, workspace: WorkspaceRow) -> float:
    """Return the burst (requests) that nobody holds."""
    held = sum(holding.burst for holding in row.holdings.values())
    return workspace.burst - held - row.locked_burst


def unlock(row: AllocationRow, state: State) -> None:
    """Unlock what silent holders had once none of them can be alive."""
    if row.locked_rate <= EPSILON and row.locked_burst <= EPSILON:
        return
    # Instances listed before the claim are in a view at least as new as the claim.
    if state.view.version < row.store_version or not view.is_fresh(state):
        return
    expected = {name for name in state.instances} | {row.predecessor}
    missing = expected - row.holdings.keys() - state.ended
    waited = state.clock.monotonic() - row.taken_at > TAKEOVER_LIMIT
    if missing and not (waited and view.hears_majority(state)):
        return
    row.locked_rate = 0.0
    row.locked_burst = 0.0
    state.counters["allocator.unlocked"] += 1


def reclaim(row: AllocationRow, state: State) -> None:
    """Free the shares of holders whose lease has certainly ended."""
    if not view.is_fresh(state) or not view.hears_majority(state):
        return
    now = state.clock.monotonic()
    for name, holding in list(row.holdings.items()):
        silent = now - holding.heard_at > SILENCE_LIMIT
        if silent or name in state.ended:
            del row.holdings[name]
            state.counters["allocator.reclaimed"] += 1


# --- Messages of holders


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
    holding.heard_at = state.clock.monotonic()
    count_admitted(row, holding, message.admitted, state)
    holding.tokens = message.tokens
    holding.demand = message.demand
    holding.tokens_needed = message.tokens_needed
    peers.send(sender, ShareRenew(row.workspace, row.epoch, message.number), state)
    if holding.operation is None and message.rate < holding.rate - EPSILON:
        # A holder that restarted under its name has less; ask it to state so.
        send_lower(row, holding, holding.rate, holding.burst, state)
    if message.tokens_needed > 0:
        serve_need(row, holding, state)


def expect_vacancy(workspace: str, state: State) -> None:
    """Find out whether the allocator is alive, which a holder seems to doubt."""
    holder = stored_epoch(workspace, state).holder
    if workspace not in state.configuration.workspaces or not holder:
        return
    membership.contact(holder, state)
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
    workspace = state.configuration.workspaces[row.workspace]
    now = state.clock.monotonic()
    elapsed = (now - row.level_at).total_seconds()
    row.level_at = now
    row.level = min(workspace.burst, row.level + workspace.rate * elapsed)
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


# --- Moving shares


def balance(row: AllocationRow, workspace: WorkspaceRow, state: State) -> None:
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
    targets = target_rates(row, workspace, state)
    lower_excess(row, workspace, targets, state)
    raise_deficits(row, workspace, targets, state)


def target_rates(
    row: AllocationRow, workspace: WorkspaceRow, state: State
) -> dict[str, float]:
    """Return each holder's rate: its demand first, then an even part of the rest."""
    available = workspace.rate - row.locked_rate
    own = state.settings.name
    if workspace.burst < MIN_BURST_PER_HOLDER * len(row.holdings):
        return {name: available if name == own else 0.0 for name in row.holdings}
    active = [
        holding
        for holding in row.holdings.values()
        if can_hold(holding.instance, state)
    ]
    wanted = sum(holding.demand for holding in active) * HEADROOM
    factor = min(1.0, available / wanted) if wanted > 0 else 0.0
    rest = max(0.0, available - wanted * factor)
    targets = dict.fromkeys(row.holdings, 0.0)
    for holding in active:
        even = rest / len(active)
        targets[holding.instance] = holding.demand * HEADROOM * factor + even
    return targets


def can_hold(instance: str, state: State) -> bool:
    """Return whether a holder should keep a share; a suspected one keeps it."""
    row = state.instances.get(instance)
    return row is not None and row.presence is Presence.LIVE


def lower_excess(
    row: AllocationRow,
    workspace: WorkspaceRow,
    targets: dict[str, float],
    state: State,
) -> None:
    """Ask holders above their target to give up the difference."""
    band = DEAD_BAND * workspace.rate / max(1, len(targets))
    burst_per_rate = workspace.burst / workspace.rate
    for name, target in targets.items():
        holding = row.holdings[name]
        rate = max(0.0, holding.rate - target)
        burst = max(0.0, holding.burst - target * burst_per_rate)
        leaving = target <= 0 and (rate > 0 or burst > 0)
        beyond = rate > band or burst > band * burst_per_rate
        if holding.operation is None and (beyond or leaving):
            send_lower(row, holding, rate, burst, state)


def raise_deficits(
    row: AllocationRow,
    workspace: WorkspaceRow,
    targets: dict[str, float],
    state: State,
) -> None:
    """Give free rate and burst to holders below their target, in proportion."""
    ratio = workspace.burst / workspace.rate
    deficits = {
        name: (
            max(0.0, target - row.holdings[name].rate),
            max(0.0, target * ratio - row.holdings[name].burst),
        )
        for name, target in targets.items()
        if row.holdings[name].operation is None
    }
    rates = max(0.0, free_rate(row, workspace))
    bursts = max(0.0, free_burst(row, workspace))
    tokens = row.free_tokens
    rate_sum = sum(rate for rate, _ in deficits.values())
    burst_sum = sum(burst for _, burst in deficits.values())
    for name, (rate, burst) in deficits.items():
        added_rate = rate * min(1.0, rates / rate_sum) if rate_sum > 0 else 0.0
        added_burst = burst * min(1.0, bursts / burst_sum) if burst_sum > 0 else 0.0
        if added_rate < EPSILON * ratio and added_burst < EPSILON:
            continue
        part = added_burst / burst_sum if burst_sum > 0 else 0.0
        added_tokens = min(added_burst, tokens * part, row.free_tokens)
        send_raise(
            row, row.holdings[name], added_rate, added_burst, added_tokens, state
        )


def serve_need(row: AllocationRow, needy: HoldingRow, state: State) -> None:
    """Collect tokens for a holder with waiting requests, or deny them."""
    raise_needy(row, state)
    if needy.operation is not None:
        return
    missing = needy.tokens_needed
    workspace = state.configuration.workspaces[row.workspace]
    donors = sorted(
        (
            holding
            for holding in row.holdings.values()
            if holding is not needy and holding.tokens_needed <= 0
        ),
        key=lambda holding: holding.tokens,
        reverse=True,
    )
    # A workspace that is owed a token is inside its rate: its requests wait for the
    # shares to follow the demand, whatever the buckets hold.
    if row.level < 1:
        retry_ms = int(1000 * (1 - row.level) / workspace.rate) + 1
        message = ShareDenied(row.workspace, row.epoch, min(retry_ms, 1000))
        peers.send(needy.instance, message, state)
        return
    for donor in donors:
        if missing <= 0:
            return
        given = min(donor.tokens, missing)
        missing -= given
        if given > EPSILON and donor.operation is None:
            send_lower(row, donor, 0.0, given, state)


def raise_needy(row: AllocationRow, state: State) -> None:
    """Hand free tokens and their burst to holders with waiting requests."""
    workspace = state.configuration.workspaces.get(row.workspace)
    if workspace is None:
        return
    for holding in list(row.holdings.values()):
        if holding.tokens_needed <= 0 or holding.operation is not None:
            continue
        room = max(0.0, free_burst(row, workspace))
        tokens = min(holding.tokens_needed, row.free_tokens, room)
        if tokens > EPSILON:
            holding.tokens_needed -= tokens
            send_raise(row, holding, 0.0, tokens, tokens, state)


def send_lower(
    row: AllocationRow,
    holding: HoldingRow,
    rate: float,
    burst: float,
    state: State,
) -> None:
    """Ask a holder to give up parts of its share."""
    message = ShareLower(row.workspace, row.epoch, state.number(), rate, burst)
    send_operation(holding, message, state)


def send_raise(
    row: AllocationRow,
    holding: HoldingRow,
    rate: float,
    burst: float,
    tokens: float,
    state: State,
) -> None:
    """Add to a holder's share; the ledger counts it from now on."""
    holding.rate += rate
    holding.burst += burst
    row.free_tokens = max(0.0, row.free_tokens - tokens)
    message = ShareRaise(row.workspace, row.epoch, state.number(), rate, burst, tokens)
    send_operation(holding, message, state)


def send_operation(
    holding: HoldingRow, message: ShareLower | ShareRaise, state: State
) -> None:
    """Send a share operation and keep it until it is answered."""
    holding.operation = message
    holding.operation_sent_at = state.clock.monotonic()
    peers.send(holding.instance, message, state)


def resend(row: AllocationRow, state: State) -> None:
    """Repeat operations without an answer; their numbers make that harmless."""
    now = state.clock.monotonic()
    for holding in list(row.holdings.values()):
        if holding.operation is None:
            continue
        if now - holding.operation_sent_at > RESEND_INTERVAL:
            holding.operation_sent_at = now
            peers.send(holding.instance, holding.operation, state)
