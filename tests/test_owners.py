"""Statements of sessions at the owner of their endpoint."""

from random import Random

from pimentodrift.session_messages import AnswerStatement, Begin, Phase

from .owner_support import COUNT, OwnerNetwork, make_fleet
from .session_support import COMMIT, MILLISECOND, READ, SECOND, WRITE

TICK = 20 * MILLISECOND


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
