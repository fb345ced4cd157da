"""The workspace of an open session whose key is moved or withdrawn."""

from collections.abc import Iterable

import pytest
from attrs import evolve

from pimentodrift.route_configuration import (
    DeclaredWorkspace,
    RouteConfiguration,
    key_digest,
)
from pimentodrift.session_messages import (
    AnswerStatement,
    Fault,
    OpenPooled,
    Rollback,
    RunSteps,
)
from pimentodrift.session_workspaces import holder

from .owner_support import OwnerNetwork, make_fleet
from .session_assertions import assert_refused
from .session_support import (
    BEGIN,
    COMMIT,
    KEY,
    SECOND,
    STATEMENTS,
    TICK,
    WRITE,
    SessionHarness,
    make_configuration,
    make_harness,
)

NOBODY = ""
# What becomes of the key that w1 had: the workspaces' keys, and who holds it then.
CHANGES = [
    pytest.param({"w1": (), "w2": (KEY,)}, "w2", id="moved"),
    pytest.param({"w1": (), "w2": ()}, NOBODY, id="withdrawn"),
    pytest.param({"w2": ()}, NOBODY, id="workspace removed"),
]
Keys = dict[str, tuple[str, ...]]


def with_keys(
    known: RouteConfiguration, keys: Keys, is_open: bool, rate: float = 1000.0
) -> RouteConfiguration:
    """Return the next configuration, with other keys and open or protected routes."""
    return evolve(
        known,
        version=known.version + 1,
        routes=tuple(evolve(route, is_open=is_open) for route in known.routes),
        workspaces=tuple(
            DeclaredWorkspace(name, digests, rate, rate)
            for name, digests in keys.items()
        ),
    )


def make_open(rate: float = 1000.0) -> tuple[SessionHarness, RouteConfiguration]:
    """Return an instance whose routes are open, and its configuration."""
    known = with_keys(
        make_configuration(), {"w1": (KEY,), "w2": ("other",)}, True, rate
    )
    return make_harness(known), known


def runs(harness: SessionHarness) -> list[str]:
    """Return the workspaces for which statements of clients were sent, in order."""
    opened = {
        message.connection: message.workspace
        for message in harness.sent
        if isinstance(message, OpenPooled)
    }
    return [
        opened[message.connection]
        for message in harness.sent
        if isinstance(message, RunSteps)
        for step in message.steps
        if isinstance(step, STATEMENTS)
    ]


@pytest.mark.parametrize(("keys", "holder"), CHANGES)
def test_open_session_on_an_open_route(keys: Keys, holder: str) -> None:
    """Guards against a session that goes on for the workspace its key has left."""
    harness, known = make_open()
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    harness.configure(with_keys(known, keys, True))
    harness.run(SECOND)
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    assert runs(harness) == ["w1", holder]


@pytest.mark.parametrize(("keys", "holder"), CHANGES)
def test_open_session_on_a_protected_route(keys: Keys, holder: str) -> None:
    """Guards against a refusal of a key that is in force, and use of one that isn't."""
    known = make_configuration()
    harness = make_harness(known)
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    harness.configure(with_keys(known, keys, False))
    harness.run(SECOND)
    answer = harness.send(session, WRITE)
    if holder:
        assert isinstance(answer, AnswerStatement)
        assert runs(harness) == ["w1", holder]
    else:
        assert_refused(answer, Fault.KEY_INVALID)


@pytest.mark.parametrize(("keys", "holder"), CHANGES)
def test_statement_that_waits_for_a_token(keys: Keys, holder: str) -> None:
    """Guards against a waiting statement that keeps the workspace it arrived with."""
    harness, known = make_open(rate=1.0)
    session, other = harness.open_session("own-db"), harness.open_session("own-db")
    harness.run(SECOND)
    while isinstance(harness.send(other, WRITE), AnswerStatement):
        pass
    assert harness.send(session, WRITE) is None
    count = len(runs(harness))
    harness.configure(with_keys(known, keys, True))
    harness.run(SECOND)
    assert set(runs(harness)[count:]) == {holder}
    assert all(
        isinstance(harness.last_message(item), AnswerStatement)
        for item in (session, other)
    )


def silence(harness: SessionHarness) -> None:
    for database in harness.databases.values():
        database.is_silent = True


def end_silence(harness: SessionHarness) -> None:
    for name in harness.databases:
        harness.end_silence(name)


@pytest.mark.parametrize(("keys", "holder"), CHANGES)
@pytest.mark.parametrize("begins", [False, True])
def test_statement_that_waits_for_a_connection(
    begins: bool, keys: Keys, holder: str
) -> None:
    """Guards against a statement that gets a connection of the workspace before."""
    harness, known = make_open()
    session = harness.open_session("own-db")
    silence(harness)
    if begins:
        harness.send(session, BEGIN)
    assert harness.send(session, WRITE) is None
    harness.configure(with_keys(known, keys, True))
    end_silence(harness)
    harness.run(2 * TICK)
    end_silence(harness)
    assert isinstance(harness.last_message(session), AnswerStatement)
    assert runs(harness) == [holder]


@pytest.mark.parametrize("is_open", [True, False])
@pytest.mark.parametrize("ends", [WRITE, COMMIT])
def test_open_transaction(ends: object, is_open: bool) -> None:
    """Guards against a transaction that goes on for the workspace before.

    The client is told that nothing is kept, and its next work is the new workspace's.
    """
    known = with_keys(make_configuration(), {"w1": (KEY,), "w2": ()}, is_open)
    harness = make_harness(known)
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.configure(with_keys(known, {"w1": (), "w2": (KEY,)}, is_open))
    assert_refused(harness.send(session, ends), Fault.ABORTED)  # type: ignore[arg-type]
    assert not harness.open_transactions
    if ends is WRITE:
        harness.send(session, Rollback())
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    assert runs(harness) == ["w1", "w2"]


@pytest.mark.parametrize(("keys", "holder"), CHANGES)
def test_transaction_that_has_run_nothing(keys: Keys, holder: str) -> None:
    """Guards against a needless end of a transaction that no database knows of."""
    harness, known = make_open()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.configure(with_keys(known, keys, True))
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    assert isinstance(harness.send(session, COMMIT), AnswerStatement)
    assert runs(harness) == [holder] * 2


def test_rate_is_charged_to_the_new_workspace() -> None:
    """Guards against requests that are counted against the workspace before."""
    harness, known = make_open()
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    harness.configure(with_keys(known, {"w1": (), "w2": (KEY,)}, True))
    harness.run(SECOND)
    harness.send(session, WRITE)
    admitted = {name: row.admitted for name, row in harness.state.shares.items()}
    assert admitted == {"w1": 1, "w2": 1}


def test_route_that_becomes_open_as_the_key_goes() -> None:
    """Guards against a session that keeps its workspace since no key is needed."""
    known = make_configuration()
    harness = make_harness(known)
    session = harness.open_session("own-db")
    harness.configure(with_keys(known, {"w1": (), "w2": ()}, True))
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    assert runs(harness) == [NOBODY]


def test_route_that_becomes_protected() -> None:
    """Guards against a session without a key on a route that needs one."""
    harness, known = make_open()
    nobody, keyed = harness.open_session("own-db", ""), harness.open_session("own-db")
    harness.configure(with_keys(known, {"w1": (KEY,), "w2": ()}, False))
    assert_refused(harness.send(nobody, WRITE), Fault.KEY_INVALID)
    assert isinstance(harness.send(keyed, WRITE), AnswerStatement)
    assert runs(harness) == ["w1"]


def move_key(network: OwnerNetwork, names: Iterable[str]) -> None:
    """Let some instances know that the key of w0 is now one of w1."""
    for name in names:
        configuration = network.nodes[name].state.configuration
        for digest, key in configuration.keys.items():
            if key.workspace == "w0":
                configuration.keys[digest] = evolve(key, workspace="w1")


@pytest.mark.parametrize("knows", ["both", "entry", "owner"])
def test_forwarded_statement(knows: str) -> None:
    """Guards against an owner that runs a statement for the workspace before.

    The two copies of the configuration may differ for a moment.
    """
    network = make_fleet()
    entry = network.entry()
    knows_of = {"entry": entry, "owner": network.owner()}
    session = network.open_client(entry)
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    move_key(network, network.nodes if knows == "both" else [knows_of[knows]])
    before = set(network.executed)
    network.send_statement(entry, session, WRITE)
    network.run(SECOND)
    ran = [number for number in network.executed if number not in before]
    for runner, workspace in map(network.ran_for.__getitem__, ran):
        state = network.nodes[runner].state
        assert workspace == holder(key_digest("key-0"), state)
    move_key(network, network.nodes)
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert network.ran_for[network.executed[-1]][1] == "w1"


def test_forwarded_transaction() -> None:
    """Guards against an owner that goes on with a transaction for another workspace."""
    network = make_fleet()
    entry = network.entry()
    session = network.open_client(entry)
    for command in (BEGIN, WRITE):
        assert isinstance(network.ask(entry, session, command), AnswerStatement)
    move_key(network, network.nodes)
    assert_refused(network.ask(entry, session, COMMIT), Fault.ABORTED)
    network.run(SECOND)
    assert not network.committed and not network.open_work
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert network.ran_for[network.committed[-1]][1] == "w1"
