"""Hands the ledger of a live allocator over to its successor.

An allocator that has lost the store is replaced while it runs. Its successor asks what
it has given out (module `ledger_takeover`). With its answer, the predecessor gives out
nothing more: it drops its ledger, and keeps the answer to repeat it if it was lost.
"""

from . import peers
from .log_events import AllocatorHandedOver
from .peer_messages import Epoch, HeldShare, LedgerHandover, ShareRenew
from .rate_rows import AllocationRow
from .tables import State


def hand_over(message: ShareRenew, sender: str, state: State) -> None:
    """Answer a successor's question, and give out nothing more of the workspace.

    The epoch in the question is that of the store's `allocator` object.
    """
    row = state.allocations.get(message.workspace)
    is_successor = sender == message.epoch.holder != state.settings.name
    if row is not None and row.epoch < message.epoch and is_successor:
        del state.allocations[message.workspace]
        keep_handover(row, message.epoch, state)
        state.counters["allocator.handed_over"] += 1
        state.log_event(
            AllocatorHandedOver(message.workspace, message.epoch.number, sender)
        )
    answer = state.handovers.get(message.workspace)
    if answer is not None and answer.epoch == message.epoch:
        peers.send(sender, answer, state)


def keep_handover(row: AllocationRow, epoch: Epoch, state: State) -> None:
    """Keep what a dropped ledger has, for the allocator of a newer epoch.

    A share that is being changed counts with its greater size.
    """
    state.handovers[row.workspace] = LedgerHandover(
        row.workspace,
        epoch,
        row.locked_rate,
        row.locked_burst,
        row.free_tokens,
        tuple(
            HeldShare(holding.instance, holding.rate, holding.burst)
            for holding in row.holdings.values()
        ),
    )
