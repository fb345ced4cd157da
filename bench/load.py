"""Load tool: an open loop of sessions over several proxies, with consistency checks.

    python -m bench.load --target ready.json --duration 10 --rate 50

`--target` names a file with the line of JSON that `pimentodrift local` prints;
`--proxy`, `--workspace` and `--group` give the same by hand. Requests arrive at the
rate of each workspace, however slow the answers are, and latencies count from the
intended time of sending. Duration and number of requests are limited, and only loopback
addresses are accepted. The exit status is 1 when a check failed.
"""

import argparse
import asyncio
import ipaddress
import random
import sys
from collections import deque
from pathlib import Path
from time import monotonic, time_ns
from urllib.parse import urlsplit

import aiohttp
import orjson
from attrs import define, field, frozen

from .load_report import FinishedRequest, Report
from .load_sessions import (
    CREATE_INDEX,
    CREATE_TABLE,
    Answer,
    Client,
    Outcome,
    Session,
    Workspace,
)

MAX_DURATION_S = 3600
MAX_REQUESTS = 5_000_000
MAX_SESSIONS = 20_000
MIN_RATE = 0.01  # Requests/s of one workspace.
MAX_RATE = 20_000
BACKLOG_PER_SESSION = 4
SETUP_TIMEOUT_S = 30
VERIFY_TIMEOUT_S = 60
VERIFY_CONCURRENCY = 8


@define
class Plan:
    """The load of one run."""

    proxies: list[str]
    workspaces: list[Workspace]
    groups: list[str]
    sessions: int  # Number of sessions of each workspace.
    write_share: float  # Part of the requests that are writes, from 0 to 1.
    duration_s: float
    max_requests: int
    timeout_s: float
    seed: int
    run_id: str  # Prefix of session names; keeps the rows of runs apart.
    max_age_ms: int | None = None  # Age that reads accept; None for fresh reads.
    use_idempotency_keys: bool = False
    # Arrivals, per session, that may wait for an idle session; more are dropped and
    # counted as not sent.
    backlog_per_session: int = BACKLOG_PER_SESSION


@define(eq=False)
class Sender:
    """Sends one workspace's requests; each arrival takes a random idle session.

    Arrivals that find no idle session wait in `backlog`, which holds the times at which
    they were due, in seconds since the start.
    """

    workspace: Workspace
    sessions: list[Session]
    plan: Plan
    client: Client
    report: Report
    random: random.Random
    started: float
    idle: list[Session] = field(init=False)
    backlog: deque[float] = field(factory=deque)
    running: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Start with all sessions idle."""
        self.idle = list(self.sessions)

    async def run(self) -> None:
        """Generate arrivals at the workspace's rate, then wait for all answers."""
        counts = self.report.counts(self.workspace.name)
        at = 0.0
        while True:
            at += self.random.expovariate(self.workspace.rate)
            if at > self.plan.duration_s or counts.offered >= self.request_limit():
                break
            await asyncio.sleep(self.started + at - monotonic())
            counts.offered += 1
            if len(self.backlog) >= self.plan.backlog_per_session * len(self.sessions):
                counts.not_sent += 1
                continue
            self.backlog.append(at)
            self.assign_arrivals()
        while self.running:
            await asyncio.wait(self.running)

    def request_limit(self) -> int:
        """Return the workspace's part of the run's limit of requests."""
        return self.plan.max_requests // len(self.plan.workspaces)

    def assign_arrivals(self) -> None:
        """Send the requests of waiting arrivals through random idle sessions."""
        while self.backlog and self.idle:
            index = self.random.randrange(len(self.idle))
            self.idle[index], self.idle[-1] = self.idle[-1], self.idle[index]
            job = self.send_request(self.idle.pop(), self.backlog.popleft())
            task = asyncio.create_task(job)
            self.running.add(task)
            task.add_done_callback(self.running.discard)

    async def send_request(self, session: Session, due_at: float) -> None:
        """Send a read or a write of a session, and record its answer and latency."""
        is_write = self.random.random() < self.plan.write_share
        access = "write" if is_write else "read"
        action = session.write if is_write else session.read
        answer = await action(self.client)
        ended_at = monotonic() - self.started
        request = FinishedRequest(
            self.workspace.name, session.group, access, due_at, ended_at
        )
        self.report.record(request, answer)
        self.idle.append(session)
        self.assign_arrivals()


async def create_tables(plan: Plan, client: Client, report: Report) -> None:
    """Create the table in each group; raise `SetupError` if that fails."""
    for group in plan.groups:
        session = Session("set-up", plan.workspaces[0], group, report.violations)
        for statement in (CREATE_TABLE, CREATE_INDEX):
            await run_until_acknowledged(client, session, statement)


class SetupError(Exception):
    """The arguments are incomplete or invalid, or a table could not be created."""


async def run_until_acknowledged(
    client: Client, session: Session, statement: str
) -> None:
    """Repeat an idempotent statement until an answer says that it ran.

    Raises SetupError after SETUP_TIMEOUT_S.
    """
    deadline = monotonic() + SETUP_TIMEOUT_S
    answer = Answer(Outcome.NOT_RUN, 0, "not sent")
    while monotonic() < deadline:
        answer = await client.send(session, statement, [], "write")
        if answer.outcome is Outcome.RAN:
            return
        await asyncio.sleep(answer.retry_after_s or 0.2)
    raise SetupError(f"{session.group}: {answer.status} {answer.label}")


async def verify_sessions(
    sessions: list[Session], client: Client, report: Report
) -> None:
    """Check the writes of all sessions against the rows in the database."""
    deadline = monotonic() + VERIFY_TIMEOUT_S
    limit = asyncio.Semaphore(VERIFY_CONCURRENCY)

    async def check(session: Session) -> None:
        async with limit:
            if not await session.verify_writes(client, deadline):
                report.unverified_sessions += 1

    await asyncio.gather(*(check(session) for session in sessions if session.writes))


def make_sessions(plan: Plan, workspace: Workspace, report: Report) -> list[Session]:
    """Return a workspace's sessions, spread evenly over the groups."""
    return [
        Session(
            f"{plan.run_id}-{workspace.name}-{number}",
            workspace,
            plan.groups[number % len(plan.groups)],
            report.violations,
        )
        for number in range(plan.sessions)
    ]


async def run(plan: Plan) -> Report:
    """Send the load of a plan, verify the writes, and return the results."""
    report = Report()
    timeout = aiohttp.ClientTimeout(total=plan.timeout_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        client = Client(
            http,
            plan.proxies,
            random.Random(plan.seed),
            plan.max_age_ms,
            plan.use_idempotency_keys,
        )
        await create_tables(plan, client, report)
        started = monotonic()
        senders = [
            Sender(
                workspace,
                make_sessions(plan, workspace, report),
                plan,
                client,
                report,
                random.Random(f"{plan.seed} {workspace.name}"),
                started,
            )
            for workspace in plan.workspaces
        ]
        await asyncio.gather(*(sender.run() for sender in senders))
        report.close(monotonic() - started)
        sessions = [session for sender in senders for session in sender.sessions]
        await verify_sessions(sessions, client, report)
    return report


# --- Command line


def parse_loopback_url(text: str) -> str:
    """Parse a proxy's URL; raise `ArgumentTypeError` unless it is on loopback."""
    host = urlsplit(text).hostname or ""
    try:
        is_loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise argparse.ArgumentTypeError(f"{text!r} is not on a loopback address")
    return text.rstrip("/")


@frozen
class NumberInRange:
    """An argparse type for numbers between two limits, both included."""

    kind: type[float]
    low: float
    high: float

    def __call__(self, text: str) -> float:
        """Parse a number; raise `ArgumentTypeError` if it is outside the limits."""
        try:
            value = self.kind(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"{text!r} is no number") from None
        if not self.low <= value <= self.high:
            raise argparse.ArgumentTypeError(
                f"{text} is not between {self.low} and {self.high}"
            )
        return value


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Load with consistency checks.")
    add = parser.add_argument
    add("--target", type=Path, help="file with the JSON line of `local`")
    add("--proxy", action="append", default=[], type=parse_loopback_url)
    add("--workspace", action="append", default=[], metavar="NAME=KEY[=RATE]")
    add("--group", action="append", default=[])
    add("--sessions", type=NumberInRange(int, 1, MAX_SESSIONS), default=50)
    add("--write-share", type=NumberInRange(float, 0, 1), default=0.1)
    add("--rate", type=NumberInRange(float, MIN_RATE, MAX_RATE), default=50)
    add("--duration", type=NumberInRange(float, 0.1, MAX_DURATION_S), default=10)
    add("--max-requests", type=NumberInRange(int, 1, MAX_REQUESTS), default=100_000)
    add("--timeout", type=NumberInRange(float, 0.1, 300), default=30)
    add("--seed", type=int, default=1)
    add("--max-age-ms", type=int)
    add("--idempotency-keys", action="store_true")
    add("--report", type=Path, help="file for the report instead of stdout")
    return parser.parse_args(arguments)


def parse_workspace(text: str, rate: float) -> Workspace:
    """Parse NAME=KEY[=RATE], with a default rate; raise `SetupError` if malformed."""
    parts = text.split("=")
    if len(parts) not in (2, 3):
        raise SetupError(f"{text!r} is not NAME=KEY[=RATE]")
    if parts[2:]:
        rate = NumberInRange(float, MIN_RATE, MAX_RATE)(parts[2])
    return Workspace(parts[0], parts[1], rate)


def make_plan(arguments: argparse.Namespace) -> Plan:
    """Return the plan for the command line; raise `SetupError` if it is incomplete."""
    proxies = list(arguments.proxy)
    groups = list(arguments.group)
    workspaces = [parse_workspace(text, arguments.rate) for text in arguments.workspace]
    if arguments.target is not None:
        target = orjson.loads(arguments.target.read_bytes())
        proxies += [parse_loopback_url(url) for url in target["proxies"]]
        groups = groups or target["groups"]
        workspaces = workspaces or [
            Workspace(name, key, arguments.rate) for name, key in target["keys"].items()
        ]
    if not (proxies and groups and workspaces):
        raise SetupError("proxies, groups and workspaces are required")
    if arguments.sessions * len(workspaces) > MAX_SESSIONS:
        raise SetupError(f"more than {MAX_SESSIONS} sessions")
    return Plan(
        proxies=proxies,
        workspaces=workspaces,
        groups=groups,
        sessions=arguments.sessions,
        write_share=arguments.write_share,
        duration_s=arguments.duration,
        max_requests=arguments.max_requests,
        timeout_s=arguments.timeout,
        seed=arguments.seed,
        run_id=f"run-{time_ns()}",
        max_age_ms=arguments.max_age_ms,
        use_idempotency_keys=arguments.idempotency_keys,
    )


def main() -> int:
    """Run the load tool and return the exit status."""
    arguments = parse_arguments(sys.argv[1:])
    try:
        report = asyncio.run(run(make_plan(arguments)))
    except (SetupError, argparse.ArgumentTypeError) as error:
        print(f"load: {error}", file=sys.stderr)
        return 2
    text = orjson.dumps(
        report.as_json(), option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
    ).decode()
    if arguments.report is None:
        print(text)
    else:
        arguments.report.write_text(text + "\n")
    failed = any(report.violations.counts.values()) or report.unverified_sessions
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
