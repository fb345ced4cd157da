"""The clock that is passed to the decision core, which never reads the time itself."""

from datetime import UTC, datetime, timedelta
from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

MILLISECOND = timedelta(milliseconds=1)
# Allows for clocks that run at different speeds where a lease of another instance ends.
CLOCK_DRIFT_FACTOR = 1.1
# Before any monotonic time; stands for the time of an event that has not happened.
NEVER = timedelta(days=-1)


class Clock(Protocol):
    """A source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> timedelta:
        """Return a time that never goes backwards, from an arbitrary origin."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started, including time it was suspended.

        Otherwise a lease or a confirmation would still seem valid after a suspension.
        """
        return timedelta(seconds=clock_gettime(CLOCK_BOOTTIME))
