"""Keeps acknowledged commits when the primary of a group is replaced.

Where commits wait for replicas, each acknowledged one has been received by at least
`sync_replicas` of them, but perhaps by no others. A leaving primary is replaced as
`evacuation.switchover` does: after all instances have stopped their work there. If it
fails, the replicas first stop receiving: no further commit can be acknowledged, and the
longest log among enough of them has all that were. What a replica has received counts,
not what it has applied.
"""

from datetime import timedelta

from . import leadership, pools, registry
from .clock import NEVER
from .evacuation.permissions import evacuation_of, is_evacuated
from .fencing.coordination import newest_term
from .messages import Position
from .session_messages import ReplicaCommand
from .session_rows import EndpointRole, PoolRow, PromotionRow, RegistryRow
from .tables import State

# Between two demands that a replica stops receiving.
DEMAND_INTERVAL = timedelta(milliseconds=300)
# After this time, a replica that answers but does not stop is not waited for: a primary
# that is gone acknowledges nothing more.
STOP_PATIENCE = timedelta(seconds=1)


def are_required(group: str, state: State) -> bool:
    """Return whether commits of a group wait for a replica."""
    return state.session_limits.sync_replicas.get(group, 0) > 0


def acknowledging_replicas(group: str, old: str, state: State) -> list[RegistryRow]:
    """Return the replicas that may be the only one with an acknowledged commit.

    A leaving replica still receives commits and counts for their acknowledgment. So
    does one in an evacuated data centre, although it may not be asked.
    """
    primaries = (old, leadership.row_of(group, state).primary)
    return [
        member
        for member in registry.group_members(group, state)
        if member.name not in primaries
        and member.entry.role is not EndpointRole.PRIMARY
    ]


def complete_replicas(
    row: PromotionRow, old: str, promotable: list[RegistryRow], state: State
) -> dict[str, Position]:
    """Return the replicas that have all acknowledged commits, with their positions.

    There are none before that is certain. A leaving replica is among them only if no
    other is, one in an evacuated data centre never.
    """
    members = acknowledging_replicas(row.group, old, state)
    since = row.choosing_since
    if since is None:
        return {}
    received = {}
    is_late = state.clock.monotonic() - since >= STOP_PATIENCE
    for member in members:
        pool = state.pools[member.name]
        position = pool.received if pool.stop_asked_at >= since else None
        if position is not None and (pool.has_stopped or is_late):
            received[member.name] = position
        is_known = position is not None and pool.has_stopped
        if not is_known and may_demand(member, pool, state):
            demand_stop(row, member.name, state)
    count = state.session_limits.sync_replicas[row.group]
    # A commit in none of these logs was received by fewer than `count` replicas.
    if len(received) < max(1, len(members) - count + 1):
        return {}
    last = max(received.values())
    complete = {
        member.name: last
        for member in members
        if received.get(member.name) == last
        and member.name not in row.rejected
        and not is_evacuated(member, state)
    }
    if not complete:
        row.rejected.clear()
    names = {member.name for member in promotable}
    return {name: complete[name] for name in complete if name in names} or complete


def may_demand(member: RegistryRow, pool: PoolRow, state: State) -> bool:
    """Return whether no demand is on its way and the last one was some time ago."""
    if is_evacuated(member, state):
        return False
    if state.clock.monotonic() - pool.stop_sent_at < DEMAND_INTERVAL:
        return False
    rows = (state.pooled[number] for number in pool.connections)
    return not any(
        row.command is not ReplicaCommand.NONE and not row.is_open for row in rows
    )


def demand_stop(row: PromotionRow, endpoint: str, state: State) -> None:
    """Tell a replica to receive no more commits, and to say what it has received."""
    term = newest_term(row.group, state)
    pool = state.pools[endpoint]
    pool.stop_sent_at = state.clock.monotonic()
    row.stopped.add(endpoint)
    state.counters["promotion.stops"] += 1
    stop = ReplicaCommand.STOP_RECEIVING
    pools.probe(pool, state, stop, 1 if term is None else term + 1)


def resume(row: PromotionRow, state: State) -> None:
    """Let the replicas receive again that this instance has stopped.

    A promotion may have ended that already; the command then changes nothing.
    """
    primary = leadership.row_of(row.group, state).primary
    row.stopped.discard(primary)
    for endpoint in sorted(row.stopped):
        if evacuation_of(endpoint, state) is not None:
            continue  # It is told once the evacuation has ended.
        row.stopped.discard(endpoint)
        pool = state.pools.get(endpoint)
        if pool is not None:
            pool.stop_asked_at = pool.stop_sent_at = NEVER
            pools.probe(pool, state, ReplicaCommand.RESUME_RECEIVING)
