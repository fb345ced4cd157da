"""Requirement 1 on real processes: a session reads its own writes everywhere.

Each session sends every request to another instance, and carries only its token along.
"""

import json
import signal
from collections.abc import Iterator
from threading import Thread
from typing import Any

import pytest
from attrs import define, field

from .system_support import OK, Answer, Caller, System, running_system, wait_for

GROUP = "certificates"
SESSIONS = 6
ROUNDS = 40
READS = 3  # Reads after each write.


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        result.create_table("sessions")
        yield result


@define
class Session:
    """A session that writes rows with its name and counts them with each read."""

    system: System
    name: str
    max_age_ms: int | None  # None for the age that the operators declare.
    token: str | None = None
    written: int = 0  # Number of the last acknowledged write.
    seen: int = 0  # Highest number of a write that a read showed.
    requests: int = 0
    stale: list[str] = field(factory=list)  # Descriptions of stale reads.
    callers: list[Caller] = field(factory=list)

    def send_statement(self, statement: str, access: str, key: str = "") -> Answer:
        """Send a request to the next instance and keep the session token it returns."""
        self.callers = self.callers or [Caller(url) for url in self.system.proxies]
        self.requests += 1
        answer = self.system.run(
            self.callers[self.requests % len(self.callers)],
            statement,
            access=access,
            token=self.token,
            idempotency_key=key,
            max_age_ms=self.max_age_ms,
        )
        if answer.token:
            self.token = answer.token
        if answer.status and answer.status != OK and answer.problem == "write-dropped":
            # A read may have returned the dropped write, which was not acknowledged.
            self.seen = self.written
        return answer

    def retry_until_ran(self, statement: str, access: str, key: str = "") -> Answer:
        """Retry a request until it has run; return its answer."""
        found: list[Answer] = []

        def ran() -> bool:
            found.append(self.send_statement(statement, access, key))
            return found[-1].status == OK

        wait_for(ran)
        return found[-1]

    def write_and_read(self) -> None:
        """Write rows, each followed by several reads."""
        insert = f"INSERT INTO sessions VALUES ('{self.name}-0')"
        self.retry_until_ran(insert, "write", f"{self.name}-0")
        for number in range(1, ROUNDS + 1):
            text = f"INSERT INTO sessions VALUES ('{self.name}-{number}')"
            self.retry_until_ran(text, "write", f"{self.name}-{number}")
            self.written = number
            for _ in range(READS):
                self.read()

    def read(self) -> None:
        """Count the rows of this session; record a stale read if rows are missing."""
        text = f"SELECT count(*) FROM sessions WHERE value LIKE '{self.name}-%'"
        answer = self.retry_until_ran(text, "read")
        number = int(answer.body["rows"][0][0]) - 1
        if number < max(self.written, self.seen):
            self.stale.append(f"{number} of {max(self.written, self.seen)}")
        self.seen = max(self.seen, number)


def run_sessions(system: System, label: str, meanwhile: Any = None) -> None:
    """Run sessions and assert that none of their reads was stale.

    Half of the sessions accept data of the age that the operators declare.
    """
    sessions = [
        Session(system, f"{label}{number}", None if number % 2 else 0)
        for number in range(SESSIONS)
    ]
    threads = [
        Thread(target=session.write_and_read, daemon=True) for session in sessions
    ]
    for thread in threads:
        thread.start()
    if meanwhile:
        wait_for(lambda: sum(session.written for session in sessions) > ROUNDS)
        meanwhile()
    for thread in threads:
        thread.join()
    assert all(session.written == ROUNDS for session in sessions)
    assert {session.name: session.stale for session in sessions if session.stale} == {}


def control_replicas(system: System, name: str, value: int) -> None:
    """Set a control of both replicas."""
    primary = system.group(GROUP)["primary"]
    for row in system.endpoints(GROUP):
        if row["name"] != primary:
            system.set_control(row["name"], name, value)


@pytest.mark.parametrize(
    ("control", "value"), [("lag_ms", 100), ("lag_ms", 2000), ("frozen", 1)]
)
def test_session_reads_own_writes_with_lagging_replicas(
    system: System, control: str, value: int
) -> None:
    """Guards against reads from replicas that lag behind the session's writes."""
    before = reads_at_replicas(system)
    control_replicas(system, control, value)
    run_sessions(system, f"{control}{value}x")
    control_replicas(system, control, 0)
    # Without reads at replicas the test would prove nothing.
    run_sessions(system, f"{control}{value}y")
    assert reads_at_replicas(system) > before


def test_session_reads_own_writes_across_failover(system: System) -> None:
    """Guards against reads from a log, after failover, without the session's writes."""
    primary = system.group(GROUP)["primary"]
    pid = next(r["pid"] for r in system.endpoints(GROUP) if r["name"] == primary)
    control_replicas(system, "lag_ms", 2000)
    run_sessions(system, "paused", lambda: pause_until_replaced(system, pid))
    run_sessions(system, "killed", lambda: kill_primary(system))


def pause_until_replaced(system: System, pid: int) -> None:
    """Pause the primary, and resume it after it has been replaced."""
    term = system.group(GROUP)["term"]
    system.signal(pid, signal.SIGSTOP)
    wait_for(lambda: system.group(GROUP)["term"] > term)
    system.signal(pid, signal.SIGCONT)


def kill_primary(system: System) -> None:
    """Kill the primary."""
    primary = system.group(GROUP)["primary"]
    pid = next(r["pid"] for r in system.endpoints(GROUP) if r["name"] == primary)
    system.signal(pid, signal.SIGKILL)


def reads_at_replicas(system: System) -> int:
    """Return how many reads the replicas served."""
    return sum(
        system.dump(row["name"])["counters"].get("routing.reads_replica", 0)
        for row in system.summary["instances"]
    )


def test_values_and_prepared_statements_follow_the_session(system: System) -> None:
    """Guards against session state that is bound to an instance or leaks to others."""
    callers = [Caller(url) for url in system.proxies]
    headers = system.headers()
    body = json.dumps({"value": "ana"}).encode()
    path = "/v1/session/values/app.user"
    token = callers[0].send("PUT", path, headers, body).token
    shape = {"statement": "SELECT current_setting('app.user', true)", "access": "read"}
    headers = system.headers(token=token)
    body = json.dumps(shape).encode()
    path = "/v1/session/statements/who"
    token = callers[1].send("PUT", path, headers, body).token
    run = json.dumps({"prepared": "who"}).encode()
    path = f"/v1/groups/{GROUP}/statements"
    for caller in 3 * callers:
        answer = system.send(caller, path, system.headers(token=token), run)
        assert answer.status == OK and answer.body["rows"] == [["ana"]]
        other = system.run(caller, shape["statement"])
        assert other.status == OK and other.body["rows"] == [[None]]
