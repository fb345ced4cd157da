"""Lets standbys grant tokens, so that a small burst outlives its allocator.

A burst below a request an instance is not divided among all holders (module
`token_grants`). Were all of it at the allocator's instance, the workspace would get
nothing from the loss of that instance until its lease has ended. So the rate and burst
are divided among the allocator and a few standbys, which it names in its renewals. A
holder whose requests wait asks them in turn, and a standby grants from its own share.

The holders of a divided burst ask each other in the same way while no allocator
answers.

No message has to pass between allocator and standby: tokens that were granted count as
held by the standby's share until they are spent or discarded (`rates.refill_bucket`).
"""

from datetime import timedelta

from . import membership, peers, rates, token_waits
from .dispatch import handle_peer
from .peer_messages import ShareGrant, TokenQuery
from .policies import Policy
from .rate_rows import AllocationRow, HoldingRow, ShareRow
from .tables import State, WorkspaceRow
from .token_grants import (
    GRANT_LIFETIME,
    is_indivisible,
    may_spend_on_others,
    record_grant,
    refill_per_grant,
)

# Two, so that a workspace at two thirds of its rate is served without its allocator.
MAX_STANDBYS = 2
# How long requests wait for the allocator before a standby is asked: a round trip
# between regions and a tick.
ALLOCATOR_ANSWER_TIME = timedelta(milliseconds=60)
# How long reports have no answer before the holders of a divided burst ask each other:
# some reports may be lost, or the allocator may be busy.
ALLOCATOR_ABSENCE = timedelta(milliseconds=200)


def choose_standbys(row: AllocationRow, workspace: WorkspaceRow, state: State) -> None:
    """Choose the standbys of a burst that is not divided; keep those that still can.

    There are none while a holder's build does not ask them.
    """
    row.standbys = ()
    count = standby_count(row, workspace)
    if not count or not state.settings.uses(Policy.TOKEN_GRANTS):
        return
    rows = [
        state.instances[name]
        for name, holding in row.holdings.items()
        if may_stand_by(name, holding, state)
    ]
    ranked = membership.ranked(f"allocator/{row.workspace}", rows)
    row.standbys = tuple(other.name for other in ranked[:count])


def standby_count(row: AllocationRow, workspace: WorkspaceRow) -> int:
    """Return how many standbys can have a whole token each, beside the allocator."""
    if not is_indivisible(row, workspace):
        return 0
    if not all(holding.can_stand_by for holding in row.holdings.values()):
        return 0
    burst = workspace.burst - refill_per_grant(workspace)
    return max(0, min(MAX_STANDBYS, int(burst) - 1))


def may_stand_by(name: str, holding: HoldingRow, state: State) -> bool:
    """Return whether a holder can be a standby."""
    instance = state.instances.get(name)
    return (
        name != state.settings.name
        and holding.can_stand_by
        and instance is not None
        and membership.is_instance_usable(instance, state)
    )


def run(state: State) -> None:
    """Ask another instance for each share whose requests wait for the allocator."""
    for row in state.shares.values():
        if row.waiting:
            ask_standby(row, state)


def ask_standby(row: ShareRow, state: State) -> None:
    """Ask the next standby or holder for tokens if the allocator gave none in time."""
    now = state.clock.monotonic()
    oldest = min(waiting.since for waiting in row.waiting)
    if now - max(oldest, row.standby_asked_at) < ALLOCATOR_ANSWER_TIME:
        return
    others = possible_grantors(row, state)
    if not others:
        return
    row.standby_asked_at = now
    row.standby_asked += 1
    number = state.new_number()
    row.queries_sent = {
        key: at for key, at in row.queries_sent.items() if now - at <= GRANT_LIFETIME
    }
    row.queries_sent[number] = now
    query = TokenQuery(row.workspace, row.epoch, number, len(row.waiting))
    peers.send(others[row.standby_asked % len(others)], query, state)


def possible_grantors(row: ShareRow, state: State) -> list[str]:
    """Return the instances to ask for tokens while the allocator gives none.

    A divided burst has no standbys, and the allocator evens its parts out. Without an
    allocator, the holders do so themselves; in a small fleet, each instance is one.
    """
    own, allocator = state.settings.name, row.epoch.holder
    if row.standbys:
        return [name for name in row.standbys if name != own]
    silence = token_waits.unanswered_time(row, state.clock.monotonic())
    if silence < ALLOCATOR_ABSENCE or not rates.holds_all_shares(state):
        return []
    return sorted(
        other.name
        for other in state.instances.values()
        if other.name not in (own, allocator)
        and membership.is_instance_usable(other, state)
    )


@handle_peer.register
def _(message: TokenQuery, sender: str, state: State) -> None:
    own = state.shares.get(message.workspace)
    if own is None or own.waiting:
        return
    rates.refill_bucket(own, state)
    tokens = min(int(own.tokens + rates.TOKEN_TOLERANCE), message.needed)
    if tokens < 1 or not may_spend_on_others(own, state):
        return
    record_grant(own, tokens, state)
    state.counters["rates.standby_granted"] += tokens
    grant = ShareGrant(message.workspace, message.epoch, message.number, tokens)
    peers.send(sender, grant, state)
