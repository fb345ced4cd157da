"""Spreads the allocators evenly over the instances, however these have started.

Instances that start first claim the roles of those that do not run yet; one had been
the allocator of 11 of 16 workspaces. An instance with more than its part offers a role
to one with less, which claims it in the store and takes the ledger over (module
`ledger_takeover`), so nothing is locked for longer than the messages take.
"""

from collections import Counter
from datetime import timedelta
from math import ceil

from . import membership, peers, view
from .allocator_claims import can_reach_store, claim_role, stored_epoch
from .dispatch import handle_peer
from .locked_shares import is_locked
from .peer_messages import AllocatorOffer
from .rate_rows import AllocationRow
from .tables import State

OFFER_INTERVAL = timedelta(milliseconds=100)  # Between two offers of an instance.
# Roles above the mean at which an instance starts to offer some, as a part of the mean;
# rendezvous hashing alone gives more to some instances.
TOLERANCE = 0.25
MIN_LIMIT = 2  # Roles; fewer are not worth the writes to the store.


def run(state: State) -> None:
    """Offer a role to another instance while this one has more than its part."""
    now = state.clock.monotonic()
    if now - state.offered_at < OFFER_INTERVAL or len(state.allocations) <= MIN_LIMIT:
        return
    if len(state.allocations) <= role_limit(state) or not view.is_copy_fresh(state):
        return
    state.offered_at = now
    counts = role_counts(state)
    for row in state.allocations.values():
        target = None if is_locked(row) else choose_target(row, counts, state)
        if target is not None:
            peers.send(target, AllocatorOffer(row.workspace, row.epoch), state)
            state.counters["allocator.offered"] += 1
            return


def role_limit(state: State) -> int:
    """Return how many roles an instance keeps without offering any."""
    usable = sum(
        membership.is_instance_usable(row, state) for row in state.instances.values()
    )
    mean = len(state.configuration.workspaces) / max(1, usable)
    return max(MIN_LIMIT, ceil(mean * (1 + TOLERANCE)))


def role_counts(state: State) -> Counter[str]:
    """Return the number of roles by instance, as far as this one's copy shows."""
    names = state.configuration.workspaces
    return Counter(stored_epoch(name, state).holder for name in names)


def choose_target(row: AllocationRow, counts: Counter[str], state: State) -> str | None:
    """Return a holder whose build takes roles over, if one has fewer than the mean."""
    mean = len(state.configuration.workspaces) / max(1, len(state.instances))
    rows = [
        state.instances[name]
        for name, holding in row.holdings.items()
        if holding.can_stand_by
        and name != state.settings.name
        and name in state.instances
        and counts[name] < mean
        and membership.is_instance_usable(state.instances[name], state)
        and can_reach_store(name, state)
    ]
    if not rows:
        return None
    ranked = membership.ranked(f"allocator/{row.workspace}", rows)
    return min(ranked, key=lambda other: counts[other.name]).name


@handle_peer.register
def _(message: AllocatorOffer, sender: str, state: State) -> None:
    stored = stored_epoch(message.workspace, state)
    if stored != message.epoch or stored.holder != sender or state.stopping:
        return
    roles = len(state.allocations) + len(state.claims)
    if message.workspace in state.claims or roles >= role_limit(state):
        return
    if view.is_copy_fresh(state):
        claim_role(message.workspace, stored, state)
