"""The decision core: handlers of messages and the systems of each tick.

The shell calls `handle` for each message and `tick` every `TICK`, and then carries
out what `take_outbox` returns. The core performs no input or output.
"""

from collections.abc import Callable

from . import (
    admission,
    allocation,
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
    view,
    work_limits,
)
from .dispatch import handle
from .tables import State
from .ticks import TICK, take_outbox

# In the order of a tick: knowledge first, then the decisions that rest on it.
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
    rates.run,
    routing.run,
    work_limits.run,
    draining.run,
)

__all__ = [
    "SYSTEMS",
    "TICK",
    "admission",
    "connections",  # Imported for their handlers.
    "handle",
    "peers",
    "take_outbox",
    "tick",
]


def tick(state: State) -> None:
    """Run every system once."""
    for system in SYSTEMS:
        system(state)
