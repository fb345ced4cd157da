"""Tells which instance owns an endpoint.

Ownership follows from rendezvous hashing over the usable instances. Instances may
disagree for a while; two owners cost connections, never correctness.
"""

from ..policies import Policy
from ..rendezvous import is_instance_usable, weight
from ..session_rows import PoolRow, RegistryRow
from ..tables import InstanceRow, OwnerCandidates, State
from .decisions import EndpointOwners, needs_owner, owner_limit
from .rows import OwnerRow

DEFAULT_CONNECTIONS = 16  # Limit of an endpoint whose group declares none.


def owner_of(endpoint: str, state: State) -> str:
    """Return the name of an endpoint's owner; "" where none is in use."""
    row = state.registry.get(endpoint)
    if row is None or not has_owner(row.entry.group, state):
        return ""
    for item in candidates(row, state):
        if may_own(item, endpoint, state):
            return item.name
    return ""


def candidates(row: RegistryRow, state: State) -> list[InstanceRow]:
    """Return the listed instances in the order in which they would own an endpoint.

    The order is kept until the list changes, because hashing 85 names for each
    statement took longer than running it.
    """
    key = (row.entry.data_centre, state.view.version, len(state.instances))
    known = state.owner_candidates.get(row.name)
    if known is not None and known.key == key:
        return known.rows
    region = region_of(row, state)
    rows = sorted(
        state.instances.values(),
        key=lambda item: (
            item.data_centre == row.entry.data_centre,
            item.region == region,
            weight(row.name, item.name),
        ),
        reverse=True,
    )
    state.owner_candidates[row.name] = OwnerCandidates(key, rows)
    return rows


def is_enabled(state: State) -> bool:
    """Return whether the settings let endpoints have owners."""
    if not state.settings.uses(Policy.ENDPOINT_OWNERS):
        return False
    return state.settings.endpoint_owners != EndpointOwners.NEVER


def has_owner(group: str, state: State) -> bool:
    """Return whether the endpoints of a group have owners."""
    if not is_enabled(state):
        return False
    mode = EndpointOwners(state.settings.endpoint_owners)
    return needs_owner(mode, accepted_connections(group, state), len(state.instances))


def accepted_connections(group: str, state: State) -> int:
    """Return the connection limit of each endpoint of a group."""
    return state.session_limits.connections.get(group, DEFAULT_CONNECTIONS)


def own_limit(pool: PoolRow, state: State) -> int | None:
    """Return how many connections this instance may open as owner; None if it isn't."""
    if owner_of(pool.endpoint, state) != state.settings.name:
        return None
    return owner_limit(accepted_connections(pool.group, state))


def region_of(row: RegistryRow, state: State) -> str:
    """Return the region of an endpoint by the instances of its data centre."""
    for item in state.instances.values():
        if item.data_centre == row.entry.data_centre:
            return item.region
    return ""


def may_own(item: InstanceRow, endpoint: str, state: State) -> bool:
    """Return whether an instance can be the owner of an endpoint."""
    if not item.serves_sessions or not is_instance_usable(item, state):
        return False
    row = state.owners.get(item.name)
    if row is None:
        return True
    now = state.clock.monotonic()
    return all(row.avoided.get(key, now) <= now for key in ("", endpoint))


def owner_row(name: str, state: State) -> OwnerRow:
    """Return the row of an owner, new if there is none."""
    row = state.owners.get(name)
    if row is None:
        row = state.owners[name] = OwnerRow(name)
    return row
