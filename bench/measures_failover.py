"""Measures the write gap after the kill of a primary, as callers see it.

One writer for each group writes one row after another through random instances and
retries refused writes. The gap is the time from the kill to the end of the longest
interval without an acknowledged write that ends after the kill. The stages come from
the events of the instance that coordinated the failover.
"""

import asyncio
import random
from statistics import median
from time import monotonic, time, time_ns
from typing import Any

import aiohttp
from attrs import define, field

from pimentodrift.children import wait_ready

from . import bounds, load
from .bounds import Figure
from .load_sessions import (
    CREATE_INDEX,
    CREATE_TABLE,
    INSERT,
    Client,
    Outcome,
    Session,
    Violations,
    Workspace,
)
from .measures_processes import MeasureFailed
from .measures_system import System

KILLS = 20
QUICK_KILLS = 3
PAUSE_S = 0.01  # Pause between the writes of a group.
RETRY_S = 0.02  # Pause after a refusal, even if its Retry-After is longer.
TIMEOUT_S = 15.0
NEW_PRIMARY_TIMEOUT_S = 15.0
CATCH_UP_TIMEOUT_S = 10.0
POLL_S = 0.05
SETTLE_S = 0.5  # Probes and reservations cover a restarted database after this time.
GAP_LOOKBACK_S = 2.0  # Longest time before the kill at which the interval may begin.
WRITES_AFTER_GAP = 5  # Acknowledged writes after which the gap counts as over.
VERIFY_TIMEOUT_S = 30.0
SEED = 1
STAGES = ("noticing", "fencing", "choosing", "promoting", "following", "first write")
FIRST_STAGE, LAST_STAGE = "fencing", "recording"  # As the events name them.


@define(eq=False)
class Writer:
    """Writes to one group until it is stopped; times are wall-clock times."""

    session: Session
    client: Client
    acknowledged: list[float] = field(factory=list)
    refusals: list[tuple[float, str]] = field(factory=list)  # Time, status and label.
    stopped: bool = False

    async def run(self) -> None:
        """Write rows one after another, each until it is acknowledged."""
        while not self.stopped:
            self.session.last_sequence += 1
            await self.write(self.session.last_sequence)
            await asyncio.sleep(PAUSE_S)

    async def write(self, sequence: int) -> None:
        """Retry one write, with one idempotency key, until it is acknowledged."""
        session = self.session
        session.writes[sequence] = Outcome.UNKNOWN
        key = f"{session.name}-{sequence}"
        row: list[str | int] = [session.name, sequence]
        while not self.stopped:
            answer = await self.client.send(session, INSERT, row, "write", key)
            if answer.outcome is Outcome.RAN:
                session.writes[sequence] = Outcome.RAN
                self.acknowledged.append(time())
                return
            self.refusals.append((time(), f"{answer.status} {answer.label}"))
            await asyncio.sleep(RETRY_S)

    def gap_end(self, killed_at: float) -> float | None:
        """Return the end of the longest interval between acknowledged writes.

        Only intervals count that begin at most GAP_LOOKBACK_S before the kill and end
        after it; None if there are none.
        """
        times = [at for at in self.acknowledged if at > killed_at - GAP_LOOKBACK_S]
        intervals = zip(times, times[1:], strict=False)
        pairs = [pair for pair in intervals if pair[1] > killed_at]
        return max(pairs, key=lambda pair: pair[1] - pair[0])[1] if pairs else None


@define
class Kill:
    """The results of one kill of a primary."""

    group: str
    primary: str
    killed_at: float  # Wall-clock time.
    gap_ms: float
    refusals: list[str]
    stages: dict[str, float]  # Milliseconds by stage; empty if events are missing.


def measure(system: System, quick: bool) -> list[Figure]:
    """Return the figures of the write gaps after several kills."""
    system.publish_and_wait(lambda name, value: None)
    return asyncio.run(run(system, QUICK_KILLS if quick else KILLS))


async def run(system: System, number: int) -> list[Figure]:
    """Kill primaries, one group after the other, while writers run.

    Raises MeasureFailed if the writes cannot be read back for verification.
    """
    name, key = next(iter(system.keys.items()))
    violations = Violations()
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        client = Client(http, system.proxies, random.Random(SEED))
        workspace = Workspace(name, key, 0)
        await create_tables(system, client, workspace)
        writers = {
            group: Writer(
                Session(f"{group}-{time_ns()}", workspace, group, violations), client
            )
            for group in system.groups
        }
        tasks = [asyncio.create_task(writer.run()) for writer in writers.values()]
        await asyncio.sleep(SETTLE_S)
        kills = []
        for index in range(number):
            group = system.groups[index % len(system.groups)]
            kills.append(await kill_primary(system, group, writers[group]))
        for writer in writers.values():
            writer.stopped = True
        await asyncio.gather(*tasks)
        deadline = monotonic() + VERIFY_TIMEOUT_S
        for writer in writers.values():
            if not await writer.session.verify_writes(client, deadline):
                raise MeasureFailed("the writes could not be read back")
    return make_figures(kills, writers, violations)


async def create_tables(system: System, client: Client, workspace: Workspace) -> None:
    """Create the load tool's table in each group."""
    for group in system.groups:
        session = Session("set-up", workspace, group, Violations())
        for statement in (CREATE_TABLE, CREATE_INDEX):
            await load.run_until_acknowledged(client, session, statement)


async def kill_primary(system: System, group: str, writer: Writer) -> Kill:
    """Kill a primary, wait until writes succeed again, and restart it as a replica."""
    old = await asyncio.to_thread(system.primary, group)
    killed_at = time()
    system.kill_database(old)
    new = await wait_for_new_primary(system, group, old)
    acknowledged = len(writer.acknowledged)
    await wait_until(
        lambda: len(writer.acknowledged) >= acknowledged + WRITES_AFTER_GAP,
        NEW_PRIMARY_TIMEOUT_S,
        f"{group}: no write after the change of primary",
    )
    end = writer.gap_end(killed_at)
    if end is None:
        raise MeasureFailed(f"{group}: no pause in the writes after the kill")
    refusals = [label for at, label in writer.refusals if killed_at <= at <= end]
    events = await asyncio.to_thread(system.events, "failover_stage")
    stages = stage_times(events, group, killed_at, end)
    await restart_as_replica(system, old, new)
    return Kill(group, old, killed_at, (end - killed_at) * 1000, refusals, stages)


async def wait_for_new_primary(system: System, group: str, old: str) -> str:
    """Wait until the store names another primary than `old`, and return its name."""
    deadline = monotonic() + NEW_PRIMARY_TIMEOUT_S
    while monotonic() < deadline:
        primary = await asyncio.to_thread(system.primary, group)
        if primary != old:
            return primary
        await asyncio.sleep(POLL_S)
    raise MeasureFailed(f"{group}: no new primary in {NEW_PRIMARY_TIMEOUT_S} s")


async def restart_as_replica(system: System, name: str, primary: str) -> None:
    """Restart a killed database and wait until it has replicated the group's log."""
    started = system.restart_database(name, primary)
    await asyncio.to_thread(wait_ready, started)
    group = system.database(name).group
    term = (await asyncio.to_thread(system.read_object, "group", group))["term"]

    def received(database: str) -> tuple[Any, ...]:
        return system.query(
            database, "SELECT role, term, received FROM group_status()"
        )[0]

    deadline = monotonic() + CATCH_UP_TIMEOUT_S
    while monotonic() < deadline:
        primary_status = await asyncio.to_thread(received, primary)
        own = await asyncio.to_thread(received, name)
        # The log grows between the two queries, so a difference remains.
        if own[1] == term and own[0] == "replica" and primary_status[2] - own[2] < 50:
            await asyncio.sleep(SETTLE_S)
            return
        await asyncio.sleep(POLL_S)
    raise MeasureFailed(f"{name} does not follow {primary}: {own}, {primary_status}")


async def wait_until(condition: Any, seconds: float, failure: str) -> None:
    """Wait until a condition holds; raise MeasureFailed after the given time."""
    deadline = monotonic() + seconds
    while not condition():
        if monotonic() > deadline:
            raise MeasureFailed(failure)
        await asyncio.sleep(POLL_S)


def stage_times(
    events: list[dict[str, Any]], group: str, killed_at: float, end: float
) -> dict[str, float]:
    """Return the milliseconds that each stage of the group's last failover took.

    The first stage, noticing, begins at the kill; the last one, the first write, ends
    at `end`. The result is empty if the events of a stage are missing.
    """
    own = [
        row for row in events if row["group"] == group and row["timestamp"] > killed_at
    ]
    recorded = [row for row in own if row["stage"] == LAST_STAGE]
    if not recorded:
        return {}
    term = recorded[-1]["term"]
    entered = {row["stage"]: row["timestamp"] for row in own if row["term"] == term}
    order = [FIRST_STAGE, "choosing", "promoting", "following", LAST_STAGE]
    if not entered.keys() >= set(order):
        return {}
    times = [killed_at, *(entered[stage] for stage in order), end]
    pairs = zip(times, times[1:], strict=False)
    return {
        stage: (after - before) * 1000
        for stage, (before, after) in zip(STAGES, pairs, strict=True)
    }


def make_figures(
    kills: list[Kill], writers: dict[str, Writer], violations: Violations
) -> list[Figure]:
    """Return the figures of gaps and stages, and of writes lost or doubled."""
    gaps = [kill.gap_ms for kill in kills]
    refusals = [label for kill in kills for label in kill.refusals]
    written = sum(len(writer.acknowledged) for writer in writers.values())
    details: dict[str, object] = {
        "kills": [
            {
                "group": kill.group,
                "primary": kill.primary,
                "gap_ms": round(kill.gap_ms, 1),
                "stages_ms": {
                    stage: round(value, 1) for stage, value in kill.stages.items()
                },
                "refusals": kill.refusals,
            }
            for kill in kills
        ]
    }
    note = f"{len(kills)} kills, {len(refusals)} refusals to the writers meanwhile"
    result = [
        Figure(
            "write gap, median",
            median(gaps),
            "ms",
            bounds.WRITE_GAP_MEDIAN,
            note,
            details,
        ),
        Figure("write gap, worst", max(gaps), "ms", bounds.WRITE_GAP_WORST),
    ]
    for stage in STAGES:
        values = [kill.stages[stage] for kill in kills if kill.stages]
        if values:
            note = f"worst {max(values):.0f}, {len(values)} kills"
            result.append(
                Figure(f"stage {stage}, median", median(values), "ms", note=note)
            )
    wrong = sum(violations.counts.values())
    note = (
        f"{written} acknowledged; {violations.details[:3]}" if wrong else str(written)
    )
    result.append(
        Figure("writes lost or doubled", wrong, "", bounds.LOST_WRITES, f"of {note}")
    )
    return result
