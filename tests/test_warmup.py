"""Cold endpoints: few statements in any second, whatever fails, and reads elsewhere."""

from collections import Counter, deque
from collections.abc import Iterable
from datetime import timedelta
from random import Random

from attrs import define, evolve, field
from pytest import mark

from pimentodrift.kind_messages import WatchedKind
from pimentodrift.session_messages import (
    AnswerStatement,
    ApplyStep,
    BeginWork,
    CommitWork,
    Fault,
    PooledLost,
    RefuseStatement,
    RunStatement,
    SessionClosed,
    SessionStatement,
)
from pimentodrift.session_rows import EndpointRole
from pimentodrift.warmup import knowledge
from pimentodrift.warmup.decisions import ColdLimit, bucket_for, limited_time

from .session_support import (
    BEGIN,
    COMMIT,
    MILLISECOND,
    READ,
    SECOND,
    TICK,
    WRITE,
    SessionHarness,
    make_configuration,
    make_endpoint,
    make_harness,
)
from .split_group import DATABASES, Member, SplitNetwork

START = 6 * SECOND
RATE = 10.0
LIMIT = RATE * 1.5 + 5  # As the defaults of the settings say.
COUNTED = RunStatement | CommitWork | BeginWork


@define
class ColdNetwork(SplitNetwork):
    """A network whose databases restart; records what arrives while one is cold."""

    started: dict[str, timedelta] = field(factory=dict)
    incarnations: Counter[str] = field(factory=Counter)
    arrivals: dict[str, list[timedelta]] = field(factory=dict)
    refused: int = 0
    refused_reads: int = 0
    reading: set[str] = field(factory=set)  # Instances whose statement is a read.
    reads: Counter[str] = field(factory=Counter)

    def register(self, name: str) -> None:
        since = self.time - self.started.get(name, -START)
        left = max(timedelta(0), START - since)
        role = EndpointRole.PRIMARY if self.members[name].believes else None
        entry = make_endpoint(
            role=role or EndpointRole.REPLICA,
            incarnation=self.incarnations[name],
            cold_left=left,
        )
        self.change(WatchedKind.REGISTRY, name, entry)

    def restart_database(
        self, name: str, down: timedelta = 5 * TICK, late: timedelta = TICK
    ) -> None:
        """Start a database anew after `down`; it writes its entry `late`."""
        member = self.members[name]
        member.is_up = False

        def start() -> None:
            member.is_up = True
            self.started[name] = self.time
            self.incarnations[name] += 1
            self.schedule(late, lambda: self.register(name))

        self.schedule(down, start)
        self.started[name] = self.time
        self.arrivals[name] = []
        for (instance, number), endpoint in list(self.links.items()):
            if endpoint == name:
                del self.links[instance, number]
                self.tell_loss(instance, number, name)

    def tell_loss(self, instance: str, number: int, name: str) -> None:
        """Tell an instance that a connection is gone, once it can be reached."""
        if self.reaches(instance, name):
            self.schedule(TICK, lambda: self.deliver(instance, PooledLost(number)))
        else:
            self.schedule(10 * TICK, lambda: self.tell_loss(instance, number, name))

    def run_step(self, member: Member, step: ApplyStep) -> Fault | None:
        name = member.name
        is_cold = self.time - self.started.get(name, -START) <= START
        if is_cold and isinstance(step, COUNTED):
            self.arrivals[name].append(self.time)
        if isinstance(step, RunStatement) and step.text.startswith("READ"):
            self.reads[name] += 1
            return None
        return super().run_step(member, step)

    def end_statement(self, name: str, is_acknowledged: bool) -> None:
        self.refused += not is_acknowledged
        self.refused_reads += not is_acknowledged and name in self.reading
        super().end_statement(name, is_acknowledged)

    def write_everywhere(self) -> None:
        """Send reads and writes through all instances, and reopen lost sessions."""
        for name, node in self.nodes.items():
            if not node.alive or node.paused:
                continue
            if 1 not in node.state.sessions:
                self.sent.pop(name, None)
                self.open_session(name)
            elif name not in self.sent:
                self.statements += 1
                number = f"{name}-{self.statements}"
                self.sent[name] = number
                command = self.random.choice([READ, READ, WRITE])
                (self.reading.add if command is READ else self.reading.discard)(name)
                self.deliver(name, SessionStatement(1, number, command))

    def worst_second(self) -> int:
        """Return the most statements that a cold database got in any second."""
        worst = 0
        for times in self.arrivals.values():
            window: deque[timedelta] = deque()
            for at in times:
                window.append(at)
                while at - window[0] >= SECOND:
                    window.popleft()
                worst = max(worst, len(window))
        return worst

    def restart_instance(self, name: str) -> None:
        for key in [key for key in self.links if key[0] == name]:
            del self.links[key]
        self.sent.pop(name, None)
        self.restart(name)

    def fault(self, random: Random, names: Iterable[str]) -> None:
        """Cause a random fault, or end those that there are."""
        one = random.choice(sorted(names))
        match random.randrange(8):
            case 0:
                other = random.choice([*names, "store", *DATABASES])
                self.partitions.add(frozenset((one, other)))
            case 1:
                self.partitions.clear()
                self.store_down = False
            case 2:
                self.nodes[one].paused = True
            case 3:
                for name, node in self.nodes.items():
                    if node.paused:
                        self.resume(name)
            case 4:
                self.restart_instance(one)
            case 5:
                holder = self.objects.get(("allocator", "cold.e1"))
                if holder is not None and holder.value is not None:
                    self.nodes[str(holder.value["holder"])].paused = True
            case 6:
                self.store_down = random.random() < 0.5
            case 7:
                name = random.choice(DATABASES)
                if self.members[name].is_up:
                    self.register(name)


def make_cold_network(count: int, seed: int) -> ColdNetwork:
    network = ColdNetwork(Random(seed))
    # The load is several times the limit, and no workspace is over its rate.
    network.configure(
        evolve(
            make_configuration(rate=5000.0, burst=5000.0),
            cold={"g1": ColdLimit(START, RATE)},
        )
    )
    for index in range(count):
        network.add(f"i{index:02}", f"r{index % 2}")
    network.start()
    return network


@mark.parametrize(("count", "seed"), [(5, 1), (5, 2), (5, 3), (5, 4), (20, 5)])
def test_no_second_exceeds_the_limit(count: int, seed: int) -> None:
    """Guards against instances that together send more than a cold database takes."""
    network = make_cold_network(count, seed)
    random = Random(seed)
    network.play(2 * SECOND)
    sent = 0
    for _ in range(4 if count > 16 else 8):
        name = random.choice(DATABASES[:2])
        down, late = random.uniform(0.05, 1.0), random.uniform(0.0, 0.2)
        network.restart_database(name, down * SECOND, late * SECOND)
        for _ in range(4):
            network.fault(random, network.nodes)
            network.play(random.choice([0.3, 1.0, 2.0]) * SECOND)
            assert network.worst_second() < LIMIT
        sent += sum(map(len, network.arrivals.values()))
    assert sent


def test_instances_without_a_connection_learn_of_a_restart() -> None:
    """Guards against new connections that are not limited before the registry tells."""
    network = make_cold_network(20, 3)
    network.play(SECOND)
    network.run(5 * SECOND)  # Idle connections are closed.
    others = [name for name in network.nodes if name != "i00"]
    network.sent = dict.fromkeys(others, "idle")
    network.play(0.5 * SECOND)
    for name in others:
        del network.sent[name]
    network.restart_database("e1", 2 * TICK, 10 * TICK)
    network.play(2 * SECOND)
    assert 0 < network.worst_second() < LIMIT


def test_reads_go_elsewhere_and_the_limit_ends() -> None:
    """Guards against reads that wait for a cold replica, and an endless limit."""
    network = make_cold_network(5, 1)
    network.play(2 * SECOND)
    network.refused = 0
    network.restart_database("e2")
    network.reads.clear()
    network.play(START)
    assert network.refused == 0
    assert network.reads["e2"] < network.reads["e1"] + network.reads["e3"]
    assert network.worst_second() < LIMIT
    network.run(limited_time(START) - START + SECOND)
    for node in network.nodes.values():
        assert not knowledge.is_cold("e2", node.state)


def test_reads_go_on_while_the_primary_is_cold() -> None:
    """Guards against replica reads that each need a statement of the cold primary."""
    network = make_cold_network(20, 3)
    network.play(2 * SECOND)
    network.restart_database("e1")
    network.play(SECOND)
    network.refused_reads = 0
    network.reads.clear()
    network.play(3 * SECOND)
    assert network.reads["e2"] + network.reads["e3"] > 10 * network.refused_reads
    assert network.worst_second() < LIMIT


def test_without_a_cold_time_nothing_is_limited() -> None:
    """Guards against a limit in deployments that declare none."""
    network = make_cold_network(5, 1)
    network.configure(make_configuration(2, rate=5000.0, burst=5000.0))
    network.run(SECOND)
    network.restart_database("e1")
    network.play(3 * SECOND)
    assert network.worst_second() > LIMIT
    assert not any(node.state.cold_limits for node in network.nodes.values())


# --- One instance


def make_cold_harness(rate: float = 1.0) -> SessionHarness:
    harness = make_harness()
    cold = {"g1": ColdLimit(START, rate)}
    harness.configure(evolve(make_configuration(2), cold=cold))
    for name in harness.databases:
        role = EndpointRole.PRIMARY if name == "e1" else EndpointRole.REPLICA
        harness.register(name, make_endpoint(role=role, cold_left=timedelta(0)))
    harness.run(2 * SECOND)
    harness.to_clients.clear()
    return harness


def make_primary_cold(harness: SessionHarness) -> None:
    harness.register(
        "e1", make_endpoint(role=EndpointRole.PRIMARY, cold_left=3 * SECOND)
    )


def drain(harness: SessionHarness) -> int:
    """Send writes until one waits; return the session of that one."""
    for _ in range(50):
        session = harness.open_session("primary-db")
        if harness.send(session, WRITE) is None:
            return session
    raise AssertionError("the limit admits everything")


@mark.parametrize("ending", ["token", "closed", "lost", "warm", "late"])
def test_write_that_waits_for_a_token(ending: str) -> None:
    """Guards against a wait that never ends, or that leaves a connection in use."""
    harness = make_cold_harness(1.0 if ending in ("token", "warm") else 0.01)
    make_primary_cold(harness)
    session = drain(harness)
    before = len(harness.executed("e1"))
    match ending:
        case "token":
            harness.run(2 * SECOND)
            assert isinstance(harness.last_message(session), AnswerStatement)
        case "closed":
            harness.deliver(SessionClosed(session))
            harness.run(TICK)
            assert len(harness.executed("e1")) == before
        case "lost":
            harness.break_connections("e1")
            harness.run(4 * SECOND)
            message = harness.last_message(session)
            assert isinstance(message, RefuseStatement)
            assert message.refusal.retry_after
        case "warm":
            harness.state.session_limits.cold.clear()
            harness.run(2 * SECOND)
            assert isinstance(harness.last_message(session), AnswerStatement)
        case "late":
            harness.run(2 * SECOND)
            message = harness.last_message(session)
            assert isinstance(message, RefuseStatement)
            assert "just started" in message.refusal.detail
    assert not harness.state.operations
    assert not any(row.operation for row in harness.state.pooled.values())


def test_transaction_whose_statement_waits_is_not_continued_elsewhere() -> None:
    """Guards against a statement that runs outside the transaction that was lost."""
    harness = make_cold_harness(0.01)
    session = harness.open_session("primary-db")
    harness.send(session, BEGIN)
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    make_primary_cold(harness)
    drain(harness)
    assert harness.send(session, WRITE) is None
    before = len(harness.executed("e1"))
    harness.break_connections("e1")
    message = harness.last_message(session)
    assert isinstance(message, RefuseStatement)
    assert message.refusal.fault is Fault.ABORTED
    assert len(harness.executed("e1")) == before
    assert isinstance(harness.send(session, COMMIT), RefuseStatement)


def test_lost_connection_counts_as_cold_until_a_later_entry() -> None:
    """Guards against a restart that the registry doesn't show yet."""
    harness = make_cold_harness()
    assert isinstance(harness.send(harness.open_session(), READ), AnswerStatement)
    assert not knowledge.is_cold("e1", harness.state)
    harness.send(harness.open_session("primary-db"), WRITE)
    harness.break_connections("e1")
    warm = make_endpoint(role=EndpointRole.PRIMARY, cold_left=timedelta(0))
    harness.run(SECOND)
    harness.register("e1", warm)  # It may have been written before the loss.
    assert knowledge.is_cold("e1", harness.state)
    harness.run(2 * SECOND)
    harness.register("e1", warm)
    assert not knowledge.is_cold("e1", harness.state)


def test_new_incarnation_without_a_remaining_time_is_cold() -> None:
    """Guards against an endpoint taken for warm because its entry says nothing."""
    harness = make_cold_harness()
    harness.register("e3", make_endpoint(incarnation=2))
    assert knowledge.is_cold("e3", harness.state)
    harness.run(limited_time(START) - 100 * MILLISECOND)
    assert knowledge.is_cold("e3", harness.state)
    harness.run(200 * MILLISECOND)
    assert not knowledge.is_cold("e3", harness.state)


@mark.parametrize("rate", [0.5, 1.0, 5.0, 20.0, 500.0])
@mark.parametrize(("excess", "slack"), [(1.0, 0), (1.0, 5), (1.5, 0), (1.5, 5)])
def test_bucket_stays_under_the_limit(rate: float, excess: float, slack: int) -> None:
    """Guards against a bucket that fills a second to the limit."""
    bucket = bucket_for(rate, excess, slack)
    most = bucket.burst + bucket.rate * 1.1
    assert most < rate * excess + slack
    assert bucket.burst == 0 or bucket.burst >= 1
