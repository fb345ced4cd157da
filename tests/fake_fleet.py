"""A fleet of instances, a group of databases and a store, on one manual clock.

Delays of messages come from a generator with a fixed seed.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random
from typing import Any
from unittest.mock import patch

from attrs import define, field

from pimentodrift import core, replication, view
from pimentodrift import messages as m
from pimentodrift import notices as n
from pimentodrift.dispatch import handle
from pimentodrift.tables import State

from .fake_database import Database, function
from .support import ManualClock, make_state

MS = timedelta(milliseconds=1)


@define
class RunningClock(ManualClock):
    """A clock that also moves at each reading, as a real one does."""

    def monotonic(self) -> timedelta:
        self.time += timedelta(microseconds=1)
        return self.time


Written = tuple[m.Position, int]  # The value of each write is different.


@define
class Fleet:
    names: tuple[str, ...] = ("a", "b", "c")
    clock: RunningClock = field(factory=RunningClock)
    random: Random = field(factory=lambda: Random(7))
    databases: dict[str, Database] = field(factory=dict)
    states: dict[str, State] = field(factory=dict)
    objects: dict[tuple[str, str], m.StoreObject] = field(factory=dict)
    version: int = 0
    seen: dict[str, int] = field(factory=dict)  # Store version, by instance.
    dead: set[str] = field(factory=set)
    paused: set[str] = field(factory=set)
    # Pairs that cannot communicate.
    partitions: set[frozenset[str]] = field(factory=set)
    # Functions, or "store", whose next answer is lost.
    answers_to_lose: set[str] = field(factory=set)
    # Scheduled actions: (time, order, instance or "", action).
    queue: list[tuple[timedelta, int, str, Callable[[], None]]] = field(factory=list)
    count: int = 0
    delays: tuple[int, ...] = (1, 2, 3, 4, 5)  # In milliseconds, all as likely.
    # The endpoint of each connection, by instance and connection number.
    links: dict[tuple[str, int], str] = field(factory=dict)
    # By instance and number of the work.
    writes: dict[tuple[str, int], Written] = field(factory=dict)
    acknowledged: list[Written] = field(factory=list)
    unconfirmed: list[Written] = field(factory=list)
    # The promoted endpoint and its log at that time, by term.
    promotions: dict[int, tuple[str, list[tuple[int, int]]]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        patch.object(replication, "handle", self.record_outcome).start()
        for name in self.names:
            place = {"region": f"r{ord(name) - 96}", "data_centre": "x"}
            self.put("instance", name, {"address": "127.0.0.1:7000", **place})
        for number in (1, 2, 3):
            name, address = f"d{number}", f"127.0.0.1:{number}"
            self.databases[name] = Database(name, primary="d1")
            value = {"group": "g", "region": f"r{number}", "address": address}
            self.put("endpoint", name, {**value, "slots": 3, "connections": 20})
        self.databases["d1"].role = "primary"
        self.put("group", "g", {"term": 1, "primary": "d1", "term_starts": {"1": 1}})
        for name in self.names:
            self.start_instance(name)

    def start_instance(self, name: str) -> None:
        """Start an instance that knows nothing but the store's objects."""
        state = make_state(name, f"r{self.names.index(name) + 1}")
        state.clock, self.states[name], self.seen[name] = self.clock, state, 0
        state.next_number = self.version * 1000  # A new process has other connections.
        self.dead.discard(name)

    def put(self, kind: str, name: str, value: dict[str, Any]) -> m.StoreObject:
        self.version += 1
        item = m.StoreObject(kind, name, self.version, value)
        self.objects[(kind, name)] = item
        return item

    def partition(self, one: str, *others: str) -> None:
        self.partitions |= {frozenset((one, other)) for other in others}

    def reachable(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.partitions

    def run(self, milliseconds: int) -> None:
        for _ in range(milliseconds // 20):
            self.step()

    def step(self) -> None:
        end = self.clock.time + 20 * MS
        while ready := [
            e for e in self.queue if e[0] <= end and e[2] not in self.paused
        ]:
            self.queue.remove(due := min(ready))
            self.clock.time = max(self.clock.time, due[0])
            due[3]()
        self.clock.time = max(self.clock.time, end)
        for name, state in self.states.items():
            if name not in self.dead | self.paused:
                self.watch(name, state)
                core.tick(state)
                self.process_outbox(name)
        self.replicate_logs()

    def replicate_logs(self) -> None:
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

    def schedule(self, place: str, action: Callable[[], None]) -> None:
        self.count += 1
        delay = self.random.choice(self.delays) * MS
        self.queue.append((self.clock.time + delay, self.count, place, action))

    def deliver_later(self, name: str, message: object) -> None:
        """Deliver a message to an instance after a delay."""
        state = self.states[name]

        def deliver() -> None:
            if name not in self.dead and self.states[name] is state:
                handle(message, state)
                self.process_outbox(name)

        self.schedule(name, deliver)

    def process_outbox(self, name: str) -> None:
        for message in core.take_outbox(self.states[name]):
            match message:
                case m.SendPeer():
                    self.send(name, message)
                case m.OpenEndpoint():
                    self.links[(name, message.connection)] = message.endpoint
                    self.schedule("", partial(self.open, name, message))
                case m.RunBatch():
                    endpoint = self.links[(name, message.connection)]
                    self.schedule("", partial(self.execute, name, endpoint, message))
                case m.CloseEndpoint():
                    self.links.pop((name, message.connection), None)
                case m.WriteStore():
                    self.schedule("", partial(self.update_store, name, message))

    def send(self, name: str, message: m.SendPeer) -> None:
        if message.instance in self.dead:
            self.deliver_later(name, m.PeerLost(message.instance))
        elif self.reachable(name, message.instance):
            self.deliver_later(message.instance, m.PeerReceived(name, message.message))

    def open(self, name: str, message: m.OpenEndpoint) -> None:
        if not self.reachable(name, message.endpoint):
            return
        up = self.databases[message.endpoint].up
        number = message.connection
        closed = m.EndpointClosed(number, refused=True)
        self.deliver_later(name, m.EndpointOpened(number) if up else closed)

    def execute(self, name: str, endpoint: str, message: m.RunBatch) -> None:
        # A batch in flight arrives even if its connection has been closed.
        if not self.reachable(name, endpoint):
            return
        database = self.databases[endpoint]
        if not database.up:
            self.deliver_later(name, m.EndpointClosed(message.connection))
            return
        statements = [s for segment in message.segments for s in segment]
        results = tuple(database.call(statement) for statement in statements)
        called = {function(statement) for statement in statements}
        if "group_promote" in called and results[0].rows.rows[0][0]:
            assert database.term not in self.promotions, "two primaries in one term"
            self.promotions[database.term] = (endpoint, list(database.log))
        if lost := called & self.answers_to_lose:
            self.answers_to_lose -= lost
            return
        answer = m.EndpointAnswered(message.connection, message.batch, results)
        self.deliver_later(name, answer)

    def update_store(self, name: str, message: m.WriteStore) -> None:
        if not self.reachable(name, "store"):
            return self.deliver_later(name, m.StoreFailed(message.call))
        known = self.objects.get((message.kind, message.name))
        if (known.version if known else 0) != message.version:
            return self.deliver_later(name, m.StoreConflict(message.call, known))
        item = self.put(message.kind, message.name, message.value)
        if "store" in self.answers_to_lose:
            self.answers_to_lose.discard("store")
            return self.deliver_later(name, m.StoreFailed(message.call))
        return self.deliver_later(name, m.StoreWritten(message.call, item))

    def write(self, name: str, value: int) -> None:
        """Commit a write through an instance on the primary that it knows."""
        state = self.states[name]
        if "g" not in state.groups:
            return  # A new process that has not read the store yet.
        database = self.databases[state.groups["g"].primary]
        if name in self.dead | self.paused or not self.reachable(name, database.name):
            return
        if not database.up or database.role != "primary":
            return
        database.log.append((database.term, value))
        position = m.Position(database.term, len(database.log))
        work = state.new_number()
        self.writes[(name, work)] = (position, value)
        deadline, majority = self.clock.time + 2000 * MS, m.Durability.MAJORITY
        replication.await_acknowledgment(
            work, database.name, position, majority, deadline, state
        )
        self.process_outbox(name)

    def record_outcome(self, message: object, state: State) -> None:
        """Record the end of a wait for acknowledgment."""
        if isinstance(message, n.WriteAcknowledged | n.WriteUnconfirmed):
            written = self.writes[(state.settings.name, message.work)]
            confirmed = isinstance(message, n.WriteAcknowledged)
            (self.acknowledged if confirmed else self.unconfirmed).append(written)

    def crash(self, name: str) -> None:
        """Stop a database; its connections close."""
        self.databases[name].up = False
        for (instance, connection), endpoint in list(self.links.items()):
            if endpoint == name and self.reachable(instance, name):
                self.deliver_later(instance, m.EndpointClosed(connection))

    def assert_acknowledged_writes_survive(self) -> None:
        """Assert that every acknowledged write is in the log of each later primary."""
        for position, value in self.acknowledged:
            for term, (_, log) in self.promotions.items():
                found = log[position.offset - 1 : position.offset]
                assert term <= position.term or found == [(position.term, value)]
