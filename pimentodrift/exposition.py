"""Offers counters and latency histograms in the text format of Prometheus.

Counters are those of the core, so that the dump, the log and the metrics agree. The
latency of statements is observed by consistency of the route and workspace; the number
of workspaces with a series of their own is bounded, the rest share one.
"""

from collections import Counter
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from .tables import State

# Series of a workspace: one histogram for each consistency.
MAX_WORKSPACES = 100
OTHER_WORKSPACES = "other"
# Seconds, around the objectives of 0.4 to 1 s and the limits of statements.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0)


class CoreCollector(Collector):
    """Reads the core's counters and sizes when they are asked for."""

    def __init__(self, state: State) -> None:
        self.state = state

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield the families."""
        events = CounterMetricFamily(
            "pimentodrift_events", "What the instance has counted.", labels=["name"]
        )
        for name, value in self.state.counters.items():
            events.add_metric([name], value)
        yield events
        sizes = GaugeMetricFamily(
            "pimentodrift_rows", "Rows that the instance keeps.", labels=["table"]
        )
        for name in ("sessions", "operations", "pooled", "registry", "instances"):
            sizes.add_metric([name], len(getattr(self.state, name)))
        yield sizes


class Exposition:
    """The metrics of an instance."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.registry = CollectorRegistry()
        self.registry.register(CoreCollector(state))
        self.workspaces: set[str] = set()
        self.latency = Histogram(
            "pimentodrift_statement_seconds",
            "Time from a statement's arrival to its answer.",
            ["consistency", "workspace"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def take_latencies(self) -> None:
        """Observe what was answered since the last call."""
        latencies, self.state.latencies = self.state.latencies, Counter()
        for (consistency, workspace, seconds), count in latencies.items():
            series = self.latency.labels(consistency, self.label(workspace))
            for _ in range(count):
                series.observe(seconds)

    def label(self, workspace: str) -> str:
        """Return the label of a workspace, within the bound of series."""
        if len(self.workspaces) < MAX_WORKSPACES:
            self.workspaces.add(workspace)
        return workspace if workspace in self.workspaces else OTHER_WORKSPACES

    def text(self) -> bytes:
        """Return the metrics as text."""
        self.take_latencies()
        return generate_latest(self.registry)
