"""Data centres that are evacuated: their endpoints get nothing after the deadline."""

import pytest
from attrs import evolve

from pimentodrift.evacuation.messages import Evacuation
from pimentodrift.kind_messages import Gone, Unreadable, WatchedKind
from pimentodrift.route_configuration import RouteConfiguration
from pimentodrift.session_messages import (
    AnswerStatement,
    Fault,
    OpenPooled,
    RefuseStatement,
    RunSteps,
)
from pimentodrift.session_rows import EndpointRole

from .session_support import (
    BEGIN,
    COMMIT,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    SessionHarness,
    make_configuration,
    make_endpoint,
    make_harness,
    make_route,
)

BOUND = 5 * SECOND
ZONE = "z1"


def make_evacuating_harness(
    zones: tuple[str, str, str] = (ZONE, "z2", "z3"),
    configuration: RouteConfiguration | None = None,
) -> SessionHarness:
    """Return a harness that follows evacuations, with a database in each zone."""
    harness = make_harness(configuration, evacuation_bound=BOUND)
    for name, zone in zip(("e1", "e2", "e3"), zones, strict=True):
        role = EndpointRole.PRIMARY if name == "e1" else EndpointRole.REPLICA
        harness.register(name, make_endpoint(role=role, data_centre=zone))
    harness.run(SECOND)
    return harness


def evacuate(harness: SessionHarness, zone: str = ZONE, content: object = None) -> None:
    content = content or Evacuation()
    harness.write_object(WatchedKind.EVACUATIONS, zone, content)


def requests_to(harness: SessionHarness, name: str, since: int) -> list[object]:
    """Return what a database was sent, as messages of the outbox after `since`."""
    rows = {
        item.connection
        for item in harness.sent
        if isinstance(item, OpenPooled) and item.endpoint == name
    }
    return [
        item
        for item in harness.sent[since:]
        if isinstance(item, OpenPooled | RunSteps) and item.connection in rows
    ]


@pytest.mark.parametrize("content", [Evacuation(), Unreadable("not a mapping")])
def test_replica_gets_nothing_from_then_on(content: object) -> None:
    """Guards against work for a replica of an evacuated data centre."""
    near = "r1-1"  # The instance's own data centre, so its reads go to replicas.
    harness = make_evacuating_harness(("z2", near, near))
    session = harness.open_session()
    harness.send(session, WRITE)  # Its position allows reads of replicas.
    harness.run(SECOND)
    for _ in range(20):
        harness.send(session, READ)
    assert harness.executed("e2") or harness.executed("e3")
    evacuate(harness, near, content)
    since = len(harness.sent)
    for _ in range(20):
        assert isinstance(harness.send(session, READ), AnswerStatement)
        harness.run(200 * MILLISECOND)
    assert not requests_to(harness, "e2", since)
    assert not requests_to(harness, "e3", since)
    assert not harness.promotions


def test_primary_elsewhere_is_promoted() -> None:
    """Guards against a primary that stays in an evacuated data centre."""
    harness = make_evacuating_harness((ZONE, "z2", ZONE))
    harness.databases["e3"].position = evolve(
        harness.databases["e3"].position, offset=900
    )
    evacuate(harness)
    harness.run(2 * SECOND)
    assert [item.endpoint for item in harness.promotions] == ["e2"]


@pytest.mark.parametrize("is_begun", [True, False])
def test_primary_that_cannot_be_replaced_stops_at_the_deadline(is_begun: bool) -> None:
    """Guards against requests after the bound where no endpoint can be promoted."""
    harness = make_evacuating_harness((ZONE, ZONE, ZONE))
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    if is_begun:
        harness.send(session, BEGIN)
        harness.send(session, WRITE)
    evacuate(harness)
    harness.run(2 * SECOND)
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    harness.run(2 * SECOND)
    since = len(harness.sent)
    before = len(harness.executed("e1"))
    refusal = harness.send(session, COMMIT if is_begun else WRITE)
    assert isinstance(refusal, RefuseStatement)
    if not is_begun:
        assert refusal.refusal.fault is Fault.OVERLOADED
        assert ZONE in refusal.refusal.detail
        assert refusal.refusal.retry_after == SECOND
    harness.run(3 * SECOND)
    assert not requests_to(harness, "e1", since)
    assert len(harness.executed("e1")) == before
    assert not harness.connections and not harness.open_transactions
    assert harness.state.evacuations[ZONE].deadline < harness.clock.monotonic()


def test_suspended_instance_checks_before_each_send() -> None:
    """Guards against a commit that is sent after a pause, before the next tick."""
    harness = make_evacuating_harness((ZONE, ZONE, ZONE))
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    evacuate(harness)
    harness.clock.advance(BOUND)
    since = len(harness.sent)
    refusal = harness.send(session, COMMIT)
    assert isinstance(refusal, RefuseStatement)
    assert refusal.refusal.fault is not Fault.IN_DOUBT
    assert not requests_to(harness, "e1", since)


def test_withdrawn_evacuation() -> None:
    """Guards against endpoints that stay out of use after the request is withdrawn."""
    harness = make_evacuating_harness((ZONE, ZONE, ZONE))
    evacuate(harness)
    harness.run(BOUND)
    session = harness.open_session("own-db")
    assert isinstance(harness.send(session, WRITE), RefuseStatement)
    harness.write_object(WatchedKind.EVACUATIONS, ZONE, Gone())
    assert isinstance(harness.send(session, WRITE), AnswerStatement)


def test_store_outage_does_not_prolong_the_use() -> None:
    """Guards against an instance that misses the evacuation and goes on."""
    harness = make_evacuating_harness((ZONE, ZONE, ZONE))
    session = harness.open_session("own-db")
    harness.send(session, WRITE)
    confirmed_at = harness.state.kinds[WatchedKind.EVACUATIONS].confirmed_at
    harness.store_is_up = False
    while harness.clock.monotonic() < confirmed_at + 0.8 * BOUND:
        harness.run(100 * MILLISECOND)
    since = len(harness.sent)
    assert isinstance(harness.send(session, WRITE), RefuseStatement)
    assert not requests_to(harness, "e1", since)


def test_kind_is_not_watched_without_a_bound() -> None:
    """Guards against calls to the store in deployments without evacuations."""
    harness = make_harness()
    harness.run(SECOND)
    kinds = {getattr(item, "kind", None) for item in harness.sent}
    assert WatchedKind.REGISTRY in kinds
    assert WatchedKind.EVACUATIONS not in kinds


def test_long_queue_of_an_evacuated_replica() -> None:
    """Guards against a recursion for each statement that waits for a connection."""
    near = "r1-1"
    route = make_route(timeout=60 * SECOND, objective=60 * SECOND)
    configuration = make_configuration(routes=(route,))
    harness = make_evacuating_harness(("z2", near, near), configuration)
    harness.send(harness.open_session(), WRITE)
    harness.holds_statements = True
    sessions = [harness.open_session() for _ in range(1500)]
    for session in sessions:
        harness.send(session, READ)
    evacuate(harness, near)
    harness.holds_statements = False
    harness.answer_held()
    harness.run(SECOND)
    assert all(harness.answer_for(session) for session in sessions)
