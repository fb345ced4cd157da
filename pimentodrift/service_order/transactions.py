"""Bounds the connections that clients hold in transactions, and for how long.

Answers to clients that stay idle in transactions: each holds a connection, and without
a reserve for single statements, all others would wait for the slowest client. A
transaction is never ended to make room; a new one is refused at once if none will end
in time.
"""

from collections.abc import Iterable
from datetime import timedelta

from .. import pools
from ..clock import MILLISECOND
from ..queue_policy import MIN_RETRY_AFTER
from ..session_messages import Phase
from ..session_rows import OperationRow, PooledRow, PoolRow, SessionRow
from ..tables import State

RESERVED_FRACTION = 0.25  # Of the connections, for statements outside transactions.
ROLLED_BACK = "the transaction was rolled back"
REASONS = {
    "connection-lost": "the connection to its database was lost",
    "primary-replaced": "the primary was replaced",
    "stopping": "the instance stops",
}


# --- Idle time


def idle_limit(state: State) -> timedelta:
    """Return how long a transaction may be idle."""
    return state.session_limits.transaction_idle


def is_idle_too_long(session: SessionRow, state: State) -> bool:
    """Return whether an idle transaction reached its limit.

    What its client sent while this process was paused has not been read yet.
    """
    since = max(session.used_at, state.resumed_at)
    return state.clock.monotonic() - since > idle_limit(state)


def record_end(session: SessionRow, reason: str, state: State) -> None:
    """Keep why a transaction was rolled back, for the answer to its client."""
    if reason == "idle":
        limit = idle_limit(state) // MILLISECOND
        session.failure = f"{ROLLED_BACK}: it was idle for more than {limit} ms"
    else:
        detail = REASONS.get(reason)
        session.failure = f"{ROLLED_BACK}: {detail}" if detail else ""


# --- Connections in transactions


def transaction_limit(connections: int) -> int:
    """Return how many of an endpoint's connections may be in transactions."""
    return max(1, connections - max(1, round(connections * RESERVED_FRACTION)))


def limit_of(pool: PoolRow, state: State) -> int:
    """Return how many connections of a pool may be in transactions."""
    most = min(pools.connection_limit(pool, state), pools.declared_limit(pool, state))
    return transaction_limit(most)


def held(pool: PoolRow, state: State) -> list[PooledRow]:
    """Return the connections of a pool that are in transactions."""
    rows = (state.pooled[number] for number in pool.connections)
    return [row for row in rows if row.session]


def is_full(pool: PoolRow, state: State) -> bool:
    """Return whether no further transaction may begin on a pool."""
    return len(held(pool, state)) >= limit_of(pool, state)


def begins(operation: OperationRow, state: State) -> bool:
    """Return whether a waiting statement is the first of a transaction."""
    session = state.sessions.get(operation.session)
    return session is not None and session.phase is Phase.OPEN


def place_after(idle_left: Iterable[timedelta], ahead: int) -> timedelta | None:
    """Return when idle transactions will have ended for `ahead` others and one more.

    None if there are too few of them. Most end sooner: this is when they must.
    """
    ends = sorted(idle_left)
    return ends[ahead] if ahead < len(ends) else None


def refused_for(
    operation: OperationRow, pool: PoolRow, state: State
) -> timedelta | None:
    """Return when to retry a transaction that finds no place; None if it may wait."""
    if not begins(operation, state) or not is_full(pool, state):
        return None
    now = state.clock.monotonic()
    sessions = [state.sessions[row.session] for row in held(pool, state)]
    idle_left = [
        max(timedelta(0), session.used_at + idle_limit(state) - now)
        for session in sessions
    ]
    waiting = [
        number
        for queue in pool.waiting.values()
        for number in queue
        if begins(state.operations[number], state)
    ]
    known = state.services.get(pool.endpoint)
    booked = [at for at in known.places if at > now] if known is not None else []
    if known is not None:
        known.places = booked
    after = place_after(idle_left, len(waiting) + len(booked))
    if after is None:
        after = idle_limit(state)
    route = operation.route
    if now + after <= operation.arrived_at + route.objective:
        return None
    after = max(MIN_RETRY_AFTER, after)
    if known is not None:
        known.places.append(now + after)
    return after
