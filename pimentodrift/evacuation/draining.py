"""Ends this instance's work at the endpoints of evacuated data centres in time.

Statements in flight are answered; nothing more is sent. Idle connections are closed,
transactions are rolled back, and what waits for a connection is placed elsewhere.
"""

from .. import pools, sessions
from ..clock import MILLISECOND
from ..dispatch import handle
from ..log_events import EvacuationDone, PrimaryLeft
from ..session_messages import EndpointFailed
from ..session_rows import PooledRow, RegistryRow
from ..tables import State
from . import permissions
from .decisions import TRANSACTION_MARGIN
from .rows import EvacuationRow

ABORT_REASON = "evacuated"


def run(state: State) -> None:
    """End the work at evacuated endpoints and record what is done."""
    for row in list(state.evacuations.values()):
        drain(row, state)


def drain(row: EvacuationRow, state: State) -> None:
    """End the work at the endpoints of one data centre."""
    members = [
        member
        for member in state.registry.values()
        if member.entry.data_centre == row.data_centre
    ]
    for member in members:
        drain_endpoint(row, member, state)
    is_clear = not any(
        state.pools[member.name].connections
        or state.pools[member.name].waiting
        or permissions.leads(member.name, state)
        for member in members
    )
    if not is_clear:
        row.done_at = None
    elif row.done_at is None:
        record_done(row, state)


def record_done(row: EvacuationRow, state: State) -> None:
    """Record that nothing is left at a data centre's endpoints."""
    row.done_at = state.clock.monotonic()
    state.counters["evacuation.done"] += 1
    took = row.done_at - row.seen_at
    state.log_event(EvacuationDone(row.data_centre, took // MILLISECOND, row.aborted))


def drain_endpoint(row: EvacuationRow, member: RegistryRow, state: State) -> None:
    """Close what may not be used at an endpoint any more."""
    now = state.clock.monotonic()
    pool = state.pools[member.name]
    is_primary = permissions.leads(member.name, state)
    may_serve = is_primary and now < row.deadline
    if may_serve:
        record_use(row, member, state)
    elif pool.waiting:
        handle(EndpointFailed(member.name), state)
    ends_transactions = not is_primary or now >= row.deadline - TRANSACTION_MARGIN
    for number in list(pool.connections):
        connection = state.pooled.get(number)
        if connection is None:
            continue
        if connection.session and not connection.operation:
            if ends_transactions or not connection.needs_primary:
                abort(connection, row, state)
        elif not connection.operation and not may_serve:
            pools.close_connection(connection, state)
    if not may_serve and row.used.pop(member.name, ""):
        after = (now - row.seen_at) // MILLISECOND
        state.log_event(
            PrimaryLeft(member.entry.group, member.name, row.data_centre, after)
        )


def record_use(row: EvacuationRow, member: RegistryRow, state: State) -> None:
    """Record that a primary there is still in use, to log when that ends."""
    row.used[member.name] = member.entry.group


def abort(connection: PooledRow, row: EvacuationRow, state: State) -> None:
    """Roll back an idle transaction by closing its connection."""
    session = state.sessions.get(connection.session)
    pools.close_connection(connection, state)
    row.aborted += 1
    if session is not None:
        session.connection = 0
        sessions.abort_transaction(session, ABORT_REASON, state)
