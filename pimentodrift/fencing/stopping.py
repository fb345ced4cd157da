"""Ends this instance's work at endpoints that a decision has replaced as primary.

Idle transactions end at once. Statements in flight may be answered for a moment; then
their connections are closed, so that no answer of a replaced primary reaches a client.
"""

from datetime import timedelta

from .. import peers, pools, sessions
from ..dispatch import handle_peer
from ..log_events import PrimaryWorkStopped
from ..session_rows import PooledRow
from ..tables import State
from .decisions import PromotionDecision
from .messages import FenceConfirmed, FenceRequest
from .permissions import fence_row, is_enabled, newest_decision
from .rows import FenceRow

# How long statements in flight may still be answered. A platform takes as long to
# promote an endpoint, and most statements take a fraction of it.
ANSWER_GRACE = timedelta(milliseconds=300)


def run(state: State) -> None:
    """Stop the work that new decisions forbid, and confirm it."""
    if not is_enabled(state):
        return
    groups = {pool.group for pool in state.pools.values()} | set(state.fences)
    for group in groups:
        follow_newest(group, state)


def follow_newest(group: str, state: State) -> None:
    """Follow the newest decision on a group's primary."""
    decision = newest_decision(group, state)
    if decision is None:
        return
    row = fence_row(group, state)
    if row.followed is None or row.followed.token < decision.token:
        row.followed, row.followed_at = decision, state.clock.monotonic()
        row.asker = ""
    if row.stopped_token < decision.token and stop_work(row, decision, state):
        row.stopped_token = decision.token
    confirm(row, state)


def stop_work(row: FenceRow, decision: PromotionDecision, state: State) -> bool:
    """End work at other endpoints than the target; return whether none is left."""
    busy = [
        connection
        for connection in state.pooled.values()
        if connection.group == row.group
        and connection.endpoint != decision.target
        and connection.needs_primary
        and (connection.operation or connection.session)
    ]
    aborted = [item for item in busy if not item.operation]
    for connection in aborted:
        session = state.sessions.get(connection.session)
        if session is not None:
            sessions.abort_transaction(session, "primary-replaced", state)
    running = [item for item in busy if item.operation]
    if running and state.clock.monotonic() - row.followed_at < ANSWER_GRACE:
        return False
    for connection in running:
        close(connection, state)
    state.log_event(
        PrimaryWorkStopped(
            row.group, decision.token, decision.target, len(aborted), len(running)
        )
    )
    return True


def close(connection: PooledRow, state: State) -> None:
    """Close a connection with a statement in flight."""
    state.counters["fencing.closed"] += 1
    pools.close_connection(connection, state)
    pools.notify_users(connection, state)


def confirm(row: FenceRow, state: State) -> None:
    """Tell the instance that asked that this one has stopped."""
    decision = row.followed
    if row.asker and decision is not None and row.stopped_token >= decision.token:
        peers.send(row.asker, FenceConfirmed(row.group, decision.token), state)
        row.asker = ""


@handle_peer.register
def _(message: FenceRequest, sender: str, state: State) -> None:
    row = fence_row(message.group, state)
    if row.told is None or row.told.token < message.token:
        row.told = PromotionDecision(message.token, message.target)
    follow_newest(message.group, state)
    decision = row.followed
    if decision is not None and decision.token == message.token:
        row.asker = sender
        confirm(row, state)
