"""Log events of requests on the HTTP interface."""

from datetime import timedelta

from pimentodrift.event_base import Event, event_name
from pimentodrift.request_events import (
    RequestAnswered,
    RequestDenied,
    RequestRefused,
    WorkRefused,
)

from .entry_support import KEYS, Cluster, make_cluster

SECOND = timedelta(seconds=1)
STATEMENTS = "/v1/groups/g/statements"
READ = {"statement": "get x", "access": "read"}


def events_named(cluster: Cluster, name: str) -> list[Event]:
    """Return the events with a name that all instances have logged."""
    events = [
        event for state in cluster.states.values() for event in state.typed_events
    ]
    return [event for event in events if event_name(type(event)) == name]


def test_the_end_of_each_request_is_logged() -> None:
    """Guards against failed requests that the log does not explain by their id."""
    cluster = make_cluster()
    cluster.statement("put x 1", "write", request_id="one")
    (answered,) = events_named(cluster, "request_answered")
    assert isinstance(answered, RequestAnswered)
    assert (answered.request, answered.endpoint) == ("one", "p")
    assert answered.stage == "forwarded" and answered.attempts == 1
    cluster.statement("fail", "write", request_id="two")
    (work,) = events_named(cluster, "work_refused")
    (refused,) = events_named(cluster, "request_refused")
    assert isinstance(work, WorkRefused) and isinstance(refused, RequestRefused)
    assert work.request == refused.request == "two"
    assert work.problem == refused.problem == "statement-failed"
    cluster.statement("get x", key="other", request_id="three")
    (denied,) = events_named(cluster, "request_denied")
    assert isinstance(denied, RequestDenied)
    assert (denied.request, denied.problem) == ("three", "key-invalid")


def test_log_events_contain_no_keys() -> None:
    """Guards against keys in the log."""
    cluster = make_cluster()
    cluster.statement("put x 1", "write", request_id="one")
    cluster.statement("get x", key="another-secret", request_id="two")
    text = repr([state.typed_events for state in cluster.states.values()])
    assert "request" in text
    assert not any(key in text for key in (*KEYS.values(), "another-secret"))


def test_counters_match_the_log_events() -> None:
    """Guards against counters that differ from the log."""
    cluster = make_cluster()
    for number in range(5):
        cluster.statement(f"put x {number}", "write")
        cluster.statement("fail")
        cluster.statement("get x", key="other")
    counters = cluster.counters()
    assert (
        counters["answers.ran"] == len(events_named(cluster, "request_answered")) == 5
    )
    refused = len(events_named(cluster, "request_refused"))
    assert counters["answers.statement-failed"] == refused == 5
    denied = len(events_named(cluster, "request_denied"))
    assert counters["answers.key-invalid"] == denied == 5
    assert counters["execution.refused.statement-failed"] == 5
    assert len(events_named(cluster, "work_refused")) == 5
