"""What is remembered about the results of an endpoint's statements."""

from collections import deque
from datetime import timedelta

from attrs import define, field

from ..clock import NEVER
from .decisions import FLAPS, Reason, Result

MAX_RESULTS = 200  # Bounds memory and the time of a judgement.


@define
class JudgementRow:
    """The results of an endpoint and its ejection, if it is ejected."""

    endpoint: str
    results: deque[Result] = field(factory=lambda: deque(maxlen=MAX_RESULTS))
    # When it began to fail, most recent last.
    outages: deque[timedelta] = field(factory=lambda: deque(maxlen=FLAPS))
    ejected_at: timedelta | None = None  # None while it is in use.
    ejected_until: timedelta = NEVER  # Then it is probed.
    ejections: int = 0  # Ejections since it was healthy for long.
    returned_at: timedelta = NEVER
    probe: int = 0  # The connection that probes it, or 0.
    reason: Reason | None = None  # Also kept for a primary, which isn't ejected.
