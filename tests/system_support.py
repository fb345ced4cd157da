"""Runs `pimentodrift local` for the system tests and calls its processes.

The tests wait for conditions with long timeouts; no result depends on speed.
"""

import base64
import json
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from urllib.parse import urlsplit

import msgpack
import psycopg
from attrs import define, field, frozen

from pimentodrift.dump import fetch_dump
from pimentodrift.keys import digest
from pimentodrift.local import EXAMPLES

TEST_TIMEOUT_S = 60  # Ends a test that would wait forever; no result depends on it.
CALL_TIMEOUT_S = 30  # Above the instances' request timeout of 10 s.
STOP_TIMEOUT_S = 40  # Above the time that `local` gives its instances.
MARKET = "kapalicarsi-market"
OK = 200


@frozen
class Answer:
    """The answer to a request; status 0 if the connection ended without one."""

    status: int
    body: Any = None
    token: str | None = None
    headers: dict[str, str] = field(factory=dict)
    raw: bytes = b""

    @property
    def outcome(self) -> str:
        """Return whether the statement ran: "ran", "not_run" or "unknown"."""
        if self.status == OK:
            return "ran"
        return str(self.body["outcome"]) if self.status else "unknown"

    @property
    def problem(self) -> str:
        """Return the last part of a refusal's problem type; empty if it ran."""
        if self.status in (0, OK):
            return ""
        return str(self.body["type"]).rpartition("/")[2]


@define
class Caller:
    """A caller with a persistent connection, which it reopens after it has ended."""

    url: str
    connection: HTTPConnection | None = None

    def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes | None = None
    ) -> Answer:
        """Send one request, without retrying it."""
        if self.connection is None:
            netloc = urlsplit(self.url).netloc
            self.connection = HTTPConnection(netloc, timeout=CALL_TIMEOUT_S)
        try:
            self.connection.request(method, path, body, headers)
            answer = self.connection.getresponse()
            raw = answer.read()
        except (OSError, HTTPException) as error:
            self.close()
            return Answer(0, repr(error))
        found = {name.lower(): value for name, value in answer.getheaders()}
        if found.get("connection") == "close":
            self.close()
        is_json = "json" in found.get("content-type", "")
        content = json.loads(raw) if is_json else None
        return Answer(answer.status, content, found.get("session-token"), found, raw)

    def close(self) -> None:
        """End the connection."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


@define
class System:
    """The running processes of `pimentodrift local`."""

    summary: dict[str, Any]  # The line of JSON that `local` prints.
    log: Path  # The standard error of `local` and its instances.
    paused: set[int] = field(factory=set)  # Processes stopped with SIGSTOP.

    @property
    def proxies(self) -> list[str]:
        """Return the instances' base URLs."""
        return list(self.summary["proxies"])

    def instance(self, name: str) -> dict[str, Any]:
        """Return the description of an instance."""
        return next(row for row in self.summary["instances"] if row["name"] == name)

    def endpoints(self, group: str) -> list[dict[str, Any]]:
        """Return the descriptions of a group's endpoints."""
        return [row for row in self.summary["endpoints"] if row["group"] == group]

    # --- Callers

    def run(  # noqa: PLR0917
        self,
        proxy: str | Caller,
        statement: str,
        *parameters: Any,
        access: str = "read",
        group: str = "certificates",
        workspace: str = MARKET,
        key: str | None = None,
        token: str | None = None,
        idempotency_key: str = "",
        transaction: str = "",
        max_age_ms: int | None = 0,
    ) -> Answer:
        """Send one statement; by default a read allows no staleness."""
        headers = self.headers(workspace, key, token)
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        content: dict[str, Any] = {
            "statement": statement,
            "parameters": parameters,
            "access": access,
        }
        if max_age_ms is not None:
            content["max_age_ms"] = max_age_ms
        if transaction:
            content["transaction"] = transaction
        path = f"/v1/groups/{group}/statements"
        return self.send(proxy, path, headers, json.dumps(content).encode())

    def headers(
        self, workspace: str = MARKET, key: str | None = None, token: str | None = None
    ) -> dict[str, str]:
        """Return the headers with a workspace's key and a session token."""
        text = self.summary["keys"][workspace] if key is None else key
        headers = {"Content-Type": "application/json"}
        if text:
            headers["Authorization"] = f"Bearer {text}"
        if token:
            headers["Session-Token"] = token
        return headers

    def send(
        self, proxy: str | Caller, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Send a POST request: to a URL on a new connection, or through a caller."""
        if isinstance(proxy, Caller):
            return proxy.send("POST", path, headers, body)
        caller = Caller(proxy)
        try:
            return caller.send("POST", path, headers, body)
        finally:
            caller.close()

    def create_table(self, table: str, group: str = "certificates") -> None:
        """Create a table with one column `value`, which is not unique."""
        text = f"CREATE TABLE IF NOT EXISTS {table} (value TEXT)"
        wait_for(
            lambda: (
                self.run(
                    self.proxies[0],
                    text,
                    access="write",
                    group=group,
                ).status
                == OK
            )
        )

    def values(
        self, proxy: str, table: str, group: str = "certificates"
    ) -> dict[str, int]:
        """Return the number of rows with each value, as a new session reads them."""
        found: list[Answer] = []

        def read() -> bool:
            text = f"SELECT value, count(*) FROM {table} GROUP BY value"
            found.append(self.run(proxy, text, group=group))
            return found[-1].status == OK

        wait_for(read)
        return {value: int(number) for value, number in found[-1].body["rows"]}

    # --- Processes

    def signal(self, pid: int, number: int) -> None:
        """Send a signal to one of the processes."""
        os.kill(pid, number)
        if number == signal.SIGSTOP:
            self.paused.add(pid)
        else:
            self.paused.discard(pid)

    def resume_all(self) -> None:
        """Resume the processes that a test has left paused."""
        for pid in list(self.paused):
            self.signal(pid, signal.SIGCONT)

    # --- Endpoints

    def run_sql(self, endpoint: str, text: str, *parameters: Any) -> list[Any]:
        """Run a statement on an endpoint directly, bypassing the instances."""
        row = next(row for row in self.summary["endpoints"] if row["name"] == endpoint)
        host, _, port = row["address"].partition(":")
        conninfo = f"host={host} port={port} user=test dbname=test connect_timeout=20"
        with psycopg.connect(conninfo, autocommit=True) as connection:
            cursor = connection.execute(text, parameters or None)
            return cursor.fetchall() if cursor.description else []

    def set_control(self, endpoint: str, name: str, value: int) -> None:
        """Set a control of a database stand-in."""
        self.run_sql(endpoint, "SELECT standin_set(%s, %s)", name, value)

    def status(self, endpoint: str) -> tuple[str, int, int, int]:
        """Return role, term, received and replayed of an endpoint."""
        text = "SELECT role, term, received, replayed FROM group_status()"
        (row,) = self.run_sql(endpoint, text)
        return (str(row[0]), int(row[1]), int(row[2]), int(row[3]))

    def counts(self, endpoint: str) -> dict[str, int]:
        """Return the counters of an endpoint."""
        rows = self.run_sql(endpoint, "SELECT name, value FROM standin_counts()")
        return {str(name): int(value) for name, value in rows}

    # --- Store

    def call_store(
        self, method: str, path: str, body: Any = None, **headers: str
    ) -> Any:
        """Call the store; return the status and the decoded body."""
        netloc = urlsplit(self.summary["platform"]).netloc
        connection = HTTPConnection(netloc, timeout=CALL_TIMEOUT_S)
        try:
            data = None if body is None else json.dumps(body)
            named = {name.replace("_", "-"): text for name, text in headers.items()}
            connection.request(method, path, data, named)
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        finally:
            connection.close()

    def object(self, kind: str, name: str) -> dict[str, Any]:
        """Return an object of the store with its version."""
        status, item = self.call_store("GET", f"/v1/objects/{kind}/{name}")
        assert status == OK, item
        return dict(item)

    def objects(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the values of all objects of a kind by name."""
        _, found = self.call_store("GET", "/v1/objects?after=0&wait_ms=0")
        return {
            item["name"]: item["value"]
            for item in found["items"]
            if item["kind"] == kind and item["value"] is not None
        }

    def update_object(self, kind: str, name: str, **values: Any) -> None:
        """Update fields of an object, retrying after conflicting writes."""

        def put() -> bool:
            item = self.object(kind, name)
            path = f"/v1/objects/{kind}/{name}"
            version = str(item["version"])
            body = {**item["value"], **values}
            return bool(self.call_store("PUT", path, body, If_Match=version)[0] == OK)

        wait_for(put)

    def set_faults(self, **values: Any) -> None:
        """Inject faults into the store."""
        assert self.call_store("POST", "/standin/faults", values)[0] == OK

    def group(self, name: str) -> dict[str, Any]:
        """Return the value of a group's object in the store."""
        return dict(self.object("group", name)["value"])

    def dump(self, instance: str) -> dict[str, Any]:
        """Return the state of an instance, as the `dump` command prints it."""
        return fetch_dump(self.instance(instance)["peer_address"])

    def wait_replicated(self, group: str) -> None:
        """Wait until all endpoints of a group have and have replayed the same log."""

        def is_replicated() -> bool:
            rows = [self.status(row["name"]) for row in self.endpoints(group)]
            return len({row[1:] for row in rows}) == 1 and {row[0] for row in rows} == {
                "primary",
                "replica",
            }

        wait_for(is_replicated)


def run_command(*arguments: str) -> "subprocess.CompletedProcess[str]":
    """Run a subcommand of pimentodrift."""
    return subprocess.run(
        [sys.executable, "-m", "pimentodrift", *arguments],
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )


def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + TEST_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.02)


@contextmanager
def running_system(*arguments: str, **variables: str) -> Iterator[System]:
    """Run `pimentodrift local`; at the end resume paused processes and stop it."""
    with TemporaryDirectory(prefix="pimentodrift-proofs-") as directory:
        log = Path(directory) / "log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "pimentodrift", "local", *arguments],
                stdout=subprocess.PIPE,
                stderr=output,
                env={**os.environ, **variables},
            )
        assert process.stdout is not None
        try:
            line = process.stdout.readline()
            assert line, log.read_text()
            system = System(json.loads(line), log)
            try:
                yield system
            finally:
                system.resume_all()
        finally:
            stop_local(process)
            process.stdout.close()


def stop_local(process: "subprocess.Popen[bytes]") -> None:
    """Stop `local`; the second signal makes it stop without waiting for requests."""
    process.send_signal(signal.SIGTERM)
    time.sleep(0.1)
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def write_service_files(
    system: System, directory: Path, keys: dict[str, str]
) -> list[Path]:
    """Write the example files with the digests of the current keys.

    `keys` has the workspaces that get another key. Return the directories of the
    services.
    """
    current = {**system.summary["keys"], **keys}
    services = []
    for source in sorted((EXAMPLES / "kanitli").glob("*")):
        text = (source / "workspaces.yaml").read_text()
        for name, key in current.items():
            pattern = rf"(\n  {name}:\n(?:.*\n)*?    keys:\n      - )[0-9a-f]{{64}}"
            text = re.sub(pattern, rf"\g<1>{digest(key)}", text)
        target = directory / source.name
        target.mkdir(parents=True, exist_ok=True)
        (target / "workspaces.yaml").write_text(text)
        services.append(target)
    return services


def publish(system: System, *directories: Path) -> "subprocess.CompletedProcess[str]":
    """Run the `publish` command."""
    names = map(str, directories)
    return run_command("publish", "--platform", system.summary["platform"], *names)


def owner_of(transaction: str) -> str:
    """Return the name of the owner that a transaction's id contains."""

    padded = transaction + "=" * (-len(transaction) % 4)
    name, *_ = msgpack.unpackb(base64.urlsafe_b64decode(padded))
    return str(name)
