"""A process that sends reads of several workspaces in an open loop.

It takes a plan as JSON on standard input and writes one record for each arrival as
JSON to standard output: when it was due, which instance it went to, how it ended, and
the latency from the due time. Instances that refuse connections are left out for a
while, as a load balancer does.
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
BROKEN = "broken"  # The connection ended before the answer.
NOT_SENT = "not sent"
MAX_IN_FLIGHT = 4000  # Requests of a process; more arrivals are not sent.


@frozen
class Phase:
    """A rate of arrivals between two times, in seconds since the start."""

    begin: float
    end: float
    rate: float


@frozen
class Stream:
    """The requests of one workspace; `home` is the instance that gets half of them."""

    workspace: str
    key: str
    groups: list[str]
    home: int
    phases: list[Phase]


@frozen
class Plan:
    """What one process sends, from a time of the wall clock on."""

    start_at: float
    proxies: list[str]
    streams: list[Stream]
    seed: int


@frozen
class Record:
    """The end of one request."""

    workspace: str
    at: float  # Seconds since the start.
    proxy: int
    end: str
    latency_ms: float

    @property
    def is_refused(self) -> bool:
        """Return whether an instance refused the request."""
        return self.end not in (OK, BROKEN, NOT_SENT)


# --- The process


@define(eq=False)
class Sender:
    """Sends the requests of a plan."""

    plan: Plan
    http: aiohttp.ClientSession
    random: random.Random
    records: list[Record] = field(factory=list)
    ejected_until: dict[int, float] = field(factory=dict)
    in_flight: set[asyncio.Task[None]] = field(factory=set)

    async def run(self, stream: Stream) -> None:
        """Send a stream's requests when they are due, whatever the answers are."""
        for phase in stream.phases:
            at = phase.begin + self.random.expovariate(phase.rate)
            while at < phase.end:
                await asyncio.sleep(self.plan.start_at + at - time())
                self.start_request(stream, at)
                at += self.random.expovariate(phase.rate)

    def start_request(self, stream: Stream, at: float) -> None:
        """Send one request."""
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            self.records.append(Record(stream.workspace, at, 0, NOT_SENT, 0))
            return
        task = asyncio.create_task(self.send(stream, at))
        self.in_flight.add(task)
        task.add_done_callback(self.in_flight.discard)

    async def send(self, stream: Stream, at: float) -> None:
        """Send one request, to another instance after a refused connection."""
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
        """Return the home instance for half of the requests, else any."""
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
        """Send a request to an instance and return how it ended."""
        url = f"{self.plan.proxies[proxy]}/v1/groups/{group}/statements"
        headers = {"Authorization": f"Bearer {stream.key}"}
        body = {"statement": STATEMENT, "parameters": [], "access": "read"}
        async with self.http.post(url, json=body, headers=headers) as response:
            answer = await read_answer(response)
        return OK if answer.status == 200 else f"{answer.status} {answer.label}"


async def send_all(plan: Plan) -> list[Record]:
    """Carry out a plan."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        sender = Sender(plan, http, random.Random(plan.seed))
        await asyncio.gather(*(sender.run(stream) for stream in plan.streams))
        while sender.in_flight:
            await asyncio.wait(sender.in_flight)
    return sender.records


def main() -> None:
    """Carry out the plan on standard input."""
    plan = structure(orjson.loads(sys.stdin.buffer.read()), Plan)
    records = asyncio.run(send_all(plan))
    sys.stdout.buffer.write(orjson.dumps([asdict(record) for record in records]))


# --- The caller's side


@contextmanager
def client_processes(plans: list[Plan]) -> Iterator[list["subprocess.Popen[bytes]"]]:
    """Run a process for each plan; kill what is left at the end."""
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
    """Wait for the processes and return their records in the order of arrival."""
    found: list[Any] = []
    for process in processes:
        if process.stdout is not None:
            found += orjson.loads(process.stdout.read())
    records = [Record(**item) for item in found]
    return sorted(records, key=lambda record: record.at)


if __name__ == "__main__":
    main()
