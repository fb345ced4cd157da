"""Demonstrates the whole path on one machine (`make demo`).

It starts `pimentodrift local`, writes through one instance and reads the own write
through another, kills the primary's database, and writes and reads again. The exit
status is 0 only if every own write was read and writes went on after the kill.
"""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from itertools import cycle
from statistics import median
from tempfile import TemporaryFile
from time import monotonic, sleep
from types import FrameType
from typing import Any, NoReturn
from urllib.parse import urlsplit
from uuid import uuid4

from attrs import define, field, frozen

GROUP = "certificates"
WORKSPACE = "kapalicarsi-market"
ROUNDS = 30
STOP_SECONDS = 30
TOTAL_SECONDS = 55
SHOWN_LINES = 20
CALL_SECONDS = 12
WRITE_AGAIN_SECONDS = 10
RETRY_SECONDS = 0.02
OK = 200

CREATE = "CREATE TABLE certificates (serial TEXT PRIMARY KEY, owner TEXT)"
INSERT = "INSERT INTO certificates (serial, owner) VALUES ($1, $2)"
SELECT = "SELECT owner FROM certificates WHERE serial = $1"
COUNT = "SELECT count(*) FROM certificates"


class DemoFailed(Exception):
    """A step did not do what it must."""


@frozen
class Answer:
    """An answer of an instance; status 0 if there was none."""

    status: int
    body: dict[str, Any]
    token: str | None


@define
class Session:
    """A caller that carries its session token from instance to instance."""

    key: str
    token: str | None = None
    attempts: int = 0

    def run(self, proxy: str, statement: str, *parameters: str, access: str) -> Answer:
        """Run a statement through an instance; repeat a write without an answer."""
        idempotency_key = str(uuid4())
        deadline = monotonic() + WRITE_AGAIN_SECONDS
        while True:
            answer = self.call(proxy, statement, parameters, access, idempotency_key)
            if answer.status == OK:
                self.token = answer.token or self.token
                return answer
            if monotonic() > deadline:
                raise DemoFailed(f"{proxy}: {answer.status} {answer.body}")
            sleep(RETRY_SECONDS)

    def call(
        self,
        proxy: str,
        statement: str,
        parameters: tuple[str, ...],
        access: str,
        idempotency_key: str,
    ) -> Answer:
        """Send one request."""
        self.attempts += 1
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        if self.token:
            headers["Session-Token"] = self.token
        if access == "write":
            headers["Idempotency-Key"] = idempotency_key
        body = {"statement": statement, "parameters": parameters, "access": access}
        return post(proxy, f"/v1/groups/{GROUP}/statements", headers, body)


def post(proxy: str, path: str, headers: dict[str, str], body: object) -> Answer:
    """Send a POST request on a connection of its own."""
    connection = HTTPConnection(urlsplit(proxy).netloc, timeout=CALL_SECONDS)
    try:
        connection.request("POST", path, json.dumps(body), headers)
        answer = connection.getresponse()
        content = json.loads(answer.read() or b"{}")
        return Answer(answer.status, content, answer.getheader("Session-Token"))
    except (OSError, HTTPException, ValueError) as error:
        return Answer(0, {"detail": str(error)}, None)
    finally:
        connection.close()


@define
class Demo:
    """The running system and what was measured on it."""

    system: dict[str, Any]
    writes: int = 0
    write_times: list[float] = field(factory=list)
    read_times: list[float] = field(factory=list)

    @property
    def proxies(self) -> list[str]:
        """Return the instances' base URLs."""
        return list(self.system["proxies"])

    def session(self) -> Session:
        """Begin a session."""
        return Session(self.system["keys"][WORKSPACE])

    def write_and_read(self, session: Session, writer: str, reader: str) -> None:
        """Write through one instance and read the own write through another."""
        self.writes += 1
        serial, owner = f"bag-{self.writes}", f"owner-{self.writes}"
        started = monotonic()
        session.run(writer, INSERT, serial, owner, access="write")
        written = monotonic()
        answer = session.run(reader, SELECT, serial, access="read")
        self.write_times.append(written - started)
        self.read_times.append(monotonic() - written)
        if answer.body.get("rows") != [[owner]]:
            raise DemoFailed(f"own write {serial} not read at {reader}: {answer.body}")

    def rounds(self) -> None:
        """Write and read through changing pairs of instances."""
        session = self.session()
        for _, (writer, reader) in zip(
            range(ROUNDS), pairs(self.proxies), strict=False
        ):
            self.write_and_read(session, writer, reader)

    def kill_primary(self) -> tuple[str, float, int]:
        """Kill the primary's database; return its name, the gap and the attempts."""
        primary = next(
            endpoint
            for endpoint in self.system["endpoints"]
            if endpoint["group"] == GROUP and endpoint["role"] == "primary"
        )
        os.kill(primary["pid"], signal.SIGKILL)
        killed = monotonic()
        session = self.session()
        self.writes += 1
        serial = f"bag-{self.writes}"
        session.run(self.proxies[0], INSERT, serial, "after", access="write")
        return primary["name"], monotonic() - killed, session.attempts

    def count(self) -> int:
        """Count the certificates, in a new session: it reads from the primary."""
        answer = self.session().run(self.proxies[-1], COUNT, access="read")
        return int(answer.body["rows"][0][0])


def pairs(proxies: list[str]) -> Iterator[tuple[str, str]]:
    """Yield pairs of different instances, each instance in both roles."""
    for index in cycle(range(len(proxies))):
        yield proxies[index], proxies[(index + 1) % len(proxies)]


@contextmanager
def local_system() -> Iterator[dict[str, Any]]:
    """Run `pimentodrift local`, and stop it at the end."""
    command = [sys.executable, "-m", "pimentodrift", "local", "--deployment", "kanitli"]
    with TemporaryFile("w+") as log:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
        try:
            yield json.loads(first_line(process))
        except DemoFailed:
            log.seek(0)
            sys.stderr.writelines(log.readlines()[-SHOWN_LINES:])
            raise
        finally:
            stop(process)


def first_line(process: "subprocess.Popen[bytes]") -> bytes:
    """Wait for the line that `local` prints when it is ready."""
    line = process.stdout.readline() if process.stdout else b""
    if not line:
        raise DemoFailed(f"local ended with status {process.wait()}")
    return line


def stop(process: "subprocess.Popen[bytes]") -> None:
    """Ask `local` to stop its children and itself."""
    signal.alarm(0)
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()


def time_out(number: int, frame: FrameType | None) -> NoReturn:
    """End a demonstration that takes too long."""
    raise DemoFailed(f"not done within {TOTAL_SECONDS} s")


def show(started: float, text: str) -> None:
    """Print a step with the time since the start."""
    print(f"{monotonic() - started:5.1f} s  {text}", flush=True)


def milliseconds(times: list[float]) -> str:
    """Describe durations in milliseconds."""
    return f"median {median(times) * 1000:.1f} ms, worst {max(times) * 1000:.1f} ms"


def run(started: float) -> None:
    """Carry out the steps."""
    with local_system() as system:
        demo = Demo(system)
        databases = len(system["endpoints"])
        show(started, f"{len(demo.proxies)} instances, {databases} databases are ready")
        demo.session().run(demo.proxies[0], CREATE, access="write")
        demo.rounds()
        show(started, f"{demo.writes} own writes read through another instance")
        show(started, f"  write: {milliseconds(demo.write_times)}")
        show(started, f"  read:  {milliseconds(demo.read_times)}")
        name, gap, attempts = demo.kill_primary()
        show(started, f"killed the primary {name}")
        show(started, f"  next write after {gap * 1000:.0f} ms, {attempts} attempts")
        demo.rounds()
        show(started, f"{ROUNDS} more own writes read through another instance")
        counted = demo.count()
        show(started, f"{counted} rows of {demo.writes} acknowledged writes")
        if counted != demo.writes:
            raise DemoFailed("acknowledged writes are missing or doubled")


def main() -> int:
    """Run the demonstration and return the exit status."""
    started = monotonic()
    signal.signal(signal.SIGALRM, time_out)
    signal.alarm(TOTAL_SECONDS)
    try:
        run(started)
    except DemoFailed as error:
        show(started, f"FAILED: {error}")
        return 1
    show(started, "done")
    return 0


if __name__ == "__main__":
    sys.exit(main())
