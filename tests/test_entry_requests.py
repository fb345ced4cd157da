"""Requests through entry and owner: sessions, refusals, retries, at-most-once."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest

from pimentodrift import core, membership, tokens
from pimentodrift.messages import CallerGone, EndpointAnswered, Position
from pimentodrift.notices import InstanceDown
from pimentodrift.tables import LagRow, Presence

from .entry_support import KEYS, Cluster, make_cluster

SECOND = timedelta(seconds=1)
STATEMENTS = "/v1/groups/g/statements"
READ = {"statement": "get x", "access": "read"}


def token_of(result: dict[str, Any]) -> dict[str, str]:
    return {"session-token": result["headers"]["Session-Token"]}


def sample_all(cluster: Cluster) -> None:
    """Update the positions of all endpoints at all instances, as heartbeats do."""
    for state in cluster.states.values():
        for name, endpoint in cluster.endpoints.items():
            at = len(endpoint.log) if endpoint.is_primary else endpoint.replayed
            state.endpoints[name].position = Position(endpoint.term, at)
            state.endpoints[name].sampled_at = cluster.clock.time


def test_a_session_reads_its_write_only_on_replicas_that_have_it() -> None:
    """Guards against reads older than the session's position (requirement 1)."""
    cluster = make_cluster()
    written = cluster.result(cluster.statement("put x 1", "write"))
    headers = token_of(written)
    for name in "ab":
        read = cluster.result(cluster.statement("get x", headers=headers, at=name))
        assert read["rows"] == [["1"]]
    assert cluster.counters()["routing.reads_primary"] == 2
    cluster.endpoints["q"].replayed = 1
    sample_all(cluster)
    read = cluster.result(cluster.statement("get x", headers=headers))
    assert read["rows"] == [["1"]]
    assert cluster.counters()["routing.reads_replica"] == 1


def test_a_read_is_retried_when_a_replica_is_behind_its_sample() -> None:
    """Guards against a stale read by a replica that lacks its estimated position."""
    cluster = make_cluster()
    written = cluster.result(cluster.statement("put x 1", "write"))
    for state in cluster.states.values():
        for name in "qr":
            state.endpoints[name].position = Position(1, 1)
    read = cluster.result(cluster.statement("get x", headers=token_of(written)))
    assert read["rows"] == [["1"]]
    assert cluster.endpoints["q"].ran["get x"] + cluster.endpoints["r"].ran["get x"] > 0


REFUSALS: list[tuple[str, object, dict[str, Any], int, str]] = [
    ("/v1/nothing", READ, {}, 404, "not-found"),
    ("/v1/groups/g/transactions//commit", None, {}, 404, "not-found"),
    (STATEMENTS, READ, {"method": "PUT"}, 405, "method-not-allowed"),
    (STATEMENTS, b"{", {}, 400, "bad-request"),
    (STATEMENTS, READ | {"access": "all"}, {}, 400, "bad-request"),
    (STATEMENTS, READ | {"parameters": [[1]]}, {}, 400, "bad-request"),
    (STATEMENTS, READ | {"max_age_ms": True}, {}, 400, "bad-request"),
    (STATEMENTS, READ | {"statement": " /* /* */ */;--x\n(COMMIT"}, {}, 400, ""),
    (STATEMENTS, READ | {"extra": 1}, {}, 400, "bad-request"),
    (STATEMENTS, READ | {"statement": "x" * 300_000}, {}, 413, "body-too-large"),
    (STATEMENTS, READ, {"key": ""}, 401, "key-missing"),
    (STATEMENTS, READ, {"key": "other"}, 401, "key-invalid"),
    ("/v1/groups/h/statements", READ, {}, 404, "group-unknown"),
    (STATEMENTS, READ, {"headers": {"session-token": "?"}}, 400, "session-token"),
    (STATEMENTS, READ | {"statement": "fail"}, {}, 422, "statement-failed"),
    (STATEMENTS, READ | {"transaction": "x"}, {}, 404, "transaction-unknown"),
    ("/v1/groups/g/transactions/x/commit", None, {}, 404, "transaction-unknown"),
]


@pytest.mark.parametrize(("path", "body", "options", "status", "problem"), REFUSALS)
def test_invalid_requests_are_refused(
    path: str, body: object, options: dict[str, Any], status: int, problem: str
) -> None:
    """Guards against invalid requests that are accepted, and against wrong outcomes."""
    cluster = make_cluster()
    result = cluster.result(cluster.send(path, body, **options))
    assert result["status"] == status
    assert problem in result["type"]
    assert result["outcome"] == "not_run"
    assert not cluster.states["a"].pending


def test_an_open_route_needs_no_key_and_keys_stay_at_the_entry() -> None:
    """Guards against keys that leave the entry (requirement 5)."""
    cluster = make_cluster()
    opened = cluster.send("/v1/open/route-beta", method="GET", key="")
    assert cluster.result(opened)["status"] == 200
    frozen = cluster.endpoints["p"]
    frozen.frozen = True
    cluster.statement("put x 1", "write")
    held = repr(list(cluster.states.values())) + repr(frozen.held)
    assert KEYS["alpha"] not in held


@pytest.mark.parametrize(
    ("fault", "after", "headers", "status", "runs"),
    [
        ("put", False, {}, 503, 0),
        ("COMMIT", False, {}, 503, 0),
        ("COMMIT", True, {}, 503, 1),
        ("COMMIT", True, {"idempotency-key": "k"}, 200, 1),
        ("COMMIT", False, {"idempotency-key": "k"}, 200, 1),
        ("COMMIT", True, {"idempotency-key": "lasting"}, 503, 1),
    ],
)
def test_a_write_with_a_lost_connection_runs_at_most_once(
    fault: str, after: bool, headers: dict[str, str], status: int, runs: int
) -> None:
    """Guards against repeated writes and false "not run" (requirements 10 and 9)."""
    cluster = make_cluster()
    primary = cluster.endpoints["p"]
    primary.fault, primary.after_fault = fault, after
    request = cluster.statement("put x 1", "write", headers=headers)
    if "k" in headers.values():
        primary.fault = ""
    elif headers:
        primary.refuses = True
    cluster.advance(11 * SECOND)
    result = cluster.result(request)
    assert result["status"] == status
    assert primary.log.count(("x", "1")) == runs
    if status != 200:
        assert result["outcome"] == ("unknown" if fault == "COMMIT" else "not_run")


def test_an_idempotency_key_gives_the_first_answer_or_a_refusal() -> None:
    """Guards against a second run and against answers of another request."""
    cluster = make_cluster()
    key = {"headers": {"idempotency-key": "k"}}
    first = cluster.result(cluster.statement("put x 1", "write", **key))
    again = cluster.result(cluster.statement("put x 1", "write", at="b", **key))
    other = cluster.result(cluster.statement("put x 2", "write", **key))
    assert again["rows"] == first["rows"]
    assert again["headers"]["Idempotency-Replayed"] == "true"
    assert other["type"].endswith("idempotency-key-reused")
    assert cluster.endpoints["p"].log.count(("x", "1")) == 1


@pytest.mark.parametrize("access", ["read", "write"])
def test_a_request_waits_for_the_new_primary(access: str) -> None:
    """Guards against refusals during a failover that ends in time."""
    cluster = make_cluster()
    cluster.statement("get y")
    cluster.endpoints["p"].frozen = True
    request = cluster.statement("put x 1" if access == "write" else "get x", access)
    cluster.advance(SECOND)
    assert request not in cluster.answers
    cluster.promote("q", 2)
    cluster.advance(SECOND)
    assert cluster.result(request)["status"] == 200
    assert cluster.endpoints["q"].log == [("x", "1")] * (access == "write")


@pytest.mark.parametrize("access", ["read", "write"])
def test_a_frozen_endpoint_holds_no_slot_past_the_deadline(access: str) -> None:
    """Guards against slots that are never freed, and unknown instead of not run."""
    cluster = make_cluster(slots=1)
    cluster.statement("get x")
    cluster.endpoints["p"].frozen = True
    request = cluster.statement("put x 1", access)
    cluster.advance(11 * SECOND)
    outcome = "not_run" if access == "write" else "unknown"
    assert cluster.result(request)["outcome"] == outcome
    cluster.unfreeze("p")
    assert cluster.endpoints["p"].log == []
    assert cluster.result(cluster.statement("get x"))["status"] == 200


def test_a_connection_without_a_confirmed_rollback_is_not_used_again() -> None:
    """Guards against work inside another caller's transaction (requirement 3)."""
    cluster = make_cluster("a")
    cluster.endpoints["p"].refused = "ROLLBACK"
    assert cluster.result(cluster.statement("fail", "write"))["status"] == 422
    assert not cluster.states["a"].queues["p"].connections
    assert not cluster.endpoints["p"].open


def test_a_commit_after_which_the_term_changed_is_not_acknowledged() -> None:
    """Guards against acknowledgments by a replaced primary (requirement 2)."""
    cluster = make_cluster("a")
    cluster.statement("get x")
    primary = cluster.endpoints["p"]
    primary.frozen = True
    request = cluster.statement("put x 1", "write")
    ((_, batch),) = primary.held
    primary.held.clear()
    results = primary.run(("a", batch.connection), batch)
    state = cluster.states["a"]
    answered = EndpointAnswered(batch.connection, batch.batch, tuple(results))
    core.handle(answered, state)
    cluster.pump()
    primary.term = 2
    cluster.unfreeze("p")
    assert cluster.result(request)["outcome"] == "unknown"


@pytest.mark.parametrize("known_to", ["owner", "entry"])
def test_a_leaving_replica_gets_no_reads(known_to: str) -> None:
    """Guards against new work for leaving endpoints (requirement 11)."""
    cluster = make_cluster()
    written = cluster.result(cluster.statement("put x 1", "write"))
    for name in "qr":
        cluster.endpoints[name].replayed = 1
    sample_all(cluster)
    state = cluster.states["a"]
    owner = membership.owner(state.endpoints["q"], state)
    entry = "b" if owner == "a" else "a"
    informed = cluster.states["ab".replace(entry, "") if known_to == "owner" else entry]
    informed.endpoints["q"].presence = Presence.LEAVING
    for _ in range(8):
        cluster.statement("get x", headers=token_of(written), at=entry)
    assert cluster.endpoints["q"].ran["get x"] == 0
    assert cluster.endpoints["r"].ran["get x"] == 8


def refuse_connections(cluster: Cluster) -> None:
    cluster.endpoints["p"].refuses = True


def learn_a_later_term(cluster: Cluster) -> None:
    cluster.announce_primary("p", 2, 1)


def demote(cluster: Cluster) -> None:
    cluster.endpoints["p"].is_primary = False


@pytest.mark.parametrize("cause", [refuse_connections, learn_a_later_term, demote])
@pytest.mark.parametrize("access", ["read", "write"])
def test_without_a_primary_the_deadline_answers_with_a_time_to_retry(
    cause: Callable[[Cluster], None], access: str
) -> None:
    """Guards against hung requests and work on a replaced primary (requirement 2)."""
    cluster = make_cluster()
    cause(cluster)
    request = cluster.statement("put x 1" if access == "write" else "get x", access)
    cluster.advance(SECOND)
    assert request not in cluster.answers
    cluster.advance(10 * SECOND)
    result = cluster.result(request)
    assert result["type"].endswith("primary-unavailable")
    assert result["outcome"] == "not_run"
    assert int(result["headers"]["Retry-After"]) >= 1
    # Reads end their read-only transaction with COMMIT.
    assert access == "read" or not cluster.endpoints["p"].ran["COMMIT"]


def test_a_session_that_read_a_dropped_write_gets_one_refusal() -> None:
    """Guards against sessions that wait for a write that no endpoint has."""
    cluster = make_cluster()
    seen = {"session-token": tokens.encode({"g": Position(1, 9)})}
    cluster.promote("q", 2)
    refused = cluster.result(cluster.statement("get x", headers=seen))
    assert refused["type"].endswith("write-dropped")
    read = cluster.result(cluster.statement("get x", headers=token_of(refused)))
    assert read["status"] == 200


@pytest.mark.parametrize(
    ("unsent", "headers", "outcome"),
    [
        (True, {}, "ran"),
        (False, {}, "unknown"),
        (False, {"idempotency-key": "k"}, "ran"),
    ],
)
def test_the_loss_of_an_owner_during_a_write(
    unsent: bool, headers: dict[str, str], outcome: str
) -> None:
    """Guards against repeated writes when the owner's state is unknown."""
    cluster = make_cluster("abc")
    state = cluster.states["a"]
    owner_candidates = [
        row.name for row in membership.owner_candidates(state.endpoints["p"], state)
    ]
    entry = next(name for name in "abc" if name != owner_candidates[0])
    cluster.lost.add(owner_candidates[0])
    request = cluster.statement("put x 1", "write", at=entry, headers=headers)
    state = cluster.states[entry]
    attempt = state.pending[request].attempt
    membership.suspect(owner_candidates[0], state)
    down = InstanceDown(owner_candidates[0], frozenset([attempt] if unsent else []))
    core.handle(down, state)
    cluster.advance(SECOND)
    result = cluster.result(request)
    assert result.get("outcome", "ran") == outcome
    assert cluster.endpoints["p"].log.count(("x", "1")) == (outcome == "ran")


@pytest.mark.parametrize("beta_keys", [KEYS["beta"], " ".join(KEYS.values())])
def test_withdrawn_keys_and_gone_callers_leave_the_queue(beta_keys: str) -> None:
    """Guards against running queued work of withdrawn keys (requirement 6).

    The key of alpha is withdrawn, or beta has it now.
    """
    cluster = make_cluster(slots=1)
    cluster.endpoints["p"].frozen = True
    cluster.statement("put x 1", "write", key=KEYS["beta"])
    withdrawn = cluster.statement("put x 2", "write")
    gone = cluster.statement("put x 3", "write", key=KEYS["beta"])
    core.handle(CallerGone(gone), cluster.states["a"])
    cluster.configure({"beta": beta_keys})
    assert cluster.result(withdrawn)["type"].endswith("key-invalid")
    cluster.unfreeze("p")
    assert cluster.endpoints["p"].log == [("x", "1")]
    assert not any(state.works for state in cluster.states.values())


def test_a_read_with_an_age_uses_replicas_that_are_new_enough() -> None:
    """Guards against data older than the operators' and the caller's maximum age."""
    cluster = make_cluster()
    options: dict[str, Any] = {"key": KEYS["beta"]}
    cluster.statement("get x", **options)
    cluster.statement("put x 1", "write")
    for _ in range(3):
        cluster.advance(SECOND / 5)
        sample_all(cluster)
    cluster.statement("get x", **options)
    assert cluster.counters()["routing.reads_replica"] == 0
    cluster.endpoints["r"].replayed = 1
    sample_all(cluster)
    read = cluster.result(cluster.statement("get x", **options))
    assert read["rows"] == [["1"]]
    assert cluster.counters()["routing.reads_replica"] == 1
    cluster.advance(SECOND / 5)
    for age, served in ((500, 2), (100, 2), (None, 3)):
        cluster.statement("get x", body={"max_age_ms": age}, **options)
        assert cluster.counters()["routing.reads_replica"] == served


def test_a_read_waits_for_a_replica_that_will_soon_have_the_write() -> None:
    """Guards against reads that load the primary after each write of a session."""
    cluster = make_cluster()
    cluster.statement("get x")  # The entry starts to keep the group's history.
    sample_all(cluster)
    for name in "qr":
        cluster.states["a"].lags[name] = LagRow(name, SECOND / 25, cluster.clock.time)
    written = cluster.result(cluster.statement("put x 9", "write"))
    request = cluster.statement("get x", headers=token_of(written))
    assert request not in cluster.answers
    for name in "qr":
        cluster.endpoints[name].replayed = 1
    cluster.advance(SECOND)
    assert cluster.result(request)["rows"] == [["9"]]
    assert cluster.counters()["routing.replica_waits"] == 1
    assert cluster.counters()["routing.reads_replica"] == 1
