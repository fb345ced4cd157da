"""Waits until no instance uses another primary than the one that was decided on.

The instance that wrote the decision asks all listed ones to stop, and the old primary
to step down. `decisions` tells when that is enough.
"""

from datetime import timedelta

from .. import leadership, membership, peers, pools, registry, view
from ..clock import MILLISECOND, NEVER
from ..dispatch import handle, handle_peer
from ..log_events import PrimaryFenced
from ..operation_completion import send_steps
from ..policies import Policy
from ..session_messages import BeginWork, EndWork
from ..session_rows import EndpointRole, PoolRow
from ..store_versions import era_of
from ..tables import InstanceRow, State
from ..warmup.statements import spend_all
from .contact import may_use_primary
from .decisions import (
    CONTACT_LEASE,
    IN_FLIGHT_MARGIN,
    FenceProgress,
    FenceResult,
    PreviousDecision,
    PromotionDecision,
    fence_result,
    lease_end,
)
from .messages import DemoteEndpoint, FenceCompleted, FenceConfirmed, FenceRequest
from .permissions import newest_decision
from .rows import CoordinationRow

# Between two requests to the instances that did not confirm yet.
REQUEST_INTERVAL = timedelta(milliseconds=100)
# Between two demands that the old primary steps down.
DEMOTE_INTERVAL = timedelta(milliseconds=300)
# Steps of a demand that count as statements of an endpoint that is still cold.
DEMOTE_STATEMENTS = 2


def begin(
    group: str,
    decision: PromotionDecision,
    version: int,
    previous: PreviousDecision | None,
    state: State,
) -> None:
    """Begin to wait until only the target of a decision can be in use."""
    now = state.clock.monotonic()
    row = CoordinationRow(group, decision, version, now, previous)
    row.only_primary = only_primary(group, previous, state)
    state.coordinations[group] = row
    for pool in old_primaries(row, state):
        if not pools.idle_connections(pool, state):
            pools.probe(pool, state)
    request_stops(row, state)


def only_primary(group: str, previous: PreviousDecision | None, state: State) -> str:
    """Return the only endpoint that can be in use as primary; empty if unknown."""
    if previous is not None:
        age = state.clock.monotonic() - previous.seen_at
        is_known = age >= state.settings.configuration_lease
        return previous.decision.target if is_known else ""
    claimants = [
        member.name
        for member in registry.group_members(group, state)
        if member.entry.role is EndpointRole.PRIMARY
    ]
    return claimants[0] if len(claimants) == 1 else ""


def old_primaries(row: CoordinationRow, state: State) -> list[PoolRow]:
    """Return the pools of endpoints that may take themselves for the primary."""
    return [
        state.pools[member.name]
        for member in registry.group_members(row.group, state)
        if member.name != row.decision.target
        and (
            member.entry.role is EndpointRole.PRIMARY or member.name == row.only_primary
        )
        and member.name in state.pools
    ]


def run(state: State) -> None:
    """Advance the decisions whose old primaries may still be in use."""
    for row in list(state.coordinations.values()):
        advance(row, state)


def advance(row: CoordinationRow, state: State) -> None:
    """Report that the old primary is out of use, or ask on."""
    if era_of(row.version) != state.view.era:
        # The store was restored, perhaps from a copy without the decision.
        del state.coordinations[row.group]
        return
    if is_superseded(row, state):
        del state.coordinations[row.group]
        state.counters["fencing.superseded"] += 1
        return
    now = state.clock.monotonic()
    unconfirmed = unconfirmed_instances(row, state)
    progress = FenceProgress(
        now - row.started_at,
        # The list of instances must be as new as the decision.
        len(unconfirmed) if state.view.version >= row.version else len(unconfirmed) + 1,
        time_since_majority(row, state),
        row.only_primary in row.deposed and is_previous_ended(row, state),
    )
    result = fence_result(progress, state.settings.configuration_lease)
    is_ready = may_carry_out(row, state) and not may_still_call(row, state)
    if result is not None and is_ready:
        complete(row, result, len(unconfirmed), state)
        return
    if now - row.requested_at >= REQUEST_INTERVAL:
        request_stops(row, state)
    demand_step_down(row, state)


def is_superseded(row: CoordinationRow, state: State) -> bool:
    """Return whether there is a newer decision than this instance's own."""
    return newest_decision(row.group, state) != row.decision


def may_still_call(row: CoordinationRow, state: State) -> bool:
    """Return whether a holder of the build before may carry out its decision yet.

    That build calls without contact, at the latest when the lease of a silent instance
    has ended. It tells no age of its process, as this one does.
    """
    previous = row.previous
    if previous is None or previous.holder == state.settings.name:
        return False
    instance = state.instances.get(previous.holder)
    if instance is not None and instance.started_after != NEVER:
        return False
    latest = lease_end(state.settings.configuration_lease) + IN_FLIGHT_MARGIN
    return state.clock.monotonic() - previous.seen_at < latest


def may_carry_out(row: CoordinationRow, state: State) -> bool:
    """Return whether this instance would know of a decision after its own by now.

    Otherwise another coordinator may have carried out a newer one.
    """
    may_use = may_use_primary(row.group, row.decision.target, state)
    return may_use and view.is_copy_fresh(state)


def is_previous_ended(row: CoordinationRow, state: State) -> bool:
    """Return whether the decision before can't be carried out by its holder any more.

    The holder confirms once it knows of this decision, and its next process knows
    nothing of its own. Without either, its lease has to end.
    """
    previous = row.previous
    if previous is None or previous.holder in (state.settings.name, *row.confirmed):
        return True
    return membership.has_restarted_since(previous.holder, previous.seen_at, state)


def unconfirmed_instances(row: CoordinationRow, state: State) -> list[str]:
    """Return the instances that did not confirm that they stopped.

    One that was removed from the list may not know it yet.
    """
    names = state.instances.keys() | membership.recently_removed(state)
    return sorted(names - row.confirmed)


def time_since_majority(row: CoordinationRow, state: State) -> timedelta | None:
    """Return for how long the unconfirmed instances have had no majority among them."""
    now = state.clock.monotonic()
    if row.majority_at is None and has_majority(row, state):
        row.majority_at = now
    return now - row.majority_at if row.majority_at is not None else None


def has_majority(row: CoordinationRow, state: State) -> bool:
    """Return whether no unconfirmed instance can have contact through others.

    The copy of an unconfirmed instance may be as old as the configuration lease. So
    those that were added since then do not count for the majority; and after a removal
    or an update of an instance, others may not need contact yet.
    """
    if state.view.version < row.version:
        return False
    if not state.settings.uses(Policy.CONTACT_FENCE):
        return False
    if len(state.instances) > view.SMALL_FLEET:
        return False
    oldest_copy = state.clock.monotonic() - lease_end(
        state.settings.configuration_lease
    )
    if any(at >= oldest_copy for at in state.removed_at.values()):
        return False
    if not all(
        surely_needs_contact(item, oldest_copy) for item in state.instances.values()
    ):
        return False
    silent = state.instances.keys() - row.confirmed
    certain = sum(item.listed_at < oldest_copy for item in state.instances.values())
    return len(silent) * 2 <= certain


def surely_needs_contact(row: InstanceRow, oldest_copy: timedelta) -> bool:
    """Return whether all copies that have an instance tell that it needs contact."""
    was_updated = row.listed_at < row.contact_since and row.contact_since >= oldest_copy
    return row.contact_lease == CONTACT_LEASE and not was_updated


def complete(
    row: CoordinationRow, result: FenceResult, unconfirmed: int, state: State
) -> None:
    """Report that only the target of a decision can be in use."""
    del state.coordinations[row.group]
    waited = state.clock.monotonic() - row.started_at
    state.log_event(
        PrimaryFenced(
            row.group, row.decision.token, result, unconfirmed, waited // MILLISECOND
        )
    )
    handle(FenceCompleted(row.group, row.decision.token), state)


def request_stops(row: CoordinationRow, state: State) -> None:
    """Ask the instances that did not confirm."""
    row.requested_at = state.clock.monotonic()
    message = FenceRequest(row.group, row.decision.token, row.decision.target)
    for name in unconfirmed_instances(row, state):
        instance = state.instances.get(name)
        # A build that knows no fencing would close the stream.
        if instance is not None and instance.can_fence:
            peers.send(name, message, state)


def demand_step_down(row: CoordinationRow, state: State) -> None:
    """Tell the old primaries to step down, and see if they begin transactions."""
    now = state.clock.monotonic()
    if now - row.demoted_at < DEMOTE_INTERVAL:
        return
    for pool in old_primaries(row, state):
        idle = pools.idle_connections(pool, state)
        term = newest_term(row.group, state)
        if not idle or term is None:
            continue
        connection = idle[0]
        if not spend_all(connection, DEMOTE_STATEMENTS, state):
            continue  # It has just started; the wait for leases goes on without it.
        row.demoted_at = now
        # A refusal to begin proves that the endpoint is not the primary any more.
        steps = [DemoteEndpoint(term + 1), BeginWork(), EndWork()]
        send_steps(connection, steps, state)
        pools.release(connection, state)


def newest_term(group: str, state: State) -> int | None:
    """Return the newest term that an endpoint of the group has told."""
    rows = [pool for pool in state.pools.values() if pool.group == group]
    known = [pool.position for pool in rows] + [
        leadership.row_of(group, state).position
    ]
    terms = [item.term for item in known if item is not None]
    terms += [pool.newest_term for pool in rows if pool.newest_term]
    return max(terms, default=None)


def record_refusal(group: str, endpoint: str, sent_at: timedelta, state: State) -> None:
    """Record that an endpoint refused to begin a transaction as primary."""
    row = state.coordinations.get(group)
    if row is not None and sent_at >= row.started_at:
        row.deposed.add(endpoint)


@handle_peer.register
def _(message: FenceConfirmed, sender: str, state: State) -> None:
    row = state.coordinations.get(message.group)
    if row is not None and row.decision.token == message.token:
        row.confirmed.add(sender)
