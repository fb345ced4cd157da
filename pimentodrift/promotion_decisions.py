"""Decides which replica replaces a group's primary, and asks the platform for it.

The coordinator chooses a replica (`promotion_targets`) and takes the next token by a
conditional update of the group's `promotion` object. Where the platform does
not depose the old primary, the call waits until `fencing` has put that out of use.
`promotion` tells when a primary has to be replaced. A token is used for one decision of
one instance; the platform refuses older tokens where it checks them.
"""

from datetime import timedelta

from attrs import frozen

from . import leadership, membership, pools, sync_replicas, view
from .clock import CLOCK_DRIFT_FACTOR, MILLISECOND, NEVER
from .dispatch import handle
from .evacuation import permissions as evacuation
from .fencing import coordination, permissions
from .fencing.decisions import (
    CONTACT_LEASE,
    IN_FLIGHT_MARGIN,
    PreviousDecision,
    PromotionDecision,
    lease_end,
)
from .fencing.messages import FenceCompleted
from .log_events import PrimaryKept, PromotionDecided, PromotionEnded
from .promotion_messages import PromoteEnded, PromoteEndpoint, PromoteOutcome
from .promotion_targets import (
    LATE_CALL_LIFETIME,
    best_target,
    choose_replica,
    promotable_members,
)
from .session_rows import PromotionRow, RegistryRow
from .store_versions import next_token
from .store_writes import (
    StoreOutcome,
    writable_object,
    write_ended,
    write_object,
)
from .tables import State

# If a promotion does not show in the registry within this time, it is decided anew.
PROMOTION_TIMEOUT = timedelta(seconds=3)
# The coordinator's wait after a decision that could not be written or carried out.
RETRY_DELAY = timedelta(milliseconds=300)
# Marks a decision that the primary stays; nothing is carried out for it.
STAYS = "stays"
# Another instance's decision blocks a new one for this long, unless that instance has
# probably ended.
DECISION_LIFETIME = timedelta(seconds=5)
# How long after it began to write a decision an instance may still carry it out, where
# no fencing tells it of a newer one.
CALL_LEASE = CONTACT_LEASE


@frozen
class TokenWrite:
    """The purpose of the store write that takes a token."""

    group: str
    token: int
    target: str
    previous: PreviousDecision | None  # The decision that it replaces.
    sent_at: timedelta


@frozen
class StayWrite:
    """The purpose of the store write that a primary stays."""

    group: str


def promotion_row(group: str, state: State) -> PromotionRow:
    """Return the row of a group, creating it if needed."""
    row = state.promotions.get(group)
    if row is None:
        row = state.promotions[group] = PromotionRow(group)
    return row


def stored_token(group: str, state: State) -> tuple[int, str]:
    """Return the newest token of a group and its holder; 0 and "" if there is none."""
    item = state.view.objects.get(("promotion", group))
    if item is None or item.value is None:
        return 0, ""
    return int(item.value["token"]), str(item.value["holder"])


def replace_primary(
    row: PromotionRow, primary: RegistryRow | None, state: State
) -> None:
    """Choose a replica and take the token for its promotion."""
    now = state.clock.monotonic()
    if is_busy(row, state):
        return
    if is_decided_elsewhere(row, state):
        return
    old = primary.name if primary is not None else ""
    is_lossless = sync_replicas.are_required(row.group, state)
    rows = promotable_members(row, old, state)
    if not rows and not is_lossless:
        return
    if row.choosing_since is None:
        row.choosing_since = now
        if not is_lossless:
            for member in rows:
                pools.probe(state.pools[member.name], state)
    if is_lossless:
        found = sync_replicas.complete_replicas(row, old, rows, state)
        target = best_target(row, found, state)
    else:
        target = choose_replica(row, rows, state)
    if target is None:
        return
    row.choosing_since = None
    take_token(row, target, old, state)


def is_decided_elsewhere(row: PromotionRow, state: State) -> bool:
    """Return whether a live instance's recent decision blocks a new one."""
    _, holder = stored_token(row.group, state)
    if holder in ("", state.settings.name):
        return False
    item = state.view.objects["promotion", row.group]
    if item.value is not None and STAYS in item.value:
        return False
    if membership.has_restarted_since(holder, row.seen_at, state):
        return False
    age = state.clock.monotonic() - row.seen_at
    if membership.has_refused_since(holder, row.seen_at, state):
        return age < call_lease_end(state)
    return age < decision_lifetime(state)


def call_lease_end(state: State) -> timedelta:
    """Return how long a decision may be carried out by an instance that is cut off.

    With fencing, that is part of what the next decision waits for.
    """
    if permissions.is_enabled(state):
        return timedelta(0)
    return CALL_LEASE * CLOCK_DRIFT_FACTOR + IN_FLIGHT_MARGIN


def is_in_progress(row: PromotionRow) -> bool:
    """Return whether a failure is being examined or a decision carried out."""
    has_news = bool(row.reports or row.askers or row.choosing_since)
    return has_news or row.is_writing or bool(row.call)


def may_take_effect(row: PromotionRow, state: State) -> bool:
    """Return whether a call without an answer may still drop acknowledged commits.

    Only another call can settle that: one that succeeds, or that the platform refuses.
    """
    if not sync_replicas.are_required(row.group, state):
        return False
    if state.clock.monotonic() >= row.unclear_until or row.seen_token > row.token:
        return False
    # For the present primary, a call changes nothing.
    return leadership.row_of(row.group, state).primary != row.target


def is_busy(row: PromotionRow, state: State) -> bool:
    """Return whether a decision is being carried out, or the next one is not due."""
    is_active = bool(row.call) or row.is_writing or row.group in state.coordinations
    return is_active or state.clock.monotonic() < row.next_at


def take_token(row: PromotionRow, target: str, old: str, state: State) -> None:
    """Write the decision to promote an endpoint, with a token that no other has."""
    if is_busy(row, state):
        return
    row.old_primary = old
    previous = previous_decision(row, state)
    token = unused_token(row, state)
    now = state.clock.monotonic()
    purpose = TokenWrite(row.group, token, target, previous, now)
    write_decision(row, token, target, purpose, state)


def previous_decision(row: PromotionRow, state: State) -> PreviousDecision | None:
    """Return the newest known decision of a group with its holder, if there is one."""
    newest = permissions.newest_decision(row.group, state)
    if newest is None:
        return None
    token, holder = stored_token(row.group, state)
    known_holder = holder if token == newest.token else ""
    return PreviousDecision(newest, known_holder, row.seen_at)


def unused_token(row: PromotionRow, state: State) -> int:
    """Return a token above all that this instance knows."""
    previous = permissions.newest_decision(row.group, state)
    known = [stored_token(row.group, state)[0], row.seen_token]
    if previous is not None:
        known.append(previous.token)
    return next_token(state.view.era, *known)


def write_decision(
    row: PromotionRow,
    token: int,
    target: str,
    purpose: object,
    state: State,
    stays: bool = False,
) -> None:
    """Write a decision, unless there is one that this instance does not know."""
    row.is_writing = True
    value: dict[str, object] = {
        "token": token,
        "holder": state.settings.name,
        "target": target,
    }
    if stays:
        value[STAYS] = True
    item = writable_object("promotion", row.group, state)
    write_object(item, value, purpose, state)


def keep_primary(row: PromotionRow, primary: RegistryRow, state: State) -> None:
    """Decide that a primary stays, after which its replicas may receive again.

    Another coordinator that still counts them as stopped can't write its decision then.
    No decision is needed if there was one for this primary since they stopped.
    """
    if is_busy(row, state):
        return
    decision = permissions.stored_decision(row.group, state)
    is_target = decision is not None and decision.target == primary.name
    if is_target and row.seen_token > row.stopped_token:
        sync_replicas.resume(row, state)
        return
    # The call of another decision may still take effect, unless this process knows that
    # it was not carried out.
    is_own = decision is None or decision.token == row.token
    age = state.clock.monotonic() - row.seen_at
    if is_target or is_own or age > LATE_CALL_LIFETIME:
        token = unused_token(row, state)
        purpose = StayWrite(row.group)
        write_decision(row, token, primary.name, purpose, state, stays=True)


@write_ended.register
def _(purpose: StayWrite, outcome: StoreOutcome, state: State) -> None:
    row = promotion_row(purpose.group, state)
    row.is_writing = False
    state.log_event(PrimaryKept(purpose.group, outcome))
    if outcome is StoreOutcome.WRITTEN:
        sync_replicas.resume(row, state)
    else:
        row.next_at = state.clock.monotonic() + RETRY_DELAY


def decision_lifetime(state: State) -> timedelta:
    """Return how long another instance's decision blocks a new one."""
    if not permissions.is_enabled(state):
        return DECISION_LIFETIME
    return DECISION_LIFETIME + lease_end(state.settings.configuration_lease)


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
    if not permissions.is_enabled(state) and not evacuation.may_promote(
        purpose.group, state
    ):
        row.next_at = now + RETRY_DELAY
        state.counters["evacuation.promotions_given_up"] += 1
        return
    if permissions.is_enabled(state):
        begin_fencing(row, purpose, state)
    elif now - purpose.sent_at > CALL_LEASE or not view.is_copy_fresh(state):
        # Another instance may have replaced the decision by now.
        row.next_at = now + RETRY_DELAY
        state.counters["promotion.given_up"] += 1
    else:
        request_promotion(row, state)


def begin_fencing(row: PromotionRow, purpose: TokenWrite, state: State) -> None:
    """Wait until the old primary is out of use."""
    decision = PromotionDecision(purpose.token, purpose.target)
    item = state.view.objects["promotion", purpose.group]
    coordination.begin(purpose.group, decision, item.version, purpose.previous, state)


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
            row.unclear_until = NEVER
            row.next_at = now + PROMOTION_TIMEOUT
        case PromoteOutcome.REFUSED:
            row.rejected.add(row.target)
            row.unclear_until = NEVER
            row.next_at = now + RETRY_DELAY
        case PromoteOutcome.NOT_DONE:
            row.next_at = now + RETRY_DELAY
        case PromoteOutcome.UNCLEAR:
            row.unclear_until = row.called_at + LATE_CALL_LIFETIME
            is_repeated = may_take_effect(row, state)
            row.next_at = now + (RETRY_DELAY if is_repeated else PROMOTION_TIMEOUT)
