"""Runs statements of other instances' sessions at endpoints that this instance owns.

A row of `SessionRow` stands for the entry's session while it has a statement in
progress or an open transaction here. Its number is negative, so that it never equals
that of a client's session.
"""

from datetime import timedelta

from attrs import evolve

from .. import (
    membership,
    operation_steps,
    operations,
    peers,
    pools,
    registry,
    session_workspaces,
)
from ..clock import MILLISECOND
from ..dispatch import handle, handle_peer
from ..ejection import judgement
from ..fencing import contact
from ..messages import Access
from ..operation_completion import access_refusal
from ..session_messages import (
    Command,
    Commit,
    Execute,
    Fault,
    Phase,
    Prepare,
    Run,
    SessionClosed,
)
from ..session_rows import OperationRow, PoolRow, Route, SessionRow, Stage
from ..tables import State
from . import positions, replies
from .messages import (
    CloseForwarded,
    ForwardedAction,
    ForwardedRolledBack,
    ForwardedRoute,
    ForwardOutcome,
    ForwardStatement,
    StatementReply,
)
from .rows import LATE_MESSAGES, EntryRow, Origin, PositionKnown

STOPPING = "the owner is stopping"
PAUSED = "the owner was paused"
UNREACHABLE = "the owner lost its stream to this instance"
ENTRY_LOST = "entry-lost"  # Reason of a rollback, in the log of the entry.
UNKNOWN = "the owner does not know the endpoint or the route"
# The highest number of a process that counts from 0; fewer than one in a million of the
# random first numbers are below it (`runtime.first_number`).
MAX_COUNT = 2**32


@handle_peer.register
def _(message: ForwardStatement, sender: str, state: State) -> None:
    if is_numbered_alike(message) and is_of_ended_process(message, sender, state):
        return  # Nobody waits for its result.
    origin = Origin(sender, message.process, message.session)
    session = state.sessions.get(state.served.get(origin, 0))
    if session is not None and is_repeated(session, message, state):
        return
    if message.in_transaction and not message.is_first:
        continue_transaction(message, origin, session, state)
        return
    if session is not None:  # The entry has given up what it was for.
        close(origin, state)
    start(message, origin, state)


def is_numbered_alike(message: ForwardStatement) -> bool:
    """Return whether the entry's processes all give out the same numbers.

    Those of builds before count from 0, so that a result would be taken for that of
    another statement. All others begin at a random number.
    """
    return message.request <= MAX_COUNT


def is_of_ended_process(message: ForwardStatement, entry: str, state: State) -> bool:
    """Return whether a statement comes late from an earlier process of its entry.

    The first statement of the next process shows that the one before has ended.
    """
    now = state.clock.monotonic()
    row = state.entries.setdefault(entry, EntryRow(message.process))
    if row.process == message.process:
        return False
    row.ended = {
        process: at for process, at in row.ended.items() if now - at < LATE_MESSAGES
    }
    if message.process in row.ended:
        return True
    begin_process(row, message.process, entry, state)
    return False


def begin_process(row: EntryRow, process: int, entry: str, state: State) -> None:
    """Record the process of an entry, and drop the statements of those before it.

    A commit that was sent to the database goes on.
    """
    row.ended[row.process] = state.clock.monotonic()
    row.process = process
    for origin in list(state.served):
        if origin.entry == entry and origin.process != process:
            state.counters["owners.entry_ended"] += 1
            close(origin, state)


def is_repeated(session: SessionRow, message: ForwardStatement, state: State) -> bool:
    """Return whether a statement is already in progress."""
    operation = state.operations.get(session.operation)
    return operation is not None and operation.forwarded == message.request


def start(message: ForwardStatement, origin: Origin, state: State) -> None:
    """Queue a single statement or the first one of a transaction at its endpoint."""
    state.counters["owners.received"] += 1
    session = make_session(message, origin, state)
    found = state.registry.get(message.endpoint)
    route = make_route(message.route, state)
    detail = unfit_reason(found is not None and route is not None, state)
    if detail or found is None or route is None:
        replies.send_return(message.request, origin, None, detail, state)
        return
    refusal = access_refusal(session, route, state)
    refusal = refusal or session_workspaces.moved_refusal(session, state)
    if refusal is not None:
        # The entry's copy of the configuration allows it: one of them is older.
        replies.send_return(message.request, origin, None, refusal.detail, state)
        return
    if not accepts(message, route, state):
        detail = f"{message.endpoint} gets no new work"
        replies.send_return(message.request, origin, Fault.OVERLOADED, detail, state)
        return
    if not needs_primary(message) and judgement.is_ejected(found.name, state):
        # The entry tries the group's other endpoints, as if this one's log were behind.
        detail = f"{message.endpoint} is ejected from reads"
        replies.send_return(message.request, origin, Fault.BEHIND, detail, state)
        return
    pool = state.pools[found.name]
    if pool.failing_since is not None:
        probe_failing(pool, state)
        detail = f"{message.endpoint} does not answer"
        fault = Fault.OVERLOADED
        replies.send_return(message.request, origin, fault, detail, state, True)
        return
    if message.remaining_ms <= 0:
        refuse_late(message, origin, state)
        return
    state.sessions[session.session] = session
    state.served[origin] = session.session
    operation = start_operation(message, session, route, state)
    if message.asks_position:
        positions.resolve(operation, state)
    else:
        operations.queue_at(operation, found, state)


@handle.register
def _(message: PositionKnown, state: State) -> None:
    operation = state.operations.get(message.operation)
    found = state.registry.get(operation.endpoint) if operation is not None else None
    if operation is None:
        return
    if found is None:
        operations.place(operation, state)
    else:
        operations.queue_at(operation, found, state)


def unfit_reason(is_known: bool, state: State) -> str:
    """Return why this instance runs no statements of others now; "" if it does."""
    if state.stopping:
        return STOPPING
    now = state.clock.monotonic()
    if state.ticked_at is None or now - state.ticked_at > membership.PAUSE:
        # What waited meanwhile may be older than the entry's patience.
        return PAUSED
    return "" if is_known else UNKNOWN


def accepts(message: ForwardStatement, route: Route, state: State) -> bool:
    """Return whether this instance may send a statement to its endpoint."""
    row = state.registry[message.endpoint]
    is_for_primary = needs_primary(message)
    if row.entry.group != route.group:
        return False
    if not registry.accepts_work(row, is_for_primary, state):
        return False
    if not is_for_primary:
        return True
    return contact.may_use_primary(route.group, row.name, state)


def needs_primary(message: ForwardStatement) -> bool:
    """Return whether only the primary may run a statement."""
    return message.minimum is None and not message.asks_position


def probe_failing(pool: PoolRow, state: State) -> None:
    """Open a connection to a failing endpoint, to learn when it answers again."""
    is_opening = not all(state.pooled[number].is_open for number in pool.connections)
    if pools.is_available(pool, state) and not is_opening:
        pools.probe(pool, state)


def refuse_late(message: ForwardStatement, origin: Origin, state: State) -> None:
    """Tell the entry that a statement's time was over when it arrived."""
    reply = StatementReply(
        message.request,
        ForwardOutcome.REFUSED,
        fault=Fault.OVERLOADED,
        detail="the time of the statement was over before it was queued",
        retry_after_ms=operation_steps.RETRY_AFTER // MILLISECOND,
    )
    peers.send(origin.entry, reply, state)


def continue_transaction(
    message: ForwardStatement,
    origin: Origin,
    session: SessionRow | None,
    state: State,
) -> None:
    """Run a later statement of a transaction that this instance holds open."""
    route = session.route if session is not None else None
    if session is None or route is None or not session.connection or session.operation:
        refuse_rolled_back(message.request, origin, state)
        return
    session.values = dict(message.values)
    session.used_at = state.clock.monotonic()
    operation = start_operation(message, session, route, state)
    operation_steps.continue_transaction(operation, session, state)


def refuse_rolled_back(request: int, origin: Origin, state: State) -> None:
    """Tell an entry that the transaction of its statement was rolled back."""
    reply = StatementReply(
        request,
        ForwardOutcome.REFUSED,
        fault=Fault.ABORTED,
        detail="the transaction was rolled back",
        retry_after_ms=operation_steps.RETRY_AFTER // MILLISECOND,
    )
    peers.send(origin.entry, reply, state)


def make_session(message: ForwardStatement, origin: Origin, state: State) -> SessionRow:
    """Return the row that stands for the entry's session."""
    now = state.clock.monotonic()
    return SessionRow(
        -state.new_number(),
        message.route.database,
        message.workspace,
        message.key_digest,
        now,
        phase=Phase.OPEN if message.in_transaction else Phase.IDLE,
        read_only=message.read_only,
        began_at=now - message.age_ms * MILLISECOND,
        route=make_route(message.route, state) if message.in_transaction else None,
        values=dict(message.values),
        origin=origin,
    )


def make_route(values: ForwardedRoute, state: State) -> Route | None:
    """Return the route by the entry's values and this instance's copy of the others."""
    known = state.routes.get(values.database)
    if known is None or known.is_open != values.is_open:
        return None
    return evolve(
        known,
        group=values.group,
        consistency=values.consistency,
        max_staleness=values.max_staleness_ms * MILLISECOND,
        timeout=values.timeout_ms * MILLISECOND,
        objective=values.objective_ms * MILLISECOND,
        priority=values.priority,
    )


def start_operation(
    message: ForwardStatement, session: SessionRow, route: Route, state: State
) -> OperationRow:
    """Start the operation of a forwarded statement, which needs no rate token."""
    now = state.clock.monotonic()
    elapsed = max(timedelta(0), route.timeout - message.remaining_ms * MILLISECOND)
    shape = Prepare("", message.access, message.shape) if message.shape else None
    row = OperationRow(
        state.new_number(),
        session.session,
        message.statement_id,
        command_of(message),
        route,
        message.workspace,
        message.access,
        message.text,
        arrived_at=now - elapsed,
        aged_from=now - message.age_ms * MILLISECOND,
        primary_only=message.primary_only,
        staged_at=now,
        shape=shape,
        endpoint=message.endpoint,
        minimum=message.minimum,
        forwarded=message.request,
        received_at=now,
        own_write=message.own_write,
    )
    state.operations[row.operation] = row
    session.operation = row.operation
    return row


def command_of(message: ForwardStatement) -> Command:
    """Return the command of a forwarded statement."""
    match message.action:
        case ForwardedAction.COMMIT:
            return Commit()
        case ForwardedAction.EXECUTE:
            return Execute("", message.text)
        case ForwardedAction.RUN:
            return Run(Access(message.access), message.text)


# --- Sessions that their entries end


def close(origin: Origin, state: State) -> None:
    """Roll back and forget what this instance has of an entry's session."""
    number = state.served.pop(origin, None)
    if number is not None:
        handle(SessionClosed(number), state)


@handle_peer.register
def _(message: CloseForwarded, sender: str, state: State) -> None:
    close(Origin(sender, message.process, message.session), state)


# --- Loss of a stream to an entry


def release_entry(entry: str, state: State) -> None:
    """Settle what this instance has of an entry that seems lost, and tell the entry.

    The entry may live and have noticed nothing: each of the two can have a stream of
    its own, and only this instance's may be lost.
    """
    for origin in [origin for origin in state.served if origin.entry == entry]:
        session = state.sessions[state.served[origin]]
        operation = state.operations.get(session.operation)
        if operation is not None and may_have_run(operation, session):
            continue  # Its answer is sent as usual.
        state.counters["owners.entry_lost"] += 1
        report_end(operation, session, origin, state)
        close(origin, state)


def may_have_run(operation: OperationRow, session: SessionRow) -> bool:
    """Return whether only the database can tell the outcome of a statement."""
    if operation.stage is not Stage.RUNNING:
        return False
    return session.phase is not Phase.OPEN or isinstance(operation.command, Commit)


def report_end(
    operation: OperationRow | None, session: SessionRow, origin: Origin, state: State
) -> None:
    """Tell an entry that its statement was not run or its transaction rolled back."""
    if operation is None:
        message = ForwardedRolledBack(origin.process, origin.session, ENTRY_LOST)
        peers.send(origin.entry, message, state)
    elif session.ran or operation.stage is Stage.RUNNING:
        refuse_rolled_back(operation.forwarded, origin, state)
    else:
        replies.send_return(operation.forwarded, origin, None, UNREACHABLE, state)
