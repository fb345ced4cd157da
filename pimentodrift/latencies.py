"""Histograms of statement latency, kept without a metrics library.

The library costs memory and time at start, so `exposition`, which needs it, is imported
only when metrics are requested.
"""

from bisect import bisect_left

from attrs import define, field

# Upper bounds in seconds, chosen around the latency objectives of 0.4 to 1 s and the
# timeouts of statements.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)
# Bounds the metric series: each workspace has one histogram for each consistency.
MAX_WORKSPACES = 100
OTHER_WORKSPACES = "other"  # Counts the workspaces beyond the limit together.


def empty_counts() -> list[int]:
    """Return the counts of an empty histogram; the last is for longer times."""
    return [0] * (len(BUCKETS) + 1)


@define
class LatencyRow:
    """The latency histogram of one consistency and workspace."""

    counts: list[int] = field(factory=empty_counts)
    total_s: float = 0.0


Latencies = dict[tuple[str, str], LatencyRow]  # By consistency and workspace.


def observe(
    consistency: str, workspace: str, seconds: float, latencies: Latencies
) -> None:
    """Count a latency for its workspace, or for OTHER_WORKSPACES beyond the limit."""
    row = latencies.get((consistency, workspace))
    if row is None:
        known = {name for _, name in latencies} - {OTHER_WORKSPACES}
        if workspace not in known and len(known) >= MAX_WORKSPACES:
            workspace = OTHER_WORKSPACES
        row = latencies.setdefault((consistency, workspace), LatencyRow())
    row.counts[bisect_left(BUCKETS, seconds)] += 1
    row.total_s += seconds
