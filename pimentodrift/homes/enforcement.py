"""Rolls back open transactions on endpoints that a new limit no longer allows."""

from .. import sessions
from ..log_events import TransactionLeftRegion
from ..tables import State
from . import limits


def has_limits(state: State) -> bool:
    """Return whether any route or workspace is limited to regions."""
    declared = [route.regions for route in state.routes.values()]
    declared += [row.regions for row in state.configuration.workspaces.values()]
    return any(declared)


def run(state: State) -> None:
    """Roll back transactions that wait for their client where they may not be.

    A statement in flight is answered first.
    """
    pinned = [row for row in state.pooled.values() if row.session]
    if not pinned or not has_limits(state):
        return
    for connection in pinned:
        session = state.sessions.get(connection.session)
        if session is None or session.operation or not session.connection:
            continue
        if not limits.allows_connection(
            session.route, session.workspace, connection, state
        ):
            state.counters["homes.rolled_back"] += 1
            state.log_event(
                TransactionLeftRegion(
                    session.session, session.workspace, connection.endpoint
                )
            )
            sessions.abort_transaction(session, "region", state)
