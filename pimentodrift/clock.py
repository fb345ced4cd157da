"""The clock interface that the decision core receives instead of reading time."""

from datetime import UTC, datetime, timedelta
from time import monotonic
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
        """Return the operating system's monotonic time."""
        return timedelta(seconds=monotonic())
