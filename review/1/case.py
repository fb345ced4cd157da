"""A process is killed again just after its start: answers reach its successor."""

import asyncio
import itertools
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit  # noqa: E402

INSTANCES = 8
KILLED = 6  # Index of an instance that owns no database of the group.
CONNECTIONS = 11  # Scarce for eight instances: endpoints have owners.
SLOTS = 10
CLIENTS = 40
WORK_S = (1.0, 2.2)  # Below the route's timeout of 3 s.
RESTART_S = 0.3  # The short delay after which a process is started again.
READS = 0.6
ROUNDS = 8
BETWEEN_S = 6.0
SERVING_S = 1.2  # From the start of a process to its next kill.
CALM_S = 4.0


class Counts:
    """What the clients have seen."""

    def __init__(self) -> None:
        self.answered = 0
        self.wrong: list[str] = []
        self.acknowledged: set[str] = set()  # Writes with another statement's digest.


async def send_on(system: kit.System, number: int, counts: Counts) -> None:
    """Run single statements at the instance that is killed; check each answer."""
    record, node = system.record, system.instances[KILLED]
    client = None
    for count in itertools.count():
        if client is None or client.is_closed:
            await asyncio.sleep(random.uniform(0.02, 0.1))
            name = f"c{number}-{count}"
            client = await kit.Client.open(record, name, node.front, "db", "key-1")
            if client is None:
                continue
        text = (
            f"READ a{number}" if random.random() < READS else f"WRITE a{number} {count}"
        )
        lines = await client.ask(text, 10.0)
        statement = f"{client.name}.{client.count}"
        if kit.succeeded(lines):
            counts.answered += 1
            if f"DONE d.{statement}" not in lines:
                counts.wrong.append(statement)
                if text.startswith("WRITE"):
                    counts.acknowledged.add(statement)
                record.say(f"{statement} {text}: answered with {' | '.join(lines)}")


async def kill_and_start(system: kit.System, node: kit.Instance) -> None:
    """Kill the process of a node; start it again after the platform's short delay."""
    system.signal(node, signal.SIGKILL)
    assert node.process is not None
    await node.process.wait()
    await asyncio.sleep(RESTART_S)
    await system.start_process(node)


async def play(system: kit.System) -> int:
    """Play the case."""
    record = system.record
    counts = Counts()
    service = system.add_service("g", slots=SLOTS)
    for index in (1, 2, 3):
        database = await service.add(f"i-{index}", f"z{index}")
        database.work_s = lambda _text: random.uniform(*WORK_S)
    values = {"timeoutMs": 3000, "targetLatencyMs": 6000}
    spec = {
        "routes": [kit.route("db", "g", "read_your_writes", **values)],
        "upstreams": [{"name": "g", "maxConns": CONNECTIONS}],
        "limits": {"txIdleMs": 3000},
        "tenants": [kit.tenant("t", "key-1")],
    }
    system.store.configure(spec)
    await system.start_instances(INSTANCES)
    await asyncio.sleep(CALM_S)
    node = system.instances[KILLED]
    tasks = [asyncio.create_task(send_on(system, n, counts)) for n in range(CLIENTS)]
    for _ in range(ROUNDS):
        await asyncio.sleep(BETWEEN_S)
        if not kit.trouble_is_on():
            continue
        await kill_and_start(system, node)
        await system.wait_ready([node])
        await asyncio.sleep(SERVING_S)
        await kill_and_start(system, node)
        await system.wait_ready([node])
    await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    record.say(
        f"answers: {counts.answered}, of others' statements: {len(counts.wrong)}"
    )
    committed = {commit.statement for commit in service.acked}
    missing = counts.acknowledged - committed
    record.say(
        f"of these acknowledged writes: {len(counts.acknowledged)},"
        f" never committed: {len(missing)}"
    )
    return kit.BROKEN if counts.wrong else kit.HELD


if __name__ == "__main__":
    kit.run_case(__file__, play)
