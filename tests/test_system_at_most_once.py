"""Requirements 9 and 10 on real processes: the answered outcomes of writes are true.

Owners and databases are killed while writes run. Two instances get the same write with
the same Idempotency-Key at the same time, and a third one gets a retry.
"""

import signal
from collections.abc import Iterator
from threading import Event, Thread

import pytest
from attrs import define, field

from .system_support import OK, Caller, System, running_system, wait_for
from .system_writers import Writers, assert_outcomes, find_owner

GROUP = "certificates"
TABLE = "once"
INSERT = f"INSERT INTO {TABLE} VALUES ($1)"
REPEATING_THREADS = 4
# Six writes without a key and one of each of the four retrying threads can wait at the
# same time, so at least four of these are writes without a key.
UNACKNOWLEDGED_WRITES = 8


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        result.create_table(TABLE)
        yield result


@define
class Repeaters:
    """Threads that send each keyed write to two instances at once, then retry it."""

    system: System
    outcomes: dict[str, list[str]] = field(factory=dict)
    reuse_results: dict[str, str] = field(factory=dict)
    stopping: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)

    def __enter__(self) -> "Repeaters":
        for number in range(REPEATING_THREADS):
            thread = Thread(
                target=self.write_until_stopped, args=(number,), daemon=True
            )
            self.threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def write_until_stopped(self, number: int) -> None:
        """Write distinct values with idempotency keys until stopped."""
        callers = [Caller(proxy) for proxy in self.system.proxies]
        count = 0
        while not self.stopping.is_set():
            count += 1
            value = f"key-{number}-{count}"
            chosen = [callers[(count + step) % len(callers)] for step in range(3)]
            self.write(chosen, value)
            self.stopping.wait(0.02)

    def write(self, callers: list[Caller], value: str) -> None:
        """Send one write to two instances at once, then a retry to a third.

        If the write ran, also send another value under the same key.
        """
        outcomes: list[str] = self.outcomes.setdefault(value, [])
        threads = [
            Thread(
                target=lambda caller=caller: outcomes.append(
                    self.send(caller, value, value)[0]
                )
            )
            for caller in callers[:2]
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outcomes.append(self.send(callers[2], value, value)[0])
        if "ran" in outcomes:
            other = f"{value}-other"
            outcome, problem = self.send(callers[2], value, other)
            self.reuse_results[other] = problem or outcome

    def send(self, caller: Caller, key: str, value: str) -> tuple[str, str]:
        """Write a value under a key; return the outcome and the problem type."""
        answer = self.system.run(
            caller, INSERT, value, access="write", idempotency_key=key
        )
        return answer.outcome, "" if answer.status == OK else answer.problem


def assert_keyed_outcomes(found: dict[str, int], repeaters: Repeaters) -> None:
    """Assert that keyed values agree with the outcomes answered for them.

    Another value under a key that was used must not be written.
    """
    for value, outcomes in repeaters.outcomes.items():
        number = found.get(value, 0)
        assert number <= 1, f"{value}: {number} times, {outcomes}"
        assert number == 1 or "ran" not in outcomes, f"{value}: missing, {outcomes}"
        assert number == 0 or set(outcomes) != {"not_run"}, f"{value}: {outcomes}"
    for value, problem in repeaters.reuse_results.items():
        assert value not in found, f"{value}: another body ran under a used key"
        assert problem != "ran", f"{value}: another body was answered with 200"
    assert "idempotency-key-reused" in repeaters.reuse_results.values()


def test_writes_run_once_when_owners_and_primaries_are_killed(system: System) -> None:
    """Guards against lost and duplicated writes and against false refusals."""
    alive = {row["name"]: row for row in system.summary["instances"]}
    plain = Writers(system, TABLE, False, system.proxies, prefix="plain")
    with plain, Repeaters(system) as repeaters:
        plain.wait_for_acknowledged()
        # Kill an owner while committed writes wait for acknowledgment by a majority.
        owner = find_owner(system, plain, list(alive))
        kill_owner_before_acknowledgment(system, alive.pop(owner)["pid"])
        plain.wait_for_acknowledged(60)
        # Kill a primary.
        primary = system.group(GROUP)["primary"]
        system.signal(pid_of(system, primary), signal.SIGKILL)
        plain.wait_for_acknowledged(60)
        # Kill an owner while statements wait at the database, which then runs them.
        owner = find_owner(system, plain, list(alive))
        pid = pid_of(system, system.group(GROUP)["primary"])
        system.signal(pid, signal.SIGSTOP)
        system.signal(alive.pop(owner)["pid"], signal.SIGKILL)
        system.signal(pid, signal.SIGCONT)
        plain.wait_for_acknowledged(60)
    url = next(iter(alive.values()))["url"]
    found = system.values(url, TABLE)
    assert_outcomes(found, plain)
    assert_keyed_outcomes(found, repeaters)
    assert plain.values("unknown")  # Proves that writes were in flight at the failures.


def kill_owner_before_acknowledgment(system: System, pid: int) -> None:
    """Kill an owner while writes are committed on the primary but not on a majority."""
    primary = system.group(GROUP)["primary"]
    replicas = [
        row["name"] for row in system.endpoints(GROUP) if row["name"] != primary
    ]
    for name in replicas:
        system.set_control(name, "cut", 1)
    before = system.counts(primary)["commits"]
    wait_for(
        lambda: system.counts(primary)["commits"] >= before + UNACKNOWLEDGED_WRITES
    )
    system.signal(pid, signal.SIGKILL)
    for name in replicas:
        system.set_control(name, "cut", 0)


def pid_of(system: System, endpoint: str) -> int:
    """Return the process id of an endpoint."""
    rows = system.endpoints(GROUP)
    return next(int(row["pid"]) for row in rows if row["name"] == endpoint)
