"""States of any size for `bench.slopes`: instances, groups, workspaces and callers.

Objects enter a state as they do in the process, through the store's watch or a relay's
update, so that a state has what a real one would have. Time stands still unless a
measurement moves it.
"""

from datetime import UTC, datetime, timedelta
from hashlib import sha256
from random import Random
from typing import Any

from attrs import define

from pimentodrift import core
from pimentodrift.messages import ObjectsReceived, PeerMessage, SendPeer, StoreObject
from pimentodrift.peer_codec import PeerCodec
from pimentodrift.settings import Settings
from pimentodrift.tables import State

REGIONS = 8
DATA_CENTRES_PER_REGION = 2
ENDPOINTS_PER_GROUP = 3
# Keeps the number of owned endpoints the same in worlds of different sizes.
MAX_LOCAL_DATABASES = 30
START = timedelta(seconds=100)
OWN = "instance-0"
CODEC = PeerCodec()


@define
class ManualClock:
    """A clock that a measurement moves."""

    time: timedelta = START

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.time

    def monotonic(self) -> timedelta:
        """Return the monotonic time."""
        return self.time


def make_empty_state(name: str = OWN) -> State:
    """Return the empty state of an instance in the first data centre."""
    settings = Settings(
        name=name,
        region="region-0",
        data_centre="region-0-0",
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        platform="http://127.0.0.1:1",
    )
    return State(settings, ManualClock(), Random(1))


def instance(index: int, version: int) -> StoreObject:
    """Return the object of an instance; they fill the data centres in turn."""
    region = f"region-{index % REGIONS}"
    data_centre = f"{region}-{index // REGIONS % DATA_CENTRES_PER_REGION}"
    value = {
        "address": f"10.{index >> 8}.{index & 255}.1:7001",
        "region": region,
        "data_centre": data_centre,
        "state": "live",
    }
    return StoreObject("instance", f"instance-{index}", version, value)


def endpoint(index: int, version: int, max_local: int) -> StoreObject:
    """Return the object of an endpoint; those of a group are in three regions.

    Only the first `near` may be in the measured instance's region.
    """
    group, place = divmod(index, ENDPOINTS_PER_GROUP)
    region = (group + place) % REGIONS
    if index >= max_local:
        region = 1 + (group + place) % (REGIONS - 1)
    value = {
        "group": f"group-{group}",
        "region": f"region-{region}",
        "address": f"10.{128 + (index >> 8)}.{index & 255}.1:5432",
        "slots": 3,
        "connections": 24,
        "state": "live",
    }
    return StoreObject("endpoint", f"database-{index}", version, value)


def group(index: int, version: int) -> StoreObject:
    """Return the object of a group whose first endpoint is the primary."""
    value = {
        "term": 1,
        "primary": f"database-{index * ENDPOINTS_PER_GROUP}",
        "term_starts": {"1": 1},
        "reservations": {},
    }
    return StoreObject("group", f"group-{index}", version, value)


def workspace(index: int) -> dict[str, Any]:
    """Return a workspace with two keys, as a piece declares it."""
    keys = [sha256(f"{index}/{key}".encode()).hexdigest() for key in range(2)]
    return {
        "rate": 5000,
        "burst": 10_000,
        "share": 1,
        "groups": [f"group-{index}"],
        "stale_reads": {f"group-{index}": 500},
        "keys": keys,
        "open_routes": {},
    }


def pieces(workspaces: int, count: int, version: int) -> list[StoreObject]:
    """Return the pieces and the manifest that declare some workspaces."""
    declared: list[dict[str, Any]] = [{} for _ in range(count)]
    for index in range(workspaces):
        declared[index % count][f"workspace-{index}"] = workspace(index)
    items = [
        StoreObject("piece", f"piece-{place}", version + place, {"workspaces": part})
        for place, part in enumerate(declared)
    ]
    return [*items, manifest(count, version + count)]


def manifest(count: int, version: int, changed: str = "") -> StoreObject:
    """Return a manifest; `changed` stands in place of its first piece."""
    names = [f"piece-{place}" for place in range(count)]
    if changed:
        names[0] = changed
    value = {"publication": f"p{version}", "previous": "", "pieces": names}
    return StoreObject("manifest", "current", version, value)


def fleet_objects(instances: int, endpoints: int, max_local: int) -> list[StoreObject]:
    """Return the objects of instances, endpoints and their groups."""
    groups = -(-endpoints // ENDPOINTS_PER_GROUP)
    return [
        *(instance(index, index + 1) for index in range(instances)),
        *(
            endpoint(index, instances + index + 1, max_local)
            for index in range(endpoints)
        ),
        *(group(index, instances + endpoints + index + 1) for index in range(groups)),
    ]


def receive(state: State, items: list[StoreObject]) -> None:
    """Let a state take over objects of the store, just confirmed."""
    version = max((item.version for item in items), default=state.view.version)
    state.view.watch_sent_at = state.clock.monotonic()
    core.handle(ObjectsReceived(version, tuple(items)), state)


def make_filled_state(
    instances: int = 8,
    endpoints: int = 3,
    workspaces: int = 0,
    piece_count: int = 1,
    max_local: int = MAX_LOCAL_DATABASES,
    name: str = OWN,
    key: str = "",
) -> State:
    """Return the state of an instance that has received all objects.

    With a `key`, there is one workspace, whose key it is.
    """
    state = make_empty_state(name)
    receive(state, fleet_objects(instances, endpoints, max_local))
    if workspaces:
        receive(state, pieces(workspaces, piece_count, state.view.version + 1))
        receive(state, allocator_objects(workspaces, instances, state.view.version + 1))
    if key:
        receive(state, keyed_workspace_objects(key, state.view.version + 1))
    return state


def allocator_objects(
    workspaces: int, instances: int, version: int
) -> list[StoreObject]:
    """Return the allocators of the workspaces, which are other instances."""
    holders = [f"instance-{1 + index % (instances - 1)}" for index in range(workspaces)]
    return [
        StoreObject(
            "allocator",
            f"workspace-{index}",
            version + index,
            {"epoch": 1, "holder": holder},
        )
        for index, holder in enumerate(holders)
    ]


def keyed_workspace_objects(key: str, version: int) -> list[StoreObject]:
    """Return the piece and the manifest of one workspace with a key."""
    items = pieces(1, 1, version)
    assert items[0].value is not None
    digest = sha256(key.encode()).hexdigest()
    items[0].value["workspaces"]["workspace-0"]["keys"] = [digest]
    return items


def encode(message: object) -> bytes:
    """Return the bytes on the wire of what the core sends to a peer."""
    if isinstance(message, SendPeer):
        return CODEC.encode(message.message)
    return CODEC.encode(message) if isinstance(message, PeerMessage) else b""
