"""SIGTERM: an open transaction is rolled back before half of the grace is over."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit  # noqa: E402

CLIENTS = 6
BEFORE_S = 0.2  # From the transaction's first write to the SIGTERM.
SECOND_WRITE_S = 1.4  # After the SIGTERM.
COMMIT_S = 2.8  # After the SIGTERM; half of graceS is 3 s.


async def run_transaction(
    system: kit.System, number: int, began: asyncio.Event, stopped: asyncio.Future
) -> tuple[str, float]:
    """Run a transaction across the SIGTERM; return its outcome and when it ended."""
    record = system.record
    front = system.instances[0].front
    client = await kit.Client.open(record, f"c{number}", front, "db", "key-1")
    assert client is not None
    for text in ("BEGIN", f"WRITE a{number} first"):
        lines = await client.ask(text)
        assert kit.succeeded(lines), lines
    began.set()
    stopped_at = await stopped
    for text, at in ((f"WRITE a{number} second", SECOND_WRITE_S), ("COMMIT", COMMIT_S)):
        await asyncio.sleep(max(0.0, stopped_at + at - record.now()))
        lines = await client.ask(text)
        if not kit.succeeded(lines):
            return " | ".join(lines), record.now() - stopped_at
    client.close()
    return "committed", record.now() - stopped_at


async def play(system: kit.System) -> int:
    """Play the case."""
    record = system.record
    service = system.add_service("g")
    for index in (1, 2, 3):
        await service.add(f"i-{index}", f"z{index}")
    spec = {
        "routes": [kit.route("db", "g", "primary")],
        "upstreams": [{"name": "g", "maxConns": 50}],
        "limits": {"txIdleMs": 3000},
        "tenants": [kit.tenant("t", "key-1")],
    }
    system.store.configure(spec)
    await system.start_instances(2)
    await asyncio.sleep(kit.BOUNDS["stableMs"] / 1000)
    stopped = asyncio.get_running_loop().create_future()
    signs = [asyncio.Event() for _ in range(CLIENTS)]
    tasks = [
        asyncio.create_task(run_transaction(system, number, sign, stopped))
        for number, sign in enumerate(signs)
    ]
    await asyncio.gather(*(sign.wait() for sign in signs))
    await asyncio.sleep(BEFORE_S)
    stopped_at = record.now()
    if kit.trouble_is_on():
        stopped_at = system.signal(system.instances[0], signal.SIGTERM)
    stopped.set_result(stopped_at)
    outcomes = await asyncio.gather(*tasks)
    half_s = kit.BOUNDS["graceS"] / 2
    broken = [item for item in outcomes if item[0] != "committed" and item[1] < half_s]
    for outcome, ended_s in outcomes:
        record.say(f"{outcome} at {ended_s:.2f} s of {half_s:.1f} s")
    return kit.BROKEN if broken else kit.HELD


if __name__ == "__main__":
    kit.run_case(__file__, play)
