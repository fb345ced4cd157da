"""Remembers replicas that have left and may be the only ones with some commits.

Such a replica counts among those whose logs `sync_replicas` needs until this instance
has seen a position that the primary told later: another log that reaches it has all
that the replica had acknowledged. One whose process has started again has left, too,
since it may have lost its log. One that may run without an entry is asked like others.

Each instance remembers the replicas that it has seen leave, and those that others have
reported with a failing primary: its own process may have started later.
"""

from collections.abc import Container, Iterable

from . import leadership, pools, registry
from .clock import MILLISECOND
from .messages import Position
from .promotion_messages import LeftReplica
from .session_rows import LeftReplicaRow, PromotionRow, RegistryRow
from .tables import State


def track(row: PromotionRow, state: State) -> None:
    """Record the replicas of a group that have left since the last call."""
    now = state.clock.monotonic()
    members = {
        member.name: member for member in registry.group_members(row.group, state)
    }
    for name, entry in row.replicas.items():
        member = members.get(name)
        if member is None or registry.is_restarted(entry, member.entry):
            row.left[name, entry.incarnation] = LeftReplicaRow(
                now, entry.address, entry.data_centre, entry.is_leaving
            )
    primary = leadership.row_of(row.group, state).primary
    row.replicas = {
        name: member.entry for name, member in members.items() if name != primary
    }
    for key, left in list(row.left.items()):
        if left.covered_by is None:
            left.covered_by = leadership.confirmed_position(row.group, left.at, state)
        is_back = any(is_log_of(member, key, left) for member in members.values())
        if is_back or is_outdated(left, row, state):
            del row.left[key]
            if key[0] not in state.registry:
                pools.drop_endpoint(key[0], state)


def is_log_of(member: RegistryRow, key: tuple[str, int], left: LeftReplicaRow) -> bool:
    """Return whether a member has the log of a replica that has left."""
    if (member.name, member.entry.incarnation) == key:
        return True
    return left.is_planned and member.entry.address == left.address


def is_outdated(left: LeftReplicaRow, row: PromotionRow, state: State) -> bool:
    """Return whether the logs of a later term begin with what a replica had."""
    newest = leadership.row_of(row.group, state).position
    if newest is None or left.covered_by is None:
        return False
    return newest.term > left.covered_by.term


def report(row: PromotionRow, state: State) -> tuple[LeftReplica, ...]:
    """Return what the coordinator is told of the replicas that have left."""
    now = state.clock.monotonic()
    return tuple(
        LeftReplica(
            name,
            incarnation,
            (now - left.at) // MILLISECOND,
            left.address,
            left.data_centre,
            left.is_planned,
            left.covered_by,
        )
        for (name, incarnation), left in sorted(row.left.items())
    )


def record_report(
    row: PromotionRow, replicas: Iterable[LeftReplica], state: State
) -> None:
    """Add the replicas that another instance has seen leave."""
    now = state.clock.monotonic()
    for replica in replicas:
        at = now - replica.age_ms * MILLISECOND
        known = row.left.setdefault(
            (replica.endpoint, replica.incarnation),
            LeftReplicaRow(
                at, replica.address, replica.data_centre, replica.is_planned
            ),
        )
        known.covered_by = known.covered_by or replica.covered_by


def may_run(key: tuple[str, int], state: State) -> bool:
    """Return whether a replica that has left may still run and receive commits.

    Its entry may be gone because it does not reach the store.
    """
    return key[0] not in state.registry


def missing_logs(
    row: PromotionRow, answered: Container[str], is_asked: bool, state: State
) -> tuple[int, Position | None]:
    """Return how many logs of replicas that left are needed, and a lowest position.

    A log that reaches the position has what the others of them acknowledged before they
    left. Those in `answered` are not needed. With `is_asked`, one that has not answered
    counts as gone: it acknowledges nothing more.
    """
    missing = 0
    covered = []
    for key, left in row.left.items():
        if may_run(key, state) and key[0] in answered:
            continue
        if left.covered_by is None or (may_run(key, state) and not is_asked):
            missing += 1
        else:
            covered.append(left.covered_by)
    return missing, max(covered, default=None)
