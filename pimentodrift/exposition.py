"""Formats counters, table sizes and latency histograms for Prometheus.

Counters and histograms are those in the core's state, so that the dump, the log and the
metrics agree. The module is imported at the first request for the metrics, because the
Prometheus library takes memory that many instances never need.
"""

from collections.abc import Iterator
from itertools import accumulate

from attrs import frozen
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from .latencies import BUCKETS
from .tables import State

TABLES = ("sessions", "operations", "pooled", "registry", "instances")
BUCKET_BOUNDS = (*map(str, BUCKETS), "+Inf")


@frozen(eq=False)
class CoreCollector(Collector):
    """Reads counters, table sizes and histograms from the state at each collection."""

    state: State

    def collect(
        self,
    ) -> Iterator[CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily]:
        """Yield the metric families."""
        events = CounterMetricFamily(
            "pimentodrift_events", "What the instance has counted.", labels=["name"]
        )
        for name, value in self.state.counters.items():
            events.add_metric([name], value)
        yield events
        sizes = GaugeMetricFamily(
            "pimentodrift_rows", "Rows that the instance keeps.", labels=["table"]
        )
        for name in TABLES:
            sizes.add_metric([name], len(getattr(self.state, name)))
        yield sizes
        yield self.latencies()

    def latencies(self) -> HistogramMetricFamily:
        """Return the latency histograms of statements."""
        family = HistogramMetricFamily(
            "pimentodrift_statement_seconds",
            "Time from a statement's arrival to its answer.",
            labels=["consistency", "workspace"],
        )
        for labels, row in self.state.latencies.items():
            buckets = list(zip(BUCKET_BOUNDS, accumulate(row.counts), strict=True))
            family.add_metric(list(labels), buckets, row.total_s)
        return family


def metrics_text(state: State) -> bytes:
    """Return the metrics of an instance in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(CoreCollector(state))
    return generate_latest(registry)
