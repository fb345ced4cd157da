"""Sessions that clients open while an instance reads its first copies of the store."""

from datetime import timedelta

import pytest

from pimentodrift.kind_messages import Entry, KindFailed, KindListed, WatchedKind
from pimentodrift.messages import ExitProcess, StopRequested
from pimentodrift.session_messages import (
    AcceptSession,
    EndSession,
    Fault,
    Refusal,
    RefuseSession,
    SessionClosed,
    SessionStatement,
    SetValue,
)
from pimentodrift.session_opening import MAX_LIST_TIME
from pimentodrift.sessions import MAX_PIPELINED

from .session_support import (
    KEY,
    SECOND,
    TICK,
    SessionHarness,
    make_configuration,
)
from .support import ManualClock, make_state

UNCONFIRMED = Refusal(Fault.OVERLOADED, "the configuration is not confirmed", SECOND)


class StartingHarness(SessionHarness):
    """An instance whose store answers its lists only when a test lets it."""

    def answer_store(self, message: object) -> None:
        """Leave the call without an answer."""

    def list_kinds(self) -> None:
        """Answer the lists that are in flight."""
        entry = Entry("main", 90, make_configuration())
        for kind in WatchedKind:
            is_configuration = kind is WatchedKind.CONFIGURATION
            entries = (entry,) if is_configuration else ()
            self.deliver(KindListed(kind, entries, self.revision, False))


def make_starting_harness() -> StartingHarness:
    state = make_state()
    clock = state.clock
    assert isinstance(clock, ManualClock)
    clock.advance(SECOND)
    return StartingHarness(state, clock)


@pytest.mark.parametrize("ticks_before", [0, 1, 5])
def test_session_waits_for_the_first_copies(ticks_before: int) -> None:
    """Guards against refusing clients that reconnect while an instance starts."""
    harness = make_starting_harness()
    harness.run(ticks_before * TICK)
    session = harness.open_session()
    assert harness.answer_for(session) is None
    harness.run()
    harness.list_kinds()
    harness.run()
    assert harness.answer_for(session) == AcceptSession(session)


def test_session_is_refused_when_a_list_fails() -> None:
    """Guards against clients that wait for a store that is known to be down."""
    harness = make_starting_harness()
    early = harness.open_session()
    harness.run()
    harness.deliver(KindFailed(WatchedKind.OWN, "down"))
    harness.run()
    late = harness.open_session()
    for session in (early, late):
        assert harness.answer_for(session) == RefuseSession(session, UNCONFIRMED)


def test_session_is_refused_when_the_store_is_silent() -> None:
    """Guards against clients that wait for the whole of a store's outage."""
    harness = make_starting_harness()
    early = harness.open_session()
    harness.run(MAX_LIST_TIME + 2 * TICK)
    late = harness.open_session()
    for session in (early, late):
        assert harness.answer_for(session) == RefuseSession(session, UNCONFIRMED)


@pytest.mark.parametrize(
    ("database", "key", "fault"),
    [
        ("unknown", KEY, Fault.DATABASE_UNKNOWN),
        ("db", "unknown", Fault.KEY_INVALID),
    ],
)
def test_waiting_session_is_checked(database: str, key: str, fault: Fault) -> None:
    """Guards against a session that is opened unchecked because it waited."""
    harness = make_starting_harness()
    session = harness.open_session(database, key)
    harness.run()
    harness.list_kinds()
    harness.run()
    answer = harness.answer_for(session)
    assert isinstance(answer, RefuseSession)
    assert answer.refusal.fault is fault


def test_statements_sent_ahead_are_kept() -> None:
    """Guards against losing what a client sends before its session is open."""
    harness = make_starting_harness()
    session = harness.open_session()
    statement = SessionStatement(session, "id1", SetValue("name", "value"))
    harness.deliver(statement)
    harness.run()
    harness.list_kinds()
    harness.run()
    assert harness.state.sessions[session].values == {"name": "value"}


def test_statements_sent_ahead_are_bounded() -> None:
    """Guards against a client that fills the memory before its session is open."""
    harness = make_starting_harness()
    session = harness.open_session()
    for number in range(MAX_PIPELINED + 1):
        command = SetValue("name", "value")
        harness.deliver(SessionStatement(session, f"id{number}", command))
    assert harness.answer_for(session) == EndSession(session)
    assert not harness.state.openings


def test_closed_session_is_not_opened() -> None:
    """Guards against a session without a client."""
    harness = make_starting_harness()
    session = harness.open_session()
    harness.deliver(SessionClosed(session))
    harness.run()
    harness.list_kinds()
    harness.run()
    assert not harness.state.sessions
    assert harness.answer_for(session) is None


def test_stop_answers_waiting_sessions() -> None:
    """Guards against a planned stop that leaves a client without an answer."""
    harness = make_starting_harness()
    harness.run()
    session = harness.open_session()
    harness.deliver(StopRequested())
    harness.run(timedelta(seconds=3))
    answer = harness.answer_for(session)
    assert isinstance(answer, RefuseSession)
    exits = [item for item in harness.sent if isinstance(item, ExitProcess)]
    assert exits
    assert harness.sent.index(answer) < harness.sent.index(exits[0])
