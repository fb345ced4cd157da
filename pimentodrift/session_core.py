"""The decision core of an instance whose clients hold sessions on connections.

`core` is the one with the HTTP interface in front of PostgreSQL. Both use the same
message handlers, rate limits, heartbeats and store writes.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum

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
from .ticks import (
    REST_TICK,
    TICK,
    begin_steady_run,
    hasten_steady_run,
    take_outbox,
)
from .view import is_copy_fresh
from .warmup import limits as cold_limits
from .warmup import samples


class Pace(Enum):
    """How often a system runs."""

    # At each tick: statements, or the shares of rates and the instances that they need,
    # wait for it.
    PROMPT = "prompt"
    # As often as at rest, except during a start, a stop, an evacuation or a change of
    # primary.
    STEADY = "steady"


# In the order in which they run in a tick: first those that update the instance's
# knowledge, then those that decide by it.
SYSTEMS: tuple[tuple[Callable[[State], None], Pace], ...] = (
    (kind_watch.run, Pace.STEADY),
    (peer_confirmations.run, Pace.STEADY),
    (instance_registration.run, Pace.STEADY),
    (membership.run, Pace.PROMPT),
    (heartbeats.run, Pace.PROMPT),
    (instance_removal.run, Pace.STEADY),
    (registry.run, Pace.STEADY),
    (cold_limits.run, Pace.PROMPT),
    (changes.run, Pace.STEADY),
    (allocation.run, Pace.PROMPT),
    (allocator_spread.run, Pace.STEADY),
    (rates.run, Pace.PROMPT),
    (standby_grants.run, Pace.PROMPT),
    (pools.run, Pace.PROMPT),
    (evacuation_draining.run, Pace.PROMPT),
    (judgement.run, Pace.STEADY),
    (holding.run, Pace.PROMPT),
    (stopping.run, Pace.PROMPT),
    (coordination.run, Pace.PROMPT),
    (promotion.run, Pace.STEADY),
    (sampling.run, Pace.PROMPT),
    (samples.run, Pace.PROMPT),
    (operations.run, Pace.PROMPT),
    (session_opening.run, Pace.PROMPT),
    (sessions.run, Pace.PROMPT),
    (enforcement.run, Pace.STEADY),
    (session_draining.run, Pace.PROMPT),
)
ALL_SYSTEMS = tuple(run for run, _ in SYSTEMS)
PROMPT_SYSTEMS = tuple(run for run, pace in SYSTEMS if pace is Pace.PROMPT)

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
    """Run the systems that are due."""
    is_full = begin_steady_run(state)
    if needs_every_tick(state):
        is_full = True
        hasten_steady_run(state)  # Once more after the end of the change.
    for run in ALL_SYSTEMS if is_full else PROMPT_SYSTEMS:
        run(state)


def tick_interval(state: State) -> timedelta:
    """Return the time until the next tick; longer while nothing waits for one."""
    rests = state.settings.uses(Policy.REST_TICKS) and is_at_rest(state)
    return REST_TICK if rests else TICK


def is_at_rest(state: State) -> bool:
    """Return whether no statement, change of primary or stop is in progress."""
    if state.operations or state.openings:
        return False
    if state.events or state.typed_events:
        return False  # Log lines are written at ticks.
    return not is_changing_over(state)


def needs_every_tick(state: State) -> bool:
    """Return whether all systems run at each tick, whatever their pace."""
    return not state.settings.uses(Policy.REST_TICKS) or is_changing_over(state)


def is_changing_over(state: State) -> bool:
    """Return whether a start, stop, evacuation or change of primary is in progress."""
    if state.coordinations or state.stopping or state.primary_holds:
        return True
    if any(row.done_at is None for row in state.evacuations.values()):
        return True
    if not kind_rows.is_every_kind_listed(state):
        return True
    rows = state.promotions.values()
    return any(promotion_decisions.is_in_progress(row) for row in rows)


def is_ready(state: State) -> bool:
    """Return whether the load balancer should send clients to this instance."""
    is_known = kind_rows.is_every_kind_listed(state) and state.configuration.version > 0
    return is_known and is_copy_fresh(state) and not state.stopping
