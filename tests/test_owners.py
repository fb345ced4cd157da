"""Statements of sessions at the owner of their endpoint."""

from collections.abc import Set
from random import Random

import pytest

from pimentodrift.messages import Position
from pimentodrift.owners.ownership import owner_of
from pimentodrift.session_messages import AnswerStatement, Begin, Phase

from .capped_database import DATABASE
from .owner_support import COUNT, OwnerNetwork, make_fleet
from .session_support import COMMIT, MILLISECOND, READ, SECOND, WRITE

TICK = 20 * MILLISECOND
REPLICAS = ("e2", "e3")


def offer(network: OwnerNetwork, seconds: int) -> None:
    """Send 50 writes/s of all workspaces to all instances."""
    random = Random(3)
    for _ in range(seconds * 50):
        name = f"i{random.randrange(COUNT)}"
        network.request(name, f"w{random.randrange(COUNT)}", WRITE)
        network.run(TICK)


def test_connections_are_used_again() -> None:
    """Guards against a new connection for almost every statement of a large fleet."""
    results = {}
    for mode in ("never", "auto"):
        network = make_fleet(endpoint_owners=mode)
        before = network.opened_connections
        offer(network, 10)
        network.run(SECOND)
        opened = network.opened_connections - before
        results[mode] = opened, network.in_time(), network.refused_connections
    assert results["auto"][0] < results["never"][0] / 3
    assert results["auto"][1] >= 0.98
    assert results["auto"][2] == 0


def test_statements_and_transactions_run_at_the_owner() -> None:
    """Guards against an entry that runs statements on connections of its own."""
    network = make_fleet()
    entry, owner = network.entry(), network.owner()
    session = network.open_client(entry)
    for command, phase in (
        (WRITE, Phase.IDLE),
        (Begin(), Phase.OPEN),
        (WRITE, Phase.OPEN),
        (READ, Phase.OPEN),
        (COMMIT, Phase.IDLE),
        (READ, Phase.IDLE),
    ):
        answer = network.ask(entry, session, command)
        assert isinstance(answer, AnswerStatement) and answer.phase is phase
    assert {name for name, _ in network.backends} == {owner}
    assert not network.nodes[owner].state.served
    assert not network.nodes[owner].state.sessions


def read_at_replicas(
    network: OwnerNetwork, database: str, count: int, skipped: Set[str] = frozenset()
) -> None:
    """Let clients of all workspaces read, four times a second each."""
    sessions = [
        (name, network.open_client(name, index, database))
        for index, name in enumerate(network.nodes)
        if name not in skipped
    ]
    for index in range(count):
        name, session = sessions[index % len(sessions)]
        network.send_statement(name, session, READ)
        network.run(TICK)
    network.run(SECOND)
    answers = [network.answers[client] for client in sessions]
    assert sum(map(len, answers)) == count
    assert all(isinstance(item, AnswerStatement) for items in answers for item in items)


@pytest.mark.parametrize("database", ["db", "own-db"])
def test_reads_go_to_replicas_with_few_questions(database: str) -> None:
    """Guards against reads that all go to the primary, for want of its position."""
    network = make_fleet()
    writer = network.open_client("i0")
    network.ask("i0", writer, WRITE)
    network.ran_at.clear()
    started = network.time
    read_at_replicas(network, database, 200)
    states = [node.state for node in network.nodes.values()]
    queries = sum(state.counters["owners.position_queries"] for state in states)
    assert network.ran_at["e2"] + network.ran_at["e3"] >= 190
    assert min(network.ran_at["e2"], network.ran_at["e3"]) >= 50
    assert queries <= 2 * ((network.time - started) / (200 * MILLISECOND) + 2)


def test_reads_at_replicas_that_are_behind_go_to_the_primary() -> None:
    """Guards against reads of data that is older than the route allows."""
    network = make_fleet()
    writer = network.open_client("i0")
    network.ask("i0", writer, WRITE)
    network.replica_position = Position(1, 0)
    network.ran_at.clear()
    read_at_replicas(network, "db", 20)
    assert network.ran_at == {DATABASE: 20}


def test_reads_without_a_position_go_to_the_primary() -> None:
    """Guards against reads that fail because the primary's owner tells no position."""
    network = make_fleet()
    network.run(SECOND)
    owner = network.owner()
    replica_owners = {owner_of(name, network.nodes["i0"].state) for name in REPLICAS}
    for name in replica_owners - {owner}:
        network.partitions.add(frozenset((name, owner)))
    network.ran_at.clear()
    read_at_replicas(network, "db", 20, skipped=replica_owners)
    assert network.ran_at.total() == 20
