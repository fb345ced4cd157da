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

from .session_answers import answered, refused, sample
from .session_support import (
    BEGIN,
    COMMIT,
    MILLISECOND,
    READ,
    SECOND,
    WRITE,
    make_configuration,
    make_endpoint,
    make_route,
    make_world,
)


def test_withdrawn_key_stops_at_once() -> None:
    """Guards against a connected client whose key was withdrawn."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    world.configure(make_configuration(2, keys=("another",)))
    refused(world.say(session, WRITE), Fault.KEY_INVALID)
    assert not world.open_work
    assert len(world.ran("e1")) == 1


@pytest.mark.parametrize("suspended", [False, True])
def test_unconfirmed_configuration_refuses(suspended: bool) -> None:
    """Guards against a key withdrawn while the instance was cut off or suspended."""
    world = make_world()
    session = world.connect("own-db")
    answered(world.say(session, WRITE))
    world.store_is_up = False
    if suspended:
        world.clock.advance(4 * SECOND)
    else:
        world.run(4 * SECOND)
    message = refused(world.say(session, WRITE), Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert len(world.ran("e1")) == 1
    world.store_is_up = True
    world.run(SECOND)
    answered(world.say(session, WRITE))


def test_older_version_changes_nothing() -> None:
    """Guards against a configuration that reverts."""
    world = make_world()
    world.configure(make_configuration(3, keys=("key-3",)))
    world.configure(make_configuration(2))
    assert isinstance(world.last(world.connect()), RefuseSession)
    world.connect(key="key-3")
    assert len(world.state.sessions) == 1


def test_route_that_moves_to_another_group() -> None:
    """Guards against a transaction that changes its group halfway."""
    world = make_world()
    session = world.connect("own-db")
    world.say(session, BEGIN)
    world.say(session, WRITE)
    route = make_route(
        database="own-db", group="g2", consistency=Consistency.OWN_WRITES
    )
    world.configure(make_configuration(2, routes=(route,)))
    answered(world.say(session, WRITE))
    answered(world.say(session, COMMIT))
    assert len(world.ran("e1")) == 3
    assert world.say(session, WRITE) is None
    assert len(world.ran("e1")) == 3


def test_leaving_replica_gets_no_new_work() -> None:
    """Guards against work sent to an endpoint that is about to end."""
    world = make_world()
    sample(world)
    for name in ("e2", "e3"):
        world.register(name, make_endpoint(is_leaving=True))
    answered(world.say(world.connect(), READ))
    assert not world.ran("e2") and not world.ran("e3")


def test_lapsed_entry_is_used_for_a_while() -> None:
    """Guards against an outage of the store that takes the endpoints with it."""
    world = make_world()
    world.change(WatchedKind.REGISTRY, "e1", Gone())
    answered(world.say(world.connect("own-db"), WRITE))
    world.run(3 * SECOND)
    assert "e1" not in world.state.registry
    assert world.say(world.connect("own-db"), WRITE) is None


def test_unreadable_entry_names_no_endpoint() -> None:
    """Guards against another writer's entry that takes the others with it."""
    world = make_world()
    world.change(WatchedKind.REGISTRY, "e9", Unreadable("no address"))
    assert "e9" not in world.state.registry
    answered(world.say(world.connect("own-db"), WRITE))


def test_restarted_endpoint_is_another_one() -> None:
    """Guards against connections and knowledge of the process before."""
    world = make_world()
    answered(world.say(world.connect("own-db"), WRITE))
    world.register("e1", make_endpoint(incarnation=2))
    assert not world.state.pools["e1"].connections
    assert world.state.pools["e1"].answered_at < timedelta(0)


# --- Load and stop


def test_statement_that_cannot_be_served_soon_is_refused_at_once() -> None:
    """Guards against a refusal that is held back."""
    world = make_world()
    pool = world.state.pools["e1"]
    pool.service, pool.service_at = 500 * MILLISECOND, world.clock.time
    world.holds = True
    sessions = [world.connect("own-db") for _ in range(120)]
    last = [world.say(session, WRITE) for session in sessions][-1]
    message = refused(last, Fault.OVERLOADED)
    assert message.refusal.retry_after is not None
    assert world.state.operations
