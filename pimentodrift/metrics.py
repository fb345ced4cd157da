"""Sends counters and gauges to statsd over UDP; a lost packet loses one interval."""

from collections import Counter

import attrs
from statsd import StatsClient

from .tables import State

PERIOD_S = 10.0
PREFIX = "pimentodrift"


class Metrics:
    """The statsd client of an instance."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.sent: Counter[str] = Counter()
        host, _, port = state.settings.statsd.rpartition(":")
        # A dot in the name would add a level to the metric's path.
        name = state.settings.name.replace(".", "_")
        self.client = StatsClient(
            host.strip("[]"),
            int(port),
            prefix=f"{PREFIX}.{name}",
            ipv6=host.startswith("["),
        )

    def send(self, gauges: dict[str, int]) -> None:
        """Send what was counted since the last call, and the gauges as they are."""
        with self.client.pipeline() as pipeline:
            for name, value in self.state.counters.items():
                delta = value - self.sent[name]
                if delta:
                    pipeline.incr(name, delta)
                    self.sent[name] = value
            for name, value in {**table_sizes(self.state), **gauges}.items():
                pipeline.gauge(name, value)


def table_sizes(state: State) -> dict[str, int]:
    """Return the number of rows of each table."""
    values = ((item.name, getattr(state, item.name)) for item in attrs.fields(State))
    return {
        f"rows.{name}": len(value)
        for name, value in values
        if isinstance(value, dict) and not isinstance(value, Counter)
    }
