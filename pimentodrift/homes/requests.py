"""Applies region limits to the requests of the HTTP interface.

Endpoints and instances state their region in the store. A request is forwarded only to
an owner in an allowed region, so that its text stays there.
"""

from .. import membership
from ..errors import Failure, Problem, not_run
from ..tables import EndpointRow, PendingRequest, State
from .decisions import Regions, combine, format_regions, is_allowed


def limit_of(pending: PendingRequest, state: State) -> Regions | None:
    """Return the regions that a request's route and workspace allow; None if all."""
    found = [workspace_regions(pending.workspace, state)]
    route = state.configuration.open_routes.get(pending.open_route)
    if route is not None:
        found.append(route[1].regions)
    return combine(found)


def workspace_regions(workspace: str, state: State) -> Regions:
    """Return the regions of a workspace; empty without a limit."""
    row = state.configuration.workspaces.get(workspace)
    return row.regions if row is not None else frozenset()


def may_use_endpoint(workspace: str, endpoint: str, state: State) -> bool:
    """Return whether a workspace's work may go on at an endpoint of this owner."""
    limit = combine([workspace_regions(workspace, state)])
    row = state.endpoints.get(endpoint)
    return limit is None or (row is not None and is_allowed(row.region, limit))


def allows_endpoint(pending: PendingRequest, row: EndpointRow, state: State) -> bool:
    """Return whether a request may be sent to an endpoint through its owner."""
    limit = limit_of(pending, state)
    return limit is None or is_reachable(row, limit, state)


def is_reachable(row: EndpointRow, limit: Regions, state: State) -> bool:
    """Return whether an endpoint and its owner are in allowed regions.

    The instance that the client reached may own it wherever it is.
    """
    if not is_allowed(row.region, limit):
        return False
    name = membership.owner(row, state)
    if name is None or name == state.settings.name:
        return True
    owner = state.instances.get(name)
    return owner is not None and is_allowed(owner.region, limit)


def allows_instance(pending: PendingRequest, instance: str, state: State) -> bool:
    """Return whether a request's text may be sent to an instance."""
    limit = limit_of(pending, state)
    row = state.instances.get(instance)
    if limit is None or instance == state.settings.name:
        return True
    return row is not None and is_allowed(row.region, limit)


def region_refusal(pending: PendingRequest, state: State) -> Failure | None:
    """Return the refusal of a request that no allowed endpoint can serve, or None."""
    limit = limit_of(pending, state)
    if limit is None:
        return None
    rows = membership.group_endpoints(pending.group, state)
    if any(is_reachable(row, limit, state) for row in rows):
        return None
    return refusal("the group has no endpoint and owner there", limit, state)


def primary_refusal(pending: PendingRequest, state: State) -> Failure | None:
    """Return the refusal of a request whose primary it must not use, or None."""
    limit = limit_of(pending, state)
    group = state.groups.get(pending.group)
    row = state.endpoints.get(group.primary) if group is not None else None
    if limit is None or row is None or is_reachable(row, limit, state):
        return None
    return refusal("the request needs the primary, which is elsewhere", limit, state)


def refusal(detail: str, limit: Regions, state: State) -> Failure:
    """Return and count the refusal for a region."""
    state.counters["homes.refused"] += 1
    text = f"{detail}; allowed regions: {format_regions(limit)}"
    return not_run(Problem.REGION_FORBIDDEN, text)
