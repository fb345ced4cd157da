"""Chooses the endpoint that replaces a group's primary.

That is the replica with the longest log. Where an acknowledged commit must not be lost,
`sync_replicas` tells among which ones to choose.
"""

from datetime import timedelta

from . import registry, sync_replicas
from .evacuation import permissions as evacuation
from .fencing import permissions
from .homes.limits import prefers_region
from .messages import Position
from .session_rows import EndpointRole, PromotionRow, RegistryRow
from .tables import State

# How long the coordinator waits for the replicas' positions.
POSITIONS_TIMEOUT = timedelta(milliseconds=400)
# The platform may carry out a call without an answer up to this much later.
LATE_CALL_LIFETIME = timedelta(seconds=12)


def promotable_members(row: PromotionRow, old: str, state: State) -> list[RegistryRow]:
    """Return the endpoints of a group that can be promoted in place of `old`."""
    rows = [
        member
        for member in registry.group_members(row.group, state)
        if member.name != old
        and member.leaving_since is None
        and member.missing_since is None
        and not evacuation.is_evacuated(member, state)
    ]
    if not permissions.is_enabled(state):
        return rows
    # Of two that call themselves the primary, only the target of the last decision is.
    decision = permissions.newest_decision(row.group, state)
    target = decision.target if decision is not None else ""
    return [
        member
        for member in rows
        if member.entry.role is not EndpointRole.PRIMARY or member.name == target
    ]


def preferred_target(
    row: PromotionRow, found: dict[str, Position], state: State
) -> str | None:
    """Return the target of the last decision if its call may still take effect.

    Such a call would depose another endpoint that was promoted meanwhile, or that one
    would be deposed with what it has acknowledged since.
    """
    is_lossless = sync_replicas.are_required(row.group, state)
    if not permissions.is_enabled(state) and not is_lossless:
        return None
    decision = permissions.newest_decision(row.group, state)
    is_recent = state.clock.monotonic() - row.seen_at <= LATE_CALL_LIFETIME
    if decision is None or not is_recent or decision.target not in found:
        return None
    return decision.target


def choose_replica(
    row: PromotionRow, rows: list[RegistryRow], state: State
) -> str | None:
    """Return the replica with the longest log, once enough positions are known."""
    since = row.choosing_since
    if since is None:
        return None
    found: dict[str, Position] = {}
    for member in rows:
        pool = state.pools[member.name]
        is_new = pool.position_at >= since and pool.position is not None
        if is_new and member.name not in row.rejected and pool.position is not None:
            found[member.name] = pool.position
    waited = state.clock.monotonic() - since
    if len(found) < len(rows) and waited < POSITIONS_TIMEOUT:
        return None
    if not found:
        row.choosing_since = None
        row.rejected.clear()
        return None
    return best_target(row, found, state)


def best_target(
    row: PromotionRow, found: dict[str, Position], state: State
) -> str | None:
    """Return the replica to promote of those found, by their positions."""
    preferred = preferred_target(row, found, state)
    return preferred or max(
        found,
        key=lambda name: (found[name], prefers_region(name, row.group, state), name),
        default=None,
    )
