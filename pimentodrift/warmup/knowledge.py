"""Records which endpoints may have just started.

The registry tells how much longer a database is slow. Its entry may be older than a
restart, so an endpoint to which a connection was lost, or that could not be reached,
counts as cold as well, until the registry has an entry that was written later.
"""

from datetime import timedelta

from ..clock import NEVER
from ..kind_messages import WatchedKind
from ..session_rows import PooledRow, RegisteredEndpoint
from ..tables import State
from .decisions import ColdLimit, limited_time
from .rows import ColdRow

# An entry that arrives sooner after a loss may have been written before it: copies of
# the registry, also those of relays, are at most this old.
ENTRY_DELAY = timedelta(seconds=2)
# A connection that was opened on an older copy of the registry may be one to a process
# that the copy does not show. The copy is confirmed every 0.7 s.
MAX_REGISTRY_AGE = timedelta(seconds=1)


def limit_of(group: str, state: State) -> ColdLimit | None:
    """Return what a group declares about cold endpoints; None without a limit."""
    limit = state.session_limits.cold.get(group)
    return limit if limit is not None and limit.is_limited else None


def record_entry(
    endpoint: str, entry: RegisteredEndpoint, revision: int, state: State
) -> None:
    """Record what a registry entry tells about an endpoint's start."""
    now = state.clock.monotonic()
    row = state.cold_endpoints.get(endpoint)
    identity = (entry.group, entry.address, entry.incarnation)
    if row is None or (row.group, row.address, row.incarnation) != identity:
        state.cold_endpoints[endpoint] = ColdRow(
            endpoint, *identity, revision, now, entry.cold_left, used_at=now
        )
        return
    row.used_at = now
    if revision <= row.revision or entry.cold_left is None:
        return
    row.revision = revision
    row.seen_at = now
    row.left = entry.cold_left
    if now - row.suspected_at >= ENTRY_DELAY:
        row.suspected_at = NEVER


def record_loss(endpoint: str, state: State) -> None:
    """Record that an endpoint was lost or unreachable, and may have restarted."""
    row = state.cold_endpoints.get(endpoint)
    if row is not None and limit_of(row.group, state) is not None:
        row.suspected_at = state.clock.monotonic()
        state.counters["warmup.suspected"] += 1


def cold_until(row: ColdRow, limit: ColdLimit) -> timedelta:
    """Return the time up to which an endpoint counts as cold."""
    left = limit.start if row.left is None else row.left
    until = row.seen_at + limited_time(left)
    if row.suspected_at == NEVER:
        return until
    return max(until, row.suspected_at + limited_time(limit.start))


def is_cold(endpoint: str, state: State) -> bool:
    """Return whether the limit of cold endpoints applies to an endpoint."""
    row = state.cold_endpoints.get(endpoint)
    limit = limit_of(row.group, state) if row is not None else None
    if row is None or limit is None:
        return False
    return state.clock.monotonic() < cold_until(row, limit)


def is_connection_cold(connection: PooledRow, state: State) -> bool:
    """Return whether the limit applies to what is sent on a connection.

    It does too if the connection may lead to a process newer than the registry's copy.
    """
    if limit_of(connection.group, state) is None:
        return False
    if is_cold(connection.endpoint, state):
        return True
    return connection.opened_at - registry_known_at(state) > MAX_REGISTRY_AGE


def registry_known_at(state: State) -> timedelta:
    """Return up to when this instance has all changes of the registry.

    A watch in flight has brought all changes while the store answers other calls.
    """
    kind = state.kinds.get(WatchedKind.REGISTRY)
    if kind is None:
        return state.clock.monotonic()
    is_watching = kind.sent_at is not None and not kind.is_lost
    confirmed_at: timedelta = kind.confirmed_at
    relayed_at: timedelta = kind.relayed_at
    watched_at = state.view.confirmed_at if is_watching else confirmed_at
    return max(watched_at, relayed_at)
