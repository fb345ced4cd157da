"""Requirements 11 and 12 on real processes: leaving endpoints and graceful shutdown."""

import signal
from collections.abc import Iterator
from functools import partial
from random import Random
from threading import Event, Thread
from typing import Any

import pytest
from attrs import define, field

from .system_support import (
    MARKET,
    OK,
    Answer,
    Caller,
    System,
    owner_of,
    running_system,
    wait_for,
)

GROUP = "certificates"
CALLERS = 12
READS = 120
STATEMENTS = 10
# With STATEMENTS this takes longer than the minimum duration of a shutdown, 1 s.
STATEMENT_PAUSE_S = 0.2


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        result.create_table("stopping")
        yield result


@define
class Reconnecting:
    """A caller that connects to a ready instance when told to close its connection."""

    system: System
    random: Random
    number: int
    answers: list[Answer] = field(factory=list)

    def write_and_read(self, stopping: Event) -> None:
        """Write and read until stopped, without retries."""
        caller = self.connect()
        while not stopping.is_set():
            value = f"{self.number}-{len(self.answers)}"
            access, text = (
                ("write", "INSERT INTO stopping VALUES ($1)")
                if len(self.answers) % 3 == 0
                else ("read", "SELECT count(*) FROM stopping WHERE value = $1")
            )
            answer = self.system.run(caller, text, value, access=access)
            self.answers.append(answer)
            if answer.headers.get("connection") == "close" or not answer.status:
                caller.close()
                caller = self.connect()
            stopping.wait(0.005)
        caller.close()

    def connect(self) -> Caller:
        """Return a caller connected to an instance that reports to be ready."""
        while True:
            caller = Caller(self.random.choice(self.system.proxies))
            if caller.send("GET", "/readyz", {}).status == OK:
                return caller
            caller.close()


def has_stopped(system: System, name: str) -> bool:
    """Return whether an instance has logged that it stopped."""
    lines = system.log.read_text().splitlines()
    return any(
        '"pimentodrift:stopped"' in line and f'"{name}"' in line for line in lines
    )


def test_leaving_replica_serves_no_reads(system: System) -> None:
    """Guards against reads at a replica that is leaving."""
    primary = system.group(GROUP)["primary"]
    rows = [row for row in system.endpoints(GROUP) if row["name"] != primary]
    name = rows[0]["name"]
    read_everywhere(system)
    assert system.counts(name)["reads"] > 0  # The replica served reads before.
    system.update_object("endpoint", name, state="leaving")
    wait_for(
        lambda: all(
            sees_leaving(system, row, name) for row in system.summary["instances"]
        )
    )
    before = system.counts(name).get("reads", 0)
    read_everywhere(system)
    assert system.counts(name).get("reads", 0) == before
    system.update_object("endpoint", name, state="live")


def read_everywhere(system: System) -> None:
    """Send reads that replicas may serve through all instances."""
    for number in range(READS):
        proxy = system.proxies[number % len(system.proxies)]
        answer = system.run(proxy, "SELECT 1", max_age_ms=None)
        assert answer.status == OK, answer.body


def sees_leaving(system: System, instance: dict[str, Any], endpoint: str) -> bool:
    """Return whether an instance knows that an endpoint is leaving."""
    row = system.dump(instance["name"])["endpoints"][endpoint]
    return str(row["presence"]).lower() == "leaving"


def test_leaving_primary_receives_no_writes(system: System) -> None:
    """Guards against writes at a primary that is leaving, once it is replaced."""
    name = system.group(GROUP)["primary"]
    system.update_object("endpoint", name, state="leaving")
    wait_for(lambda: system.group(GROUP)["primary"] != name)
    wait_for(lambda: system.status(name)[0] == "replica")
    before = system.counts(name)["writes"]
    for proxy in system.proxies:
        answer = system.run(
            proxy, "INSERT INTO stopping VALUES ('moved')", access="write"
        )
        assert answer.status == OK, answer.body
    assert system.counts(name)["writes"] == before
    system.update_object("endpoint", name, state="live")


def test_stop_under_load_fails_no_request(system: System) -> None:
    """Guards against requests that a graceful shutdown aborts or refuses."""
    stopping = Event()
    callers = [
        Reconnecting(system, Random(number), number) for number in range(CALLERS)
    ]
    threads = [
        Thread(target=caller.write_and_read, args=(stopping,), daemon=True)
        for caller in callers
    ]
    for thread in threads:
        thread.start()
    for row in system.summary["instances"][:2]:
        wait_for_progress(callers)
        system.signal(row["pid"], signal.SIGTERM)
        wait_for(partial(has_stopped, system, row["name"]))
        wait_for_progress(callers)
    stopping.set()
    for thread in threads:
        thread.join()
    answers = [answer for caller in callers for answer in caller.answers]
    assert [(a.status, a.body) for a in answers if a.status != OK] == []


def wait_for_progress(callers: list[Reconnecting]) -> None:
    """Wait until each caller has received more than ten further answers."""
    before = [len(caller.answers) for caller in callers]
    wait_for(
        lambda: all(
            len(caller.answers) > count + 10
            for caller, count in zip(callers, before, strict=True)
        )
    )


def test_stop_waits_for_an_open_transaction(system: System) -> None:
    """Guards against a shutdown that rolls back a transaction still in use."""
    alive = system.summary["instances"][2:]
    headers = system.headers(MARKET)
    begun = system.send(
        alive[0]["url"], f"/v1/groups/{GROUP}/transactions", headers, b""
    )
    assert begun.status == OK, begun.body
    transaction = begun.body["transaction"]
    owner = owner_of(transaction)
    entry = next(row["url"] for row in alive if row["name"] != owner)
    system.signal(system.instance(owner)["pid"], signal.SIGTERM)
    for number in range(STATEMENTS):
        answer = system.run(
            entry,
            "INSERT INTO stopping VALUES ($1)",
            f"transaction-{number}",
            access="write",
            transaction=transaction,
        )
        assert answer.status == OK, (number, answer.body)
        Event().wait(STATEMENT_PAUSE_S)
    path = f"/v1/groups/{GROUP}/transactions/{transaction}/commit"
    assert system.send(entry, path, headers, b"").status == OK
    wait_for(lambda: has_stopped(system, owner))
    found = system.values(entry, "stopping")
    assert sum(value.startswith("transaction-") for value in found) == STATEMENTS
