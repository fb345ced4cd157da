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

from .session_assertions import assert_answered, assert_refused, learn_primary_position
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


def test_withdrawn_key_refuses_open_session_at_once() -> None:
    """Guards against statements of a client whose key was withdrawn."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    harness.configure(make_configuration(2, keys=("another",)))
    assert_refused(harness.send(session, WRITE), Fault.KEY_INVALID)
    assert not harness.open_transactions
    assert len(harness.executed("e1")) == 1


@pytest.mark.parametrize("suspended", [False, True])
def test_unconfirmed_configuration_refuses_statements(suspended: bool) -> None:
    """Guards against a key withdrawn while the instance was cut off or suspended."""
    harness = make_harness()
    session = harness.open_session("own-db")
    assert_answered(harness.send(session, WRITE))
    harness.store_is_up = False
    if suspended:
        harness.clock.advance(4 * SECOND)
    else:
        harness.run(4 * SECOND)
    message = assert_refused(harness.send(session, WRITE), Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert len(harness.executed("e1")) == 1
    harness.store_is_up = True
    harness.run(SECOND)
    assert_answered(harness.send(session, WRITE))


def test_older_configuration_is_ignored() -> None:
    """Guards against a configuration that is reverted by a late update."""
    harness = make_harness()
    harness.configure(make_configuration(3, keys=("key-3",)))
    harness.configure(make_configuration(2))
    assert isinstance(harness.last_message(harness.open_session()), RefuseSession)
    harness.open_session(key="key-3")
    assert len(harness.state.sessions) == 1


def test_open_transaction_keeps_its_group_when_route_moves() -> None:
    """Guards against a transaction whose statements run in two groups."""
    harness = make_harness()
    session = harness.open_session("own-db")
    harness.send(session, BEGIN)
    harness.send(session, WRITE)
    route = make_route(
        database="own-db", group="g2", consistency=Consistency.OWN_WRITES
    )
    harness.configure(make_configuration(2, routes=(route,)))
    assert_answered(harness.send(session, WRITE))
    assert_answered(harness.send(session, COMMIT))
    assert len(harness.executed("e1")) == 3
    assert harness.send(session, WRITE) is None
    assert len(harness.executed("e1")) == 3


def test_leaving_replica_gets_no_new_work() -> None:
    """Guards against statements that are sent to an endpoint about to stop."""
    harness = make_harness()
    learn_primary_position(harness)
    for name in ("e2", "e3"):
        harness.register(name, make_endpoint(is_leaving=True))
    assert_answered(harness.send(harness.open_session(), READ))
    assert not harness.executed("e2") and not harness.executed("e3")


def test_endpoint_without_entry_is_used_for_grace_period() -> None:
    """Guards against losing all endpoints when a store outage lets entries lapse."""
    harness = make_harness()
    harness.write_object(WatchedKind.REGISTRY, "e1", Gone())
    assert_answered(harness.send(harness.open_session("own-db"), WRITE))
    harness.run(3 * SECOND)
    assert "e1" not in harness.state.registry
    assert harness.send(harness.open_session("own-db"), WRITE) is None


def test_unreadable_entry_is_ignored() -> None:
    """Guards against an unreadable entry that makes other endpoints unusable."""
    harness = make_harness()
    harness.write_object(WatchedKind.REGISTRY, "e9", Unreadable("no address"))
    assert "e9" not in harness.state.registry
    assert_answered(harness.send(harness.open_session("own-db"), WRITE))


def test_restarted_endpoint_loses_connections_and_estimates() -> None:
    """Guards against keeping connections and estimates of the previous process."""
    harness = make_harness()
    assert_answered(harness.send(harness.open_session("own-db"), WRITE))
    harness.register("e1", make_endpoint(incarnation=2))
    assert not harness.state.pools["e1"].connections
    assert harness.state.pools["e1"].answered_at < timedelta(0)


# --- Load


def test_statement_that_cannot_be_served_soon_is_refused_at_once() -> None:
    """Guards against a refusal that is sent only after a wait."""
    harness = make_harness()
    pool = harness.state.pools["e1"]
    pool.service, pool.service_at = 500 * MILLISECOND, harness.clock.time
    harness.holds_statements = True
    sessions = [harness.open_session("own-db") for _ in range(120)]
    last = [harness.send(session, WRITE) for session in sessions][-1]
    message = assert_refused(last, Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert harness.state.operations
