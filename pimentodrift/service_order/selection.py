"""Says which queue policy is in force for the queue of an endpoint."""

from ..owners.ownership import owner_of
from ..queue_policy import QueuePolicy
from ..session_rows import PoolRow
from ..tables import State


def policy_for(pool: PoolRow, state: State) -> QueuePolicy:
    """Return the queue policy of an endpoint: the set one, or that of its owner."""
    policy = QueuePolicy(state.settings.queue_policy)
    is_default = policy is QueuePolicy.EXPECTED_WAIT
    if is_default and owner_of(pool.endpoint, state) == state.settings.name:
        return QueuePolicy.DEADLINE_ORDER
    return policy


def is_ordered(pool: PoolRow, state: State) -> bool:
    """Return whether a queue is served by deadline order."""
    return policy_for(pool, state) is QueuePolicy.DEADLINE_ORDER
