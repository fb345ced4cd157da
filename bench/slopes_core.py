"""CPU time of the core's systems and memory of its tables, for `bench.slopes`.

Each row of results varies one size and keeps the others small, so that a table which is
scanned at each call or tick shows as a cost that grows with the table's size.
"""

from collections.abc import Callable
from datetime import timedelta
from time import process_time

from pimentodrift import configuration, core, membership, rates
from pimentodrift.allocator_claims import start_allocation
from pimentodrift.dispatch import handle_peer
from pimentodrift.messages import StoreObject
from pimentodrift.peer_messages import Epoch, ShareReport
from pimentodrift.rate_rows import ClaimRow
from pimentodrift.tables import State, SubscriberRow

from . import slopes_states as states
from .slopes_measure import MICROSECOND, Row, measure_allocation, sweep

INSTANCES = (100, 1000, 5800)
DATABASES = (99, 999, 6900)
WORKSPACES = (23, 230, 2300)
PEERS = (10, 100, 1000)
SUBSCRIBERS = (8, 64, 512)
HOLDERS = (8, 64, 512)
KEYS_PER_WORKSPACE = 2
FEW_DATABASES = 30
FEW_INSTANCES = 24
TICKS = 12  # Least number of counted ticks; the first tick of a state is not counted.
TICK_S = core.TICK.total_seconds()
# Some systems do their work only once in several ticks, so that the average is taken
# over a second, if its ticks cost less than MAX_TICK_CPU_S.
TICKS_PER_SECOND = 50
MAX_TICK_CPU_S = 2.0


def advance_clock(state: State, step: timedelta = core.TICK) -> None:
    """Advance a state's clock and mark its view as confirmed at the new time."""
    clock = state.clock
    assert isinstance(clock, states.ManualClock)
    clock.time += step
    state.view.confirmed_at = clock.time


def tick_costs(state: State) -> dict[str, float]:
    """Return the CPU time of each system in microseconds per tick.

    Messages that systems send are dropped; heartbeats count as answered.
    """
    costs = dict.fromkeys((system_name(system) for system in core.SYSTEMS), 0.0)
    run_systems(state, {})
    ticks, total = 0, 0.0
    while ticks < TICKS_PER_SECOND and (ticks < TICKS or total < MAX_TICK_CPU_S * 1e6):
        run_systems(state, costs)
        ticks += 1
        total = sum(costs.values())
    return {name: cost / ticks for name, cost in costs.items()}


def system_name(system: Callable[[State], None]) -> str:
    """Return the name of a system's module, without the package."""
    return system.__module__.rpartition(".")[2]


def run_systems(state: State, costs: dict[str, float]) -> None:
    """Run a tick and add the CPU time of each system, in microseconds, to `costs`."""
    advance_clock(state)
    for system in core.SYSTEMS:
        began = process_time()
        system(state)
        cost = (process_time() - began) / MICROSECOND
        costs[system_name(system)] = costs.get(system_name(system), 0.0) + cost
    state.outbox.clear()
    state.events.clear()
    for contact in state.contacts.values():
        contact.unanswered = 0


def tick_rows(
    size_of: str, sizes: tuple[int, ...], make: Callable[[int], State]
) -> list[Row]:
    """Return a row for the tick of each system, and one for all, at several sizes."""
    results = [tick_costs(make(size)) for size in sizes]
    rows = [
        Row(
            f"tick of {name}",
            "us",
            size_of,
            sizes,
            tuple(result[name] for result in results),
            expected="flat",
        )
        for name in results[0]
    ]
    total = tuple(sum(result.values()) for result in results)
    return [*rows, Row("tick, all systems", "us", size_of, sizes, total, "flat")]


def system_rows() -> list[Row]:
    """Return the ticks' costs by number of instances, databases and workspaces."""
    return [
        *tick_rows(
            "instances",
            INSTANCES,
            lambda size: states.make_filled_state(size, FEW_DATABASES),
        ),
        *tick_rows(
            "databases",
            DATABASES,
            lambda size: states.make_filled_state(FEW_INSTANCES, size),
        ),
        *tick_rows(
            "workspaces",
            WORKSPACES,
            lambda size: states.make_filled_state(FEW_INSTANCES, 3, size),
        ),
    ]


# --- Memory


def memory_rows() -> list[Row]:
    """Return the bytes of tables and objects, by the number of their rows."""
    return [
        sweep("instance: object and row", "instances", INSTANCES, instances_size, "B"),
        sweep(
            "database: objects and rows", "databases", DATABASES, databases_size, "B"
        ),
        sweep("workspace, two keys", "workspaces", WORKSPACES, workspaces_size, "B"),
        sweep("key", "keys", (1000, 5000, 20_000), keys_size, "B"),
        sweep("share held, idle", "workspaces", WORKSPACES, shares_size, "B"),
        sweep("share allocated to a holder", "holders", HOLDERS, holdings_size, "B"),
        sweep("peer with heartbeats", "peers", PEERS, contacts_size, "B"),
        sweep(
            "subscriber of a relay", "subscribers", SUBSCRIBERS, subscribers_size, "B"
        ),
    ]


def instances_size(size: int) -> int:
    """Return the bytes of a state with some instances."""
    return measure_allocation(lambda: states.make_filled_state(size, 0))[1]


def databases_size(size: int) -> int:
    """Return the bytes of a state with some databases."""
    return measure_allocation(lambda: states.make_filled_state(2, size))[1]


def workspaces_size(size: int) -> int:
    """Return the bytes of a state with some workspaces."""
    return measure_allocation(lambda: states.make_filled_state(2, 3, size))[1]


def keys_size(size: int) -> int:
    """Return the bytes of the configuration of a workspace with some keys.

    The piece that declares the workspace does not count.
    """
    declared = states.workspace_value(0) | {"keys": [f"{n:064x}" for n in range(size)]}
    part = {"workspaces": {"workspace-0": declared}}
    return measure_allocation(lambda: configuration.build("p", 1, [part]))[1]


def shares_size(size: int) -> int:
    """Return the bytes of the shares of some workspaces."""
    state = states.make_empty_state()

    def make() -> None:
        for index in range(size):
            rates.get_or_create_share(f"workspace-{index}", state)

    return measure_allocation(make)[1]


def holdings_size(size: int) -> int:
    """Return the bytes of an allocation to some holders."""
    state = make_allocator(size)

    def make() -> None:
        for index in range(size):
            report_share(state, index)
        state.outbox.clear()

    return measure_allocation(make)[1]


def contacts_size(size: int) -> int:
    """Return the bytes of the heartbeat rows of some peers."""
    state = states.make_filled_state(size, 0)

    def make() -> None:
        for index in range(size):
            membership.track_contact(f"instance-{index}", state)

    return measure_allocation(make)[1]


def subscribers_size(size: int) -> int:
    """Return the bytes of a relay's rows of some subscribers."""
    state = states.make_filled_state(8, 0)

    def make() -> None:
        for index in range(size):
            add_subscriber(state, index)

    return measure_allocation(make)[1]


def add_subscriber(state: State, index: int) -> None:
    """Add a subscriber with the current time as its last contact."""
    name = f"instance-{index}"
    now = state.clock.monotonic()
    state.view.subscribers[name] = SubscriberRow(name, state.view.version, 1, now)


def make_allocator(holders: int) -> State:
    """Return the state of an instance that is the allocator of one workspace."""
    state = states.make_filled_state(holders, 3, 1)
    epoch = Epoch(1, states.OWN_NAME)
    value = {"epoch": 1, "holder": states.OWN_NAME}
    item = StoreObject("allocator", "workspace-0", state.view.version + 1, value)
    states.receive_objects(state, [item])
    start_allocation(ClaimRow("workspace-0", epoch, "", state.clock.monotonic()), state)
    state.outbox.clear()
    return state


def report_share(state: State, index: int, rate: float = 0.0) -> None:
    """Let an allocator handle a share report of one holder."""
    epoch = state.allocations["workspace-0"].epoch
    message = ShareReport("workspace-0", epoch, rate, rate, 0.0, 5.0, 0.0, 1)
    handle_peer(message, f"instance-{index}", state)
