"""Brings endpoints back into their group: they follow the current primary again.

The owner of an endpoint acts on each reading of its status. An endpoint that is fenced
or has an older term is made to follow the primary. The log entries that it drops then
are stored for the auditor, and only after that may the endpoint serve reads.
"""

from collections.abc import Iterator
from datetime import timedelta
from itertools import count
from typing import Any

from attrs import frozen

from . import monitoring
from .clock import NEVER
from .database_group import (
    DroppedEntry,
    EndpointStatus,
    Role,
    dropped_statement,
    follow_statement,
    parse_dropped,
    parse_follow,
)
from .failover_rows import Channel, RejoinRow
from .messages import StoreObject
from .monitoring import Batch, Results, job_ended, rows_of
from .store_writes import StoreOutcome, write_ended, write_object
from .tables import EndpointRow, GroupRow, State

# Time between two attempts to bring an endpoint back. It is longer than a command and a
# status reading take, so that attempts do not overlap.
ATTEMPT_INTERVAL = timedelta(milliseconds=500)
COMMAND_TIMEOUT = timedelta(milliseconds=500)
# Reads avoid an endpoint for this long; each status reading renews it.
EXCLUSION = timedelta(seconds=1)
MAX_ENTRIES = 1000  # Entries in one stored object.
# The store takes values of up to a megabyte; JSON escapes can double a statement.
MAX_OBJECT_CHARACTERS = 400_000


@frozen
class FollowJob:
    """A command to follow the primary of a term."""

    endpoint: str
    term: int


@frozen
class DroppedJob:
    """A reading of the entries that an endpoint dropped when it joined a term."""

    endpoint: str
    term: int


@frozen
class DroppedWrite:
    """The purpose of a store write of one object with dropped entries."""

    endpoint: str
    term: int
    name: str


def advance_rejoin(endpoint: EndpointRow, status: EndpointStatus, state: State) -> None:
    """Start the next step of an owned endpoint's return, according to its status."""
    group = state.groups[endpoint.group]
    if group.term == 0:
        return
    row = rejoin_row(endpoint.name, state)
    row.lineage_term = status.term
    if status.role != Role.FENCED:
        row.ahead_since = None
    if endpoint.name == group.primary:
        return
    if row.checked_term < group.term:
        endpoint.failing_until = state.clock.monotonic() + EXCLUSION
    if status.term > group.term:
        record_ahead(row, state)
    elif status.role != Role.REPLICA or status.term < group.term:
        begin_follow(row, group, state)
    elif row.checked_term < group.term and not row.writes:
        read_dropped_entries(row, group, state)


def record_ahead(row: RejoinRow, state: State) -> None:
    """Record that an endpoint has a higher term than its group.

    A failover is in progress or was abandoned; `detection` makes one due if this lasts.
    """
    if row.ahead_since is None:
        row.ahead_since = state.clock.monotonic()


def rejoin_row(endpoint: str, state: State) -> RejoinRow:
    """Return the row of an endpoint's return to its group."""
    return state.rejoins.setdefault(endpoint, RejoinRow(endpoint))


def first_divergent_offset(endpoint: str, group: GroupRow, state: State) -> int | None:
    """Return the first offset at which an endpoint's log may differ from the group's.

    None if unknown. The log of an endpoint that missed several terms may differ from
    where the first of them started, not only from where the current one did.
    """
    lineage = rejoin_row(endpoint, state).lineage_term
    if lineage is None or group.term not in group.term_starts:
        return None
    missed = (start for term, start in group.term_starts.items() if term > lineage)
    return min(missed, default=group.term_starts[group.term])


def is_readable(endpoint: EndpointRow, state: State) -> bool:
    """Return whether the endpoint's dropped entries are stored, as far as known."""
    row = state.rejoins.get(endpoint.name)
    group = state.groups[endpoint.group]
    if row is None or endpoint.name == group.primary:
        return True
    return row.checked_term >= group.term


def begin_follow(row: RejoinRow, group: GroupRow, state: State) -> None:
    """Make an endpoint follow its primary, unless tried within `ATTEMPT_INTERVAL`."""
    now = state.clock.monotonic()
    if now - row.attempted_at >= ATTEMPT_INTERVAL and send_follow(
        row.endpoint, group, state
    ):
        row.attempted_at = now


def send_follow(endpoint: str, group: GroupRow, state: State) -> bool:
    """Send the command to follow the group's primary."""
    primary = state.endpoints.get(group.primary)
    start = first_divergent_offset(endpoint, group, state)
    if primary is None or start is None:
        return False
    statement = follow_statement(group.term, primary.address, start)
    job = FollowJob(endpoint, group.term)
    batch = Batch(((statement,),), COMMAND_TIMEOUT)
    return monitoring.submit(endpoint, Channel.COMMAND, job, batch, state)


@job_ended.register
def _(job: FollowJob, results: Results | None, state: State) -> None:
    rows = rows_of(results, 0)
    accepted = rows is not None and parse_follow(rows)
    outcome = "accepted" if accepted else "failed"
    state.counters[f"rejoining.follow_{outcome}"] += 1
    endpoint = state.endpoints.get(job.endpoint)
    failover = state.failovers.get(endpoint.group) if endpoint is not None else None
    row = rejoin_row(job.endpoint, state)
    if rows is not None and not accepted:
        record_ahead(row, state)
    if not accepted:
        return
    row.ahead_since = None
    row.attempted_at = NEVER
    if failover is not None and failover.term == job.term:
        failover.following.add(job.endpoint)


def read_dropped_entries(row: RejoinRow, group: GroupRow, state: State) -> None:
    """Read an endpoint's dropped entries, unless tried within `ATTEMPT_INTERVAL`."""
    now = state.clock.monotonic()
    if now - row.attempted_at < ATTEMPT_INTERVAL:
        return
    job = DroppedJob(row.endpoint, group.term)
    batch = Batch(((dropped_statement(),),), COMMAND_TIMEOUT)
    if monitoring.submit(row.endpoint, Channel.COMMAND, job, batch, state):
        row.attempted_at = now


@job_ended.register
def _(job: DroppedJob, results: Results | None, state: State) -> None:
    rows = rows_of(results, 0)
    row = state.rejoins.get(job.endpoint)
    endpoint = state.endpoints.get(job.endpoint)
    if rows is None or row is None or endpoint is None:
        return
    known = stored_entries(endpoint, state)
    entries = [
        entry
        for entry in parse_dropped(rows)
        if (entry.term, entry.position) not in known
    ]
    if not entries:
        complete_rejoin(row, job.term, state)
        return
    state.counters["rejoining.dropped_entries"] += len(entries)
    names = unused_names(f"{endpoint.group}-{job.term}-{endpoint.name}", state)
    for name, part in zip(names, split_entries(entries), strict=False):
        row.writes.add(name)
        purpose = DroppedWrite(endpoint.name, job.term, name)
        item = StoreObject("dropped", name, 0, None)
        write_object(item, dropped_value(endpoint, job.term, part), purpose, state)


def unused_names(name: str, state: State) -> Iterator[str]:
    """Yield object names that, as far as known, the store does not have."""
    for number in count(1):
        candidate = name if number == 1 else f"{name}-{number}"
        if ("dropped", candidate) not in state.view.objects:
            yield candidate


def stored_entries(endpoint: EndpointRow, state: State) -> set[tuple[int, int]]:
    """Return the term and position of the endpoint's entries that the store has."""
    return {
        (entry["term"], entry["position"])
        for (kind, _), item in state.view.objects.items()
        if kind == "dropped" and item.value is not None
        if item.value["endpoint"] == endpoint.name
        for entry in item.value["entries"]
    }


def split_entries(entries: list[DroppedEntry]) -> Iterator[list[DroppedEntry]]:
    """Split entries into lists that fit into one stored object each."""
    part: list[DroppedEntry] = []
    size = 0
    for entry in entries:
        length = len(entry.statement)
        if part and (len(part) == MAX_ENTRIES or size + length > MAX_OBJECT_CHARACTERS):
            yield part
            part, size = [], 0
        part.append(entry)
        size += length
    yield part


def dropped_value(
    endpoint: EndpointRow, term: int, entries: list[DroppedEntry]
) -> dict[str, Any]:
    """Return the value of an object of dropped entries."""
    return {
        "group": endpoint.group,
        "term": term,
        "endpoint": endpoint.name,
        "entries": [
            {
                "term": entry.term,
                "position": entry.position,
                "statement": entry.statement,
            }
            for entry in entries
        ],
    }


@write_ended.register
def _(purpose: DroppedWrite, outcome: StoreOutcome, state: State) -> None:
    row = state.rejoins.get(purpose.endpoint)
    if row is None:
        return
    row.writes.discard(purpose.name)
    if outcome is StoreOutcome.UNCLEAR:
        # The entries are read and written again after `ATTEMPT_INTERVAL`.
        row.attempted_at = state.clock.monotonic()
    elif not row.writes:
        # The next reading finds the entries in the view and completes the check.
        row.attempted_at = state.clock.monotonic() - ATTEMPT_INTERVAL


def complete_rejoin(row: RejoinRow, term: int, state: State) -> None:
    """Let reads use an endpoint whose dropped entries are all in the store."""
    row.checked_term = max(row.checked_term, term)
    endpoint = state.endpoints[row.endpoint]
    group = state.groups[endpoint.group]
    if row.checked_term == group.term:
        endpoint.failing_until = state.clock.monotonic()
        state.events.append(
            ("endpoint_rejoined", {"endpoint": endpoint.name, "term": term})
        )
