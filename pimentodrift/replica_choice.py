"""Chooses the endpoint and the owner for an attempt of a request.

Writes, transactions and the first read of a session need the primary. Other reads go
to a replica that is estimated to have reached the session's position, in the entry's
region first, and to the primary if there is no such replica.
"""

from datetime import timedelta

from attrs import evolve, frozen

from . import membership, positions, replica_lag, transactions
from .errors import Failure, Problem, not_run
from .homes import requests
from .messages import Access, Position
from .tables import EndpointRow, PendingRequest, Presence, State
from .tokens import upper_bound

ZERO_POSITION = Position(0, 0)


@frozen
class Route:
    """An endpoint, its owner, and the position that the endpoint must have reached."""

    endpoint: str
    instance: str
    minimum: Position
    primary_only: bool = False


def choose_route(pending: PendingRequest, state: State) -> Route | Failure:
    """Return the route of the next attempt, or the failure if there is no route now."""
    refusal = requests.region_refusal(pending, state)
    if refusal is not None:
        return refusal
    if pending.transaction:
        return transaction_route(pending, state)
    if pending.access is Access.READ:
        route = replica_route(pending, state)
        if route is not None:
            return route
    route = primary_route(pending, state)
    if route is None and pending.access is Access.READ:
        route = fallback_replica_route(pending, state)
    is_read = pending.access is Access.READ
    if route is None and not (is_read and replica_minimum(pending, state)):
        refusal = requests.primary_refusal(pending, state)
    return route or refusal or not_run(Problem.PRIMARY_UNAVAILABLE)


def transaction_route(pending: PendingRequest, state: State) -> Route | Failure:
    """Return the route to the owner that the transaction's id names."""
    instance = transactions.owner_of(pending.transaction)
    if instance is None or instance not in state.instances:
        return not_run(Problem.TRANSACTION_UNKNOWN)
    if not requests.allows_instance(pending, instance, state):
        detail = "the owner of the transaction is in another region"
        return not_run(Problem.REGION_FORBIDDEN, detail)
    return Route(state.groups[pending.group].primary, instance, ZERO_POSITION)


def primary_route(pending: PendingRequest, state: State) -> Route | None:
    """Return the route to the group's primary, unless it is unknown or was tried."""
    name = state.groups[pending.group].primary
    row = state.endpoints.get(name)
    if row is None or name in pending.tried:
        return None
    if not requests.allows_endpoint(pending, row, state):
        return None
    route = route_to(row, session_minimum(pending), state)
    if route is None or pending.access is Access.WRITE:
        return route
    # These reads have no position that would show whether a replaced primary is behind.
    primary_only = pending.max_age is not None or route.minimum == ZERO_POSITION
    return evolve(route, primary_only=primary_only)


def replica_route(pending: PendingRequest, state: State) -> Route | None:
    """Return the route to a replica that is estimated to be fresh enough."""
    minimum = replica_minimum(pending, state)
    if minimum is None:
        return None
    rows = [
        row
        for row in untried_replicas(pending, state)
        if row.failing_until <= state.clock.monotonic()
        and is_fresh_enough(row, minimum, pending, state)
    ]
    return pick_route(rows, minimum, state)


def is_fresh_enough(
    row: EndpointRow, minimum: Position, pending: PendingRequest, state: State
) -> bool:
    """Return whether a replica is estimated to have reached a position.

    A read that has waited for a replica accepts every replica with a short lag, even if
    the history has no sample of the position. The owner always checks the position.
    """
    if replica_lag.has_reached(row, minimum, state):
        return True
    if not pending.waited_for_replica:
        return False
    lag = replica_lag.catch_up_time(row, minimum, state)
    return lag is not None and lag <= state.settings.replica_wait


def replica_wait(pending: PendingRequest, state: State) -> timedelta | None:
    """Return how long a read should wait for a replica instead of the primary.

    The primary serves all writes of the group, so a read that can wait a little must
    not load it. None means that no replica will be fresh enough in time.
    """
    if pending.access is not Access.READ or pending.waited_for_replica:
        return None
    minimum = replica_minimum(pending, state)
    if minimum is None:
        return None
    waits = [
        wait
        for row in untried_replicas(pending, state)
        if row.failing_until <= state.clock.monotonic()
        and (wait := replica_lag.catch_up_time(row, minimum, state)) is not None
    ]
    shortest = min(waits, default=None)
    if shortest is None or shortest > state.settings.replica_wait:
        return None
    return shortest


def fallback_replica_route(pending: PendingRequest, state: State) -> Route | None:
    """Return the route to any untried replica, for reads without a primary."""
    minimum = replica_minimum(pending, state)
    if minimum is None:
        return None
    return pick_route(untried_replicas(pending, state), minimum, state)


def session_minimum(pending: PendingRequest) -> Position:
    """Return the session's position in the group."""
    return pending.session.get(pending.group, ZERO_POSITION)


def replica_minimum(pending: PendingRequest, state: State) -> Position | None:
    """Return the position that a replica must have reached; None: primary only."""
    session = pending.session.get(pending.group)
    # Starts the group's history, by which the lag of its replicas is estimated.
    positions.history_of(pending.group, state)
    if pending.max_age is None:
        return session
    needed = positions.position_at_age(pending.group, pending.max_age, state)
    if needed is None:
        return session
    return upper_bound(needed, session or ZERO_POSITION)


def untried_replicas(pending: PendingRequest, state: State) -> list[EndpointRow]:
    """Return the replicas that accept new work and were not tried."""
    primary = state.groups[pending.group].primary
    return [
        row
        for row in membership.group_endpoints(pending.group, state)
        if row.name != primary
        and row.name not in pending.tried
        and row.presence is Presence.LIVE
        and requests.allows_endpoint(pending, row, state)
    ]


def pick_route(
    rows: list[EndpointRow], minimum: Position, state: State
) -> Route | None:
    """Return a route to a random endpoint by weight, in this region if possible."""
    near = [row for row in rows if row.region == state.settings.region]
    candidates = near or rows
    while candidates:
        weights = [weight(row, state) for row in candidates]
        row = state.random.choices(candidates, weights)[0]
        route = route_to(row, minimum, state)
        if route is not None:
            return route
        candidates = [other for other in candidates if other is not row]
    return None


def weight(row: EndpointRow, state: State) -> float:
    """Return the weight of an endpoint: lower with more attempts in flight per slot."""
    return 1 / (1 + state.outstanding[row.name] / row.slots)


def route_to(row: EndpointRow, minimum: Position, state: State) -> Route | None:
    """Return the route to the owner of an endpoint, or None if it has no owner."""
    instance = membership.owner(row, state)
    return None if instance is None else Route(row.name, instance, minimum)
