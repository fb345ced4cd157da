"""Region limits: what reaches which endpoint, and what is refused at once."""

from attrs import evolve
from pytest import mark, raises

from pimentodrift import membership
from pimentodrift.errors import Failure, Problem
from pimentodrift.homes import limits
from pimentodrift.homes.decisions import combine, is_allowed, parse_regions
from pimentodrift.messages import Access, Position, Statement
from pimentodrift.replica_choice import Route, choose_route
from pimentodrift.route_configuration import RouteConfiguration
from pimentodrift.session_messages import (
    AnswerStatement,
    Fault,
    Phase,
    RefuseStatement,
)
from pimentodrift.session_rows import Consistency, EndpointRole
from pimentodrift.tables import (
    EndpointRow,
    GroupRow,
    InstanceRow,
    OpenRoute,
    PendingRequest,
    WorkspaceRow,
)

from .session_support import (
    BEGIN,
    READ,
    SECOND,
    TICK,
    WRITE,
    SessionHarness,
    make_configuration,
    make_endpoint,
    make_harness,
    make_route,
)
from .support import make_state

R1, R2 = frozenset({"r1"}), frozenset({"r2"})
PLACES = {"e1": "r1-1", "e2": "r2-1", "e3": "r2-2"}


def limited(
    version: int, route: frozenset[str], workspace: frozenset[str]
) -> RouteConfiguration:
    routes = (
        make_route(regions=route),
        make_route(
            database="primary-db", consistency=Consistency.PRIMARY, regions=route
        ),
    )
    made = make_configuration(version, routes)
    first, *others = made.workspaces
    return evolve(made, workspaces=(evolve(first, regions=workspace), *others))


def make_homes(
    route: frozenset[str], workspace: frozenset[str], places: dict[str, str]
) -> SessionHarness:
    harness = make_harness(limited(1, route, workspace))
    harness.state.settings = evolve(
        harness.state.settings, regions="r1-1=r1,r2-1=r2,r2-2=r2"
    )
    for name, place in places.items():
        role = EndpointRole.PRIMARY if name == "e1" else EndpointRole.REPLICA
        harness.register(name, make_endpoint(role=role, data_centre=place))
    harness.run(TICK)
    return harness


@mark.parametrize(
    ("route", "workspace", "command", "served"),
    [
        (frozenset(), frozenset(), WRITE, {"e1"}),
        (R1, frozenset(), WRITE, {"e1"}),
        (frozenset(), R1, READ, {"e1"}),
        (R2, frozenset(), READ, {"e2", "e3"}),
        (R1 | R2, R2, READ, {"e2", "e3"}),
        (R2, frozenset(), WRITE, set()),
        (R1, R2, READ, set()),
        (frozenset({"r9"}), frozenset(), READ, set()),
    ],
)
def test_both_limits_bind(
    route: frozenset[str], workspace: frozenset[str], command: object, served: set[str]
) -> None:
    """Guards against a statement in a region that its route or workspace excludes."""
    harness = make_homes(route, workspace, PLACES)
    answer = harness.send(harness.open_session(), command)  # type: ignore[arg-type]
    if served and answer is None:
        harness.run(SECOND)
        answer = harness.last_message(harness.sessions)
    used = {name for name in PLACES if harness.executed(name)}
    if served:
        assert isinstance(answer, AnswerStatement)
        assert used and used <= served
    else:
        assert isinstance(answer, RefuseStatement)
        assert answer.refusal.fault is Fault.OVERLOADED
        assert "region" in answer.refusal.detail
        assert answer.refusal.retry_after
        assert not used


def test_a_data_centre_without_region_is_not_allowed() -> None:
    """Guards against an endpoint of unknown region that gets limited statements."""
    harness = make_homes(R1, frozenset(), PLACES | {"e1": "elsewhere"})
    answer = harness.send(harness.open_session(), READ)
    assert isinstance(answer, RefuseStatement)


def test_open_transaction_is_rolled_back_when_a_limit_comes() -> None:
    """Guards against a transaction that goes on in a region just excluded."""
    harness = make_homes(frozenset(), frozenset(), PLACES)
    session = harness.open_session()
    harness.send(session, BEGIN)
    assert isinstance(harness.send(session, WRITE), AnswerStatement)
    harness.configure(limited(2, frozenset(), R2))
    answer = harness.send(session, WRITE)
    assert isinstance(answer, RefuseStatement)
    assert answer.refusal.fault is Fault.ABORTED
    other = harness.open_session()
    harness.configure(limited(3, frozenset(), frozenset()))
    harness.send(other, BEGIN)
    assert isinstance(harness.send(other, WRITE), AnswerStatement)
    harness.configure(limited(4, R2, frozenset()))
    harness.run(2 * TICK)
    assert harness.state.sessions[other].phase is Phase.FAILED
    assert not harness.open_transactions


def test_waiting_statement_follows_a_new_limit() -> None:
    """Guards against a statement that was queued before the limit and sent after it."""
    harness = make_homes(frozenset(), frozenset(), PLACES)
    harness.databases["e1"].is_silent = True
    session = harness.open_session("primary-db")
    assert harness.send(session, READ) is None
    harness.configure(limited(2, R2, frozenset()))
    harness.end_silence("e1")
    harness.run(2 * TICK)
    assert isinstance(harness.last_message(session), RefuseStatement)
    assert not harness.executed("e1")


def test_text_is_sent_to_instances_in_allowed_regions_only() -> None:
    """Guards against a forward of a limited statement to another region."""
    harness = make_homes(R2, frozenset(), PLACES)
    for name, place in (("near", "r2-1"), ("far", "r1-1"), ("lost", "elsewhere")):
        harness.state.instances[name] = InstanceRow(name, "", "", place)
    harness.databases["e2"].is_silent = harness.databases["e3"].is_silent = True
    harness.send(harness.open_session(), READ)
    (operation,) = harness.state.operations.values()
    own = harness.state.settings.name
    allowed = [
        limits.allows_instance(operation, name, harness.state)
        for name in (own, "near", "far", "lost", "unknown")
    ]
    assert allowed == [True, True, False, False, False]


def test_promotion_prefers_an_allowed_region() -> None:
    """Guards against a new primary that limited routes cannot use."""
    harness = make_homes(R2, frozenset(), PLACES | {"e3": "r1-1"})
    assert [limits.prefers_region(name, "g1", harness.state) for name in PLACES] == [
        False,
        True,
        False,
    ]


def test_combined_limits() -> None:
    """Guards against an empty intersection that counts as no limit."""
    assert combine([frozenset(), frozenset()]) is None
    assert combine([R1, R2]) == frozenset()
    assert combine([R1 | R2, R2]) == R2
    assert is_allowed("", None) and not is_allowed("", R1)
    assert parse_regions("a=r1,b=r2") == {"a": "r1", "b": "r2"}
    for text in ("a", "a=", "=r", "a=r,,", "a=r,a=s", "a=b=c"):
        with raises(ValueError):
            parse_regions(text)


@mark.parametrize(
    ("regions", "route_regions", "access", "seen", "endpoint"),
    [
        (frozenset(), frozenset(), Access.WRITE, 0, "e1"),
        (R1, frozenset(), Access.WRITE, 0, "e1"),
        (R2, frozenset(), Access.WRITE, 0, None),
        (R2, frozenset(), Access.READ, 5, "e2"),
        (R2, frozenset(), Access.READ, 0, None),
        (R1 | R2, R2, Access.READ, 5, "e2"),
        (R1, R2, Access.READ, 5, None),
        (frozenset({"r3"}), frozenset(), Access.READ, 5, None),
    ],
)
def test_requests_are_forwarded_within_their_regions(
    regions: frozenset[str],
    route_regions: frozenset[str],
    access: Access,
    seen: int,
    endpoint: str | None,
) -> None:
    """Guards against a forward to an endpoint or an owner in another region."""
    state = make_state()
    for name, region in (("a", "r1"), ("b", "r2")):
        state.instances[name] = InstanceRow(name, "", region, f"{region}-1")
    # No instance is in r3, so that b, of another region, owns its endpoint. With a, the
    # instance that the client reached, the request may go there.
    for name, region in (("e1", "r1"), ("e2", "r2"), ("e6", "r3")):
        row = EndpointRow(name, "g", region, "", 3, 9, position=Position(1, 9))
        state.endpoints[name] = row
    state.groups["g"] = GroupRow("g", 1, "e1", {1: 0})
    workspace = WorkspaceRow("w", 9.0, 9.0, regions=regions)
    state.configuration.workspaces["w"] = workspace
    open_route = OpenRoute("r", "g", "SELECT 1", regions=route_regions)
    state.configuration.open_routes["r"] = ("w", open_route)
    pending = PendingRequest(
        1, "w", "", "g", access, Statement("x"), 9 * SECOND, open_route="r"
    )
    if seen:
        pending.session["g"] = Position(1, seen)
    assert membership.owner(state.endpoints["e6"], state) == "b"
    found = choose_route(pending, state)
    if endpoint is None:
        assert isinstance(found, Failure)
        assert found.problem is Problem.REGION_FORBIDDEN
        assert "allowed regions" in found.detail
    else:
        assert isinstance(found, Route)
        assert found.endpoint == endpoint
