"""The copy of a store that lists and watches its objects by kind, and its age."""

from datetime import timedelta

from pimentodrift import session_core, view
from pimentodrift.clock import MILLISECOND
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
from pimentodrift.kind_watch import CHECK_INTERVAL, RELAY_CHOICE_TIME
from pimentodrift.tables import State

from .session_support import SECOND, make_configuration, make_endpoint
from .support import ManualClock, make_state

CONFIGURATION, REGISTRY, OWN = (
    WatchedKind.CONFIGURATION,
    WatchedKind.REGISTRY,
    WatchedKind.OWN,
)


def listed_state() -> tuple[State, ManualClock]:
    """Return the state and clock of an instance whose first lists were answered."""
    state = make_state()
    clock = state.clock
    assert isinstance(clock, ManualClock)
    clock.advance(SECOND)
    tick(state)
    entry = Entry("main", 5, make_configuration())
    deliver(state, KindListed(CONFIGURATION, (entry,), 9, False))
    deliver(state, KindListed(REGISTRY, (), 9, False))
    deliver(state, KindListed(OWN, (), 9, False))
    return state, clock


def checked_kinds(state: State) -> list[WatchedKind]:
    """Run a tick and return the kinds that it checks."""
    return [item.kind for item in tick(state) if isinstance(item, CheckKind)]


def wait_for_check(state: State, clock: ManualClock) -> None:
    """Wait until the check of the configuration is due, and let it be sent."""
    tick(state)
    clock.advance(CHECK_INTERVAL)
    assert checked_kinds(state) == [CONFIGURATION]


def tick(state: State) -> list[object]:
    session_core.tick(state)
    return session_core.take_outbox(state)


def deliver(state: State, message: object) -> None:
    session_core.handle(message, state)


def test_age_counts_from_the_sending_of_a_check() -> None:
    """Guards against a copy that seems too new after a delayed answer."""
    state, clock = listed_state()
    assert view.copy_age(state) == timedelta(0)
    wait_for_check(state, clock)
    clock.advance(2 * SECOND)
    deliver(state, KindChecked(CONFIGURATION, (), 9))
    assert view.copy_age(state) == 2 * SECOND


def test_check_of_an_unchanged_store_confirms_own_objects() -> None:
    """Guards against a second call although the first showed an unchanged store."""
    state, clock = listed_state()
    wait_for_check(state, clock)
    clock.advance(SECOND / 2)
    deliver(state, KindChecked(CONFIGURATION, (), 9))
    assert checked_kinds(state) == []
    assert view.copy_age(state) == SECOND / 2


def test_own_objects_are_checked_when_the_store_has_changed() -> None:
    """Guards against an allocator that is not told that it was replaced."""
    state, clock = listed_state()
    wait_for_check(state, clock)
    clock.advance(SECOND / 2)
    deliver(state, KindChecked(CONFIGURATION, (), 12))
    assert view.copy_age(state) == CHECK_INTERVAL + SECOND / 2
    assert checked_kinds(state) == [OWN]
    deliver(state, KindChecked(OWN, (), 12))
    assert view.copy_age(state) == timedelta(0)


def test_new_copy_is_not_checked() -> None:
    """Guards against calls that confirm what a list has confirmed a moment ago."""
    state, clock = listed_state()
    assert checked_kinds(state) == []
    clock.advance(CHECK_INTERVAL - 100 * MILLISECOND)
    assert checked_kinds(state) == []
    clock.advance(100 * MILLISECOND)
    assert checked_kinds(state) == [CONFIGURATION]


def test_checks_keep_their_pace_while_the_store_changes() -> None:
    """Guards against checks that start each other for as long as anybody writes.

    Each answer shows a newer store than the copy of the other kind.
    """
    state, clock = listed_state()
    checks: list[WatchedKind] = []
    for revision in range(10, 210):
        for kind in checked_kinds(state):
            checks.append(kind)
            clock.advance(20 * MILLISECOND)
            deliver(state, KindChecked(kind, (), revision))
        clock.advance(20 * MILLISECOND)
        assert view.copy_age(state) <= CHECK_INTERVAL + 100 * MILLISECOND
    rounds = 4 * SECOND / CHECK_INTERVAL
    assert checks.count(CONFIGURATION) <= rounds + 1
    assert checks.count(OWN) <= rounds + 1


def test_failed_check_confirms_nothing() -> None:
    """Guards against an instance that takes an error for a confirmation."""
    state, clock = listed_state()
    wait_for_check(state, clock)
    clock.advance(4 * SECOND)
    deliver(state, CheckFailed(CONFIGURATION, "status 503"))
    assert not view.is_copy_fresh(state)
    names = [type(event).__name__ for event in state.typed_events]
    assert names.count("CheckLost") == 1


def test_kind_is_listed_again_when_its_watch_expires() -> None:
    """Guards against missing the changes that the store has dropped."""
    state, clock = listed_state()
    deliver(state, KindChanged(REGISTRY, (Entry("e1", 10, make_endpoint()),), 10))
    tick(state)
    deliver(state, KindExpired(REGISTRY))
    clock.advance(SECOND)
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert [message.kind for message in asked] == [REGISTRY]
    deliver(state, KindListed(REGISTRY, (), 20, False))
    assert state.registry["e1"].missing_since == clock.time


def test_kind_is_listed_again_when_its_check_expires() -> None:
    """Guards against a stale configuration while the watch in flight cannot succeed."""
    state, clock = listed_state()
    wait_for_check(state, clock)
    deliver(state, CheckExpired(CONFIGURATION))
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert [message.kind for message in asked] == [CONFIGURATION]
    clock.advance(SECOND)
    entry = Entry("main", 30, make_configuration(2))
    deliver(state, KindListed(CONFIGURATION, (entry,), 30, False))
    assert state.configuration.version == 2
    assert view.copy_age(state) <= CHECK_INTERVAL + SECOND


def test_list_in_parts_is_watched_from_its_first_part() -> None:
    """Guards against missing changes made between the parts of a list."""
    state = make_state()
    tick(state)
    first = Entry("e1", 3, make_endpoint())
    second = Entry("e2", 4, make_endpoint(address="10.0.0.2:1"))
    deliver(state, KindListed(REGISTRY, (first,), 10, True))
    asked = [message for message in tick(state) if isinstance(message, ListKind)]
    assert ListKind(REGISTRY, "e1") in asked
    deliver(state, KindListed(REGISTRY, (second,), 12, False))
    assert set(state.registry) == {"e1", "e2"}
    clock = state.clock
    assert isinstance(clock, ManualClock)
    clock.advance(RELAY_CHOICE_TIME)
    watches = [message for message in tick(state) if isinstance(message, WatchKind)]
    assert watches[0].revision == 10


def test_late_change_does_not_revert() -> None:
    """Guards against applying an old entry that arrives after a newer one."""
    state, _ = listed_state()
    new = make_endpoint(is_leaving=True)
    deliver(state, KindChanged(REGISTRY, (Entry("e1", 20, new),), 20))
    deliver(state, KindChanged(REGISTRY, (Entry("e1", 19, make_endpoint()),), 19))
    deliver(state, KindChanged(REGISTRY, (Entry("e1", 19, Gone()),), 19))
    assert state.registry["e1"].entry.is_leaving
    assert state.registry["e1"].missing_since is None


def test_failed_watch_is_retried_after_a_backoff() -> None:
    """Guards against overloading a store that is down with retries."""
    state, clock = listed_state()
    tick(state)
    deliver(state, KindFailed(REGISTRY, "status 503"))
    assert not any(isinstance(message, WatchKind) for message in tick(state))
    clock.advance(SECOND)
    assert any(isinstance(message, WatchKind) for message in tick(state))


def test_changes_in_quick_succession_share_an_answer() -> None:
    """Guards against a call for each change when many databases start at once."""
    state, clock = listed_state()
    watches = 0
    for number in range(50):
        watches += sum(
            isinstance(message, WatchKind) and message.kind is REGISTRY
            for message in tick(state)
        )
        if state.kinds[REGISTRY].sent_at is not None:
            entry = Entry(f"e{number}", 10 + number, make_endpoint())
            deliver(state, KindChanged(REGISTRY, (entry,), 10 + number))
        clock.advance(session_core.TICK)
    assert watches <= 4


def test_next_watch_is_sent_at_once_after_a_quiet_period() -> None:
    """Guards against a delay before the next change, such as a new primary, arrives."""
    state, clock = listed_state()
    clock.advance(RELAY_CHOICE_TIME)
    tick(state)
    clock.advance(SECOND)
    deliver(state, KindChanged(REGISTRY, (), 10))
    assert [m for m in tick(state) if isinstance(m, WatchKind) and m.kind is REGISTRY]
