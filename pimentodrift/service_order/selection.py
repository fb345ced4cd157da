"""Says which queue policy is in force for the queue of an endpoint."""

from ..queue_policy import QueuePolicy
from ..session_rows import PoolRow
from ..tables import State


def policy_for(pool: PoolRow, state: State) -> QueuePolicy:
    """Return the queue policy of an endpoint, as set for all; owners add to this."""
    return QueuePolicy(state.settings.queue_policy)


def is_ordered(pool: PoolRow, state: State) -> bool:
    """Return whether a queue is served by deadline order."""
    return policy_for(pool, state) is QueuePolicy.DEADLINE_ORDER
