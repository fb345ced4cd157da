"""Planned replacement of the primary of a service with `syncReplicas` 1."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit  # noqa: E402

INSTANCES = 3
SERVICES = 4
WRITERS = 32
PAUSE_S = 0.07  # Between two writes of a client.
CALM_S = 6.0
RELEASES = 7
# From its report `draining` to the exit of a database; drainMs is 7 s.
DRAIN_S = 8.0
REST_S = 4.0
SAME_REGION_S = 0.001
JITTER_S = 0.004
OTHER_REGION_S = 0.020  # One way between regions, as on the sheets.


def transit_s(one: kit.Database, other: kit.Database) -> float:
    """Return how long a commit is on its way: two zones share a region."""
    zones = {one.zone, other.zone}
    near = zones <= {"z1", "z2"}
    way_s = SAME_REGION_S if near else OTHER_REGION_S
    return way_s + random.uniform(0.0, JITTER_S)


async def write_on(system: kit.System, number: int) -> None:
    """Write again and again, on a session that is opened anew after a close."""
    record, client = system.record, None
    for count in itertools.count():
        await asyncio.sleep(PAUSE_S)
        host = f"db{number % SERVICES}"
        if client is None or client.is_closed:
            node = system.instances[(number + count) % len(system.instances)]
            client = await kit.Client.open(
                record, f"c{number}-{count}", node.front, host, "key-1"
            )
        if client is not None:
            await client.ask(f"WRITE a{number} {count}", 5.0)


async def play(system: kit.System) -> int:
    """Play the case."""
    record = system.record
    lost: list[kit.Commit] = []

    def check(database: kit.Database) -> None:
        service = database.service
        held = set(map(id, database.log))
        for commit in service.acked:
            if id(commit) not in held:
                lost.append(commit)
                record.say(
                    f"acknowledged {commit.term}.{commit.number} {commit.statement}"
                    f" is not in the log of {database.name}, which was promoted"
                )
        service.acked[:] = [item for item in service.acked if id(item) in held]

    for number in range(SERVICES):
        service = system.add_service(f"g{number}", sync=1, promote_s=0.3, lag_s=0.06)
        service.transit_s = transit_s
        service.on_promoted = check
        for index in (1, 2, 3):
            await service.add(f"i-{number}{index}", f"z{index}")
    names = [service.name for service in system.services]
    spec = {
        "routes": [kit.route(f"db{name[1:]}", name, "primary") for name in names],
        "upstreams": [
            {"name": name, "maxConns": 50, "syncReplicas": 1} for name in names
        ],
        "limits": {"txIdleMs": 3000},
        "tenants": [kit.tenant("t", "key-1")],
    }
    system.store.configure(spec)
    await system.start_instances(INSTANCES)
    tasks = [asyncio.create_task(write_on(system, n)) for n in range(WRITERS)]
    await asyncio.sleep(CALM_S)
    promotions = 0
    for number in range(RELEASES):
        leaving = [item.primary for item in system.services if item.primary]
        for primary in leaving if kit.trouble_is_on() else ():
            primary.state = "draining"
            primary.register()
        await asyncio.sleep(DRAIN_S)
        for primary in leaving:
            if kit.trouble_is_on() and not primary.is_primary:
                promotions += 1
                # It has left; its log goes to a new database at its address.
                name = f"{primary.name[:3]}{number + 4}"
                await primary.service.replace(primary, name)
        await asyncio.sleep(REST_S)
    for task in tasks:
        task.cancel()
    record.say(f"promotions: {promotions}, acknowledged commits lost: {len(lost)}")
    if kit.trouble_is_on() and not promotions:
        return kit.COULD_NOT_RUN
    return kit.BROKEN if lost else kit.HELD


if __name__ == "__main__":
    kit.run_case(__file__, play)
