"""Computes the limit of a cold endpoint and how long it lasts, without state.

Answers to a database that has just started, gets its usual load at once and therefore
stays slow. The limit is on the statements of any second over all instances.
"""

from datetime import timedelta

from attrs import frozen

from ..clock import CLOCK_DRIFT_FACTOR
from ..rate_windows import Bucket

# Added to the end of the limit: the arrival of what was sent at the end of the cold
# time, and a tick.
END_MARGIN = timedelta(milliseconds=200)
# Statements by which a second stays below the limit: one in flight at either end.
LIMIT_MARGIN = 1.0
# What arrives in one second may have been sent in a longer one, since the delays of the
# instances differ by less than this part of a second.
ARRIVAL_SPREAD = 0.1
WHOLE_STATEMENT = 1.0


@frozen
class ColdLimit:
    """What a group declares about its endpoints after a start.

    `start` is how long an endpoint is slow; `rate` is its statements/s meanwhile.
    """

    start: timedelta
    rate: float

    @property
    def is_limited(self) -> bool:
        """Return whether there is a limit at all."""
        return self.start > timedelta(0) and self.rate > 0


def bucket_for(rate: float, excess: float, slack: float) -> Bucket:
    """Return a bucket that stays below `rate x excess + slack` in any second.

    The clocks of the instances may run fast by `CLOCK_DRIFT_FACTOR`. Where the limit
    is below a whole statement, the bucket admits nothing.
    """
    limit = rate * excess + slack - LIMIT_MARGIN
    span = CLOCK_DRIFT_FACTOR * (1.0 + ARRIVAL_SPREAD)
    burst = limit - rate * span
    if burst >= WHOLE_STATEMENT:
        return Bucket(rate, burst)
    rate = (limit - WHOLE_STATEMENT) / span
    return Bucket(rate, WHOLE_STATEMENT) if rate > 0 else Bucket(0.0, 0.0)


def limited_time(left: timedelta) -> timedelta:
    """Return how long the limit lasts if an endpoint is cold for `left` more."""
    if left <= timedelta(0):
        return timedelta(0)
    return CLOCK_DRIFT_FACTOR * left + END_MARGIN
