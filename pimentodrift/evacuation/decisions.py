"""Decides until when the primary of an evacuated data centre may be used.

The answered load: an operator evacuates a data centre in which primaries serve writes.
The functions have no state and no clock.
"""

from datetime import timedelta

from ..clock import NEVER

# Part of the bound that an instance uses; the rest covers requests that are on their
# way, a tick and the drift of clocks. It is above the configuration lease (0.78 of the
# limit), so that an instance without a confirmed copy stops before its deadline.
BOUND_FRACTION = 0.8
# Transactions are rolled back this long before the deadline.
TRANSACTION_MARGIN = timedelta(milliseconds=250)


def deadline(confirmed_at: timedelta, bound: timedelta) -> timedelta:
    """Return until when a primary may be used, on the clock of `confirmed_at`.

    At `confirmed_at`, the copy was last known to be current without the evacuation, so
    the store acknowledged the evacuation later.
    """
    if confirmed_at == NEVER:
        return NEVER
    return confirmed_at + BOUND_FRACTION * bound
