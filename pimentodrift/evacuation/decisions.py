"""Decides until when the primary of an evacuated data centre may be used.

The answered load: an operator evacuates a data centre in which primaries serve writes.
The functions have no state and no clock.
"""

from datetime import timedelta

from ..clock import NEVER
from ..messages import Position

# Part of the bound that an instance uses; the rest covers requests that are on their
# way, a tick and the drift of clocks. It is above the configuration lease (0.78 of the
# limit), so that an instance without a confirmed copy stops before its deadline.
BOUND_FRACTION = 0.8
# Transactions are rolled back this long before the deadline.
TRANSACTION_MARGIN = timedelta(milliseconds=250)


# --- Planned switchover
# How long the instances' confirmations are waited for, and a replica afterwards.
CONFIRM_TIMEOUT = timedelta(milliseconds=500)
CATCH_UP_TIMEOUT = timedelta(seconds=1)
# Without a message of the coordinator, an instance goes on after this time.
HOLD_LIFETIME = timedelta(milliseconds=1500)
# Between two messages of the coordinator to all instances.
HOLD_INTERVAL = timedelta(milliseconds=200)
# The coordinator counts on a hold for this long after it sent the confirmed message.
# The rest of HOLD_LIFETIME covers the drift of clocks and the call that follows.
CERTAIN_HOLD = timedelta(seconds=1)
# Open transactions may go on for this long after a hold began.
TRANSACTION_GRACE = timedelta(milliseconds=300)
# Time between two positions that are read from an endpoint.
PROBE_INTERVAL = timedelta(milliseconds=150)
# Pause after an attempt that failed: statements were held for up to 1.5 s.
ATTEMPT_PAUSE = timedelta(seconds=1)
# No attempt begins later than this before the primary's deadline.
LONGEST_ATTEMPT = CONFIRM_TIMEOUT + CATCH_UP_TIMEOUT
# Once the primary's deadline has passed at each instance, what was in flight gets this
# long to reach the replicas; then the one with the longest log is promoted.
SETTLE_TIME = timedelta(milliseconds=200)


def force_time(seen_at: timedelta, bound: timedelta) -> timedelta:
    """Return when a replica may be promoted without a planned switchover.

    The store acknowledged the evacuation before `seen_at`, so no instance in touch uses
    the primary any more.
    """
    return seen_at + BOUND_FRACTION * bound + SETTLE_TIME


def is_caught_up(replica: Position | None, primary: Position | None) -> bool:
    """Return whether a replica has the last position of the stopped primary."""
    return replica is not None and primary is not None and replica >= primary


def deadline(confirmed_at: timedelta, bound: timedelta) -> timedelta:
    """Return until when a primary may be used, on the clock of `confirmed_at`.

    At `confirmed_at`, the copy was last known to be current without the evacuation, so
    the store acknowledged the evacuation later.
    """
    if confirmed_at == NEVER:
        return NEVER
    return confirmed_at + BOUND_FRACTION * bound
