"""Converts a limit per time window into a token bucket that makes full use of it.

If a workspace may run `rate x window + burst` operations in any window, a bucket with
that rate and burst would admit only `rate` from a workspace that constantly sends too
much. So a part of the burst is spread evenly over the window, as additional rate.
"""

from datetime import timedelta

from attrs import frozen

# Part of the burst that stays available at once.
KEPT_BURST_FRACTION = 0.4
# Requests; a burst up to this stays available at once as a whole, because several
# instances share it. If all of it had to be at one instance, the workspace would get
# nothing for seconds after the loss of that instance.
MIN_KEPT_BURST = 10.0
UNDIVIDED_KEPT_BURST = 5.0  # The same if it is not to be divided.


@frozen
class Bucket:
    """A token bucket that refills at `rate` tokens a second, up to `burst` tokens."""

    rate: float
    burst: float


def bucket_for(
    rate: float, burst: float, window: timedelta, min_kept: float = MIN_KEPT_BURST
) -> Bucket:
    """Return a bucket that never admits more than the limit in any window.

    A burst up to `min_kept` is kept. If `window` is zero, the bucket has the given rate
    and burst.
    """
    if window <= timedelta(0):
        return Bucket(rate, burst)
    kept = max(burst * KEPT_BURST_FRACTION, min(burst, min_kept))
    return Bucket(rate + (burst - kept) / window.total_seconds(), kept)
