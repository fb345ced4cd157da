"""A clock that tests set and an empty state of the core."""

from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from attrs import define, field

from pimentodrift.settings import Settings
from pimentodrift.tables import State


@define
class ManualClock:
    """A clock that stands still until a test advances it."""

    time: timedelta = timedelta(0)
    origin: datetime = field(default=datetime(2026, 1, 1, tzinfo=UTC))

    def now(self) -> datetime:
        return self.origin + self.time

    def monotonic(self) -> timedelta:
        return self.time

    def advance(self, step: timedelta) -> None:
        self.time += step


def make_state(name: str = "a", region: str = "r1", **changes: Any) -> State:
    settings = Settings(
        name=name,
        region=region,
        data_centre=f"{region}-1",
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        platform="http://127.0.0.1:1",
        **changes,
    )
    return State(settings, ManualClock(), Random(1))
