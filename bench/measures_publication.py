"""Measures how long a publication takes until it is in force at every instance.

The time runs from the start of the operator's call to the last instance's event. Each
publication changes every workspace.
"""

from statistics import median
from time import sleep, time
from typing import Any

from . import bounds
from .bounds import Figure
from .measures_system import System

PUBLICATIONS = 10
QUICK_PUBLICATIONS = 3
PAUSE_S = 0.5


def measure(system: System, quick: bool) -> list[Figure]:
    """Return the figure of the longest of several publications."""
    system.publish_and_wait(lambda name, value: None)
    number = QUICK_PUBLICATIONS if quick else PUBLICATIONS
    seconds = [time_publication(system, index) for index in range(number)]
    return [
        Figure(
            "publication in force everywhere, worst",
            max(seconds),
            "s",
            bounds.PUBLICATION,
            f"median {median(seconds):.3f} s of {number}, "
            f"{len(system.proxies)} instances",
            {"seconds": seconds},
        )
    ]


def time_publication(system: System, index: int) -> float:
    """Publish a change; return the seconds until the last instance applied it."""

    def change_burst(name: str, value: dict[str, Any]) -> None:
        value["burst"] += index + 1

    sleep(PAUSE_S)
    started = time()
    publication = system.publish(change_burst)
    return max(system.wait_until_applied(publication)) - started
