"""A replica is deaf and the primary crashes while the other's zone is evacuated."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import Group, System, route, run_case, tenant

CLIENTS = 8
EVACUATION_S = 5.0  # `evacMs`.
DEAF_S = 3.0  # Of the 6 s that the small sites have at most.
EVACUATES = os.environ.get("EVACUATE", "1") != "0"


async def play(system: System) -> list[str]:
    """Return the acknowledged commits that the promoted database lacks."""
    group = Group("g1", system.record, system.store, sync=1)
    system.groups.append(group)
    system.bounds["evacMs"] = int(EVACUATION_S * 1000)
    await group.start(["i-1", "i-2", "i-3"])
    for name, zone in (("i-2", "z2"), ("i-3", "z3")):
        group.databases[name].zone = zone
    system.store.promote = group.promote
    group.register()
    beats = asyncio.create_task(group.heartbeats())
    system.configure(1, [route("db1", "g1", "primary")], [tenant("t1", "k1")])
    await system.start(2)
    acknowledged: list[str] = []

    async def write(number: int) -> None:
        """Write again and again, as clients do."""
        client = await system.client(f"c{number}", instance=number % 2)
        while True:
            statement, answer = await client.ask(f"WRITE {client.name} {client.count}")
            if answer == [f"DONE d-{statement}"]:
                acknowledged.append(statement)
            await asyncio.sleep(0.01)

    clients = [asyncio.create_task(write(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    if EVACUATES:
        system.store.put("evacuations", "z2", {"zone": "z2"})
        system.record.note("the store has accepted that z2 is evacuated")
    await asyncio.sleep(EVACUATION_S + 2.0)
    before = group.term
    if system.is_trouble:
        group.databases["i-3"].is_deaf = True
        system.record.note("i-3 receives nothing from now on")
        await asyncio.sleep(DEAF_S)
        group.databases["i-1"].crash()
    acknowledged_before = list(acknowledged)
    for _ in range(100):
        await asyncio.sleep(0.1)
        if group.term != before:
            break
    for task in (beats, *clients):
        task.cancel()
    promoted = group.databases[group.primary]
    committed = promoted.committed()
    lost = [name for name in acknowledged_before if name not in committed]
    system.record.note(
        f"{len(acknowledged_before)} acknowledged, {promoted.name} leads"
    )
    return [f"LOST: {name} isn't in the log of {promoted.name}" for name in lost]


run_case(str(Path(__file__).parent), play)
