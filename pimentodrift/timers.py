"""Timers of the event loop; the poller runs the due ones between two polls."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from time import monotonic

from attrs import define, field

# The poller runs for at most this long inside one circuits event; queued circuits
# events, such as signals, end the time slice earlier. With 20 ms, an idle instance took
# 1.1% of a core instead of 0.6%.
TIME_SLICE_S = 1.0


@define(order=False, eq=False)
class Timer:
    """A callback that is called once unless cancelled before."""

    callback: Callable[[], None] | None

    def cancel(self) -> None:
        """Make sure that the callback is not called any more."""
        self.callback = None


@define(eq=False)
class Timers:
    """Schedules callbacks by monotonic time in seconds."""

    heap: list[tuple[float, int, Timer]] = field(factory=list)
    sequence: "count[int]" = field(factory=count)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Call a function once after a delay."""
        timer = Timer(callback)
        heappush(self.heap, (monotonic() + delay_s, next(self.sequence), timer))
        return timer

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Call a function periodically; a late call does not delay the next one."""
        due = monotonic() + period_s

        def run_and_reschedule() -> None:
            nonlocal due
            due = max(due + period_s, monotonic())
            heappush(self.heap, (due, next(self.sequence), Timer(run_and_reschedule)))
            callback()

        heappush(self.heap, (due, next(self.sequence), Timer(run_and_reschedule)))

    def run_due(self, now: float) -> float:
        """Call what is due and return the time at which the next timer is due."""
        heap = self.heap
        while heap and heap[0][0] <= now:
            timer = heappop(heap)[2]
            if timer.callback is not None:
                timer.callback()
        return heap[0][0] if heap else now + TIME_SLICE_S
