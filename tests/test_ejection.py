"""Endpoints whose statements fail or are slow, and healthy ones that stay in use."""

from collections import Counter
from datetime import timedelta

import pytest
from attrs import evolve

from pimentodrift import view
from pimentodrift.ejection import decisions, judgement
from pimentodrift.ejection.decisions import Reason, Result
from pimentodrift.log_events import EndpointEjected, EndpointReturned
from pimentodrift.session_messages import Fault, PooledLost, RefuseStatement
from pimentodrift.session_rows import EndpointRole

from .session_support import (
    MILLISECOND,
    READ,
    SECOND,
    TICK,
    SessionHarness,
    make_endpoint,
    make_harness,
)

ZERO = timedelta(0)


def answers(count: int, time_ms: float = 10, database: str = "db") -> list[Result]:
    return [Result(ZERO, "w1", database, None, time_ms * MILLISECOND)] * count


def errors(count: int, *workspaces: str, fault: Fault = Fault.FAILED) -> list[Result]:
    return [Result(ZERO, name, "db", fault) for name in workspaces] * count


LOSSES = [Result(ZERO, "w1", is_lost=True)] * 3


@pytest.mark.parametrize(
    ("own", "others", "reason"),
    [
        (answers(10) + errors(2, "w1", "w2"), answers(20), Reason.FAILING),
        (answers(10) + LOSSES, answers(20), Reason.FAILING),
        (answers(9, 60), answers(20), Reason.SLOW),
        (answers(10) + LOSSES[:2], answers(20), None),
        (answers(40) + LOSSES, answers(20), None),  # Fewer than one in five.
        (answers(10) + errors(9, "w1"), answers(20), None),  # One client's errors.
        # The errors of clients whose statements fail everywhere.
        (answers(9) + errors(5, "w1", "w2"), answers(9) + errors(5, "w1", "w2"), None),
        (answers(9, 39), answers(20), None),
        (answers(9, 5), answers(20, 1), None),  # A difference of the network.
        (answers(7, 90), answers(20), None),  # Too few.
        (answers(9, 60, "long"), answers(20), None),  # Other statements.
        ([], [], None),
    ],
)
def test_judgement(
    own: list[Result], others: list[Result], reason: Reason | None
) -> None:
    """Guards against the ejection of a healthy endpoint and the use of a faulty one."""
    assert decisions.judge(own, [others, answers(20)]) is reason


@pytest.mark.parametrize(
    ("usable", "in_use", "expected"),
    [(3, 3, True), (3, 2, False), (2, 2, True), (1, 1, False), (5, 4, True)],
)
def test_floor(usable: int, in_use: int, expected: bool) -> None:
    """Guards against ejections that leave too few endpoints."""
    assert decisions.may_lose_one(usable, in_use) is expected


def test_times_grow() -> None:
    """Guards against an endpoint that comes back too soon, or never."""
    times = [decisions.ejection_time(count) / SECOND for count in range(6)]
    assert times == [1, 2, 4, 8, 10, 10]


@pytest.mark.parametrize(
    ("outages", "returned", "expected"),
    [
        ((70, 80, 90), -1, True),
        ((80, 90), -1, False),
        ((60, 80, 90), -1, False),
        ((70, 80, 90), 95, False),
        ((70, 80, 90), 85, True),
    ],
)
def test_flapping(outages: tuple[int, ...], returned: int, expected: bool) -> None:
    """Guards against an endpoint that goes down and up and gets reads each time."""
    times = [at * SECOND for at in outages]
    found = decisions.is_flapping(times, returned * SECOND, 99 * SECOND)
    assert found is expected


def make_uneven_harness() -> SessionHarness:
    """Return a harness in which reads prefer the replica e2, which is near."""
    harness = make_harness()
    for name in ("e1", "e3"):
        role = EndpointRole.PRIMARY if name == "e1" else EndpointRole.REPLICA
        harness.register(name, make_endpoint(role=role, data_centre="r2-1"))
    return harness


def read(
    harness: SessionHarness, duration: timedelta, *faults: Fault | None
) -> Counter[str]:
    """Send reads of two workspaces; e2 answers them with faults in turns."""
    sessions = [harness.open_session("db"), harness.open_session("db", "key-2")]
    before = {name: len(harness.executed(name)) for name in harness.databases}
    refused: Counter[str] = Counter()
    for index in range(duration // TICK):
        harness.databases["e2"].faults.clear()
        fault = faults[index // 2 % len(faults)] if faults else None
        if fault is not None:
            harness.databases["e2"].faults.append(fault)
        answer = harness.send(sessions[index % 2], READ)
        refused["refused"] += isinstance(answer, RefuseStatement)
        harness.run()
    return refused + Counter(
        {name: len(harness.executed(name)) - before[name] for name in before}
    )


def events(harness: SessionHarness, kind: type) -> list[object]:
    return [item for item in harness.state.typed_events if isinstance(item, kind)]


def test_partly_failing_replica_is_ejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reads that go on to a replica which fails a half of them."""
    monkeypatch.setattr(view, "SMALL_FLEET", 0)
    harness = make_uneven_harness()
    assert read(harness, 2 * SECOND)["e2"] >= 90
    seen = read(harness, 10 * SECOND, Fault.FAILED, None)
    ejected = events(harness, EndpointEjected)
    assert [item.for_ms for item in ejected][:3] == [1000, 2000, 4000]  # type: ignore[attr-defined]
    assert events(harness, EndpointReturned) and seen["e2"] < 150
    harness.run(8 * SECOND)
    healthy = read(harness, 2 * SECOND)
    assert healthy["e2"] >= 90 and not healthy["refused"]


def test_flapping_replica_is_ejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reads that go to a replica each time it is up for a moment."""
    monkeypatch.setattr(view, "SMALL_FLEET", 0)
    refused = {}
    for disabled in ("ejection", ""):
        harness = make_uneven_harness()
        settings = evolve(harness.state.settings, disabled_policies=disabled)
        harness.state.settings = settings
        sessions = [harness.open_session("db") for _ in range(1500)]
        for index, session in enumerate(sessions):
            is_down = index * TICK // (1500 * MILLISECOND) % 2 == 1
            if harness.databases["e2"].is_silent and not is_down:
                harness.end_silence("e2")
            harness.databases["e2"].is_silent = is_down
            harness.send(session, READ)
            harness.run()
        counters = harness.state.counters
        refused[disabled] = counters["operations.refused.overloaded"]
        assert counters["ejection.ejected.flapping"] == 0 or not disabled
    assert refused[""] <= 0.7 * refused["ejection"]


@pytest.mark.parametrize("fault", [None, Fault.OVERLOADED, Fault.BEHIND])
def test_healthy_endpoints_stay_in_use(
    fault: Fault | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the ejection of endpoints that are only busy or behind."""
    monkeypatch.setattr(view, "SMALL_FLEET", 0)
    harness = make_uneven_harness()
    read(harness, 5 * SECOND, fault, None)
    assert not events(harness, EndpointEjected)


def test_small_fleet_judges_no_endpoint() -> None:
    """Guards against a change of behaviour in small deployments."""
    harness = make_uneven_harness()
    read(harness, 2 * SECOND, Fault.FAILED)
    assert not harness.state.judgements


def test_primary_is_not_ejected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an ejected primary, about which only promotion decides."""
    monkeypatch.setattr(view, "SMALL_FLEET", 0)
    harness = make_uneven_harness()
    session = harness.open_session("primary-db")
    for _ in range(10):
        harness.send(session, READ)
        harness.run()
        for number in list(harness.state.pools["e1"].connections):
            row = harness.state.pooled[number]
            row.is_open = False  # As if it were lost while it opens.
            harness.deliver(PooledLost(number))
        harness.run(200 * MILLISECOND)
    assert judgement.judged_reason("e1", harness.state) is Reason.FAILING
    assert not judgement.is_ejected("e1", harness.state)
