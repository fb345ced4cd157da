"""The evacuation of a data centre with real processes and stand-ins of the platform."""

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from .test_platform_system import System, wait_for

BOUND_S = 5.0
ZONE = "z9"
ENDED = "switchover_ended"


@pytest.fixture
def evacuating_system(tmp_path: Path) -> Iterator[System]:
    result = System(tmp_path, bounds={"evacMs": int(BOUND_S * 1000)})
    try:
        result.start(2)
        yield result
    finally:
        result.stop()


def events(system: System, index: int, name: str) -> list[dict[str, object]]:
    """Return the log events of a name that an instance has written."""
    text = (system.folder / f"node-{index}.log").read_text()
    lines = map(json.loads, text[: text.rfind("\n") + 1].splitlines())
    return [line for line in lines if line["message_type"].endswith(f":{name}")]


def wait_for_events(system: System, name: str) -> None:
    wait_for(lambda: all(events(system, index, name) for index in range(2)))


def test_evacuation_of_a_primary(evacuating_system: System) -> None:
    """Guards against an evacuation that the platform sees as not carried out."""
    system = evacuating_system
    database = system.group.databases["i-1"]
    database.zone = ZONE
    system.loop.call(system.register_databases)
    clients = [system.client(0), system.client(1)]
    for client in clients:
        client.read_line()
        assert client.ask("WRITE a one") == ["DONE signed"]
    system.loop.call(lambda: system.store.put("evacuations", ZONE, "unreadable"))
    since = time.monotonic()
    wait_for_events(system, "evacuation_done")
    assert system.group.primary in ("i-2", "i-3")
    while time.monotonic() < since + BOUND_S + 1:
        for client in clients:
            assert client.ask("WRITE a two") == ["DONE signed"]
    assert not [at for at in database.requests_at if at > since + BOUND_S]
    ended = [event for index in range(2) for event in events(system, index, ENDED)]
    assert "done" in {event["result"] for event in ended}
    system.loop.call(lambda: system.store.remove("evacuations", ZONE))
    wait_for_events(system, "evacuation_ended")
