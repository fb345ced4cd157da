"""An instance is killed and started again while others still answer its questions."""

from datetime import timedelta
from random import Random
from typing import Any

import pytest
from attrs import evolve

from pimentodrift import (
    heartbeats,
    leadership,
    membership,
    process,
    session_process,
    view,
)
from pimentodrift.dispatch import handle_peer
from pimentodrift.evacuation import switchover
from pimentodrift.evacuation.messages import HoldConfirmed
from pimentodrift.messages import Position, SendPeer
from pimentodrift.owners import positions
from pimentodrift.owners.messages import (
    ForwardStatement,
    PositionQuery,
    PositionReport,
)
from pimentodrift.owners.rows import LATE_MESSAGES
from pimentodrift.peer_messages import Pong
from pimentodrift.runtime import first_number
from pimentodrift.session_messages import AnswerStatement
from pimentodrift.tables import State

from .capped_database import DATABASE
from .owner_support import COUNT, OwnerNetwork, make_fleet
from .session_support import GROUP, MILLISECOND, READ, SECOND, WRITE
from .support import make_state

STATEMENTS = 5
QUESTIONS = 60  # Of the next process; more than it takes to reach an earlier number.


def make_slow_fleet() -> OwnerNetwork:
    """Return a fleet whose database takes seconds for a statement."""
    network = OwnerNetwork(Random(1), timeout=20 * SECOND, slots=16)
    network.connection_limit = 16
    network.start(COUNT)
    for index in range(COUNT):
        network.add(f"i{index}", f"r{index % 3}")
    network.run(4 * SECOND)
    network.service = 5 * SECOND
    return network


def restart(network: OwnerNetwork, name: str, duration: timedelta) -> None:
    """Kill an instance, start it again and let it run for a while."""
    region = network.nodes[name].state.settings.region
    network.kill(name)
    network.add(name, region)
    network.run(duration)


def send_statements(network: OwnerNetwork, name: str) -> list[int]:
    """Send a statement in each of several new sessions; return the sessions."""
    sessions = [network.open_client(name) for _ in range(STATEMENTS)]
    for number, session in enumerate(sessions):
        network.send_statement(name, session, READ if number % 2 else WRITE)
    return sessions


@pytest.mark.parametrize("counts_from_zero", [False, True])
def test_answers_for_an_entry_that_was_restarted(counts_from_zero: bool) -> None:
    """Guards against results that reach the clients of the next process.

    An owner finishes the statements of an entry that was killed, and answers the
    instance of that name. The processes of builds before count from 0.
    """
    network = make_slow_fleet()
    entry = network.entry()
    restart(network, entry, SECOND)
    if counts_from_zero:
        network.nodes[entry].state.next_number = 0
    for _ in range(2):
        send_statements(network, entry)
        network.run(0.1 * SECOND)
    restart(network, entry, SECOND)
    if counts_from_zero:
        network.nodes[entry].state.next_number = 0
    sessions = send_statements(network, entry)
    network.run(15 * SECOND)
    answers = {session: network.last(entry, session) for session in sessions}
    signatures = {
        session: answer.signature
        for session, answer in answers.items()
        if isinstance(answer, AnswerStatement)
    }
    assert signatures
    for session, signature in signatures.items():
        assert signature.startswith(f"{entry}.{session}.")


def record_forwards(
    network: OwnerNetwork, owner: str, monkeypatch: pytest.MonkeyPatch
) -> list[ForwardStatement]:
    """Return the list of statements that an owner receives from now on."""
    received: list[ForwardStatement] = []
    original = OwnerNetwork.deliver

    def deliver(network: OwnerNetwork, to: str, message: object) -> None:
        forwarded = getattr(message, "message", None)
        if to == owner and isinstance(forwarded, ForwardStatement):
            received.append(forwarded)
        original(network, to, message)

    monkeypatch.setattr(OwnerNetwork, "deliver", deliver)
    return received


def test_late_message_of_an_ended_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against statements of the next process that are dropped for it.

    The entry is of a build before, whose processes count from 0.
    """
    network = make_slow_fleet()
    name, owner = network.entry(), network.owner()
    received = record_forwards(network, owner, monkeypatch)
    network.nodes[name].state.next_number = 0
    network.send_statement(name, network.open_client(name), WRITE)
    network.run(0.1 * SECOND)
    restart(network, name, SECOND)
    network.nodes[name].state.next_number = 0
    network.send_statement(name, network.open_client(name), WRITE)
    network.run(0.1 * SECOND)
    first, second = received
    state = network.nodes[owner].state
    handle_peer(first, name, state)
    assert [origin.process for origin in state.served] == [second.process]
    assert state.entries[name].process == second.process != first.process


@pytest.mark.parametrize("counts_from_zero", [False, True])
def test_message_of_an_unknown_ended_process(
    counts_from_zero: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an owner that takes the earlier process for the next one.

    The earlier process's only statement reaches the owner after those of the next one,
    as after a network partition. The next one's statements were dropped from then on.
    """
    network = make_slow_fleet()
    network.service = 20 * MILLISECOND
    name, owner = network.entry(), network.owner()
    state = network.nodes[owner].state
    received = record_forwards(network, owner, monkeypatch)
    session = network.open_client(name)
    if counts_from_zero:
        network.nodes[name].state.next_number = 0
    assert isinstance(network.ask(name, session, WRITE), AnswerStatement)
    earlier = evolve(received[-1], process=1)
    network.service = SECOND
    network.send_statement(name, session, WRITE)
    network.run(0.1 * SECOND)
    handle_peer(earlier, name, state)
    network.run(3 * SECOND)
    if not counts_from_zero:
        assert isinstance(network.last(name, session), AnswerStatement)
    network.run(LATE_MESSAGES)
    network.service = 20 * MILLISECOND
    session = network.open_client(name)
    assert isinstance(network.ask(name, session, WRITE), AnswerStatement)


@pytest.mark.parametrize(
    ("module", "assembly", "arguments"),
    [(process, "Instance", ()), (session_process, "SessionInstance", ((), None))],
)
def test_processes_count_from_numbers_of_their_own(
    module: Any, assembly: str, arguments: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against numbers by which an answer to an earlier process is taken."""
    states: list[State] = []

    class NothingToRun:
        has_stopped = True

        def __init__(self, state: State, *_others: object) -> None:
            states.append(state)

        def run(self) -> None:
            pass

    monkeypatch.setattr(module, assembly, NothingToRun)
    for _ in range(2):
        module.run(make_state().settings, *arguments)
    first, second = (state.new_number() for state in states)
    assert abs(first - second) > 1_000_000


# --- Other answers that are matched by a number


def next_process(before: State, seed: int) -> State:
    """Return the state of a new process that has read the same from the store."""
    state = State(before.settings, before.clock, Random(seed))
    state.next_number = first_number(Random(seed))
    state.view, state.configuration = before.view, before.configuration
    state.instances, state.endpoints = before.instances, before.endpoints
    state.kinds, state.groups = before.kinds, before.groups
    state.leaderships, state.registry = before.leaderships, before.registry
    state.routes, state.pools, state.fences = before.routes, before.pools, before.fences
    return state


def test_position_for_an_owner_that_was_restarted() -> None:
    """Guards against reads that may miss what was written before they were sent."""
    network = make_fleet()
    name = network.entry()
    network.ask(name, network.open_client(name), WRITE)
    before = network.nodes[name].state
    row = leadership.row_of(GROUP, before)
    first, second = next_process(before, 1), next_process(before, 2)
    positions.ask(positions.position_row(GROUP, first), first)
    (query,) = [item.message for item in first.outbox if isinstance(item, SendPeer)]
    assert isinstance(query, PositionQuery)
    report = PositionReport(query.number, GROUP, row.primary, Position(1, 7), 0)
    network.time += SECOND
    for _ in range(QUESTIONS):
        positions.ask(positions.position_row(GROUP, second), second)
        handle_peer(report, network.owner(), second)
    assert row.sampled_at < network.time


def test_heartbeat_answer_for_an_instance_that_was_restarted() -> None:
    """Guards against the use of a primary without contact to the other instances."""
    network = make_fleet()
    name, other = network.entry(), network.owner()
    before = network.nodes[name].state
    first, second = next_process(before, 1), next_process(before, 2)
    for state in (first, second):
        membership.track_contact(other, state)
    heartbeats.check_contact(first.contacts[other], first)
    (number,) = first.contacts[other].pings_sent
    for _ in range(QUESTIONS):
        second.contacts[other].unanswered = 0
        heartbeats.check_contact(second.contacts[other], second)
        handle_peer(Pong(number, 0, (), ()), other, second)
    assert second.contacts[other].attested_at < network.time


@pytest.mark.parametrize("tells_age", [True, False])
def test_answer_of_the_next_process(tells_age: bool) -> None:
    """Guards against an end that is concluded from less than the next process's word.

    The answer may be late, and a build before tells no age of its process.
    """
    network = make_fleet()
    state, other = network.nodes[network.entry()].state, network.owner()
    membership.track_contact(other, state)
    heartbeats.check_contact(state.contacts[other], state)
    (number,) = state.contacts[other].pings_sent
    asked_at = network.time
    network.time += 800 * MILLISECOND
    handle_peer(Pong(number, 0, uptime_ms=200 * tells_age), other, state)
    started = asked_at - 220 * MILLISECOND  # The other clock may be slower.
    assert membership.has_restarted_since(other, started, state) is tells_age
    assert not membership.has_restarted_since(other, asked_at, state)


@pytest.mark.parametrize("seeds", [(1, 2), (2, 1)])
def test_suspicion_after_a_heartbeat_answer_to_an_earlier_process(
    seeds: tuple[int, int],
) -> None:
    """Guards against work that is given to an instance which no longer answers."""
    network = make_fleet()
    name, other = network.entry(), network.owner()
    before = network.nodes[name].state
    first, second = (next_process(before, seed) for seed in seeds)
    membership.track_contact(other, first)
    heartbeats.check_contact(first.contacts[other], first)
    (number,) = first.contacts[other].pings_sent
    membership.suspect(other, second)
    row = second.instances[other]
    handle_peer(Pong(number, 0, (), ()), other, second)
    assert row.suspected_number is not None
    handle_peer(Pong(second.new_number(), 0, (), ()), other, second)
    assert row.suspected_number is None


def test_confirmed_hold_for_a_coordinator_that_was_restarted() -> None:
    """Guards against a promotion while an instance still writes at the old primary."""
    network = make_fleet()
    name, other = network.entry(), network.owner()
    before = network.nodes[name].state
    first, second = next_process(before, 1), next_process(before, 2)
    switchover.begin(GROUP, DATABASE, first)
    attempt = first.switchovers[GROUP]
    (number,) = attempt.sends
    confirmed = HoldConfirmed(GROUP, attempt.attempt, number, 1)
    for _ in range(QUESTIONS):
        switchover.begin(GROUP, DATABASE, second)
        handle_peer(confirmed, other, second)
        assert other not in second.switchovers[GROUP].confirmed


def test_copy_of_the_store_for_a_subscriber_that_was_restarted() -> None:
    """Guards against a copy that counts as younger than it is."""
    network = make_fleet()
    before = network.nodes[network.entry()].state
    first, second = next_process(before, 1), next_process(before, 2)
    number = view.new_subscription(first).number
    numbers = {view.new_subscription(second).number for _ in range(QUESTIONS)}
    assert number not in numbers
