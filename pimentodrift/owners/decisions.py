"""Decides where endpoints have owners and when an owner counts as silent.

Answers to fleets with more instances than an endpoint accepts connections: a pool at
each instance, divided by workspace, would almost never use a connection twice.
"""

from datetime import timedelta
from enum import StrEnum

# Below this many connections for each instance, an endpoint has an owner.
SCARCE_PER_INSTANCE = 1.5
# An answer is overdue this long after the expected time of its statement.
OVERDUE_AFTER = timedelta(milliseconds=200)
# An owner that leaves a ping unanswered for this long counts as lost.
PING_TIMEOUT = timedelta(milliseconds=400)
# Part of a connection limit that the owner leaves to the probes of other instances and
# to an instance that also believes to own the endpoint.
RESERVED_FRACTION = 0.125


class EndpointOwners(StrEnum):
    """The values of the setting `endpoint_owners`."""

    AUTO = "auto"  # For endpoints with scarce connections.
    NEVER = "never"
    ALWAYS = "always"


def needs_owner(mode: EndpointOwners, connections: int, instances: int) -> bool:
    """Return whether an endpoint with a connection limit has an owner."""
    if mode is EndpointOwners.AUTO:
        return connections < SCARCE_PER_INSTANCE * instances
    return mode is EndpointOwners.ALWAYS


def owner_limit(connections: int) -> int:
    """Return how many of an endpoint's connections its owner may open."""
    return max(1, connections - max(1, round(connections * RESERVED_FRACTION)))


def is_overdue(waited: timedelta, expected: timedelta) -> bool:
    """Return whether an answer takes so long that its owner is pinged."""
    return waited > expected + OVERDUE_AFTER
