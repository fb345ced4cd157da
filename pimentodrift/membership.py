"""Tracks which instances are usable and which of them owns an endpoint.

Ownership follows from rendezvous hashing over the listed instances, without those that
this one suspects. Instances may disagree for a while: two owners of an endpoint cost
efficiency, never correctness.
"""

from datetime import timedelta

from .clock import MILLISECOND, NEVER
from .dispatch import handle
from .failover_rows import ContactRow
from .fencing.decisions import IN_FLIGHT_MARGIN, lease_end
from .messages import StoreObject
from .notices import PrimaryChanged
from .rendezvous import (
    check_usable,
    current_index,
    first_usable,
    heaviest_instances,
    invalidate_index,
    is_instance_usable,
    is_ranking_current,
    ranked,
    recheck_unusable,
)
from .tables import EndpointRow, GroupRow, Index, InstanceRow, Presence, Ranking, State

__all__ = [
    "apply",
    "data_centre_leaders",
    "first_usable",
    "group_endpoints",
    "instances_with_heartbeat",
    "is_instance_usable",
    "learn_primary",
    "owned_endpoints",
    "owner",
    "owner_candidates",
    "owns",
    "ranked",
    "recently_removed",
    "recheck_unusable",
    "record_heartbeat",
    "suspect",
    "track_contact",
    "watchers",
]

SUSPICION = timedelta(seconds=2)
# Configuration leases for which a removal is remembered; a copy of another instance may
# be as old as one of them.
REMEMBERED_LEASES = 2
# Ticks come every 20 ms; a gap as long as this means that the process was paused.
PAUSE = timedelta(seconds=1)
# Two different instances must have seen a primary fail before it is replaced.
MIN_WATCHERS = 2
# Bounds the age of `Index.owned`: when another instance becomes unusable, ownership
# changes but the epoch of the index does not.
OWNED_LIFETIME = timedelta(milliseconds=200)


def apply(item: StoreObject, state: State) -> None:
    """Update the rows that a changed object of the store describes."""
    value = item.value
    invalidate_index(item.kind, state)
    if item.kind == "instance":
        state.vacancies.hasten_all()
    match item.kind:
        case "allocator":
            state.vacancies.hasten(item.name, NEVER)
        case "instance" if value is None:
            remove_instance(item.name, state)
        case "instance":
            apply_instance(item.name, value or {}, state)
        case "endpoint" if value is None:
            state.endpoints.pop(item.name, None)
        case "endpoint":
            apply_endpoint(item.name, value or {}, state)
        case "group" if value is not None:
            apply_group(item, value, state)


def remove_instance(name: str, state: State) -> None:
    """Remove an instance; remember when, for as long as it may count as listed."""
    now = state.clock.monotonic()
    state.removals_known.pop(name, None)
    if state.instances.pop(name, None) is not None:
        state.removed_at[name] = now
    limit = now - REMEMBERED_LEASES * state.settings.configuration_lease
    for other in [other for other, at in state.removed_at.items() if at < limit]:
        del state.removed_at[other]


def recently_removed(state: State) -> set[str]:
    """Return the removed instances that may not know it yet and act as listed ones.

    So may one that knows, until its statements in flight have ended.
    """
    now = state.clock.monotonic()
    limit = now - lease_end(state.settings.configuration_lease)
    return {
        name
        for name, at in state.removed_at.items()
        if at >= limit
        and name not in state.instances
        and now - state.removals_known.get(name, now) < IN_FLIGHT_MARGIN
    }


def own_removal(state: State) -> int:
    """Return the version at which this instance was removed; 0 if it is listed."""
    item = state.view.objects.get(("instance", state.settings.name))
    return item.version if item is not None and item.value is None else 0


def record_known_removal(name: str, removal: int, state: State) -> None:
    """Record that a removed instance knows of its removal, or of a later one."""
    item = state.view.objects.get(("instance", name))
    if item is not None and item.value is None and 0 < item.version <= removal:
        state.removals_known.setdefault(name, state.clock.monotonic())


def apply_instance(name: str, value: dict[str, str], state: State) -> None:
    """Add or change an instance; keep what was observed about it."""
    state.removals_known.pop(name, None)
    row = state.instances.get(name)
    if row is None:
        row = InstanceRow(name, "", "", "", listed_at=state.clock.monotonic())
        state.instances[name] = row
    row.address = value["address"]
    row.region = value["region"]
    row.data_centre = value["data_centre"]
    row.presence = Presence(value.get("state", "live"))
    row.left_at = None
    row.can_fence = "fencing" in value
    row.reads_losses = "losses" in value
    row.follows_evacuations = "evacuation_bound_ms" in value
    row.serves_sessions = "serves_sessions" in value
    lease_ms = value.get("contact_lease_ms")
    contact_lease = None if lease_ms is None else int(lease_ms) * MILLISECOND
    if contact_lease != row.contact_lease:
        row.contact_lease = contact_lease
        row.contact_since = state.clock.monotonic()
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
    row.data_centre = str(value.get("data_centre", ""))
    row.listed = Presence(str(value.get("state", "live")))
    set_presence(row, state)
    state.groups.setdefault(row.group, GroupRow(row.group))


def set_presence(row: EndpointRow, state: State) -> None:
    """Set an endpoint's presence; it is leaving while its data centre is evacuated."""
    is_evacuated = row.data_centre in state.evacuations
    row.presence = Presence.LEAVING if is_evacuated else row.listed


def apply_group(item: StoreObject, value: dict[str, object], state: State) -> None:
    """Apply a group's object; its term and primary only if the term is higher."""
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
    """Record a primary if its term is the highest known; return whether it was."""
    if term <= row.term:
        return False
    row.term = term
    row.primary = primary
    row.term_starts.update(term_starts)
    return True


def suspect(name: str, state: State, duration: timedelta = SUSPICION) -> None:
    """Make an instance unusable until `duration` has passed and it answers a ping."""
    row = state.instances.get(name)
    if row is None or name == state.settings.name:
        return
    row.suspected_until = state.clock.monotonic() + duration
    if row.suspected_number is None:
        state.events.append(("instance_suspected", {"peer": name}))
    row.suspected_number = state.new_number()
    state.counters["membership.suspected"] += 1
    state.vacancies.hasten_all()


def has_refused_since(name: str, since: timedelta, state: State) -> bool:
    """Return whether an instance has refused a connection since a time.

    Its process has probably ended, but a partition may refuse connections as well. That
    is enough to stop waiting for the instance, not to act in its place.
    """
    refused_at = state.ended.get(name)
    return refused_at is not None and refused_at >= since


def has_restarted_since(name: str, since: timedelta, state: State) -> bool:
    """Return whether a process of an instance has told that it started after a time.

    Whatever an earlier process held or intended then has ended with it.
    """
    row = state.instances.get(name)
    return row is not None and row.started_after >= since


def data_centre_leaders(
    key: str, data_centre: str, count: int, state: State
) -> list[InstanceRow]:
    """Return the first usable instances of a data centre for a key."""
    index = current_index(state)
    rows = index.by_data_centre.get(data_centre, [])
    ranking = index.rankings.get(key)
    if ranking is None or not is_ranking_current(ranking, rows, index, state):
        found = heaviest_instances(key, rows, count, index, state)
        ranking = index.rankings[key] = Ranking(index.epoch, found, rows)
    return ranking.rows


def owner_candidates(endpoint: EndpointRow, state: State) -> list[InstanceRow]:
    """Return the usable instances in the order in which they own an endpoint."""
    rows = [row for row in state.instances.values() if is_instance_usable(row, state)]
    ordered = ranked(endpoint.name, rows)
    return sorted(ordered, key=lambda row: row.region != endpoint.region)


def owner(endpoint: EndpointRow, state: State) -> str | None:
    """Return the name of the instance that owns an endpoint."""
    row = first_usable(endpoint.name, endpoint.region, state)
    return row.name if row is not None else None


def owns(endpoint: EndpointRow, state: State) -> bool:
    """Return whether this instance owns an endpoint."""
    return owner(endpoint, state) == state.settings.name


def owned_endpoints(state: State) -> list[EndpointRow]:
    """Return the endpoints that this instance owns; may be `OWNED_LIFETIME` old."""
    index = current_index(state)
    now = state.clock.monotonic()
    is_old = now - index.owned_at >= OWNED_LIFETIME
    if is_old or index.owned_epoch != index.epoch:
        index.owned = [
            row for row in candidate_endpoints(index, state) if owns(row, state)
        ]
        index.owned_at, index.owned_epoch = now, index.epoch
    return index.owned


def candidate_endpoints(index: Index, state: State) -> list[EndpointRow]:
    """Return the endpoints of this region and of regions without usable instances."""
    rows = []
    for region, endpoints in index.endpoint_regions.items():
        if region == state.settings.region or not has_usable(region, index, state):
            rows += endpoints
    return rows


def has_usable(region: str, index: Index, state: State) -> bool:
    """Return whether a region has a usable instance."""
    rows = index.by_region.get(region, ())
    return any(check_usable(row, index, state) for _, row in rows)


def group_endpoints(group: str, state: State) -> list[EndpointRow]:
    """Return the endpoints of a group, by name."""
    return list(current_index(state).by_group.get(group, ()))


def watchers(group: str, state: State) -> list[str]:
    """Return the usable instances that watch a group's primary, by rank.

    They are the owners of the group's endpoints and the holders of reserved terms, and
    others by rank if these are fewer than `MIN_WATCHERS`. The first one is in charge of
    the group's object in the store.
    """
    index = current_index(state)
    reservations = state.groups[group].reservations
    ranking = index.watchers.get(group)
    if ranking is None or not is_ranking_current(ranking, reservations, index, state):
        rows = rank_watchers(group, index, state)
        ranking = index.watchers[group] = Ranking(index.epoch, rows, reservations)
    return [row.name for row in ranking.rows]


def rank_watchers(group: str, index: Index, state: State) -> list[InstanceRow]:
    """Rank the instances that watch a group's primary."""
    names = {owner(row, state) for row in group_endpoints(group, state)}
    names |= set(state.groups[group].reservations)
    rows = [state.instances[name] for name in names if name in state.instances]
    chosen = ranked(group, [row for row in rows if check_usable(row, index, state)])
    missing = MIN_WATCHERS - len(chosen)
    if missing > 0:
        others = [pair for pair in index.candidates if pair[1] not in chosen]
        chosen += heaviest_instances(group, others, missing, index, state)
    return chosen


def track_contact(name: str, state: State) -> None:
    """Add an instance to the contacts, which are pinged, or renew its use."""
    if name != state.settings.name:
        now = state.clock.monotonic()
        row = state.contacts.get(name)
        if row is None:
            row = state.contacts[name] = ContactRow(name, since=now)
            state.pings_due_at = NEVER
        row.used_at = now


def record_heartbeat(row: InstanceRow, state: State) -> None:
    """Record that a heartbeat of an instance has just arrived."""
    row.last_heard = state.clock.monotonic()
    current_index(state).heard[row.name] = row


def instances_with_heartbeat(state: State) -> list[InstanceRow]:
    """Return the listed instances with a heartbeat since this process last paused."""
    rows = current_index(state).heard
    for name in [name for name in rows if state.instances.get(name) is not rows[name]]:
        del rows[name]
    return [row for row in rows.values() if row.last_heard != NEVER]


def run(state: State) -> None:
    """Detect a pause of this process and discard what was observed before it."""
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
