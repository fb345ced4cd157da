"""A fleet with scarce connections: one primary, clients in sessions, owners."""

from collections import Counter
from random import Random
from typing import Any

from attrs import define, evolve, field

from pimentodrift import session_messages as m
from pimentodrift.kind_messages import WatchedKind
from pimentodrift.messages import Position
from pimentodrift.owners.ownership import owner_of
from pimentodrift.route_configuration import RouteConfiguration
from pimentodrift.session_rows import Consistency

from .capped_database import DATABASE, POSITION, Backend, CappedNetwork
from .session_support import MILLISECOND, SECOND, make_endpoint, make_route

COUNT = 20


@define
class OwnerNetwork(CappedNetwork):
    """Clients hold sessions; the database keeps what it ran and committed."""

    opened_connections: int = 0
    answers: dict[tuple[str, int], list[object]] = field(factory=dict)
    executed: list[str] = field(factory=list)
    # Statements of open transactions by connection, and those in force.
    open_work: dict[tuple[str, int], list[str]] = field(factory=dict)
    committed: list[str] = field(factory=list)
    cut: set[str] = field(factory=set)  # Instances that can't reach the database.

    # Endpoint of each connection; how many statements ran at each.
    endpoints: dict[tuple[str, int], str] = field(factory=dict)
    ran_at: Counter[str] = field(factory=Counter)
    # The workspace of each connection; by which instance and for which one each
    # statement ran.
    workspaces: dict[tuple[str, int], str] = field(factory=dict)
    ran_for: dict[str, tuple[str, str]] = field(factory=dict)
    replica_position: Position = POSITION

    def start(self, workspaces: int) -> None:
        """Configure routes to a group of a primary and two replicas."""
        super().start(workspaces)
        known = self.contents[WatchedKind.CONFIGURATION]["main"].content
        assert isinstance(known, RouteConfiguration)
        routes = (
            *known.routes,
            make_route(objective=self.objective),
            make_route(database="own-db", consistency=Consistency.OWN_WRITES),
        )
        self.configure(evolve(known, version=2, routes=routes))
        for name in ("e2", "e3"):
            self.change(WatchedKind.REGISTRY, name, make_endpoint())

    def is_full(self, name: str, connection: int) -> bool:
        """Return whether a connection would be above the limit of its endpoint."""
        endpoint = self.endpoints[name, connection]
        count = sum(self.endpoints[key] == endpoint for key in self.backends)
        return count >= self.connection_limit

    def fault_of(self, endpoint: str, step: m.ApplyStep) -> m.Fault | None:
        """Return the fault with which an endpoint answers a step."""
        if endpoint == DATABASE:
            return None
        if isinstance(step, m.BeginWork) and not step.read_only:
            return m.Fault.READ_ONLY
        minimum = getattr(step, "minimum", None)
        is_behind = minimum is not None and minimum > self.replica_position
        return m.Fault.BEHIND if is_behind else None

    def open_client(
        self, name: str, workspace: int = 0, database: str = "primary-db"
    ) -> int:
        """Open a client's session at an instance; return its number."""
        self.sessions += 1
        self.answers[name, self.sessions] = []
        opened = m.SessionOpened(self.sessions, database, f"key-{workspace}")
        self.deliver(name, opened)
        return self.sessions

    def send_statement(self, name: str, session: int, *commands: m.Command) -> None:
        for command in commands:
            number = sum(len(items) for items in self.answers.values())
            text = f"{name}.{session}.{number}"
            self.deliver(name, m.SessionStatement(session, text, command))

    def last(self, name: str, session: int) -> object:
        """Return the last answer to a session, or None."""
        return (self.answers[name, session] or [None])[-1]

    def ask(self, name: str, session: int, command: m.Command) -> object:
        """Send a statement and return its answer of the next second."""
        before = len(self.answers[name, session])
        self.send_statement(name, session, command)
        for _ in range(150):
            if len(self.answers[name, session]) > before:
                return self.answers[name, session][before]
            self.run(20 * MILLISECOND)
        return None

    def answer_step(self, backend: Backend) -> None:
        key, step = (backend.instance, backend.connection), backend.steps[0]
        fault = self.fault_of(self.endpoints[key], step)
        if fault is not None:
            backend.steps.popleft()
            answer = m.StepAnswered(backend.connection, m.Phase.IDLE, fault=fault)
            self.schedule(MILLISECOND, lambda: self.deliver(key[0], answer))
            self.run_next(backend)
            return
        match step:
            case m.BeginWork():
                self.open_work[key] = []
            case m.EndWork():
                self.open_work.pop(key, None)
            case m.CommitWork():
                self.committed += self.open_work.pop(key, [])
            case m.RunStatement():
                self.ran_at[self.endpoints[key]] += 1
                self.executed.append(step.statement_id)
                self.ran_for[step.statement_id] = key[0], self.workspaces[key]
                if key in self.open_work:
                    self.open_work[key].append(step.statement_id)
                else:
                    self.committed.append(step.statement_id)
        super().answer_step(backend)

    def perform(self, name: str, message: object) -> None:
        match message:
            case m.AnswerStatement() | m.RefuseStatement() | m.RefuseSession() if (
                name,
                message.session,
            ) in self.answers:
                self.answers[name, message.session].append(message)
            case m.StopListening():
                pass
            case m.OpenPooled() | m.RunSteps() if name in self.cut:
                pass
            case m.ClosePooled():
                self.open_work.pop((name, message.connection), None)
                super().perform(name, message)
            case m.OpenPooled():
                self.opened_connections += 1
                self.endpoints[name, message.connection] = message.endpoint
                self.workspaces[name, message.connection] = message.workspace
                super().perform(name, message)
            case _:
                super().perform(name, message)

    def kill(self, name: str) -> None:
        """Kill an instance; the database drops its connections."""
        super().kill(name)
        for key in [key for key in self.backends if key[0] == name]:
            del self.backends[key]
            self.open_work.pop(key, None)

    def owner(self, viewer: str | None = None) -> str:
        """Return the owner of the database as a live instance sees it."""
        name = viewer or next(n for n, node in self.nodes.items() if node.alive)
        return owner_of(DATABASE, self.nodes[name].state)

    def entry(self) -> str:
        """Return an instance that is not the owner."""
        owner = self.owner()
        return next(name for name in reversed(self.nodes) if name != owner)


def make_fleet(count: int = COUNT, seed: int = 1, **settings: Any) -> OwnerNetwork:
    """Return instances that are more than the database accepts connections."""
    network = OwnerNetwork(Random(seed), settings=settings)
    network.connection_limit = 16
    network.start(count)
    for index in range(count):
        network.add(f"i{index}", f"r{index % 3}")
    network.run(4 * SECOND)
    return network
