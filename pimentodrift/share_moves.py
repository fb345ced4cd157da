"""Moves parts of a workspace's rate and burst between the holders of its shares.

The workspace's allocator (module `allocation`) calls these functions. What a holder
gives up counts as free only when its answer has arrived, and what it is given counts
as held from the sending, so the sum never exceeds the workspace's rate and burst.
"""

from datetime import timedelta

from . import peers
from .peer_messages import ShareDenied, ShareLower, ShareRaise
from .policies import Policy
from .rate_rows import AllocationRow, HoldingRow
from .rates import MAX_REFILL_WAIT
from .tables import Presence, State, WorkspaceRow
from .token_grants import is_central, usable_limits, uses_grants

RESEND_INTERVAL = timedelta(milliseconds=200)
# Each holder gets its demand times this factor before the rest is divided evenly.
HEADROOM = 1.1
# A share is lowered only if it exceeds its target by more than this part of an even
# share, so that shares do not move back and forth without end.
DEAD_BAND = 0.1
# Part of the rate that is divided evenly while tokens are not scarce. A holder may need
# it as soon as its allocator is lost, and its demand of the last moment says little.
EVEN_FRACTION = 0.3
EPSILON = 1e-9  # Rounding error of rates (requests/s), bursts and tokens.


def free_rate(row: AllocationRow, workspace: WorkspaceRow) -> float:
    """Return the rate (requests/s) that is neither held nor locked."""
    held = sum(holding.rate for holding in row.holdings.values())
    return workspace.rate - held - row.locked_rate


def free_burst(row: AllocationRow, workspace: WorkspaceRow) -> float:
    """Return the burst (requests) that is neither held nor locked."""
    held = sum(holding.burst for holding in row.holdings.values())
    return workspace.burst - held - row.locked_burst


def target_rates(
    row: AllocationRow, workspace: WorkspaceRow, state: State
) -> dict[str, float]:
    """Return each holder's target rate: demand first, then an even part of the rest."""
    available = workspace.rate - row.locked_rate
    own = state.settings.name
    active = [
        holding
        for holding in row.holdings.values()
        if may_keep_share(holding.instance, state)
    ]
    wanted = sum(holding.demand for holding in active) * HEADROOM
    if is_central(row, workspace):
        grantors = {own, *row.standbys}
        part = available / len(grantors)
        return {name: part if name in grantors else 0.0 for name in row.holdings}
    follows_all = row.is_scarce or not state.settings.uses(Policy.EVEN_SHARES)
    followed = available * (1.0 if follows_all else 1.0 - EVEN_FRACTION)
    factor = min(1.0, followed / wanted) if wanted > 0 else 0.0
    rest = max(0.0, available - wanted * factor)
    targets = dict.fromkeys(row.holdings, 0.0)
    for holding in active:
        even = rest / len(active)
        targets[holding.instance] = holding.demand * HEADROOM * factor + even
    return targets


def target_bursts(
    row: AllocationRow,
    workspace: WorkspaceRow,
    targets: dict[str, float],
    state: State,
) -> dict[str, float]:
    """Return each holder's target burst: a whole token if possible, the rest by rate.

    A bucket that holds less than a token admits nothing without its allocator.
    """
    available = workspace.burst - row.locked_burst
    total = sum(targets.values())
    if total <= 0:
        return dict.fromkeys(targets, 0.0)
    active = sum(rate > 0 for rate in targets.values())
    is_enough = available >= active and state.settings.uses(Policy.WHOLE_TOKENS)
    whole = 1.0 if is_enough else 0.0
    spread = (available - whole * active) / total
    return {
        name: whole + rate * spread if rate > 0 else 0.0
        for name, rate in targets.items()
    }


def may_keep_share(instance: str, state: State) -> bool:
    """Return whether an instance may keep a share; a suspected instance may."""
    row = state.instances.get(instance)
    return row is not None and row.presence is Presence.LIVE


def lower_excess_shares(
    row: AllocationRow,
    workspace: WorkspaceRow,
    targets: dict[str, float],
    state: State,
) -> None:
    """Ask holders whose share exceeds its target to give up the difference."""
    part = DEAD_BAND / max(1, len(targets))
    bursts = target_bursts(row, workspace, targets, state)
    for name, target in targets.items():
        holding = row.holdings[name]
        rate = max(0.0, holding.rate - target)
        burst = max(0.0, holding.burst - bursts[name])
        leaving = target <= 0 and (rate > 0 or burst > 0)
        beyond = rate > part * workspace.rate or burst > part * workspace.burst
        if holding.operation is None and (beyond or leaving):
            send_lower(row, holding, rate, burst, state)


def raise_deficient_shares(
    row: AllocationRow,
    workspace: WorkspaceRow,
    targets: dict[str, float],
    state: State,
) -> None:
    """Divide free rate and burst among the shares below their target, in proportion."""
    ratio = workspace.burst / workspace.rate
    bursts = target_bursts(row, workspace, targets, state)
    deficits = {
        name: (
            max(0.0, target - row.holdings[name].rate),
            max(0.0, bursts[name] - row.holdings[name].burst),
        )
        for name, target in targets.items()
        if row.holdings[name].operation is None
    }
    available_rate = max(0.0, free_rate(row, workspace))
    available_burst = max(0.0, free_burst(row, workspace))
    tokens = row.free_tokens
    rate_sum = sum(rate for rate, _ in deficits.values())
    burst_sum = sum(burst for _, burst in deficits.values())
    for name, (rate, burst) in deficits.items():
        added_rate = rate * min(1.0, available_rate / rate_sum) if rate_sum > 0 else 0.0
        added_burst = (
            burst * min(1.0, available_burst / burst_sum) if burst_sum > 0 else 0.0
        )
        if added_rate < EPSILON * ratio and added_burst < EPSILON:
            continue
        part = added_burst / burst_sum if burst_sum > 0 else 0.0
        added_tokens = min(added_burst, tokens * part, row.free_tokens)
        send_raise(
            row, row.holdings[name], added_rate, added_burst, added_tokens, state
        )


def collect_tokens(row: AllocationRow, needy: HoldingRow, state: State) -> None:
    """Collect tokens from other holders for one with waiting requests, or deny them."""
    distribute_free_tokens(row, state)
    if needy.operation is not None:
        return
    missing = needy.tokens_needed
    workspace = usable_limits(row, state)
    if workspace is None:
        return
    donors = sorted(
        (
            holding
            for holding in row.holdings.values()
            if holding is not needy and holding.tokens_needed <= 0
        ),
        key=lambda holding: holding.tokens,
        reverse=True,
    )
    # A workspace whose level covers the tokens wanted is within its rate: its requests
    # wait until the shares follow the demand, whatever the buckets hold now. The refill
    # during `MAX_REFILL_WAIT` counts too, since a holder lets its requests wait so long
    # for its own share to refill.
    wanted = sum(holding.tokens_needed for holding in row.holdings.values())
    owed = row.level + workspace.rate * MAX_REFILL_WAIT.total_seconds()
    if wanted > owed:
        retry_ms = int(1000 * (wanted - row.level) / workspace.rate) + 1
        message = ShareDenied(row.workspace, row.epoch, min(retry_ms, 1000))
        peers.send(needy.instance, message, state)
        # The holder refuses the requests that it cannot admit. If they still counted as
        # needed, they would keep tokens from all other holders.
        needy.tokens_needed = 0.0
        return
    if uses_grants(row, state):
        return
    for donor in donors:
        if missing <= 0:
            return
        given = min(donor.tokens, missing)
        missing -= given
        if given > EPSILON and donor.operation is None:
            send_lower(row, donor, 0.0, given, state)


def distribute_free_tokens(row: AllocationRow, state: State) -> None:
    """Give free tokens, with burst to hold them, to holders with waiting requests."""
    workspace = usable_limits(row, state)
    if workspace is None or uses_grants(row, state):
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
    message = ShareLower(row.workspace, row.epoch, state.new_number(), rate, burst)
    send_operation(holding, message, state)


def send_raise(
    row: AllocationRow,
    holding: HoldingRow,
    rate: float,
    burst: float,
    tokens: float,
    state: State,
) -> None:
    """Add to a holder's share; the ledger counts the addition as held at once."""
    holding.rate += rate
    holding.burst += burst
    row.free_tokens = max(0.0, row.free_tokens - tokens)
    message = ShareRaise(
        row.workspace, row.epoch, state.new_number(), rate, burst, tokens
    )
    send_operation(holding, message, state)


def send_operation(
    holding: HoldingRow, message: ShareLower | ShareRaise, state: State
) -> None:
    """Send a share operation and keep it for resending until it is answered."""
    holding.operation = message
    holding.operation_sent_at = state.clock.monotonic()
    peers.send(holding.instance, message, state)


def resend_operations(row: AllocationRow, state: State) -> None:
    """Resend unanswered share operations; a holder applies each number only once."""
    now = state.clock.monotonic()
    for holding in list(row.holdings.values()):
        if holding.operation is None:
            continue
        if now - holding.operation_sent_at > RESEND_INTERVAL:
            holding.operation_sent_at = now
            peers.send(holding.instance, holding.operation, state)
