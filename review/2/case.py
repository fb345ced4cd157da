"""An entry from another writer, then the end of all processes: nothing is served."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit  # noqa: E402

INSTANCES = 3
CALM_S = 6.0
ENTRY_AGE_S = 1.0  # From the foreign entry to the final fault.
DOWN_S = 1.0
MEASURED_S = 10.0
PAUSE_S = 0.05
QUARTER = 0.25
# Bytes that are no text, as a writer of JSON passes them on: an unpaired surrogate.
FOREIGN = {"upstream": b"\xff\xfe".decode("utf-8", "surrogateescape"), "note": 1}


async def send_traffic(system: kit.System, served: list[tuple[float, bool]]) -> None:
    """Run single reads and writes, each on a session of its own, at ready instances."""
    record = system.record
    for number in itertools.count():
        await asyncio.sleep(PAUSE_S)
        sent_at = record.now()
        # The platform's balancer: ready nodes, or all of them if none is ready.
        ready = [item for item in system.instances if await item.is_ready()]
        choice = (ready or system.instances)[number % len(ready or system.instances)]
        client = await kit.Client.open(
            record, f"c{number}", choice.front, "db", "key-1"
        )
        if client is None:
            served.append((sent_at, False))
            continue
        text = "READ a" if number % 2 else f"WRITE a {number}"
        lines = await client.ask(text, 5.0)
        served.append((sent_at, kit.succeeded(lines)))
        client.close()


def share(served: list[tuple[float, bool]], since: float, until: float) -> float:
    """Return the share of the requests of a span that were served."""
    found = [good for at, good in served if since <= at < until]
    return sum(found) / len(found) if found else 0.0


async def play(system: kit.System) -> int:
    """Play the case."""
    record = system.record
    service = system.add_service("g")
    for index in (1, 2, 3):
        await service.add(f"i-{index}", f"z{index}")
    spec = {
        "routes": [kit.route("db", "g", "read_your_writes")],
        "upstreams": [{"name": "g", "maxConns": 50}],
        "limits": {"txIdleMs": 3000},
        "tenants": [kit.tenant("t", "key-1")],
    }
    system.store.configure(spec)
    await system.start_instances(INSTANCES)
    served: list[tuple[float, bool]] = []
    traffic = asyncio.create_task(send_traffic(system, served))
    began = record.now()
    await asyncio.sleep(CALM_S)
    if kit.trouble_is_on():
        system.store.put("servers", "x-1", FOREIGN)
        record.say("foreign entry written: servers/x-1")
    await asyncio.sleep(ENTRY_AGE_S)
    fault_at = record.now()
    for instance in system.instances:
        system.signal(instance, signal.SIGKILL)
    for instance in system.instances:
        assert instance.process is not None
        await instance.process.wait()
    await asyncio.sleep(DOWN_S)
    for instance in system.instances:
        await system.start_process(instance)
    back_at = record.now()
    measured_at = back_at + kit.BOUNDS["recoverS"]
    await asyncio.sleep(kit.BOUNDS["recoverS"] + MEASURED_S)
    traffic.cancel()
    ready = [item.name for item in system.instances if await item.is_ready()]
    before = share(served, began, fault_at)
    after = share(served, measured_at, record.now())
    record.say(f"served before the final fault: {before:.3f}")
    record.say(f"served from {kit.BOUNDS['recoverS']} s after the return: {after:.3f}")
    record.say("ready at the end:", ready)
    if before < QUARTER:
        return kit.COULD_NOT_RUN
    return kit.BROKEN if after < QUARTER else kit.HELD


if __name__ == "__main__":
    kit.run_case(__file__, play)
