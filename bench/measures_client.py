"""A client process that sends reads of several workspaces in an open loop.

The process reads a plan as JSON from standard input and writes one record for each
arrival as JSON to standard output: when the request was due, to which instance it was
sent, how it ended, and its latency from the due time. An instance that refuses
connections is ejected for EJECTION_S, as a load balancer does.
"""

import asyncio
import random
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic, time
from typing import Any

import aiohttp
import orjson
from attrs import asdict, define, field, frozen
from cattrs import structure

from .load_sessions import read_answer

TIMEOUT_S = 15.0
EJECTION_S = 1.0
STATEMENT = "SELECT 1"
OK = "ok"
BROKEN = "broken"  # The connection ended, or the timeout passed, before the answer.
NOT_SENT = "not sent"
MAX_IN_FLIGHT = 4000  # Requests of one process; arrivals above the limit are not sent.


@frozen
class Phase:
    """A rate of arrivals (requests/s) between two times, in seconds since the start."""

    begin: float
    end: float
    rate: float


@frozen
class Stream:
    """The requests of one workspace."""

    workspace: str
    key: str
    groups: list[str]
    home: int  # Index of the instance that gets half of the requests; -1 for none.
    phases: list[Phase]


@frozen
class Plan:
    """The load of one process."""

    start_at: float  # Wall-clock time.
    proxies: list[str]
    streams: list[Stream]
    seed: int


@frozen
class Record:
    """The result of one request."""

    workspace: str
    at: float  # When the request was due, in seconds since the start.
    proxy: int  # Index of the instance.
    end: str  # OK, BROKEN, NOT_SENT, or status and type of the problem.
    latency_ms: float  # From the due time.

    @property
    def is_refused(self) -> bool:
        """Return whether an instance answered the request with a problem."""
        return self.end not in (OK, BROKEN, NOT_SENT)


# --- The client process


@define(eq=False)
class Sender:
    """Sends the requests of a plan and records their results."""

    plan: Plan
    http: aiohttp.ClientSession
    random: random.Random
    records: list[Record] = field(factory=list)
    ejected_until: dict[int, float] = field(factory=dict)
    in_flight: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, stream: Stream) -> None:
        """Start a stream's requests when they are due, however slow the answers are."""
        for phase in stream.phases:
            at = phase.begin + self.random.expovariate(phase.rate)
            while at < phase.end:
                await asyncio.sleep(self.plan.start_at + at - time())
                self.start_request(stream, at)
                at += self.random.expovariate(phase.rate)

    def start_request(self, stream: Stream, at: float) -> None:
        """Send one request in the background, or record that the limit forbids it."""
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            self.records.append(Record(stream.workspace, at, 0, NOT_SENT, 0))
            return
        task = asyncio.create_task(self.send(stream, at))
        self.in_flight.add(task)
        task.add_done_callback(self.in_flight.discard)

    async def send(self, stream: Stream, at: float) -> None:
        """Send one request, with a retry after each refused connection."""
        group = self.random.choice(stream.groups)
        while True:
            proxy = self.choose_proxy(stream)
            try:
                end = await self.send_read(stream, group, proxy)
                break
            except aiohttp.ClientConnectorError:
                self.ejected_until[proxy] = monotonic() + EJECTION_S
            except (aiohttp.ClientError, OSError, TimeoutError):
                end = BROKEN
                break
        latency_ms = (time() - self.plan.start_at - at) * 1000
        record = Record(stream.workspace, at, proxy, end, round(latency_ms, 2))
        self.records.append(record)

    def choose_proxy(self, stream: Stream) -> int:
        """Return the home instance for half of the requests, otherwise a random one.

        Ejected instances are left out, unless all are ejected.
        """
        now = monotonic()
        proxies = [
            index
            for index in range(len(self.plan.proxies))
            if self.ejected_until.get(index, 0) <= now
        ]
        if stream.home in proxies and self.random.random() < 0.5:
            return stream.home
        return self.random.choice(proxies or range(len(self.plan.proxies)))

    async def send_read(self, stream: Stream, group: str, proxy: int) -> str:
        """Send a read to an instance and return how it ended."""
        url = f"{self.plan.proxies[proxy]}/v1/groups/{group}/statements"
        headers = {"Authorization": f"Bearer {stream.key}"}
        body = {"statement": STATEMENT, "parameters": [], "access": "read"}
        async with self.http.post(url, json=body, headers=headers) as response:
            answer = await read_answer(response)
        return OK if answer.status == 200 else f"{answer.status} {answer.label}"


async def send_all(plan: Plan) -> list[Record]:
    """Send all requests of a plan and return their records."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        sender = Sender(plan, http, random.Random(plan.seed))
        await asyncio.gather(*(sender.run(stream) for stream in plan.streams))
        while sender.in_flight:
            await asyncio.wait(sender.in_flight)
    return sender.records


def main() -> None:
    """Read the plan from standard input and write the records to standard output."""
    plan = structure(orjson.loads(sys.stdin.buffer.read()), Plan)
    records = asyncio.run(send_all(plan))
    sys.stdout.buffer.write(orjson.dumps([asdict(record) for record in records]))


# --- The process that starts the clients


@contextmanager
def client_processes(plans: list[Plan]) -> Iterator[list["subprocess.Popen[bytes]"]]:
    """Run a client process for each plan; kill those that still run at the end."""
    processes = []
    try:
        for plan in plans:
            process = subprocess.Popen(
                [sys.executable, "-m", "bench.measures_client"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            processes.append(process)
            if process.stdin is not None:
                process.stdin.write(orjson.dumps(asdict(plan)))
                process.stdin.close()
        yield processes
    finally:
        for process in processes:
            process.kill()
            process.wait()


def collect_records(processes: list["subprocess.Popen[bytes]"]) -> list[Record]:
    """Wait for the processes and return their records, ordered by due time."""
    found: list[Any] = []
    for process in processes:
        if process.stdout is not None:
            found += orjson.loads(process.stdout.read())
    records = [Record(**item) for item in found]
    return sorted(records, key=lambda record: record.at)


if __name__ == "__main__":
    main()
