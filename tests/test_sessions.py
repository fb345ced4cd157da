"""Sessions that are connections: what a client gets, and what the databases run."""

from datetime import timedelta

import pytest

from pimentodrift.kind_messages import (
    Gone,
    Unreadable,
    WatchedKind,
)
from pimentodrift.messages import Access, ExitProcess, Position, StopRequested
from pimentodrift.session_messages import (
    AnswerStatement,
    ApplyValue,
    BeginWork,
    Command,
    CommitWork,
    Deallocate,
    EndSession,
    EndWork,
    Execute,
    Fault,
    Phase,
    Prepare,
    PrepareShape,
    RefuseSession,
    RefuseStatement,
    ResetSession,
    Rollback,
    RunPrepared,
    RunStatement,
    SessionClosed,
    SetValue,
    StopListening,
)
from pimentodrift.session_messages import (
    Unreadable as UnreadableCommand,
)
from pimentodrift.session_rows import Consistency, EndpointRole

from .session_support import (
    BEGIN,
    COMMIT,
    KEY,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    World,
    make_configuration,
    make_endpoint,
    make_route,
    make_world,
)

BEGIN_READ = type(BEGIN)(read_only=True)


def answered(message: object) -> AnswerStatement:
    assert isinstance(message, AnswerStatement), message
    return message


def refused(message: object, fault: Fault) -> RefuseStatement:
    assert isinstance(message, RefuseStatement), message
    assert message.refusal.fault is fault
    return message


def sample(world: World) -> None:
    """Let the instance learn the primary's position."""
    session = world.connect("primary-db")
    answered(world.say(session, READ))


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


def test_withdrawn_key_stops_at_once() -> None:
    """Guards against a connected client whose key was withdrawn."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    world.configure(make_configuration(2, keys=("another",)))
    refused(world.say(session, WRITE), Fault.KEY_INVALID)
    assert not world.open_work
    assert len(world.ran("e1")) == 1


@pytest.mark.parametrize("suspended", [False, True])
def test_unconfirmed_configuration_refuses(suspended: bool) -> None:
    """Guards against a key withdrawn while the instance was cut off or suspended."""
    world = make_world()
    session = world.connect("own-db")
    answered(world.say(session, WRITE))
    world.store_is_up = False
    if suspended:
        world.clock.advance(4 * SECOND)
    else:
        world.run(4 * SECOND)
    message = refused(world.say(session, WRITE), Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert len(world.ran("e1")) == 1
    world.store_is_up = True
    world.run(SECOND)
    answered(world.say(session, WRITE))


def test_older_version_changes_nothing() -> None:
    """Guards against a configuration that reverts."""
    world = make_world()
    world.configure(make_configuration(3, keys=("key-3",)))
    world.configure(make_configuration(2))
    assert isinstance(world.last(world.connect()), RefuseSession)
    world.connect(key="key-3")
    assert len(world.state.sessions) == 1


def test_route_that_moves_to_another_group() -> None:
    """Guards against a transaction that changes its group halfway."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    route = make_route(
        database="own-db", group="g2", consistency=Consistency.OWN_WRITES
    )
    world.configure(make_configuration(2, routes=(route,)))
    answered(world.say(session, WRITE))
    answered(world.say(session, COMMIT))
    assert len(world.ran("e1")) == 3
    assert world.say(session, WRITE) is None
    assert len(world.ran("e1")) == 3


def test_leaving_replica_gets_no_new_work() -> None:
    """Guards against work sent to an endpoint that is about to end."""
    world = make_world()
    sample(world)
    for name in ("e2", "e3"):
        world.register(name, make_endpoint(is_leaving=True))
    answered(world.say(world.connect(), READ))
    assert not world.ran("e2") and not world.ran("e3")


def test_lapsed_entry_is_used_for_a_while() -> None:
    """Guards against an outage of the store that takes the endpoints with it."""
    world = make_world()
    world.change(WatchedKind.REGISTRY, "e1", Gone())
    answered(world.say(world.connect("own-db"), WRITE))
    world.run(3 * SECOND)
    assert "e1" not in world.state.registry
    assert world.say(world.connect("own-db"), WRITE) is None


def test_unreadable_entry_names_no_endpoint() -> None:
    """Guards against another writer's entry that takes the others with it."""
    world = make_world()
    world.change(WatchedKind.REGISTRY, "e9", Unreadable("no address"))
    assert "e9" not in world.state.registry
    answered(world.say(world.connect("own-db"), WRITE))


def test_restarted_endpoint_is_another_one() -> None:
    """Guards against connections and knowledge of the process before."""
    world = make_world()
    answered(world.say(world.connect("own-db"), WRITE))
    world.register("e1", make_endpoint(incarnation=2))
    assert not world.state.pools["e1"].connections
    assert world.state.pools["e1"].answered_at < timedelta(0)


# --- Load and stop


def test_statement_that_cannot_be_served_soon_is_refused_at_once() -> None:
    """Guards against a refusal that is held back."""
    world = make_world()
    pool = world.state.pools["e1"]
    pool.service, pool.service_at = 500 * MILLISECOND, world.clock.time
    world.holds = True
    sessions = [world.connect("own-db") for _ in range(120)]
    last = [world.say(session, WRITE) for session in sessions][-1]
    message = refused(last, Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert world.state.operations


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
