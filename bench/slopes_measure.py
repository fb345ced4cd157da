"""Measures CPU time and memory at several sizes, for `bench.slopes`.

CPU time is that of this process and memory is what Python allocates, so neither depends
on other processes, apart from effects of caches and clock frequency.
"""

import gc
import tracemalloc
from collections.abc import Callable
from time import process_time
from typing import TypeVar

from attrs import field, frozen

T = TypeVar("T")
MICROSECOND = 1e-6
MIN_CPU_S = 0.02  # More than 1,000 times the resolution of the CPU clock.
# A cost per call that grows less than this over the sizes counts as constant.
FLAT_GROWTH = 1.5
# Cold caches add up to this time to a call in a larger state.
NOISE_US = 30.0
# If the slopes between sizes differ by less than this factor, the cost is a line.
LINE_TOLERANCE = 1.6


@frozen
class Row:
    """One cost at several sizes.

    `expected` is "flat" for an operation whose cost must not depend on the size and
    "line" for one whose cost may be proportional to the size.
    """

    name: str
    unit: str  # Unit of the costs: "us" or "B".
    size_of: str  # What the sizes count, such as "instances".
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    expected: str = field(default="line")

    def slope(self) -> float:
        """Return the cost per unit of size."""
        return (self.costs[-1] - self.costs[0]) / (self.sizes[-1] - self.sizes[0])

    def shape(self) -> str:
        """Return how the cost grows with the size: "flat", "line" or "curve"."""
        first, last = max(self.costs[0], 1e-3), max(self.costs[-1], 1e-3)
        is_noise = self.unit == "us" and last - first < NOISE_US
        if last / first < FLAT_GROWTH or is_noise:
            return "flat"
        slopes = [
            (self.costs[n + 1] - self.costs[n]) / (self.sizes[n + 1] - self.sizes[n])
            for n in range(len(self.sizes) - 1)
        ]
        lowest, highest = min(slopes), max(slopes)
        is_line = lowest > 0 and highest / lowest < LINE_TOLERANCE
        return "line" if is_line else "curve"

    def growth_warning(self) -> str:
        """Return a warning if the cost grows in another way than expected, or ""."""
        shape = self.shape()
        if shape in ("flat", self.expected):
            return ""
        return "SCAN" if self.expected == "flat" else "NOT A LINE"


def cpu_us(call: Callable[[], object]) -> float:
    """Return the average CPU time of a call in microseconds.

    Reading the clock takes a system call, so the clock is read once for many calls.
    """
    gc.collect()
    gc.disable()
    try:
        repeats = 1
        while True:
            began = process_time()
            for _ in range(repeats):
                call()
            spent = process_time() - began
            if spent >= MIN_CPU_S:
                return spent / repeats / MICROSECOND
            repeats *= 2
    finally:
        gc.enable()


def measure_allocation(make: Callable[[], T]) -> tuple[T, int]:
    """Return the result of a call and the bytes that are still allocated after it."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, after - before


def sweep(
    name: str,
    size_of: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
    unit: str = "us",
    expected: str = "line",
) -> Row:
    """Measure a cost at each size and return the row."""
    costs = tuple(cost(size) for size in sizes)
    return Row(name, unit, size_of, sizes, costs, expected)
