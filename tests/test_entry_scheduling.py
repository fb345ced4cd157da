"""The queue of an endpoint: fairness and bounds."""

from collections import Counter
from datetime import timedelta

import pytest

from pimentodrift import scheduling
from pimentodrift.messages import Access, Action, Forward, Position, Statement
from pimentodrift.tables import EndpointQueue, State, WorkRow, WorkspaceRow

from .entry_support import KEYS, make_cluster
from .support import make_state

NOW = timedelta(0)


def add_work(
    queue: EndpointQueue, workspace: str, access: Access, state: State
) -> None:
    """Queue work of a workspace."""
    forward = Forward(
        request=state.number(),
        endpoint=queue.endpoint,
        workspace=workspace,
        key_id="",
        action=Action.STATEMENT,
        access=access,
        statement=Statement(""),
        minimum=Position(0, 0),
        term=1,
        remaining_ms=1000,
    )
    work = WorkRow(state.number(), "a", forward, NOW, NOW)
    state.works[work.work] = work
    scheduling.enqueue(queue, work, state)


@pytest.mark.parametrize(
    ("shares", "costs"),
    [
        ({"small": 1.0, "large": 1.0}, {"small": 0.01, "large": 0.01}),
        ({"small": 1.0, "large": 3.0}, {"small": 0.01, "large": 0.01}),
        ({"small": 1.0, "large": 1.0}, {"small": 0.001, "large": 0.1}),
        ({"small": 0.5, "large": 8.0}, {"small": 0.2, "large": 0.005}),
    ],
)
def test_slot_time_follows_the_shares(
    shares: dict[str, float], costs: dict[str, float]
) -> None:
    """Guards against a flooding workspace that takes the time of another."""
    state = make_state()
    queue = EndpointQueue("p")
    for name, share in shares.items():
        state.configuration.workspaces[name] = WorkspaceRow(name, 1, 1, share)
        state.costs[(name, Access.READ)] = costs[name]
        for _ in range(20 if name == "small" else 40):
            add_work(queue, name, Access.READ, state)
    used: Counter[str] = Counter()
    longest = max(cost / shares[name] for name, cost in costs.items())
    for _ in range(5000):
        work = scheduling.take(queue, lambda work: True, state)
        assert work is not None
        name = work.forward.workspace
        used[name] += costs[name]  # type: ignore[assignment]
        add_work(queue, name, Access.READ, state)
        served = [used[other] / shares[other] for other in shares]
        assert abs(served[0] - served[1]) <= 2 * longest + 1e-6


def test_a_workspace_pays_for_statements_longer_than_its_average() -> None:
    """Guards against rare long statements that are charged as short ones."""
    state = make_state()
    queue = EndpointQueue("p")
    used: Counter[str] = Counter()
    for name in ("long", "short"):
        for _ in range(40):
            add_work(queue, name, Access.READ, state)
    for count in range(2000):
        work = scheduling.take(queue, lambda work: True, state)
        assert work is not None
        name = work.forward.workspace
        seconds = 0.2 if name == "long" and count % 7 == 0 else 0.005
        used[name] += seconds  # type: ignore[assignment]
        scheduling.charge(queue, work, seconds, state)
        add_work(queue, name, Access.READ, state)
    assert abs(used["long"] - used["short"]) <= 0.5


def test_bounds_of_slots_connections_and_queue() -> None:
    """Guards against overload of an endpoint and against queues without end."""
    cluster = make_cluster("a")
    primary = cluster.endpoints["p"]
    primary.frozen = True
    requests = [cluster.statement("get x") for _ in range(300)]
    refused = [request for request in requests if request in cluster.answers]
    assert len(refused) == 300 - 256
    result = cluster.result(refused[0])
    assert result["type"].endswith("queue-full")
    assert int(result["headers"]["Retry-After"]) >= 1
    other = cluster.statement("get x", key=KEYS["beta"])
    assert other not in cluster.answers
    assert len(primary.opening) == 3
    primary.frozen = False
    cluster.thaw("p")
    assert {cluster.answers[request].status for request in requests} == {200, 503}
    assert cluster.answers[other].status == 200


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once() -> None:
    """Guards against refusals that are held back until the deadline."""
    cluster = make_cluster("a")
    state = cluster.states["a"]
    state.costs[("alpha", Access.WRITE)] = 4.0
    cluster.endpoints["p"].frozen = True
    requests = [cluster.statement("put x 1", "write") for _ in range(12)]
    refused = [request for request in requests if request in cluster.answers]
    assert refused
    assert cluster.result(refused[0])["outcome"] == "not_run"
    cluster.advance(timedelta(seconds=11))
    assert all(request in cluster.answers for request in requests)
    assert not state.works
