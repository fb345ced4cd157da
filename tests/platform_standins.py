"""Stand-ins of the users' platform: its store, its databases and its promote call.

They implement as much of the published protocol as the tests of real processes need,
and run on one event loop in a thread of the test.
"""

import asyncio
import json
import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from aiohttp import web
from attrs import define, field

T = TypeVar("T")
TIMEOUT_S = 20.0
HISTORY = 1000


class LoopThread:
    """An event loop in a thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run_coroutine(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(TIMEOUT_S)

    def call(self, function: Callable[[], T]) -> T:
        """Call a function on the loop."""

        async def work() -> T:
            return function()

        return self.run_coroutine(work())

    async def cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self) -> None:
        self.run_coroutine(self.cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TIMEOUT_S)


@define
class Store:
    """Objects by kind and name, with revisions, conditions and watches."""

    revision: int = 10
    objects: dict[tuple[str, str], dict[str, Any]] = field(factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(factory=list)
    changed: asyncio.Event = field(factory=asyncio.Event)
    promote: Callable[[dict[str, Any], int], int] = lambda _body, _token: 200
    tokens: dict[str, int] = field(factory=dict)
    address: str = ""

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        value = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = value
        self.record_event(kind, value, False)
        return value

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        value = self.objects.pop((kind, name))
        meta = {**value["meta"], "revision": self.revision}
        self.record_event(kind, {**value, "meta": meta}, True)

    def record_event(self, kind: str, value: dict[str, Any], deleted: bool) -> None:
        self.events.append((self.revision, kind, value, deleted))
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/objects/{kind}", self.list_or_watch)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_post("/promote", self.handle_promote)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"

    async def list_or_watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" not in request.query:
            items = [value for (k, _), value in self.objects.items() if k == kind]
            return self.answer({"items": items, "hasMore": False})
        since = int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"object": value, "deleted": deleted}
                for revision, k, value, deleted in self.events
                if k == kind and revision > since
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return self.answer({"events": events})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def answer(self, body: dict[str, Any], status: int = 200) -> web.Response:
        return web.json_response({**body, "currentRev": self.revision}, status=status)

    async def create(self, request: web.Request) -> web.Response:
        kind, body = request.match_info["kind"], await request.json()
        name = body["meta"]["name"]
        known = self.objects.get((kind, name))
        if known is not None:
            return web.json_response(known, status=409)
        return web.json_response(self.put(kind, name, body["spec"]), status=201)

    async def replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        known = self.objects.get((kind, name))
        if known is None:
            return web.Response(status=404)
        if body["meta"].get("revision") != known["meta"]["revision"]:
            return web.json_response(known, status=409)
        return web.json_response(self.put(kind, name, body["spec"]))

    async def handle_promote(self, request: web.Request) -> web.Response:
        body = json.loads(await request.text())
        token = int(request.headers["X-Pimentodrift-Fence-Token"])
        group = body["upstream"]
        if token < self.tokens.get(group, 0):
            return web.Response(status=409)
        self.tokens[group] = token
        return web.Response(status=self.promote(body, token))


@define(eq=False)
class Group:
    """A primary and its replicas, which share one log without replication lag."""

    name: str
    term: int = 3
    items: dict[str, str] = field(factory=dict)
    number: int = 0  # Offset of the last write in the log.
    writes: list[str] = field(factory=list)  # Statement ids in order.
    primary: str = ""
    tenants: set[str] = field(factory=set)
    databases: dict[str, "LineDatabase"] = field(factory=dict)


@define(eq=False)
class LineDatabase:
    """A database of a group, over the line protocol."""

    group: Group
    name: str
    delay_s: float = 0.0
    received: list[str] = field(factory=list)  # Statements, also those not yet run.
    is_behind: bool = False  # Refuses every statement with AFTER.
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(factory=set)
    zone: str = "z1"
    requests_at: list[float] = field(factory=list)  # Of all lines, on `monotonic`.

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.group.databases[self.name] = self

    async def crash(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def registration(self, state: str = "ready") -> dict[str, Any]:
        """Return the content of the object with which the database registers."""
        role = "primary" if self.group.primary == self.name else "replica"
        return {
            "upstream": self.group.name,
            "address": self.address,
            "zone": self.zone,
            "slots": 3,
            "state": state,
            "coldLeftMs": 0,
            "dbRole": role,
            "sequence": 1,
            "born": 1,
        }

    @property
    def position(self) -> str:
        return f"{self.group.term}.{self.group.number}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        session = DatabaseSession(self)
        try:
            while line := await reader.readline():
                await session.handle_line(line.decode().rstrip("\r\n"), writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@define(eq=False)
class DatabaseSession:
    """A connection to a database."""

    database: LineDatabase
    state: str = "I"
    may_write: bool = False
    pending: list[tuple[str, str, str]] = field(factory=list)
    prepared: dict[str, str] = field(factory=dict)

    async def handle_line(self, line: str, writer: asyncio.StreamWriter) -> None:
        self.database.requests_at.append(time.monotonic())
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            group, tenant, name = rest.split(" ")
            if group != self.database.group.name or name != self.database.name:
                writer.write(b"ERROR WRONGNODE -\r\n")
                writer.close()
                return
            self.database.group.tenants.add(tenant)
            writer.write(f"READY I {self.database.position}\r\n".encode())
            return
        statement_id, _, text = rest.partition(" ")
        self.database.received.append(text)
        await asyncio.sleep(self.database.delay_s)
        lines = self.run(statement_id, text)
        lines.append(f"READY {self.state} {self.database.position}")
        writer.write("".join(f"{line}\r\n" for line in lines).encode())

    def run(self, statement_id: str, text: str) -> list[str]:
        if text.startswith("AFTER "):
            if self.database.is_behind:
                return [f"ERROR BEHIND {self.database.name}"]
            text = text.split(" ", 2)[2]
        word, _, rest = text.partition(" ")
        group = self.database.group
        is_primary = group.primary == self.database.name
        match word:
            case "BEGIN":
                self.may_write = rest != "READ"
                if self.may_write and not is_primary:
                    return ["ERROR READONLY -"]
                self.state, self.pending = "T", []
            case "ROLLBACK":
                self.state, self.pending = "I", []
            case "COMMIT":
                return self.commit()
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                self.prepared[name] = shape.split(" ")[0]
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in self.prepared:
                    return ["ERROR NOSTMT -"]
                return self.run(statement_id, f"{self.prepared[name]} {arguments}")
            case "READ":
                return [f"ROW {group.items.get(rest, '')}", "DONE signed"]
            case "WRITE":
                if not is_primary:
                    return ["ERROR READONLY -"]
                item, _, data = rest.partition(" ")
                self.pending.append((statement_id, item, data))
                return self.commit() if self.state == "I" else ["DONE signed"]
        return ["DONE -"]

    def commit(self) -> list[str]:
        group = self.database.group
        if self.pending and group.primary != self.database.name:
            self.state, self.pending = "I", []
            return ["ERROR READONLY -"]
        for statement_id, item, data in self.pending:
            group.items[item] = data
            group.writes.append(statement_id)
            group.number += 1
        self.state, self.pending = "I", []
        return ["DONE signed"]
