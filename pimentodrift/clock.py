"""The clock interface that the decision core receives instead of reading time."""

from datetime import UTC, datetime, timedelta
from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

# Before any monotonic time: the time of what has not happened yet.
NEVER = timedelta(days=-1)


class Clock(Protocol):
    """Tell wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> timedelta:
        """Return a time that never goes backwards, from an arbitrary origin."""


class SystemClock:
    """Read the clocks of the operating system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started, suspensions included.

        A lease or a confirmation must not outlive a suspension of the machine.
        """
        return timedelta(seconds=clock_gettime(CLOCK_BOOTTIME))
