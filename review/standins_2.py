"""Stand-ins of the second review: store, databases, clients, and the instances.

They speak what the users' pages say and need only the standard library. The instances
are the project's own program, started as processes with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
KEPT, BROKEN, NOT_RUN = 0, 1, 2  # Exit statuses of a case.
OK, CREATED, NOT_FOUND, CONFLICT, GONE = 200, 201, 404, 409, 410
LISTEN_PORTS = range(20000, 32000)
HISTORY = 5000  # Changes that the store keeps.
HEARTBEAT_S = 1.2
START_S = 40.0
LONGEST_S = 110.0
LINE_LIMIT = 2**21
# What ends the handler of a connection; it is cancelled at the end of a case.
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
DARK_S = 3.0  # A database drops a connection whose far end is dark after this time.


class Record:
    """The file `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, below those that connections get."""
    while True:
        port = secrets.choice(LISTEN_PORTS)
        if port in given_ports:
            continue
        given_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


# --- The platform's store and its promote call


@dataclass
class Store:
    """Objects by kind and name, with revisions, conditions and watches."""

    record: Record
    revision: int = 100
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    promote: Callable[[dict[str, Any], int, str], Awaitable[int]] | None = None
    tokens: dict[str, int] = field(default_factory=dict)
    address: str = ""

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object; a change of nothing is no change."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        value = {"meta": meta, "spec": spec, "status": {}}
        self.objects[kind, name] = value
        self.record_event(kind, value, False)
        return value

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        value = self.objects.pop((kind, name))
        self.revision += 1
        meta = {**value["meta"], "revision": self.revision}
        self.record_event(kind, {**value, "meta": meta}, True)

    def record_event(self, kind: str, value: dict[str, Any], deleted: bool) -> None:
        """Keep a change and wake the watches."""
        self.events.append((self.revision, kind, value, deleted))
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0, limit=LINE_LIMIT)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of a connection one after the other."""
        with contextlib.suppress(*CONNECTION_ENDS):
            while (head := await reader.readline()).strip():
                method, target, _ = head.decode().split(" ", 2)
                headers: dict[str, str] = {}
                while line := (await reader.readline()).decode().strip():
                    name, _, text = line.partition(":")
                    headers[name.strip().lower()] = text.strip()
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else None
                status, answer = await self.call(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def call(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        """Carry out a call; return its status and body."""
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        if url.path == "/promote":
            return await self.call_promote(headers, body)
        _, _, kind, *rest = [unquote(part) for part in url.path.split("/")]
        if method == "GET" and not rest:
            if "watch" in query:
                return await self.watch(kind, query)
            items = [
                value for (other, _), value in self.objects.items() if other == kind
            ]
            return OK, {
                "items": items,
                "hasMore": False,
                "currentRev": self.revision,
            }
        name = rest[0] if rest else body["meta"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return CONFLICT, known
            return CREATED, self.put(kind, name, body["spec"])
        if known is None:
            return NOT_FOUND, {}
        if method == "GET":
            return OK, known
        asked = query.get("revision", ((body or {}).get("meta") or {}).get("revision"))
        if asked is not None and int(asked) != known["meta"]["revision"]:
            return CONFLICT, known
        if method == "DELETE":
            self.remove(kind, name)
            return OK, known
        return OK, self.put(kind, name, body["spec"])

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Return the changes after a revision, as soon as there is one."""
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.events and self.events[0][0] > since + 1 and since < 100:  # noqa: PLR2004
                return GONE, {}
            events = [
                {"object": value, "deleted": deleted}
                for revision, other, value, deleted in self.events
                if other == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return OK, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    async def call_promote(
        self, headers: dict[str, str], body: dict[str, Any]
    ) -> tuple[int, Any]:
        """Carry out the call that names a group's next primary."""
        token = int(headers["x-pimentodrift-fence-token"])
        holder = headers["x-pimentodrift-duty-holder"]
        group = body["upstream"]
        self.record.note(f"promote {group} {body['id']} by {holder} token {token}")
        if token < self.tokens.get(group, 0):
            return CONFLICT, {}
        self.tokens[group] = token
        assert self.promote is not None
        return await self.promote(body, token, holder), {}


@dataclass(eq=False)
class Link:
    """Forwards connections to an address; open ones can go silent for good."""

    target: Callable[[], str]
    record: Record
    address: str = ""
    open: set["Flow"] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.accept, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a connection in both directions."""
        host, _, port = self.target().rpartition(":")
        flow = Flow()
        with contextlib.suppress(*CONNECTION_ENDS):
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self.open.add(flow)
            await asyncio.gather(
                flow.forward(reader, far_writer), flow.forward(far_reader, writer)
            )
        self.open.discard(flow)

    def silence(self) -> None:
        """Let nothing through on the open connections any more; new ones work."""
        self.record.note(f"{len(self.open)} open connections go silent for good")
        for flow in self.open:
            flow.is_silent = True


@dataclass(eq=False)
class Flow:
    """A forwarded connection."""

    is_silent: bool = False

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one direction until it ends; a silent one tells of no end."""
        while data := await reader.read(LINE_LIMIT):
            if not self.is_silent:
                writer.write(data)
                await writer.drain()
        if not self.is_silent:
            writer.close()


# --- Databases


@dataclass
class Commit:
    """A commit in a group's log."""

    term: int
    number: int
    writes: list[tuple[str, str, str]]  # Statement id, item and data.
    received: asyncio.Event = field(default_factory=asyncio.Event)  # By a replica.


@dataclass(eq=False)
class Group:
    """A primary and its replicas."""

    name: str
    record: Record
    store: Store
    term: int = 3
    primary: str = ""
    databases: dict[str, "Database"] = field(default_factory=dict)
    lag_s: float = 0.02
    # Seconds from the call to the change of the primary.
    promote_s: float = 0.3
    max_connections: int = 20
    slots: int = 3
    sync: int = 0  # Replicas that must have received a commit before its answer.

    async def start(self, names: list[str]) -> None:
        """Start databases; the first one is the primary."""
        self.primary = names[0]
        for name in names:
            self.databases[name] = Database(self, name)
            await self.databases[name].start()

    def register(self) -> None:
        """Write the entries of all databases."""
        for item in self.databases.values():
            if not item.is_down:
                item.register()

    async def heartbeats(self) -> None:
        """Write all entries again and again."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def promote(self, body: dict[str, Any], token: int, holder: str) -> int:
        """Let a database lead the next term."""
        target = self.databases[body["id"]]
        if target.is_down:
            return CONFLICT
        if target.name != self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, target)
        return OK

    def lead(self, target: "Database") -> None:
        """Change the primary; the others take over its log."""
        self.term += 1
        self.primary = target.name
        for other in self.databases.values():
            other.log = list(target.log)
            other.is_paused = False
        self.record.note(f"primary {target.name} term {self.term}")
        self.register()

    def replicate(self, commit: Commit, origin: "Database") -> None:
        """Send a commit to the replicas, which apply it later."""
        loop = asyncio.get_running_loop()
        for other in self.databases.values():
            if other is not origin:
                lag_s = self.lag_s if other.lag_s is None else other.lag_s
                loop.call_later(lag_s, other.receive, commit)


@dataclass(eq=False)
class Database:
    """A database of a group."""

    group: Group
    name: str
    log: list[Commit] = field(default_factory=list)
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    address: str = ""
    connections: dict[int, "Backend"] = field(default_factory=dict)
    count: int = 0  # Connections so far.
    state: str = "ready"
    zone: str = "z1"
    lag_s: float | None = None  # Until it receives a commit; None: that of the group.
    is_paused: bool = False  # It was told to receive nothing.
    is_deaf: bool = False  # Nothing reaches it from the primary.
    is_down: bool = False
    server: asyncio.Server | None = None
    # Called before a statement that needs a slot; may wait, and may return a refusal.
    before: Callable[["Backend", str, str], Awaitable[str | None]] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=LINE_LIMIT)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def exit(self) -> None:
        """End as planned: remove the entry and close the connections."""
        self.group.record.note(f"{self.name} exits")
        assert self.server is not None
        self.server.close()
        del self.group.databases[self.name]
        self.group.store.remove("servers", self.name)
        for backend in self.connections.values():
            backend.writer.transport.abort()

    def crash(self) -> None:
        """End at once; the entry is removed after three liveness intervals."""
        self.group.record.note(f"{self.name} crashes")
        assert self.server is not None
        self.is_down = True
        self.server.close()
        for backend in self.connections.values():
            backend.writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.group.store.remove, "servers", self.name)

    @property
    def is_primary(self) -> bool:
        """Return whether this database leads its group."""
        return self.group.primary == self.name

    @property
    def position(self) -> tuple[int, int]:
        """Return term and number of the end of the log."""
        if self.is_primary:
            return self.group.term, self.log[-1].number if self.log else 0
        return (self.log[-1].term, self.log[-1].number) if self.log else (0, 0)

    def register(self) -> None:
        """Write the entry in the store; it changes if more than `sequence` does."""
        self.sequence += 1
        known = self.group.store.objects.get(("servers", self.name))
        spec = {
            "upstream": self.group.name,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.group.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self.born,
        }
        if known is None or {**known["spec"], "sequence": self.sequence} != spec:
            self.group.store.put("servers", self.name, spec)

    def receive(self, commit: Commit) -> None:
        """Apply a commit of the primary, if it is the next one."""
        last = self.log[-1].number if self.log else 0
        if self.is_paused or self.is_deaf or self.is_down:
            return
        if commit.number == last + 1 and commit.term == self.group.term:
            self.log.append(commit)
            commit.received.set()

    def item(self, name: str) -> str:
        """Return the value of an item in the log."""
        for commit in reversed(self.log):
            for _, item, data in reversed(commit.writes):
                if item == name:
                    return data
        return "none"

    def committed(self) -> dict[str, tuple[str, str]]:
        """Return item and data of all committed writes, by statement id."""
        return {
            statement: (item, data)
            for commit in self.log
            for statement, item, data in commit.writes
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection until it closes, which rolls back."""
        self.count += 1
        backend = Backend(self, self.count, writer)
        try:
            await backend.run(reader)
        except CONNECTION_ENDS:
            pass
        finally:
            self.connections.pop(backend.number, None)
            self.group.record.note(f"{backend} closed in state {backend.state}")
            writer.close()


@dataclass(eq=False)
class Backend:
    """A connection to a database."""

    database: Database
    number: int
    writer: asyncio.StreamWriter
    tenant: str = ""
    state: str = "I"
    may_write: bool = False
    pending: list[tuple[str, str, str]] = field(default_factory=list)
    inside: list[str] = field(default_factory=list)  # Statement ids of the transaction.
    commits: list[Commit] = field(default_factory=list)  # Whose answer is due.
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    is_silent: bool = False  # Nothing that arrives or leaves gets through any more.

    def __str__(self) -> str:
        return f"{self.database.name}/{self.number}"

    def send(self, *lines: str) -> None:
        """Send lines."""
        if self.is_silent:
            return
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def go_silent(self) -> None:
        """Let nothing through any more, without a reset, as the pages say."""
        self.is_silent = True
        self.database.group.record.note(f"{self} goes silent")
        asyncio.get_running_loop().call_later(DARK_S, self.drop)

    def drop(self) -> None:
        """Drop a connection whose far end is dark; the far end doesn't hear of it."""
        self.database.connections.pop(self.number, None)
        self.end()
        self.database.group.record.note(f"{self} dropped: its far end is dark")

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Answer lines one after the other."""
        note = self.database.group.record.note
        while raw := await reader.readuntil(b"\r\n"):
            line = raw[:-2].decode()
            if self.is_silent:
                note(f"{self} lost on the way: {line}")
                continue
            word, _, rest = line.partition(" ")
            if word == "TERMINATE":
                return
            if word == "STARTUP":
                if not self.start(rest):
                    return
                continue
            statement, _, text = rest.partition(" ")
            lines = await self.answer(statement, text)
            await self.wait_for_replica(statement)
            term, number = self.database.position
            lines.append(f"READY {self.state} {term}.{number}")
            note(f"{self} {statement} {text} -> {' | '.join(lines)}")
            self.send(*lines)

    async def wait_for_replica(self, statement: str) -> None:
        """Wait until a replica has received the statement's commit, where it must."""
        log = self.database.log
        if not self.database.group.sync or not self.commits:
            return
        commit = self.commits.pop()
        await commit.received.wait()
        if self.database.is_down or commit not in log:
            raise ConnectionResetError(statement)

    def start(self, rest: str) -> bool:
        """Answer STARTUP; return whether the connection stays open."""
        database = self.database
        group, self.tenant, *name = rest.split(" ")
        note = database.group.record.note
        if group != database.group.name or name not in ([], [database.name]):
            self.send(f"ERROR WRONGNODE {database.name}")
            return False
        if len(database.connections) >= database.group.max_connections:
            note(f"{self} refused: TOOMANY")
            self.send(f"ERROR TOOMANY {database.name}")
            return False
        database.connections[self.number] = self
        note(f"{self} opened for {self.tenant}")
        term, number = database.position
        self.send(f"READY I {term}.{number}")
        return True

    async def answer(self, statement: str, text: str) -> list[str]:
        """Run a statement; return its answer without the last line."""
        database = self.database
        if text.startswith("AFTER "):
            _, asked, text = text.split(" ", 2)
            term, _, number = asked.partition(".")
            if database.position < (int(term), int(number)):
                return [f"ERROR BEHIND {database.name}"]
        word, _, rest = text.partition(" ")
        if self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT") and database.before:
            refusal = await database.before(self, statement, text)
            if refusal is not None:
                return [refusal]
        return self.execute(statement, word, rest)

    def execute(self, statement: str, word: str, rest: str) -> list[str]:
        """Run a statement that was not refused."""
        match word:
            case "BEGIN":
                return self.begin(rest)
            case "ROLLBACK":
                if self.state == "I":
                    return ["ERROR MALFORMED -"]
                self.end()
            case "COMMIT":
                return self.commit(statement)
            case "RESET" | "SET" | "PREPARE":
                self.change(word, rest)
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in self.prepared:
                    return ["ERROR NOSTMT -"]
                access = self.prepared[name].split(" ")[0]
                return self.execute(statement, access, arguments)
            case "READ":
                if self.lost_lead():
                    return self.fail("READONLY")
                if self.state == "T":
                    self.inside.append(statement)
                return [f"ROW {self.database.item(rest)}", f"DONE d-{statement}"]
            case "WRITE":
                return self.write(statement, rest)
            case _:
                return self.control(word, rest)
        return ["DONE -"]

    def control(self, word: str, rest: str) -> list[str]:
        """Tell the status; stop receiving commits, or go on."""
        database = self.database
        if word not in ("STATUS", "PAUSE", "RESUME"):
            return ["ERROR MALFORMED -"]
        if word == "PAUSE" and not database.is_primary:
            database.is_paused = int(rest) > database.group.term
        if word == "RESUME":
            database.is_paused = False
        role = "primary" if database.is_primary else "replica"
        term, number = database.position
        held = database.group.term
        return [f"ROW {role} {held} {term}.{number} {held} 0 0 1", "DONE -"]

    def change(self, word: str, rest: str) -> None:
        """Change the values or the prepared statements of the connection."""
        name, _, text = rest.partition(" ")
        match word:
            case "RESET":
                self.values.clear()
                self.prepared.clear()
            case "SET":
                self.values[name] = text
            case "PREPARE":
                self.prepared[name] = text

    def begin(self, rest: str) -> list[str]:
        """Begin a transaction; a plain one only at the primary."""
        if self.state != "I":
            return ["ERROR MALFORMED -"]
        if rest != "READ" and not self.database.is_primary:
            return [f"ERROR READONLY {self.database.name}"]
        self.state, self.may_write = "T", rest != "READ"
        return ["DONE -"]

    def lost_lead(self) -> bool:
        """Return whether a plain transaction's database has lost the lead."""
        return self.state == "T" and self.may_write and not self.database.is_primary

    def fail(self, code: str) -> list[str]:
        """Refuse a statement; a transaction fails with it."""
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.database.name}"]

    def write(self, statement: str, rest: str) -> list[str]:
        """Run a write."""
        if not self.database.is_primary or (self.state == "T" and not self.may_write):
            return self.fail("READONLY")
        item, _, data = rest.partition(" ")
        self.pending.append((statement, item, data))
        self.inside.append(statement)
        if self.state == "I":
            return self.commit(statement)
        return [f"DONE d-{statement}"]

    def commit(self, statement: str) -> list[str]:
        """Commit a transaction or a single write."""
        if self.state == "E":
            self.end()
            return ["ERROR ABORTED -"]
        if self.pending and not self.database.is_primary:
            return self.fail("READONLY")
        if self.pending:
            database = self.database
            last = database.log[-1].number if database.log else 0
            commit = Commit(database.group.term, last + 1, list(self.pending))
            database.log.append(commit)
            self.commits.append(commit)
            database.group.replicate(commit, database)
        self.end()
        return [f"DONE d-{statement}"]

    def end(self) -> None:
        """End the transaction; what is still pending is rolled back."""
        self.state, self.pending, self.inside = "I", [], []


# --- Clients


@dataclass(eq=False)
class Client:
    """A client's session."""

    name: str
    record: Record
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    count: int = 0
    state: str = ""

    @classmethod
    async def open(
        cls, name: str, record: Record, port: int, database: str, key: str
    ) -> "Client":
        """Connect and open a session."""
        reader, writer = await asyncio.open_connection(HOST, port, limit=LINE_LIMIT)
        client = cls(name, record, reader, writer)
        writer.write(f"STARTUP {database} {key}\r\n".encode())
        answer = await client.read_answer()
        record.note(f"client {name} STARTUP {database} -> {' | '.join(answer)}")
        return client

    def send(self, text: str) -> str:
        """Send a statement; return its id."""
        self.count += 1
        statement = f"{self.name}-{self.count}"
        self.record.note(f"client {self.name} sends {statement} {text}")
        self.writer.write(f"QUERY {statement} {text}\r\n".encode())
        return statement

    async def read_answer(self) -> list[str]:
        """Read the lines of an answer; keep the state of its READY."""
        lines: list[str] = []
        while raw := await self.reader.readline():
            line = raw.decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "READY":
                self.state = rest.split(" ")[0]
                return lines
            lines.append(line)
        return [*lines, "closed"]

    async def ask(self, text: str, timeout_s: float = 10.0) -> tuple[str, list[str]]:
        """Send a statement and wait for its answer; return its id and the answer."""
        statement = self.send(text)
        try:
            answer = await asyncio.wait_for(self.read_answer(), timeout_s)
        except TimeoutError:
            answer = ["no answer"]
        self.record.note(
            f"client {self.name} gets {statement} {' | '.join(answer)} {self.state}"
        )
        return statement, answer

    def leave(self) -> None:
        """Close the connection."""
        self.record.note(f"client {self.name} leaves")
        self.writer.close()


# --- Instances


@dataclass(eq=False)
class System:
    """Instances as processes, before a store and groups of databases."""

    folder: Path
    record: Record
    store: Store
    groups: list[Group] = field(default_factory=list)
    # By number of the instance.
    processes: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)
    environments: dict[int, dict[str, str]] = field(default_factory=dict)
    fronts: dict[int, int] = field(default_factory=dict)
    ready: dict[int, int] = field(default_factory=dict)
    bounds: dict[str, Any] = field(default_factory=dict)
    link: Link | None = None  # Between the instances and the store, if there is one.
    is_trouble: bool = os.environ.get("TROUBLE", "1") != "0"

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        tenants: list[dict[str, Any]],
        transaction_idle_ms: int = 3000,
    ) -> None:
        """Write the operator's configuration."""
        upstreams = [
            {
                "name": group.name,
                "maxConns": group.max_connections,
                "syncReplicas": group.sync,
            }
            for group in self.groups
        ]
        spec = {
            "version": version,
            "routes": routes,
            "upstreams": upstreams,
            "limits": {"txIdleMs": transaction_idle_ms},
            "tenants": tenants,
        }
        self.store.put("config", "main", spec)
        self.record.note(f"configuration {version} is acknowledged")

    def start_instance(self, number: int) -> None:
        """Start an instance with the command of the deploy file, at free ports."""
        front, ready, peer, metrics = (free_port() for _ in range(4))
        bounds = {
            "graceS": 6,
            "stableMs": 5000,
            "drainMs": 7000,
            "configApplyMs": 4000,
            "revokeMs": 5000,
            "strictRevoke": True,
            "quotaWindowS": 5,
            "quotaExcess": 0.1,
            "quotaSlack": 20,
            "fenceChecked": True,
            **self.bounds,
        }
        store = self.link.address if self.link else self.store.address
        lines = "".join(
            f"{name} = {json.dumps(value)}\n" for name, value in bounds.items()
        )
        path = self.folder / f"node-{number}.toml"
        path.write_text(
            f'node = "front-z1-{number}"\nrole = "proxy"\nmachineClass = "front"\n'
            f'serves = ["front"]\nip = "{HOST}"\nzone = "z1"\nregion = "r1"\n'
            f"portRange = [{peer}, {peer}]\nseeds = []\nbootstrap = true\n"
            'heartbeatMs = 1200\n[zones]\nz1 = "r1"\nz2 = "r2"\nz3 = "r3"\n'
            f'[listen]\nfront = "{HOST}:{front}"\nreadiness = "{HOST}:{ready}"\n'
            "[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = 300\nmaxFds = 4200\n"
            f"[bounds]\n{lines}"
            f'[platform]\naddress = "{store}"\nform = "objects"\n'
            f'[cloudApi]\naddress = "{self.store.address}"\nduties = ["failover"]\n'
        )
        environment = {
            **{
                name: os.environ[name]
                for name in ("PATH", "HOME")
                if name in os.environ
            },
            "PYTHONPATH": "target/deps",
            "PIMENTODRIFT_SETTINGS": str(path),
            "PIMENTODRIFT_METRICS_PORT": str(metrics),
        }
        self.environments[number] = environment
        self.processes[number] = self.launch(number)
        self.fronts[number], self.ready[number] = front, ready

    def launch(self, number: int) -> subprocess.Popen[bytes]:
        """Start the process of an instance."""
        with (self.folder / f"node-{number}.log").open("ab") as log:
            return subprocess.Popen(
                ["python3", "platform/main.py"],
                cwd=ROOT,
                env=self.environments[number],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def start(self, count: int) -> None:
        """Start instances and wait until all are ready."""
        for number in range(count):
            self.start_instance(number)
        end = time.monotonic() + START_S
        for number in range(count):
            while not await is_ready(self.ready[number]):
                text = (self.folder / f"node-{number}.log").read_text()
                if time.monotonic() > end:
                    raise CannotRun(f"instance {number} is not ready: {text[-500:]}")
                if self.processes[number].poll() is not None:
                    self.record.note(f"instance {number} starts again: {text[-200:]}")
                    self.start_instance(number)
                await asyncio.sleep(0.1)
        self.record.note(f"{count} instances are ready")

    async def client(
        self, name: str, key: str = "k1", database: str = "db1", instance: int = 0
    ) -> Client:
        """Open a session at an instance."""
        return await Client.open(
            name, self.record, self.fronts[instance], database, key
        )

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


class CannotRun(Exception):
    """The case could not be played."""


async def is_ready(port: int) -> bool:
    """Ask an instance whether it is ready, as the platform does."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    try:
        line = await asyncio.wait_for(reader.readline(), 1.0)
    except (OSError, TimeoutError):
        line = b""
    writer.close()
    return b" 200" in line


def route(database: str, group: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"route-{database}",
        "host": database,
        "upstream": group,
        "routeKind": kind,
        "timeoutMs": 800,
        "targetLatencyMs": 600,
        "priority": 1,
        "maxStalenessMs": 1500,
        "public": False,
        **fields,
    }


def tenant(name: str, *keys: str, rate: float = 500.0) -> dict[str, Any]:
    """Return a tenant of the configuration."""
    return {"name": name, "apiKeys": list(keys), "ratePerS": rate, "burst": rate}


def run_case(folder: str, play: Callable[[System], Awaitable[list[str]]]) -> None:
    """Play a case, which returns what broke the rule; exit with the case's status."""
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(Path(folder))

    async def main() -> int:
        store = Store(record)
        await store.start()
        system = System(temporary, record, store)
        try:
            broken = await asyncio.wait_for(play(system), LONGEST_S)
        except (CannotRun, TimeoutError, OSError) as error:
            record.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            system.stop()
        for text in broken:
            record.note(f"BROKEN: {text}")
        record.note("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else KEPT

    try:
        status = asyncio.run(main())
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)
