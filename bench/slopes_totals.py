"""Extrapolates the costs that `bench.slopes` measures to the target scale.

Each line of the result is a rate, or a number of rows, times a measured cost. The
constants below state the targets and, where they are silent, assumptions;
docs/slopes.md discusses them.
"""

import resource
import subprocess
import sys

from attrs import frozen

from pimentodrift.probes import MAX_EXAMINED_GROUPS

from . import slopes_wire
from .slopes_measure import Row

INSTANCES = 5800
DATABASES = 6900
GROUPS = 2300
REGIONS = 8
DATA_CENTRES = 16
RELAYS_PER_DATA_CENTRE = 2
CONNECTIONS = 22_000_000 / INSTANCES
STATEMENTS_PER_S = 12e6 / INSTANCES
DAY_S = 86_400
CONFIGURATION_CHANGES_PER_S = 8500 / DAY_S
# A replaced instance changes its object three times: it is marked as leaving, removed
# and added again.
INSTANCE_CHANGES_PER_S = 3 * (3800 + 49) / DAY_S
TICKS_PER_S = 50
PINGS_PER_S = 5
WATCHED_REFRESHES_PER_S = 5
REPORTS_PER_S = 2
SUBSCRIBES_PER_S = 2
BALANCES_PER_S = 10

# Assumptions.
WORKSPACES = GROUPS  # One workspace for each group, with two keys.
PIECES = 100  # Services whose pieces are in one manifest.
PEERS = 8  # Peers of an instance; all instances of its region would be 725.
ACTIVE_WORKSPACES = 8  # Workspaces whose requests reach one instance at a time.
# Instances that hold a share of one workspace.
HOLDERS = INSTANCES * ACTIVE_WORKSPACES / WORKSPACES
ALLOCATED = WORKSPACES / INSTANCES  # Workspaces whose allocator is one instance.

CPU_BUDGET_US_PER_S = 10_000  # 1% of a core.
MEMORY_BUDGET_MB = 128
WIRE_BUDGET_B_PER_S = 7000
MB = 1e6


@frozen
class Line:
    """One line of a total: a number, in all or per second, times a cost."""

    name: str
    count: float
    cost: float  # In microseconds or bytes.

    @property
    def total(self) -> float:
        """Return the product of number and cost."""
        return self.count * self.cost


@frozen
class Costs:
    """Finds measured costs by the names of their rows."""

    rows: list[Row]

    def find(self, name: str, size_of: str = "") -> Row:
        """Return the row with a name and, if given, with the size that it varies."""
        return next(
            row
            for row in self.rows
            if row.name == name and size_of in ("", row.size_of)
        )

    def slope(self, name: str, size_of: str = "") -> float:
        """Return a row's cost per unit of size."""
        return self.find(name, size_of).slope()

    def largest(self, name: str, size_of: str = "") -> float:
        """Return a row's cost at the largest size, which is the target's."""
        return self.find(name, size_of).costs[-1]

    def smallest(self, name: str, size_of: str = "") -> float:
        """Return a row's cost at the smallest size."""
        return self.find(name, size_of).costs[0]


def cpu_lines(costs: Costs) -> list[Line]:
    """Return an instance's CPU time for control in a second, in microseconds."""
    peer = costs.slope("heartbeats, per round")
    report = costs.largest("share report answered")
    change = "configuration change, 2,300 workspaces"
    return [
        Line("ticks with few rows", TICKS_PER_S, costs.smallest("tick, all systems")),
        Line("relay chosen each tick", TICKS_PER_S, costs.largest("choice of a relay")),
        Line(
            "owner looked up, each database of the region",
            WATCHED_REFRESHES_PER_S * DATABASES / REGIONS,
            costs.largest("owner of an endpoint"),
        ),
        Line(
            "watchers looked up, some groups in turn",
            WATCHED_REFRESHES_PER_S * MAX_EXAMINED_GROUPS,
            costs.largest("watchers of a group"),
        ),
        Line(
            "allocation walks workspaces",
            TICKS_PER_S * WORKSPACES,
            costs.slope("tick of allocation", "workspaces"),
        ),
        Line(
            "rates walks workspaces",
            TICKS_PER_S * WORKSPACES,
            costs.slope("tick of rates", "workspaces"),
        ),
        Line("heartbeats sent", PINGS_PER_S * PEERS, peer),
        Line(
            "heartbeats answered", PINGS_PER_S * PEERS, costs.largest("Ping answered")
        ),
        Line(
            "shares held and reported",
            ACTIVE_WORKSPACES,
            costs.slope("second of shares held"),
        ),
        Line("share reports answered", REPORTS_PER_S * ALLOCATED * HOLDERS, report),
        Line(
            "ledgers balanced",
            BALANCES_PER_S * ALLOCATED * HOLDERS,
            costs.slope("ledger balanced"),
        ),
        Line(
            "instances changed",
            INSTANCE_CHANGES_PER_S,
            costs.largest("instance object applied"),
        ),
        Line(
            "configuration changed", CONFIGURATION_CHANGES_PER_S, costs.largest(change)
        ),
    ]


def relay_lines(costs: Costs) -> list[Line]:
    """Return the additional CPU time of a relay in a second, in microseconds."""
    subscribers = INSTANCES / DATA_CENTRES / RELAYS_PER_DATA_CENTRE
    changes = INSTANCE_CHANGES_PER_S + 2 * CONFIGURATION_CHANGES_PER_S
    return [
        Line(
            "Subscribe answered",
            SUBSCRIBES_PER_S * subscribers,
            costs.largest("Subscribe, up to date"),
        ),
        Line(
            "changes pushed", changes * subscribers, costs.slope("push of one object")
        ),
    ]


def base_memory() -> int:
    """Return the resident bytes of a process that has imported the package."""
    code = "import pimentodrift.process; print(open('/proc/self/statm').read())"
    command = [sys.executable, "-c", code]
    found = subprocess.run(command, capture_output=True, check=True, text=True)
    return int(found.stdout.split()[1]) * resource.getpagesize()


def memory_lines(costs: Costs) -> list[Line]:
    """Return the memory of an instance, in bytes."""
    return [
        Line("instances", INSTANCES, costs.slope("instance: object and row")),
        Line("databases", DATABASES, costs.slope("database: objects and rows")),
        Line("workspaces", WORKSPACES, costs.slope("workspace, two keys")),
        Line("shares held", ACTIVE_WORKSPACES, costs.slope("share held, idle")),
        Line(
            "shares allocated",
            ALLOCATED * HOLDERS,
            costs.slope("share allocated to a holder"),
        ),
        Line("peers", PEERS, costs.slope("peer with heartbeats")),
        Line("interpreter and modules", 1, base_memory()),
        Line("caller connections", CONNECTIONS, costs.slope("caller connection, idle")),
    ]


def wire_lines() -> list[Line]:
    """Return the bytes that an instance sends and receives in a second."""
    sizes = {
        name: slopes_wire.wire_size(message)
        for name, message in slopes_wire.control_messages().items()
    }
    renewal = sizes["ShareReport"] + sizes["ShareRenew"]
    subscription = sizes["Subscribe"] + sizes["ViewUpdate, empty"]
    changed_instance = slopes_wire.wire_size(slopes_wire.instances_update(1))
    workspaces = round(WORKSPACES / PIECES)
    publication = slopes_wire.wire_size(slopes_wire.piece_update(workspaces))
    publication += slopes_wire.wire_size(slopes_wire.manifest_update(PIECES))
    heartbeat = sizes["Ping"] + sizes["Pong, 1 sample"]
    return [
        Line("heartbeats to peers", PINGS_PER_S * PEERS, heartbeat),
        Line("heartbeats of peers", PINGS_PER_S * PEERS, heartbeat),
        Line("shares reported and renewed", REPORTS_PER_S * ACTIVE_WORKSPACES, renewal),
        Line("shares of other holders", REPORTS_PER_S * ALLOCATED * HOLDERS, renewal),
        Line("subscription", SUBSCRIBES_PER_S, subscription),
        Line("instances changed", INSTANCE_CHANGES_PER_S, changed_instance),
        Line("configuration changed", CONFIGURATION_CHANGES_PER_S, publication),
    ]


def print_lines(
    title: str, unit: str, lines: list[Line], scale: float, budget: float
) -> None:
    """Print a table of the lines with their sum and its budget.

    `unit` is the unit of the printed totals, which are divided by `scale`.
    """
    print(f"\n#### {title}\n\n| part | count | x cost | = {unit} |\n|---|---|---|---|")
    for line in lines:
        counted = f"{line.count:,.2f} | {line.cost:,.2f}"
        print(f"| {line.name} | {counted} | {line.total / scale:,.3f} |")
    total = sum(line.total for line in lines) / scale
    print(f"| sum (budget {budget:g}) | | | {total:,.3f} |", flush=True)


def print_totals(rows: list[Row]) -> None:
    """Print the totals of CPU time, memory and bytes at the target scale."""
    costs = Costs(rows)
    percent = CPU_BUDGET_US_PER_S
    print_lines("CPU, control", "% of a core", cpu_lines(costs), percent, 1)
    print_lines("CPU, relays besides", "% of a core", relay_lines(costs), percent, 1)
    print_lines("memory", "MB", memory_lines(costs), MB, MEMORY_BUDGET_MB)
    print_lines("wire", "B/s", wire_lines(), 1, WIRE_BUDGET_B_PER_S)
