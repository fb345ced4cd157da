"""Keeps when each of many rows has to be looked at again.

A tick then costs as much as there is to do, and not as much as there are rows.
"""

from collections.abc import Collection
from datetime import timedelta
from heapq import heappop, heappush

from attrs import define, field


@define(eq=False)
class DueTimes:
    """Names of rows, each with the time at which it is due."""

    at: dict[str, timedelta] = field(factory=dict)
    # Has an entry for each time that was set; those that were replaced are skipped.
    heap: list[tuple[timedelta, str]] = field(factory=list)
    is_all_due: bool = False

    def put(self, name: str, at: timedelta) -> None:
        """Set when a row is due, in place of the time set before."""
        self.at[name] = at
        heappush(self.heap, (at, name))

    def hasten(self, name: str, at: timedelta) -> None:
        """Make a known row due no later than a time."""
        known = self.at.get(name)
        if known is not None and at < known:
            self.put(name, at)

    def hasten_all(self) -> None:
        """Make all rows due."""
        self.is_all_due = True

    def keep_only(self, names: Collection[str], now: timedelta) -> None:
        """Forget rows that are not named; those named for the first time are due."""
        for name in self.at.keys() - set(names):
            del self.at[name]
        for name in names:
            if name not in self.at:
                self.put(name, now)

    def take_due(self, now: timedelta) -> list[str]:
        """Return the due rows; the caller sets the next time of each."""
        if self.is_all_due:
            self.is_all_due = False
            self.heap.clear()
            return list(self.at)
        due: dict[str, None] = {}  # A set that keeps the order.
        while self.heap and self.heap[0][0] <= now:
            at, name = heappop(self.heap)
            if self.at.get(name) == at:
                due[name] = None
        return list(due)
