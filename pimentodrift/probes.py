"""Reads the status of endpoints every 100 ms: samples for routing, probes for failover.

The owner of an endpoint reads its status; each watcher of a group also reads that of
the group's primary, so that several instances see a primary fail. A reading serves both
purposes.
"""

from datetime import timedelta

from attrs import frozen

from . import monitoring
from .database_group import (
    EndpointStatus,
    Role,
    parse_replicas,
    parse_status,
    replicas_statement,
    status_statement,
)
from .failover_rows import Channel, ProbeRow
from .membership import owned_endpoints, owns, watchers
from .messages import Position, Rows, Statement
from .monitoring import Batch, Results, job_ended, rows_of
from .rejoining import advance_rejoin, rejoin_row
from .tables import EndpointRow, GroupRow, State

PROBE_INTERVAL = timedelta(milliseconds=100)
PROBE_TIMEOUT = timedelta(milliseconds=300)
WATCH_INTERVAL = timedelta(milliseconds=200)
# Groups whose watchers are looked up per `WATCH_INTERVAL`; 2,300 groups take 4 s.
MAX_EXAMINED_GROUPS = 120


@frozen
class StatusJob:
    """A reading of an endpoint's status; `begun_at` is a monotonic time."""

    endpoint: str
    begun_at: timedelta


def run(state: State) -> None:
    """Begin the readings that are due."""
    now = state.clock.monotonic()
    if now - state.watched_at >= WATCH_INTERVAL:
        refresh_watched(state)
    read = {row.name: row for row in owned_endpoints(state)}
    for name in state.watched:
        primary = state.endpoints.get(state.groups[name].primary)
        if primary is not None:
            read[primary.name] = primary
    for row in read.values():
        begin_reading(row, state)


def refresh_watched(state: State) -> None:
    """Update the groups that this instance watches; drop the probes of others.

    The groups watched so far are examined each time and the others in turn, because
    ranking the watchers of 2,300 groups five times a second takes 3% of a core.
    """
    state.watched_at = state.clock.monotonic()
    names = list(state.groups)
    start = state.watch_examined % max(1, len(names))
    examined = dict.fromkeys(
        [*state.watched, *names[start : start + MAX_EXAMINED_GROUPS]]
    )
    state.watch_examined = start + MAX_EXAMINED_GROUPS
    for name in examined:
        found = watchers(name, state) if name in state.groups else []
        if state.settings.name in found:
            state.watched[name] = found
        else:
            state.watched.pop(name, None)
    for name in set(state.probes) - set(state.watched):
        del state.probes[name]


def begin_reading(row: EndpointRow, state: State) -> None:
    """Begin a reading unless one was begun less than an interval ago."""
    now = state.clock.monotonic()
    monitor = state.monitors.get((row.name, Channel.STATUS))
    if monitor is not None and now - monitor.used_at < PROBE_INTERVAL:
        return
    segments: tuple[tuple[Statement, ...], ...] = ((status_statement(),),)
    if state.groups[row.group].primary == row.name and owns(row, state):
        segments += ((replicas_statement(),),)
    job = StatusJob(row.name, now)
    batch = Batch(segments, PROBE_TIMEOUT)
    monitoring.submit(row.name, Channel.STATUS, job, batch, state)


@job_ended.register
def _(job: StatusJob, results: Results | None, state: State) -> None:
    row = state.endpoints.get(job.endpoint)
    if row is None:
        return
    rows = rows_of(results, 0)
    status = None if rows is None else parse_status(rows)
    group = state.groups[row.group]
    if group.primary == row.name and row.group in state.watched:
        update_probe(group, job, status, state)
        update_refused_since(group, state)
    if status is None:
        state.counters["probes.failed"] += 1
        rejoin_row(row.name, state).ahead_since = None
        return
    record_sample(row, status, job.begun_at)
    record_replica_progress(rows_of(results, 1), state)
    if owns(row, state):
        advance_rejoin(row, status, state)


def update_probe(
    group: GroupRow, job: StatusJob, status: EndpointStatus | None, state: State
) -> None:
    """Record whether the primary reports its role and the group's term."""
    probe = state.probes.get(group.name)
    if probe is None or probe.term != group.term:
        probe = ProbeRow(group.name, group.term)
        state.probes[group.name] = probe
    if status is not None and status.role == Role.PRIMARY and status.term == group.term:
        probe.failing_since = None
        probe.reports.clear()
    elif probe.failing_since is None and job.begun_at >= state.resumed_at:
        probe.failing_since = job.begun_at
        state.counters["probes.failures_began"] += 1


def update_refused_since(group: GroupRow, state: State) -> None:
    """Record since when the primary's machine has refused connections."""
    probe = state.probes[group.name]
    monitor = state.monitors.get((group.primary, Channel.STATUS))
    refused = monitor is not None and monitor.refused
    if probe.failing_since is None or not refused:
        probe.refused_since = None
    elif probe.refused_since is None:
        probe.refused_since = state.clock.monotonic()


def record_sample(row: EndpointRow, status: EndpointStatus, read_at: timedelta) -> None:
    """Record a reading of an endpoint unless a newer one is known."""
    if read_at <= row.sampled_at:
        return
    row.sampled_at = read_at
    row.is_primary = status.role == Role.PRIMARY
    if status.role == Role.FENCED:
        return  # A fenced endpoint reports the term of the fence, not of its log.
    offset = status.received if row.is_primary else status.replayed
    row.position = Position(status.term, offset)


def record_replica_progress(rows: Rows | None, state: State) -> None:
    """Record how much of the log the replicas have received, as the primary sees it."""
    for progress in parse_replicas(rows) if rows is not None else ():
        row = state.endpoints.get(progress.endpoint)
        if row is not None:
            received = Position(progress.term, progress.received)
            row.received = max(row.received, received)
