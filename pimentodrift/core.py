"""The decision core of the HTTP interface: message handlers and systems of each tick.

The shell calls `handle` for each message and `tick` once every `TICK`, and then
performs what the messages ask that `take_outbox` returns. The core itself does no
input or output. `session_core` has the systems for session connections.
"""

from collections.abc import Callable

from . import (
    admission,
    allocation,
    allocator_spread,
    connections,
    detection,
    draining,
    failover,
    heartbeats,
    membership,
    monitoring,
    peers,
    probes,
    rates,
    replication,
    reservations,
    routing,
    standby_grants,
    view,
    work_limits,
)
from .dispatch import handle
from .evacuation import listed_endpoints
from .tables import State
from .ticks import TICK, take_outbox, tick_interval

# Run in this order at each tick: first those that update what is known about the store,
# the instances and the databases, then those that decide by it.
SYSTEMS: tuple[Callable[[State], None], ...] = (
    view.run,
    membership.run,
    heartbeats.run,
    monitoring.run,
    probes.run,
    detection.run,
    failover.run,
    reservations.run,
    replication.run,
    allocation.run,
    allocator_spread.run,
    rates.run,
    standby_grants.run,
    routing.run,
    work_limits.run,
    listed_endpoints.run,
    draining.run,
)

__all__ = [
    "SYSTEMS",
    "TICK",
    "admission",
    "connections",  # Like `peers`, imported only for its handlers.
    "handle",
    "peers",
    "take_outbox",
    "tick",
    "tick_interval",
]


def tick(state: State) -> None:
    """Run every system once."""
    for system in SYSTEMS:
        system(state)
