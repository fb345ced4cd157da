"""Evacuates endpoints that the store lists, in front of which instances are owners.

An endpoint of an evacuated data centre counts as leaving, so that it gets no reads and
a primary is replaced as planned (`failover`: a majority is fenced, which loses no
acknowledged write). From the deadline on, no work and no monitoring begins there; the
steps of work that has begun before may still follow.
"""

from .. import transactions, work_connections
from ..clock import MILLISECOND
from ..errors import Problem, not_run
from ..log_events import EvacuationDone
from ..tables import EndpointRow, State
from ..work_rows import EndpointQueue
from .decisions import TRANSACTION_MARGIN
from .rows import EvacuationRow


def run(state: State) -> None:
    """End the work at evacuated endpoints and record what is done."""
    for row in state.evacuations.values():
        members = [
            member
            for member in state.endpoints.values()
            if member.data_centre == row.data_centre
        ]
        for member in members:
            drain(row, member, state)
        if any(is_in_use(member, state) for member in members):
            row.done_at = None
        elif row.done_at is None:
            record_done(row, state)


def drain(row: EvacuationRow, member: EndpointRow, state: State) -> None:
    """End the transactions and idle connections at an endpoint before the deadline."""
    queue = state.queues.get(member.name)
    if queue is None:
        return
    now = state.clock.monotonic()
    is_primary = state.groups[member.group].primary == member.name
    if now >= row.deadline - TRANSACTION_MARGIN:
        end_transactions(row, queue, state)
    if not is_primary or now >= row.deadline:
        work_connections.close_idle(queue, state)


def end_transactions(row: EvacuationRow, queue: EndpointQueue, state: State) -> None:
    """Roll back the open transactions of an endpoint."""
    detail = f"{queue.endpoint} is in the evacuated data centre {row.data_centre}"
    for transaction in transactions.open_transactions(queue, state):
        row.aborted += 1
        failure = not_run(Problem.TRANSACTION_ENDED, detail)
        transactions.end(transaction, failure, state)


def is_in_use(member: EndpointRow, state: State) -> bool:
    """Return whether an endpoint leads its group or is at work for this instance."""
    if state.groups[member.group].primary == member.name:
        return True
    queue = state.queues.get(member.name)
    return queue is not None and bool(queue.running or queue.transactions or queue.idle)


def record_done(row: EvacuationRow, state: State) -> None:
    """Record that nothing is left at a data centre's endpoints."""
    row.done_at = state.clock.monotonic()
    state.counters["evacuation.done"] += 1
    took = row.done_at - row.seen_at
    state.log_event(EvacuationDone(row.data_centre, took // MILLISECOND, row.aborted))
