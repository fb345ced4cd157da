"""Instances of the session core on a network, with a store that is watched by kind."""

from collections import Counter
from datetime import timedelta
from random import Random
from types import ModuleType

from attrs import define, field

from pimentodrift import session_core
from pimentodrift.kind_messages import (
    CheckFailed,
    CheckKind,
    Entry,
    Gone,
    KindChanged,
    KindChecked,
    KindFailed,
    KindListed,
    ListKind,
    WatchedKind,
    WatchKind,
)
from pimentodrift.messages import (
    DeleteStore,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
)

from .network import Network
from .session_support import make_configuration

CALL_TIME = timedelta(milliseconds=4)
FAILURE_TIME = timedelta(milliseconds=50)
OWN = WatchedKind.OWN


@define
class KindNetwork(Network):
    """The store answers each kind; `calls` counts them by type and instance."""

    core: ModuleType = session_core
    calls: Counter[tuple[type, str]] = field(factory=Counter)
    contents: dict[WatchedKind, dict[str, Entry]] = field(factory=dict)

    def count(self, call: type) -> int:
        """Return how often the store was asked in a way."""
        return sum(count for (kind, _), count in self.calls.items() if kind is call)

    def configure(self, content: object) -> None:
        """Write the configuration."""
        self.version += 1
        kind = WatchedKind.CONFIGURATION
        entry = Entry("main", self.version, content)
        self.contents.setdefault(kind, {})["main"] = entry

    def perform(self, name: str, message: object) -> None:
        match message:
            case ListKind() | CheckKind() | WatchKind() | DeleteStore():
                self.calls[type(message), name] += 1
                self.answer(name, message)
            case _:
                super().perform(name, message)

    def answer(
        self, name: str, message: ListKind | CheckKind | WatchKind | DeleteStore
    ) -> None:
        match message:
            case ListKind():
                self.at(CALL_TIME, lambda: self.list_kind(name, message))
            case CheckKind():
                self.at(CALL_TIME, lambda: self.check_kind(name, message))
            case WatchKind():
                end = self.time + message.wait
                self.at(CALL_TIME, lambda: self.watch_kind(name, message, end))
            case DeleteStore():
                self.at(CALL_TIME, lambda: self.delete(name, message))

    def changes(self, kind: WatchedKind, after: int) -> tuple[Entry, ...]:
        """Return what changed after a revision, oldest first."""
        if kind is OWN:
            found = [
                Entry(
                    f"{item.kind}.{item.name}",
                    item.version,
                    Gone() if item.value is None else item,
                )
                for item in self.objects.values()
            ]
        else:
            found = list(self.contents.get(kind, {}).values())
        newer = [entry for entry in found if entry.revision > after]
        return tuple(sorted(newer, key=lambda entry: entry.revision))

    def list_kind(self, name: str, message: ListKind) -> None:
        if not self.reaches_store(name):
            failed = KindFailed(message.kind, "down")
            self.at(FAILURE_TIME, lambda: self.deliver(name, failed))
            return
        entries = self.changes(message.kind, 0)
        live = tuple(item for item in entries if not isinstance(item.content, Gone))
        self.deliver(name, KindListed(message.kind, live, self.version, False))

    def check_kind(self, name: str, message: CheckKind) -> None:
        if not self.reaches_store(name):
            failed = CheckFailed(message.kind, "down")
            self.at(FAILURE_TIME, lambda: self.deliver(name, failed))
            return
        entries = self.changes(message.kind, message.revision)
        self.deliver(name, KindChecked(message.kind, entries, self.version))

    def watch_kind(self, name: str, message: WatchKind, end: timedelta) -> None:
        if not self.reaches_store(name):
            failed = KindFailed(message.kind, "down")
            self.at(FAILURE_TIME, lambda: self.deliver(name, failed))
            return
        entries = self.changes(message.kind, message.revision)
        if entries or self.time >= end:
            self.deliver(name, KindChanged(message.kind, entries, self.version))
        else:
            self.at(self.core.TICK, lambda: self.watch_kind(name, message, end))

    def delete(self, name: str, message: DeleteStore) -> None:
        known = self.objects.get((message.kind, message.name))
        if not self.reaches_store(name):
            self.deliver(name, StoreFailed(message.call))
        elif known is None or known.version != message.version:
            self.deliver(name, StoreConflict(message.call, None))
        else:
            self.put(message.kind, message.name, None)
            gone = StoreObject(message.kind, message.name, message.version + 1, None)
            self.deliver(name, StoreWritten(message.call, gone))


def make_network(names: tuple[str, ...], data_centres: int = 2) -> KindNetwork:
    """Return a network whose store has a configuration and lists the instances."""
    network = KindNetwork(Random(1))
    network.configure(make_configuration())
    for index, name in enumerate(names):
        network.add(name, f"r{index % data_centres}")
    return network
