"""Holds this instance's work at a primary that a coordinator replaces as planned.

New statements wait as for a failed primary. Open transactions may end for a moment and
are then rolled back. Once nothing is left, the coordinator gets its confirmation. The
hold ends by itself, so the loss of the coordinator leaves nothing behind.
"""

from .. import peers, pools, sessions
from ..dispatch import handle, handle_peer
from ..fencing.permissions import stored_decision
from ..session_messages import PlacementNeeded
from ..session_rows import PooledRow
from ..tables import State
from . import permissions
from .decisions import HOLD_LIFETIME, TRANSACTION_GRACE
from .messages import HoldConfirmed, HoldPrimary
from .rows import HoldRow

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
    return state.clock.monotonic() < row.until or is_being_promoted(row, state)


def is_being_promoted(row: HoldRow, state: State) -> bool:
    """Return whether another endpoint's promotion was decided a moment ago.

    A write that went on meanwhile at the old primary would be lost.
    """
    decision = stored_decision(row.group, state)
    seen = state.promotions.get(row.group)
    if decision is None or decision.target == row.endpoint or seen is None:
        return False
    is_newer = seen.seen_token == decision.token and seen.seen_at >= row.since
    return is_newer and state.clock.monotonic() - seen.seen_at < HOLD_LIFETIME


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
    """Confirm the last message if no work is left."""
    if not row.unconfirmed or work_of(row, state):
        return
    number, row.unconfirmed = row.unconfirmed, 0
    message = HoldConfirmed(row.group, row.attempt, number, row.hold)
    peers.send(row.coordinator, message, state)


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
    is_same = row is not None and (row.coordinator, row.attempt) == (
        sender,
        message.attempt,
    )
    if message.is_over:
        if is_same:
            del state.primary_holds[message.group]
        return
    if not permissions.leads(message.endpoint, state):
        return
    now = state.clock.monotonic()
    if row is None or not is_same or not is_wanted(row, state):
        row = HoldRow(
            message.group,
            message.endpoint,
            sender,
            message.attempt,
            state.new_number(),
            since=now,
            until=now,
        )
        state.primary_holds[message.group] = row
        state.counters["evacuation.holds"] += 1
        take_back_waiting(row, state)
    row.until = now + HOLD_LIFETIME
    row.unconfirmed = max(row.unconfirmed, message.number)
    confirm(row, state)
