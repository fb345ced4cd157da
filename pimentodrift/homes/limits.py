"""Applies region limits to the statements of sessions.

The limits of the configuration in force bind, also those of a statement that waits.
They are checked when an endpoint is chosen and again before each send.
"""

from datetime import timedelta
from functools import lru_cache

from .. import leadership, registry
from ..messages import Access
from ..session_messages import Fault, Refusal
from ..session_rows import OperationRow, PooledRow, RegistryRow, Route
from ..tables import State
from .decisions import Regions, combine, format_regions, is_allowed, parse_regions

# Only a promotion, a new endpoint or a new configuration lifts the refusal; the time in
# which a promotion usually ends.
RETRY_AFTER = timedelta(seconds=4)

cached_regions = lru_cache(maxsize=16)(parse_regions)


def region_of(data_centre: str, state: State) -> str:
    """Return the region of a data centre; "" if the settings name none."""
    return cached_regions(state.settings.regions).get(data_centre, "")


def limit_of(route: Route | None, workspace: str, state: State) -> Regions | None:
    """Return the regions that a route and a workspace allow; None if all."""
    found = []
    if route is not None:
        found.append(state.routes.get(route.database, route).regions)
    row = state.configuration.workspaces.get(workspace)
    if row is not None:
        found.append(row.regions)
    return combine(found)


def allows_endpoint(operation: OperationRow, row: RegistryRow, state: State) -> bool:
    """Return whether a statement may be sent to an endpoint."""
    limit = limit_of(operation.route, operation.workspace, state)
    return limit is None or is_allowed(region_of(row.entry.data_centre, state), limit)


def allows_connection(
    route: Route | None, workspace: str, connection: PooledRow, state: State
) -> bool:
    """Return whether statements may be sent on a connection."""
    limit = limit_of(route, workspace, state)
    if limit is None:
        return True
    row = state.registry.get(connection.endpoint)
    region = region_of(row.entry.data_centre, state) if row is not None else ""
    return is_allowed(region, limit)


def allows_instance(operation: OperationRow, instance: str, state: State) -> bool:
    """Return whether a statement's text may be sent to an instance."""
    limit = limit_of(operation.route, operation.workspace, state)
    if limit is None or instance == state.settings.name:
        return True
    row = state.instances.get(instance)
    return row is not None and is_allowed(region_of(row.data_centre, state), limit)


def region_refusal(operation: OperationRow, state: State) -> Refusal | None:
    """Return the refusal of a statement that no allowed endpoint can run, or None."""
    limit = limit_of(operation.route, operation.workspace, state)
    if limit is None:
        return None
    group = operation.route.group
    detail = missing_endpoint(operation, group, limit, state)
    if not detail:
        return None
    state.counters["homes.refused"] += 1
    allowed = format_regions(limit)
    text = f"{detail} (allowed regions: {allowed})"
    return Refusal(Fault.OVERLOADED, text, RETRY_AFTER)


def missing_endpoint(
    operation: OperationRow, group: str, limit: Regions, state: State
) -> str:
    """Return which endpoint a statement lacks in the allowed regions; "" if none."""
    if not limit:
        return "no region is allowed by both the route and the workspace"
    members = registry.group_members(group, state)
    if not any(
        is_allowed(region_of(row.entry.data_centre, state), limit) for row in members
    ):
        return "the group has no endpoint in an allowed region"
    if not (operation.primary_only or operation.access is Access.WRITE):
        return ""
    primary = leadership.primary(group, state)
    if primary is None:
        return ""
    region = region_of(primary.entry.data_centre, state)
    if is_allowed(region, limit):
        return ""
    return f"the primary {primary.name} is in another region"


def prefers_region(endpoint: str, group: str, state: State) -> bool:
    """Return whether all limited routes of a group allow an endpoint's region."""
    row = state.registry.get(endpoint)
    limits = [route.regions for route in state.routes.values() if route.group == group]
    limit = combine(limits)
    if row is None or limit is None:
        return False
    return is_allowed(region_of(row.entry.data_centre, state), limit)
