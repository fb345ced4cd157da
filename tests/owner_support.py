"""A fleet with scarce connections: one primary, clients in sessions, owners."""

from random import Random

from attrs import define, field

from pimentodrift import session_messages as m
from pimentodrift.owners.ownership import owner_of

from .capped_database import DATABASE, Backend, CappedNetwork
from .session_support import MILLISECOND, SECOND

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

    def open_client(self, name: str, workspace: int = 0) -> int:
        """Open a client's session at an instance; return its number."""
        self.sessions += 1
        self.answers[name, self.sessions] = []
        opened = m.SessionOpened(self.sessions, "primary-db", f"key-{workspace}")
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
        match step:
            case m.BeginWork():
                self.open_work[key] = []
            case m.EndWork():
                self.open_work.pop(key, None)
            case m.CommitWork():
                self.committed += self.open_work.pop(key, [])
            case m.RunStatement():
                self.executed.append(step.statement_id)
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


def make_fleet(count: int = COUNT, seed: int = 1, **settings: str) -> OwnerNetwork:
    """Return instances that are more than the database accepts connections."""
    network = OwnerNetwork(Random(seed), settings=settings)
    network.connection_limit = 16
    network.start(count)
    for index in range(count):
        network.add(f"i{index}", f"r{index % 3}")
    network.run(4 * SECOND)
    return network
