"""Latency histograms and their export as metrics."""

import subprocess
import sys

import pytest

from pimentodrift.exposition import metrics_text
from pimentodrift.latencies import MAX_WORKSPACES, Latencies, observe

from .support import make_state


@pytest.mark.parametrize(
    ("seconds", "bound"),
    [(0.0, "0.01"), (0.01, "0.01"), (0.011, "0.025"), (8.0, "8.0"), (9.0, "+Inf")],
)
def test_latency_is_counted_in_its_bucket(seconds: float, bound: str) -> None:
    """Guards against percentiles that are off by one bucket."""
    state = make_state()
    observe("primary", "w", seconds, state.latencies)
    text = metrics_text(state).decode()
    series = 'pimentodrift_statement_seconds_bucket{consistency="primary",le="%s"'
    counts = {
        le: next(line for line in text.splitlines() if line.startswith(series % le))
        for le in ("0.01", "0.025", "8.0", "+Inf")
    }
    assert counts["+Inf"].endswith(" 1.0")
    assert counts[bound].endswith(" 1.0")
    assert bound == "0.01" or counts["0.01"].endswith(" 0.0")
    assert "pimentodrift_statement_seconds_count" in text


def test_number_of_series_is_bounded() -> None:
    """Guards against memory use that grows with the number of workspaces."""
    latencies: Latencies = {}
    for number in range(3 * MAX_WORKSPACES):
        observe("primary", f"w{number}", 0.1, latencies)
        observe("primary", "w0", 0.1, latencies)
    assert len(latencies) == MAX_WORKSPACES + 1
    assert latencies["primary", "other"].counts[3] == 2 * MAX_WORKSPACES


def test_metrics_library_is_not_imported_at_start() -> None:
    """Guards against the library's memory use in processes without metrics requests."""
    code = (
        "import sys; sys.path.insert(0, 'platform'); import adapter.app;"
        "print('prometheus_client' in sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "False"
