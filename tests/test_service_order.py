"""Order of service at an endpoint with slots, against the policy before it."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random

import pytest
from attrs import evolve

from pimentodrift.service_order import admission, decisions, transactions
from pimentodrift.service_order.decisions import Group, Order, Waiting

from .order_support import KINDS, OrderNetwork, play
from .session_support import MILLISECOND, READ, SECOND, make_endpoint, make_harness

ZERO = timedelta(0)
USUAL = 0.9


def usual(network: OrderNetwork) -> None:
    network.offer(1.0, 4 * SECOND)


def burst(network: OrderNetwork) -> None:
    network.offer(1.7, 4 * SECOND)
    network.run(4 * SECOND)
    network.offer(USUAL, 2 * SECOND, seed=3)


def flood(network: OrderNetwork) -> None:
    network.offer(USUAL, 5 * SECOND, flood=7.5)


def all_return(network: OrderNetwork) -> None:
    random = Random(5)
    rates = [kind.rate for kind in KINDS.values()]
    for _ in range(500):
        kind = random.choices(list(KINDS), rates)[0]
        workspace = f"w{random.randrange(network.workspaces)}"
        network.send_at(random.uniform(0, 0.3), kind, workspace)
    network.offer(USUAL, 5 * SECOND)


def half_gone(network: OrderNetwork) -> None:
    network.offer(2.0, 5 * SECOND)


def one_priority(network: OrderNetwork) -> None:
    """The burst, with routes that all have the same priority."""
    network.kinds = {key: evolve(kind, priority=1) for key, kind in KINDS.items()}
    network.declare(2)
    network.run(SECOND)
    burst(network)


Load = Callable[[OrderNetwork], None]


@pytest.mark.parametrize(
    ("load", "gain", "saves", "others"),
    [
        (usual, 0.999, 1.0, 1.0),  # Less than one statement, for rounding.
        (burst, 1.15, 0.95, 0.7),
        (flood, 1.1, 0.97, 0.9),
        (all_return, 1.15, 0.93, 0.6),
        (half_gone, 1.15, 0.95, 0.45),
        (one_priority, 1.15, 0.95, 0.8),
    ],
)
def test_loads_against_policy_before(
    load: Load, gain: float, saves: float, others: float
) -> None:
    """Guards against a queue in which short objectives wait or someone is starved."""
    before = play("expected-wait", load, 1)
    after = play("deadline-order", load, 1)
    assert after.value >= gain * before.value
    assert after.share("saves") >= max(saves, before.share("saves"))
    assert all(after.share(name) >= others for name in KINDS)
    workspaces = [f"w{number}" for number in range(after.workspaces)]
    assert min(after.share(name) for name in workspaces[1:]) >= others
    assert after.share("w0") >= 0.4  # Also while it floods.
    if load is flood:
        assert min(after.share(name) for name in workspaces[1:]) >= 0.97
    assert after.opened < 0.5 * before.opened
    # Those who come back when they are told to are served; a few meet a new burst.
    served, refused = after.returns["served"], after.returns["refused"]
    assert refused <= 2 + 0.1 * served


def test_stalled_endpoint_is_not_waited_for() -> None:
    """Guards against statements that are held until the end of their budget."""
    network = OrderNetwork(Random(1), settings={"queue_policy": "deadline-order"})
    network.start()
    network.connection_limit = 0
    network.send_at(0, "saves", "w1")
    network.run(4 * SECOND)
    assert network.returns["refused"] >= 2


def test_reads_go_where_the_wait_is_short() -> None:
    """Guards against a refusal by one replica while another could be in time."""
    harness = make_harness()
    harness.state.settings = evolve(
        harness.state.settings, queue_policy="deadline-order"
    )
    for name in ("e2", "e3"):
        harness.register(name, make_endpoint())
    harness.holds_statements = True
    for _ in range(30):
        harness.send(harness.open_session(), READ)
    counts = Counter(row.endpoint for row in harness.state.operations.values())
    assert max(counts.values()) - min(counts[name] for name in ("e2", "e3")) <= 3


ITEM = Waiting(1, "w1", 1, SECOND, SECOND, 4 * SECOND, 10 * MILLISECOND)
ORDER = Order({}, ZERO, {})


@pytest.mark.parametrize(
    ("first", "second", "order"),
    [
        ({"priority": 0, "objective_left": 900 * MILLISECOND}, {}, ORDER),
        ({"objective_left": 500 * MILLISECOND}, {}, ORDER),
        ({}, {"objective_left": ZERO, "priority": 0}, ORDER),
        (
            {"workspace": "w2"},
            {"objective_left": 500 * MILLISECOND},
            Order({"w1": SECOND}, ZERO, {}),
        ),
        ({}, {"priority": 0}, Order({}, ZERO, {1: 70 * MILLISECOND})),
    ],
)
def test_order(
    first: dict[str, object], second: dict[str, object], order: Order
) -> None:
    """Guards against an order that leaves priority, deadline or fairness out."""
    items = evolve(ITEM, **first), evolve(ITEM, **second)  # type: ignore[arg-type]
    groups = [Group(item, item, 1) for item in reversed(items)]
    assert decisions.in_order(groups, order) == list(items)


def test_lower_priority_gets_an_eighth_of_the_time() -> None:
    """Guards against a lower priority that is starved by a higher one."""
    passed: dict[int, timedelta] = {}
    served = []
    for _ in range(80):
        items = [evolve(ITEM, priority=priority) for priority in (0, 1)]
        groups = [Group(item, item, 1) for item in items]
        best = decisions.in_order(groups, Order({}, ZERO, passed))[0]
        passed = decisions.passed_after(passed, best, {0, 1})
        served.append(best.priority)
    assert served.count(1) == 10


def test_refused_ones_come_back_one_after_the_other() -> None:
    """Guards against clients that return together and are refused again."""
    capacity = admission.Capacity(4)
    booked: dict[int, timedelta] = {}
    times = []
    for _ in range(3):
        after, booked = admission.book(ITEM, SECOND, booked, capacity, ZERO)
        times.append(after)
    gap = ITEM.cost / 4 / admission.BOOKED_FRACTION
    assert times == [SECOND, SECOND + gap, SECOND + 2 * gap]
    # A higher priority doesn't wait for them, but they wait for it.
    urgent = evolve(ITEM, priority=0)
    after, later = admission.book(urgent, 200 * MILLISECOND, booked, capacity, ZERO)
    assert after == 200 * MILLISECOND and later[1] == booked[1] + gap


@pytest.mark.parametrize(
    ("slots", "round_trip", "cost", "most"),
    [(4, 1, 15, 5), (4, 40, 54, 12), (4, 1, 1, 8), (0, 0, 10, 1)],
)
def test_statements_at_an_endpoint(
    slots: int, round_trip: int, cost: int, most: int
) -> None:
    """Guards against a queue that only moves to the database, and idle slots."""
    times = round_trip * MILLISECOND, cost * MILLISECOND
    assert decisions.max_running(slots, *times) == most


@pytest.mark.parametrize(("connections", "limit"), [(56, 42), (4, 3), (2, 1), (1, 1)])
def test_reserve_for_single_statements(connections: int, limit: int) -> None:
    """Guards against idle transactions that take every connection."""
    assert transactions.transaction_limit(connections) == limit
