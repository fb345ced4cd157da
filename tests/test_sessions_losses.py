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

from .session_answers import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    READ,
    SECOND,
    WRITE,
    make_world,
)


def test_client_that_leaves_in_a_transaction() -> None:
    """Guards against a pinned connection that nobody ends."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    world.deliver(SessionClosed(session))
    assert not world.open_work
    assert all(not row.session for row in world.state.pooled.values())


def test_client_that_leaves_while_its_statement_runs() -> None:
    """Guards against a commit that nobody asked for."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.holds = True
    assert world.say(session, WRITE) is None
    world.deliver(SessionClosed(session))
    world.holds = False
    world.answer_held()
    assert not world.open_work
    assert CommitWork not in map(type, world.databases["e1"].ran)


def test_idle_transaction_ends() -> None:
    """Guards against clients that rest inside transactions."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    world.run(4 * SECOND)
    assert not world.open_work
    refused(world.say(session, READ), Fault.ABORTED)
    assert answered(world.say(session, Rollback())).phase is Phase.IDLE


def test_lost_connection_in_a_transaction() -> None:
    """Guards against a transaction that goes on elsewhere without its first part."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    world.lose("e1")
    assert refused(world.say(session, WRITE), Fault.ABORTED).phase is Phase.FAILED
    assert refused(world.say(session, COMMIT), Fault.ABORTED).phase is Phase.IDLE


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
    world = make_world()
    session = world.connect("own-db")
    for command in commands[:-1]:
        answered(world.say(session, command))
    world.holds = True
    assert world.say(session, commands[-1]) is None
    world.holds = False
    world.lose("e1")
    world.run(SECOND)
    refused(world.last(session), fault)
    assert len(world.held) == 1


def test_read_is_repeated_after_a_loss() -> None:
    """Guards against a refusal that another endpoint makes needless."""
    world = make_world()
    sample(world)
    session = world.connect()
    world.holds = True
    world.say(session, READ)
    world.holds = False
    used = world.state.operations[world.state.sessions[session].operation].endpoint
    world.lose(used)
    world.run(SECOND)
    answered(world.last(session))


@pytest.mark.parametrize("fault", [Fault.OVERLOADED, Fault.READ_ONLY])
def test_write_that_did_not_run_is_repeated_once_it_can(fault: Fault) -> None:
    """Guards against giving up what a database only turned away."""
    world = make_world()
    world.databases["e1"].faults.append(fault)
    session = world.connect("own-db")
    world.say(session, WRITE)
    world.run(SECOND)
    answered(world.last(session))


def test_silent_primary() -> None:
    """Guards against a write whose unknown outcome is called not run."""
    world = make_world()
    session = world.connect("own-db")
    answered(world.say(session, WRITE))
    world.databases["e1"].is_dark = True
    assert world.say(session, WRITE) is None
    world.run(SECOND)
    refused(world.last(session), Fault.TIMED_OUT)


# --- Values and prepared statements


def test_planned_stop_ends_idle_sessions_only() -> None:
    """Guards against a stop that cuts a client's statement."""
    world = make_world()
    idle, busy = world.connect("own-db"), world.connect("own-db")
    world.holds = True
    world.say(busy, WRITE)
    world.deliver(StopRequested())
    world.run(timedelta(milliseconds=300))
    world.holds = False
    world.answer_held()
    answered(world.last(busy))
    world.run(3 * SECOND)
    assert isinstance(world.last(idle), EndSession)
    assert isinstance(world.last(busy), EndSession)
    assert any(isinstance(message, ExitProcess) for message in world.sent)


def test_client_that_comes_after_the_last_one() -> None:
    """Guards against a statement that is taken and then cut by the process's end."""
    world = make_world()
    world.deliver(StopRequested())
    world.run(3 * SECOND)
    kinds = [type(message) for message in world.sent]
    assert kinds.index(StopListening) < kinds.index(ExitProcess)
    message = world.last(world.connect("own-db"))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is Fault.OVERLOADED
