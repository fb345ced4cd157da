"""Pings the owners of statements whose answer is overdue.

There are no heartbeats between entries and owners, which would be one stream for each
pair of them.
"""

from datetime import timedelta

from .. import membership, peers
from ..dispatch import handle
from ..messages import ClosePeer
from ..notices import PeerUnreachable
from ..peer_messages import Ping
from ..session_rows import OperationRow
from ..tables import State
from .decisions import PING_TIMEOUT, is_overdue
from .forwarding import settle
from .ownership import owner_row

# An owner refuses a statement itself when its time is over; the entry waits for longer.
ANSWER_MARGIN = timedelta(milliseconds=500)


def check(operation: OperationRow, state: State) -> None:
    """Ping the owner of a statement whose answer is overdue."""
    row = state.forwards.get(operation.operation)
    if row is None:
        return
    now = state.clock.monotonic()
    waited = now - max(row.sent_at, state.resumed_at)
    if waited > 2 * operation.route.timeout + ANSWER_MARGIN:
        settle(row, False, state)
        return
    pool = state.pools.get(operation.endpoint)
    expected = pool.service if pool is not None else timedelta(0)
    if is_overdue(waited, expected):
        check_owner(row.owner, state)


def check_owner(owner: str, state: State) -> None:
    """Ping an owner; treat it as lost if it does not answer."""
    now = state.clock.monotonic()
    row, instance = owner_row(owner, state), state.instances.get(owner)
    is_silent = instance is None or instance.last_heard < row.pinged_at
    if now - row.pinged_at <= PING_TIMEOUT:
        return
    was_pinged = row.pinged_at > state.resumed_at and row.is_waiting
    if was_pinged and is_silent:
        row.is_waiting = False
        state.outbox.append(ClosePeer(owner))
        membership.suspect(owner, state)
        handle(PeerUnreachable(owner), state)
        return
    row.pinged_at, row.is_waiting = now, True
    state.counters["owners.pings"] += 1
    peers.send(owner, Ping(state.new_number()), state)
