"""Measures the share of reads that replicas serve while sessions read their own writes.

The baseline's sessions send no token with reads, so that each read counts as the first
of a session and goes to the primary, through the same instances.
"""

import asyncio
import random
from time import monotonic, time_ns

import aiohttp
from attrs import define, evolve

from . import bounds, load
from .bounds import Figure
from .load_report import Report, summarize_latencies
from .load_sessions import Answer, Client, Session, Violation, Workspace
from .measures_processes import MeasureFailed
from .measures_system import System

MEASURED_S = 20.0
QUICK_MEASURED_S = 6.0
# Each session's first read goes to the primary. Real sessions last longer than a run,
# so reads are counted only after this time, when every session has its token.
WARM_UP_S = 4.0
SESSIONS = 10  # Sessions of each workspace.
WRITE_SHARE = 0.1
RATE = 25.0  # Requests/s of a workspace, but at most RATE_SHARE of its declared rate.
RATE_SHARE = 0.6
TIMEOUT_S = 15.0
SEED = 1
COUNTERS = ("routing.reads_primary", "routing.reads_replica", "routing.reads_behind")
READ_RAN = "read ran"


class TokenlessSession(Session):
    """A session that drops its session token before each read."""

    async def read(self, client: Client) -> Answer:
        """Read as a new session."""
        self.token = ""
        return await super().read(client)


@define
class PhaseResult:
    """The results of a run with one kind of sessions, after the warm-up."""

    reads_primary: int  # Reads that the primaries served.
    reads_replica: int  # Reads that replicas served.
    reads_behind: int  # Answers of databases that were older than the session token.
    report: Report

    @property
    def replica_percent(self) -> float:
        """Return the share of reads that replicas served, in percent."""
        return (
            100 * self.reads_replica / max(1, self.reads_primary + self.reads_replica)
        )

    @property
    def stale(self) -> int:
        """Return how many reads were older than the session's own writes or reads."""
        counts = self.report.violations.counts
        return counts[Violation.STALE_READ] + counts[Violation.READ_WENT_BACK]

    @property
    def wrong_writes(self) -> int:
        """Return how many writes ended in another way than their answers said."""
        return sum(self.report.violations.counts.values()) - self.stale

    def read_latency(self) -> dict[str, float]:
        """Return the summary of the latencies of reads that ran, in milliseconds.

        Raises MeasureFailed if no read ran.
        """
        if READ_RAN not in self.report.latencies:
            raise MeasureFailed("no read ran")
        return summarize_latencies(self.report.latencies[READ_RAN])


def measure(system: System, quick: bool) -> list[Figure]:
    """Return the figures of the replicas' share, with those of the baseline."""
    system.publish_and_wait(lambda name, value: None)
    seconds = QUICK_MEASURED_S if quick else MEASURED_S
    with_tokens = asyncio.run(run_phase(system, seconds, Session))
    without = asyncio.run(run_phase(system, seconds, TokenlessSession))
    latency, baseline = with_tokens.read_latency(), without.read_latency()
    return [
        Figure(
            "reads served by replicas",
            with_tokens.replica_percent,
            "%",
            bounds.REPLICA_SHARE,
            f"{with_tokens.reads_replica} of "
            f"{with_tokens.reads_replica + with_tokens.reads_primary} reads; "
            f"{with_tokens.reads_behind} answers were behind the token",
            with_tokens.report.as_json(),
        ),
        Figure("own writes not read", with_tokens.stale, "", bounds.STALE_READS),
        Figure(
            "writes lost, doubled or run though refused",
            with_tokens.wrong_writes,
            "",
            bounds.LOST_WRITES,
            f"{with_tokens.report.unverified_sessions} sessions not verified",
        ),
        Figure("read latency p50", latency["p50"], "ms", note=f"p99 {latency['p99']}"),
        Figure(
            "baseline, all reads to the primary: replica share",
            without.replica_percent,
            "%",
            note="measured with sessions that send no token",
            details=without.report.as_json(),
        ),
        Figure(
            "baseline, all reads to the primary: read latency p50",
            baseline["p50"],
            "ms",
            note=f"p99 {baseline['p99']}",
        ),
    ]


def make_plan(system: System, seconds: float) -> load.Plan:
    """Return the plan of a load on all workspaces, which stays below their rates."""
    declared = system.workspaces()
    workspaces = [
        Workspace(name, key, min(RATE, RATE_SHARE * declared[name]["rate"]))
        for name, key in system.keys.items()
    ]
    return load.Plan(
        proxies=system.proxies,
        workspaces=workspaces,
        groups=system.groups,
        sessions=SESSIONS,
        write_share=WRITE_SHARE,
        duration_s=seconds,
        max_requests=load.MAX_REQUESTS,
        timeout_s=TIMEOUT_S,
        seed=SEED,
        run_id=f"run-{time_ns()}",
    )


async def run_phase(system: System, seconds: float, kind: type[Session]) -> PhaseResult:
    """Run sessions, count the reads after the warm-up, and verify the writes."""
    plan = make_plan(system, seconds)
    timeout = aiohttp.ClientTimeout(total=plan.timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        client = Client(http, plan.proxies, random.Random(plan.seed))
        report = Report()
        await load.create_tables(plan, client, report)
        sessions = make_sessions(plan, report, kind)
        await send_load(evolve(plan, duration_s=WARM_UP_S), sessions, client, report)
        before = await asyncio.to_thread(system.counter_sums, *COUNTERS)
        counted = Report(violations=report.violations)
        await send_load(plan, sessions, client, counted)
        after = await asyncio.to_thread(system.counter_sums, *COUNTERS)
        all_sessions = [session for some in sessions.values() for session in some]
        await load.verify_sessions(all_sessions, client, counted)
    primary, replica, behind = (after[name] - before[name] for name in COUNTERS)
    return PhaseResult(primary, replica, behind, counted)


def make_sessions(
    plan: load.Plan, report: Report, kind: type[Session]
) -> dict[str, list[Session]]:
    """Return the sessions of each workspace, spread evenly over the groups."""
    return {
        workspace.name: [
            kind(
                f"{plan.run_id}-{workspace.name}-{number}",
                workspace,
                plan.groups[number % len(plan.groups)],
                report.violations,
            )
            for number in range(plan.sessions)
        ]
        for workspace in plan.workspaces
    }


async def send_load(
    plan: load.Plan, sessions: dict[str, list[Session]], client: Client, report: Report
) -> None:
    """Send the load of a plan through the given sessions, and end the report."""
    started = monotonic()
    senders = [
        load.Sender(
            workspace,
            sessions[workspace.name],
            plan,
            client,
            report,
            random.Random(f"{plan.seed} {workspace.name} {plan.duration_s}"),
            started,
        )
        for workspace in plan.workspaces
    ]
    await asyncio.gather(*(sender.run() for sender in senders))
    report.close(monotonic() - started)
