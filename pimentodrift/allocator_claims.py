"""Decides which instance is the allocator of a workspace.

The store's `allocator` object names it, and a conditional update with a higher epoch
passes the role on. The module `allocation` keeps the ledger of the allocations that
this instance has taken.
"""

from datetime import timedelta
from itertools import islice

from attrs import evolve

from . import membership, peers, view
from .clock import NEVER
from .messages import StoreObject
from .peer_messages import Epoch, ShareRenew
from .rate_rows import AllocationRow, ClaimRow, EpochSeen
from .rates import holds_all, is_usable
from .store_writes import StoreOutcome, write, write_ended
from .tables import State

CLAIM_TIMEOUT = timedelta(seconds=3)
# Instances that suspect each other after a cut would pass the role to and fro, and each
# change locks the shares; longer than such suspicions last.
STORE_MARGIN = timedelta(seconds=1)  # For the way and the age of a heartbeat.
ROLE_REST = timedelta(milliseconds=2500)
LONGEST_ROLE_REST = timedelta(seconds=20)  # Doubled by each change that follows soon.
SOON = timedelta(seconds=10)
# Up to this many workspaces are examined for a vacancy at each tick; more are examined
# in turn within a second, because a walk of 2,300 at each tick took half a core.
MIN_EXAMINED = 16
EXAMINATION_TICKS = 50


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
    seen = note_epoch(workspace, item, state)
    if item is not None and item.value is not None:
        holder = item.value["holder"]
        if holder != own and is_usable(holder, state) and has_store(holder, state):
            return
    stored = seen.epoch
    now = state.clock.monotonic()
    if stored.holder not in ("", own) and is_new(seen, state):
        return
    claim = state.claims.get(workspace)
    if claim is not None and now - claim.sent_at < CLAIM_TIMEOUT:
        return
    if (
        workspace in state.allocations
        or not view.is_copy_fresh(state)
        or state.stopping
    ):
        return
    # A smaller side of a cut would take the role from the larger one again and again;
    # two equal sides that both reach the store are held back by `is_new`.
    if not view.reaches_half(state):
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


def has_store(instance: str, state: State) -> bool:
    """Return whether another instance may still act as an allocator.

    One that has lost the store stops renewing shares although it answers heartbeats.
    """
    row = state.instances[instance]
    if row.store_age is None:
        return True  # Not heard yet.
    silence = state.clock.monotonic() - row.last_heard
    limit = state.settings.allocator_lease + STORE_MARGIN
    return row.store_age + silence <= limit or view.is_store_outage(state)


def note_epoch(workspace: str, item: StoreObject | None, state: State) -> EpochSeen:
    """Remember since when an epoch has been in the store, and how long it rests."""
    known = state.epochs_seen.get(workspace)
    if known is not None and known.item is item:
        return known
    now = state.clock.monotonic()
    stored = stored_epoch(workspace, state)
    if known is None:
        # An instance that has just started does not know how old an epoch is.
        seen = EpochSeen(item, stored, NEVER, ROLE_REST)
    elif known.epoch == stored:
        seen = evolve(known, item=item)
    else:
        is_soon = now - known.since < SOON
        rest = min(2 * known.rest, LONGEST_ROLE_REST) if is_soon else ROLE_REST
        seen = EpochSeen(item, stored, now, rest)
    state.epochs_seen[workspace] = seen
    return seen


def is_new(seen: EpochSeen, state: State) -> bool:
    """Return whether another's epoch began so lately that it is left alone."""
    if seen.epoch.holder in state.ended:
        return False
    return state.clock.monotonic() - seen.since < seen.rest


def first_candidate(workspace: str, state: State) -> str | None:
    """Return the instance that should become the allocator."""
    row = membership.first_usable(f"allocator/{workspace}", "", state)
    if row is None or row.name == state.settings.name or has_store(row.name, state):
        return row.name if row is not None else None
    own = state.settings.name
    rows = [
        row
        for row in state.instances.values()
        if membership.is_instance_usable(row, state)
        and (row.name == own or has_store(row.name, state))
    ]
    ranked = membership.ranked(f"allocator/{workspace}", rows)
    return ranked[0].name if ranked else None


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
        start_allocation(purpose, state)


def start_allocation(claim: ClaimRow, state: State) -> None:
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
