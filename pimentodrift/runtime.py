"""What the processes of all kinds of instances share when they start."""

import gc
from random import Random, SystemRandom

from .clock import SystemClock
from .settings import Settings
from .tables import State

SEED_BITS = 64
# JSON readers with floating-point numbers keep integers of up to 53 bits exact.
FIRST_NUMBER_BITS = 52
# With 3,800 connections and 16,000 requests/s, the longest pause was 4 ms, and 26 ms
# with Python's defaults. Reference counting frees the objects of ended requests.
GC_THRESHOLDS = (10_000, 20, 50)


def first_number(random: Random) -> int:
    """Return the number from which a process numbers what it sends.

    Other instances answer by name and number and may not know that the process before
    has ended. An answer to a question of that process must match none of this one.
    """
    return random.getrandbits(FIRST_NUMBER_BITS)


def new_state(settings: Settings) -> State:
    """Return the state of a process that starts."""
    source = SystemRandom()
    random = Random(source.getrandbits(SEED_BITS))
    number = first_number(source)
    return State(settings, SystemClock(), random, next_number=number)


def tune_garbage_collection() -> None:
    """Make full collections rare: each one scans all rows and connections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
