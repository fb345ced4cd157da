"""Runs the stand-ins as processes and calls them, for tests."""

import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import SystemRandom
from typing import Any

import psycopg
from attrs import define, field

from pimentodrift.local_layout import reserve_block

TIMEOUT_S = 20  # Ends a test that would wait forever; no result depends on it.


unused_ports: deque[int] = deque()


def free_ports(count: int) -> list[int]:
    return [free_port() for _ in range(count)]


def free_port() -> int:
    """Return a port that no other test run gets, below those of connections."""
    while not unused_ports:
        unused_ports.extend(reserve_block(SystemRandom()))
    return unused_ports.popleft()


def wait_for(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition never held"
        time.sleep(0.005)


@define
class Processes:
    running: list[subprocess.Popen[str]] = field(factory=list)

    def start(self, module: str, *arguments: object) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *map(str, arguments)],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.running.append(process)
        assert process.stdout is not None
        assert process.stdout.readline() == "ready\n"
        return process

    def start_database(self, name: str, *arguments: object) -> "Endpoint":
        sql, replication = free_ports(2)
        process = self.start(
            "database_server",
            *("--name", name, "--listen", f"127.0.0.1:{sql}"),
            *("--replication-listen", f"127.0.0.1:{replication}", *arguments),
        )
        return Endpoint(name, sql, replication, process)

    def start_group(self, *arguments: object) -> list["Endpoint"]:
        primary = self.start_database("a", "--primary", *arguments)
        address = f"127.0.0.1:{primary.replication_port}"
        followers = [
            self.start_database(name, "--follow", address, *arguments) for name in "bc"
        ]
        for follower in followers:
            wait_for(lambda name=follower.name: name in primary.acknowledged())
        return [primary, *followers]


@define
class Endpoint:
    name: str
    sql_port: int
    replication_port: int
    process: subprocess.Popen[str]

    def connect(self) -> psycopg.Connection[Any]:
        conninfo = f"host=127.0.0.1 port={self.sql_port} user=test dbname=test"
        return psycopg.connect(conninfo, autocommit=True)

    def run(self, text: str, *parameters: object) -> list[Any]:
        with self.connect() as connection:
            cursor = connection.execute(text, parameters or None)
            return cursor.fetchall() if cursor.description else []

    def status(self) -> tuple[str, int, int, int]:
        (row,) = self.run("SELECT role, term, received, replayed FROM group_status()")
        return row  # type: ignore[no-any-return]

    def acknowledged(self) -> dict[str, tuple[int, int]]:
        rows = self.run("SELECT endpoint, term, received FROM group_replicas()")
        return {name: (term, received) for name, term, received in rows}

    def fence(self, term: int) -> Any:
        text = "SELECT accepted, last_term, received FROM group_fence(%s)"
        return self.run(text, term)[0]

    def promote(self, term: int) -> Any:
        text = "SELECT accepted, start_position FROM group_promote(%s)"
        return self.run(text, term)[0]

    def follow(self, term: int, primary: "Endpoint", start: int) -> Any:
        text = "SELECT accepted FROM group_follow(%s, %s, %s, %s)"
        return self.run(text, term, "127.0.0.1", primary.sql_port, start)[0][0]

    def set_control(self, name: str, value: int) -> None:
        self.run("SELECT standin_set(%s, %s)", name, value)


@contextmanager
def running_processes() -> Iterator[Processes]:
    result = Processes()
    try:
        yield result
    finally:
        for process in result.running:
            process.terminate()
        for process in result.running:
            process.wait()
            assert process.stdout is not None
            process.stdout.close()
