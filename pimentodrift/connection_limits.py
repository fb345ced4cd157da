"""Decides how many connections an instance may have at an endpoint.

Answers to loads on which the instances together want more connections than the endpoint
accepts, as when all clients return after an outage. An instance may exceed its fair
share while others leave theirs unused. One that was refused a connection keeps to its
share for a while, and comes back as soon as a connection may have been closed.
"""

from datetime import timedelta

# An instance may open this many times its fair share of an endpoint's connections, and
# one more.
MAX_SHARE_FACTOR = 2
MIN_CONNECTION_LIMIT = 2  # One for a transaction and one for a statement beside it.
# How long after a refusal's backoff the fair share binds.
CROWDED_PERIOD = timedelta(seconds=1)
# Until the next attempt after a refusal: short enough for several in the time that a
# statement may wait, and doubled with each refusal in a row, so that a large fleet does
# not keep the endpoint busy with refusals.
FIRST_BACKOFF = timedelta(milliseconds=40)
MAX_BACKOFF = timedelta(milliseconds=150)
MAX_DOUBLINGS = 4  # More than the longest backoff needs.


def fair_share(accepted: int, instances: int) -> int:
    """Return an instance's share of the connections that an endpoint accepts."""
    return max(1, accepted // max(1, instances))


def connection_limit(share: int, is_crowded: bool) -> int:
    """Return how many connections an instance may have, given its fair share."""
    limit = share if is_crowded else MAX_SHARE_FACTOR * share + 1
    return max(MIN_CONNECTION_LIMIT, limit)


def is_crowded(since_backoff: timedelta) -> bool:
    """Return whether a refusal shows that the instances compete, by its age.

    The age counts from the end of the backoff, and is negative before it.
    """
    return since_backoff <= CROWDED_PERIOD


def backoff(refusals: int) -> timedelta:
    """Return the time until the next attempt after a number of refusals in a row."""
    doublings = min(refusals - 1, MAX_DOUBLINGS)
    return min(FIRST_BACKOFF * (1 << doublings), MAX_BACKOFF)
