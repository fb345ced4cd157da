"""Finds out when a group's primary has to be replaced.

Each instance that cannot reach a primary for a while reports it to the group's
coordinator, which asks the others. When the primary fails for a majority, or is
leaving, the coordinator replaces it through `promotion_decisions`. If no acknowledged
commit may be lost with a leaving primary, `evacuation.switchover` stops the work there
first, as it does after a call to the platform that may still replace a primary.
"""

from datetime import timedelta

from . import former_replicas, leadership, membership, peers, pools, sync_replicas, view
from .clock import NEVER
from .dispatch import handle_peer
from .evacuation import permissions as evacuation
from .evacuation import switchover
from .fencing import permissions
from .promotion_decisions import (
    keep_primary,
    may_take_effect,
    promotion_row,
    replace_primary,
    stored_token,
    take_token,
)
from .promotion_messages import (
    PrimaryQuery,
    PrimaryReport,
)
from .session_rows import PromotionRow, RegistryRow
from .tables import State

# A primary that has failed for this long is reported; a shorter stall ends by itself.
# Measured from the first request without an answer.
FAILURE_TIMEOUT = timedelta(milliseconds=550)
# The same once another instance has reported on the primary or asked about it.
REPORTED_FAILURE_TIMEOUT = timedelta(milliseconds=400)
# A group has lost its primary if no endpoint has registered as such for this long.
MISSING_PRIMARY_TIMEOUT = timedelta(milliseconds=1500)
# A request that is unanswered for this long triggers a probe: a new connection, which a
# live endpoint accepts however long its statements take.
UNANSWERED_PROBE_DELAY = timedelta(milliseconds=200)
REPORT_INTERVAL = timedelta(milliseconds=200)
REPORT_LIFETIME = timedelta(seconds=1)
PROBE_INTERVAL = timedelta(milliseconds=300)
# An endpoint that answered within this time counts as alive.
ANSWER_LIFETIME = timedelta(milliseconds=300)
# A coordinator needs the store: its Pong must report a copy that is at most this old.
MAX_STORE_AGE = timedelta(seconds=3)
MAX_HEARTBEAT_AGE = timedelta(seconds=2)


def run(state: State) -> None:
    """Watch the primaries and replace those that have failed."""
    if state.stopping or not view.is_copy_fresh(state):
        return
    for group in {member.entry.group for member in state.registry.values()}:
        # No endpoint counts as the primary before this instance is listed.
        if permissions.is_known_to_others(group, state):
            check_primary(promotion_row(group, state), state)


def check_primary(row: PromotionRow, state: State) -> None:
    """Check a group's primary; report or replace it if it fails or is leaving."""
    primary = leadership.primary(row.group, state)
    update_missing_since(row, primary, state)
    if sync_replicas.are_required(row.group, state):
        former_replicas.track(row, state)
    record_newest_token(row, state)
    drop_old_reports(row, state)
    failing = is_failing(row, primary, state)
    answer_queries(row, primary, failing, state)
    if restore_decision(row, state):
        return
    is_leaving = primary is not None and primary.leaving_since is not None
    is_evacuated = primary is not None and evacuation.is_evacuated(primary, state)
    is_unclear = primary is not None and may_take_effect(row, state)
    needs_switchover = (
        is_evacuated
        or is_unclear
        or (is_leaving and sync_replicas.are_required(row.group, state))
    )
    is_sound = not failing and not row.reports
    leaves_only = is_leaving and not needs_switchover
    if primary is not None and failing is not False and not leaves_only:
        probe_primary(row, primary, state)
    if primary is not None and not needs_switchover:
        switchover.settle(row.group, primary, state)
    if row.stopped and is_sound and not is_unclear and primary is not None:
        row.choosing_since = None
        keep_primary(row, primary, state)
    if is_sound and not is_leaving and not needs_switchover:
        row.choosing_since = None
        return
    leader = coordinator_of(row.group, state, is_evacuated)
    if leader != state.settings.name:
        switchover.leave(row.group, "another-coordinator", state)
        if failing:
            report_failure(row, primary, leader, state)
        return
    # Replicas that have stopped can't catch up with a primary that works again.
    must_complete = is_unclear and bool(row.stopped)
    if leaves_only or must_complete or is_failure_agreed(row, primary, failing, state):
        switchover.leave(row.group, "primary-failed", state)
        replace_primary(row, primary, state)
    elif needs_switchover and primary is not None:
        switchover.advance(row, primary, state)


def restore_decision(row: PromotionRow, state: State) -> bool:
    """Decide again on a target whose decision a restored store has lost.

    Instances that start now would follow the decision before it. Return whether there
    is such a decision.
    """
    if not permissions.is_enabled(state):
        return False
    lost = permissions.lost_decision(row.group, state)
    if lost is None:
        return False
    if coordinator_of(row.group, state) == state.settings.name:
        take_token(row, lost.target, "", state)
    return True


def update_missing_since(
    row: PromotionRow, primary: RegistryRow | None, state: State
) -> None:
    """Record since when no endpoint has been registered as primary."""
    if primary is not None:
        row.missing_since = None
    elif row.missing_since is None:
        row.missing_since = state.clock.monotonic()


def record_newest_token(row: PromotionRow, state: State) -> None:
    """Record the newest token and when it was first seen.

    Replicas that stopped before may receive again since the decision.
    """
    token = stored_token(row.group, state)[0]
    if token > row.seen_token:
        row.seen_token = token
        row.seen_at = state.clock.monotonic()
        row.choosing_since = None


def drop_old_reports(row: PromotionRow, state: State) -> None:
    """Drop the reports that are too old to count."""
    now = state.clock.monotonic()
    for name, (at, _) in list(row.reports.items()):
        if now - at > REPORT_LIFETIME:
            del row.reports[name]


def is_failing(
    row: PromotionRow, primary: RegistryRow | None, state: State
) -> bool | None:
    """Return whether the primary fails for this instance; None if unknown."""
    now = state.clock.monotonic()
    if primary is None:
        since = row.missing_since
        return since is not None and now - since >= MISSING_PRIMARY_TIMEOUT
    pool = state.pools[primary.name]
    limit = REPORTED_FAILURE_TIMEOUT if row.askers or row.reports else FAILURE_TIMEOUT
    if pool.failing_since is not None:
        return now - pool.failing_since >= limit or None
    unanswered_since = pools.unanswered_since(pool, state)
    if unanswered_since is not None and now - unanswered_since >= limit:
        return True
    return False if now - pool.answered_at <= ANSWER_LIFETIME else None


def probe_primary(row: PromotionRow, primary: RegistryRow, state: State) -> None:
    """Open a connection to a primary that may have failed, to see if it answers."""
    now = state.clock.monotonic()
    pool = state.pools[primary.name]
    has_lost = pool.lost_at != NEVER and pool.lost_at >= pool.answered_at
    unanswered_since = pools.unanswered_since(pool, state)
    is_unanswered = (
        unanswered_since is not None
        and now - unanswered_since >= UNANSWERED_PROBE_DELAY
    )
    if not (pool.failing_since is not None or row.askers or has_lost or is_unanswered):
        return
    if now - row.probed_at < PROBE_INTERVAL:
        return
    if all(state.pooled[number].is_open for number in pool.connections):
        row.probed_at = now
        pools.probe(pool, state)


def answer_queries(
    row: PromotionRow,
    primary: RegistryRow | None,
    failing: bool | None,
    state: State,
) -> None:
    """Tell the instances that asked whether the primary fails, once that is known."""
    if failing is None or not row.askers:
        return
    name = primary.name if primary is not None else ""
    for asker in row.askers:
        left = former_replicas.report(row, state)
        peers.send(asker, PrimaryReport(row.group, name, failing, left), state)
    row.askers.clear()


def coordinator_of(group: str, state: State, follows_evacuations: bool = False) -> str:
    """Return the first usable instance that has the store; it decides for the group.

    With `follows_evacuations`, only instances count whose build and settings do.
    """
    now = state.clock.monotonic()
    own = state.settings.name
    rows = [
        row
        for row in state.instances.values()
        if row.name == own
        or (
            membership.is_instance_usable(row, state)
            and (row.follows_evacuations or not follows_evacuations)
            and now - row.last_heard <= MAX_HEARTBEAT_AGE
            and row.store_age is not None
            and row.store_age <= MAX_STORE_AGE
        )
    ]
    ranked = membership.ranked(f"promotion/{group}", rows)
    return ranked[0].name if ranked else own


def report_failure(
    row: PromotionRow, primary: RegistryRow | None, leader: str, state: State
) -> None:
    """Tell the coordinator that the primary fails for this instance."""
    now = state.clock.monotonic()
    if now - row.reported_at < REPORT_INTERVAL:
        return
    row.reported_at = now
    name = primary.name if primary is not None else ""
    left = former_replicas.report(row, state)
    peers.send(leader, PrimaryReport(row.group, name, True, left), state)


def is_failure_agreed(
    row: PromotionRow,
    primary: RegistryRow | None,
    failing: bool | None,
    state: State,
) -> bool:
    """Return whether the primary fails for a majority of the usable instances.

    Ask the others again if it fails for some, but not for a majority.
    """
    now = state.clock.monotonic()
    live = [
        item
        for item in state.instances.values()
        if membership.is_instance_usable(item, state)
    ]
    count = int(bool(failing)) + sum(fails for _, fails in row.reports.values())
    # An instance that is cut off from most others must not decide alone.
    sees_half = len(live) * 2 >= len(state.instances)
    if sees_half and count * 2 > len(live):
        return True
    if count and primary is not None and now - row.queried_at >= REPORT_INTERVAL:
        row.queried_at = now
        if failing is None:
            row.askers.add(state.settings.name)
        for item in live:
            if item.name != state.settings.name:
                peers.send(item.name, PrimaryQuery(row.group, primary.name), state)
    return False


@handle_peer.register
def _(message: PrimaryQuery, sender: str, state: State) -> None:
    primary = leadership.primary(message.group, state)
    if primary is not None and primary.name == message.endpoint:
        promotion_row(message.group, state).askers.add(sender)


@handle_peer.register
def _(message: PrimaryReport, sender: str, state: State) -> None:
    primary = leadership.primary(message.group, state)
    name = primary.name if primary is not None else ""
    if name == message.endpoint:
        now = state.clock.monotonic()
        row = promotion_row(message.group, state)
        row.reports[sender] = (now, message.is_failing)
        former_replicas.record_report(row, message.left, state)
