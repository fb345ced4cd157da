"""How often the shell runs the core's tick."""

from datetime import timedelta

from attrs import define

from pimentodrift import promotion_decisions, session_core
from pimentodrift.tables import State
from pimentodrift.ticks import REST_TICK, TICK

from .session_support import (
    GROUP,
    SECOND,
    WRITE,
    make_harness,
)
from .shell_support import StubCore, running


@define(eq=False)
class CountingCore(StubCore):
    """Counts its ticks; a message ends its rest."""

    ticks: int = 0
    is_at_rest: bool = True

    def handle(self, message: object, state: State) -> None:
        self.is_at_rest = False

    def tick(self, state: State) -> None:
        self.ticks += 1

    def tick_interval(self, state: State) -> timedelta:
        return timedelta(minutes=1) if self.is_at_rest else TICK


def test_message_ends_the_rest() -> None:
    """Guards against a statement that waits for the end of a long interval."""
    with running() as rig:
        core = CountingCore()
        rig.shell.core = core
        rig.until(lambda: core.ticks)
        for _ in range(20):
            rig.step()
        assert core.ticks == 1
        rig.shell.deliver_all(["message"])
        rig.until(lambda: core.ticks >= 3)


def test_error_does_not_end_the_ticks() -> None:
    """Guards against an instance whose ticks end with one error of the core."""

    class FailingCore(CountingCore):
        def tick_interval(self, state: State) -> timedelta:
            raise RuntimeError("a fault of the core")

    with running() as rig:
        core = FailingCore()
        rig.shell.core = core
        rig.until(lambda: core.ticks >= 3)
        assert rig.state.counters["shell.errors"] >= 1


def test_rest_of_an_instance() -> None:
    """Guards against ticks that are wasted at rest, or missing when one is awaited."""
    harness = make_harness()
    state = harness.state
    harness.run(SECOND)
    state.events.clear()
    state.typed_events.clear()
    assert session_core.tick_interval(state) == REST_TICK
    harness.holds_statements = True
    harness.send(harness.open_session("own-db"), WRITE)
    assert session_core.tick_interval(state) == TICK
    harness.answer_held()
    state.typed_events.clear()
    assert session_core.tick_interval(state) == REST_TICK
    state.events.append(("event", {}))
    assert session_core.tick_interval(state) == TICK
    state.events.clear()
    promotion_decisions.promotion_row(GROUP, state).askers.add("b")
    assert session_core.tick_interval(state) == TICK
