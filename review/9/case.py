"""Open connections to the store go silent; later the primary leaves as planned."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import Backend, Group, Link, System, route, run_case, tenant

INSTANCES = 3
STABLE_S = 5.0  # `stableMs`: machines are in touch again after this time.
DRAIN_S = 7.0  # `drainMs`.
LONGER_S = 3.0  # A leaving database serves a little longer than `drainMs`.
WORK_S = 0.1
PAUSE_S = 0.02


async def play(system: System) -> list[str]:
    """Return the requests that reach a database after it should get none."""
    system.link = Link(lambda: system.store.address, system.record)
    await system.link.start()
    group = Group("g1", system.record, system.store)
    system.groups.append(group)
    await group.start(["i-1", "i-2", "i-3"])
    system.store.promote = group.promote
    group.register()
    beats = asyncio.create_task(group.heartbeats())
    system.configure(1, [route("db1", "g1", "primary")], [tenant("t1", "k1")])
    await system.start(INSTANCES)
    leaving = group.databases["i-1"]
    late: list[tuple[float, str]] = []
    acknowledged_at = float("inf")
    sent_at: dict[str, float] = {}

    async def before(backend: Backend, statement: str, text: str) -> str | None:
        waited = time.monotonic() - acknowledged_at
        if waited > DRAIN_S and sent_at[statement] > acknowledged_at + DRAIN_S:
            late.append((waited, statement))
        await asyncio.sleep(WORK_S)
        return None

    leaving.before = before
    answers: dict[str, str] = {}

    async def write(instance: int) -> None:
        """Write again and again at an instance, as clients do."""
        client = await system.client(f"c{instance}", instance=instance)
        while True:
            sent_at[f"{client.name}-{client.count + 1}"] = time.monotonic()
            statement, answer = await client.ask(f"WRITE {client.name} {client.count}")
            answers[statement] = answer[-1]
            await asyncio.sleep(PAUSE_S)

    clients = [asyncio.create_task(write(number)) for number in range(INSTANCES)]
    await asyncio.sleep(1.0)
    if system.is_trouble:
        system.link.silence()
    await asyncio.sleep(STABLE_S + 0.5)
    leaving.state = "draining"
    leaving.register()
    acknowledged_at = time.monotonic()
    system.record.note("the store has accepted that i-1 is draining")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    leaving.exit()
    await asyncio.sleep(2.0)
    for task in (beats, *clients):
        task.cancel()
    unknown = [name for name, text in answers.items() if "INDOUBT" in text]
    system.record.note(f"answers without a promise: {unknown}")
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached i-1 {late[0][0]:.1f} to {late[-1][0]:.1f}"
        f" s after the store's ack, {DRAIN_S} s are allowed; {late[0][1]} was the first"
    ]


run_case(str(Path(__file__).parent), play)
