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

from .session_answers import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    KEY,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    make_endpoint,
    make_world,
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
    world = make_world()
    message = world.last(world.connect(database, key))
    assert isinstance(message, RefuseSession)
    assert message.refusal.fault is fault


def test_read_on_a_primary_route_is_guarded() -> None:
    """Guards against a read at a primary that was replaced without knowing it."""
    world = make_world()
    answer = answered(world.say(world.connect("primary-db"), READ))
    assert answer.rows == ("row",) and answer.signature == "signature"
    kinds = [type(step) for step in world.databases["e1"].ran]
    assert kinds == [BeginWork, RunStatement, EndWork]


def test_replaced_primary_is_not_read() -> None:
    """Guards against a read that leaves before its transaction is known to be open."""
    world = make_world()
    world.databases["e1"].leads = False
    session = world.connect("primary-db")
    assert world.say(session, READ) is None
    assert world.ran("e1") == []
    world.databases["e2"].leads = True
    world.register("e2", make_endpoint(role=EndpointRole.PRIMARY))
    world.run(SECOND)
    answered(world.last(session))
    assert len(world.ran("e2")) == 1


def test_read_without_a_sample_goes_to_the_primary() -> None:
    """Guards against a replica whose log nobody has compared."""
    world = make_world()
    answered(world.say(world.connect(), READ))
    assert len(world.ran("e1")) == 1


def test_read_with_a_sample_names_the_position() -> None:
    """Guards against a replica that judges its own freshness."""
    world = make_world()
    sample(world)
    world.databases["e1"].position = Position(3, 200)
    for name in ("e2", "e3"):
        world.databases[name].position = Position(3, 99)
    session = world.connect()
    answered(world.say(session, READ))
    steps = world.ran("e2") + world.ran("e3") + world.ran("e1")[1:]
    assert all(step.minimum == Position(3, 100) for step in steps)  # type: ignore[attr-defined]
    assert any(step.minimum for step in world.ran("e1")[1:])  # type: ignore[attr-defined]


@pytest.mark.parametrize(("age_ms", "uses_primary"), [(1000, False), (1460, True)])
def test_age_of_the_sample(age_ms: int, uses_primary: bool) -> None:
    """Guards against data older than the route allows."""
    world = make_world()
    sample(world)
    before = len(world.ran("e1"))
    world.clock.advance(age_ms * MILLISECOND)
    for pool in world.state.pools.values():
        pool.service_at = world.clock.time
    world.state.pools["e1"].service = SECOND
    answered(world.say(world.connect(), READ))
    assert (len(world.ran("e1")) > before) == uses_primary


def test_suspension_ages_samples() -> None:
    """Guards against a sample that a suspended instance takes for new."""
    world = make_world()
    sample(world)
    before = len(world.ran("e1"))
    session = world.connect()
    world.clock.advance(3 * SECOND)
    world.say(session, READ)
    world.run(SECOND)  # The suspension has also ended the lease of the rate.
    answered(world.last(session))
    assert len(world.ran("e1")) == before + 1


def test_own_writes_are_read() -> None:
    """Guards against a session that does not see what it wrote."""
    world = make_world()
    sample(world)
    world.databases["e1"].position = Position(3, 150)
    session = world.connect("own-db")
    answered(world.say(session, WRITE))
    for name in ("e2", "e3"):
        world.databases[name].position = Position(3, 149)
    answered(world.say(session, READ))
    for step in [*world.ran("e2"), *world.ran("e3"), *world.ran("e1")[2:]]:
        assert step.minimum == Position(3, 150)  # type: ignore[attr-defined]


def test_a_later_term_covers_the_writes_of_the_terms_before() -> None:
    """Guards against waiting for a write that a promotion dropped."""
    world = make_world()
    session = world.connect("own-db")
    world.databases["e1"].position = Position(3, 500)
    answered(world.say(session, WRITE))
    world.databases["e1"].position = Position(4, 400)
    answered(world.say(world.connect("primary-db"), READ))
    world.databases["e2"].position = Position(4, 400)
    answered(world.say(session, READ))
    last = [step for name in ("e1", "e2", "e3") for step in world.ran(name)][-1]
    assert last.minimum == Position(4, 400)  # type: ignore[attr-defined]


# --- Transactions


def test_transaction_stays_on_one_connection() -> None:
    """Guards against statements of a transaction on several connections."""
    world = make_world()
    first, second = world.connect("own-db"), world.connect("own-db")
    for session in (first, second):
        assert answered(world.say(session, BEGIN)).phase is Phase.OPEN
    for command in (WRITE, READ):
        for session in (first, second):
            assert answered(world.say(session, command)).phase is Phase.OPEN
    rows = [world.state.sessions[session] for session in (first, second)]
    assert len({row.connection for row in rows}) == 2
    for session in (first, second):
        assert answered(world.say(session, COMMIT)).phase is Phase.IDLE
    assert not world.open_work


def test_rollback_is_carried_out() -> None:
    """Guards against a connection that keeps another client's transaction open."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    assert answered(world.say(session, Rollback())).phase is Phase.IDLE
    assert not world.open_work
    assert CommitWork not in map(type, world.databases["e1"].ran)


def test_values_follow_the_session() -> None:
    """Guards against a statement that runs under another session's values."""
    world = make_world()
    first, second = world.connect("own-db"), world.connect("own-db")
    answered(world.say(first, SetValue("tz", "utc")))
    answered(world.say(first, WRITE))
    answered(world.say(second, WRITE))
    answered(world.say(first, WRITE))
    kinds = [type(step) for step in world.databases["e1"].ran]
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
    world = make_world()
    first, second = world.connect("own-db"), world.connect("own-db")
    answered(world.say(first, Prepare("s", Access.WRITE, "one")))
    answered(world.say(second, Prepare("s", Access.WRITE, "two")))
    answered(world.say(first, Execute("s", "x 1")))
    answered(world.say(second, Execute("s", "x 2")))
    answered(world.say(first, Execute("s", "x 3")))
    names: dict[str, str] = {}
    shapes = []
    for step in world.databases["e1"].ran:
        if isinstance(step, PrepareShape):
            names[step.name] = step.shape
        if isinstance(step, RunPrepared):
            shapes.append(names[step.name])
    assert shapes == ["one", "two", "one"]


def test_reset_connection_prepares_again() -> None:
    """Guards against a prepared statement that a reset has dropped."""
    world = make_world()
    first, second = world.connect("own-db"), world.connect("own-db")
    answered(world.say(first, SetValue("tz", "utc")))
    answered(world.say(first, Prepare("s", Access.WRITE, "one")))
    answered(world.say(first, Execute("s", "x 1")))
    answered(world.say(second, WRITE))
    answered(world.say(first, Execute("s", "x 2")))
    kinds = [type(step) for step in world.databases["e1"].ran]
    assert kinds.count(PrepareShape) == 2


def test_unknown_names_and_statements() -> None:
    """Guards against answers that end the session's usable state."""
    world = make_world()
    session = world.connect("own-db")
    refused(world.say(session, Execute("s", "x")), Fault.STATEMENT_UNKNOWN)
    refused(world.say(session, Deallocate("s")), Fault.STATEMENT_UNKNOWN)
    refused(world.say(session, UnreadableCommand("?")), Fault.MALFORMED)
    refused(world.say(session, COMMIT), Fault.MALFORMED)
    answered(world.say(session, WRITE))


# --- Configuration and registry
