"""Builds states of any size for `bench.slopes`: instances, groups and workspaces.

Objects enter a state as changes from the store's watch, as they do in an instance, so
that the state has all rows that a real one would have. Time stands still unless a
measurement advances the clock.
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
# Limit of the databases in the measured instance's region, so that it owns the same
# number of endpoints in states of different sizes.
MAX_LOCAL_DATABASES = 30
START = timedelta(seconds=100)
OWN_NAME = "instance-0"
CODEC = PeerCodec()


@define
class ManualClock:
    """A clock that a measurement advances."""

    time: timedelta = START  # The monotonic time.

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.time

    def monotonic(self) -> timedelta:
        """Return the monotonic time."""
        return self.time


def make_empty_state(name: str = OWN_NAME) -> State:
    """Return the state of an instance in the first data centre, without objects."""
    settings = Settings(
        name=name,
        region="region-0",
        data_centre="region-0-0",
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        platform="http://127.0.0.1:1",
    )
    return State(settings, ManualClock(), Random(1))


def instance_object(index: int, version: int) -> StoreObject:
    """Return the object of an instance; indexes go round all data centres."""
    region = f"region-{index % REGIONS}"
    data_centre = f"{region}-{index // REGIONS % DATA_CENTRES_PER_REGION}"
    value = {
        "address": f"10.{index >> 8}.{index & 255}.1:7001",
        "region": region,
        "data_centre": data_centre,
        "state": "live",
    }
    return StoreObject("instance", f"instance-{index}", version, value)


def endpoint_object(index: int, version: int, max_local: int) -> StoreObject:
    """Return the object of an endpoint; those of a group are in three regions.

    Only the first `max_local` endpoints may be in the measured instance's region.
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


def group_object(index: int, version: int) -> StoreObject:
    """Return the object of a group whose first endpoint is the primary."""
    value = {
        "term": 1,
        "primary": f"database-{index * ENDPOINTS_PER_GROUP}",
        "term_starts": {"1": 1},
        "reservations": {},
    }
    return StoreObject("group", f"group-{index}", version, value)


def workspace_value(index: int) -> dict[str, Any]:
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


def piece_objects(workspaces: int, count: int, version: int) -> list[StoreObject]:
    """Return the pieces and the manifest that declare some workspaces."""
    declared: list[dict[str, Any]] = [{} for _ in range(count)]
    for index in range(workspaces):
        declared[index % count][f"workspace-{index}"] = workspace_value(index)
    items = [
        StoreObject("piece", f"piece-{place}", version + place, {"workspaces": part})
        for place, part in enumerate(declared)
    ]
    return [*items, manifest_object(count, version + count)]


def manifest_object(count: int, version: int, changed: str = "") -> StoreObject:
    """Return a manifest; `changed`, if given, replaces the name of its first piece."""
    names = [f"piece-{place}" for place in range(count)]
    if changed:
        names[0] = changed
    value = {"publication": f"p{version}", "previous": "", "pieces": names}
    return StoreObject("manifest", "current", version, value)


def fleet_objects(instances: int, endpoints: int, max_local: int) -> list[StoreObject]:
    """Return the objects of instances, endpoints and their groups."""
    groups = -(-endpoints // ENDPOINTS_PER_GROUP)
    return [
        *(instance_object(index, index + 1) for index in range(instances)),
        *(
            endpoint_object(index, instances + index + 1, max_local)
            for index in range(endpoints)
        ),
        *(
            group_object(index, instances + endpoints + index + 1)
            for index in range(groups)
        ),
    ]


def receive_objects(state: State, items: list[StoreObject]) -> None:
    """Let a state handle changed objects of the store, received just now."""
    version = max((item.version for item in items), default=state.view.version)
    state.view.watch_sent_at = state.clock.monotonic()
    core.handle(ObjectsReceived(version, tuple(items)), state)


def make_filled_state(
    instances: int = 8,
    endpoints: int = 3,
    workspaces: int = 0,
    piece_count: int = 1,
    max_local: int = MAX_LOCAL_DATABASES,
    name: str = OWN_NAME,
    key: str = "",
) -> State:
    """Return the state of an instance that has received all objects of the store.

    If `key` is given, the only workspace in force is one with that key.
    """
    state = make_empty_state(name)
    receive_objects(state, fleet_objects(instances, endpoints, max_local))
    if workspaces:
        receive_objects(
            state, piece_objects(workspaces, piece_count, state.view.version + 1)
        )
        receive_objects(
            state, allocator_objects(workspaces, instances, state.view.version + 1)
        )
    if key:
        receive_objects(state, keyed_workspace_objects(key, state.view.version + 1))
    return state


def allocator_objects(
    workspaces: int, instances: int, version: int
) -> list[StoreObject]:
    """Return objects that make other instances the allocators of the workspaces."""
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
    """Return the piece and the manifest of one workspace with the given key."""
    items = piece_objects(1, 1, version)
    assert items[0].value is not None
    digest = sha256(key.encode()).hexdigest()
    items[0].value["workspaces"]["workspace-0"]["keys"] = [digest]
    return items


def encode(message: object) -> bytes:
    """Return the encoding of a message to a peer; empty for other messages."""
    if isinstance(message, SendPeer):
        return CODEC.encode(message.message)
    return CODEC.encode(message) if isinstance(message, PeerMessage) else b""
