"""Timers of the loop; the poller makes their calls between two polls."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from time import monotonic

from attrs import define, field

# The longest time inside one circuits event; queued events, signals among them, end it
# earlier. With 20 ms instead, an idle instance took 1.1% of a core and not 0.6%.
SLICE_S = 1.0


@define(order=False, eq=False)
class Timer:
    """A call at a monotonic time, unless cancelled."""

    call: Callable[[], None] | None

    def cancel(self) -> None:
        """Drop the call."""
        self.call = None


@define(eq=False)
class Timers:
    """Calls at monotonic times (seconds)."""

    heap: list[tuple[float, int, Timer]] = field(factory=list)
    numbers: "count[int]" = field(factory=count)

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Make a call after a delay."""
        timer = Timer(call)
        heappush(self.heap, (monotonic() + delay_s, next(self.numbers), timer))
        return timer

    def call_every(self, period_s: float, call: Callable[[], None]) -> None:
        """Make a call periodically; a late call does not make the next one late."""
        due = monotonic() + period_s

        def run() -> None:
            nonlocal due
            due = max(due + period_s, monotonic())
            heappush(self.heap, (due, next(self.numbers), Timer(run)))
            call()

        heappush(self.heap, (due, next(self.numbers), Timer(run)))

    def run_due(self, now: float) -> float:
        """Make the calls that are due and return the time of the next one."""
        heap = self.heap
        while heap and heap[0][0] <= now:
            timer = heappop(heap)[2]
            if timer.call is not None:
                timer.call()
        return heap[0][0] if heap else now + SLICE_S
