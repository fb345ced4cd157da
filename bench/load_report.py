"""Counts and latencies of a load run and their JSON form."""

from collections import Counter
from typing import Any

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from .load_sessions import Answer, Outcome, Violations

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)


def make_histogram() -> Any:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@frozen
class FinishedRequest:
    """One finished request; times are in seconds since the start of the run."""

    workspace: str
    group: str
    access: str
    due_at: float  # The intended time of sending.
    ended_at: float


@define
class WorkspaceCounts:
    """Numbers of requests of one workspace."""

    offered: int = 0  # Arrivals, sent or not.
    ran: int = 0
    # Arrivals that the tool dropped because its own backlog was full.
    not_sent: int = 0
    ends: Counter[str] = field(factory=Counter)  # By HTTP status and label.


@define
class WriteGap:
    """A group's longest time without an acknowledged write.

    Times are in seconds since the start of the run.
    """

    last_at: float  # The last acknowledgment.
    longest_s: float = 0
    longest_began_at: float = 0  # Seconds since the start.

    def record_write(self, now: float) -> None:
        """Record an acknowledged write."""
        if now - self.last_at > self.longest_s:
            self.longest_s = now - self.last_at
            self.longest_began_at = self.last_at
        self.last_at = now


@define
class Report:
    """All results of a run; times are in seconds since its start."""

    workspaces: dict[str, WorkspaceCounts] = field(factory=dict)
    # Histograms by "access outcome", from the intended time of sending to the answer.
    latencies: dict[str, Any] = field(factory=dict)
    gaps: dict[str, WriteGap] = field(factory=dict)  # By group.
    violations: Violations = field(factory=Violations)
    unverified_sessions: int = 0  # Sessions whose rows could not be read at the end.
    duration_s: float = 0

    def counts(self, workspace: str) -> WorkspaceCounts:
        """Return the counts of a workspace; add them if there are none yet."""
        return self.workspaces.setdefault(workspace, WorkspaceCounts())

    def record(self, request: FinishedRequest, answer: Answer) -> None:
        """Record the answer and the latency of one request."""
        counts = self.counts(request.workspace)
        counts.ends[f"{answer.status} {answer.label}"] += 1
        name = f"{request.access} {answer.outcome}"
        latencies = self.latencies.setdefault(name, make_histogram())
        latencies.record_value(
            max(1, int((request.ended_at - request.due_at) * 1_000_000))
        )
        if answer.outcome is not Outcome.RAN:
            return
        counts.ran += 1
        if request.access == "write":
            gap = self.gaps.setdefault(request.group, WriteGap(request.ended_at))
            gap.record_write(request.ended_at)

    def close(self, duration_s: float) -> None:
        """End the run; the time since a group's last write counts as a gap too."""
        self.duration_s = duration_s
        for gap in self.gaps.values():
            gap.record_write(duration_s)

    def as_json(self) -> dict[str, Any]:
        """Return the report as values for JSON."""
        ends: Counter[str] = Counter()
        for counts in self.workspaces.values():
            ends += counts.ends
        return {
            "duration_s": round(self.duration_s, 3),
            "requests": sum(ends.values()),
            "ends": dict(ends.most_common()),
            "latency_ms": {
                name: summarize_latencies(item)
                for name, item in sorted(self.latencies.items())
            },
            "workspaces": {
                name: {
                    "offered": counts.offered,
                    "ran": counts.ran,
                    "not_sent": counts.not_sent,
                    "ends": dict(counts.ends.most_common()),
                }
                for name, counts in sorted(self.workspaces.items())
            },
            "longest_write_gap": {
                group: {
                    "ms": round(gap.longest_s * 1000, 1),
                    "began_at_s": round(gap.longest_began_at, 3),
                }
                for group, gap in sorted(self.gaps.items())
            },
            "violations": dict(self.violations.counts),
            "violation_details": self.violations.details,
            "unverified_sessions": self.unverified_sessions,
        }


def summarize_latencies(latencies: Any) -> dict[str, float]:
    """Return a histogram's count, and its percentiles and maximum in milliseconds."""
    result = {"count": latencies.get_total_count()}
    for percentile in PERCENTILES:
        value = latencies.get_value_at_percentile(percentile)
        result[f"p{percentile}"] = round(value / 1000, 3)
    result["max"] = round(latencies.get_max_value() / 1000, 3)
    return result
