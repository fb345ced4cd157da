"""Bounds how many connections of an endpoint clients hold in transactions.

Answers to clients that stay idle in transactions: each holds a connection, and without
a reserve for single statements, all others would wait for the slowest client. A
transaction is never ended for it; a new one waits, or is refused by its deadline.
"""

from .. import pools
from ..session_messages import Phase
from ..session_rows import OperationRow, PoolRow
from ..tables import State

RESERVED_FRACTION = 0.25  # Of the connections, for statements outside transactions.


def transaction_limit(connections: int) -> int:
    """Return how many of an endpoint's connections may be in transactions."""
    return max(1, connections - max(1, round(connections * RESERVED_FRACTION)))


def held_count(pool: PoolRow, state: State) -> int:
    """Return how many connections of a pool are in transactions."""
    rows = (state.pooled[number] for number in pool.connections)
    return sum(1 for row in rows if row.session)


def must_wait(operation: OperationRow, pool: PoolRow, state: State) -> bool:
    """Return whether a statement would begin a transaction above the limit."""
    session = state.sessions.get(operation.session)
    if session is None or session.phase is not Phase.OPEN:
        return False
    limit = transaction_limit(pools.connection_limit(pool, state))
    return held_count(pool, state) >= limit
