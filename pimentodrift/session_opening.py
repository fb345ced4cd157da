"""Opens the sessions of clients, or refuses them.

Answers to the load of a restart: the clients of a fleet that was down reconnect while
the instances still read their first copies of the store. Their sessions wait for the
copies, which take some milliseconds. If the store does not answer, they are refused.
"""

from datetime import timedelta

from . import kind_rows
from .clock import MILLISECOND
from .dispatch import handle
from .kind_rows import KindRow
from .log_events import OpeningsEnded
from .operation_completion import UNCONFIRMED_RETRY_AFTER
from .policies import Policy
from .request_events import SessionRefused
from .route_configuration import key_digest
from .session_messages import (
    AcceptSession,
    Fault,
    Refusal,
    RefuseSession,
    SessionOpened,
)
from .session_rows import OpeningRow, SessionRow
from .session_workspaces import holder
from .stop_times import STOPPED, accepts_work
from .tables import State
from .view import copy_age, is_copy_fresh

# A store that has not answered a list after this time counts as unreachable.
MAX_LIST_TIME = timedelta(milliseconds=500)


@handle.register
def _(message: SessionOpened, state: State) -> None:
    state.counters["sessions.opened"] += 1
    row = OpeningRow(
        message.session,
        message.database,
        key_digest(message.key),
        state.clock.monotonic(),
    )
    if must_wait(state):
        state.counters["sessions.opened_later"] += 1
        state.openings[message.session] = row
    else:
        open_or_refuse(row, state)


def must_wait(state: State) -> bool:
    """Return whether a session waits until the first copies of the store are here."""
    if state.exit_sent or is_copy_fresh(state):
        return False
    if not state.settings.uses(Policy.SESSION_WAIT):
        return False
    unlisted = [row for row in kind_rows.watched_rows(state) if not row.revision]
    return bool(unlisted) and all(is_list_expected(row, state) for row in unlisted)


def is_list_expected(row: KindRow, state: State) -> bool:
    """Return whether the list of a kind is likely to arrive soon."""
    if row.failures:
        return False
    sent_at = row.sent_at
    return sent_at is None or state.clock.monotonic() - sent_at <= MAX_LIST_TIME


def run(state: State) -> None:
    """Open or refuse the sessions that have waited, once the wait is over."""
    if not state.openings or must_wait(state):
        return
    rows = list(state.openings.values())
    state.openings.clear()
    opened = sum(open_or_refuse(row, state) for row in rows)
    longest = state.clock.monotonic() - rows[0].since
    state.log_event(OpeningsEnded(opened, len(rows) - opened, longest // MILLISECOND))


def open_or_refuse(row: OpeningRow, state: State) -> bool:
    """Open a session and run its first statements; return whether it was opened."""
    refusal = opening_refusal(row.database, row.key_digest, state)
    if refusal is not None:
        refuse_session(row, refusal, state)
        return False
    state.sessions[row.session] = SessionRow(
        row.session,
        row.database,
        holder(row.key_digest, state),
        row.key_digest,
        state.clock.monotonic(),
    )
    state.outbox.append(AcceptSession(row.session))
    for statement in row.statements:
        handle(statement, state)
    return True


def refuse_session(row: OpeningRow, refusal: Refusal, state: State) -> None:
    """Tell a client why it gets no session."""
    state.counters[f"sessions.refused.{refusal.fault}"] += 1
    state.log_event(
        SessionRefused(
            row.session,
            row.database,
            refusal.fault,
            refusal.detail,
            state.configuration.version,
            copy_age(state) // MILLISECOND,
        )
    )
    state.outbox.append(RefuseSession(row.session, refusal))


def opening_refusal(database: str, digest: str, state: State) -> Refusal | None:
    """Return why a session must not be opened, or None if it may."""
    if state.exit_sent or not accepts_work(state):
        return STOPPED
    if not is_copy_fresh(state):
        detail = "the configuration is not confirmed"
        return Refusal(Fault.OVERLOADED, detail, UNCONFIRMED_RETRY_AFTER)
    route = state.routes.get(database)
    if route is None:
        return Refusal(Fault.DATABASE_UNKNOWN, "there is no such database")
    if not route.is_open and digest not in state.configuration.keys:
        return Refusal(Fault.KEY_INVALID, "the key is unknown or withdrawn")
    return None
