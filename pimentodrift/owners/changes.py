"""Logs which endpoints this instance begins or ceases to own."""

from datetime import timedelta

from ..log_events import EndpointGivenUp, EndpointOwned
from ..tables import State
from . import ownership

CHECK_INTERVAL = timedelta(milliseconds=500)


def run(state: State) -> None:
    """Log the changes since the last check, and forget owners that are gone."""
    now = state.clock.monotonic()
    if now - state.owned_checked_at < CHECK_INTERVAL:
        return
    state.owned_checked_at = now
    for endpoint in state.registry.keys() | state.owned:
        owner = ownership.owner_of(endpoint, state)
        is_owner = owner == state.settings.name
        if is_owner and endpoint not in state.owned:
            state.owned.add(endpoint)
            state.counters["owners.taken"] += 1
            state.log_event(EndpointOwned(endpoint))
        elif not is_owner and endpoint in state.owned:
            state.owned.discard(endpoint)
            state.counters["owners.given_up"] += 1
            state.log_event(EndpointGivenUp(endpoint, owner))
    for name in state.owners.keys() - state.instances.keys():
        del state.owners[name]
