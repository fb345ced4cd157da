"""Cores of several instances, joined by a network and a store that tests control."""

from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random
from types import ModuleType
from typing import Any

from attrs import define, field

from pimentodrift import core
from pimentodrift.messages import (
    ClosePeer,
    ExitProcess,
    ObjectsReceived,
    PeerLost,
    PeerReceived,
    SendPeer,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WatchStore,
    WriteStore,
)
from pimentodrift.runtime import first_number
from pimentodrift.settings import Settings
from pimentodrift.tables import State


@define
class SkewedClock:
    """A clock that runs at `speed` times the network's time."""

    network: "Network"
    speed: float = 1.0

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic()

    def monotonic(self) -> timedelta:
        return self.network.time * self.speed


@define
class Node:
    """An instance; while it is paused, messages wait in its inbox."""

    state: State
    paused: bool = False
    alive: bool = True
    inbox: list[object] = field(factory=list)


@define
class Network:
    """Delivers messages after delays; drops those across a network partition."""

    random: Random
    delay: Callable[[str, str], timedelta] = lambda _a, _b: timedelta(milliseconds=2)
    time: timedelta = timedelta(0)
    nodes: dict[str, Node] = field(factory=dict)
    starts: Counter[str] = field(factory=Counter)  # Processes by instance.
    # Scheduled actions: (time, order, action).
    agenda: list[tuple[timedelta, int, Callable[[], None]]] = field(factory=list)
    order: int = 0
    # Pairs that cannot communicate, of instances or of an instance and "store".
    partitions: set[frozenset[str]] = field(factory=set)
    # Connections across a partition are refused, as by a machine without the process.
    partitions_refuse: bool = False
    loss: float = 0.0  # Probability that a message is lost.
    doubled: float = 0.0  # Probability that a message is delivered twice.
    store_down: bool = False
    lose_answers: bool = False  # The store writes, but its answers are lost.
    # While it is down, the store keeps calls and carries them out when it is back.
    delays_calls: bool = False
    objects: dict[tuple[str, str], StoreObject] = field(factory=dict)
    version: int = 0
    core: ModuleType = core  # The module that runs an instance.
    settings: dict[str, Any] = field(factory=dict)  # Those that differ from defaults.

    def add(self, name: str, region: str, speed: float = 1.0) -> State:
        settings = Settings(
            name=name,
            region=region,
            data_centre=region,
            listen="127.0.0.1:1",
            peer_listen="127.0.0.1:1",
            platform="http://127.0.0.1:1",
            **self.settings,
        )
        state = State(settings, SkewedClock(self, speed), Random(name))
        self.begin_process(name, state)
        self.nodes[name] = Node(state)
        value = {"address": "127.0.0.1:1", "region": region, "data_centre": region}
        self.put("instance", name, {**value, "state": "live"})
        return state

    def begin_process(self, name: str, state: State) -> None:
        """Tell a process from the one before, which had the same random numbers."""
        self.starts[name] += 1
        seed = f"{name}/{self.starts[name]}"
        state.next_number = first_number(Random(seed))
        if self.starts[name] > 1:
            state.process = self.starts[name]

    def put(self, kind: str, name: str, value: dict[str, Any] | None) -> StoreObject:
        self.version += 1
        item = StoreObject(kind, name, self.version, value)
        self.objects[kind, name] = item
        return item

    def schedule(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.order += 1
        self.agenda.append((self.time + delay, self.order, action))

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False
        self.nodes[name].inbox.clear()

    def resume(self, name: str) -> None:
        node = self.nodes[name]
        node.paused = False
        for message in node.inbox:
            self.deliver(name, message)
        node.inbox.clear()

    def deliver(self, name: str, message: object) -> None:
        node = self.nodes[name]
        if not node.alive:
            return
        if node.paused:
            node.inbox.append(message)
            return
        self.core.handle(message, node.state)
        self.process_outbox(name)

    def run(self, duration: timedelta) -> None:
        end = self.time + duration
        while self.time < end:
            self.time += self.core.TICK
            due = sorted(item for item in self.agenda if item[0] <= self.time)
            self.agenda = [item for item in self.agenda if item[0] > self.time]
            for _, _, action in due:
                action()
            for name, node in self.nodes.items():
                if node.alive and not node.paused:
                    self.core.tick(node.state)
                    self.process_outbox(name)

    def process_outbox(self, name: str) -> None:
        for message in self.core.take_outbox(self.nodes[name].state):
            self.perform(name, message)

    def perform(self, name: str, message: object) -> None:
        match message:
            case SendPeer():
                self.send(name, message)
            case WatchStore():
                self.watch(name, message)
            case WriteStore():
                self.write(name, message)
            case ClosePeer():
                pass
            case ExitProcess():
                self.kill(name)
            case _:
                raise TypeError(type(message).__name__)

    def send(self, sender: str, message: SendPeer) -> None:
        target = message.instance
        delay = self.delay(sender, target)
        is_cut = frozenset((sender, target)) in self.partitions
        is_down = target not in self.nodes or not self.nodes[target].alive
        if is_down or (is_cut and self.partitions_refuse):
            lost = PeerLost(target, refused=True)
            self.schedule(delay, lambda: self.deliver(sender, lost))
        elif is_cut:
            return
        elif self.random.random() >= self.loss:
            received = PeerReceived(sender, message.message)
            self.schedule(delay, lambda: self.deliver(target, received))
            if self.random.random() < self.doubled:
                self.schedule(2 * delay, lambda: self.deliver(target, received))

    def reaches_store(self, name: str) -> bool:
        return not self.store_down and frozenset((name, "store")) not in self.partitions

    def watch(self, name: str, message: WatchStore) -> None:
        deadline = self.time + timedelta(milliseconds=message.wait_ms)

        def answer() -> None:
            if not self.reaches_store(name):
                self.schedule(
                    timedelta(milliseconds=50),
                    lambda: self.deliver(name, StoreFailed(0)),
                )
                return
            items = tuple(
                item for item in self.objects.values() if item.version > message.version
            )
            if not items and self.time < deadline:
                self.schedule(core.TICK, answer)
                return
            self.deliver(name, ObjectsReceived(self.version, items))

        self.schedule(timedelta(milliseconds=2), answer)

    def write(self, name: str, message: WriteStore) -> None:
        def answer() -> None:
            result: object = StoreFailed(message.call)
            if self.delays_calls and not self.reaches_store(name):
                self.schedule(core.TICK, answer)
                return
            if self.reaches_store(name):
                known = self.objects.get((message.kind, message.name))
                version = known.version if known else 0
                if version == message.version:
                    item = self.put(message.kind, message.name, message.value)
                    result = StoreWritten(message.call, item)
                else:
                    result = StoreConflict(message.call, known)
                if self.lose_answers:
                    result = StoreFailed(message.call)
            self.deliver(name, result)

        self.schedule(timedelta(milliseconds=4), answer)
