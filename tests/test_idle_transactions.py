"""Clients that are idle in transactions, and single statements beside them."""

from random import Random

from attrs import evolve

from pimentodrift import session_core
from pimentodrift.service_order import transactions
from pimentodrift.session_messages import Phase, RefuseStatement

from .order_support import ENTRY, KINDS, OrderNetwork
from .session_support import (
    BEGIN,
    COMMIT,
    MILLISECOND,
    SECOND,
    TICK,
    WRITE,
    SessionHarness,
    make_configuration,
    make_harness,
)


def play_holders(policy: str) -> OrderNetwork:
    """Let 120 clients hold transactions beside the usual load."""
    network = OrderNetwork(Random(1), settings={"queue_policy": policy})
    network.start()
    for number in range(120):
        workspace = f"w{number % network.workspaces}"
        delay = number / 240 * SECOND
        network.schedule(delay, lambda name=workspace: network.hold(name))
    network.run(SECOND)
    network.offer(1.0, 4 * SECOND)
    network.run(6 * SECOND)
    return network


def test_single_statements_find_connections_beside_transactions() -> None:
    """Guards against 120 idle clients that keep all 56 connections from the others."""
    before, after = play_holders("expected-wait"), play_holders("deadline-order")
    assert before.share("saves") < 0.5
    assert min(after.share(name) for name in KINDS) >= 0.98
    held = "holders", "held"
    assert after.outcomes[held] >= before.outcomes[held]
    pool = after.nodes[ENTRY].state.pools["e1"]
    state = after.nodes[ENTRY].state
    assert len(transactions.held(pool, state)) <= 42
    full = "holders", "as many transactions as e1 may have are open"
    assert after.outcomes[full] > 0


def begin(harness: SessionHarness) -> int:
    session = harness.open_session("primary-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    return session


def test_client_learns_why_its_transaction_was_rolled_back() -> None:
    """Guards against an end that comes too soon, or without its true reason."""
    limits = evolve(make_configuration(), transaction_idle=1200 * MILLISECOND)
    harness = make_harness(limits)
    session = begin(harness)
    row = harness.state.sessions[session]
    harness.run(1200 * MILLISECOND)
    assert row.phase is Phase.OPEN
    harness.run(2 * TICK)
    answer = harness.send(session, COMMIT)
    assert isinstance(answer, RefuseStatement)
    assert answer.refusal.detail.endswith("it was idle for more than 1200 ms")
    # The next transaction doesn't have the reason of the one before.
    harness.send(session, BEGIN)
    assert not row.failure


def test_pause_of_the_process_ends_no_transaction() -> None:
    """Guards against the end of transactions whose statements wait to be read."""
    harness = make_harness()
    session = begin(harness)
    harness.clock.advance(10 * SECOND)
    session_core.tick(harness.state)
    assert harness.state.sessions[session].phase is Phase.OPEN


def test_longest_wait_for_a_place() -> None:
    """Guards against clients that all return for the first transaction to end."""
    left = [3 * SECOND, SECOND, 2 * SECOND]
    times = [transactions.place_after(left, ahead) for ahead in range(4)]
    assert times == [SECOND, 2 * SECOND, 3 * SECOND, None]
