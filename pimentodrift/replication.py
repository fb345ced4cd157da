"""Confirms committed writes once enough endpoints of the group have received them.

While writes wait, one monitoring connection to the primary reads the replicas'
progress back to back, and each reading serves all waiting writes. A write is confirmed
only by a reading that also shows the primary still in the write's term.
"""

from datetime import timedelta

from attrs import frozen

from . import monitoring
from .database_group import (
    ReplicaProgress,
    Role,
    parse_replicas,
    parse_status,
    replicas_statement,
    status_statement,
)
from .dispatch import handle
from .errors import Problem, outcome_unknown
from .failover_rows import Channel, WaitingWrite
from .membership import group_endpoints
from .messages import Durability, Position
from .monitoring import Batch, Results, job_ended, rows_of
from .notices import WriteAcknowledged, WriteUnconfirmed
from .tables import State

# A reading takes one round trip; a primary that is slower than this is not usable.
READING_TIMEOUT = timedelta(milliseconds=500)


@frozen
class ReadingJob:
    """A reading of the replicas' progress; confirms only writes with a lower number."""

    endpoint: str
    number: int


# The parameters are the interface to `execution`.
def await_acknowledgment(  # noqa: PLR0917
    work: int,
    endpoint: str,
    position: Position,
    durability: Durability,
    deadline: timedelta,
    state: State,
) -> None:
    """Wait until a committed write is replicated; `deadline` is a monotonic time.

    The wait ends with `WriteAcknowledged` or `WriteUnconfirmed`.
    """
    waiting = state.waiting_writes.setdefault(endpoint, {})
    waiting[work] = WaitingWrite(
        work, endpoint, position, durability, deadline, state.new_number()
    )
    begin_reading(endpoint, state)


def begin_reading(endpoint: str, state: State) -> None:
    """Begin a reading if writes wait and none is in progress."""
    if not state.waiting_writes.get(endpoint):
        return
    # The status is read last, so that its term and role hold for the whole reading.
    segments = ((replicas_statement(),), (status_statement(),))
    job = ReadingJob(endpoint, state.new_number())
    batch = Batch(segments, READING_TIMEOUT)
    monitoring.submit(endpoint, Channel.ACKNOWLEDGMENT, job, batch, state)


@job_ended.register
def _(job: ReadingJob, results: Results | None, state: State) -> None:
    progress_rows, status_rows = rows_of(results, 0), rows_of(results, 1)
    if status_rows is None:
        state.counters["replication.readings_failed"] += 1
        return  # The next tick begins another reading.
    status = parse_status(status_rows)
    term = status.term if status.role == Role.PRIMARY else 0
    progress = [] if progress_rows is None else parse_replicas(progress_rows)
    members = group_members(job.endpoint, state)
    state.counters["replication.readings"] += 1
    for write in list(state.waiting_writes.get(job.endpoint, {}).values()):
        if write.number > job.number:
            continue
        if write.position.term != term:
            report_unconfirmed(
                write, "the endpoint is not the primary of the write's term", state
            )
        elif is_replicated(write, progress, members):
            report_acknowledged(write, state)
    begin_reading(job.endpoint, state)


def group_members(endpoint: str, state: State) -> set[str]:
    """Return the endpoints of an endpoint's group; none if it is not listed."""
    row = state.endpoints.get(endpoint)
    if row is None:
        return set()
    return {member.name for member in group_endpoints(row.group, state)}


def is_replicated(
    write: WaitingWrite, progress: list[ReplicaProgress], members: set[str]
) -> bool:
    """Return whether enough endpoints of the group have received a write."""
    received = {
        row.endpoint
        for row in progress
        if row.term == write.position.term and row.received >= write.position.offset
    }
    received = (received | {write.endpoint}) & members
    return bool(members) and len(received) >= required_copies(
        write.durability, len(members)
    )


def required_copies(durability: Durability, members: int) -> int:
    """Return how many endpoints of a group must have a write."""
    return members if durability is Durability.ALL else members // 2 + 1


def report_acknowledged(write: WaitingWrite, state: State) -> None:
    """Report a write as confirmed."""
    del state.waiting_writes[write.endpoint][write.work]
    state.counters["replication.acknowledged"] += 1
    handle(WriteAcknowledged(write.work), state)


def report_unconfirmed(write: WaitingWrite, detail: str, state: State) -> None:
    """Report a write whose replication was not confirmed."""
    del state.waiting_writes[write.endpoint][write.work]
    state.counters["replication.unconfirmed"] += 1
    failure = outcome_unknown(Problem.ACKNOWLEDGMENT_MISSING, detail)
    handle(WriteUnconfirmed(write.work, failure), state)


def run(state: State) -> None:
    """End the waits that can no longer succeed and begin further readings."""
    for endpoint, waiting in list(state.waiting_writes.items()):
        for write in list(waiting.values()):
            end_expired_wait(write, state)
        if waiting:
            begin_reading(endpoint, state)
        else:
            del state.waiting_writes[endpoint]


def end_expired_wait(write: WaitingWrite, state: State) -> None:
    """End the wait of a write whose deadline or term has passed."""
    endpoint = state.endpoints.get(write.endpoint)
    group = state.groups.get(endpoint.group) if endpoint is not None else None
    if group is None or group.term > write.position.term:
        report_unconfirmed(write, "the group has a new primary", state)
    elif state.clock.monotonic() >= write.deadline:
        report_unconfirmed(
            write, "the deadline passed before the write was replicated", state
        )
