"""A fleet of instances, a group of databases and a store, on one manual clock.

Databases follow the platform's rules for terms; a replica takes a log only if its own
is a prefix of it. Messages take up to 5 ms, from a generator with a fixed seed.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random
from typing import Any
from unittest.mock import patch

from attrs import define, field, frozen

from pimentodrift import core, replication, view
from pimentodrift import messages as m
from pimentodrift.dispatch import handle
from pimentodrift.tables import State

from .support import ManualClock, make_state

MS = timedelta(milliseconds=1)


@handle.register(m.PrimaryChanged)
@handle.register(m.InstanceDown)
def ignore(message: object, state: State) -> None:
    """Stand in for the handlers of routing and execution."""


@define
class Database:
    name: str
    term: int = 1
    role: str = "replica"
    primary: str = ""
    up: bool = True
    log: list[tuple[int, int]] = field(factory=list)
    dropped: list[tuple[int, int, str]] = field(factory=list)
    progress: dict[str, tuple[int, int]] = field(factory=dict)

    def last_term(self) -> int:
        return self.log[-1][0] if self.log else 0

    def group_status(self) -> Any:
        return [(self.role, self.term, len(self.log), len(self.log))]

    def group_replicas(self) -> Any:
        return [(name, *seen) for name, seen in self.progress.items()]

    def group_fence(self, term: int) -> Any:
        if accepted := term > self.term:
            self.term, self.role = term, "fenced"
        return [(accepted, self.last_term(), len(self.log))]

    def group_promote(self, term: int) -> Any:
        if accepted := self.role == "fenced" and self.term == term:
            self.role, self.progress = "primary", {}
        return [(accepted, len(self.log))]

    def group_follow(self, term: int, host: str, port: int, start: int) -> Any:
        if term < self.term or (term == self.term and self.role == "primary"):
            return [(False,)]
        if self.role != "replica" or term > self.term:
            tail = enumerate(self.log[start:], start + 1)
            self.dropped += [
                (entry[0], offset, str(entry[1])) for offset, entry in tail
            ]
            del self.log[start:]
        self.term, self.role, self.primary = term, "replica", f"d{port}"
        return [(True,)]

    def group_dropped(self) -> Any:
        return self.dropped

    def receive(self, source: "Database") -> None:
        if (self.role, self.term) != ("replica", source.term):
            return
        if source.role != "primary" or self.log != source.log[: len(self.log)]:
            return
        self.log = list(source.log)
        source.progress[self.name] = (self.term, len(self.log))


@frozen
class Written:
    position: m.Position
    value: int


@define
class Fleet:
    names: tuple[str, ...] = ("a", "b", "c")
    clock: ManualClock = field(factory=ManualClock)
    random: Random = field(factory=lambda: Random(7))
    databases: dict[str, Database] = field(factory=dict)
    states: dict[str, State] = field(factory=dict)
    objects: dict[tuple[str, str], m.StoreObject] = field(factory=dict)
    version: int = 0
    seen: dict[str, int] = field(factory=dict)  # Store version, by instance.
    dead: set[str] = field(factory=set)
    paused: set[str] = field(factory=set)
    cuts: set[frozenset[str]] = field(factory=set)
    lose: set[str] = field(factory=set)  # Functions whose answer is lost once.
    queue: list[tuple[timedelta, int, str, Callable[[], None]]] = field(factory=list)
    count: int = 0
    links: dict[tuple[str, int], str] = field(factory=dict)
    writes: dict[tuple[str, int], Written] = field(factory=dict)
    acknowledged: list[Written] = field(factory=list)
    unconfirmed: list[Written] = field(factory=list)
    promotions: dict[int, tuple[str, list[tuple[int, int]]]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        patch.object(replication, "handle", self.ended).start()
        for name in self.names:
            self.put("instance", name, instance_value(name))
        for number in (1, 2, 3):
            name = f"d{number}"
            self.databases[name] = Database(name, primary="d1")
            self.put("endpoint", name, endpoint_value(number))
        self.databases["d1"].role = "primary"
        group = {"term": 1, "primary": "d1", "term_starts": {"1": 0}}
        self.put("group", "g", {**group, "reservations": {}})
        for name in self.names:
            self.begin(name)

    def begin(self, name: str) -> None:
        """Start an instance that knows nothing but the store's objects."""
        state = make_state(name, f"r{self.names.index(name) + 1}")
        state.clock, self.states[name], self.seen[name] = self.clock, state, 0
        state.next_number = self.version * 1000  # Connections of a new process differ.
        self.dead.discard(name)

    def close(self) -> None:
        patch.stopall()

    def put(self, kind: str, name: str, value: dict[str, Any]) -> m.StoreObject:
        self.version += 1
        item = m.StoreObject(kind, name, self.version, value)
        self.objects[(kind, name)] = item
        return item

    def cut(self, one: str, *others: str) -> None:
        self.cuts |= {frozenset((one, other)) for other in others}

    def reachable(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cuts

    def run(self, milliseconds: int) -> None:
        for _ in range(milliseconds // 20):
            self.step()

    def step(self) -> None:
        end = self.clock.time + 20 * MS
        while due := min((e for e in self.queue if self.is_due(e, end)), default=None):
            self.queue.remove(due)
            self.clock.time = max(self.clock.time, due[0])
            due[3]()
        self.clock.time = end
        for name, state in self.states.items():
            if name not in self.dead | self.paused:
                self.watch(name, state)
                core.tick(state)
                self.carry(name)
        self.ship()

    def is_due(self, event: tuple[timedelta, int, str, Any], end: timedelta) -> bool:
        return event[0] <= end and event[2] not in self.paused

    def ship(self) -> None:
        for database in self.databases.values():
            source = self.databases.get(database.primary)
            if source is None or source is database or not (source.up and database.up):
                continue
            if self.reachable(source.name, database.name):
                database.receive(source)

    def watch(self, name: str, state: State) -> None:
        if self.reachable(name, "store") and self.seen[name] < self.version:
            after, self.seen[name] = self.seen[name], self.version
            view.apply([o for o in self.objects.values() if o.version > after], state)

    def later(self, place: str, action: Callable[[], None]) -> None:
        self.count += 1
        delay = self.random.randint(1, 5) * MS
        self.queue.append((self.clock.time + delay, self.count, place, action))

    def tell(self, name: str, message: object) -> None:
        """Deliver a message to an instance after a delay."""
        state = self.states[name]

        def deliver() -> None:
            if name not in self.dead and self.states[name] is state:
                handle(message, state)
                self.carry(name)

        self.later(name, deliver)

    def carry(self, name: str) -> None:
        for message in core.take_outbox(self.states[name]):
            match message:
                case m.SendPeer():
                    self.send(name, message)
                case m.OpenEndpoint():
                    self.links[(name, message.connection)] = message.endpoint
                    self.later("", lambda o=message: self.open(name, o))  # type: ignore[misc]
                case m.RunBatch():
                    self.later("", lambda o=message: self.execute(name, o))  # type: ignore[misc]
                case m.CloseEndpoint():
                    self.links.pop((name, message.connection), None)
                case m.WriteStore():
                    self.later("", lambda o=message: self.store(name, o))  # type: ignore[misc]

    def send(self, name: str, message: m.SendPeer) -> None:
        if message.instance in self.dead:
            self.tell(name, m.PeerLost(message.instance))
        elif self.reachable(name, message.instance):
            self.tell(message.instance, m.PeerReceived(name, message.message))

    def open(self, name: str, message: m.OpenEndpoint) -> None:
        if not self.reachable(name, message.endpoint):
            return
        up = self.databases[message.endpoint].up
        answer = m.EndpointOpened if up else m.EndpointClosed
        self.tell(name, answer(message.connection))

    def execute(self, name: str, message: m.RunBatch) -> None:
        endpoint = self.links.get((name, message.connection), "")
        if not endpoint or not self.reachable(name, endpoint):
            return
        database = self.databases[endpoint]
        if not database.up:
            self.tell(name, m.EndpointClosed(message.connection))
            return
        results = tuple(self.call(database, s) for s in statements(message))
        called = {function(s) for s in statements(message)}
        if lost := called & self.lose:
            self.lose -= lost
        else:
            answer = m.EndpointAnswered(message.connection, message.batch, results)
            self.tell(name, answer)

    def call(self, database: Database, statement: m.Statement) -> m.StatementResult:
        rows = getattr(database, function(statement))(*statement.parameters)
        if function(statement) == "group_promote" and rows[0][0]:
            assert database.term not in self.promotions, "two primaries in one term"
            self.promotions[database.term] = (database.name, list(database.log))
        return m.StatementResult(m.Rows((), tuple(rows)))

    def store(self, name: str, message: m.WriteStore) -> None:
        if not self.reachable(name, "store"):
            return self.tell(name, m.StoreFailed(message.call))
        known = self.objects.get((message.kind, message.name))
        if (known.version if known else 0) != message.version:
            return self.tell(name, m.StoreConflict(message.call, known))
        item = self.put(message.kind, message.name, message.value)
        if "store" in self.lose:
            self.lose.discard("store")
            return self.tell(name, m.StoreFailed(message.call))
        return self.tell(name, m.StoreWritten(message.call, item))

    def write(self, name: str, value: int) -> None:
        """Commit a write through an instance on the primary that it knows."""
        state = self.states[name]
        if "g" not in state.groups:
            return  # A new process that has not read the store yet.
        database = self.databases[state.groups["g"].primary]
        usable = database.up and self.reachable(name, database.name)
        if not usable or database.role != "primary" or name in self.dead | self.paused:
            return
        database.log.append((database.term, value))
        written = Written(m.Position(database.term, len(database.log)), value)
        work = state.number()
        self.writes[(name, work)] = written
        deadline = self.clock.time + 2000 * MS
        replication.await_acknowledgment(
            work,
            database.name,
            written.position,
            m.Durability.MAJORITY,
            deadline,
            state,
        )
        self.carry(name)

    def ended(self, message: object, state: State) -> None:
        """Record the end of a wait for acknowledgment."""
        if isinstance(message, m.WriteAcknowledged | m.WriteUnconfirmed):
            written = self.writes[(state.settings.name, message.work)]
            confirmed = isinstance(message, m.WriteAcknowledged)
            (self.acknowledged if confirmed else self.unconfirmed).append(written)

    def crash(self, name: str) -> None:
        """Stop a database; its connections close."""
        self.databases[name].up = False
        for (instance, connection), endpoint in list(self.links.items()):
            if endpoint == name and self.reachable(instance, name):
                self.tell(instance, m.EndpointClosed(connection))

    def check(self) -> None:
        """Assert that every acknowledged write is in the log of each later primary."""
        for written in self.acknowledged:
            entry = (written.position.term, written.value)
            for term, (_, log) in self.promotions.items():
                if term > written.position.term:
                    assert log[written.position.offset - 1 :][:1] == [entry], term


def statements(message: m.RunBatch) -> Iterator[m.Statement]:
    for segment in message.segments:
        yield from segment


def function(statement: m.Statement) -> str:
    return statement.text.split("FROM ")[1].split("(")[0]


def instance_value(name: str) -> dict[str, Any]:
    address = f"127.0.0.1:{7000 + ord(name)}"
    return {"address": address, "region": f"r{ord(name) - 96}", "data_centre": "x"}


def endpoint_value(number: int) -> dict[str, Any]:
    return {
        "group": "g",
        "region": f"r{number}",
        "address": f"127.0.0.1:{number}",
        "slots": 3,
        "connections": 20,
    }
