"""The session resource: values and prepared statements that travel in the token."""

from typing import Any

import pytest

from pimentodrift import tokens
from pimentodrift.messages import Access, Position
from pimentodrift.session_state import MAX_ENTRIES
from pimentodrift.session_state_rows import PreparedStatement, SessionState

from .entry_support import KEYS, Cluster, make_cluster

VALUE = "/v1/session/values/app.user"
PREPARED = "/v1/session/statements/store"


def change(
    cluster: Cluster, path: str, body: object, method: str = "PUT", token: str = ""
) -> str:
    """Change the session and return its new token."""
    headers = {"session-token": token} if token else {}
    request = cluster.send(path, body, method=method, headers=headers)
    result = cluster.result(request)
    assert result["status"] == 200
    return str(result["headers"]["Session-Token"])


def run(cluster: Cluster, token: str, text: str, **options: Any) -> Any:
    """Run a statement in a session and return its first value."""
    headers = {"session-token": token}
    request = cluster.statement(text, headers=headers, **options)
    return cluster.result(request)["rows"][0][0]


@pytest.mark.parametrize("access", ["read", "write"])
@pytest.mark.parametrize("entry", ["a", "b"])
def test_a_value_applies_at_every_entry_of_the_session(access: str, entry: str) -> None:
    """Guards against values that stay at an instance or on a connection."""
    cluster = make_cluster()
    token = change(cluster, VALUE, {"value": "ana"})
    assert run(cluster, token, "value app.user", access=access, at=entry) == "ana"
    assert run(cluster, "", "value app.user", access=access, at=entry) is None
    token = change(
        cluster, "/v1/session/values/APP.user", {"value": "eva"}, "PUT", token
    )
    assert run(cluster, token, "value app.user", access=access, at=entry) == "eva"
    token = change(cluster, VALUE, None, "DELETE", token)
    assert run(cluster, token, "value app.user", access=access, at=entry) is None


def test_values_follow_the_session_inside_a_transaction() -> None:
    """Guards against a transaction that keeps a value its session no longer has."""
    cluster = make_cluster()
    begun = cluster.result(cluster.send("/v1/groups/g/transactions"))
    inside = {"transaction": begun["transaction"]}
    token = change(cluster, VALUE, {"value": "ana"})
    assert run(cluster, token, "value app.user", body=inside) == "ana"
    other = change(
        cluster, "/v1/session/values/timezone", {"value": "UTC"}, "PUT", token
    )
    assert run(cluster, other, "value app.user", body=inside) == "ana"
    assert run(cluster, other, "value timezone", body=inside) == "UTC"
    assert run(cluster, token, "value timezone", body=inside) is None
    assert run(cluster, "", "value app.user", body=inside) is None


def test_a_prepared_statement_runs_by_its_name() -> None:
    """Guards against a prepared statement that runs with another access or text."""
    cluster = make_cluster()
    token = change(cluster, PREPARED, {"statement": "put x 1", "access": "write"})
    headers = {"session-token": token}
    path = "/v1/groups/g/statements"
    ran = cluster.result(cluster.send(path, {"prepared": "store"}, headers=headers))
    assert ran["status"] == 200
    assert run(cluster, ran["headers"]["Session-Token"], "get x", at="b") == "1"
    kept = cluster.send("/v1/session", method="GET", headers=headers)
    prepared = {"statement": "put x 1", "access": "write"}
    assert cluster.result(kept)["statements"] == {"store": prepared}
    token = change(cluster, PREPARED, None, "DELETE", token)
    gone = cluster.send(path, {"prepared": "store"}, headers={"session-token": token})
    assert cluster.result(gone)["status"] == 400


def test_closing_a_session_clears_its_state() -> None:
    """Guards against a closed session that keeps its state."""
    cluster = make_cluster()
    token = change(cluster, VALUE, {"value": "ana"})
    token = change(cluster, "/v1/session", None, "DELETE", token)
    assert tokens.decode(token).ok == tokens.Token()


REFUSALS: list[tuple[str, str, object, int]] = [
    ("PUT", "/v1/session/values/role", {"value": "admin"}, 400),
    ("PUT", "/v1/session/values/session_authorization", {"value": "x"}, 400),
    ("PUT", "/v1/session/values/search_path", {"value": "x"}, 400),
    ("PUT", "/v1/session/values/a.b.c", {"value": "x"}, 400),
    ("PUT", VALUE, {"value": 1}, 400),
    ("PUT", VALUE, {"value": "x" * 257}, 400),
    ("PUT", VALUE, {"value": "a\0b"}, 400),
    ("PUT", VALUE, {"value": "a", "local": True}, 400),
    ("PUT", VALUE, [], 400),
    ("PUT", PREPARED, {"statement": "COMMIT", "access": "write"}, 400),
    ("PUT", PREPARED, {"statement": "get x"}, 400),
    ("PUT", PREPARED, {"statement": "x" * 1025, "access": "read"}, 400),
    ("PUT", "/v1/session/statements/1x", {"statement": "x", "access": "read"}, 400),
    ("DELETE", VALUE, None, 404),
    ("DELETE", PREPARED, None, 404),
    ("GET", VALUE, None, 405),
    ("POST", "/v1/session", None, 405),
    ("GET", "/v1/session/values", None, 404),
]


@pytest.mark.parametrize(("method", "path", "body", "status"), REFUSALS)
def test_invalid_changes_are_refused(
    method: str, path: str, body: object, status: int
) -> None:
    """Guards against settings that change the caller's role, and oversized values."""
    cluster = make_cluster()
    result = cluster.result(cluster.send(path, body, method=method))
    assert result["status"] == status
    assert result["outcome"] == "not_run"


def test_a_session_needs_a_key() -> None:
    """Guards against use of the session resource without a valid key."""
    cluster = make_cluster()
    result = cluster.result(cluster.send("/v1/session", method="GET", key="other"))
    assert result["status"] == 401


def test_the_size_of_a_session_is_bounded() -> None:
    """Guards against tokens that are too long for a request's head."""
    cluster = make_cluster()
    token = ""
    for number in range(MAX_ENTRIES):
        token = change(cluster, f"{VALUE}{number}", {"value": "x" * 256}, "PUT", token)
    headers = {"session-token": token}
    more = cluster.send(VALUE, {"value": ""}, method="PUT", headers=headers)
    assert cluster.result(more)["status"] == 400
    body = {"statement": "x" * 1024, "access": "read"}
    for number in range(MAX_ENTRIES):
        path = f"{PREPARED}{number}"
        result = cluster.result(cluster.send(path, body, method="PUT", headers=headers))
        if result["status"] == 400:
            break
        headers = {"session-token": result["headers"]["Session-Token"]}
        assert len(headers["session-token"]) <= tokens.MAX_LENGTH
    assert result["status"] == 400


@pytest.mark.parametrize(
    "kept",
    [
        SessionState({"role": "admin"}),
        SessionState({"app.user": "x" * 300}),
        SessionState({}, {"a b": PreparedStatement("get x", Access.READ)}),
    ],
)
def test_a_forged_token_is_checked(kept: SessionState) -> None:
    """Guards against settings in a forged token that the session resource refuses."""
    cluster = make_cluster()
    forged = tokens.encode({"g": Position(1, 1)}, kept)
    headers = {"session-token": forged}
    result = cluster.result(cluster.statement("get x", headers=headers))
    assert result["status"] == 400


def test_a_connection_is_reset_for_another_workspace() -> None:
    """Guards against settings and locks that a statement left on a connection."""
    cluster = make_cluster("a")
    primary = cluster.endpoints["p"]
    for _ in range(2):
        assert cluster.result(cluster.statement("put x 1", "write"))["status"] == 200
    assert primary.ran["DISCARD ALL"] == 0
    for _ in range(2):
        asked = cluster.statement("put x 2", "write", key=KEYS["beta"])
        assert cluster.result(asked)["status"] == 200
    assert primary.ran["DISCARD ALL"] == 1


def test_a_connection_that_cannot_be_reset_is_not_used() -> None:
    """Guards against work on a connection that another workspace has changed."""
    cluster = make_cluster("a")
    primary = cluster.endpoints["p"]
    assert cluster.result(cluster.statement("put x 1", "write"))["status"] == 200
    primary.refused = "DISCARD"
    asked = cluster.statement("put x 2", "write", key=KEYS["beta"])
    assert asked not in cluster.answers  # Retried later on a new connection.
    cluster.advance(cluster.states["a"].settings.request_timeout)
    assert cluster.result(asked)["status"] == 200
    assert primary.log[-1] == ("x", "2")


def test_an_open_route_runs_without_session_values() -> None:
    """Guards against callers without a key whose values affect an open route."""
    cluster = make_cluster()
    token = change(cluster, VALUE, {"value": "ana"})
    headers = {"session-token": token}
    path = "/v1/open/route-beta"
    opened = cluster.send(path, method="GET", key="", headers=headers)
    assert cluster.result(opened)["status"] == 200
    ran = [text for row in cluster.endpoints.values() for text in row.ran]
    assert any(text.startswith("get") for text in ran)
    assert not any("set_config" in text for text in ran)
