"""Sessions while the configuration and the registry change."""

from datetime import timedelta

import pytest

from pimentodrift.kind_messages import (
    Gone,
    Unreadable,
    WatchedKind,
)
from pimentodrift.session_messages import (
    Fault,
    RefuseSession,
)
from pimentodrift.session_rows import Consistency

from .session_assertions import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    make_configuration,
    make_endpoint,
    make_harness,
    make_route,
)


def test_withdrawn_key_stops_at_once() -> None:
    """Guards against a connected client whose key was withdrawn."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.configure(make_configuration(2, keys=("another",)))
    refused(harness.send(session, WRITE), Fault.KEY_INVALID)
    assert not harness.open_work
    assert len(harness.executed("e1")) == 1


@pytest.mark.parametrize("suspended", [False, True])
def test_unconfirmed_configuration_refuses(suspended: bool) -> None:
    """Guards against a key withdrawn while the instance was cut off or suspended."""
    harness = make_harness()
    session = harness.open_session("own-db")
    answered(harness.send(session, WRITE))
    harness.store_is_up = False
    if suspended:
        harness.clock.advance(4 * SECOND)
    else:
        harness.run(4 * SECOND)
    message = refused(harness.send(session, WRITE), Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert len(harness.executed("e1")) == 1
    harness.store_is_up = True
    harness.run(SECOND)
    answered(harness.send(session, WRITE))


def test_older_version_changes_nothing() -> None:
    """Guards against a configuration that reverts."""
    harness = make_harness()
    harness.configure(make_configuration(3, keys=("key-3",)))
    harness.configure(make_configuration(2))
    assert isinstance(harness.last(harness.open_session()), RefuseSession)
    harness.open_session(key="key-3")
    assert len(harness.state.sessions) == 1


def test_route_that_moves_to_another_group() -> None:
    """Guards against a transaction that changes its group halfway."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    route = make_route(
        database="own-db", group="g2", consistency=Consistency.OWN_WRITES
    )
    harness.configure(make_configuration(2, routes=(route,)))
    answered(harness.send(session, WRITE))
    answered(harness.send(session, COMMIT))
    assert len(harness.executed("e1")) == 3
    assert harness.send(session, WRITE) is None
    assert len(harness.executed("e1")) == 3


def test_leaving_replica_gets_no_new_work() -> None:
    """Guards against work sent to an endpoint that is about to end."""
    harness = make_harness()
    sample(harness)
    for name in ("e2", "e3"):
        harness.register(name, make_endpoint(is_leaving=True))
    answered(harness.send(harness.open_session(), READ))
    assert not harness.executed("e2") and not harness.executed("e3")


def test_lapsed_entry_is_used_for_a_while() -> None:
    """Guards against an outage of the store that takes the endpoints with it."""
    harness = make_harness()
    harness.write_object(WatchedKind.REGISTRY, "e1", Gone())
    answered(harness.send(harness.open_session("own-db"), WRITE))
    harness.run(3 * SECOND)
    assert "e1" not in harness.state.registry
    assert harness.send(harness.open_session("own-db"), WRITE) is None


def test_unreadable_entry_names_no_endpoint() -> None:
    """Guards against another writer's entry that takes the others with it."""
    harness = make_harness()
    harness.write_object(WatchedKind.REGISTRY, "e9", Unreadable("no address"))
    assert "e9" not in harness.state.registry
    answered(harness.send(harness.open_session("own-db"), WRITE))


def test_restarted_endpoint_is_another_one() -> None:
    """Guards against connections and knowledge of the process before."""
    harness = make_harness()
    answered(harness.send(harness.open_session("own-db"), WRITE))
    harness.register("e1", make_endpoint(incarnation=2))
    assert not harness.state.pools["e1"].connections
    assert harness.state.pools["e1"].answered_at < timedelta(0)


# --- Load and stop


def test_statement_that_cannot_be_served_soon_is_refused_at_once() -> None:
    """Guards against a refusal that is held back."""
    harness = make_harness()
    pool = harness.state.pools["e1"]
    pool.service, pool.service_at = 500 * MILLISECOND, harness.clock.time
    harness.holds_statements = True
    sessions = [harness.open_session("own-db") for _ in range(120)]
    last = [harness.send(session, WRITE) for session in sessions][-1]
    message = refused(last, Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert harness.state.operations
