"""Loads on a primary whose limit of connections is shared by all instances."""

from datetime import timedelta
from random import Random

import pytest

from pimentodrift import connection_limits

from .capped_database import CappedNetwork
from .session_support import SECOND, WRITE

NAMES = [f"i{number}" for number in range(7)]
WORKSPACES = 8
TICK = timedelta(milliseconds=20)
RETURN_TIME = 15 * TICK  # In which all clients return after an outage.
# The database can answer 166 statements/s.
BUSY_RATE = 60  # Requests/s.
USUAL_RATE = 40
BACKLOG = 50  # Requests.


def make_network(seed: int, disabled_policies: str = "") -> CappedNetwork:
    """Return a fleet whose database accepts 16 connections; each workspace needs one.

    Its instances could use 56, one for each of the workspaces.
    """
    settings = {"disabled_policies": disabled_policies}
    network = CappedNetwork(Random(seed), settings=settings)
    network.start(WORKSPACES)
    for index, name in enumerate(NAMES):
        network.add(name, f"r{index % 3}")
    network.run(3 * SECOND)
    return network


def offer(network: CappedNetwork, rate: float, duration: timedelta) -> None:
    """Send `rate` requests/s for a time, of any workspace to any instance."""
    random = Random(2)
    due = rate * TICK.total_seconds()
    for _ in range(duration // TICK):
        for _ in range(int(due) + (random.random() < due % 1)):
            workspace = f"w{random.randrange(WORKSPACES)}"
            network.request(random.choice(NAMES), workspace, WRITE)
        network.run(TICK)


@pytest.mark.parametrize("seed", range(3))
def test_busy_workspaces_find_connections(seed: int) -> None:
    """Guards against waits for connections while the database has free slots."""
    network = make_network(seed)
    offer(network, BUSY_RATE, 4 * SECOND)
    network.run(2 * SECOND)
    assert network.in_time() >= 0.95
    assert network.given_up.total() == 0


@pytest.mark.parametrize("seed", range(3))
def test_returning_clients_find_connections(seed: int) -> None:
    """Guards against statements that wait in vain because all instances are refused."""
    results = {}
    for policies in ("connection-shares", ""):
        network = make_network(seed, disabled_policies=policies)
        offer(network, BACKLOG / RETURN_TIME.total_seconds(), RETURN_TIME)
        offer(network, USUAL_RATE, 2 * SECOND)
        network.run(2 * SECOND)
        given_up = network.given_up.total()
        results[policies] = network.in_time(), network.refused_connections, given_up
    in_time, refused, given_up = results[""]
    in_time_without, refused_without, given_up_without = results["connection-shares"]
    assert in_time > in_time_without
    assert refused < refused_without
    assert given_up == 0 or given_up < given_up_without


@pytest.mark.parametrize(
    ("accepted", "instances", "usual", "crowded"),
    [(16, 7, 5, 2), (16, 1, 33, 16), (3, 7, 3, 2), (24, 2, 25, 12)],
)
def test_limit_by_share(
    accepted: int, instances: int, usual: int, crowded: int
) -> None:
    """Guards against shares that leave no room for a transaction and a statement."""
    share = connection_limits.fair_share(accepted, instances)
    assert connection_limits.connection_limit(share, is_crowded=False) == usual
    assert connection_limits.connection_limit(share, is_crowded=True) == crowded


@pytest.mark.parametrize(
    ("refusals", "milliseconds"), [(1, 40), (2, 80), (3, 150), (4, 150), (1000, 150)]
)
def test_backoff_grows_with_refusals(refusals: int, milliseconds: int) -> None:
    """Guards against a large fleet that keeps an endpoint busy with refusals."""
    expected = timedelta(milliseconds=milliseconds)
    assert connection_limits.backoff(refusals) == expected


def test_statement_without_a_connection_is_refused_at_its_timeout() -> None:
    """Guards against waits that begin anew with each refused attempt, without end.

    The connections of machines that lost power still count against the limit.
    """
    network = make_network(1)
    network.occupy(network.connection_limit)
    offer(network, USUAL_RATE, SECOND)
    network.run(SECOND)
    assert network.refusal_waits and not network.latencies
    assert max(network.refusal_waits) <= network.timeout + 2 * TICK


def test_clients_are_served_when_connections_are_closed() -> None:
    """Guards against refusals that last longer than their reason."""
    network = make_network(1)
    network.occupy(network.connection_limit)
    offer(network, USUAL_RATE, SECOND)
    network.backends.clear()
    network.run(network.timeout)  # Those that wait already are served first.
    network.measure_from_now()
    offer(network, USUAL_RATE, SECOND)
    network.run(SECOND)
    assert network.in_time() >= 0.95
