"""The decision core of an instance whose clients hold sessions on connections.

`core` is the one with the HTTP interface in front of PostgreSQL. Both use the same
message handlers, rate limits, heartbeats and store writes.
"""

from collections.abc import Callable
from datetime import timedelta

from . import (
    allocation,
    allocator_spread,
    draining,
    heartbeats,
    instance_registration,
    instance_removal,
    kind_rows,
    kind_watch,
    membership,
    operation_steps,
    operations,
    peer_confirmations,
    peers,
    pools,
    promotion,
    promotion_decisions,
    rates,
    registry,
    route_configuration,
    session_draining,
    session_opening,
    sessions,
    standby_grants,
)
from .configuration_relay import receiving
from .dispatch import handle
from .ejection import judgement
from .evacuation import draining as evacuation_draining
from .evacuation import holding, relaying
from .fencing import coordination, stopping
from .homes import enforcement, sampling
from .owners import changes, losses
from .policies import Policy
from .tables import State
from .ticks import REST_TICK, TICK, take_outbox
from .view import is_copy_fresh
from .warmup import limits as cold_limits
from .warmup import samples

# Run in this order at each tick: first those that update the instance's knowledge, then
# those that decide by it.
SYSTEMS: tuple[Callable[[State], None], ...] = (
    kind_watch.run,
    peer_confirmations.run,
    instance_registration.run,
    membership.run,
    heartbeats.run,
    instance_removal.run,
    registry.run,
    cold_limits.run,
    changes.run,
    allocation.run,
    allocator_spread.run,
    rates.run,
    standby_grants.run,
    pools.run,
    evacuation_draining.run,
    judgement.run,
    holding.run,
    stopping.run,
    coordination.run,
    promotion.run,
    sampling.run,
    samples.run,
    operations.run,
    session_opening.run,
    sessions.run,
    enforcement.run,
    session_draining.run,
)

__all__ = [
    "SYSTEMS",
    "TICK",
    "draining",  # Modules listed here are imported to register their handlers.
    "handle",
    "is_ready",
    "losses",
    "operation_steps",
    "peers",
    "receiving",
    "relaying",
    "route_configuration",
    "take_outbox",
    "tick",
    "tick_interval",
]


def tick(state: State) -> None:
    """Run every system once."""
    for system in SYSTEMS:
        system(state)


def tick_interval(state: State) -> timedelta:
    """Return the time until the next tick; longer while nothing waits for one."""
    rests = state.settings.uses(Policy.REST_TICKS) and is_at_rest(state)
    return REST_TICK if rests else TICK


def is_at_rest(state: State) -> bool:
    """Return whether no statement, change of primary or stop is in progress."""
    if state.operations or state.openings or state.coordinations or state.stopping:
        return False
    if any(row.done_at is None for row in state.evacuations.values()):
        return False
    if state.primary_holds:
        return False
    if state.events or state.typed_events:
        return False  # Log lines are written at ticks.
    if not kind_rows.is_every_kind_listed(state):
        return False
    return not any(
        promotion_decisions.is_in_progress(row) for row in state.promotions.values()
    )


def is_ready(state: State) -> bool:
    """Return whether the load balancer should send clients to this instance."""
    is_known = kind_rows.is_every_kind_listed(state) and state.configuration.version > 0
    return is_known and is_copy_fresh(state) and not state.stopping
