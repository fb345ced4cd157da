"""Takes the ledger of a live predecessor over, so that nothing of it stays locked.

A predecessor that answers has stopped giving out shares. What its ledger has as free is
free at once, and only the holders in it have to report to the new allocator. Builds
that know no hand-over take the question for the news of an epoch.
"""

from datetime import timedelta

from attrs import evolve

from . import membership, peers
from .allocator_claims import renewal, stored_epoch
from .clock import NEVER
from .dispatch import handle_peer
from .locked_shares import is_locked
from .peer_messages import LedgerHandover, ShareRenew, ShareReport
from .rate_rows import AllocationRow
from .share_moves import EPSILON
from .tables import State

# Time between two questions to the predecessor: a few round trips between regions.
ASK_INTERVAL = timedelta(milliseconds=100)


def ask_predecessor(row: AllocationRow, state: State) -> None:
    """Ask the predecessor for its ledger while shares are locked and it may live."""
    now = state.clock.monotonic()
    if not is_locked(row) or row.ledger is not None or not row.predecessor:
        return
    is_own = row.predecessor == state.settings.name
    if is_own or now - row.ledger_asked_at < ASK_INTERVAL:
        return
    if membership.has_refused_since(row.predecessor, row.taken_at, state):
        return
    row.ledger_asked_at = now
    peers.send(row.predecessor, evolve(renewal(row), asks_ledger=True), state)


@handle_peer.register
def _(message: LedgerHandover, sender: str, state: State) -> None:
    row = state.allocations.get(message.workspace)
    if row is None or row.epoch != message.epoch or sender != row.predecessor:
        return
    if row.ledger is not None or not is_locked(row):
        return
    ledger = {share.instance: share for share in message.held}
    missing = [share for name, share in ledger.items() if name not in row.holdings]
    rate = message.locked_rate + sum(share.rate for share in missing)
    burst = message.locked_burst + sum(share.burst for share in missing)
    row.locked_rate = min(row.locked_rate, rate)
    row.locked_burst = min(row.locked_burst, burst)
    row.free_tokens += message.free_tokens
    row.balance_at = NEVER
    state.counters["allocator.taken_over"] += 1
    row.ledger = ledger
    # Otherwise the predecessor did not know all holders, and every instance reports.
    row.knows_holders = max(message.locked_rate, message.locked_burst) <= EPSILON


def redirect(report: ShareReport, sender: str, state: State) -> None:
    """Tell the sender of a report about a newer epoch, whose holder it should ask."""
    epoch = stored_epoch(report.workspace, state)
    answer = state.handovers.get(report.workspace)
    if answer is not None:
        epoch = max(epoch, answer.epoch)
    if epoch > report.epoch and epoch.holder != state.settings.name:
        peers.send(sender, ShareRenew(report.workspace, epoch), state)
