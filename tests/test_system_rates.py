"""Requirement 7 on real processes: rate and burst hold over all instances together.

A request is admitted at some time between its sending and its answer. The test checks
windows from the sending of one request to the answer of another, and counts only the
requests that lie inside: each of them was certainly admitted within the window. A
correct system therefore never fails the test, but the test misses an excess that is
smaller than the number of requests admitted during the latency of one request.
"""

import signal
import time
from bisect import insort
from collections.abc import Iterator
from threading import Event, Thread
from typing import Any

import pytest
from attrs import define, field, frozen

from .system_support import OK, Caller, System, running_system, wait_for

WORKSPACE = "customs-desk"
GROUP = "transfers"
RATE = 20  # Requests/s, as examples/kanitli declares.
BURST = 40
# Requests may wait for up to 1.5 s, so offering five times the rate takes many threads.
THREADS_PER_INSTANCE = 36
INTERVAL_S = 0.05
MIN_ANSWERS = 1600


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        yield result


@frozen(order=True)
class AdmittedRequest:
    """The times at which a request that ran was sent and answered, in seconds."""

    sent: float
    answered: float


@define
class Flood:
    """Threads that send reads of one workspace through all instances."""

    system: System
    admitted: list[AdmittedRequest] = field(factory=list)
    problems: list[str] = field(factory=list)
    stopping: Event = field(factory=Event)

    @property
    def answers(self) -> int:
        """Return how many requests were answered."""
        return len(self.admitted) + len(self.problems)

    def run(self, meanwhile: Thread) -> None:
        """Send reads until enough were answered and the other thread has ended."""
        threads = [
            Thread(target=self.send_until_stopped, args=(proxy,), daemon=True)
            for proxy in self.system.proxies
            for _ in range(THREADS_PER_INSTANCE)
        ]
        started = time.monotonic()
        for thread in (*threads, meanwhile):
            thread.start()
        meanwhile.join()
        wait_for(lambda: self.answers >= MIN_ANSWERS and len(self.admitted) > BURST)
        self.stopping.set()
        for thread in threads:
            thread.join()
        print(f"{self.answers / (time.monotonic() - started):.0f} answers/s")

    def send_until_stopped(self, proxy: str) -> None:
        """Send reads until stopped or until the instance has died."""
        caller = Caller(proxy)
        while not self.stopping.wait(INTERVAL_S):
            sent = time.monotonic()
            answer = self.system.run(
                caller, "SELECT 1", group=GROUP, workspace=WORKSPACE
            )
            if answer.status == OK:
                self.admitted.append(AdmittedRequest(sent, time.monotonic()))
            elif answer.status:
                self.problems.append(answer.problem)
            else:
                break
        caller.close()


def worst_excess(admitted: list[AdmittedRequest]) -> float:
    """Return the largest excess of a window over burst + rate x window length."""
    worst = -float(BURST)
    answered: list[float] = []  # Answer times of requests sent since the window began.
    for request in sorted(admitted, reverse=True):
        insort(answered, request.answered)
        for number, end in enumerate(answered, 1):
            worst = max(worst, number - BURST - RATE * (end - request.sent))
    return worst


def test_rate_limit_holds_while_an_instance_dies(system: System) -> None:
    """Guards against shares that are counted twice when they move or are reclaimed."""
    flood = Flood(system)

    def kill_allocator() -> None:
        wait_for(lambda: flood.answers >= MIN_ANSWERS // 3)
        system.signal(allocator(system)["pid"], signal.SIGKILL)

    flood.run(Thread(target=kill_allocator))
    assert flood.problems.count("rate-exceeded") > MIN_ANSWERS // 3
    assert len(flood.admitted) > BURST
    print(f"{len(flood.admitted)} admitted of {flood.answers}")
    print(f"worst window: {worst_excess(flood.admitted):+.1f}")
    assert worst_excess(flood.admitted) <= 0


def allocator(system: System) -> dict[str, Any]:
    """Return the instance that is the allocator of the workspace's rate."""
    holder = system.object("allocator", WORKSPACE)["value"]["holder"]
    return system.instance(holder)
