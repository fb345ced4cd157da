"""Attributes the worth that a played day lost to causes.

The report counts by window how the requests ended that were first sent in it; the
instances' logs tell why. A request that was refused or sent in vain and served at a
later attempt is late, so late requests are attributed to the refusals of their window
as well as to the waits of late statements.
"""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol

from attrs import define, field, frozen

WINDOW_S = 2.0
# Clients repeat a refused request for so long, so that its last refusal may be logged
# this much after its window.
REPEAT_TIME_S = 2.0
NO_INSTANCE = "no instance runs"
UNKNOWN = "not attributed"
REFUSAL_EVENTS = ("statement_refused", "session_refused", "statement_denied")
# Faults of requests that the configuration does not allow, so no answer is owed.
FORBIDDEN_FAULTS = ("key-invalid", "database-unknown")
LATE_EVENT = "statement_late"
STARTED_EVENT = "started"
LEFT_OUT_EVENT = "lines_left_out"
ENDPOINT_NAME = re.compile(r"\bi-[0-9a-f]+\b")


class Line(Protocol):
    """An event of an instance's log."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, object]


class Window(Protocol):
    """How the requests of a window ended."""

    name: str
    late: int
    refused: int
    failed: int
    earned: float

    @property
    def owed(self) -> int:
        """Return the number of requests that were owed an answer."""


@frozen
class Silence:
    """A time in which no instance logged that it ran, before all of them started."""

    start_s: float
    end_s: float


@define
class DayLog:
    """What the logs tell of a day, by time."""

    refusals: list[tuple[float, str]] = field(factory=list)
    waits: list[tuple[float, str]] = field(factory=list)
    last_lines: dict[str, float] = field(factory=dict)
    silences: list[Silence] = field(factory=list)
    by_workspace: Counter[str] = field(factory=Counter)

    def add(self, line: Line) -> None:
        """Count an event."""
        if line.event == STARTED_EVENT:
            self.add_start(line)
        self.last_lines[line.instance] = line.at_s
        if line.event in REFUSAL_EVENTS:
            if line.fields.get("fault") in FORBIDDEN_FAULTS:
                return
            detail = str(line.fields.get("detail", ""))
            self.refusals.append((line.at_s, ENDPOINT_NAME.sub("the endpoint", detail)))
            self.by_workspace[str(line.fields.get("workspace", ""))] += 1
        elif line.event == LATE_EVENT:
            stage = line.fields.get("longest_stage", line.fields.get("stage", ""))
            self.waits.append((line.at_s, f"late in stage {stage}"))

    def add_start(self, line: Line) -> None:
        """Record since when no instance ran, if this is the first one that starts."""
        newest = max(self.last_lines.values(), default=line.at_s)
        if line.instance in self.last_lines and newest < line.at_s:
            self.silences.append(Silence(newest, line.at_s))


def read_day_log(lines: Iterable[Line]) -> DayLog:
    """Return what the lines of all instances tell, in the order of their times."""
    log = DayLog()
    for line in sorted(lines, key=lambda item: item.at_s):
        log.add(line)
    return log


def silent_fraction(start_s: float, silences: Sequence[Silence]) -> float:
    """Return the part of a window in which no instance ran."""
    overlaps = (
        min(item.end_s, start_s + WINDOW_S) - max(item.start_s, start_s)
        for item in silences
    )
    return min(1.0, sum(max(0.0, overlap) for overlap in overlaps) / WINDOW_S)


def causes_between(
    start_s: float, end_s: float, events: Iterable[tuple[float, str]]
) -> Counter[str]:
    """Count the causes logged in a span of time."""
    return Counter(cause for at, cause in events if start_s <= at < end_s)


def divide(amount: float, causes: Counter[str], result: Counter[str]) -> None:
    """Add an amount to causes in proportion to their counts."""
    total = causes.total()
    if not total:
        result[UNKNOWN] += amount
        return
    for cause, count in causes.items():
        result[cause] += amount * count / total


def window_losses(window: Window, log: DayLog) -> Counter[str]:
    """Return the lost part of a window's worth by cause; the sum is 1 - earned."""
    start = float(window.name)
    end = start + WINDOW_S + REPEAT_TIME_S
    result: Counter[str] = Counter()
    lost = 1.0 - window.earned
    if not window.owed or lost <= 0:
        return result
    silent = lost * silent_fraction(start, log.silences)
    if silent:
        result[NO_INSTANCE] += silent
    counts = {"refused": window.refused, "failed": window.failed, "late": window.late}
    # What a late answer loses depends on its kind; the rest of the loss is theirs.
    unserved = (window.refused + window.failed) / window.owed
    late = max(0.0, lost - unserved) if counts["late"] else 0.0
    refused = lost - late
    refusals = causes_between(start, end, log.refusals)
    waits = causes_between(start, end, log.waits)
    rest = 1.0 - silent / lost
    divide(refused * rest, refusals, result)
    divide(late * rest, refusals + waits, result)
    return result


def day_losses(windows: Sequence[Window], log: DayLog) -> Counter[str]:
    """Return the lost part of the whole day's worth by cause."""
    owed = sum(window.owed for window in windows)
    result: Counter[str] = Counter()
    for window in windows:
        for cause, part in window_losses(window, log).items():
            result[cause] += part * window.owed / owed
    return result
