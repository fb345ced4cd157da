"""Measures fairness: the worst-served workspace while another one floods the instances.

All eight workspaces send at 90% of the rate to which they are entitled, then one of
them at 500%. In the measure `rates`, each is entitled to its declared rate, and the
instance that is allocator of most workspaces is killed during the flood. In the measure
`slots`, each is entitled to its share of the capacity of one group's primary.
"""

from collections import Counter
from time import sleep, time
from typing import Any

from attrs import frozen

from . import bounds
from .bounds import Figure
from .measures_baselines import Queue, admitted_by_parts, admitted_centrally
from .measures_client import (
    BROKEN,
    NOT_SENT,
    OK,
    Phase,
    Plan,
    Record,
    Stream,
    client_processes,
    collect_records,
)
from .measures_processes import MeasureFailed
from .measures_system import LIST_UPDATE_DELAY_S, System

# The workspaces that the example files describe as large on some days.
FLOODING = {"kanitli": "bogazici-auctions", "heredia": "contract-registry"}
NORMAL_FACTOR = 0.9  # A workspace's request rate, as part of what it is entitled to.
FLOOD_FACTOR = 5.0  # The same for the flooding workspace, during the flood.
# Client processes of the flooding workspace, and as many of all others together.
PROCESSES = 2
START_DELAY_S = 2.0  # Enough time for the client processes to start.
SERVICE_MS = 15  # Service time that makes the slots of a primary the bottleneck.
NO_LIMIT = 100_000.0  # Requests/s.
CALIBRATION_S = 5.0
CALIBRATION_WARM_UP_S = 2.0
CALIBRATION_FACTOR = 2.0
QUEUE_DRAIN_S = 5.0  # Pause in which the queues empty after the calibration.
# Places of the baseline's queue: as many as the proxy has for one workspace.
QUEUE_PLACES = 256
SEED = 1


@frozen
class Times:
    """When the parts of a run begin, in seconds since its start."""

    steady: float
    flood: float
    kill: float
    end: float


RATE_TIMES = Times(steady=6, flood=16, kill=26, end=46)
QUICK_RATE_TIMES = Times(steady=4, flood=9, kill=14, end=22)
SLOT_TIMES = Times(steady=0, flood=4, kill=16, end=16)
QUICK_SLOT_TIMES = Times(steady=0, flood=3, kill=9, end=9)


@frozen
class WorkspaceResult:
    """The results of one workspace in a part of a run."""

    workspace: str
    offered: int  # Number of its requests.
    answered: int  # Number of requests that succeeded.
    p50: float  # Latency of the answered requests, in milliseconds.
    p99: float  # Latency of the answered requests, in milliseconds.

    @property
    def percent(self) -> float:
        """Return the percentage of the requests that were answered."""
        return 100 * self.answered / max(1, self.offered)

    def __str__(self) -> str:
        """Return a note for the results' table."""
        return f"{self.workspace}: {self.answered} of {self.offered} answered"


# --- Load


def make_plans(
    system: System, entitled_rates: dict[str, float], groups: list[str], times: Times
) -> list[Plan]:
    """Return the plans of the client processes.

    The first processes send for the normal workspaces, the others for the flooding one.
    """
    flooding = FLOODING[system.layout.deployment.name]
    streams: list[list[Stream]] = [[] for _ in range(2 * PROCESSES)]
    for index, (name, rate) in enumerate(entitled_rates.items()):
        normal = Phase(0, times.flood, NORMAL_FACTOR * rate)
        factor = FLOOD_FACTOR if name == flooding else NORMAL_FACTOR
        phases = [normal, Phase(times.flood, times.end, factor * rate)]
        home = index % len(system.proxies)
        key = system.keys[name]
        if name != flooding:
            streams[index % PROCESSES].append(Stream(name, key, groups, home, phases))
            continue
        for process in streams[PROCESSES:]:
            parts = [
                Phase(phase.begin, phase.end, phase.rate / PROCESSES)
                for phase in phases
            ]
            process.append(Stream(name, key, groups, home, parts))
    start_at = time() + START_DELAY_S
    return [
        Plan(start_at, system.proxies, some, SEED + number)
        for number, some in enumerate(streams)
    ]


def arrivals_between(records: list[Record], begin: float, end: float) -> list[Record]:
    """Return the records of requests that were due between two times of a run."""
    return [record for record in records if begin <= record.at < end]


def results_by_workspace(records: list[Record]) -> list[WorkspaceResult]:
    """Return the result of each workspace, the worst-served one first."""
    rows = []
    for name in sorted({record.workspace for record in records}):
        own = [record for record in records if record.workspace == name]
        times = sorted(record.latency_ms for record in own if record.end == OK)
        rows.append(
            WorkspaceResult(
                name, len(own), len(times), percentile(times, 50), percentile(times, 99)
            )
        )
    return sorted(rows, key=lambda row: (row.percent, -row.p99))


def percentile(ordered: list[float], percent: float) -> float:
    """Return a percentile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def check_all_sent(records: list[Record]) -> None:
    """Raise MeasureFailed if client processes reached their limit of requests."""
    not_sent = sum(record.end == NOT_SENT for record in records)
    if not_sent:
        raise MeasureFailed(f"the clients did not send {not_sent} requests")


# --- Rates


def measure_rates(system: System, quick: bool) -> list[Figure]:
    """Return the figures of the run in which rates are the limit."""
    times = QUICK_RATE_TIMES if quick else RATE_TIMES
    system.publish_and_wait(lambda name, value: None)
    rates = {name: value["rate"] for name, value in system.workspaces().items()}
    planned = make_plans(system, rates, system.groups, times)
    with client_processes(planned) as processes:
        sleep(max(0, planned[0].start_at + times.kill - time()))
        killed, allocated = busiest_allocator(system, set(rates))
        system.kill_instance(killed)
        sleep(LIST_UPDATE_DELAY_S)
        system.mark_leaving(killed)
        records = collect_records(processes)
    check_all_sent(records)
    return rate_figures(system, records, times, allocated)


def busiest_allocator(system: System, names: set[str]) -> tuple[str, set[str]]:
    """Return the instance that is allocator of most workspaces, and their names."""
    holders = {name: system.read_object("allocator", name)["holder"] for name in names}
    ((instance, _),) = Counter(holders.values()).most_common(1)
    return instance, {name for name, holder in holders.items() if holder == instance}


def rate_figures(
    system: System, records: list[Record], times: Times, allocated: set[str]
) -> list[Figure]:
    """Return the figures of the records of a run.

    `allocated` has the workspaces whose allocator was killed.
    """
    flooding = FLOODING[system.layout.deployment.name]
    inside = arrivals_inside_rate(system, records)
    others = [record for record in inside if record.workspace != flooding]
    steady = arrivals_between(inside, times.steady, times.flood)
    kill_records = [
        record
        for record in arrivals_between(others, times.kill, times.end)
        if record.workspace in allocated
    ]
    in_flood = arrivals_between(others, times.flood, times.kill)
    flood = results_by_workspace(in_flood)
    worst = flood[0]
    flood_refused = [record for record in in_flood if record.is_refused]
    steady_refused = [record for record in steady if record.is_refused]
    kill_refused = [record for record in kill_records if record.is_refused]
    broken = sum(record.end == BROKEN for record in kill_records)
    return [
        Figure(
            "refused inside the rate, steady load",
            len(steady_refused),
            "",
            bounds.STEADY_REFUSALS,
            f"of {len(steady)}; {describe_ends(steady_refused)}",
        ),
        Figure(
            "worst-served part in a five-fold flood, rate",
            worst.percent,
            "%",
            bounds.WORST_SERVED,
            str(worst),
            {"served": [str(row) for row in flood]},
        ),
        Figure("worst-served p50, rate", worst.p50, "ms", note=f"p99 {worst.p99:.1f}"),
        Figure(
            "refused inside the rate, flood of another workspace",
            len(flood_refused),
            "",
            note=f"of {len(in_flood)}; {describe_ends(flood_refused)}",
        ),
        Figure(
            "refused inside the rate, allocator's death",
            100 * len(kill_refused) / max(1, len(kill_records)),
            "%",
            bounds.ALLOCATOR_KILL_REFUSALS,
            f"{len(kill_refused)} of {len(kill_records)}, {broken} connections broken; "
            f"{len(allocated)} workspaces; {describe_ends(kill_refused)}",
        ),
        flooding_rate_figure(system, records, flooding, times),
        static_rate_figure(
            system, arrivals_between(records, 0, times.flood), times.steady
        ),
    ]


def describe_ends(records: list[Record]) -> str:
    """Return a text with the most frequent ends of requests, by workspace."""
    counts = Counter((record.workspace, record.end) for record in records)
    return ", ".join(f"{name} {end}: {n}" for (name, end), n in counts.most_common(4))


def arrivals_inside_rate(system: System, records: list[Record]) -> list[Record]:
    """Return the records of requests that one central bucket would have admitted."""
    kept = []
    for name, value in system.workspaces().items():
        own = [record for record in records if record.workspace == name]
        times = [record.at for record in own]
        admitted = admitted_centrally(times, value["rate"], value["burst"])
        kept += [row for row, is_in in zip(own, admitted, strict=True) if is_in]
    return kept


def flooding_rate_figure(
    system: System, records: list[Record], flooding: str, times: Times
) -> Figure:
    """Return the flooding workspace's answers in percent of what its rate admits."""
    value = system.workspaces()[flooding]
    answered = sum(
        record.workspace == flooding and record.end == OK for record in records
    )
    longest = max(record.at + record.latency_ms / 1000 for record in records)
    allowed = value["burst"] + value["rate"] * max(times.end, longest)
    return Figure(
        "flooding workspace: part of its rate and burst",
        100 * answered / allowed,
        "%",
        bounds.OVER_RATE,
        f"{flooding}: {answered} answered, {allowed:.0f} allowed",
    )


def static_rate_figure(system: System, records: list[Record], begin: float) -> Figure:
    """Return the percentage of requests that a fixed part per instance would refuse."""
    refused = total = 0
    for name, value in system.workspaces().items():
        own = [record for record in records if record.workspace == name]
        arrivals = [(record.at, record.proxy) for record in own]
        admitted = admitted_by_parts(
            arrivals, value["rate"], value["burst"], len(system.proxies)
        )
        counted = [
            is_in for row, is_in in zip(own, admitted, strict=True) if row.at >= begin
        ]
        total += len(counted)
        refused += counted.count(False)
    return Figure(
        "baseline, static 1/N rates: refused in steady load",
        100 * refused / max(1, total),
        "%",
        note=f"arithmetic on the recorded arrivals: {refused} of {total}",
    )


# --- Slots


def measure_slots(system: System, quick: bool) -> list[Figure]:
    """Return the figures of the run in which the slots of one group are the limit."""
    times = QUICK_SLOT_TIMES if quick else SLOT_TIMES
    system.publish_and_wait(lift_rate_limit)
    system.set_service_time(SERVICE_MS)
    group = system.groups[0]
    capacity = measure_capacity(system, group)
    sleep(QUEUE_DRAIN_S)
    shares = {name: value["share"] for name, value in system.workspaces().items()}
    total = sum(shares.values())
    entitled_rates = {name: capacity * share / total for name, share in shares.items()}
    with client_processes(
        make_plans(system, entitled_rates, [group], times)
    ) as processes:
        records = collect_records(processes)
    check_all_sent(records)
    return slot_figures(
        system, arrivals_between(records, times.flood, times.end), capacity
    )


def lift_rate_limit(name: str, value: dict[str, Any]) -> None:
    """Give a workspace a rate and a burst above what the measurement sends."""
    value["rate"] = value["burst"] = NO_LIMIT


def measure_capacity(system: System, group: str) -> float:
    """Return how many reads/s of one workspace the primary of a group answers.

    Raises MeasureFailed if it answers none.
    """
    name = FLOODING[system.layout.deployment.name]
    nominal = system.layout.deployment.slots * 1000 / SERVICE_MS
    phases = [Phase(0, CALIBRATION_S, CALIBRATION_FACTOR * nominal)]
    # Home -1 is no instance, so that the requests are spread evenly.
    stream = Stream(name, system.keys[name], [group], -1, phases)
    plan = Plan(time() + START_DELAY_S, system.proxies, [stream], SEED)
    with client_processes([plan]) as processes:
        records = collect_records(processes)
    ended = [
        record.at + record.latency_ms / 1000 for record in records if record.end == OK
    ]
    counted = sum(CALIBRATION_WARM_UP_S <= at < CALIBRATION_S for at in ended)
    if not counted:
        raise MeasureFailed(f"{group} answered nothing")
    return counted / (CALIBRATION_S - CALIBRATION_WARM_UP_S)


def slot_figures(
    system: System, records: list[Record], capacity: float
) -> list[Figure]:
    """Return the figures of the flood, and those of a queue for all workspaces."""
    flooding = FLOODING[system.layout.deployment.name]
    rows = [row for row in results_by_workspace(records) if row.workspace != flooding]
    worst = rows[0]
    flooder = next(
        row for row in results_by_workspace(records) if row.workspace == flooding
    )
    refused = [
        record
        for record in records
        if record.is_refused and record.workspace != flooding
    ]
    baseline = simulate_fifo(system, records, capacity)
    return [
        Figure(
            "worst-served part in a five-fold flood, slots",
            worst.percent,
            "%",
            bounds.WORST_SERVED,
            f"{worst}; capacity {capacity:.0f}/s; flooding {flooder}",
            {"served": [str(row) for row in rows]},
        ),
        Figure(
            "worst-served p50, slots",
            worst.p50,
            "ms",
            note=f"p99 {worst.p99:.1f}; highest p99 {max(row.p99 for row in rows):.1f}",
        ),
        Figure(
            "refused within the share, slots",
            len(refused),
            "",
            note=describe_ends(refused),
        ),
        Figure(
            "baseline, first come first served: worst-served part",
            baseline.percent,
            "%",
            note=f"simulated on the recorded arrivals, {QUEUE_PLACES} places, "
            f"p50 {baseline.p50:.0f} ms, p99 {baseline.p99:.0f} ms",
        ),
    ]


def simulate_fifo(
    system: System, records: list[Record], capacity: float
) -> WorkspaceResult:
    """Return the worst-served workspace if one queue served all in order of arrival."""
    slots = system.layout.deployment.slots
    queue = Queue(slots, slots / capacity, QUEUE_PLACES)
    latencies = queue.simulate([record.at for record in records])
    simulated = [
        Record(
            record.workspace,
            record.at,
            record.proxy,
            "queue full" if latency is None else OK,
            0 if latency is None else latency * 1000,
        )
        for record, latency in zip(records, latencies, strict=True)
    ]
    flooding = FLOODING[system.layout.deployment.name]
    return next(
        row for row in results_by_workspace(simulated) if row.workspace != flooding
    )
