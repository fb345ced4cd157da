"""A client sends COMMIT and leaves; does another client's write run in its place."""

import asyncio
import contextlib
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_3 import (  # noqa: E402
    JMSH,
    Client,
    System,
    is_troubled,
    owner,
    route,
    run_case,
    tenant,
)

KEY = "u6wsjnbanfqasnmgkcuy"
DATABASE = "lepu270"
CLIENTS = 60
LEAVING = 6
LENGTH_S = 20.0
LINK_S = 0.008
WORK_S = 0.055
RETRY_S = 0.2
PAUSE_S = 0.005
READ, WRITE = "READ", "WRITE"


async def use(system: System, number: int, end: float, acknowledged: set[str]) -> None:
    """Alternate single writes and reads in one session until the end."""
    client = Client(system.record)
    port = system.instances[number % len(system.instances)].front
    if await client.open(port, DATABASE, KEY):
        return
    count = 0
    while system.record.now() < end:
        count += 1
        item = f"a{number:02x}"
        text = f"{WRITE} {item} v{count}" if count % 2 else f"{READ} {item}"
        fault = await client.ask(text)
        if fault == "CLOSED":
            return
        if fault:
            await asyncio.sleep(RETRY_S)
        elif text.startswith(WRITE):
            acknowledged.add(client.last)
    client.leave()


async def commit_and_leave(system: System, first: int, end: float) -> None:
    """Begin, write, send COMMIT and leave, over and over."""
    for count in itertools.count(first, LEAVING):
        if system.record.now() >= end:
            return
        client = Client(system.record)
        port = system.instances[count % len(system.instances)].front
        if await client.open(port, DATABASE, KEY):
            await asyncio.sleep(RETRY_S)
            continue
        if not await client.ask("BEGIN") and not await client.ask(
            f"{WRITE} b{count} x"
        ):
            if is_troubled():
                client.send("COMMIT")
                await client.writer.drain()
                await asyncio.sleep(PAUSE_S)
            else:
                await client.ask("COMMIT")
        client.leave()


async def case(system: System) -> bool:
    """Return whether each statement ran alone or in its own client's transaction."""
    system.group.link_s = LINK_S
    system.group.work_s = WORK_S
    await system.start(2, [route(JMSH, DATABASE)], [tenant("canton-norte", [KEY])])
    record, group = system.record, system.group
    end = record.now() + LENGTH_S
    acknowledged: set[str] = set()
    work = [use(system, number, end, acknowledged) for number in range(CLIENTS)]
    work += [commit_and_leave(system, number, end) for number in range(LEAVING)]
    with contextlib.suppress(ConnectionError):
        await asyncio.gather(*work)
    await asyncio.sleep(1.0)
    foreign = [
        run
        for run in group.runs
        if run.first and owner(run.first) != owner(run.statement)
    ]
    lost = acknowledged - group.committed
    for run in foreign:
        record.add(
            "PINNED", run.statement, run.text, "in the transaction of", run.first
        )
    for statement in lost:
        record.add("acknowledged, but never committed:", statement)
    record.say(
        len(group.runs), "statements ran,", len(acknowledged), "acknowledged writes"
    )
    record.say(len(foreign), "ran inside another client's transaction")
    record.say(len(lost), "acknowledged writes were never committed")
    return not foreign and not lost


run_case(__file__, JMSH, case)
