"""A primary that leaves, in a group whose commits wait for a replica."""

from collections import Counter, defaultdict
from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest
from attrs import define, field

from pimentodrift.evacuation.messages import Evacuation
from pimentodrift.evacuation.rows import SwitchoverStage
from pimentodrift.fencing.decisions import PrimaryFencing
from pimentodrift.kind_messages import Gone, WatchedKind
from pimentodrift.messages import Position, WriteStore
from pimentodrift.session_messages import (
    ApplyStep,
    Fault,
    OpenPooled,
    ReplicaCommand,
)
from pimentodrift.session_rows import EndpointRole

from .session_support import (
    GROUP,
    MILLISECOND,
    SECOND,
    make_endpoint,
)
from .split_group import Member
from .test_switchover import (
    ZONES,
    EvacuatedNetwork,
    results,
    run_until_stage,
    start_group,
)

NAMES = ("a", "b", "c")


@define
class LeavingNetwork(EvacuatedNetwork):
    """A commit is acknowledged once a replica has received it, and applied later."""

    leaving: set[str] = field(factory=set)
    transit: dict[str, timedelta] = field(factory=dict)  # To replicas; else 5 ms.
    lags: dict[str, timedelta] = field(factory=dict)  # Of replicas; else `lag`.
    jitter: timedelta = timedelta(0)  # Longest addition to a commit's transit.
    received: Counter[str] = field(factory=Counter)  # Last offset, by replica.
    received_terms: Counter[str] = field(factory=Counter)  # Of the last commit.
    knows_commands: bool = True  # Replicas stop receiving when they are told so.
    stopped: set[str] = field(factory=set)  # Replicas that receive nothing.
    dropped: set[str] = field(factory=set)  # Acknowledged commits that were lost.
    mute: set[str] = field(factory=set)  # Databases that can't reach the store.
    starts: Counter[str] = field(factory=Counter)  # Starts after the first, by name.
    unlisted: set[str] = field(factory=set)  # Instances that fail to list themselves.
    # When connections were opened, by database.
    uses: defaultdict[str, list[timedelta]] = field(factory=lambda: defaultdict(list))

    def register(self, name: str) -> None:
        member = self.members[name]
        role = EndpointRole.PRIMARY if member.believes else EndpointRole.REPLICA
        entry = make_endpoint(
            role=role,
            is_leaving=name in self.leaving,
            data_centre=ZONES[name],
            incarnation=1 + self.starts[name],
        )
        if name not in self.mute:
            self.change(WatchedKind.REGISTRY, name, entry)

    def restart_empty(self, name: str) -> None:
        """Start a replica again, under its name and without its log."""
        self.starts[name] += 1
        self.received[name] = self.members[name].offset = 0
        for key in [key for key, other in self.links.items() if other == name]:
            del self.links[key]
        self.register(name)

    def perform(self, name: str, message: object) -> None:
        is_listing = isinstance(message, WriteStore) and message.kind == "instance"
        if not (is_listing and name in self.unlisted):
            super().perform(name, message)

    def open(self, name: str, message: OpenPooled) -> None:
        self.uses[message.endpoint].append(self.time)
        super().open(name, message)

    def run_step(self, member: Member, step: ApplyStep) -> Fault | None:
        before = member.offset
        fault = super().run_step(member, step)
        if member.offset > before and member.name == self.leader:
            self.replicate(member)
        return fault

    def replicate(self, leader: Member) -> None:
        """Send the log of the leader to the replicas."""
        for name in self.members:
            delay = self.transit.get(name, 5 * MILLISECOND)
            delay += self.jitter * self.random.random()
            self.schedule(delay, self.reception(leader.name, name, leader.offset))

    def reception(self, source: str, name: str, offset: int) -> Callable[[], None]:
        """Return the action that brings a commit to a replica of its primary."""

        def receive() -> None:
            if source == self.leader and name not in {*self.stopped, source}:
                self.received[name] = max(self.received[name], offset)
                self.received_terms[name] = self.members[source].term
                self.schedule(self.lags.get(name, self.lag), apply)

        def apply() -> None:
            member = self.members[name]
            if source == self.leader:
                member.offset = max(member.offset, min(offset, self.received[name]))
                member.term = self.members[source].term

        return receive

    def replication(self, source: str, offset: int) -> Callable[[], None]:
        return lambda: None  # A replica applies what it has received.

    def carry_out(
        self, member: Member, command: ReplicaCommand, term: int
    ) -> tuple[Position | None, bool, int]:
        newest = max(item.term for item in self.members.values())
        if command is ReplicaCommand.NONE or member.believes:
            return None, False, newest
        if command is ReplicaCommand.RESUME_RECEIVING:
            self.stopped.discard(member.name)
            last = self.members[self.leader].offset
            self.reception(self.leader, member.name, last)()
        elif self.knows_commands and term > newest:
            self.stopped.add(member.name)
        last = max(member.offset, self.received[member.name])
        log_term = max(member.term, self.received_terms[member.name])
        return Position(log_term, last), self.knows_commands, newest

    def take_over(self, name: str) -> None:
        """Make a database the leader; what it has not received is dropped."""
        if name != self.leader:
            has = max(self.received[name], self.members[name].offset)
            acknowledged = max(self.received.values())
            self.dropped |= {
                number
                for number in self.acknowledged
                if has < self.offsets[number] <= acknowledged
            }
            for other, member in self.members.items():
                member.offset = has if other == name else min(member.offset, has)
                self.received[other] = min(self.received[other], has)
            self.stopped.clear()
        old = self.members[self.leader]
        super().take_over(name)
        if name != old.name:
            self.step_down(old)  # The platform deposes it with the promotion.
            self.replicate(self.members[name])

    def leave(self, name: str) -> None:
        self.leaving.add(name)
        self.register(name)


def make_group(
    sync_replicas: int = 1,
    fencing: PrimaryFencing = PrimaryFencing.PLATFORM,
    seed: int = 1,
    **settings: object,
) -> LeavingNetwork:
    network = LeavingNetwork(Random(seed), settings=settings)
    start_group(network, NAMES, fencing, sync_replicas)
    return network


def check_writes(network: LeavingNetwork) -> None:
    """Check that each instance has a write acknowledged in the next second."""
    before = len(network.acknowledged)
    network.play(SECOND)
    assert len(network.acknowledged) > before + len(NAMES)


@pytest.mark.parametrize("fencing", PrimaryFencing)
@pytest.mark.parametrize("seed", range(3))
def test_leaving_primary_is_replaced_without_loss(
    fencing: PrimaryFencing, seed: int
) -> None:
    """Guards against acknowledged commits that the next primary lacks.

    A commit of the time between the choice of a replica and its promotion may have been
    received by another replica only.
    """
    network = make_group(fencing=fencing, seed=seed)
    network.transit["e3"] = 40 * MILLISECOND
    network.leave("e1")
    network.play(3 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong
    assert results(network) == ["done"]
    check_writes(network)


def test_group_without_synchronous_replicas_waits_for_nothing() -> None:
    """Guards against a hold of the work where a promotion may drop commits."""
    network = make_group(sync_replicas=0)
    network.leave("e1")
    network.play(SECOND)
    assert network.leader != "e1"
    assert not results(network)


@pytest.mark.parametrize("stage", SwitchoverStage)
def test_coordinator_killed_halfway(stage: SwitchoverStage) -> None:
    """Guards against a switchover that nobody ends, and one that loses commits."""
    network = make_group()
    network.leave("e1")
    network.kill(run_until_stage(network, stage))
    network.play(8 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong
    check_writes(network)


def test_primary_that_goes_before_its_replicas_caught_up() -> None:
    """Guards against a group without a primary after a switchover that failed."""
    network = make_group()
    network.lag = timedelta(seconds=30)
    network.leave("e1")
    network.play(4 * SECOND)
    assert network.leader == "e1" and "not-caught-up" in results(network)
    network.members["e1"].is_up = False
    network.change(WatchedKind.REGISTRY, "e1", Gone())
    network.play(10 * SECOND)
    assert network.leader != "e1"
    check_writes(network)


def test_leaving_primary_that_crashes() -> None:
    """Guards against a crash that goes unnoticed because the primary is leaving."""
    network = make_group()
    network.lag = timedelta(seconds=30)
    network.leave("e1")
    network.play(SECOND)
    network.members["e1"].is_up = False
    network.play(6 * SECOND)
    assert network.leader != "e1"
    assert not any(GROUP in node.state.primary_holds for node in network.nodes.values())
    check_writes(network)


def leave_without(lone: str, network: LeavingNetwork) -> None:
    """Let the primary leave while an instance is cut off from the others."""
    for name in NAMES:
        network.partitions.add(frozenset((lone, name)))
    network.leave("e1")
    network.play(6 * SECOND)
    assert not network.dropped and not network.wrong
    network.partitions.clear()
    network.play(6 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong
    check_writes(network)


@pytest.mark.parametrize("lone", NAMES)
def test_instance_that_is_cut_off_as_the_primary_leaves(lone: str) -> None:
    """Guards against a change of primary while an instance writes at the old one.

    The cut refuses connections, as the machine of an ended process does.
    """
    for seed in range(1, 4):
        network = make_group(seed=seed)
        network.jitter = 60 * MILLISECOND
        network.partitions_refuse = True
        network.partitions.add(frozenset((lone, "store")))
        leave_without(lone, network)


def test_instance_that_does_not_confirm() -> None:
    """Guards against a change of primary while an instance writes at the old one."""
    leave_without("a", make_group())


# --- A primary that fails


def crash(network: LeavingNetwork, name: str) -> None:
    network.members[name].is_up = False


@pytest.mark.parametrize("knows_commands", [True, False])
def test_received_commits_count(knows_commands: bool) -> None:
    """Guards against a replica that has applied more and received less than another.

    Databases that do not carry out the command go on receiving, so none is chosen.
    """
    network = make_group()
    network.knows_commands = knows_commands
    network.transit["e2"], network.lags["e2"] = 200 * MILLISECOND, MILLISECOND
    network.lags["e3"] = 2 * SECOND
    network.play(3 * SECOND)
    crash(network, "e1")
    network.play(4 * SECOND)
    assert network.leader == ("e3" if knows_commands else "e1")
    network.knows_commands = True
    network.play(4 * SECOND)
    assert network.leader == "e3"
    assert not network.dropped
    check_writes(network)


def test_replica_that_answers_late() -> None:
    """Guards against a choice before the only replica with a commit has answered."""
    network = make_group()
    network.transit["e2"] = 400 * MILLISECOND
    network.play(SECOND)
    for name in NAMES:
        network.partitions.add(frozenset((name, "e3")))
    crash(network, "e1")
    network.play(3 * SECOND)
    assert network.leader == "e1"
    network.partitions.clear()
    network.play(3 * SECOND)
    assert network.leader == "e3"
    assert not network.dropped
    check_writes(network)


def test_replica_that_is_lost_with_the_primary() -> None:
    """Guards against a choice without a replica that is gone and may have a commit.

    Nor may the group stay without a primary once that is back.
    """
    network = make_group()
    crash(network, "e1")
    crash(network, "e3")
    network.play(2 * SECOND)
    assert network.leader == "e1"
    network.change(WatchedKind.REGISTRY, "e3", Gone())
    network.play(6 * SECOND)
    assert network.leader == "e1"
    network.members["e3"].is_up = True
    network.register("e3")
    network.play(3 * SECOND)
    assert network.leader in ("e2", "e3")
    assert not network.dropped
    check_writes(network)


def test_leaving_replica_with_the_longest_log() -> None:
    """Guards against commits that only a leaving replica has received."""
    network = make_group()
    network.transit["e2"] = 5 * SECOND
    network.play(SECOND)
    network.leave("e3")
    network.play(0.2 * SECOND)
    crash(network, "e1")
    network.play(2.5 * SECOND)
    assert network.leader == "e3"
    network.transit.clear()
    network.play(6 * SECOND)
    assert not network.dropped
    assert network.leader == "e2"  # e3 led for a while, and was replaced as planned.
    assert network.tokens
    check_writes(network)


@pytest.mark.parametrize("seed", [4, 6, 10, 11])
def test_primary_that_serves_some_instances(seed: int) -> None:
    """Guards against commits that are acknowledged while a replica is promoted."""
    network = make_group(seed=seed)
    network.jitter = 100 * MILLISECOND
    for name in ("a", "b"):
        network.partitions.add(frozenset((name, "e1")))
    network.play(5 * SECOND)
    assert network.leader != "e1"
    assert not network.dropped and not network.wrong
    network.partitions.clear()
    network.play(2 * SECOND)
    check_writes(network)


def test_primary_that_comes_back() -> None:
    """Guards against replicas that receive nothing after a failure that has ended."""
    network = make_group()
    for name in NAMES:
        network.partitions |= {frozenset((name, "e1")), frozenset((name, "e3"))}
    network.play(2 * SECOND)
    assert network.stopped == {"e2"}
    for name in NAMES:
        network.partitions.discard(frozenset((name, "e1")))
    network.play(2 * SECOND)
    assert network.leader == "e1"
    assert not network.stopped
    check_writes(network)


def test_replica_in_an_evacuated_data_centre() -> None:
    """Guards against a choice without a replica that must not be asked.

    Nor may the group stay without a primary once it may be asked again.
    """
    network = make_group(evacuation_bound=5 * SECOND)
    network.change(WatchedKind.EVACUATIONS, "z3", Evacuation())
    since = network.time
    network.play(6 * SECOND)
    crash(network, "e1")
    network.play(4 * SECOND)
    assert network.leader == "e1"
    assert not [at for at in network.uses["e3"] if at > since + 5 * SECOND]
    network.change(WatchedKind.EVACUATIONS, "z3", Gone())
    network.play(3 * SECOND)
    assert network.leader in ("e2", "e3")
    assert not network.dropped
    check_writes(network)
