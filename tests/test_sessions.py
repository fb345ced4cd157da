"""Sessions that are connections: what a client gets, and what the databases run."""

import pytest

from pimentodrift.messages import Access, Position
from pimentodrift.session_messages import (
    ApplyValue,
    BeginWork,
    CommitWork,
    Deallocate,
    EndWork,
    Execute,
    Fault,
    Phase,
    Prepare,
    PrepareShape,
    RefuseSession,
    ResetSession,
    Rollback,
    RunPrepared,
    RunStatement,
    SetValue,
)
from pimentodrift.session_messages import (
    Unreadable as UnreadableCommand,
)
from pimentodrift.session_rows import EndpointRole

from .session_assertions import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    KEY,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    make_endpoint,
    make_harness,
)


@pytest.mark.parametrize(
    ("database", "key", "fault"),
    [
        ("nowhere", KEY, Fault.DATABASE_UNKNOWN),
        ("db", "no key", Fault.KEY_INVALID),
        ("db", "", Fault.KEY_INVALID),
    ],
)
def test_refused_sessions(database: str, key: str, fault: Fault) -> None:
    """Guards against sessions that no configuration allows."""
    harness = make_harness()
    message = harness.last(harness.open_session(database, key))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is fault


def test_read_on_a_primary_route_is_guarded() -> None:
    """Guards against a read at a primary that was replaced without knowing it."""
    harness = make_harness()
    answer = answered(harness.send(harness.open_session("primary-db"), READ))
    assert answer.rows == ("row",) and answer.signature == "signature"
    kinds = [type(step) for step in harness.databases["e1"].executed]
    assert kinds == [BeginWork, RunStatement, EndWork]


def test_replaced_primary_is_not_read() -> None:
    """Guards against a read that leaves before its transaction is known to be open."""
    harness = make_harness()
    harness.databases["e1"].is_primary = False
    session = harness.open_session("primary-db")
    assert harness.send(session, READ) is None
    assert harness.executed("e1") == []
    harness.databases["e2"].is_primary = True
    harness.register("e2", make_endpoint(role=EndpointRole.PRIMARY))
    harness.run(SECOND)
    answered(harness.last(session))
    assert len(harness.executed("e2")) == 1


def test_read_without_a_sample_goes_to_the_primary() -> None:
    """Guards against a replica whose log nobody has compared."""
    harness = make_harness()
    answered(harness.send(harness.open_session(), READ))
    assert len(harness.executed("e1")) == 1


def test_read_with_a_sample_names_the_position() -> None:
    """Guards against a replica that judges its own freshness."""
    harness = make_harness()
    sample(harness)
    harness.databases["e1"].position = Position(3, 200)
    for name in ("e2", "e3"):
        harness.databases[name].position = Position(3, 99)
    session = harness.open_session()
    answered(harness.send(session, READ))
    steps = harness.executed("e2") + harness.executed("e3") + harness.executed("e1")[1:]
    assert all(step.minimum == Position(3, 100) for step in steps)  # type: ignore[attr-defined]
    assert any(step.minimum for step in harness.executed("e1")[1:])  # type: ignore[attr-defined]


@pytest.mark.parametrize(("age_ms", "uses_primary"), [(1000, False), (1460, True)])
def test_age_of_the_sample(age_ms: int, uses_primary: bool) -> None:
    """Guards against data older than the route allows."""
    harness = make_harness()
    sample(harness)
    before = len(harness.executed("e1"))
    harness.clock.advance(age_ms * MILLISECOND)
    for pool in harness.state.pools.values():
        pool.service_at = harness.clock.time
    harness.state.pools["e1"].service = SECOND
    answered(harness.send(harness.open_session(), READ))
    assert (len(harness.executed("e1")) > before) == uses_primary


def test_suspension_ages_samples() -> None:
    """Guards against a sample that a suspended instance takes for new."""
    harness = make_harness()
    sample(harness)
    before = len(harness.executed("e1"))
    session = harness.open_session()
    harness.clock.advance(3 * SECOND)
    harness.send(session, READ)
    harness.run(SECOND)  # The suspension has also ended the lease of the rate.
    answered(harness.last(session))
    assert len(harness.executed("e1")) == before + 1


def test_own_writes_are_read() -> None:
    """Guards against a session that does not see what it wrote."""
    harness = make_harness()
    sample(harness)
    harness.databases["e1"].position = Position(3, 150)
    session = harness.open_session("own-db")
    answered(harness.send(session, WRITE))
    for name in ("e2", "e3"):
        harness.databases[name].position = Position(3, 149)
    answered(harness.send(session, READ))
    for step in [
        *harness.executed("e2"),
        *harness.executed("e3"),
        *harness.executed("e1")[2:],
    ]:
        assert step.minimum == Position(3, 150)  # type: ignore[attr-defined]


def test_a_later_term_covers_the_writes_of_the_terms_before() -> None:
    """Guards against waiting for a write that a promotion dropped."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.databases["e1"].position = Position(3, 500)
    answered(harness.send(session, WRITE))
    harness.databases["e1"].position = Position(4, 400)
    answered(harness.send(harness.open_session("primary-db"), READ))
    harness.databases["e2"].position = Position(4, 400)
    answered(harness.send(session, READ))
    last = [step for name in ("e1", "e2", "e3") for step in harness.executed(name)][-1]
    assert last.minimum == Position(4, 400)  # type: ignore[attr-defined]


# --- Transactions


def test_transaction_stays_on_one_connection() -> None:
    """Guards against statements of a transaction on several connections."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    for session in (first, second):
        assert answered(harness.send(session, BEGIN)).phase is Phase.OPEN
    for command in (WRITE, READ):
        for session in (first, second):
            assert answered(harness.send(session, command)).phase is Phase.OPEN
    rows = [harness.state.sessions[session] for session in (first, second)]
    assert len({row.connection for row in rows}) == 2
    for session in (first, second):
        assert answered(harness.send(session, COMMIT)).phase is Phase.IDLE
    assert not harness.open_work


def test_rollback_is_carried_out() -> None:
    """Guards against a connection that keeps another client's transaction open."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    assert answered(harness.send(session, Rollback())).phase is Phase.IDLE
    assert not harness.open_work
    assert CommitWork not in map(type, harness.databases["e1"].executed)


def test_values_follow_the_session() -> None:
    """Guards against a statement that runs under another session's values."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    answered(harness.send(first, SetValue("tz", "utc")))
    answered(harness.send(first, WRITE))
    answered(harness.send(second, WRITE))
    answered(harness.send(first, WRITE))
    kinds = [type(step) for step in harness.databases["e1"].executed]
    assert kinds == [
        ApplyValue,
        RunStatement,
        ResetSession,
        RunStatement,
        ApplyValue,
        RunStatement,
    ]


def test_prepared_names_do_not_collide() -> None:
    """Guards against a name that runs another client's statement."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    answered(harness.send(first, Prepare("s", Access.WRITE, "one")))
    answered(harness.send(second, Prepare("s", Access.WRITE, "two")))
    answered(harness.send(first, Execute("s", "x 1")))
    answered(harness.send(second, Execute("s", "x 2")))
    answered(harness.send(first, Execute("s", "x 3")))
    names: dict[str, str] = {}
    shapes = []
    for step in harness.databases["e1"].executed:
        if isinstance(step, PrepareShape):
            names[step.name] = step.shape
        if isinstance(step, RunPrepared):
            shapes.append(names[step.name])
    assert shapes == ["one", "two", "one"]


def test_reset_connection_prepares_again() -> None:
    """Guards against a prepared statement that a reset has dropped."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    answered(harness.send(first, SetValue("tz", "utc")))
    answered(harness.send(first, Prepare("s", Access.WRITE, "one")))
    answered(harness.send(first, Execute("s", "x 1")))
    answered(harness.send(second, WRITE))
    answered(harness.send(first, Execute("s", "x 2")))
    kinds = [type(step) for step in harness.databases["e1"].executed]
    assert kinds.count(PrepareShape) == 2


def test_unknown_names_and_statements() -> None:
    """Guards against answers that end the session's usable state."""
    harness = make_harness()
    session = harness.open_session("own-db")
    refused(harness.send(session, Execute("s", "x")), Fault.STATEMENT_UNKNOWN)
    refused(harness.send(session, Deallocate("s")), Fault.STATEMENT_UNKNOWN)
    refused(harness.send(session, UnreadableCommand("?")), Fault.MALFORMED)
    refused(harness.send(session, COMMIT), Fault.MALFORMED)
    answered(harness.send(session, WRITE))


# --- Configuration and registry
