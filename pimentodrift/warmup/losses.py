"""Tells other instances of a lost connection, which an endpoint's restart causes.

An instance without a connection to the endpoint would notice the restart only when the
registry shows it. One that has an open connection knows better and ignores the message.
"""

from datetime import timedelta

from .. import peers
from ..dispatch import handle_peer
from ..tables import State
from . import knowledge
from .messages import EndpointLost
from .rows import ColdRow

# An instance that told or heard of a loss tells of no other one for this long, so that
# a restart costs about one message to each instance.
TELL_INTERVAL = timedelta(seconds=1)
# Key of the instance's object by which it says that its build reads the message.
ANNOUNCEMENT = "losses"


def has_limits(state: State) -> bool:
    """Return whether any group limits its cold endpoints."""
    return any(limit.is_limited for limit in state.session_limits.cold.values())


def record_lost_connection(endpoint: str, state: State) -> None:
    """Record the loss of an open connection and tell the other instances."""
    knowledge.record_loss(endpoint, state)
    row = state.cold_endpoints.get(endpoint)
    if row is None or knowledge.limit_of(row.group, state) is None:
        return
    now = state.clock.monotonic()
    if now - row.told_at < TELL_INTERVAL:
        return
    row.told_at = now
    message = EndpointLost(endpoint, row.incarnation)
    for name, instance in state.instances.items():
        if name != state.settings.name and instance.reads_losses:
            state.counters["warmup.told"] += 1
            peers.send(name, message, state)


def has_connection(row: ColdRow, state: State) -> bool:
    """Return whether this instance has an open connection to an endpoint."""
    pool = state.pools.get(row.endpoint)
    numbers = pool.connections if pool is not None else ()
    return any(state.pooled[number].is_open for number in numbers)


@handle_peer.register
def _(message: EndpointLost, sender: str, state: State) -> None:
    row = state.cold_endpoints.get(message.endpoint)
    if row is None or row.incarnation > message.incarnation:
        return  # This instance knows of a later process.
    row.told_at = state.clock.monotonic()
    if not has_connection(row, state):
        knowledge.record_loss(message.endpoint, state)
