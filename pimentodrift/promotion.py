"""Replaces a group's primary through a call to the platform, with a fencing token.

Each instance that cannot reach a primary for a while reports it to the group's
coordinator, which asks the others. When the primary fails for a majority, or is
leaving, the coordinator takes the next token by a conditional update of the group's
`promotion` object and asks the platform to promote the replica with the longest log.
A token is used for one decision of one instance; the platform refuses older tokens.
Where it does not depose the old primary, `fencing` keeps that out of use first.
"""

from datetime import timedelta

from attrs import frozen

from . import leadership, membership, peers, pools, registry, view
from .clock import NEVER
from .dispatch import handle, handle_peer
from .fencing import coordination, permissions
from .fencing.decisions import PromotionDecision, lease_end
from .fencing.messages import FenceCompleted
from .log_events import PromotionDecided, PromotionEnded
from .messages import Position
from .promotion_messages import (
    PrimaryQuery,
    PrimaryReport,
    PromoteEnded,
    PromoteEndpoint,
    PromoteOutcome,
)
from .session_rows import EndpointRole, PromotionRow, RegistryRow
from .store_versions import next_token
from .store_writes import (
    StoreOutcome,
    writable_object,
    write_ended,
    write_object,
)
from .tables import State

MILLISECOND = timedelta(milliseconds=1)
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
# How long the coordinator waits for the replicas' positions.
POSITIONS_TIMEOUT = timedelta(milliseconds=400)
# If a promotion does not show in the registry within this time, it is decided anew.
PROMOTION_TIMEOUT = timedelta(seconds=3)
# The coordinator's wait after a decision that could not be written or carried out.
RETRY_DELAY = timedelta(milliseconds=300)
# Another instance's decision blocks a new one for this long, unless its process ended.
DECISION_LIFETIME = timedelta(seconds=5)
# A coordinator needs the store: its Pong must report a copy that is at most this old.
MAX_STORE_AGE = timedelta(seconds=3)
MAX_HEARTBEAT_AGE = timedelta(seconds=2)
# The platform may carry out a call without an answer up to this much later.
LATE_CALL_LIFETIME = timedelta(seconds=12)


@frozen
class TokenWrite:
    """The purpose of the store write that takes a token."""

    group: str
    token: int
    target: str
    previous: PromotionDecision | None  # The decision that it replaces.


def promotion_row(group: str, state: State) -> PromotionRow:
    """Return the row of a group, creating it if needed."""
    row = state.promotions.get(group)
    if row is None:
        row = state.promotions[group] = PromotionRow(group)
    return row


def run(state: State) -> None:
    """Watch the primaries and replace those that have failed."""
    if state.stopping or not view.is_copy_fresh(state):
        return
    if permissions.is_enabled(state) and state.settings.name not in state.instances:
        return  # No endpoint counts as the primary before this instance is listed.
    for group in {member.entry.group for member in state.registry.values()}:
        check_primary(promotion_row(group, state), state)


def check_primary(row: PromotionRow, state: State) -> None:
    """Check a group's primary; report or replace it if it fails or is leaving."""
    primary = leadership.primary(row.group, state)
    update_missing_since(row, primary, state)
    record_newest_token(row, state)
    drop_old_reports(row, state)
    failing = is_failing(row, primary, state)
    answer_queries(row, primary, failing, state)
    if restore_decision(row, state):
        return
    is_leaving = primary is not None and primary.leaving_since is not None
    if primary is not None and failing is not False and not is_leaving:
        probe_primary(row, primary, state)
    if not failing and not is_leaving and not row.reports:
        row.choosing_since = None
        return
    leader = coordinator_of(row.group, state)
    if leader != state.settings.name:
        if failing:
            report_failure(row, primary, leader, state)
        return
    if is_leaving or is_failure_agreed(row, primary, failing, state):
        replace_primary(row, primary, state)


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
    """Record the newest token and when it was first seen."""
    token = stored_token(row.group, state)[0]
    if token > row.seen_token:
        row.seen_token = token
        row.seen_at = state.clock.monotonic()


def drop_old_reports(row: PromotionRow, state: State) -> None:
    """Drop the reports that are too old to count."""
    now = state.clock.monotonic()
    for name, (at, _) in list(row.reports.items()):
        if now - at > REPORT_LIFETIME:
            del row.reports[name]


def stored_token(group: str, state: State) -> tuple[int, str]:
    """Return the newest token of a group and its holder; 0 and "" if there is none."""
    item = state.view.objects.get(("promotion", group))
    if item is None or item.value is None:
        return 0, ""
    return int(item.value["token"]), str(item.value["holder"])


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
        peers.send(asker, PrimaryReport(row.group, name, failing), state)
    row.askers.clear()


def coordinator_of(group: str, state: State) -> str:
    """Return the first usable instance that has the store; it decides for the group."""
    now = state.clock.monotonic()
    own = state.settings.name
    rows = [
        row
        for row in state.instances.values()
        if row.name == own
        or (
            membership.is_instance_usable(row, state)
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
    peers.send(leader, PrimaryReport(row.group, name, True), state)


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
        reports = promotion_row(message.group, state).reports
        reports[sender] = (now, message.is_failing)


# --- The coordinator's decision


def replace_primary(
    row: PromotionRow, primary: RegistryRow | None, state: State
) -> None:
    """Choose a replica and take the token for its promotion."""
    now = state.clock.monotonic()
    if is_busy(row, state):
        return
    _, holder = stored_token(row.group, state)
    other = holder not in ("", state.settings.name)
    lifetime = decision_lifetime(state)
    if other and holder not in state.ended and now - row.seen_at < lifetime:
        return
    old = primary.name if primary is not None else ""
    rows = promotable_members(row, old, state)
    if not rows:
        return
    if row.choosing_since is None:
        row.choosing_since = now
        for member in rows:
            pools.probe(state.pools[member.name], state)
    target = choose_replica(row, rows, state)
    if target is None:
        return
    row.choosing_since = None
    take_token(row, target, old, state)


def is_in_progress(row: PromotionRow) -> bool:
    """Return whether a failure is being examined or a decision carried out."""
    has_news = bool(row.reports or row.askers or row.choosing_since)
    return has_news or row.is_writing or bool(row.call)


def is_busy(row: PromotionRow, state: State) -> bool:
    """Return whether a decision is being carried out, or the next one is not due."""
    is_active = bool(row.call) or row.is_writing or row.group in state.coordinations
    return is_active or state.clock.monotonic() < row.next_at


def take_token(row: PromotionRow, target: str, old: str, state: State) -> None:
    """Write the decision to promote an endpoint, with a token that no other has."""
    if is_busy(row, state):
        return
    row.is_writing = True
    row.old_primary = old
    previous = permissions.newest_decision(row.group, state)
    known = [stored_token(row.group, state)[0], row.seen_token]
    if previous is not None:
        known.append(previous.token)
    token = next_token(state.view.era, *known)
    value = {"token": token, "holder": state.settings.name, "target": target}
    purpose = TokenWrite(row.group, token, target, previous)
    item = writable_object("promotion", row.group, state)
    write_object(item, value, purpose, state)


def decision_lifetime(state: State) -> timedelta:
    """Return how long another instance's decision blocks a new one."""
    if not permissions.is_enabled(state):
        return DECISION_LIFETIME
    return DECISION_LIFETIME + lease_end(state.settings.configuration_lease)


def promotable_members(row: PromotionRow, old: str, state: State) -> list[RegistryRow]:
    """Return the endpoints of a group that can be promoted in place of `old`."""
    rows = [
        member
        for member in registry.group_members(row.group, state)
        if member.name != old
        and member.leaving_since is None
        and member.missing_since is None
    ]
    if not permissions.is_enabled(state):
        return rows
    # Of two that call themselves the primary, only the target of the last decision is.
    decision = permissions.newest_decision(row.group, state)
    target = decision.target if decision is not None else ""
    return [
        member
        for member in rows
        if member.entry.role is not EndpointRole.PRIMARY or member.name == target
    ]


def preferred_target(
    row: PromotionRow, found: dict[str, Position], state: State
) -> str | None:
    """Return the target of the last decision if its call may still take effect.

    Such a call would depose another endpoint that was promoted meanwhile.
    """
    if not permissions.is_enabled(state):
        return None
    decision = permissions.newest_decision(row.group, state)
    is_recent = state.clock.monotonic() - row.seen_at <= LATE_CALL_LIFETIME
    if decision is None or not is_recent or decision.target not in found:
        return None
    return decision.target


def choose_replica(
    row: PromotionRow, rows: list[RegistryRow], state: State
) -> str | None:
    """Return the replica with the longest log, once enough positions are known."""
    since = row.choosing_since
    if since is None:
        return None
    found: dict[str, Position] = {}
    for member in rows:
        pool = state.pools[member.name]
        is_new = pool.position_at >= since and pool.position is not None
        if is_new and member.name not in row.rejected and pool.position is not None:
            found[member.name] = pool.position
    waited = state.clock.monotonic() - since
    if len(found) < len(rows) and waited < POSITIONS_TIMEOUT:
        return None
    if not found:
        row.choosing_since = None
        row.rejected.clear()
        return None
    preferred = preferred_target(row, found, state)
    return preferred or max(found, key=lambda name: (found[name], name))


@write_ended.register
def _(purpose: TokenWrite, outcome: StoreOutcome, state: State) -> None:
    row = promotion_row(purpose.group, state)
    now = state.clock.monotonic()
    row.is_writing = False
    failing = sum(fails for _, fails in row.reports.values())
    state.log_event(
        PromotionDecided(
            purpose.group,
            purpose.token,
            purpose.target,
            row.old_primary,
            failing,
            outcome,
        )
    )
    if outcome is not StoreOutcome.WRITTEN:
        row.next_at = now + RETRY_DELAY
        return
    row.token, row.target = purpose.token, purpose.target
    if permissions.is_enabled(state):
        begin_fencing(row, purpose, state)
    else:
        request_promotion(row, state)


def begin_fencing(row: PromotionRow, purpose: TokenWrite, state: State) -> None:
    """Wait until the old primary is out of use."""
    decision = PromotionDecision(purpose.token, purpose.target)
    item = state.view.objects["promotion", purpose.group]
    previous_age = state.clock.monotonic() - row.seen_at
    coordination.begin(
        purpose.group, decision, item.version, purpose.previous, previous_age, state
    )


@handle.register
def _(message: FenceCompleted, state: State) -> None:
    row = promotion_row(message.group, state)
    if row.token == message.token and not row.call:
        request_promotion(row, state)


def request_promotion(row: PromotionRow, state: State) -> None:
    """Ask the platform to promote the chosen endpoint."""
    row.call = state.new_number()
    row.called_at = state.clock.monotonic()
    state.counters["promotion.calls"] += 1
    state.outbox.append(
        PromoteEndpoint(row.call, row.group, row.target, state.settings.name, row.token)
    )


@handle.register
def _(message: PromoteEnded, state: State) -> None:
    rows = state.promotions.values()
    row = next((row for row in rows if row.call == message.call), None)
    if row is None:
        return
    now = state.clock.monotonic()
    row.call = 0
    state.log_event(
        PromotionEnded(
            row.group,
            row.token,
            row.target,
            message.outcome,
            message.detail,
            (now - row.called_at) // MILLISECOND,
        )
    )
    match message.outcome:
        case PromoteOutcome.ACCEPTED:
            row.rejected.clear()
            row.next_at = now + PROMOTION_TIMEOUT
        case PromoteOutcome.REFUSED:
            row.rejected.add(row.target)
            row.next_at = now + RETRY_DELAY
        case PromoteOutcome.NOT_DONE:
            row.next_at = now + RETRY_DELAY
        case PromoteOutcome.UNCLEAR:
            row.next_at = now + PROMOTION_TIMEOUT
