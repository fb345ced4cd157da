"""Hands the ledger of a live allocator over to its successor.

An allocator that has lost the store or stops is replaced while it runs. Its successor
asks what it has given out (module `ledger_takeover`). With its answer, the predecessor
gives out nothing more: it drops its ledger, and keeps the answer to repeat it if it was
lost. An instance that stops waits until its ledgers have been asked for.
"""

from datetime import timedelta

from . import membership, peers, view
from .log_events import AllocatorHandedOver
from .peer_messages import Epoch, HeldShare, LedgerHandover, ShareRenew
from .rate_rows import AllocationRow
from .tables import State

# A successor asks for a ledger within this time after the store has its claim.
ASKED_WITHIN = timedelta(milliseconds=500)


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
        state.unasked_ledgers.pop(message.workspace, None)


def keep_handover(row: AllocationRow, epoch: Epoch, state: State) -> None:
    """Keep what a dropped ledger has, for the allocator of a newer epoch.

    A share that is being changed counts with its greater size.
    """
    state.unasked_ledgers[row.workspace] = state.clock.monotonic()
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


def are_ledgers_needed(state: State) -> bool:
    """Return whether another instance still has to ask for a ledger of this one.

    If this instance exits before, what its ledgers have given out stays locked until
    the leases have ended. In a larger fleet, not all instances learn of a stop at once,
    so a successor may come only after the exit.
    """
    if len(state.instances) > view.SMALL_FLEET:
        return False
    own = state.settings.name
    if not any(
        membership.is_instance_usable(row, state)
        for row in state.instances.values()
        if row.name != own
    ):
        return False
    now = state.clock.monotonic()
    return bool(state.allocations) or any(
        now - dropped_at < ASKED_WITHIN for dropped_at in state.unasked_ledgers.values()
    )
