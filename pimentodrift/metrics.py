"""Sends counters and gauges to statsd over UDP.

A lost packet loses the counts of one interval.
"""

from collections import Counter

import attrs
from statsd import StatsClient

from .tables import State

SEND_INTERVAL_S = 10.0
PREFIX = "pimentodrift"


class Metrics:
    """Sends the metrics of an instance to statsd."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent_totals: Counter[str] = Counter()
        host, _, port = state.settings.statsd.rpartition(":")
        # A dot in the instance's name would add a level to the metric's path.
        name = state.settings.name.replace(".", "_")
        self.client = StatsClient(
            host.strip("[]"),
            int(port),
            prefix=f"{PREFIX}.{name}",
            ipv6=host.startswith("["),
        )

    def send(self, gauges: dict[str, int]) -> None:
        """Send the increase of each counter since the last call and all gauges."""
        with self.client.pipeline() as pipeline:
            for name, value in self.state.counters.items():
                delta = value - self.sent_totals[name]
                if delta:
                    pipeline.incr(name, delta)
                    self.sent_totals[name] = value
            for name, value in {**table_sizes(self.state), **gauges}.items():
                pipeline.gauge(name, value)


def table_sizes(state: State) -> dict[str, int]:
    """Return the number of rows of each table in the state, as gauges."""
    values = ((item.name, getattr(state, item.name)) for item in attrs.fields(State))
    return {
        f"rows.{name}": len(value)
        for name, value in values
        if isinstance(value, dict) and not isinstance(value, Counter)
    }
