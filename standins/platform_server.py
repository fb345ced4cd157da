"""Stand-in for the platform's store: versioned objects, conditional writes and a watch.

The store is in memory and speaks the HTTP protocol of the design's section 4. Each
`--listen` address may name a region. The `address` values in responses can be rewritten
per region, so that a test can put delayed links between regions. Tests inject faults
with `/standin/faults`.
"""

import argparse
import asyncio
from collections import Counter
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

from .processes import parse_host_port, wait_for_stop_signal

MAX_VALUE_BYTES = 2**20
MAX_WAIT_MS = 60_000  # Limit of how long a watch request waits for a change.

Key = tuple[str, str]


@define
class Faults:
    """Faults that a test injects."""

    down: bool = False  # Requests get status 503.
    delay_ms: float = 0  # Delay before a request is handled.
    lose_next_answers: int = 0  # Number of next applied writes that get no response.


@define
class StoredObject:
    """An object with its version; `value` is None if it is deleted or never existed."""

    kind: str
    name: str
    version: int = 0
    value: dict[str, Any] | None = None


@define
class Store:
    """All objects, and the faults and rewrites that a test has set."""

    version: int = 0  # Version of the latest write.
    objects: dict[Key, StoredObject] = field(factory=dict)
    faults: Faults = field(factory=Faults)
    # Replacements of addresses by region and original address.
    rewrites: dict[str, dict[str, str]] = field(factory=dict)
    calls: Counter[str] = field(factory=Counter)  # Numbers of calls by kind.
    # Wakes the waiting watch requests; replaced by a new event each time it is set.
    changed: asyncio.Event = field(factory=asyncio.Event)

    def find_object(self, key: Key) -> StoredObject:
        """Return an object; one that never existed has version 0."""
        return self.objects.get(key) or StoredObject(*key)

    def write(self, key: Key, value: dict[str, Any] | None) -> StoredObject:
        """Store a value under the next version and wake the watches."""
        self.version += 1
        item = StoredObject(*key, self.version, value)
        self.objects[key] = item
        self.wake_watches()
        return item

    def wake_watches(self) -> None:
        """Wake the waiting watch requests to check for changes and faults."""
        self.changed.set()
        self.changed = asyncio.Event()

    def objects_after(self, version: int) -> list[StoredObject]:
        """Return the objects changed after a version, in order of their versions."""
        items = [item for item in self.objects.values() if item.version > version]
        return sorted(items, key=lambda item: item.version)


def json_response(value: object, status: int = 200) -> web.Response:
    """Return an HTTP response with a value as JSON."""
    return web.Response(
        body=orjson.dumps(value), status=status, content_type="application/json"
    )


@define
class RegionalApi:
    """The HTTP API of the store as instances of one region see it."""

    store: Store
    region: str

    def make_application(self) -> web.Application:
        """Return an aiohttp application with all routes."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self.inject_faults]
        )
        app.router.add_get("/v1/objects", self.watch)
        app.router.add_get("/v1/objects/{kind}/{name}", self.get)
        app.router.add_put("/v1/objects/{kind}/{name}", self.put)
        app.router.add_delete("/v1/objects/{kind}/{name}", self.delete)
        app.router.add_post("/standin/faults", self.set_faults)
        app.router.add_post("/standin/rewrites", self.set_rewrites)
        app.router.add_get("/standin/calls", self.get_calls)
        return app

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Apply the injected faults to requests outside `/standin/`."""
        if request.path.startswith("/standin/"):
            return await self.call_handler(request, handler)
        if self.store.faults.delay_ms:
            await asyncio.sleep(self.store.faults.delay_ms / 1000)
        if self.store.faults.down:
            self.store.calls["unavailable"] += 1
            return json_response({"error": "the store is down"}, 503)
        response = await self.call_handler(request, handler)
        if (
            request.method in ("PUT", "DELETE")
            and response.status == web.HTTPOk.status_code
        ):
            self.drop_response(request)
        return response

    async def call_handler(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Call a handler; aiohttp's middleware leaves its result untyped."""
        response: web.StreamResponse = await handler(request)
        return response

    def drop_response(self, request: web.Request) -> None:
        """Abort the connection of an applied write if lost answers are injected."""
        if not self.store.faults.lose_next_answers:
            return
        self.store.faults.lose_next_answers -= 1
        self.store.calls["lost_answers"] += 1
        if request.transport is not None:
            request.transport.abort()

    def describe(self, item: StoredObject) -> dict[str, object]:
        """Return the JSON fields of an object, with its address rewritten."""
        value = item.value
        rewrites = self.store.rewrites.get(self.region, {})
        if value is not None and value.get("address") in rewrites:
            value = {**value, "address": rewrites[value["address"]]}
        return {
            "kind": item.kind,
            "name": item.name,
            "version": item.version,
            "value": value,
        }

    async def get(self, request: web.Request) -> web.Response:
        """Respond with one object."""
        self.store.calls["get"] += 1
        item = self.store.find_object(key_of(request))
        if item.value is None:
            return json_response({"error": "no such object"}, 404)
        return json_response(self.describe(item))

    async def put(self, request: web.Request) -> web.Response:
        """Create or replace an object if the precondition holds."""
        self.store.calls["put"] += 1
        body = await request.read()
        if len(body) > MAX_VALUE_BYTES:
            return json_response({"error": f"over {MAX_VALUE_BYTES} bytes"}, 413)
        try:
            value = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return json_response({"error": str(error)}, 400)
        if not isinstance(value, dict):
            return json_response({"error": "the value is no JSON object"}, 400)
        return self.write(request, value)

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object if the precondition holds."""
        self.store.calls["delete"] += 1
        return self.write(request, None)

    def write(self, request: web.Request, value: dict[str, Any] | None) -> web.Response:
        """Write a value if the precondition holds.

        Otherwise respond with status 409 and the current object.
        """
        key = key_of(request)
        item = self.store.find_object(key)
        if "If-None-Match" in request.headers:
            matches = item.value is None
        elif "If-Match" in request.headers:
            expected = request.headers["If-Match"].strip('" ')
            matches = item.value is not None and expected == str(item.version)
        else:
            return json_response(
                {"error": "If-Match or If-None-Match is required"}, 428
            )
        if not matches:
            self.store.calls["conflict"] += 1
            return json_response(self.describe(item), 409)
        return json_response(self.describe(self.store.write(key, value)))

    async def watch(self, request: web.Request) -> web.Response:
        """Respond with the objects changed after a version.

        If there are none, wait up to `wait_ms` milliseconds for a change.
        """
        self.store.calls["watch"] += 1
        try:
            after = int(request.query.get("after", "0"))
            wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError as error:
            return json_response({"error": str(error)}, 400)
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        items = self.store.objects_after(after)
        is_in_time = True
        while is_in_time and not items:
            if self.store.faults.down:
                return json_response({"error": "the store is down"}, 503)
            is_in_time = await self.wait_for_change(deadline)
            # An object may have changed since the wait ended. The version below would
            # tell that the caller has it.
            items = self.store.objects_after(after)
        return json_response(
            {
                "version": max(self.store.version, after),
                "items": [self.describe(item) for item in items],
            }
        )

    async def wait_for_change(self, deadline: float) -> bool:
        """Wait for a change; return False if the deadline in loop time passes first."""
        try:
            async with asyncio.timeout_at(deadline):
                await self.store.changed.wait()
        except TimeoutError:
            return False
        return True

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the faults that the request's body names."""
        body = orjson.loads(await request.read())
        faults = self.store.faults
        faults.down = bool(body.get("down", faults.down))
        faults.delay_ms = float(body.get("delay_ms", faults.delay_ms))
        faults.lose_next_answers = int(
            body.get("lose_next_answers", faults.lose_next_answers)
        )
        self.store.wake_watches()
        return json_response(
            {
                "down": faults.down,
                "delay_ms": faults.delay_ms,
                "lose_next_answers": faults.lose_next_answers,
            }
        )

    async def set_rewrites(self, request: web.Request) -> web.Response:
        """Replace the address rewrites of the regions that the request's body names."""
        body = orjson.loads(await request.read())
        self.store.rewrites.update(body)
        return json_response(self.store.rewrites)

    async def get_calls(self, request: web.Request) -> web.Response:
        """Respond with the numbers of calls by kind."""
        return json_response(dict(self.store.calls))


def key_of(request: web.Request) -> Key:
    """Return the kind and name of the object in a request's path."""
    return request.match_info["kind"], request.match_info["name"]


def parse_listen_address(text: str) -> tuple[str, str, int]:
    """Parse [REGION=]HOST:PORT."""
    region, _, address = text.rpartition("=")
    return (region, *parse_host_port(address))


async def serve(listen: list[tuple[str, str, int]]) -> None:
    """Serve one store on all addresses until a stop signal arrives."""
    store = Store()
    runners = []
    for region, host, port in listen:
        app = RegionalApi(store, region).make_application()
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        runners.append(runner)
    await wait_for_stop_signal()
    for runner in runners:
        await runner.cleanup()


def main(texts: list[str] | None = None) -> None:
    """Run the store as a process."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's store.")
    parser.add_argument(
        "--listen",
        action="append",
        required=True,
        type=parse_listen_address,
        metavar="[REGION=]HOST:PORT",
    )
    asyncio.run(serve(parser.parse_args(texts).listen))


if __name__ == "__main__":
    main()
