"""Publishing: concurrent operators, lost answers and an unavailable store."""

from datetime import timedelta
from itertools import pairwise
from random import Random
from typing import Any

import pytest
from attrs import define, field
from expression import Error, Ok, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentodrift.messages import StoreObject
from pimentodrift.operator_files import Piece
from pimentodrift.publishing import (
    DuplicateDeclaration,
    OutcomeUnknown,
    Publication,
    PublicationConflict,
    Publisher,
    PublishFailure,
    RetryPolicy,
    StoreFailed,
    UnknownGroup,
    UnknownService,
)
from pimentodrift.store_api import (
    StoreFailure,
    StoreRefused,
    StoreUnavailable,
    VersionConflict,
)

from .support import ManualClock


@define
class FakeStore:
    """The store in memory.

    Each write of the manifest consumes one of `faults`: "down" fails before the write,
    "lost" fails after it, "late" fails and applies the write at the next call,
    "refused" fails for good, and a function is called before the write, as an action of
    another operator.
    """

    objects: dict[tuple[str, str], StoreObject] = field(factory=dict)
    faults: list[Any] = field(factory=list)
    late: list[tuple[Any, ...]] = field(factory=list)
    reads_fail: bool = False
    writes: int = 0

    def get(self, kind: str, name: str) -> Result[StoreObject | None, StoreFailure]:
        if self.reads_fail:
            return Error(StoreUnavailable("down"))
        return Ok(self.objects.get((kind, name)))

    def put(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        fault = self.faults.pop(0) if kind == "manifest" and self.faults else None
        if callable(fault):
            fault()
        if fault == "down":
            return Error(StoreUnavailable("down"))
        if fault == "refused":
            return Error(StoreRefused("malformed"))
        if fault == "late":
            self.late.append((kind, name, value, version))
            return Error(StoreUnavailable("timed out"))
        while self.late:
            self.write(*self.late.pop())
        answer = self.write(kind, name, value, version)
        return Error(StoreUnavailable("lost")) if fault == "lost" else answer

    def write(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != version:
            return Error(VersionConflict(current))
        self.writes += 1
        item = StoreObject(kind, name, self.writes, value)
        self.objects[kind, name] = item
        return Ok(item)


def make_store() -> FakeStore:
    store = FakeStore()
    store.write("group", "g", {"term": 1, "primary": "x"}, 0)
    return store


def piece(service: str, workspace: str = "", group: str = "g") -> Piece:
    value = {
        "workspaces": {
            workspace or f"{service}-w": {"rate": 1.0, "burst": 1.0, "groups": [group]}
        }
    }
    return Piece(service, f"{service}/{workspace}/{group}", value, 0)


def publisher(store: FakeStore, publication: str) -> Publisher:
    clock = ManualClock()

    def pause(seconds: float) -> None:
        clock.advance(timedelta(seconds=seconds))

    return Publisher(store, RetryPolicy(clock, Random(1), pause), publication)


def publish(
    store: FakeStore, publication: str, *pieces: Piece, remove: tuple[str, ...] = ()
) -> Publication | PublishFailure:
    return publisher(store, publication).publish(pieces, remove).merge()


def in_force(store: FakeStore) -> dict[str, Any]:
    return store.objects["manifest", "current"].value or {}


def test_services_keep_each_others_pieces() -> None:
    """Guards against one team's publication deleting another team's workspaces."""
    store = make_store()
    publish(store, "p1", piece("a"), piece("b"))
    publish(store, "p2", piece("a", "new"))
    assert in_force(store) == {
        "publication": "p2",
        "previous": "p1",
        "pieces": ["a/new/g", "b//g"],
        "services": {"a": "a/new/g", "b": "b//g"},
    }
    publish(store, "p3", remove=("b",))
    assert in_force(store)["pieces"] == ["a/new/g"]


REFUSALS = [
    ([piece("b", "a-w")], (), DuplicateDeclaration("workspace a-w", "b", "a")),
    ([piece("b", group="h")], (), UnknownGroup("h", "b")),
    ([], ("c",), UnknownService("c", ("a",))),
]


@pytest.mark.parametrize(("pieces", "remove", "expected"), REFUSALS)
def test_refused_publications_change_nothing(
    pieces: list[Piece], remove: tuple[str, ...], expected: PublishFailure
) -> None:
    """Guards against declarations that collide with those of other services."""
    store = make_store()
    publish(store, "p1", piece("a"))
    assert publish(store, "p2", *pieces, remove=remove) == expected
    assert in_force(store)["publication"] == "p1"


def test_pieces_without_a_service_are_kept() -> None:
    """Guards against the loss of pieces that another tool has published."""
    store = make_store()
    value = {"publication": "p0", "previous": "", "pieces": ["x"]}
    store.write("manifest", "current", value, 0)
    publish(store, "p1", piece("a"))
    assert in_force(store)["pieces"] == ["a//g", "x"]


def publish_others(store: FakeStore, *publications: str) -> Any:
    def action() -> None:
        for publication in publications:
            publish(store, publication, piece(publication))

    return action


# (faults of the writes of the manifest, publications of others, expected type of the
# result, publication in force at the end). The others publish at the fault "other".
RACES: list[tuple[list[str], tuple[str, ...], type, str]] = [
    (["other"], ("q",), PublicationConflict, "q"),
    (["lost"], (), Publication, "p"),
    (["down", "down", "lost"], (), Publication, "p"),
    (["late"], (), Publication, "p"),
    (["down"] * 3, (), Publication, "p"),
    (["lost", "other"], ("q",), Publication, "q"),
    (["lost", "other"], ("q", "r"), OutcomeUnknown, "r"),
    (["down", "other"], ("q",), PublicationConflict, "q"),
    (["refused"], (), StoreFailed, "base"),
    (["lost", "refused"], (), Publication, "p"),
    (["down", "refused"], (), StoreFailed, "base"),
]


@pytest.mark.parametrize(("faults", "others", "kind", "winner"), RACES)
def test_races_and_lost_answers(
    faults: list[str], others: tuple[str, ...], kind: type, winner: str
) -> None:
    """Guards against a publication that is lost, made twice or wrongly reported."""
    store = make_store()
    publish(store, "base", piece("base"))
    action = publish_others(store, *others)
    given = [action if fault == "other" else fault for fault in faults]
    # The publications of others also write the manifest, each without a fault.
    store.faults = sum(
        ([item, *[None] * len(others)] if callable(item) else [item] for item in given),
        [],
    )
    result = publish(store, "p", piece("a"))
    assert type(result) is kind
    assert in_force(store)["publication"] == winner
    if isinstance(result, PublicationConflict):
        assert (result.publication, result.base, result.other) == ("p", "base", winner)
        assert "a" not in in_force(store)["services"]
    if isinstance(result, Publication):
        assert result.superseded == (winner != "p")


DOWN: list[tuple[bool, list[str], bool]] = [
    (True, [], False),
    (False, ["down"] * 1000, True),
]


@pytest.mark.parametrize(("reads_fail", "faults", "unknown"), DOWN)
def test_retries_end_if_the_store_stays_down(
    reads_fail: bool, faults: list[str], unknown: bool
) -> None:
    """Guards against endless retries and against a false 'not in force'."""
    store = make_store()
    publish(store, "base", piece("base"))
    store.reads_fail, store.faults = reads_fail, faults
    result = publish(store, "p", piece("a"))
    assert isinstance(result, StoreFailed)
    assert result.unknown is unknown


# One item for each call of the store: nothing, a fault, or a whole publication of
# another operator, whose calls have a schedule of their own.
FAULTS = st.sampled_from(["", "", "down", "lost", "late"])
SCHEDULES = st.recursive(
    st.lists(FAULTS, max_size=8),
    lambda inner: st.lists(st.one_of(FAULTS, inner), max_size=8),
    max_leaves=40,
)


@define
class ScheduledStore(FakeStore):
    """A store whose calls follow schedules and that keeps all manifests."""

    schedules: list[list[Any]] = field(factory=list)
    results: list[Publication | PublishFailure] = field(factory=list)
    history: list[dict[str, Any]] = field(factory=list)

    def publish(self, schedule: list[Any]) -> None:
        number = len(self.results) + len(self.schedules)
        self.schedules.append(schedule[:])
        services = [piece(f"s{number % 3}", f"w{number}")]
        self.results.append(publish(self, f"p{number}", *services))
        self.schedules.pop()

    def next_fault(self) -> str:
        schedule = self.schedules[-1]
        step = schedule.pop(0) if schedule else ""
        if isinstance(step, list):
            self.publish(step)
            return ""
        return str(step)

    def get(self, kind: str, name: str) -> Result[StoreObject | None, StoreFailure]:
        if self.next_fault():
            return Error(StoreUnavailable("down"))
        return super().get(kind, name)

    def put(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        self.faults = [self.next_fault()]
        return super().put(kind, name, value, version)

    def write(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        answer = super().write(kind, name, value, version)
        if kind == "manifest" and answer.is_ok():
            self.history.append(value)
        return answer


@settings(derandomize=True, deadline=None, max_examples=300)
@given(SCHEDULES)
def test_any_interleaving_of_publications(schedule: list[Any]) -> None:
    """Guards against lost updates and wrong results under races and faults."""
    store = ScheduledStore()
    store.write("group", "g", {}, 0)
    store.publish(schedule)
    for late in store.late:
        store.write(*late)
    history = [manifest["publication"] for manifest in store.history]
    assert len(set(history)) == len(history)
    for before, after in pairwise(store.history):
        assert after["previous"] == before["publication"]
        changed = dict(before["services"].items() - after["services"].items())
        assert len(changed) <= 1
        assert before["services"].keys() <= after["services"].keys()
    for result in store.results:
        match result:
            case Publication():
                assert result.publication in history
            case PublicationConflict():
                assert result.publication not in history
            case StoreFailed(unknown=False):
                assert result.publication not in history
