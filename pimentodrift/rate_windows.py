"""Turns a limit per window of time into the bucket that uses it best.

Where a workspace may run `rate x window + burst` operations in any window, a bucket
with that rate and burst would give a workspace that sends too much only `rate`. A part
of the burst is handed out evenly over the window instead.
"""

from datetime import timedelta

from attrs import frozen

# Part of the burst that stays available at once.
KEPT_PART = 0.4
# Requests of burst that are not worth spreading: several instances share them.
KEPT_REQUESTS = 5.0


@frozen
class Bucket:
    """Tokens that come back at `rate` a second, up to `burst`."""

    rate: float
    burst: float


def bucket_for(rate: float, burst: float, window: timedelta) -> Bucket:
    """Return a bucket that never admits more than the limit in any window.

    Without a window, the limit is the bucket itself.
    """
    if window <= timedelta(0):
        return Bucket(rate, burst)
    kept = max(burst * KEPT_PART, min(burst, KEPT_REQUESTS))
    return Bucket(rate + (burst - kept) / window.total_seconds(), kept)
