"""SIGTERM of two nodes of a zone: requests of new sessions are cut at the exit."""

import asyncio
import itertools
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit  # noqa: E402

ZONES = ("z1", "z1", "z1", "z2", "z2")
ROUNDS = 5
STOPPED = 2  # The first nodes of z1: two of five machines.
CALM_S = 6.0
WATCHED_S = 8.0  # After the SIGTERM; graceS + 1 s and a rest.
PAUSE_S = 0.008  # About 125 requests a second, as one zone of the sheets has.
# A lookup of the sheets: 55 ms on average, 410 ms at the most.
WORK_LOG_S, WORK_SPREAD, WORK_MAX_S = -3.15, 0.7, 0.41
TRANSACTIONS = 0.25
THOUGHT_S = (0.2, 0.8)
MISSES = 2
LATE_S = 3.0  # Requests that were sent sooner after the SIGTERM have an excuse.


@dataclass
class Balancer:
    """The platform's address: which nodes of a zone get new connections."""

    system: kit.System
    misses: dict[str, int] = field(default_factory=dict)

    async def watch(self) -> None:
        """Ask each node once a second whether it is ready."""
        while True:
            for node in self.system.instances:
                known = self.misses.get(node.name, 0)
                self.misses[node.name] = 0 if await node.is_ready() else known + 1
            await asyncio.sleep(1.0)

    def choose(self, zone: str) -> kit.Instance:
        """Return a node for a new connection of a client in a zone."""
        nodes = [node for node in self.system.instances if node.zone == zone]
        ready = [node for node in nodes if self.misses.get(node.name, 0) < MISSES]
        if not ready:
            others = [node for node in self.system.instances if node.zone != zone]
            return random.choice(others)
        return random.choice(nodes if 2 * len(ready) < len(nodes) else ready)


@dataclass
class Outcome:
    """A request: where and when it was sent, and how it ended."""

    node: kit.Instance
    statement: str
    sent_at: float
    ended_at: float
    lines: list[str]


async def look_up(
    system: kit.System, node: kit.Instance, number: int, outcomes: list[Outcome]
) -> None:
    """Run a read, or a transaction with pauses, on a session of its own."""
    record = system.record
    client = await kit.Client.open(record, f"c{number}", node.front, "db", "key-1")
    if client is None:
        return
    if random.random() < TRANSACTIONS:
        for text in ("BEGIN", "READ a", "READ b", "COMMIT"):
            lines = await client.ask(text)
            if not kit.succeeded(lines):
                break
            await asyncio.sleep(random.uniform(*THOUGHT_S))
        client.close()
        return
    sent_at = record.now()
    lines = await client.ask("READ a")
    ended_at = record.now()
    outcomes.append(Outcome(node, f"c{number}.1", sent_at, ended_at, lines))
    client.close()


async def play(system: kit.System) -> int:
    """Play the case."""
    record = system.record
    service = system.add_service("g", slots=8)
    ran: dict[str, float] = {}

    def note_run(_: kit.Database, statement: str, _text: str) -> None:
        ran[statement] = record.now()

    for index in (1, 2, 3):
        database = await service.add(f"i-{index}", f"z{index}")
        database.on_run = note_run
        database.work_s = lambda _text: min(
            WORK_MAX_S, random.lognormvariate(WORK_LOG_S, WORK_SPREAD)
        )
    spec = {
        "routes": [kit.route("db", "g", "bounded_staleness")],
        "upstreams": [{"name": "g", "maxConns": 60}],
        "limits": {"txIdleMs": 3000},
        "tenants": [kit.tenant("t", "key-1")],
    }
    system.store.configure(spec)
    for index, zone in enumerate(ZONES):
        await system.start_process(system.write_settings(f"front-{index + 1}", zone))
    await system.wait_ready(system.instances)
    balancer = Balancer(system)
    watch = asyncio.create_task(balancer.watch())
    outcomes: list[Outcome] = []
    numbers = itertools.count()
    cut: list[Outcome] = []
    for _ in range(ROUNDS):
        await send_for(system, balancer, CALM_S, numbers, outcomes)
        stopped_at = record.now()
        for node in system.instances[:STOPPED] if kit.trouble_is_on() else ():
            system.signal(node, signal.SIGTERM)
        await send_for(system, balancer, WATCHED_S, numbers, outcomes)
        found = cut_requests(system, stopped_at, outcomes, ran)
        for item in found:
            record.say(
                f"{item.statement} at {item.node.name}: sent"
                f" {item.sent_at - stopped_at:.2f} s after the SIGTERM, run"
                f" {ran.get(item.statement, 0) - item.sent_at:.3f} s later, cut"
                f" {item.ended_at - item.sent_at:.3f} s after its sending"
            )
        cut += found
        if not kit.trouble_is_on():
            continue
        for node in system.instances[:STOPPED]:
            assert node.process is not None
            await node.process.wait()
            await system.start_process(node)
        await system.wait_ready(system.instances)
    watch.cancel()
    record.say(f"requests: {len(outcomes)}; cut without an answer: {len(cut)}")
    return kit.BROKEN if cut else kit.HELD


async def send_for(
    system: kit.System,
    balancer: Balancer,
    seconds: float,
    numbers: "itertools.count[int]",
    outcomes: list[Outcome],
) -> None:
    """Send the traffic of a zone for some seconds, and wait for its answers."""
    end = system.record.now() + seconds
    tasks = set()
    while system.record.now() < end:
        await asyncio.sleep(PAUSE_S)
        work = look_up(system, balancer.choose("z1"), next(numbers), outcomes)
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


def cut_requests(
    system: kit.System,
    stopped_at: float,
    outcomes: list[Outcome],
    ran: dict[str, float],
) -> list[Outcome]:
    """Return the requests that the rule doesn't allow to be cut."""
    until = stopped_at + kit.BOUNDS["graceS"] + 1
    slack_s = kit.BOUNDS["lossSlackMs"] / 1000
    return [
        item
        for item in outcomes
        if item.node in system.instances[:STOPPED]
        and item.lines[-1] == "closed"
        and stopped_at + LATE_S < item.sent_at
        and item.ended_at <= until
        and (item.statement in ran or item.ended_at - item.sent_at > slack_s)
    ]


if __name__ == "__main__":
    kit.run_case(__file__, play)
