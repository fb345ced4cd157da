"""Real processes with stand-ins of the users' platform, end to end."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from attrs import define, field
from prometheus_client.parser import text_string_to_metric_families

from pimentodrift.dump import fetch_dump
from pimentodrift.stop_times import UNLISTED_AFTER

from .platform_standins import Group, LineDatabase, LoopThread, Store
from .standin_processes import free_ports

ROOT = Path(__file__).resolve().parent.parent
WAIT_S = 30.0
POLL_INTERVAL_S = 0.05
KEY = "key-1"


@define
class Client:
    """A client of the line protocol, one statement at a time."""

    connection: socket.socket
    file: Any
    count: int = 0

    @classmethod
    def open(cls, port: int, database: str = "db", key: str = KEY) -> "Client":
        connection = socket.create_connection(("127.0.0.1", port), WAIT_S)
        client = cls(connection, connection.makefile("rb"))
        client.send(f"STARTUP {database} {key}")
        return client

    def send(self, line: str) -> None:
        self.connection.sendall(line.encode() + b"\r\n")

    def read_line(self) -> str:
        return str(self.file.readline().decode().rstrip("\r\n"))

    def ask(self, text: str) -> list[str]:
        """Send a statement and return its answer's lines without the last one."""
        self.count += 1
        self.send(f"QUERY {id(self):x}{self.count} {text}")
        return self.read_answer()

    def read_answer(self) -> list[str]:
        lines = []
        while not (line := self.read_line()).startswith("READY"):
            if not line:
                return [*lines, "closed"]
            lines.append(line)
        return lines


@define
class System:
    """Instances, a store and a group of three databases."""

    folder: Path
    loop: LoopThread = field(factory=LoopThread)
    store: Store = field(init=False)
    group: Group = field(init=False)
    processes: list[subprocess.Popen[bytes]] = field(factory=list)
    ports: list[tuple[int, int]] = field(factory=list)  # For clients and readiness.
    metrics: list[int] = field(factory=list)
    peers: list[int] = field(factory=list)
    bounds: dict[str, int] = field(factory=dict)  # Further ones of the settings.

    def start(self, count: int) -> None:
        self.store = self.loop.call(Store)
        self.loop.run_coroutine(self.store.start())
        self.group = Group("g", primary="i-1")
        for name in ("i-1", "i-2", "i-3"):
            self.loop.run_coroutine(LineDatabase(self.group, name).start())
        self.store.promote = self.promote
        self.loop.call(self.register_databases)
        self.loop.call(lambda: self.configure([KEY]))
        self.start_instances(count)

    def start_instances(self, count: int) -> None:
        """Start instances and wait until they are ready."""
        for index in range(count):
            self.start_instance(index)
        for _, port in self.ports:
            wait_for(lambda port=port: is_ready(port))

    def promote(self, body: dict[str, Any], token: int) -> int:
        self.group.primary = body["id"]
        self.group.term += 1
        self.register_databases()
        return 200

    def register_databases(self) -> None:
        for name, database in self.group.databases.items():
            self.store.put("servers", name, database.registration())

    def configure(self, keys: list[str], rate: int = 500) -> None:
        route = {
            "name": "r",
            "host": "db",
            "routeKind": "read_your_writes",
            "timeoutMs": 2000,
            "targetLatencyMs": 1000,
            "priority": 1,
            "upstream": "g",
            "maxStalenessMs": 1500,
            "public": False,
        }
        known = self.store.objects.get(("config", "main"))
        tenant = {"name": "t", "apiKeys": keys, "ratePerS": rate, "burst": rate}
        spec = {
            "version": known["spec"]["version"] + 1 if known else 1,
            "routes": [route],
            "upstreams": [{"name": "g", "maxConns": 20}],
            "limits": {"txIdleMs": 3000},
            "tenants": [tenant],
        }
        self.store.put("config", "main", spec)

    def start_instance(self, index: int) -> None:
        front, readiness, peer, metrics = free_ports(4)
        path = self.folder / f"node-{index}.toml"
        path.write_text(
            f'node = "front-{index}"\nregion = "r1"\nzone = "z1"\nip = "127.0.0.1"\n'
            f"portRange = [{peer}, {peer}]\n"
            f'[listen]\nfront = "127.0.0.1:{front}"\n'
            f'readiness = "127.0.0.1:{readiness}"\n'
            f"[limits]\nmaxFds = 4200\n"
            f"[bounds]\ngraceS = 6\nrevokeMs = 5000\nconfigApplyMs = 4000\n"
            + "".join(f"{name} = {value}\n" for name, value in self.bounds.items())
            + f'[platform]\naddress = "{self.store.address}"\n'
            f'[cloudApi]\naddress = "{self.store.address}"\n'
        )
        environment = {
            **os.environ,
            "PIMENTODRIFT_SETTINGS": str(path),
            "PIMENTODRIFT_METRICS_PORT": str(metrics),
        }
        self.metrics.append(metrics)
        self.peers.append(peer)
        log = (self.folder / f"node-{index}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, "platform/main.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.processes.append(process)
        self.ports.append((front, readiness))

    def client(self, index: int = 0, key: str = KEY) -> Client:
        return Client.open(self.ports[index][0], key=key)

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()
        self.loop.stop()


def is_ready(port: int) -> bool:
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/ready") as answer:
            return int(answer.status) == 200
    except OSError:
        return False


def wait_for(condition: Any, interval_s: float = POLL_INTERVAL_S) -> None:
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, "the condition was not met in time"
        time.sleep(interval_s)


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    result = System(tmp_path)
    try:
        result.start(2)
        yield result
    finally:
        result.stop()


def test_session_end_to_end(system: System) -> None:
    """Guards against sessions that are not served from client to database."""
    client = system.client()
    assert client.read_line() == "READY I -"
    assert client.ask("WRITE a one") == ["DONE signed"]
    assert client.ask("READ a") == ["ROW one", "DONE signed"]
    assert client.ask("PREPARE s WRITE shape") == ["DONE -"]
    assert client.ask("BEGIN") == ["DONE -"]
    assert client.ask("EXECUTE s a two") == ["DONE signed"]
    assert client.ask("COMMIT") == ["DONE signed"]
    other = system.client(1)
    assert other.read_line() == "READY I -"
    assert other.ask("READ a") == ["ROW two", "DONE signed"]
    assert system.group.tenants == {"t"}


def test_revoked_key_is_refused(system: System) -> None:
    """Guards against serving a connected client whose key was revoked."""
    client = system.client()
    client.read_line()
    assert client.ask("WRITE a one") == ["DONE signed"]
    system.loop.call(lambda: system.configure(["key-2"]))
    wait_for(lambda: client.ask("READ a")[0].startswith("ERROR NOAUTH"))
    # The other instance has its own watch of the store.
    wait_for(lambda: system.client(1).read_line().startswith("ERROR NOAUTH"))
    second = system.client(1, "key-2")
    assert second.read_line() == "READY I -"


def test_crashed_primary_is_replaced(system: System) -> None:
    """Guards against a group that stays without a primary."""
    client = system.client()
    client.read_line()
    assert client.ask("WRITE a one") == ["DONE signed"]
    system.loop.run_coroutine(system.group.databases["i-1"].crash())
    wait_for(lambda: client.ask("WRITE a two") == ["DONE signed"])
    assert system.group.primary != "i-1"
    assert system.group.writes[-1] and client.ask("READ a")[0] == "ROW two"


def test_graceful_shutdown_answers_running_statements(system: System) -> None:
    """Guards against a shutdown that loses the answer of a running statement."""
    client = system.client()
    client.read_line()
    assert client.ask("WRITE a one") == ["DONE signed"]
    for database in system.group.databases.values():
        database.delay_s = 0.5
    client.send("QUERY 77 WRITE a two")
    wait_for(lambda: (system.folder / "node-0.log").stat().st_size > 0)
    system.processes[0].send_signal(signal.SIGTERM)
    assert client.read_answer() == ["DONE signed"]
    assert client.read_line() == ""
    assert system.processes[0].wait(WAIT_S) == 0
    assert system.group.items["a"] == "two"


def test_graceful_shutdown_sends_what_a_slow_client_has_not_read(
    system: System,
) -> None:
    """Guards against answers that are cut because their session is over."""
    system.group.items["a"] = "x" * 900_000
    client = system.client()
    client.read_line()
    count = 12
    for number in range(count):
        client.send(f"QUERY {number} READ a")
    time.sleep(1.0)
    system.processes[0].send_signal(signal.SIGTERM)
    time.sleep(UNLISTED_AFTER / timedelta(seconds=1) + 0.5)
    answers = [client.read_answer() for _ in range(count)]
    assert answers == [[f"ROW {system.group.items['a']}", "DONE signed"]] * count
    assert client.read_line() == ""
    assert system.processes[0].wait(WAIT_S) == 0


@pytest.mark.parametrize("foreign", [None, "\udcff\udcfe", float("inf")])
def test_restart_after_a_kill(system: System, foreign: object) -> None:
    """Guards against an instance that needs the memory of its previous process.

    The registry may have an entry of another writer that no strict decoder reads.
    """
    client = system.client(1)
    client.read_line()
    if foreign is not None:
        system.loop.call(
            lambda: system.store.put("servers", "x-1", {"upstream": foreign})
        )
    for process in system.processes:
        process.kill()
        process.wait()
    for rows in (system.processes, system.ports, system.metrics, system.peers):
        rows.clear()  # type: ignore[attr-defined]
    system.start_instances(2)
    again = system.client()
    assert again.read_line() == "READY I -"
    wait_for(lambda: again.ask("WRITE a one") == ["DONE signed"])


def signal_action(process: subprocess.Popen[bytes], number: signal.Signals) -> str:
    """Return what a process does with a signal: ignored, caught or default."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    for name, action in (("SigIgn", "ignored"), ("SigCgt", "caught")):
        if int(fields[name], 16) >> (number - 1) & 1:
            return action
    return "default"


def test_settings_may_change_while_an_instance_starts(system: System) -> None:
    """Guards against an instance that a reload ends before it handles the signal."""
    system.start_instance(2)
    process = system.processes[2]
    wait_for(lambda: signal_action(process, signal.SIGHUP) != "default", 0.005)
    assert signal_action(process, signal.SIGHUP) == "ignored"
    process.send_signal(signal.SIGHUP)
    wait_for(lambda: is_ready(system.ports[2][1]))
    wait_for(lambda: signal_action(process, signal.SIGHUP) == "caught")
    process.send_signal(signal.SIGHUP)
    log = system.folder / "node-2.log"
    wait_for(lambda: "settings_reloaded" in log.read_text())
    assert process.poll() is None


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n",
        b"STARTUP db " + b"x" * 2**21,
        b"STARTUP \xff\xff\r\n",
        b"QUERY 1 READ a\r\n",
    ],
)
def test_malformed_input_does_not_stop_an_instance(system: System, data: bytes) -> None:
    """Guards against a client that stops an instance or fills its memory."""
    connection = socket.create_connection(("127.0.0.1", system.ports[0][0]), WAIT_S)
    try:
        connection.sendall(data)
        answer = connection.recv(1000)
    except ConnectionError:
        answer = b""
    assert answer == b"" or answer.startswith(b"ERROR MALFORMED")
    client = system.client()
    assert client.read_line() == "READY I -"


def test_log_lines_are_json(system: System) -> None:
    """Guards against log lines that tools cannot parse, and keys in the log."""
    client = system.client(key="not-a-known-key")
    assert client.read_line().startswith("ERROR NOAUTH")
    log = system.folder / "node-0.log"
    wait_for(lambda: b"session_refused" in log.read_bytes())
    lines = [json.loads(line) for line in log.read_bytes().splitlines()]
    assert all("message_type" in line for line in lines)
    assert b"not-a-known-key" not in log.read_bytes()


def read_metrics(system: System) -> dict[str, float]:
    """Return the counters of the first instance from its metrics."""
    url = f"http://127.0.0.1:{system.metrics[0]}/metrics"
    with urllib.request.urlopen(url) as answer:
        families = text_string_to_metric_families(answer.read().decode())
    return {
        sample.labels.get("name", sample.name): sample.value
        for family in families
        for sample in family.samples
    }


def count_log_events(system: System) -> Counter[str]:
    """Count the first instance's log events, written and left out, by name."""
    result: Counter[str] = Counter()
    text = (system.folder / "node-0.log").read_text()
    for line in text[: text.rfind("\n")].splitlines():
        event = json.loads(line)
        result[event["message_type"].rpartition(":")[2]] += 1
        result.update(event.get("counts", {}))
    return result


def count_answers(lines: Counter[str]) -> int:
    return lines["statement_answered"] + lines["statement_late"]


def test_dump_metrics_and_log_agree(system: System) -> None:
    """Guards against a dump, metrics and log that count requests differently."""
    client = system.client()
    client.read_line()
    for _ in range(5):
        assert client.ask("WRITE a one") == ["DONE signed"]
    assert system.client(key="not-a-key").read_line().startswith("ERROR NOAUTH")
    system.loop.call(lambda: system.configure([KEY], rate=1))
    while (line := client.ask("READ a")[-1]).startswith("DONE"):
        time.sleep(POLL_INTERVAL_S)
    assert "over its rate" in line
    metrics = read_metrics(system)
    wait_for(
        lambda: (
            count_answers(count_log_events(system)) == metrics["operations.answered"]
        )
    )
    wait_for(
        lambda: (
            count_log_events(system)["statement_refused"] == metrics["rates.refused"]
        )
    )
    lines, dump = count_log_events(system), fetch_dump(f"127.0.0.1:{system.peers[0]}")
    assert metrics["pimentodrift_statement_seconds_count"] == count_answers(lines)
    assert metrics["rates.refused"] == 1
    assert lines["session_refused"] == 1
    assert metrics["sessions.opened"] == 2
    for name in ("operations.answered", "rates.refused", "sessions.opened"):
        assert dump["counters"][name] == metrics[name]
    assert len(dump["sessions"]) == 1


def test_dump_has_no_keys(system: System) -> None:
    """Guards against printing keys in a dump."""
    client = system.client(key="key-1")
    client.read_line()
    assert client.ask("WRITE a one") == ["DONE signed"]
    dump = fetch_dump(f"127.0.0.1:{system.peers[0]}")
    assert "key-1" not in json.dumps(dump)
