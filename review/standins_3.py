"""Small stand-ins of the users' store, databases and clients, for cases 11 to 15.

They follow the pages' protocol as far as these cases need it, and nothing else of the
repository is imported. Everything runs on one event loop and on loopback addresses.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
DARK_S = 3.0  # A connection whose far end is dark is dropped after this time.
HISTORY = 5000
READY_WAIT_S = 25.0
OPENING_S = 2.0  # A client closes if READY takes longer than this after STARTUP.
STREAM_LIMIT = 4 * 2**20
PROMOTE_S = 0.3
HELD, BROKEN, NOT_RUN = 0, 1, 2
STATUSES = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


def is_troubled() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, *words: object) -> None:
        """Write a line."""
        text = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, *words: object) -> None:
        """Write a line, also to the standard output."""
        self.add(*words)
        print(*words, flush=True)


# --- The store and the promote call


class Store:
    """Objects by kind and name with revisions, conditions and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 10
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: deque[tuple[int, str, dict[str, Any], bool]] = deque(
            maxlen=HISTORY
        )
        self.changed = asyncio.Event()
        self.groups: dict[str, Group] = {}
        self.tokens: dict[str, int] = {}
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object's content."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {
            "name": name,
            "revision": self.revision,
            "created": known["meta"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        value = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = value
        self.note(kind, value, False)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        value = self.objects.pop((kind, name))
        meta = {**value["meta"], "revision": self.revision}
        self.note(kind, {**value, "meta": meta}, True)

    def note(self, kind: str, value: dict[str, Any], deleted: bool) -> None:
        """Record a change and wake the watches."""
        self.events.append((self.revision, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of a connection, one after the other."""
        with contextlib.suppress(*ENDS):
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ")
                headers = {}
                while (item := await reader.readline()).strip():
                    name, _, value = item.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else {}
                status, answer = await self.handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {STATUSES[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Return the status and the body of an answer."""
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        if path == "/promote":
            return await self.promote(headers, body)
        words = path.strip("/").split("/")
        kind = words[1]
        if method == "GET" and len(words) == len(("objects", kind)):
            if "watch" in query:
                return 200, await self.watch(kind, query)
            items = [value for (k, _), value in self.objects.items() if k == kind]
            rest = {"hasMore": False, "currentRev": self.revision}
            return 200, {"items": items, **rest}
        name = words[2] if method != "POST" else body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self.put(kind, name, body["spec"])
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        condition = query.get("revision") or (body.get("meta") or {}).get("revision")
        if condition is not None and int(condition) != known["meta"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if words[-1] == "status":
            return 200, known  # Nothing here reads a status.
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        """Return what changed since a revision, as soon as there is something."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self.changed
            events = [
                {"object": value, "deleted": deleted}
                for revision, k, value, deleted in self.events
                if k == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    async def promote(self, headers: dict[str, str], body: Any) -> tuple[int, Any]:
        """Make a database the primary of its service."""
        token = int(headers["x-pimentodrift-fence-token"])
        name = body["upstream"]
        group = self.groups[name]
        self.record.add("promote", name, body["id"], "token", token)
        if token < self.tokens.get(name, 0) or body["id"] not in group.databases:
            return 409, {}
        self.tokens[name] = token
        if body["id"] != group.primary:
            await asyncio.sleep(PROMOTE_S)
            group.primary = body["id"]
            group.term += 1
            for database in group.databases.values():
                database.register()
        return 200, {}


# --- Databases


@dataclass(frozen=True)
class Run:
    """A client's statement that a database ran."""

    statement: str  # Its id.
    text: str
    tenant: str  # As the connection's STARTUP named it.
    first: str  # Id of the first statement of the transaction around it, or "".


@dataclass(eq=False)
class Group:
    """A service: a primary and its replicas, which share one log without lag."""

    name: str
    record: Record
    store: Store
    slots: int
    queue: int
    max_connections: int
    link_s: float = 0.0  # One way between an instance and a database.
    work_s: float = 0.0  # Of a read, a write, a commit and a new connection.
    rows: Callable[[str], Iterable[str]] | None = None  # Of an item; else one row.
    term: int = 3
    number: int = 0
    primary: str = ""
    items: dict[str, str] = field(default_factory=dict)
    committed: set[str] = field(default_factory=set)  # Ids of writes.
    runs: list[Run] = field(default_factory=list)
    databases: dict[str, "Database"] = field(default_factory=dict)

    async def add(self, name: str, zone: str) -> None:
        """Start a database; the first one is the primary."""
        self.primary = self.primary or name
        self.store.groups[self.name] = self
        database = Database(self, name, zone)
        self.databases[name] = database
        await database.start()
        database.register()


class Database:
    """A database of a group."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.address = ""
        self.sessions: set[DatabaseSession] = set()  # Those that count.
        self.busy = 0
        self.queued: deque[asyncio.Future[None]] = deque()
        self.random = random.Random(name)
        self.born = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.accept, HOST, 0, limit=STREAM_LIMIT)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def register(self) -> None:
        """Write the entry in the store."""
        entry = {
            "upstream": self.group.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if self.is_primary else "replica",
            "sequence": 1,
            "born": self.born,
        }
        self.group.store.put("servers", self.name, entry)

    @property
    def is_primary(self) -> bool:
        """Whether the database leads its group."""
        return self.group.primary == self.name

    @property
    def position(self) -> str:
        """The position of the log."""
        return f"{self.group.term}.{self.group.number}"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        session = DatabaseSession(self, writer)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await session.serve(reader)
        session.drop()
        writer.close()

    async def work(self, share: float = 1.0) -> bool:
        """Occupy a slot for a while; return False if the queue is full."""
        group = self.group
        if self.busy >= group.slots:
            if len(self.queued) >= group.queue:
                return False
            turn = asyncio.get_running_loop().create_future()
            self.queued.append(turn)
            await turn
        else:
            self.busy += 1
        try:
            await asyncio.sleep(group.work_s * share * self.random.uniform(0.3, 1.7))
        finally:
            while self.queued and self.queued[0].done():
                self.queued.popleft()
            if self.queued:
                self.queued.popleft().set_result(None)
            else:
                self.busy -= 1
        return True

    async def silence(self) -> int:
        """Make the open connections silent for good; return their number.

        Nothing arrives on them and nothing is answered, without a reset. The database
        drops them after the time that the pages name, which the far end doesn't see.
        """
        silent = list(self.sessions)
        for session in silent:
            session.is_silent = True
        self.group.record.say(self.name, "has", len(silent), "silent connections")

        async def drop_later() -> None:
            await asyncio.sleep(DARK_S)
            for session in silent:
                session.drop()

        TASKS.add(task := asyncio.create_task(drop_later()))
        task.add_done_callback(TASKS.discard)
        return len(silent)


ENDS = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)
TASKS: set[asyncio.Task[None]] = set()


class DatabaseSession:
    """A connection to a database."""

    def __init__(self, database: Database, writer: asyncio.StreamWriter) -> None:
        self.database = database
        self.group = database.group
        self.writer = writer
        self.is_silent = False
        self.tenant = ""
        self.state = "I"
        self.may_write = False
        self.first = ""  # Id of the first statement of the open transaction.
        self.pending: list[tuple[str, str, str]] = []
        self.prepared: dict[str, str] = {}

    def drop(self) -> None:
        """Roll back and count no longer."""
        self.database.sessions.discard(self)
        self.end_transaction()

    def end_transaction(self) -> None:
        """Forget the open transaction."""
        self.state, self.first, self.pending = "I", "", []

    async def serve(self, reader: asyncio.StreamReader) -> None:
        """Handle the lines in their order, each after its way over the link."""
        lines: asyncio.Queue[tuple[float, str]] = asyncio.Queue()

        async def receive() -> None:
            while line := await reader.readline():
                due = time.monotonic() + self.group.link_s
                lines.put_nowait((due, line.decode().rstrip("\r\n")))
            lines.put_nowait((0.0, ""))

        receiver = asyncio.create_task(receive())
        try:
            while True:
                due, line = await lines.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if self.is_silent:
                    await receiver
                    return
                if not line or line == "TERMINATE" or not await self.handle(line):
                    return
        finally:
            receiver.cancel()

    async def handle(self, line: str) -> bool:
        """Answer a line; return whether the connection goes on."""
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            name, self.tenant, expected = rest.split(" ")
            if name != self.group.name or expected != self.database.name:
                await self.write([f"ERROR WRONGNODE {self.database.name}"], False)
                return False
            if len(self.database.sessions) >= self.group.max_connections:
                await self.write([f"ERROR TOOMANY {self.database.name}"], False)
                return False
            self.database.sessions.add(self)
            await self.database.work(0.5)
            await self.write([])
            return True
        statement, _, text = rest.partition(" ")
        await self.write(await self.run(statement, text))
        return True

    async def write(self, lines: list[str], is_ready: bool = True) -> None:
        """Send an answer over the link."""
        if is_ready:
            lines = [*lines, f"READY {self.state} {self.database.position}"]
        data = "".join(f"{line}\r\n" for line in lines).encode()

        def send() -> None:
            if not self.is_silent and not self.writer.is_closing():
                self.writer.write(data)

        if self.group.link_s:
            asyncio.get_running_loop().call_later(self.group.link_s, send)
        else:
            send()
        with contextlib.suppress(OSError):
            await self.writer.drain()

    def error(self, code: str) -> list[str]:
        """Return the lines of an error."""
        return [f"ERROR {code} {self.database.name}"]

    def done(self, statement: str) -> list[str]:
        """Return the last line of a success, with a digest."""
        text = f"{self.database.name} {statement}".encode()
        return [f"DONE {hashlib.sha1(text).hexdigest()[:24]}"]

    async def run(self, statement: str, text: str) -> list[str]:
        """Run a statement and return the lines of its answer."""
        if text.startswith("AFTER "):
            text = text.split(" ", 2)[2]  # The log never lags.
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return self.error("MALFORMED")
        match word:
            case "BEGIN":
                self.may_write = rest != "READ"
                if self.may_write and not self.database.is_primary:
                    return self.error("READONLY")
                self.state, self.first = "T", ""
            case "ROLLBACK":
                self.end_transaction()
            case "RESET" | "PREPARE" | "CLOSE":
                self.set_prepared(word, rest)
            case "STATUS":
                return await self.status()
            case "COMMIT":
                return await self.commit(statement, text)
            case "EXECUTE":
                name, _, rest = rest.partition(" ")
                if name not in self.prepared:
                    return self.error("NOSTMT")
                return await self.use(statement, self.prepared[name], rest, text)
            case "READ" | "WRITE":
                return await self.use(statement, word, rest, text)
        return ["DONE -"]

    def set_prepared(self, word: str, rest: str) -> None:
        """Add or remove prepared names."""
        name, _, shape = rest.partition(" ")
        if word == "RESET":
            self.prepared.clear()
        elif word == "CLOSE":
            self.prepared.pop(name, None)
        else:
            self.prepared[name] = shape.partition(" ")[0]

    async def status(self) -> list[str]:
        """Return what the database says of itself."""
        if not await self.database.work(0.1):
            return self.error("BUSY")
        role = "primary" if self.database.is_primary else "replica"
        place = f"{self.group.term} {self.database.position} {self.group.term}"
        counts = f"0 {self.database.busy} {len(self.database.sessions)}"
        return [f"ROW {role} {place} {counts}", "DONE -"]

    def note_run(self, statement: str, text: str) -> None:
        """Record that a client's statement ran."""
        if self.state == "T" and not self.first:
            self.first = statement
        inside = self.first if self.state == "T" else ""
        self.group.runs.append(Run(statement, text, self.tenant, inside))
        self.group.record.add(
            "run", self.database.name, statement, self.tenant, text[:60], "in", inside
        )

    async def use(self, statement: str, word: str, rest: str, text: str) -> list[str]:
        """Run a read or a write."""
        item, _, data = rest.partition(" ")
        is_write = word == "WRITE"
        if is_write and not (self.database.is_primary and self.is_writable):
            self.state = "E" if self.state == "T" else self.state
            return self.error("READONLY")
        if not await self.database.work():
            return self.error("BUSY")
        if self.is_silent:
            return []
        self.note_run(statement, text)
        if is_write:
            self.pending.append((statement, item, data))
            if self.state == "I":
                self.apply()
            return self.done(statement)
        rows = (
            self.group.rows(item)
            if self.group.rows
            else [self.group.items.get(item, "")]
        )
        return [*(f"ROW {row}" for row in rows), *self.done(statement)]

    @property
    def is_writable(self) -> bool:
        """Whether a write is allowed in the present transaction, if there is one."""
        return self.state != "T" or self.may_write

    async def commit(self, statement: str, text: str) -> list[str]:
        """Run a COMMIT; without a free slot nothing is run, the transaction stays."""
        if self.state != "T":
            self.end_transaction()
            return self.error("FAILED")
        if not await self.database.work():
            self.group.record.add("BUSY", self.database.name, statement, text)
            return self.error("BUSY")
        if self.is_silent:
            return []
        self.note_run(statement, text)
        self.apply()
        self.end_transaction()
        return self.done(statement)

    def apply(self) -> None:
        """Commit what was written."""
        for statement, item, data in self.pending:
            self.group.items[item] = data
            self.group.committed.add(statement)
            self.group.number += 1
            self.group.record.add("committed", statement)
        self.pending = []


# --- Clients


class Client:
    """A client's session; its statements have ids that begin with its own name."""

    count = 0

    def __init__(self, record: Record) -> None:
        Client.count += 1
        self.name = f"{Client.count:06x}"
        self.record = record
        self.asked = 0
        self.last = ""  # Id of the last statement.
        self.state = "I"
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, port: int, database: str, key: str) -> str:
        """Open the session; return "" or the code of the refusal."""
        self.reader, self.writer = await asyncio.open_connection(
            HOST, port, limit=STREAM_LIMIT
        )
        self.writer.write(f"STARTUP {database} {key}\r\n".encode())
        lines = await asyncio.wait_for(self.read_answer(), OPENING_S)
        return "" if lines == [] else lines[0].split(" ")[1]

    async def read_answer(self) -> list[str]:
        """Return the lines up to READY."""
        lines: list[str] = []
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            if line.startswith("READY"):
                self.state = line.split(" ")[1]
                return lines
            if not line:
                return [*lines, "ERROR CLOSED -"]
            lines.append(line)

    def send(self, text: str) -> str:
        """Send a statement without waiting; return its id."""
        self.asked += 1
        self.last = f"{self.name}{self.asked:08x}"
        self.record.add("sent", self.last, text[:60])
        self.writer.write(f"QUERY {self.last} {text}\r\n".encode())
        return self.last

    async def ask(self, text: str) -> str:
        """Send a statement; return "" for a success, or the code of the error."""
        statement = self.send(text)
        last = (await self.read_answer())[-1]
        self.record.add("answered", statement, last[:60], self.state)
        return "" if last.startswith("DONE") else last.split(" ")[1]

    def leave(self) -> None:
        """Close the connection."""
        self.writer.close()


def owner(statement: str) -> str:
    """Return the name of the client that sent a statement."""
    return statement[: len("000000")]


# --- Instances


@dataclass(frozen=True)
class Site:
    """What a site file of the pages gives to a machine and to a service."""

    zones: dict[str, int]  # Machines by zone.
    slots: int
    queue: int
    max_connections: int
    max_fds: int
    stable_ms: int
    ack_ms: int
    config_ms: int
    stretch_ms: int
    timeout_ms: int = 1000
    objective_ms: int = 400
    memory_mb: int = 300


JMSH = Site(
    {"barva-sala": 2, "canas-rack": 3, "osa-rack": 1},
    slots=5,
    queue=40,
    max_connections=50,
    max_fds=4300,
    stable_ms=4000,
    ack_ms=5000,
    config_ms=3000,
    stretch_ms=12000,
)
KANITLI = Site(
    {"marmara-a": 3, "ege-a": 3, "ic-anadolu-a": 2},
    slots=3,
    queue=24,
    max_connections=23,
    max_fds=4200,
    stable_ms=5000,
    ack_ms=6000,
    config_ms=4000,
    stretch_ms=15000,
)

SETTINGS = """node = "{node}"
role = "proxy"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "{zone}-r"
portRange = [{peer}, {peer}]
seeds = []
bootstrap = true
discovery = "platform"
entryPoint = "vip"
heartbeatMs = 1200
contracts = [
  "base", "drain", "config", "cost", "recover", "sql", "tenants", "quota", "platform",
]
[zones]
{zones}
[listen]
front = "127.0.0.1:{front}"
readiness = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {site.memory_mb}
maxFds = {site.max_fds}
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
stableMs = {site.stable_ms}
ackMs = {site.ack_ms}
drainMs = 7000
graceS = 6
lossSlackMs = 200
configApplyMs = {site.config_ms}
rollbackSlackMs = 250
maxStretchMs = {site.stretch_ms}
strictRevoke = true
revokeMs = 5000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
recoverS = 12
fenceChecked = true
thawMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
address = "{store}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
"""


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]


@dataclass(eq=False)
class Instance:
    """An instance as a process of the deploy file's `run` line."""

    name: str
    front: int
    ready: int
    environment: dict[str, str]
    log: Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["proxy"]["run"].split(" ")
        program = sys.executable if program == "python3" else program
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=log,
            )

    async def status(self) -> int:
        """Return the status of the ready probe; 0 if there is no answer."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return int(line.split()[1])
        except (OSError, IndexError, TimeoutError):
            return 0

    async def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class System:
    """Instances, a store and a service of three databases."""

    def __init__(self, site: Site, record: Record, folder: Path) -> None:
        self.site = site
        self.record = record
        self.folder = folder
        self.store = Store(record)
        self.group = Group(
            "service1",
            record,
            self.store,
            site.slots,
            site.queue,
            site.max_connections,
        )
        self.instances: list[Instance] = []
        self.version = 0

    async def start(
        self,
        count: int,
        routes: list[dict[str, Any]],
        tenants: list[dict[str, Any]],
    ) -> None:
        """Start everything and wait until all instances are ready."""
        await self.store.start()
        zones = list(self.site.zones)
        for number, zone in enumerate(zones):
            await self.group.add(f"i-{number + 1:08x}", zone)
        self.configure(routes, tenants)
        places = [zone for zone, size in self.site.zones.items() for _ in range(size)]
        # One instance in each zone first.
        places = [*zones, *(places[i] for i in range(len(places)) if i % 2)][:count]
        places += [zones[0]] * (count - len(places))
        for number, zone in enumerate(places):
            await self.add_instance(f"front-{zone}-{number + 1}", zone)
        end = time.monotonic() + READY_WAIT_S
        for item in self.instances:
            while await item.status() != 200:  # noqa: PLR2004
                if time.monotonic() > end:
                    raise TimeoutError(f"{item.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.say(count, "instances are ready")

    async def add_instance(self, name: str, zone: str) -> None:
        """Start an instance."""
        front, ready, peer, metrics = free_ports(4)
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                node=name,
                zone=zone,
                peer=peer,
                front=front,
                ready=ready,
                site=self.site,
                store=self.store.address,
                zones="\n".join(f'{item} = "{item}-r"' for item in self.site.zones),
            )
        )
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment = {
            **kept,
            "PIMENTODRIFT_SETTINGS": str(path),
            "PIMENTODRIFT_METRICS_PORT": str(metrics),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = self.folder / f"{name}.log"
        item = Instance(name, front, ready, environment, log)
        self.instances.append(item)
        await item.start()

    def configure(
        self, routes: list[dict[str, Any]], tenants: list[dict[str, Any]]
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        upstream = {
            "name": self.group.name,
            "healthPath": "/health",
            "maxConns": self.site.max_connections,
            "protocol": "h1",
            "tls": False,
            "syncReplicas": 0,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        }
        spec = {
            "version": self.version,
            "routes": routes,
            "upstreams": [upstream],
            "limits": limits,
            "tenants": tenants,
        }
        self.store.put("config", "main", spec)
        self.record.say("the store has acknowledged configuration", self.version)

    async def stop(self) -> None:
        """End the processes."""
        for item in self.instances:
            await item.kill()


def route(
    site: Site, host: str, kind: str = "primary", public: bool = False
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r-{host}",
        "host": host,
        "pathPrefix": "/",
        "routeKind": kind,
        "timeoutMs": site.timeout_ms,
        "targetLatencyMs": site.objective_ms,
        "priority": 1,
        "upstream": "service1",
        "maxAttempts": 2,
        "maxStalenessMs": 1500,
        "public": public,
    }


def tenant(name: str, keys: list[str], rate: int = 500) -> dict[str, Any]:
    """Return a tenant of a configuration."""
    return {
        "name": name,
        "apiKeys": keys,
        "priority": 1,
        "ratePerS": rate,
        "burst": rate,
    }


def run_case(file: str, site: Site, case: Callable[[System], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held, and exit with its result."""
    record = Record(Path(file).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def work() -> bool:
        system = System(site, record, folder)
        try:
            return await case(system)
        finally:
            await system.stop()

    try:
        result = HELD if asyncio.run(work()) else BROKEN
    except Exception as error:  # noqa: BLE001
        record.say("the case could not run:", repr(error))
        for log in folder.glob("*.log"):
            record.add(log.name, log.read_text(errors="replace")[-2000:])
        result = NOT_RUN
    record.say("result", result, "with" if is_troubled() else "without", "disruption")
    record.file.close()
    if "KEEP_LOGS" not in os.environ:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(result)
