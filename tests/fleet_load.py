"""Offers load of many workspaces to a fleet of session instances; records outcomes."""

from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from random import Random

from attrs import define, field

from pimentodrift import rates
from pimentodrift.notices import Admitted, Refused
from pimentodrift.route_configuration import DeclaredWorkspace, RouteConfiguration
from pimentodrift.tables import State

from .kind_network import KindNetwork
from .session_support import make_route

SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
STEP = timedelta(milliseconds=20)
REQUEST_TIME = timedelta(seconds=4)
SESSIONS = 25  # Of each workspace, each at an instance chosen at random.
DATA_CENTRES = 6
REGIONS = 3


@define
class Outcome:
    """A request of a workspace and how its wait for a token ended."""

    workspace: str
    asked_at: timedelta
    admitted_at: timedelta | None = None
    refused_at: timedelta | None = None


@define
class FleetLoad:
    """Sends requests of each workspace to the instances that have its sessions."""

    network: KindNetwork
    rate: float  # Of each workspace, requests/s; also its burst.
    workspaces: list[str]
    sessions: dict[str, list[str]]
    outcomes: list[Outcome] = field(factory=list)
    waiting: dict[tuple[str, int], Outcome] = field(factory=dict)
    credit: float = 0.0

    def request(self, workspace: str) -> None:
        """Send a request to the instance of one of the workspace's sessions."""
        name = self.network.random.choice(self.sessions[workspace])
        state = self.network.nodes[name].state
        outcome = Outcome(workspace, self.network.time)
        self.outcomes.append(outcome)
        if rates.take_token(workspace, state):
            outcome.admitted_at = self.network.time
            return
        number = state.new_number()
        self.waiting[name, number] = outcome
        deadline = state.clock.monotonic() + REQUEST_TIME
        rates.queue_for_token(workspace, number, deadline, state)
        self.network.process_outbox(name)

    def collect(self, message: object, state: State) -> None:
        """Record the end of a wait; takes the place of `rates.handle`."""
        if not isinstance(message, Admitted | Refused):
            return
        outcome = self.waiting.pop((state.settings.name, message.request))
        if isinstance(message, Admitted):
            outcome.admitted_at = self.network.time
            return
        outcome.refused_at = self.network.time

    def offer(self, part: float, duration: timedelta) -> None:
        """Send every workspace's requests at a part of its rate for a time."""
        choose = self.network.random.choice
        for _ in range(int(duration / STEP)):
            self.credit += part * self.rate * len(self.workspaces) * STEP / SECOND
            while self.credit >= 1:
                self.credit -= 1
                self.request(choose(self.workspaces))
            self.network.run(STEP)

    def worst_excess(self) -> float:
        """Return the most requests over burst + rate x window, over all windows."""
        worst = 0.0
        levels: dict[str, tuple[float, timedelta]] = {}
        rows = [row for row in self.outcomes if row.admitted_at is not None]
        for row in sorted(rows, key=lambda row: row.admitted_at or timedelta(0)):
            at = row.admitted_at or timedelta(0)
            level, last = levels.get(row.workspace, (0.0, at))
            level = max(0.0, level - self.rate * ((at - last) / SECOND)) + 1
            levels[row.workspace] = level, at
            worst = max(worst, level - self.rate)
        return worst

    def allocators(self) -> Counter[str]:
        """Return the number of workspaces by allocator."""
        found = [
            item.value
            for (kind, _), item in self.network.objects.items()
            if kind == "allocator"
        ]
        return Counter(str(value["holder"]) for value in found if value is not None)


def make_fleet_load(
    instances: int, workspaces: int, rate: float, stagger: Sequence[timedelta] = ()
) -> FleetLoad:
    """Start instances with workspaces; `stagger` has the pauses between the first."""
    names = [f"w{number}" for number in range(workspaces)]
    declared = tuple(
        DeclaredWorkspace(name, (f"key-{name}",), rate, rate) for name in names
    )
    network = KindNetwork(
        Random(1),
        settings={
            "allocator_lease": 2 * SECOND,
            "configuration_lease": 3.9 * SECOND,
            "heartbeat_interval": 0.5 * SECOND,
        },
    )
    network.configure(
        RouteConfiguration(1, (make_route(),), declared, {"g1": 24}, 3 * SECOND)
    )
    places = {
        f"i{number:02}": f"r{number % REGIONS}-{number % DATA_CENTRES}"
        for number in range(instances)
    }
    network.delay = lambda one, other: (
        MILLISECOND if places[one][:2] == places[other][:2] else 20 * MILLISECOND
    )
    for index, (name, place) in enumerate(places.items()):
        network.add(name, place)
        if index < len(stagger):
            network.run(stagger[index])
    choose = network.random.choices
    sessions = {name: choose(list(places), k=SESSIONS) for name in names}
    return FleetLoad(network, rate, names, sessions)
