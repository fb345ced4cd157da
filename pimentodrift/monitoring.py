"""Runs batches on monitoring connections, one connection per endpoint and channel.

Modules submit a job with its statements. The job's type selects the function that
receives the results, or None when the connection failed or the time ran out. A
connection whose batch was given up is closed and never reused.
"""

from datetime import timedelta
from functools import singledispatch

from attrs import frozen

from .connections import close_connection, open_connection, run_batch
from .database_group import MalformedAnswer
from .dispatch import handle
from .evacuation import permissions
from .failover_rows import Channel, MonitorRow
from .messages import Rows, Statement, StatementResult
from .notices import MonitorAnswered, MonitorConnectionLost, MonitorConnectionReady
from .tables import State
from .work_rows import ConnectionPurpose

# Ten intervals of status readings; a shorter time would reopen connections at brief
# stalls.
IDLE_TIME = timedelta(seconds=1)
# A new connection costs 10-30 ms, which a write after a pause should not wait for.
ACKNOWLEDGMENT_IDLE_TIME = timedelta(minutes=1)

Segments = tuple[tuple[Statement, ...], ...]
Results = tuple[StatementResult, ...]


@frozen
class Batch:
    """The statements of a job and its timeout, which includes opening a connection."""

    segments: Segments
    timeout: timedelta


@singledispatch
def job_ended(job: object, results: Results | None, state: State) -> None:
    """Handle the results of a job; None if it failed or timed out."""
    raise TypeError(f"no handler for {type(job).__name__}")


def submit(
    endpoint: str, channel: Channel, job: object, batch: Batch, state: State
) -> bool:
    """Start a job unless the channel is busy; return whether it was started."""
    known = state.endpoints.get(endpoint)
    if known is None or not permissions.may_use_listed(known, state):
        return False
    row = state.monitors.setdefault((endpoint, channel), MonitorRow(endpoint, channel))
    if row.job is not None:
        return False
    now = state.clock.monotonic()
    row.job, row.segments = job, batch.segments
    row.refused = False
    row.deadline, row.used_at = now + batch.timeout, now
    connection = state.connections.get(row.connection)
    if connection is None:
        row.connection = open_connection(endpoint, ConnectionPurpose.MONITOR, state)
        state.monitor_keys[row.connection] = (endpoint, channel)
    elif connection.is_open:
        run_batch(row.connection, batch.segments, state)
    return True


def cancel(endpoint: str, channel: Channel, state: State) -> None:
    """Cancel the job in flight on a channel, which gets no results."""
    row = state.monitors.get((endpoint, channel))
    if row is not None and row.job is not None:
        close_channel(row, state)
        row.job = None


def close_channel(row: MonitorRow, state: State) -> None:
    """Close the connection of a channel."""
    close_connection(row.connection, state)
    state.monitor_keys.pop(row.connection, None)
    row.connection = 0


def finish_job(row: MonitorRow, results: Results | None, state: State) -> None:
    """Pass the results of a channel's job to the job's handler."""
    job, row.job = row.job, None
    if job is None:
        return
    try:
        job_ended(job, results, state)
    except MalformedAnswer:
        state.counters["monitoring.malformed_answers"] += 1
        job_ended(job, None, state)


def rows_of(results: Results | None, index: int) -> Rows | None:
    """Return the rows of one statement, or None if it failed."""
    if results is None or len(results) <= index or results[index].error:
        return None
    return results[index].rows


def monitor_of(connection: int, state: State) -> MonitorRow | None:
    """Return the row that uses a connection, or None."""
    key = state.monitor_keys.get(connection)
    return None if key is None else state.monitors.get(key)


@handle.register
def _(message: MonitorConnectionReady, state: State) -> None:
    row = monitor_of(message.connection, state)
    if row is not None and row.job is not None:
        run_batch(row.connection, row.segments, state)


@handle.register
def _(message: MonitorAnswered, state: State) -> None:
    row = monitor_of(message.connection, state)
    if row is not None:
        finish_job(row, message.results, state)


@handle.register
def _(message: MonitorConnectionLost, state: State) -> None:
    row = monitor_of(message.connection, state)
    state.monitor_keys.pop(message.connection, None)
    if row is None:
        return
    row.connection = 0
    row.refused = message.refused
    state.counters["monitoring.connections_lost"] += 1
    finish_job(row, None, state)


def idle_time(channel: Channel) -> timedelta:
    """Return how long an unused connection of a channel is kept."""
    if channel is Channel.ACKNOWLEDGMENT:
        return ACKNOWLEDGMENT_IDLE_TIME
    return IDLE_TIME


def run(state: State) -> None:
    """Time out jobs without an answer and close idle connections."""
    now = state.clock.monotonic()
    for row in list(state.monitors.values()):
        if row.job is not None and state.resumed_at == state.ticked_at:
            # The answer may have arrived while this process was paused.
            row.deadline = max(row.deadline, now + IDLE_TIME)
        if row.job is not None and now >= row.deadline:
            close_channel(row, state)
            state.counters["monitoring.timeouts"] += 1
            finish_job(row, None, state)
        elif row.job is None and now - row.used_at > idle_time(row.channel):
            close_channel(row, state)
            del state.monitors[(row.endpoint, row.channel)]
