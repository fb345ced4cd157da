"""Writes values from threads and compares a table with the answers to the writes."""

from threading import Event, Lock, Thread
from typing import Any

from attrs import define, field, frozen

from .system_support import OK, Answer, Caller, System, wait_for


@frozen
class Write:
    """One write of a distinct value, with the outcome that was answered."""

    value: str
    outcome: str
    problem: str = ""


@define
class Writers:
    """Threads, one for each instance, that write distinct values until stopped."""

    system: System
    table: str
    with_keys: bool
    proxies: list[str]
    group: str = "certificates"
    pause_s: float = 0.01
    prefix: str = "v"
    results: list[Write] = field(factory=list)
    lock: Any = field(factory=Lock)
    stopping: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def __enter__(self) -> "Writers":
        for number, proxy in enumerate(self.proxies):
            thread = Thread(
                target=self.write_until_stopped, args=(number, proxy), daemon=True
            )
            self.threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop the threads after the answers to their current requests."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        self.threads.clear()

    def write_until_stopped(self, number: int, proxy: str) -> None:
        """Write distinct values until stopped, without retries."""
        caller = Caller(proxy)
        count = 0
        while not self.stopping.is_set():
            count += 1
            value = f"{self.prefix}-{number}-{count}"
            answer = self.write(caller, value)
            with self.lock:
                problem = "" if answer.status == OK else answer.problem
                self.results.append(Write(value, answer.outcome, problem))
            self.stopping.wait(self.pause_s if answer.status else 0.1)
        caller.close()

    def write(self, caller: str | Caller, value: str) -> Answer:
        """Write one value."""
        return self.system.run(
            caller,
            f"INSERT INTO {self.table} VALUES ($1)",
            value,
            access="write",
            group=self.group,
            idempotency_key=f"{self.table}-{value}" if self.with_keys else "",
        )

    def values(self, outcome: str) -> list[str]:
        """Return the values of the writes with an outcome."""
        with self.lock:
            return [write.value for write in self.results if write.outcome == outcome]

    def wait_for_acknowledged(self, more: int = 30) -> None:
        """Wait for a number of further acknowledged writes."""
        wanted = len(self.values("ran")) + more
        wait_for(lambda: len(self.values("ran")) >= wanted)


def assert_outcomes(found: dict[str, int], writers: Writers) -> None:
    """Assert that the table agrees with the answered outcomes.

    No value may be there twice, an acknowledged one must be there, and one whose
    write did not run must not.
    """
    duplicated = {value for value, number in found.items() if number > 1}
    lost = [value for value in writers.values("ran") if value not in found]
    wrongly_refused = [value for value in writers.values("not_run") if value in found]
    assert not duplicated, f"written more than once: {sorted(duplicated)[:5]}"
    assert not lost, f"{len(lost)} acknowledged writes are missing: {lost[:5]}"
    assert not wrongly_refused, f"refused as not run, yet run: {wrongly_refused[:5]}"


def find_owner(system: System, writers: Writers, names: list[str]) -> str:
    """Return the instance that currently acknowledges most writes: the owner."""

    def acknowledged() -> dict[str, int]:
        return {
            name: int(system.dump(name)["counters"].get("replication.acknowledged", 0))
            for name in names
        }

    before = acknowledged()
    writers.wait_for_acknowledged()
    after = acknowledged()
    return max(names, key=lambda name: after[name] - before[name])
