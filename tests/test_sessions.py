"""Sessions on client connections: what clients are answered and databases run."""

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

from .session_assertions import assert_answered, assert_refused, learn_primary_position
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
def test_session_with_unknown_database_or_key_is_refused(
    database: str, key: str, fault: Fault
) -> None:
    """Guards against sessions that the configuration does not allow."""
    harness = make_harness()
    message = harness.last_message(harness.open_session(database, key))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is fault


def test_read_on_primary_route_runs_in_read_write_transaction() -> None:
    """Guards against a stale read from a primary that does not know it was replaced."""
    harness = make_harness()
    answer = assert_answered(harness.send(harness.open_session("primary-db"), READ))
    assert answer.rows == ("row",) and answer.signature == "signature"
    kinds = [type(step) for step in harness.databases["e1"].executed]
    assert kinds == [BeginWork, RunStatement, EndWork]


def test_read_is_not_sent_to_replaced_primary() -> None:
    """Guards against a read that is sent before its transaction has begun."""
    harness = make_harness()
    harness.databases["e1"].is_primary = False
    session = harness.open_session("primary-db")
    assert harness.send(session, READ) is None
    assert harness.executed("e1") == []
    harness.databases["e2"].is_primary = True
    harness.register("e2", make_endpoint(role=EndpointRole.PRIMARY))
    harness.run(SECOND)
    assert_answered(harness.last_message(session))
    assert len(harness.executed("e2")) == 1


def test_read_without_known_position_goes_to_primary() -> None:
    """Guards against a read from a replica whose lag is not known."""
    harness = make_harness()
    assert_answered(harness.send(harness.open_session(), READ))
    assert len(harness.executed("e1")) == 1


def test_read_carries_minimum_position() -> None:
    """Guards against a replica that decides itself whether it is fresh enough."""
    harness = make_harness()
    learn_primary_position(harness)
    harness.databases["e1"].position = Position(3, 200)
    for name in ("e2", "e3"):
        harness.databases[name].position = Position(3, 99)
    session = harness.open_session()
    assert_answered(harness.send(session, READ))
    steps = harness.executed("e2") + harness.executed("e3") + harness.executed("e1")[1:]
    assert all(step.minimum == Position(3, 100) for step in steps)  # type: ignore[attr-defined]
    assert any(step.minimum for step in harness.executed("e1")[1:])  # type: ignore[attr-defined]


@pytest.mark.parametrize(("age_ms", "uses_primary"), [(1000, False), (1460, True)])
def test_read_goes_to_primary_when_sample_is_too_old(
    age_ms: int, uses_primary: bool
) -> None:
    """Guards against reads of data older than the route's maximum staleness."""
    harness = make_harness()
    learn_primary_position(harness)
    before = len(harness.executed("e1"))
    harness.clock.advance(age_ms * MILLISECOND)
    for pool in harness.state.pools.values():
        pool.service_at = harness.clock.time
    harness.state.pools["e1"].service = SECOND
    assert_answered(harness.send(harness.open_session(), READ))
    assert (len(harness.executed("e1")) > before) == uses_primary


def test_suspension_makes_samples_stale() -> None:
    """Guards against a stale sample that counts as fresh after a suspension."""
    harness = make_harness()
    learn_primary_position(harness)
    before = len(harness.executed("e1"))
    session = harness.open_session()
    harness.clock.advance(3 * SECOND)
    harness.send(session, READ)
    harness.run(SECOND)  # The lease of the rate share has expired as well.
    assert_answered(harness.last_message(session))
    assert len(harness.executed("e1")) == before + 1


def test_session_reads_its_own_writes() -> None:
    """Guards against a session that does not see its own writes."""
    harness = make_harness()
    learn_primary_position(harness)
    harness.databases["e1"].position = Position(3, 150)
    session = harness.open_session("own-db")
    assert_answered(harness.send(session, WRITE))
    for name in ("e2", "e3"):
        harness.databases[name].position = Position(3, 149)
    assert_answered(harness.send(session, READ))
    for step in [
        *harness.executed("e2"),
        *harness.executed("e3"),
        *harness.executed("e1")[2:],
    ]:
        assert step.minimum == Position(3, 150)  # type: ignore[attr-defined]


def test_position_of_later_term_covers_writes_of_earlier_terms() -> None:
    """Guards against a read that waits for a write that a failover has dropped."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.databases["e1"].position = Position(3, 500)
    assert_answered(harness.send(session, WRITE))
    harness.databases["e1"].position = Position(4, 400)
    assert_answered(harness.send(harness.open_session("primary-db"), READ))
    harness.databases["e2"].position = Position(4, 400)
    assert_answered(harness.send(session, READ))
    last_step = [
        step for name in ("e1", "e2", "e3") for step in harness.executed(name)
    ][-1]
    assert last_step.minimum == Position(4, 400)  # type: ignore[attr-defined]


# --- Transactions


def test_transaction_stays_on_one_connection() -> None:
    """Guards against a transaction whose statements run on several connections."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    for session in (first, second):
        assert assert_answered(harness.send(session, BEGIN)).phase is Phase.OPEN
    for command in (WRITE, READ):
        for session in (first, second):
            assert assert_answered(harness.send(session, command)).phase is Phase.OPEN
    rows = [harness.state.sessions[session] for session in (first, second)]
    assert len({row.connection for row in rows}) == 2
    for session in (first, second):
        assert assert_answered(harness.send(session, COMMIT)).phase is Phase.IDLE
    assert not harness.open_transactions


def test_rollback_ends_transaction_at_database() -> None:
    """Guards against a pooled connection that keeps a client's transaction open."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    assert assert_answered(harness.send(session, Rollback())).phase is Phase.IDLE
    assert not harness.open_transactions
    assert CommitWork not in map(type, harness.databases["e1"].executed)


def test_session_values_are_applied_to_connection() -> None:
    """Guards against a statement that runs with another session's values."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    assert_answered(harness.send(first, SetValue("tz", "utc")))
    assert_answered(harness.send(first, WRITE))
    assert_answered(harness.send(second, WRITE))
    assert_answered(harness.send(first, WRITE))
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
    """Guards against running another session's statement of the same name."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    assert_answered(harness.send(first, Prepare("s", Access.WRITE, "one")))
    assert_answered(harness.send(second, Prepare("s", Access.WRITE, "two")))
    assert_answered(harness.send(first, Execute("s", "x 1")))
    assert_answered(harness.send(second, Execute("s", "x 2")))
    assert_answered(harness.send(first, Execute("s", "x 3")))
    names: dict[str, str] = {}
    shapes = []
    for step in harness.databases["e1"].executed:
        if isinstance(step, PrepareShape):
            names[step.name] = step.shape
        if isinstance(step, RunPrepared):
            shapes.append(names[step.name])
    assert shapes == ["one", "two", "one"]


def test_reset_connection_prepares_again() -> None:
    """Guards against executing a prepared statement that a reset has dropped."""
    harness = make_harness()
    first, second = harness.open_session("own-db"), harness.open_session("own-db")
    assert_answered(harness.send(first, SetValue("tz", "utc")))
    assert_answered(harness.send(first, Prepare("s", Access.WRITE, "one")))
    assert_answered(harness.send(first, Execute("s", "x 1")))
    assert_answered(harness.send(second, WRITE))
    assert_answered(harness.send(first, Execute("s", "x 2")))
    kinds = [type(step) for step in harness.databases["e1"].executed]
    assert kinds.count(PrepareShape) == 2


def test_session_survives_invalid_statements() -> None:
    """Guards against an error after which the session cannot be used."""
    harness = make_harness()
    session = harness.open_session("own-db")
    assert_refused(harness.send(session, Execute("s", "x")), Fault.STATEMENT_UNKNOWN)
    assert_refused(harness.send(session, Deallocate("s")), Fault.STATEMENT_UNKNOWN)
    assert_refused(harness.send(session, UnreadableCommand("?")), Fault.MALFORMED)
    assert_refused(harness.send(session, COMMIT), Fault.MALFORMED)
    assert_answered(harness.send(session, WRITE))
