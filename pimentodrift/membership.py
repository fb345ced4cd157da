"""Which instances are usable, and which of them owns an endpoint.

Ownership follows from rendezvous hashing over the platform's list less the instances
that this one suspects. Instances may disagree for a while: two owners of an endpoint
cost efficiency, never correctness.
"""

from collections.abc import Iterable
from datetime import timedelta
from functools import lru_cache

import xxhash

from .dispatch import handle
from .messages import PrimaryChanged, StoreObject
from .tables import (
    NEVER,
    ContactRow,
    EndpointRow,
    GroupRow,
    InstanceRow,
    Presence,
    State,
)

SUSPICION = timedelta(seconds=2)
# Ticks come every 20 ms; a gap as long as this means that the process was paused.
PAUSE = timedelta(seconds=1)
# Two different instances must have seen a primary fail before it is replaced.
MIN_WATCHERS = 2
WEIGHT_CACHE = 2**16  # Entries, for 8 instances and some thousand keys.


def apply(item: StoreObject, state: State) -> None:
    """Update the rows that a changed object of the store describes."""
    value = item.value
    match item.kind:
        case "instance" if value is None:
            state.instances.pop(item.name, None)
        case "instance":
            apply_instance(item.name, value or {}, state)
        case "endpoint" if value is None:
            state.endpoints.pop(item.name, None)
        case "endpoint":
            apply_endpoint(item.name, value or {}, state)
        case "group" if value is not None:
            apply_group(item, value, state)


def apply_instance(name: str, value: dict[str, str], state: State) -> None:
    """Add or change an instance; keep what was observed about it."""
    row = state.instances.get(name)
    if row is None:
        row = InstanceRow(name, "", "", "")
        state.instances[name] = row
    row.address = value["address"]
    row.region = value["region"]
    row.data_centre = value["data_centre"]
    row.presence = Presence(value.get("state", "live"))
    if name == state.settings.name and state.stopping:
        # The platform's list may lag behind this instance's own stop.
        row.presence = Presence.LEAVING


def apply_endpoint(name: str, value: dict[str, object], state: State) -> None:
    """Add or change an endpoint; keep its observed position."""
    row = state.endpoints.get(name)
    if row is None:
        row = EndpointRow(name, "", "", "", 1, 2)
        state.endpoints[name] = row
    row.group = str(value["group"])
    row.region = str(value["region"])
    row.address = str(value["address"])
    row.slots = int(str(value["slots"]))
    row.connections = int(str(value["connections"]))
    row.presence = Presence(str(value.get("state", "live")))
    state.groups.setdefault(row.group, GroupRow(row.group))


def apply_group(item: StoreObject, value: dict[str, object], state: State) -> None:
    """Take over a group's object; its term and primary only if the term is higher."""
    row = state.groups.setdefault(item.name, GroupRow(item.name))
    row.version = item.version
    reservations = value.get("reservations")
    if isinstance(reservations, dict):
        row.reservations = {name: int(term) for name, term in reservations.items()}
    starts = value.get("term_starts")
    learned = learn_primary(
        row,
        int(str(value["term"])),
        str(value["primary"]),
        {int(term): int(start) for term, start in starts.items()}
        if isinstance(starts, dict)
        else {},
    )
    if learned:
        handle(PrimaryChanged(row.name), state)


def learn_primary(
    row: GroupRow, term: int, primary: str, term_starts: dict[int, int]
) -> bool:
    """Record a primary unless a higher or equal term is known; tell whether it was."""
    if term <= row.term:
        return False
    row.term = term
    row.primary = primary
    row.term_starts.update(term_starts)
    return True


def usable(row: InstanceRow, state: State) -> bool:
    """Return whether new work may go to an instance."""
    return usable_at(row, state.clock.monotonic())


def usable_at(row: InstanceRow, now: timedelta) -> bool:
    """Return whether new work may go to an instance at a time."""
    if row.presence is not Presence.LIVE:
        return False
    if row.suspected_number is not None:
        return False
    return row.suspected_until <= now


def suspect(name: str, state: State) -> None:
    """Leave an instance out of ownership for a while and until it answers a ping."""
    row = state.instances.get(name)
    if row is None or name == state.settings.name:
        return
    row.suspected_until = state.clock.monotonic() + SUSPICION
    if row.suspected_number is None:
        state.events.append(("instance_suspected", {"peer": name}))
    row.suspected_number = state.number()
    state.counters["membership.suspected"] += 1


@lru_cache(maxsize=WEIGHT_CACHE)
def weight(key: str, name: str) -> int:
    """Return the rendezvous weight of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def ranked(key: str, rows: Iterable[InstanceRow]) -> list[InstanceRow]:
    """Return the rows in rendezvous order for a key."""
    return sorted(
        rows,
        key=lambda row: weight(key, row.name),
        reverse=True,
    )


def owners(endpoint: EndpointRow, state: State) -> list[InstanceRow]:
    """Return the usable instances in the order in which they own an endpoint.

    Instances of the endpoint's region go first, so that a database in a region
    without usable instances still has an owner.
    """
    # Each request asks for owners, so the time is read once for all rows.
    now = state.clock.monotonic()
    rows = [row for row in state.instances.values() if usable_at(row, now)]
    ordered = ranked(endpoint.name, rows)
    return sorted(ordered, key=lambda row: row.region != endpoint.region)


def owner(endpoint: EndpointRow, state: State) -> str | None:
    """Return the name of the instance that owns an endpoint."""
    rows = owners(endpoint, state)
    return rows[0].name if rows else None


def owns(endpoint: EndpointRow, state: State) -> bool:
    """Return whether this instance owns an endpoint."""
    return owner(endpoint, state) == state.settings.name


def group_endpoints(group: str, state: State) -> list[EndpointRow]:
    """Return the endpoints of a group, by name."""
    rows = (row for row in state.endpoints.values() if row.group == group)
    return sorted(rows, key=lambda row: row.name)


def watchers(group: str, state: State) -> list[str]:
    """Return the usable instances that watch a group's primary, the first in charge.

    They are the owners of the group's endpoints and the holders of reserved terms,
    and others by rank when these are fewer than two.
    """
    usable_rows = [row for row in state.instances.values() if usable(row, state)]
    order = [row.name for row in ranked(group, usable_rows)]
    names = {owner(row, state) for row in group_endpoints(group, state)}
    names |= set(state.groups[group].reservations)
    chosen = [name for name in order if name in names]
    others = [name for name in order if name not in names]
    return chosen + others[: max(0, MIN_WATCHERS - len(chosen))]


def contact(name: str, state: State) -> None:
    """Note that this instance sends to another one and wants to know if it is alive."""
    if name != state.settings.name:
        row = state.contacts.setdefault(name, ContactRow(name))
        row.used_at = state.clock.monotonic()


def run(state: State) -> None:
    """Detect a pause of this process, after which nothing heard before counts."""
    now = state.clock.monotonic()
    before, state.ticked_at = state.ticked_at, now
    if before is None or now - before <= PAUSE:
        return
    state.resumed_at = now
    state.counters["membership.pauses"] += 1
    state.events.append(
        ("process_paused", {"pause_ms": (now - before) // timedelta(milliseconds=1)})
    )
    for instance in state.instances.values():
        instance.last_heard = NEVER
    for contact_row in state.contacts.values():
        contact_row.unanswered = 0
    for probe in state.probes.values():
        probe.failing_since = probe.established_at = None
        probe.reports.clear()
