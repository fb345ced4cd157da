"""Measures the cost of the instances: latency of a hop, and statements per core.

The databases' service time is 0, so that they add as little latency as possible. A read
that is sent to the owner of the endpoint passes through one instance, a read that is
sent to another instance of the region passes through two; a direct read through none.
"""

import subprocess
import sys
from statistics import median
from time import perf_counter, sleep, time
from typing import Any

import orjson
import psycopg
from attrs import asdict

from pimentodrift.database_group import status_statement

from . import bounds
from .bounds import Figure
from .measures_fairness import percentile
from .measures_processes import MeasureFailed
from .measures_system import System
from .measures_wire import STATEMENT, HttpCaller, Plan

READS = 1000
QUICK_READS = 200
WARM_UP_READS = 50
# Batches of direct and proxied reads alternate, so that all meet the same load of the
# machine.
BATCH_READS = 50
OWNER_ATTEMPTS = 10
OWNER_COUNTER = "queueing.arrived"
NO_LIMIT = 100_000.0  # Requests/s.
CONNECTIONS = (20, 1000, 3800)
MAX_IN_FLIGHT = 64  # Requests in flight over all connections.
PROCESSES = 4  # Client processes, each with an equal part of the connections.
CONNECT_PERIOD_S = 5.0  # From the start until requests begin.
RAMP_UP_S = 2.0  # From the first request until answers are counted.
COUNTED_S = 8.0
QUICK_COUNTED_S = 3.0


def lift_rate_limit(name: str, value: dict[str, Any]) -> None:
    """Give a workspace a rate and a burst above what the measurement sends."""
    value["rate"] = value["burst"] = NO_LIMIT


# --- Hops


def measure_hops(system: System, quick: bool) -> list[Figure]:
    """Return the figures of idle reads, directly and through one or two instances."""
    system.publish_and_wait(lift_rate_limit)
    system.set_service_time(0)
    group = system.groups[0]
    primary = system.database(system.primary(group))
    key = next(iter(system.keys.values()))
    local_instances = [
        row for row in system.layout.instances if row.region == primary.region
    ]
    callers = {row.name: HttpCaller(row.url, key, group) for row in local_instances}
    owner = find_owner(system, callers)
    other = next(name for name in callers if name != owner)
    host, _, port = primary.address.rpartition(":")
    with psycopg.connect(
        host=host, port=int(port), user="bench", dbname="bench", autocommit=True
    ) as connection:
        reads = {
            "direct": lambda: direct_read(connection),
            "with status": lambda: read_with_status(connection),
            "owner": callers[owner].read,
            "other": callers[other].read,
        }
        times = measure_alternately(reads, QUICK_READS if quick else READS)
    for caller in callers.values():
        caller.close()
    return hop_figures(times)


def find_owner(system: System, callers: dict[str, HttpCaller]) -> str:
    """Return the instance that owns the endpoint which all callers' reads reach.

    Several attempts are needed, since an instance that the others suspected during the
    start gets its endpoints back only later. Raises MeasureFailed if all attempts fail.
    """
    for _ in range(OWNER_ATTEMPTS):
        owner = single_owner(system, callers)
        if owner is not None:
            return owner
        sleep(1)
    raise MeasureFailed("the reads have no single owner")


def single_owner(system: System, callers: dict[str, HttpCaller]) -> str | None:
    """Return the instance that owns the endpoint of all reads; None if several do."""
    before = {name: system.counters(name).get(OWNER_COUNTER, 0) for name in callers}
    for caller in callers.values():
        for _ in range(WARM_UP_READS):
            caller.read()
    after = {name: system.counters(name).get(OWNER_COUNTER, 0) for name in callers}
    owner = max(callers, key=lambda name: after[name] - before[name])
    arrived = after[owner] - before[owner]
    return owner if arrived >= WARM_UP_READS * len(callers) else None


def direct_read(connection: "psycopg.Connection[Any]") -> float:
    """Run the read on the database and return its latency in seconds."""
    started = perf_counter()
    connection.execute(STATEMENT).fetchall()
    return perf_counter() - started


def read_with_status(connection: "psycopg.Connection[Any]") -> float:
    """Run the status query and the read in one pipeline, as an instance does.

    Returns the latency in seconds.
    """
    started = perf_counter()
    with connection.pipeline():
        connection.execute(status_statement().text)
        cursor = connection.execute(STATEMENT)
        cursor.fetchall()
    return perf_counter() - started


def measure_alternately(reads: dict[str, Any], number: int) -> dict[str, list[float]]:
    """Run batches of each kind of read in turn; return their latencies in milliseconds.

    `number` is the number of reads of each kind.
    """
    times: dict[str, list[float]] = {name: [] for name in reads}
    for _ in range(number // BATCH_READS):
        for name, read in reads.items():
            times[name] += [read() * 1000 for _ in range(BATCH_READS)]
    return times


def hop_figures(times: dict[str, list[float]]) -> list[Figure]:
    """Return the latency that the first and the second instance add to a read."""
    medians = {name: median(values) for name, values in times.items()}
    ordered = {name: sorted(values) for name, values in times.items()}
    note = ", ".join(
        f"{name} p50 {medians[name]:.3f} p99 {percentile(ordered[name], 99):.3f}"
        for name in times
    )
    return [
        Figure(
            "idle read, hop to the owner",
            medians["owner"] - medians["direct"],
            "ms",
            bounds.HOP_LATENCY,
            note,
        ),
        Figure(
            "idle read, hop to the owner, status read directly too",
            medians["owner"] - medians["with status"],
            "ms",
            note="the database's part of the hop left out",
        ),
        Figure(
            "idle read, hop from another instance to the owner",
            medians["other"] - medians["owner"],
            "ms",
            bounds.HOP_LATENCY,
        ),
    ]


# --- Statements per core


def measure_connections(system: System, quick: bool) -> list[Figure]:
    """Return the statements/s of one instance for each number of connections."""
    system.publish_and_wait(lift_rate_limit)
    system.set_service_time(0)
    counted_s = QUICK_COUNTED_S if quick else COUNTED_S
    figures = []
    for number in CONNECTIONS:
        figures += measure_load(system, number, counted_s)
        sleep(1)
    return figures


def measure_load(system: System, number: int, counted_s: float) -> list[Figure]:
    """Return the statements/s of one instance with a number of open connections."""
    entry = system.layout.instances[0]
    begin_at = time() + CONNECT_PERIOD_S
    count_from = begin_at + RAMP_UP_S
    plan = Plan(
        entry.url,
        next(iter(system.keys.values())),
        system.groups,
        number // PROCESSES,
        max(1, min(MAX_IN_FLIGHT, number) // PROCESSES),
        begin_at,
        count_from,
        count_from + counted_s,
    )
    processes = [start_load_process(plan) for _ in range(PROCESSES)]
    try:
        sleep(count_from - time())
        before = system.cpu_seconds()
        sleep(plan.end_at - time())
        after = system.cpu_seconds()
        results = [read_result(process) for process in processes]
    finally:
        for process in processes:
            process.kill()
            process.wait()
    used = {name: after[name] - before[name] for name in after}
    return load_figures(number, counted_s, results, used[entry.name], used)


def start_load_process(plan: Plan) -> "subprocess.Popen[bytes]":
    """Start a process that opens connections and sends as the plan says."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.measures_wire"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    if process.stdin is not None:
        process.stdin.write(orjson.dumps(asdict(plan)))
        process.stdin.close()
    return process


def read_result(process: "subprocess.Popen[bytes]") -> dict[str, Any]:
    """Wait for a client process and return its counts and latencies."""
    data = process.stdout.read() if process.stdout is not None else b""
    if not data:
        raise MeasureFailed("a process of callers ended without a result")
    result: dict[str, Any] = orjson.loads(data)
    return result


def load_figures(
    number: int,
    counted_s: float,
    results: list[dict[str, Any]],
    entry_cpu: float,
    used: dict[str, float],
) -> list[Figure]:
    """Return the figures of one number of connections.

    `entry_cpu` and the values of `used` are CPU seconds.
    """
    answers = sum(result["answers"] for result in results)
    refused = sum(result["refused"] for result in results)
    lost = sum(result["lost"] for result in results)
    latencies = sorted(
        1000 * seconds for result in results for seconds in result["latencies"]
    )
    total_cpu = sum(used.values())
    name = f"{number} connections"
    note = (
        f"entry {100 * entry_cpu / counted_s:.0f}% of a core, p50 "
        f"{percentile(latencies, 50):.1f} p99 {percentile(latencies, 99):.1f} ms; "
        f"{refused} refused, {lost} connections lost"
    )
    return [
        Figure(
            f"statements/s of one instance, {name}",
            answers / counted_s,
            "/s",
            bounds.STATEMENTS_PER_INSTANCE,
            note,
            {"cpu_seconds": used},
        ),
        Figure(
            f"statements per core-second, all instances, {name}",
            answers / max(0.01, total_cpu),
            "",
            note=f"{total_cpu:.2f} s of CPU; at the entry alone "
            f"{answers / max(0.01, entry_cpu):.0f}",
        ),
    ]
