"""Keeps the token bucket of each endpoint that may be cold, beside the workspaces.

The rate shares (`rates`, `allocation`) divide such a bucket like that of a workspace:
its sum over all instances is exact whatever fails. The buckets of all endpoints of a
group with a cold time exist all the time, so that every instance agrees on them and an
allocator is in office when an endpoint restarts.
"""

from collections import ChainMap
from collections.abc import Mapping
from datetime import timedelta

from ..log_events import EndpointCold, EndpointWarm
from ..tables import State, WorkspaceRow
from . import knowledge
from .decisions import bucket_for

# Distinguishes the limit of an endpoint from a workspace of its name in the store.
NAME_PREFIX = "cold."
# An endpoint that has been gone from the registry for longer is forgotten.
GONE_LIFETIME = timedelta(minutes=10)
PERCENT = 100.0


def limit_name(endpoint: str) -> str:
    """Return the name of an endpoint's limit."""
    return NAME_PREFIX + endpoint


def all_limits(state: State) -> Mapping[str, WorkspaceRow]:
    """Return the limits of the workspaces and of endpoints, by name."""
    if not state.cold_limits:
        return state.configuration.workspaces
    return ChainMap(state.configuration.workspaces, state.cold_limits)


def limit_named(name: str, state: State) -> WorkspaceRow | None:
    """Return the limit of a workspace or endpoint by its name."""
    return state.configuration.workspaces.get(name) or state.cold_limits.get(name)


def run(state: State) -> None:
    """Update the limits and log which endpoints became cold or warm."""
    if not any(limit.is_limited for limit in state.session_limits.cold.values()):
        state.cold_limits.clear()
        return
    now = state.clock.monotonic()
    for endpoint, row in list(state.cold_endpoints.items()):
        if endpoint in state.registry:
            row.used_at = now
        elif now - row.used_at > GONE_LIFETIME:
            del state.cold_endpoints[endpoint]
            state.cold_limits.pop(limit_name(endpoint), None)
            continue
        update_limit(endpoint, row.group, state)
        is_cold = knowledge.is_cold(endpoint, state)
        if is_cold != row.is_cold:
            row.is_cold = is_cold
            event = EndpointCold if is_cold else EndpointWarm
            state.log_event(event(endpoint, row.group))


def update_limit(endpoint: str, group: str, state: State) -> None:
    """Set the limit of an endpoint to what its group declares."""
    name = limit_name(endpoint)
    declared = knowledge.limit_of(group, state)
    # A workspace of this name would share the bucket's store object.
    if declared is None or name in state.configuration.workspaces:
        state.cold_limits.pop(name, None)
        return
    settings = state.settings
    excess = settings.cold_excess_percent / PERCENT
    bucket = bucket_for(declared.rate, excess, settings.cold_slack)
    if bucket.burst <= 0:
        state.cold_limits.pop(name, None)  # Without a bucket, nothing is sent.
        return
    known = state.cold_limits.get(name)
    if known is None or (known.rate, known.burst) != (bucket.rate, bucket.burst):
        state.cold_limits[name] = WorkspaceRow(name, bucket.rate, bucket.burst)
