"""Instances in front of a database group whose old primary outlives a promotion.

A promotion takes effect some time after the call. The old primary then goes on until it
is told to step down, or until it has reached the new one for a second.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

from attrs import define, evolve, field

from pimentodrift.fencing.decisions import PrimaryFencing
from pimentodrift.fencing.messages import DemoteEndpoint
from pimentodrift.kind_messages import WatchedKind
from pimentodrift.messages import Position, SendPeer, WriteStore
from pimentodrift.peer_messages import Pong
from pimentodrift.promotion_messages import (
    PromoteEnded,
    PromoteEndpoint,
    PromoteOutcome,
)
from pimentodrift.session_messages import (
    AcceptSession,
    AnswerStatement,
    ApplyStep,
    BeginWork,
    ClosePooled,
    CommitWork,
    EndSession,
    EndWork,
    Fault,
    OpenPooled,
    Phase,
    PooledOpened,
    RefuseSession,
    RefuseStatement,
    ReplicaCommand,
    RunStatement,
    RunSteps,
    SessionOpened,
    SessionStatement,
    StepAnswered,
    StopListening,
)
from pimentodrift.session_rows import EndpointRole
from pimentodrift.tables import State

from .kind_network import KindNetwork
from .session_support import KEY, WRITE, make_configuration, make_endpoint

PROMOTION_TIME = timedelta(milliseconds=300)
STEP_DOWN_TIME = timedelta(seconds=1)
STATEMENT_TIME = timedelta(milliseconds=10)
DATABASES = ("e1", "e2", "e3")


@define
class Member:
    """A database of the group."""

    name: str
    believes: bool = False  # It accepts writes.
    term: int = 1
    offset: int = 100
    is_up: bool = True

    def position(self) -> Position:
        return Position(self.term, self.offset)


@define
class SplitNetwork(KindNetwork):
    """A network with a group of databases and clients that write all the time.

    `wrong` has the writes that a database other than the leader committed and that
    their clients were told of.
    """

    members: dict[str, Member] = field(factory=dict)
    leader: str = "e1"  # Set by promotions that took effect.
    call_outcome: PromoteOutcome = PromoteOutcome.ACCEPTED
    call_delay: timedelta = timedelta(0)  # Until a call takes effect.
    tokens: list[tuple[int, str]] = field(factory=list)
    links: dict[tuple[str, int], str] = field(factory=dict)
    # Writes committed by another database than the leader, by their statement's id.
    stray: set[str] = field(factory=set)
    acknowledged: set[str] = field(factory=set)
    sent: dict[str, str] = field(factory=dict)  # Statement in flight, by instance.
    # Instances of a build before, which knows nothing of contact.
    old_builds: set[str] = field(factory=set)
    tells_age: bool = True  # Instances tell the age of their process.
    statements: int = 0

    @property
    def wrong(self) -> set[str]:
        return self.stray & self.acknowledged

    def reaches(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.partitions

    def register(self, name: str) -> None:
        """Write what a database says of itself to the registry."""
        member = self.members[name]
        role = EndpointRole.PRIMARY if member.believes else EndpointRole.REPLICA
        self.change(WatchedKind.REGISTRY, name, make_endpoint(role=role))

    def start(self) -> None:
        """Register the databases and open a session at each instance."""
        for name in DATABASES:
            self.members[name] = Member(name, believes=name == self.leader)
            self.register(name)
        self.run(timedelta(seconds=3))
        for name in self.nodes:
            self.open_session(name)

    def open_session(self, name: str) -> None:
        self.deliver(name, SessionOpened(1, "own-db", KEY))

    def write_everywhere(self) -> None:
        """Send a write through each instance that has none in flight."""
        for name, node in self.nodes.items():
            if name in self.sent or not node.alive or 1 not in node.state.sessions:
                continue
            self.statements += 1
            number = f"{name}-{self.statements}"
            self.sent[name] = number
            self.deliver(name, SessionStatement(1, number, WRITE))

    def play(self, duration: timedelta) -> None:
        """Run with writes through all instances."""
        end = self.time + duration
        while self.time < end:
            self.write_everywhere()
            self.run(timedelta(milliseconds=40))

    # --- What instances send

    def perform(self, name: str, message: object) -> None:
        if name in self.old_builds:
            message = as_build_before(message)
        if not self.tells_age and isinstance(message, SendPeer):
            message = without_age(message)
        match message:
            case OpenPooled():
                self.open(name, message)
            case RunSteps():
                self.run_steps(name, message)
            case ClosePooled():
                self.links.pop((name, message.connection), None)
            case PromoteEndpoint():
                self.promote(name, message)
            case AnswerStatement():
                self.end_statement(name, is_acknowledged=True)
            case RefuseStatement():
                self.end_statement(name, is_acknowledged=False)
            case AcceptSession() | StopListening():
                pass
            case RefuseSession() | EndSession():
                self.sent.pop(name, None)
            case _:
                super().perform(name, message)

    def end_statement(self, name: str, is_acknowledged: bool) -> None:
        number = self.sent.pop(name, "")
        if is_acknowledged:
            self.acknowledged.add(number)

    def open(self, name: str, message: OpenPooled) -> None:
        member = self.members[message.endpoint]

        def answer() -> None:
            if member.is_up and self.reaches(name, member.name):
                self.links[name, message.connection] = member.name
                opened = PooledOpened(
                    message.connection,
                    member.position(),
                    *self.carry_out(member, message.command, message.term),
                )
                self.deliver(name, opened)

        self.schedule(STATEMENT_TIME, answer)

    def carry_out(
        self, member: Member, command: ReplicaCommand, term: int
    ) -> tuple[Position | None, bool, int]:
        """Return what was received, whether a command was accepted, and the term."""
        return None, False, 0

    def run_steps(self, name: str, message: RunSteps) -> None:
        endpoint = self.links.get((name, message.connection))
        if endpoint is None or not self.reaches(name, endpoint):
            return
        member = self.members[endpoint]

        def execute() -> None:
            if not member.is_up:
                return
            for step in message.steps:
                fault = self.run_step(member, step)
                is_open = isinstance(step, BeginWork) and fault is None
                phase = Phase.OPEN if is_open else Phase.IDLE
                answer = StepAnswered(
                    message.connection, phase, position=member.position(), fault=fault
                )
                self.schedule(STATEMENT_TIME, self.answering(name, endpoint, answer))

        self.schedule(STATEMENT_TIME, execute)

    def answering(
        self, name: str, endpoint: str, answer: StepAnswered
    ) -> Callable[[], None]:
        """Return the action that delivers an answer of a database."""

        def deliver() -> None:
            if self.reaches(name, endpoint) and (name, answer.connection) in self.links:
                self.deliver(name, answer)

        return deliver

    def run_step(self, member: Member, step: ApplyStep) -> Fault | None:
        match step:
            case DemoteEndpoint() if step.term > member.term:
                self.step_down(member)
            case BeginWork(read_only=False) if not member.believes:
                return Fault.READ_ONLY
            case RunStatement():
                if not member.believes:
                    return Fault.READ_ONLY
                member.offset += 1
                if member.name != self.leader:
                    self.stray.add(step.statement_id)
            case EndWork() | CommitWork() | BeginWork() | DemoteEndpoint():
                pass
        return None

    # --- Changes of the primary

    def step_down(self, member: Member) -> None:
        if member.believes:
            member.believes = False
            self.register(member.name)

    def promote(self, name: str, message: PromoteEndpoint) -> None:
        self.tokens.append((message.token, message.holder))
        delay = PROMOTION_TIME + self.call_delay
        self.schedule(delay, lambda: self.take_over(message.endpoint))
        ended = PromoteEnded(message.call, self.call_outcome, "")
        self.schedule(STATEMENT_TIME, lambda: self.deliver(name, ended))

    def take_over(self, name: str) -> None:
        """Make a database the leader; the old one learns of it later."""
        if name == self.leader or not self.members[name].is_up:
            return
        old, member = self.members[self.leader], self.members[name]
        self.leader = name
        member.term = max(item.term for item in self.members.values()) + 1
        member.believes = True
        self.register(name)

        def reach_new() -> None:
            if old.name == self.leader:
                return
            if old.is_up and self.reaches(old.name, self.leader):
                self.step_down(old)
            else:
                self.schedule(STEP_DOWN_TIME, reach_new)

        self.schedule(STEP_DOWN_TIME, reach_new)


def without_age(message: SendPeer) -> SendPeer:
    """Return what a build that doesn't tell the age of its process would have sent."""
    if not isinstance(message.message, Pong):
        return message
    return evolve(message, message=evolve(message.message, uptime_ms=0))


def as_build_before(message: object) -> object:
    """Return what a build that knows nothing of contact would have sent."""
    match message:
        case SendPeer(message=Pong() as pong):
            return evolve(message, message=evolve(pong, decisions=None))
        case WriteStore(kind="instance", value=dict() as value):
            value = {key: part for key, part in value.items() if "contact" not in key}
            return evolve(message, value=value)
    return message


def make_split_network(
    names: tuple[str, ...],
    fencing: PrimaryFencing = PrimaryFencing.INSTANCES,
    seed: int = 1,
    old_builds: Iterable[str] = (),
    tells_age: bool = True,
) -> SplitNetwork:
    """Return a network whose instances serve writes."""
    network = SplitNetwork(
        Random(seed), old_builds=set(old_builds), tells_age=tells_age
    )
    network.configure(make_configuration(rate=1e6, burst=1e6))
    for index, name in enumerate(names):
        state = network.add(name, f"r{index % 2}")
        state.settings = evolve(state.settings, primary_fencing=fencing.value)
    network.start()
    return network


def restart(network: SplitNetwork, name: str) -> State:
    """Start an instance again, without what it knew."""
    network.sent.pop(name, None)
    return network.restart(name)
