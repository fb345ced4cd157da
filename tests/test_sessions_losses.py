"""Sessions whose clients, connections or endpoints are lost, and planned stops."""

from datetime import timedelta

import pytest

from pimentodrift.messages import ExitProcess, StopRequested
from pimentodrift.session_messages import (
    AcceptSession,
    Command,
    CommitWork,
    EndSession,
    Fault,
    Phase,
    RefuseSession,
    RefuseStatement,
    Rollback,
    SessionClosed,
    StopListening,
)
from pimentodrift.session_rows import Consistency

from .session_assertions import assert_answered, assert_refused, learn_primary_position
from .session_support import (
    BEGIN,
    COMMIT,
    READ,
    SECOND,
    TICK,
    WRITE,
    SessionHarness,
    make_configuration,
    make_harness,
    make_route,
)

STOP_TIMEOUT = 5 * SECOND


def test_transaction_of_closed_session_is_rolled_back() -> None:
    """Guards against a connection that stays pinned to a closed session."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.deliver(SessionClosed(session))
    assert not harness.open_transactions
    assert all(not row.session for row in harness.state.pooled.values())


def test_transaction_is_rolled_back_if_session_closes_during_statement() -> None:
    """Guards against a commit that the client did not request."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.holds_statements = True
    assert harness.send(session, WRITE) is None
    harness.deliver(SessionClosed(session))
    harness.holds_statements = False
    harness.answer_held()
    assert not harness.open_transactions
    assert CommitWork not in map(type, harness.databases["e1"].executed)


def test_idle_transaction_is_rolled_back() -> None:
    """Guards against clients that keep connections pinned by idle transactions."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.run(4 * SECOND)
    assert not harness.open_transactions
    assert_refused(harness.send(session, READ), Fault.ABORTED)
    assert assert_answered(harness.send(session, Rollback())).phase is Phase.IDLE


def test_transaction_fails_when_its_connection_is_lost() -> None:
    """Guards against a transaction that continues elsewhere without its first part."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.break_connections("e1")
    assert (
        assert_refused(harness.send(session, WRITE), Fault.ABORTED).phase
        is Phase.FAILED
    )
    assert (
        assert_refused(harness.send(session, COMMIT), Fault.ABORTED).phase is Phase.IDLE
    )


@pytest.mark.parametrize(
    ("commands", "fault"),
    [
        ((WRITE,), Fault.IN_DOUBT),
        ((BEGIN, WRITE, COMMIT), Fault.IN_DOUBT),
        ((BEGIN, WRITE, WRITE), Fault.ABORTED),
        ((BEGIN, READ, COMMIT), Fault.ABORTED),
    ],
)
def test_fault_of_statement_whose_connection_is_lost(
    commands: tuple[Command, ...], fault: Fault
) -> None:
    """Guards against a wrong outcome of a write, and a write that runs twice."""
    harness = make_harness()
    session = harness.open_session("own-db")
    for command in commands[:-1]:
        assert_answered(harness.send(session, command))
    harness.holds_statements = True
    assert harness.send(session, commands[-1]) is None
    harness.holds_statements = False
    harness.break_connections("e1")
    harness.run(SECOND)
    assert_refused(harness.last_message(session), fault)
    assert len(harness.held_steps) == 1


def test_read_is_retried_after_connection_loss() -> None:
    """Guards against refusing a read that another endpoint can serve."""
    harness = make_harness()
    learn_primary_position(harness)
    session = harness.open_session()
    harness.holds_statements = True
    harness.send(session, READ)
    harness.holds_statements = False
    used = harness.state.operations[harness.state.sessions[session].operation].endpoint
    harness.break_connections(used)
    harness.run(SECOND)
    assert_answered(harness.last_message(session))


@pytest.mark.parametrize("fault", [Fault.OVERLOADED, Fault.READ_ONLY])
def test_write_that_did_not_run_is_retried(fault: Fault) -> None:
    """Guards against refusing a write that the database did not run."""
    harness = make_harness()
    harness.databases["e1"].faults.append(fault)
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    harness.run(SECOND)
    assert_answered(harness.last_message(session))


def test_write_to_silent_primary_times_out() -> None:
    """Guards against reporting a write of unknown outcome as not run."""
    harness = make_harness()
    session = harness.open_session("own-db")
    assert_answered(harness.send(session, WRITE))
    harness.databases["e1"].is_silent = True
    assert harness.send(session, WRITE) is None
    harness.run(SECOND)
    assert_refused(harness.last_message(session), Fault.TIMED_OUT)


# --- Planned stops


def test_planned_stop_closes_sessions_when_idle() -> None:
    """Guards against a stop that closes a session while its statement runs."""
    harness = make_harness()
    idle, busy = harness.open_session("own-db"), harness.open_session("own-db")
    harness.holds_statements = True
    harness.send(busy, WRITE)
    harness.deliver(StopRequested())
    harness.run(timedelta(milliseconds=300))
    harness.holds_statements = False
    harness.answer_held()
    assert_answered(harness.last_message(busy))
    harness.run(3 * SECOND)
    assert isinstance(harness.last_message(idle), EndSession)
    assert isinstance(harness.last_message(busy), EndSession)
    assert any(isinstance(message, ExitProcess) for message in harness.sent)


def test_session_after_stop_is_refused() -> None:
    """Guards against a statement that is accepted but lost when the process exits."""
    harness = make_harness()
    harness.deliver(StopRequested())
    harness.run(3 * SECOND)
    kinds = [type(message) for message in harness.sent]
    assert kinds.index(StopListening) < kinds.index(ExitProcess)
    message = harness.last_message(harness.open_session("own-db"))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is Fault.OVERLOADED


def make_stopping_harness(waited: timedelta) -> SessionHarness:
    """Return an instance that was asked to stop some time ago."""
    route = make_route(
        database="own-db", consistency=Consistency.OWN_WRITES, timeout=20 * SECOND
    )
    primary = make_route(database="primary-db", consistency=Consistency.PRIMARY)
    configuration = make_configuration(routes=(route, primary))
    harness = make_harness(configuration, stop_timeout=STOP_TIMEOUT)
    learn_primary_position(harness)
    harness.deliver(StopRequested())
    harness.run(waited)
    return harness


@pytest.mark.parametrize(
    ("timeout", "expected"),
    [
        (timedelta(0), STOP_TIMEOUT / 2),
        (STOP_TIMEOUT * 0.6, STOP_TIMEOUT * 0.6),
        (STOP_TIMEOUT * 2, STOP_TIMEOUT),
    ],
)
def test_open_transactions_have_their_time_to_end(
    timeout: timedelta, expected: timedelta
) -> None:
    """Guards against a rollback before the time that clients were promised."""
    harness = make_harness(stop_timeout=STOP_TIMEOUT, stop_transaction_timeout=timeout)
    session = harness.open_session("own-db")
    assert_answered(harness.send(session, BEGIN))
    harness.deliver(StopRequested())
    for _ in range(2):
        assert_answered(harness.send(session, WRITE))
        harness.run(expected / 2 - TICK)
    assert harness.state.sessions[session].phase is Phase.OPEN
    harness.send(session, WRITE)
    harness.run(TICK)
    assert_answered(harness.last_message(session))
    harness.run(3 * TICK)
    remaining = harness.state.sessions.get(session)
    assert remaining is None or remaining.phase is Phase.FAILED


def test_new_work_near_the_exit_is_refused() -> None:
    """Guards against requests that are run and cut by the exit.

    The load balancer may send new clients until then.
    """
    harness = make_stopping_harness(STOP_TIMEOUT * 0.4)
    busy = harness.open_session("own-db")
    harness.holds_statements = True
    harness.send(busy, WRITE)
    harness.run(STOP_TIMEOUT * 0.35)
    accepted = harness.open_session("own-db")
    assert isinstance(harness.last_message(accepted), AcceptSession)
    harness.run(STOP_TIMEOUT * 0.1)
    refusal = harness.last_message(harness.open_session("own-db"))
    assert isinstance(refusal, RefuseSession)
    assert refusal.refusal.fault is Fault.OVERLOADED
    for command in (READ, WRITE, BEGIN):
        harness.send(busy, command)
    harness.holds_statements = False
    harness.answer_held()
    answered, *refused = harness.messages(busy)[1:]
    assert_answered(answered)
    assert len(refused) == 3
    for message in refused:
        assert_refused(message, Fault.OVERLOADED)
    harness.run()
    assert isinstance(harness.last_message(busy), EndSession)
    assert ExitProcess() in harness.sent


@pytest.mark.parametrize(
    ("commands", "fault"),
    [
        ([READ, READ], Fault.FAILED),
        ([WRITE], Fault.IN_DOUBT),
        ([BEGIN, WRITE], Fault.ABORTED),
        ([BEGIN, READ, WRITE], Fault.ABORTED),
    ],
)
def test_statements_that_run_at_the_exit_are_answered(
    commands: list[Command], fault: Fault
) -> None:
    """Guards against a connection that ends without an answer, and a wrong promise."""
    harness = make_stopping_harness(STOP_TIMEOUT * 0.4)
    session = harness.open_session("own-db")
    for command in commands[:-1]:
        harness.send(session, command)
        harness.run(TICK)
        assert_answered(harness.last_message(session))
    for database in harness.databases.values():
        database.is_silent = True
    harness.send(session, commands[-1])
    harness.send(session, READ)
    harness.run(STOP_TIMEOUT * 0.7)
    refused, next_refused, ended = harness.messages(session)[-3:]
    assert_refused(refused, fault)
    assert isinstance(next_refused, RefuseStatement)
    assert next_refused.refusal.fault in (Fault.OVERLOADED, Fault.ABORTED)
    assert isinstance(ended, EndSession)
    assert harness.sent.index(ended) < harness.sent.index(ExitProcess())
