"""The copy of a store that lists and watches by kind, and its age."""

from datetime import timedelta

from pimentodrift import session_core, view
from pimentodrift.kind_messages import (
    CheckExpired,
    CheckFailed,
    CheckKind,
    Entry,
    Gone,
    KindChanged,
    KindChecked,
    KindExpired,
    KindFailed,
    KindListed,
    ListKind,
    WatchedKind,
    WatchKind,
)
from pimentodrift.tables import State

from .session_support import SECOND, make_configuration, make_endpoint
from .support import ManualClock, make_state

CONFIGURATION, REGISTRY, OWN = (
    WatchedKind.CONFIGURATION,
    WatchedKind.REGISTRY,
    WatchedKind.OWN,
)


def started() -> tuple[State, ManualClock]:
    """Return an instance whose first lists were answered."""
    state = make_state()
    clock = state.clock
    assert isinstance(clock, ManualClock)
    clock.advance(SECOND)
    tick(state)
    entry = Entry("main", 5, make_configuration())
    tell(state, KindListed(CONFIGURATION, (entry,), 9, False))
    tell(state, KindListed(REGISTRY, (), 9, False))
    tell(state, KindListed(OWN, (), 9, False))
    return state, clock


def tick(state: State) -> list[object]:
    session_core.tick(state)
    return session_core.take_outbox(state)


def tell(state: State, message: object) -> None:
    session_core.handle(message, state)


def test_age_counts_from_the_sending() -> None:
    """Guards against an answer that waited in a buffer and confirms the past."""
    state, clock = started()
    assert view.copy_age(state) == timedelta(0)
    asked = [message for message in tick(state) if isinstance(message, CheckKind)]
    assert len(asked) == 1
    clock.advance(2 * SECOND)
    tell(state, KindChecked(CONFIGURATION, (), 9))
    assert view.copy_age(state) == 2 * SECOND


def test_own_objects_are_confirmed_by_the_same_check() -> None:
    """Guards against a second call when nothing in the store has changed."""
    state, clock = started()
    tick(state)
    clock.advance(SECOND / 2)
    tell(state, KindChecked(CONFIGURATION, (), 9))
    assert not any(isinstance(m, CheckKind) for m in tick(state))


def test_own_objects_are_asked_for_when_the_store_has_changed() -> None:
    """Guards against an allocator that does not learn that it was replaced."""
    state, clock = started()
    tick(state)
    clock.advance(SECOND / 2)
    tell(state, KindChecked(CONFIGURATION, (), 12))
    assert view.copy_age(state) == SECOND / 2
    checks = [message for message in tick(state) if isinstance(message, CheckKind)]
    assert [message.kind for message in checks] == [OWN]
    tell(state, KindChecked(OWN, (), 12))
    assert view.copy_age(state) == timedelta(0)


def test_failed_check_confirms_nothing() -> None:
    """Guards against an instance that takes an error for news."""
    state, clock = started()
    tick(state)
    clock.advance(4 * SECOND)
    tell(state, CheckFailed(CONFIGURATION, "status 503"))
    assert not view.is_copy_fresh(state)
    names = [type(event).__name__ for event in state.typed_events]
    assert names.count("CheckLost") == 1


def test_lost_history_is_listed_again() -> None:
    """Guards against changes that fell into the gap of a dropped history."""
    state, clock = started()
    tell(state, KindChanged(REGISTRY, (Entry("e1", 10, make_endpoint()),), 10))
    tick(state)
    tell(state, KindExpired(REGISTRY))
    clock.advance(SECOND)
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert [message.kind for message in asked] == [REGISTRY]
    tell(state, KindListed(REGISTRY, (), 20, False))
    assert state.registry["e1"].missing_since == clock.time


def test_check_that_meets_a_dropped_history() -> None:
    """Guards against a configuration that ages while a watch waits for nothing."""
    state, clock = started()
    tick(state)
    tell(state, CheckExpired(CONFIGURATION))
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert [message.kind for message in asked] == [CONFIGURATION]
    clock.advance(SECOND)
    entry = Entry("main", 30, make_configuration(2))
    tell(state, KindListed(CONFIGURATION, (entry,), 30, False))
    assert state.configuration.version == 2
    assert view.copy_age(state) <= SECOND


def test_list_in_parts() -> None:
    """Guards against objects that fall between the parts of a list."""
    state = make_state()
    tick(state)
    first = Entry("e1", 3, make_endpoint())
    second = Entry("e2", 4, make_endpoint(address="10.0.0.2:1"))
    tell(state, KindListed(REGISTRY, (first,), 10, True))
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert ListKind(REGISTRY, "e1") in asked
    tell(state, KindListed(REGISTRY, (second,), 12, False))
    assert set(state.registry) == {"e1", "e2"}
    watches = [message for message in tick(state) if isinstance(message, WatchKind)]
    assert watches[0].revision == 10


def test_late_change_does_not_revert() -> None:
    """Guards against an old entry that arrives after a newer one."""
    state, _ = started()
    new = make_endpoint(is_leaving=True)
    tell(state, KindChanged(REGISTRY, (Entry("e1", 20, new),), 20))
    tell(state, KindChanged(REGISTRY, (Entry("e1", 19, make_endpoint()),), 19))
    tell(state, KindChanged(REGISTRY, (Entry("e1", 19, Gone()),), 19))
    assert state.registry["e1"].entry.is_leaving
    assert state.registry["e1"].missing_since is None


def test_failures_are_retried_with_a_pause() -> None:
    """Guards against a herd of calls on a store that is down."""
    state, clock = started()
    tick(state)
    tell(state, KindFailed(REGISTRY, "status 503"))
    assert not any(isinstance(message, WatchKind) for message in tick(state))
    clock.advance(SECOND)
    assert any(isinstance(message, WatchKind) for message in tick(state))


def test_changes_in_quick_succession_share_an_answer() -> None:
    """Guards against a call of every instance for each change of many at a start."""
    state, clock = started()
    watches = 0
    for number in range(50):
        watches += sum(
            isinstance(message, WatchKind) and message.kind is REGISTRY
            for message in tick(state)
        )
        if state.kinds[REGISTRY].sent_at is not None:
            entry = Entry(f"e{number}", 10 + number, make_endpoint())
            tell(state, KindChanged(REGISTRY, (entry,), 10 + number))
        clock.advance(session_core.TICK)
    assert watches <= 4


def test_change_after_a_rest_is_told_at_once() -> None:
    """Guards against a new primary that is learned late."""
    state, clock = started()
    tick(state)
    clock.advance(SECOND)
    tell(state, KindChanged(REGISTRY, (), 10))
    assert [m for m in tick(state) if isinstance(m, WatchKind) and m.kind is REGISTRY]
