"""Sessions whose clients, connections or endpoints are lost, and planned stops."""

from datetime import timedelta

import pytest

from pimentodrift.messages import ExitProcess, StopRequested
from pimentodrift.session_messages import (
    Command,
    CommitWork,
    EndSession,
    Fault,
    Phase,
    RefuseSession,
    Rollback,
    SessionClosed,
    StopListening,
)

from .session_assertions import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    READ,
    SECOND,
    WRITE,
    make_harness,
)


def test_client_that_leaves_in_a_transaction() -> None:
    """Guards against a pinned connection that nobody ends."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.deliver(SessionClosed(session))
    assert not harness.open_work
    assert all(not row.session for row in harness.state.pooled.values())


def test_client_that_leaves_while_its_statement_runs() -> None:
    """Guards against a commit that nobody asked for."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.holds_statements = True
    assert harness.send(session, WRITE) is None
    harness.deliver(SessionClosed(session))
    harness.holds_statements = False
    harness.answer_held()
    assert not harness.open_work
    assert CommitWork not in map(type, harness.databases["e1"].executed)


def test_idle_transaction_ends() -> None:
    """Guards against clients that rest inside transactions."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.run(4 * SECOND)
    assert not harness.open_work
    refused(harness.send(session, READ), Fault.ABORTED)
    assert answered(harness.send(session, Rollback())).phase is Phase.IDLE


def test_lost_connection_in_a_transaction() -> None:
    """Guards against a transaction that goes on elsewhere without its first part."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.break_connections("e1")
    assert refused(harness.send(session, WRITE), Fault.ABORTED).phase is Phase.FAILED
    assert refused(harness.send(session, COMMIT), Fault.ABORTED).phase is Phase.IDLE


@pytest.mark.parametrize(
    ("commands", "fault"),
    [
        ((WRITE,), Fault.IN_DOUBT),
        ((BEGIN, WRITE, COMMIT), Fault.IN_DOUBT),
        ((BEGIN, WRITE, WRITE), Fault.ABORTED),
        ((BEGIN, READ, COMMIT), Fault.ABORTED),
    ],
)
def test_connection_lost_while_a_statement_runs(
    commands: tuple[Command, ...], fault: Fault
) -> None:
    """Guards against a false promise, and against a write that runs twice."""
    harness = make_harness()
    session = harness.open_session("own-db")
    for command in commands[:-1]:
        answered(harness.send(session, command))
    harness.holds_statements = True
    assert harness.send(session, commands[-1]) is None
    harness.holds_statements = False
    harness.break_connections("e1")
    harness.run(SECOND)
    refused(harness.last(session), fault)
    assert len(harness.held) == 1


def test_read_is_repeated_after_a_loss() -> None:
    """Guards against a refusal that another endpoint makes needless."""
    harness = make_harness()
    sample(harness)
    session = harness.open_session()
    harness.holds_statements = True
    harness.send(session, READ)
    harness.holds_statements = False
    used = harness.state.operations[harness.state.sessions[session].operation].endpoint
    harness.break_connections(used)
    harness.run(SECOND)
    answered(harness.last(session))


@pytest.mark.parametrize("fault", [Fault.OVERLOADED, Fault.READ_ONLY])
def test_write_that_did_not_run_is_repeated_once_it_can(fault: Fault) -> None:
    """Guards against giving up what a database only turned away."""
    harness = make_harness()
    harness.databases["e1"].faults.append(fault)
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    harness.run(SECOND)
    answered(harness.last(session))


def test_silent_primary() -> None:
    """Guards against a write whose unknown outcome is called not run."""
    harness = make_harness()
    session = harness.open_session("own-db")
    answered(harness.send(session, WRITE))
    harness.databases["e1"].is_silent = True
    assert harness.send(session, WRITE) is None
    harness.run(SECOND)
    refused(harness.last(session), Fault.TIMED_OUT)


# --- Values and prepared statements


def test_planned_stop_ends_idle_sessions_only() -> None:
    """Guards against a stop that cuts a client's statement."""
    harness = make_harness()
    idle, busy = harness.open_session("own-db"), harness.open_session("own-db")
    harness.holds_statements = True
    harness.send(busy, WRITE)
    harness.deliver(StopRequested())
    harness.run(timedelta(milliseconds=300))
    harness.holds_statements = False
    harness.answer_held()
    answered(harness.last(busy))
    harness.run(3 * SECOND)
    assert isinstance(harness.last(idle), EndSession)
    assert isinstance(harness.last(busy), EndSession)
    assert any(isinstance(message, ExitProcess) for message in harness.sent)


def test_client_that_comes_after_the_last_one() -> None:
    """Guards against a statement that is taken and then cut by the process's end."""
    harness = make_harness()
    harness.deliver(StopRequested())
    harness.run(3 * SECOND)
    kinds = [type(message) for message in harness.sent]
    assert kinds.index(StopListening) < kinds.index(ExitProcess)
    message = harness.last(harness.open_session("own-db"))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is Fault.OVERLOADED
