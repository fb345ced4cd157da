"""Keeps acknowledged commits when the primary of a group is replaced.

Where commits wait for replicas, each acknowledged one has been received by at least
`sync_replicas` of them, but perhaps by no others. A leaving primary is replaced as
`evacuation.switchover` does: after all instances have stopped their work there. If it
fails, the replicas first stop receiving: no further commit can be acknowledged, and the
longest log among enough of them has all that were. What a replica has received counts,
not what it has applied.
"""

from datetime import timedelta

from . import former_replicas, leadership, pools, registry
from .clock import NEVER
from .evacuation.permissions import is_evacuated
from .fencing.coordination import newest_term
from .messages import Position
from .session_messages import ReplicaCommand
from .session_rows import LeftReplicaRow, PoolRow, PromotionRow, RegistryRow
from .tables import State

# Between two demands that a replica stops receiving.
DEMAND_INTERVAL = timedelta(milliseconds=300)
# A replica that has stopped receives again after a restart, so it is asked again, and
# counts for no longer than this after the last demand.
STOP_REPEAT_INTERVAL = timedelta(seconds=1)
STOP_LIFETIME = timedelta(seconds=2)
# A replica without an entry in the registry that has not answered by then is gone.
LEFT_PATIENCE = timedelta(seconds=1)


def are_required(group: str, state: State) -> bool:
    """Return whether commits of a group wait for a replica."""
    return state.session_limits.sync_replicas.get(group, 0) > 0


def acknowledging_replicas(group: str, old: str, state: State) -> list[RegistryRow]:
    """Return the replicas that may be the only one with an acknowledged commit.

    A leaving replica still receives commits and counts for their acknowledgment. So
    does one in an evacuated data centre, although it may not be asked, and one whose
    entry still says that it is the primary, if another endpoint is.
    """
    primaries = (old, leadership.row_of(group, state).primary)
    return [
        member
        for member in registry.group_members(group, state)
        if member.name not in primaries
    ]


def complete_replicas(
    row: PromotionRow, old: str, promotable: list[RegistryRow], state: State
) -> dict[str, Position]:
    """Return the replicas that have all acknowledged commits, with their positions.

    There are none before that is certain. A leaving replica is among them only if no
    other is, one in an evacuated data centre never.
    """
    members = acknowledging_replicas(row.group, old, state)
    left = {key[0] for key in row.left if former_replicas.may_run(key, state)}
    received = {}
    for name in [*(member.name for member in members), *sorted(left)]:
        position = stopped_position(row, name, state)
        if position is not None:
            received[name] = position
        if may_demand(row, name, position, state):
            demand_stop(row, name, state)
    since = row.choosing_since
    is_asked = since is not None and state.clock.monotonic() - since >= LEFT_PATIENCE
    missing, lowest = former_replicas.missing_logs(row, received, is_asked, state)
    asked = len(members) + len(left & received.keys())
    count = state.session_limits.sync_replicas[row.group]
    # A commit in none of these logs was received by fewer than `count` replicas.
    if len(received) < max(1, asked + missing - count + 1):
        return {}
    last = max(received.values())
    if lowest is not None and last < lowest:
        return {}
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


def stopped_position(row: PromotionRow, endpoint: str, state: State) -> Position | None:
    """Return the last position of a replica that receives nothing more, or None."""
    pool = state.pools.get(endpoint)
    since = row.choosing_since
    if pool is None or since is None:
        return None
    if pool.stop_asked_at < since or not pool.has_stopped:
        return None
    is_old = state.clock.monotonic() - pool.stop_asked_at > STOP_LIFETIME
    return None if is_old else pool.received


def may_demand(
    row: PromotionRow, endpoint: str, position: Position | None, state: State
) -> bool:
    """Return whether a replica is to be told to stop receiving, perhaps again."""
    if data_centre_of(row, endpoint, state) in state.evacuations:
        return False
    pool = state.pools.get(endpoint)
    if pool is None:
        return True
    pause = DEMAND_INTERVAL if position is None else STOP_REPEAT_INTERVAL
    if state.clock.monotonic() - pool.stop_sent_at < pause:
        return False
    rows = (state.pooled[number] for number in pool.connections)
    return not any(
        row.command is not ReplicaCommand.NONE and not row.is_open for row in rows
    )


def left_row(row: PromotionRow, endpoint: str) -> LeftReplicaRow | None:
    """Return the row of a replica that has left; None if it has not."""
    rows = [left for (name, _), left in row.left.items() if name == endpoint]
    return max(rows, key=lambda left: left.at, default=None)


def data_centre_of(row: PromotionRow, endpoint: str, state: State) -> str:
    """Return the data centre of a replica, also of one that has left."""
    member = state.registry.get(endpoint)
    if member is not None:
        return member.entry.data_centre
    left = left_row(row, endpoint)
    return left.data_centre if left is not None else ""


def demand_stop(row: PromotionRow, endpoint: str, state: State) -> None:
    """Tell a replica to receive no more commits, and to say what it has received."""
    term = newest_term(row.group, state)
    if not row.stopped:
        row.stopped_token = row.seen_token
    row.stopped.add(endpoint)
    state.counters["promotion.stops"] += 1
    stop = ReplicaCommand.STOP_RECEIVING
    send_command(row, endpoint, stop, 1 if term is None else term + 1, state)
    state.pools[endpoint].stop_sent_at = state.clock.monotonic()


def send_command(
    row: PromotionRow, endpoint: str, command: ReplicaCommand, term: int, state: State
) -> None:
    """Send a command to a replica on a new connection, also to one that has left."""
    pool = state.pools.setdefault(endpoint, PoolRow(endpoint, row.group))
    left = left_row(row, endpoint)
    address = left.address if left is not None else ""
    pools.probe(pool, state, command, term, address)


def resume(row: PromotionRow, state: State) -> None:
    """Let the replicas receive again that this instance has stopped.

    A promotion may have ended that already; the command then changes nothing.
    """
    primary = leadership.row_of(row.group, state).primary
    row.stopped.discard(primary)
    for endpoint in sorted(row.stopped):
        if data_centre_of(row, endpoint, state) in state.evacuations:
            continue  # It is told once the evacuation has ended.
        row.stopped.discard(endpoint)
        pool = state.pools.get(endpoint)
        if pool is not None:
            pool.stop_asked_at = pool.stop_sent_at = NEVER
            send_command(row, endpoint, ReplicaCommand.RESUME_RECEIVING, 0, state)
