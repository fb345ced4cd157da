"""Stand-ins of the users' platform for the cases of the review, and the case's frame.

Store, promote call, databases and clients follow the users' pages and need only the
standard library. Everything listens on loopback addresses and free ports. A case starts
the instances with the `run` line of the deploy file and ends them by their ids.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# `run.sh` exits with 1 for BROKEN; Python itself exits with 1 after an error.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
OK, CREATED, NOT_FOUND, CONFLICT, GONE, UNAVAILABLE = 200, 201, 404, 409, 410, 503
HISTORY = 5000
# The lag of a replica, as on the sheets: spread 0.6, six times the mean at the most.
LAG_SPREAD, MAX_LAG_FACTOR, LAG_CHANGES_S = 0.6, 6.0, 1.0
PORT_RANGE = (12_000, 30_000)
GIVEN_PORTS: set[int] = set()
START_LIMIT_S = 25.0
RUN_LIMIT_S = 115.0
END_LIMIT_S = 3.0


def trouble_is_on() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.began

    def write(self, what: str, *details: object) -> float:
        """Write a line and return its time."""
        now = self.now()
        text = " ".join(map(str, details))
        self.file.write(f"{now:9.3f} {what} {text}\n")
        return now

    def say(self, what: str, *details: object) -> None:
        """Write a line, and show it too."""
        self.write(what, *details)
        print(what, *details, flush=True)


# --- The platform's store and its promote call


@dataclass
class Store:
    """Objects by kind and name, with revisions, conditions and watches."""

    record: Record
    revision: int = 10
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    services: dict[str, "Service"] = field(default_factory=dict)
    tokens: dict[str, int] = field(default_factory=dict)
    version: int = 0
    address: str = ""

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> dict:
        """Create or replace an object; return it."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1}
        meta |= {"finalizers": [], "deleting": False}
        value = {"meta": meta, "spec": spec, "status": status}
        self.objects[kind, name] = value
        self.notify(kind, value, False)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name), None)
        if value is None:
            return
        self.revision += 1
        meta = {**value["meta"], "revision": self.revision}
        self.notify(kind, {**value, "meta": meta}, True)

    def notify(self, kind: str, value: dict, deleted: bool) -> None:
        """Keep an event and wake the watches."""
        self.events.append((self.revision, kind, value, deleted))
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def configure(self, spec: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self.version += 3
        self.put("config", "main", {**spec, "version": self.version})
        self.record.write("config-acked", self.version)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = address_of(server)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of a connection in turn."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ")
                pairs = (line.partition(":") for line in lines if line)
                headers = {name.lower(): value.strip() for name, _, value in pairs}
                length = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(length) or "null")
                status, value = await self.answer(method, target, headers, body)
                data = json.dumps(value).encode()
                reason = REASONS.get(status, "-")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Return status and body of the response to a request."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        match method, parts:
            case "POST", ["promote"]:
                return await self.promote(headers, body)
            case "GET", ["objects", kind] if "watch" in query:
                return await self.watch(kind, query)
            case "GET", ["objects", kind]:
                return OK, self.list_kind(kind, query)
            case "GET", ["objects", kind, name]:
                value = self.objects.get((kind, name))
                return (OK, value) if value else (NOT_FOUND, {})
            case "POST", ["objects", kind]:
                return self.create(kind, body)
            case "PUT", ["objects", kind, name]:
                return self.replace(kind, name, body)
            case "DELETE", ["objects", kind, name]:
                return self.delete(kind, name, query)
        return NOT_FOUND, {}

    def list_kind(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        """Return the objects of a kind."""
        after = query.get("after", "")
        names = sorted(name for known, name in self.objects if known == kind)
        items = [self.objects[kind, name] for name in names if name > after]
        return {"items": items, "hasMore": False, "currentRev": self.revision}

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Return the changes of a kind, waiting for one."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.events and since < self.events[0][0] - 1 - HISTORY:
                return GONE, {}
            events = [
                {"object": value, "deleted": deleted}
                for revision, known, value, deleted in self.events
                if known == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return OK, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def create(self, kind: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Create an object unless it exists."""
        name = body["meta"]["name"]
        known = self.objects.get((kind, name))
        if known is not None:
            return CONFLICT, known
        return CREATED, self.put(kind, name, body["spec"])

    def replace(self, kind: str, name: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Replace an object if the condition holds."""
        known = self.objects.get((kind, name))
        if known is None:
            return NOT_FOUND, {}
        wanted = body["meta"].get("revision")
        if wanted is not None and wanted != known["meta"]["revision"]:
            return CONFLICT, known
        if known["spec"] == body["spec"]:
            return OK, known
        return OK, self.put(kind, name, body["spec"])

    def delete(self, kind: str, name: str, query: dict[str, str]) -> tuple[int, Any]:
        """Delete an object if the condition holds."""
        known = self.objects.get((kind, name))
        if known is None:
            return NOT_FOUND, {}
        wanted = query.get("revision")
        if wanted is not None and int(wanted) != known["meta"]["revision"]:
            return CONFLICT, known
        self.remove(kind, name)
        return OK, known

    async def promote(
        self, headers: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        """Make a database its service's primary."""
        service = self.services.get(body["upstream"])
        token = int(headers["x-pimentodrift-fence-token"])
        holder = headers["x-pimentodrift-duty-holder"]
        self.record.write("promote-call", body["upstream"], body["id"], token, holder)
        if service is None or token < self.tokens.get(service.name, 0):
            return CONFLICT, {}
        database = service.databases.get(body["id"])
        if database is None or not database.is_running:
            return CONFLICT, {}
        self.tokens[service.name] = token
        if service.primary is not database:
            await asyncio.sleep(service.promote_s)
            service.promote(database)
        return OK, {}


# --- Databases


@dataclass(eq=False)
class Commit:
    """A commit that wrote: its id, and what it wrote."""

    term: int
    number: int
    statement: str
    writes: list[tuple[str, str]]
    tenant: str


@dataclass
class Service:
    """A primary and its replicas."""

    name: str
    store: Store
    record: Record
    sync: int = 0
    promote_s: float = 0.3
    slots: int = 5
    lag_s: float = 0.008
    term: int = 3
    primary: "Database | None" = None
    databases: dict[str, "Database"] = field(default_factory=dict)
    acked: list[Commit] = field(default_factory=list)
    # Seconds that a commit needs from one database to another.
    transit_s: Callable[["Database", "Database"], float] = lambda _a, _b: 0.002
    on_promoted: Callable[["Database"], None] = lambda _database: None

    async def add(self, name: str, zone: str) -> "Database":
        """Start a database; the first one is the primary."""
        database = Database(self, name, zone)
        await database.start()
        self.databases[name] = database
        if self.primary is None:
            self.primary = database
        else:
            database.log = list(self.primary.log)
            database.applied = len(database.log)
        database.register()
        return database

    async def replace(self, old: "Database", name: str) -> None:
        """End a database; start a new one with its log at its address."""
        old.stop()
        del self.databases[old.name]
        database = Database(self, name, old.zone, list(old.log), old.applied)
        port = int(old.address.rpartition(":")[2])
        await database.start(port)
        self.databases[name] = database
        # What was committed since it ended comes from the primary.
        assert self.primary is not None
        database.log = list(self.primary.log)
        database.apply_all()
        database.register()

    def promote(self, database: "Database") -> None:
        """Let a database lead the next term with what it has received."""
        self.term += 1
        old, self.primary = self.primary, database
        known = {(commit.term, commit.number) for commit in database.log}
        database.applied = len(database.log)
        self.record.write("promoted", self.name, database.name, self.term)
        self.on_promoted(database)
        for other in self.databases.values():
            if other is database:
                continue
            other.log = [c for c in other.log if (c.term, c.number) in known]
            for commit in database.log[len(other.log) :]:
                other.log.append(commit)
            other.applied = min(other.applied, len(other.log))
            other.apply_all()
        for other in (database, old):
            if other is not None and other.is_running:
                other.register()


@dataclass(eq=False)
class Database:
    """A database of a service, over the line protocol."""

    service: Service
    name: str
    zone: str
    log: list[Commit] = field(default_factory=list)  # What it has received.
    applied: int = 0
    lag_now_s: float = 0.0
    lag_until: float = 0.0
    state: str = "ready"
    is_running: bool = True
    sequence: int = 1
    born: int = 0
    address: str = ""
    work_s: Callable[[str], float] = lambda _text: 0.004
    slots: asyncio.Semaphore | None = None
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    on_run: Callable[["Database", str, str], None] = lambda _d, _i, _t: None
    session_type: Any = None

    async def start(self, port: int = 0) -> None:
        """Listen, on a free port unless one is given."""
        self.slots = asyncio.Semaphore(self.service.slots)
        self.session_type = self.session_type or DatabaseSession
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.address = address_of(self.server)

    @property
    def is_primary(self) -> bool:
        """Return whether it leads."""
        return self.service.primary is self

    def register(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        spec = {
            "upstream": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.service.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self.born,
        }
        self.service.store.put("servers", self.name, spec)
        self.service.record.write("registered", self.name, spec["dbRole"], self.state)

    def stop(self) -> None:
        """End the database; its entry goes too."""
        self.is_running = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.service.store.remove("servers", self.name)
        self.service.record.write("stopped", self.name)

    def position(self) -> str:
        """Return the end of what reads see."""
        if self.is_primary:
            return f"{self.service.term}.{len(self.log)}"
        if not self.applied:
            return f"{self.service.term}.0"
        last = self.log[self.applied - 1]
        return f"{last.term}.{last.number}"

    def receive(self, commit: Commit, term: int) -> bool:
        """Add a commit from the primary; apply it later."""
        if not self.is_running or self.service.term != term or self.is_primary:
            return False
        if any(known.number == commit.number for known in self.log[-200:]):
            return True
        self.log.append(commit)
        self.log.sort(key=lambda item: item.number)
        asyncio.get_running_loop().call_later(self.lag_s(), self.apply_to, commit)
        return True

    def lag_s(self) -> float:
        """Return how long a received commit waits until it is applied, for now."""
        now = time.monotonic()
        if now >= self.lag_until:
            self.lag_until = now + LAG_CHANGES_S
            factor = random.lognormvariate(-LAG_SPREAD * LAG_SPREAD / 2, LAG_SPREAD)
            self.lag_now_s = self.service.lag_s * min(factor, MAX_LAG_FACTOR)
        return self.lag_now_s

    def apply_to(self, commit: Commit) -> None:
        """Apply the log up to a commit, unless that has been dropped."""
        if commit in self.log:
            self.applied = max(self.applied, self.log.index(commit) + 1)

    def apply_all(self) -> None:
        """Apply the whole log a moment later."""

        def apply() -> None:
            self.applied = len(self.log)

        asyncio.get_running_loop().call_later(self.service.lag_s, apply)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        self.writers.add(writer)
        session = self.session_type(self)
        try:
            while line := await reader.readline():
                if not await session.handle(line.decode().rstrip("\r\n"), writer):
                    break
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass(eq=False)
class DatabaseSession:
    """A connection to a database; closing it rolls back."""

    database: Database
    tenant: str = ""
    state: str = "I"
    may_write: bool = False
    pending: list[tuple[str, str, str]] = field(default_factory=list)
    prepared: dict[str, str] = field(default_factory=dict)
    term: int = 0

    async def handle(self, line: str, writer: asyncio.StreamWriter) -> bool:
        """Answer a line; return whether the connection goes on."""
        database = self.database
        word, _, rest = line.partition(" ")
        if word == "TERMINATE":
            return False
        if word == "STARTUP":
            service, self.tenant, *named = rest.split(" ")
            if service != database.service.name or named not in ([], [database.name]):
                writer.write(b"ERROR WRONGNODE -\r\n")
                return False
            writer.write(f"READY I {database.position()}\r\n".encode())
            return True
        statement, _, text = rest.partition(" ")
        try:
            lines = await self.run(statement, text)
        except asyncio.CancelledError:
            return False
        lines.append(f"READY {self.state} {database.position()}")
        writer.write("".join(f"{line}\r\n" for line in lines).encode())
        return True

    async def work(self, statement: str, text: str) -> None:
        """Occupy a slot for the time of a statement."""
        database = self.database
        assert database.slots is not None
        async with database.slots:
            database.service.record.write("run", database.name, statement, text)
            database.on_run(database, statement, text)
            await asyncio.sleep(database.work_s(text))

    def lacks(self, wanted: str) -> bool:
        """Return whether the log lacks a position."""
        term, number = map(int, wanted.split("."))
        if self.database.is_primary:
            return (
                number > len(self.database.log) and term >= self.database.service.term
            )
        seen = self.database.log[: self.database.applied]
        return bool(number) and not any(
            (commit.term, commit.number) >= (term, number) for commit in seen
        )

    async def run(self, statement: str, text: str) -> list[str]:  # noqa: PLR0912
        """Run a statement; return the lines of its answer."""
        database = self.database
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            wanted, _, text = rest.partition(" ")
            if self.lacks(wanted):
                return [f"ERROR BEHIND {database.name}"]
            word, _, rest = text.partition(" ")
        if self.state == "E" and word != "ROLLBACK":
            return ["ERROR MALFORMED failed"]
        lost = self.state == "T" and self.may_write and self.term != self.held_term()
        match word:
            case "BEGIN":
                self.may_write = rest != "READ"
                if self.may_write and not database.is_primary:
                    return [f"ERROR READONLY {database.name}"]
                self.state, self.pending, self.term = "T", [], self.held_term()
            case "ROLLBACK":
                self.state, self.pending = "I", []
            case "COMMIT":
                await self.work(statement, text)
                lost = self.may_write and self.term != self.held_term()
                if self.pending and lost:
                    self.state, self.pending = "I", []
                    return [f"ERROR READONLY {database.name}"]
                return await self.commit(statement)
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                self.prepared[name] = shape.partition(" ")[0]
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in self.prepared:
                    return [f"ERROR NOSTMT {name}"]
                return await self.run(statement, f"{self.prepared[name]} {arguments}")
            case "READ" | "WRITE" if lost:
                self.state = "E"
                return [f"ERROR READONLY {database.name}"]
            case "READ":
                await self.work(statement, text)
                return [f"ROW {self.value_of(rest)}", f"DONE d.{statement}"]
            case "WRITE":
                return await self.write(statement, rest)
            case "STATUS":
                role = "primary" if database.is_primary else "replica"
                term = database.service.term
                return [
                    f"ROW {role} {term} {term}.{len(database.log)} 0 8 0 1",
                    "DONE -",
                ]
            case "RESET":
                self.prepared.clear()
        return ["DONE -"]

    def held_term(self) -> int:
        """Return the term in which the database leads, or -1."""
        return self.database.service.term if self.database.is_primary else -1

    def value_of(self, item: str) -> str:
        """Return an item's last value in what the database has applied."""
        database = self.database
        end = len(database.log) if database.is_primary else database.applied
        for commit in reversed(database.log[:end]):
            for name, data in commit.writes:
                if name == item:
                    return data
        return "-"

    async def write(self, statement: str, rest: str) -> list[str]:
        """Run a write; outside a transaction it commits."""
        if not self.database.is_primary:
            if self.state == "T":
                self.state = "E"
            return [f"ERROR READONLY {self.database.name}"]
        await self.work(statement, f"WRITE {rest}")
        item, _, data = rest.partition(" ")
        self.pending.append((statement, item, data))
        if self.state == "T":
            return [f"DONE d.{statement}"]
        if not self.database.is_primary:
            self.pending = []
            return [f"ERROR READONLY {self.database.name}"]
        return await self.commit(statement)

    async def commit(self, statement: str) -> list[str]:
        """Append what is pending to the log; wait for a replica where that is asked."""
        database, service = self.database, self.database.service
        writes = [(item, data) for _, item, data in self.pending]
        self.state, self.pending = "I", []
        if not writes:
            return [f"DONE d.{statement}"]
        term = service.term
        commit = Commit(term, len(database.log) + 1, statement, writes, self.tenant)
        database.log.append(commit)
        received = asyncio.Event()
        loop = asyncio.get_running_loop()

        def arrive(replica: Database) -> None:
            if replica.receive(commit, term):
                received.set()

        for replica in service.databases.values():
            if replica is not database:
                transit_s = service.transit_s(database, replica)
                loop.call_later(transit_s, arrive, replica)
        if service.sync:
            try:
                await asyncio.wait_for(received.wait(), 5.0)
            except TimeoutError:
                return ["ERROR TIMEOUT no replica"]
        service.acked.append(commit)
        service.record.write(
            "commit-acked", database.name, term, commit.number, statement
        )
        return [f"DONE d.{statement}"]


# --- Clients


@dataclass(eq=False)
class Client:
    """A session of a client; one request at a time."""

    record: Record
    name: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    count: int = 0
    state: str = "I"
    is_closed: bool = False

    @classmethod
    async def open(
        cls, record: Record, name: str, port: int, database: str, key: str
    ) -> "Client | None":
        """Open a session; return None if it is refused."""
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"STARTUP {database} {key}\r\n".encode())
            line = (await asyncio.wait_for(reader.readline(), 2.0)).decode().strip()
        except (OSError, TimeoutError) as error:
            record.write("session-failed", name, repr(error))
            return None
        record.write("session", name, line or "closed")
        if not line.startswith("READY"):
            writer.close()
            return None
        return cls(record, name, reader, writer)

    async def ask(self, text: str, limit_s: float = 15.0) -> list[str]:
        """Send a request; return the answer's lines; the last is READY or `closed`."""
        self.count += 1
        statement = f"{self.name}.{self.count}"
        self.record.write("sent", statement, text)
        lines: list[str] = []
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            while not lines or not lines[-1].startswith("READY"):
                data = await asyncio.wait_for(self.reader.readline(), limit_s)
                if not data:
                    lines.append("closed")
                    break
                lines.append(data.decode().rstrip("\r\n"))
        except ConnectionError:
            lines.append("closed")
        except TimeoutError:
            lines.append("no-answer")
        if lines[-1].startswith("READY"):
            self.state = lines[-1].split(" ")[1]
        else:
            self.is_closed = True
        self.record.write("answered", statement, " | ".join(lines))
        return lines

    def close(self) -> None:
        """End the session."""
        self.is_closed = True
        self.writer.close()


def succeeded(lines: list[str]) -> bool:
    """Return whether an answer tells of success."""
    return any(line.startswith("DONE") for line in lines)


# --- Instances


@dataclass(eq=False)
class Instance:
    """An instance: its settings, and its process while it runs."""

    name: str
    zone: str
    front: int
    readiness: int
    settings: Path
    metrics: int
    process: asyncio.subprocess.Process | None = None

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the instance takes clients."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


@dataclass(eq=False)
class System:
    """A small deployment: store, services and instances."""

    record: Record
    folder: Path
    store: Store
    bounds: dict[str, Any] = field(default_factory=dict)
    services: list[Service] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)

    def add_service(self, name: str, **values: Any) -> Service:
        """Add a service without databases."""
        service = Service(name, self.store, self.record, **values)
        self.store.services[name] = service
        self.services.append(service)
        return service

    def write_settings(self, name: str, zone: str) -> Instance:
        """Write the settings file of an instance, as the platform lays it."""
        front, readiness, peer, metrics = free_ports(4)
        bounds = {**BOUNDS, **self.bounds}
        settings = f"""node = "{name}"
role = "proxy"
machineClass = "front"
serves = ["front"]
ip = "{HOST}"
zone = "{zone}"
region = "{zone[:2]}"
portRange = [{peer},{peer}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","tenants","quota"]
[zones]
z1 = "z1"
z2 = "z2"
z3 = "z3"
[listen]
front = "{HOST}:{front}"
readiness = "{HOST}:{readiness}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
""" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in bounds.items())
        settings += f"""[platform]
address = "{self.store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{self.store.address}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
"""
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        instance = Instance(name, zone, front, readiness, path, metrics)
        self.instances.append(instance)
        return instance

    async def start_process(self, instance: Instance) -> None:
        """Start the process of an instance by the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "proxy"
        ]
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "PYTHONPATH": "target/deps",
            "PIMENTODRIFT_SETTINGS": str(instance.settings),
            **role["env"],
            "PIMENTODRIFT_METRICS_PORT": str(instance.metrics),
        }
        log = (self.folder / f"{instance.name}.log").open("ab")
        instance.process = await asyncio.create_subprocess_exec(
            *shlex.split(role["run"]),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
        )
        log.close()
        self.record.write("started", instance.name, instance.process.pid)

    async def start_instances(self, count: int) -> None:
        """Start instances and wait until all are ready."""
        for index in range(count):
            instance = self.write_settings(f"front-{index + 1}", f"z{index % 3 + 1}")
            await self.start_process(instance)
        await self.wait_ready(self.instances)

    async def wait_ready(self, instances: list[Instance]) -> None:
        """Wait until the instances are ready; raise TimeoutError."""
        end = time.monotonic() + START_LIMIT_S
        while not all([await item.is_ready() for item in instances]):
            if time.monotonic() > end:
                raise TimeoutError("the instances do not become ready")
            await asyncio.sleep(0.1)
        self.record.write("ready", *(item.name for item in instances))

    def signal(self, instance: Instance, number: signal.Signals) -> float:
        """Send a signal to an instance's process."""
        assert instance.process is not None
        instance.process.send_signal(number)
        return self.record.write("signal", instance.name, number.name)

    async def end(self) -> None:
        """End all processes."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    continue
                await asyncio.wait_for(process.wait(), END_LIMIT_S)


# The bounds of a small installation of the pages.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 5000,
    "ackMs": 6000,
    "catchUpS": 4,
    "drainMs": 7000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 4000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 15000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaExcess": 0.1,
    "quotaSlack": 20,
    "recoverS": 12,
    "fenceChecked": True,
    "thawMs": 300,
}


def route(host: str, service: str, kind: str, **values: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{host}",
        "host": host,
        "upstream": service,
        "routeKind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxStalenessMs": 1500,
        "public": False,
        **values,
    }


def tenant(name: str, *keys: str, rate: float = 500, burst: float = 500) -> dict:
    """Return a tenant of the configuration."""
    return {"name": name, "apiKeys": list(keys), "ratePerS": rate, "burst": burst}


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, below those of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as item:
            try:
                item.bind((HOST, port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


def address_of(server: asyncio.Server) -> str:
    """Return the address of a server."""
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def run_case(file: str, play: Callable[[System], Awaitable[int]]) -> None:
    """Play a case in a temporary folder; exit with its result."""
    record = Record(Path(file).resolve().parent / "record.txt")
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as folder:

        async def play_all() -> int:
            store = Store(record)
            await store.start()
            system = System(record, Path(folder), store)
            try:
                return await asyncio.wait_for(play(system), RUN_LIMIT_S)
            finally:
                await system.end()
                keep = os.environ.get("KEEP_LOGS")
                for log in Path(folder).glob("*.log") if keep else ():
                    (Path(keep or ".") / log.name).write_bytes(log.read_bytes())

        try:
            result = asyncio.run(play_all())
        except Exception as error:
            # Whatever goes wrong in a case is no broken rule.
            record.say("could-not-run", repr(error))
    verdict = {HELD: "rule held", BROKEN: "RULE BROKEN"}.get(result, "could not run")
    record.say("result", verdict)
    record.file.close()
    sys.exit(result)
