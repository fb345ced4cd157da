"""Failures of owners, of entries and of the links between them, each alone."""

from collections.abc import Callable

import pytest
from attrs import evolve

from pimentodrift.fencing.decisions import PromotionDecision
from pimentodrift.fencing.permissions import fence_row
from pimentodrift.messages import PeerLost, StopRequested
from pimentodrift.owners import forwarding, ownership
from pimentodrift.session_messages import (
    AnswerStatement,
    Begin,
    Command,
    Fault,
    Phase,
    RefuseStatement,
    SessionClosed,
)
from pimentodrift.session_rows import Stage

from .capped_database import DATABASE
from .owner_support import OwnerNetwork, make_fleet
from .session_support import COMMIT, GROUP, MILLISECOND, READ, SECOND, WRITE

TICK = 20 * MILLISECOND
Failure = Callable[[OwnerNetwork, str, str], None]


def kill(network: OwnerNetwork, owner: str, _: str) -> None:
    network.kill(owner)


def vanish(network: OwnerNetwork, owner: str, _: str) -> None:
    """Let an owner lose power; its connections count for three more seconds."""
    backends = dict(network.backends)
    network.kill(owner)
    network.backends = backends
    network.schedule(3 * SECOND, lambda: network.kill(owner))


def freeze(network: OwnerNetwork, owner: str, _: str) -> None:
    network.nodes[owner].paused = True


def cut_entry(network: OwnerNetwork, owner: str, entry: str) -> None:
    network.partitions.add(frozenset((owner, entry)))


LOSSES = [kill, vanish, freeze, cut_entry]


def fault_of(answer: object) -> Fault | None:
    return answer.refusal.fault if isinstance(answer, RefuseStatement) else None


def begin_work(network: OwnerNetwork, entry: str) -> int:
    """Open a session with a transaction in which a write has run."""
    session = network.open_client(entry)
    for command in (Begin(), WRITE):
        assert isinstance(network.ask(entry, session, command), AnswerStatement)
    return session


def check_nothing_ran_twice(network: OwnerNetwork) -> None:
    """Let frozen instances go on, and compare what the database ran."""
    for name in network.nodes:
        if network.nodes[name].paused:
            network.resume(name)
    network.partitions.clear()
    network.run(4 * SECOND)
    assert len(network.executed) == len(set(network.executed))
    assert not network.open_work


@pytest.mark.parametrize("fail", LOSSES)
def test_successor_serves_within_a_second(fail: Failure) -> None:
    """Guards against statements that wait for a lost owner."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    for workspace in range(network.connection_limit):
        network.ask(entry, network.open_client(entry, workspace), WRITE)
    fail(network, owner, entry)
    started = network.time
    assert isinstance(network.ask(entry, session, READ), AnswerStatement)
    assert network.time - started <= SECOND
    started = network.time
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert network.time - started <= 200 * MILLISECOND
    assert network.owner(entry) != owner
    check_nothing_ran_twice(network)


@pytest.mark.parametrize("fail", LOSSES)
@pytest.mark.parametrize(
    ("in_transaction", "command", "fault"),
    [
        (False, WRITE, Fault.IN_DOUBT),
        (False, READ, None),
        (True, WRITE, Fault.ABORTED),
        (True, READ, Fault.ABORTED),
        (True, COMMIT, Fault.IN_DOUBT),
    ],
)
def test_outcome_without_the_owners_word(
    fail: Failure, in_transaction: bool, command: Command, fault: Fault | None
) -> None:
    """Guards against "not run" for what may have run, and against a second run."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    if in_transaction:
        session = begin_work(network, entry)
    network.send_statement(entry, session, command)
    network.run(TICK)
    fail(network, owner, entry)
    network.run(1.5 * SECOND)
    assert fault_of(network.last(entry, session)) is fault
    assert isinstance(network.ask(entry, session, COMMIT), RefuseStatement)
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    check_nothing_ran_twice(network)


@pytest.mark.parametrize("fail", LOSSES)
def test_idle_transaction_of_a_lost_owner_is_rolled_back(fail: Failure) -> None:
    """Guards against a transaction that goes on without its first statements."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    fail(network, owner, entry)
    answer = network.ask(entry, session, WRITE)
    assert fault_of(answer) is Fault.ABORTED
    assert fault_of(network.ask(entry, session, COMMIT)) is Fault.ABORTED
    check_nothing_ran_twice(network)
    assert not network.committed


def run_until_stage(network: OwnerNetwork, owner: str, stage: Stage) -> None:
    """Run until the owner's only statement is in a stage."""
    rows = network.nodes[owner].state.operations
    end = network.time + SECOND
    while [row.stage for row in rows.values()] != [stage]:
        assert network.time < end
        network.run(TICK)


@pytest.mark.parametrize("command", [READ, WRITE])
@pytest.mark.parametrize("stage", [Stage.QUEUED, Stage.RUNNING])
def test_owner_that_lost_a_stream_to_the_entry_answers(
    command: Command, stage: Stage
) -> None:
    """Guards against an answer that is dropped when one of two streams is lost.

    The entry's own stream still works, so it hears nothing of the loss.
    """
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    network.send_statement(entry, session, command)
    run_until_stage(network, owner, stage)
    network.deliver(owner, PeerLost(entry, frozenset()))
    network.run(SECOND)
    assert isinstance(network.last(entry, session), AnswerStatement)
    check_nothing_ran_twice(network)


def test_entry_hears_that_its_transaction_was_rolled_back() -> None:
    """Guards against a statement in a transaction that is never answered."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    network.send_statement(entry, session, WRITE)
    run_until_stage(network, owner, Stage.RUNNING)
    network.deliver(owner, PeerLost(entry, frozenset()))
    network.run(0.5 * SECOND)
    assert fault_of(network.last(entry, session)) is Fault.ABORTED
    check_nothing_ran_twice(network)
    assert not network.committed


def test_owner_without_a_way_to_the_endpoint_is_replaced() -> None:
    """Guards against an owner that keeps an endpoint it can't reach."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    network.cut.add(owner)
    network.ask(entry, session, READ)
    for _ in range(3):
        assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert len(network.executed) == len(set(network.executed))


def test_transactions_stay_when_the_owner_is_replaced() -> None:
    """Guards against a rollback of healthy transactions by a change of owner."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    forwarding.avoid(owner, DATABASE, network.nodes[entry].state)
    other = network.open_client(entry)
    assert network.owner(entry) != owner
    assert isinstance(network.ask(entry, other, WRITE), AnswerStatement)
    assert len({name for name, _ in network.backends}) == 2
    assert isinstance(network.ask(entry, session, COMMIT), AnswerStatement)
    assert len(network.committed) == 2


def test_two_owners_stay_below_the_limit() -> None:
    """Guards against refusals where instances disagree about the owner."""
    network = make_fleet()
    owner = network.owner()
    for index, name in enumerate(network.nodes):
        if index % 2 and name != owner:
            row = network.nodes[name].state
            ownership.owner_row(owner, row).avoided[""] = network.time + 60 * SECOND
    sessions = {
        name: network.open_client(name, index)
        for index, name in enumerate(network.nodes)
    }
    for _ in range(3):
        for name, session in sessions.items():
            network.send_statement(name, session, WRITE)
            network.run(2 * TICK)
    network.run(SECOND)
    answers = [answer for items in network.answers.values() for answer in items]
    print(
        [(a.refusal) for a in answers if isinstance(a, RefuseStatement)],
        network.refused_connections,
    )
    assert all(isinstance(answer, AnswerStatement) for answer in answers)
    assert len(network.executed) == len(set(network.executed)) == 3 * len(sessions)


def test_stopping_owner_finishes_its_transactions() -> None:
    """Guards against refusals because of a planned stop."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    network.deliver(owner, StopRequested())
    other = network.open_client(entry)
    for _ in range(3):
        assert isinstance(network.ask(entry, other, WRITE), AnswerStatement)
        assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert isinstance(network.ask(entry, session, COMMIT), AnswerStatement)
    network.run(4 * SECOND)
    assert not network.nodes[owner].alive


def test_stopping_owner_gives_transactions_their_time() -> None:
    """Guards against a rollback at the owner before the time that clients have."""
    network = make_fleet(stop_timeout=4 * SECOND, stop_transaction_timeout=3 * SECOND)
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    network.deliver(owner, StopRequested())
    network.run(2800 * MILLISECOND)
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert isinstance(network.ask(entry, session, COMMIT), AnswerStatement)


def test_stopping_entry_gives_transactions_their_time() -> None:
    """Guards against a rollback at the entry before the time that clients have."""
    network = make_fleet(stop_timeout=4 * SECOND, stop_transaction_timeout=3 * SECOND)
    entry = network.entry()
    session = begin_work(network, entry)
    network.deliver(entry, StopRequested())
    network.run(2800 * MILLISECOND)
    assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)
    assert isinstance(network.ask(entry, session, COMMIT), AnswerStatement)


@pytest.mark.parametrize("leaves", [True, False])
def test_transaction_of_a_lost_client_is_rolled_back(leaves: bool) -> None:
    """Guards against transactions that stay open when the client or entry is gone."""
    network = make_fleet()
    entry = network.entry()
    session = begin_work(network, entry)
    if leaves:
        network.deliver(entry, SessionClosed(session))
        network.run(5 * TICK)
    else:
        network.kill(entry)
        network.run(4 * SECOND)
    assert not network.open_work and not network.committed
    assert not network.nodes[network.owner()].state.served


def test_owner_without_the_store_gives_statements_back() -> None:
    """Guards against refusals because only the owner lost the store."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    for name in network.nodes:
        if name != owner:
            network.partitions.add(frozenset((name, owner)))
    network.partitions.add(frozenset(("store", owner)))
    network.run(6 * SECOND)
    network.partitions = {frozenset(("store", owner))}
    for _ in range(3):
        assert isinstance(network.ask(entry, session, WRITE), AnswerStatement)


def test_instances_of_the_build_before_own_nothing() -> None:
    """Guards against forwards that the receiver can't read."""
    network = make_fleet()
    state = network.nodes[network.entry()].state
    for row in state.instances.values():
        row.serves_sessions = False
    assert ownership.owner_of(DATABASE, state) == ""
    session = network.open_client(state.settings.name)
    answer = network.ask(state.settings.name, session, WRITE)
    assert isinstance(answer, AnswerStatement) and answer.phase is Phase.IDLE


@pytest.mark.parametrize("in_transaction", [False, True])
def test_owner_checks_the_key_by_its_own_copy(in_transaction: bool) -> None:
    """Guards against a withdrawn key that is used because the entry's copy is older."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = (
        begin_work(network, entry) if in_transaction else network.open_client(entry)
    )
    network.nodes[owner].state.configuration.keys.clear()
    before = len(network.executed)
    network.send_statement(entry, session, WRITE)
    network.run(5 * TICK)
    assert not any(key[0] == owner for key in network.open_work)
    if in_transaction:
        assert fault_of(network.last(entry, session)) is Fault.KEY_INVALID
        assert len(network.executed) == before
    else:  # Another owner, whose copy has the key, runs it.
        assert owner not in {name for name, _ in network.backends}


def test_owner_checks_the_fence_before_each_send() -> None:
    """Guards against work at a replaced primary that only the owner knows of."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = begin_work(network, entry)
    state = network.nodes[owner].state
    state.settings = evolve(state.settings, primary_fencing="instances")
    fence_row(GROUP, state).told = PromotionDecision(1, "e2")
    answer = network.ask(entry, session, WRITE)
    assert fault_of(answer) is Fault.ABORTED
    assert len(network.executed) == 1 and not network.open_work
