"""Holds this instance's work at a primary that a coordinator replaces as planned.

New statements wait as for a failed primary. Open transactions may end for a moment and
are then rolled back. Once nothing is left, the coordinator gets its confirmation. The
hold ends by itself, so the loss of the coordinator leaves nothing behind.
"""

from .. import peers, pools, sessions, sync_replicas
from ..dispatch import handle, handle_peer
from ..fencing.permissions import stored_decision
from ..promotion_targets import LATE_CALL_LIFETIME
from ..session_messages import PlacementNeeded
from ..session_rows import PooledRow
from ..tables import State
from . import permissions
from .decisions import HOLD_LIFETIME, TRANSACTION_GRACE
from .messages import HoldConfirmed, HoldPrimary
from .rows import HoldClaim, HoldRow

ABORT_REASON = "planned-switchover"


def run(state: State) -> None:
    """End the holds that are over; stop the work of the others and confirm it."""
    for row in list(state.primary_holds.values()):
        if not is_wanted(row, state):
            del state.primary_holds[row.group]
            continue
        stop_transactions(row, state)
        confirm(row, state)


def is_wanted(row: HoldRow, state: State) -> bool:
    """Return whether statements still have to wait."""
    if not permissions.leads(row.endpoint, state):
        return False
    now = state.clock.monotonic()
    is_claimed = any(now < claim.until for claim in row.claims.values())
    return is_claimed or is_being_promoted(row, state)


def is_being_promoted(row: HoldRow, state: State) -> bool:
    """Return whether another endpoint's promotion was decided a moment ago.

    A write that went on meanwhile at the old primary would be lost. Where none may be,
    the promotion counts as under way for as long as a late call may take effect: its
    coordinator may be gone or paused.
    """
    decision = stored_decision(row.group, state)
    seen = state.promotions.get(row.group)
    if decision is None or decision.target == row.endpoint or seen is None:
        return False
    is_newer = seen.seen_token == decision.token and seen.seen_at >= row.since
    is_lossless = sync_replicas.are_required(row.group, state)
    lifetime = LATE_CALL_LIFETIME if is_lossless else HOLD_LIFETIME
    return is_newer and state.clock.monotonic() - seen.seen_at < lifetime


def work_of(row: HoldRow, state: State) -> list[PooledRow]:
    """Return the connections on which work needs the held primary."""
    return [
        connection
        for connection in state.pooled.values()
        if connection.endpoint == row.endpoint
        and connection.needs_primary
        and (connection.operation or connection.session)
    ]


def stop_transactions(row: HoldRow, state: State) -> None:
    """Roll back the idle transactions that had time to end."""
    if state.clock.monotonic() - row.since < TRANSACTION_GRACE:
        return
    for connection in work_of(row, state):
        session = state.sessions.get(connection.session)
        if session is not None and not connection.operation:
            sessions.abort_transaction(session, ABORT_REASON, state)


def confirm(row: HoldRow, state: State) -> None:
    """Confirm the last message of each coordinator if no work is left."""
    if work_of(row, state):
        return
    for coordinator, claim in list(row.claims.items()):
        number, claim.unconfirmed = claim.unconfirmed, 0
        if number:
            message = HoldConfirmed(row.group, claim.attempt, number, row.hold)
            peers.send(coordinator, message, state)


def take_back_waiting(row: HoldRow, state: State) -> None:
    """Place the statements again that wait for a connection to the primary."""
    pool = state.pools.get(row.endpoint)
    queues = list(pool.waiting.values()) if pool is not None else []
    for number in [number for queue in queues for number in queue]:
        operation = state.operations[number]
        if operation.minimum is None:
            pools.remove_waiting(operation, state)
            handle(PlacementNeeded(number), state)


@handle_peer.register
def _(message: HoldPrimary, sender: str, state: State) -> None:
    row = state.primary_holds.get(message.group)
    if message.is_over:
        if row is not None:
            end_claim(row, sender, message.attempt, state)
        return
    if not permissions.leads(message.endpoint, state):
        return
    now = state.clock.monotonic()
    if row is None or row.endpoint != message.endpoint or not is_wanted(row, state):
        row = HoldRow(message.group, message.endpoint, state.new_number(), now)
        state.primary_holds[message.group] = row
        state.counters["evacuation.holds"] += 1
        take_back_waiting(row, state)
    row.claims[sender] = HoldClaim(message.attempt, now + HOLD_LIFETIME, message.number)
    confirm(row, state)


def end_claim(row: HoldRow, coordinator: str, attempt: int, state: State) -> None:
    """End a coordinator's claim, and with the last one the hold."""
    claim = row.claims.get(coordinator)
    if claim is None or claim.attempt != attempt:
        return
    del row.claims[coordinator]
    if not is_wanted(row, state):
        del state.primary_holds[row.group]
