"""Callers' transactions: each holds a work connection of the primary's owner.

A transaction's id names the owner instance, so that every entry finds it, and has a
random part, so that it cannot be guessed; requests of other workspaces and keys are
refused even with the id. Statements of a transaction run one at a time, ahead of queued
work. A connection returns to the pool only after the database has confirmed the end of
the transaction.
"""

import base64
import binascii
from datetime import timedelta

import msgpack
from attrs import frozen

from . import work_connections
from .database_group import status_statement
from .dispatch import handle
from .endpoint_checks import check_primary
from .errors import Failure, Problem, not_run
from .execution import (
    BEGIN,
    ROLLBACK,
    CommitStep,
    abort_work,
    advance,
    bind_connection,
    commit_failure,
    finish,
    free_slot,
    on_committed,
    release_connection,
    roll_back,
    run_step,
    send_commit,
)
from .homes.requests import may_use_endpoint
from .messages import Action, Position, Ran, Rows
from .notices import SlotReleased
from .statement_errors import failure_of
from .tables import State
from .work_batches import Results, plan_value_changes, with_values
from .work_rows import EndpointQueue, Step, TransactionRow, WorkRow

IDLE_LIMIT = timedelta(seconds=5)  # A transaction idle for longer is ended.
# How long an ended transaction's row is kept, to answer later requests with its end.
ENDED_RETENTION = timedelta(seconds=60)
MAX_WAITING = 16  # Queued statements of a transaction; callers may pipeline this many.
RANDOM_BITS = 128  # In a transaction's id, so that it cannot be guessed.


@frozen
class BeginStep(Step):
    """BEGIN of a caller's transaction, and status."""


@frozen
class StatementStep(Step):
    """A statement inside a caller's transaction."""


@frozen
class TransactionCommitStep(CommitStep):
    """COMMIT of a caller's transaction, and status."""


@frozen
class EndStep(Step):
    """ROLLBACK of a transaction that its caller asked for."""


# --- Ids of transactions


def new_id(state: State) -> str:
    """Return the id of a new transaction of this instance."""
    secret = state.random.getrandbits(RANDOM_BITS).to_bytes(RANDOM_BITS // 8, "big")
    content = msgpack.packb([state.settings.name, state.new_number(), secret])
    return base64.urlsafe_b64encode(content).decode().rstrip("=")


def owner_of(transaction: str) -> str | None:
    """Return the owner named by a transaction's id, or None if the id is malformed."""
    try:
        padded = transaction + "=" * (-len(transaction) % 4)
        content = msgpack.unpackb(
            base64.b64decode(padded, altchars=b"-_", validate=True)
        )
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException):
        return None
    match content:
        case [str() as instance, int(), bytes()]:
            return instance
    return None


# --- Arrival of a transaction's requests at the owner


def queue_work(work: WorkRow, state: State) -> None:
    """Queue work in the transaction that it belongs to, or refuse it."""
    row, failure = find_transaction(work, state)
    if row is None or failure is not None:
        finish(work, failure or not_run(Problem.TRANSACTION_UNKNOWN), state)
        return
    row.waiting.append(work.work)
    queue_next(row, state)


def find_transaction(
    work: WorkRow, state: State
) -> tuple[TransactionRow | None, Failure | None]:
    """Return the transaction that work belongs to, and the failure if it cannot run."""
    row = state.transactions.get(work.forward.transaction)
    caller = (work.forward.workspace, work.forward.key_id)
    if row is None or (row.workspace, row.key_id) != caller:
        return None, not_run(Problem.TRANSACTION_UNKNOWN)
    if row.ended is not None:
        return row, row.ended
    if len(row.waiting) >= MAX_WAITING:
        return row, not_run(Problem.QUEUE_FULL, "the transaction has too many requests")
    return row, None


def queue_next(row: TransactionRow, state: State) -> None:
    """Queue a transaction's next work for a slot, unless it has work in progress."""
    if row.work or not row.waiting or row.ended is not None:
        return
    row.work = row.waiting.popleft()
    state.queues[row.endpoint].urgent.append(row.work)


# --- Steps of a transaction


def begin(work: WorkRow, connection: int, state: State) -> None:
    """Begin a transaction on a connection."""
    bind_connection(work, connection, state)
    run_step(work, BeginStep(), ((BEGIN, status_statement()),), state)


@advance.register
def _(step: BeginStep, work: WorkRow, results: Results, state: State) -> None:
    status, failure = check_primary(results[1], work)
    if failure is not None:
        roll_back(work, failure, state)
        return
    connection = free_slot(work, state)
    now = state.clock.monotonic()
    forward = work.forward
    row = TransactionRow(
        transaction=new_id(state),
        workspace=forward.workspace,
        key_id=forward.key_id,
        endpoint=forward.endpoint,
        term=status.term,
        connection=connection,
        began_at=now,
        used_at=now,
    )
    state.transactions[row.transaction] = row
    state.queues[row.endpoint].transactions.add(row.transaction)
    state.counters["transactions.begun"] += 1
    finish(work, Ran(Rows(), status.position, row.transaction), state)
    handle(SlotReleased(forward.endpoint), state)


def start(work: WorkRow, state: State) -> None:
    """Run work of a transaction on the transaction's connection."""
    row = state.transactions[work.forward.transaction]
    bind_connection(work, row.connection, state)
    match work.forward.action:
        case Action.COMMIT:
            send_commit(work, TransactionCommitStep(row.term), (), state)
        case Action.ROLLBACK:
            run_step(work, EndStep(), ((ROLLBACK,),), state)
        case _:
            plan_value_changes(work, row)
            run_step(work, StatementStep(), (with_values(work),), state)


@advance.register
def _(step: StatementStep, work: WorkRow, results: Results, state: State) -> None:
    row = state.transactions[work.forward.transaction]
    if results[0].error:
        # The database answers a COMMIT of a failed transaction without an error, so
        # the transaction ends here rather than at a COMMIT that commits nothing.
        mark_ended(row, not_run(Problem.TRANSACTION_ENDED, "a statement failed"), state)
        roll_back(work, failure_of(results[0], work.forward.access), state)
        return
    free_slot(work, state)
    row.work = 0
    row.used_at = state.clock.monotonic()
    queue_next(row, state)
    finish(work, Ran(results[0].rows, Position(0, 0), row.transaction), state)
    handle(SlotReleased(row.endpoint), state)


@advance.register
def _(
    step: TransactionCommitStep, work: WorkRow, results: Results, state: State
) -> None:
    row = state.transactions[work.forward.transaction]
    mark_ended(row, not_run(Problem.TRANSACTION_ENDED, "COMMIT was requested"), state)
    failure = commit_failure(results)
    if failure is not None:
        roll_back(work, failure, state)
        return
    release_connection(work, state)
    on_committed(step, work, results[-1], state)
    handle(SlotReleased(row.endpoint), state)


@advance.register
def _(step: EndStep, work: WorkRow, results: Results, state: State) -> None:
    row = state.transactions[work.forward.transaction]
    mark_ended(row, not_run(Problem.TRANSACTION_ENDED), state)
    if results[0].error:
        connection = free_slot(work, state)
        work_connections.close(state.queues[row.endpoint], connection, state)
    else:
        release_connection(work, state)
    finish(work, Ran(Rows(), Position(0, 0)), state)
    handle(SlotReleased(row.endpoint), state)


# --- The end of a transaction


def mark_ended(row: TransactionRow, failure: Failure, state: State) -> None:
    """Mark a transaction as ended and refuse the work queued in it."""
    row.ended = failure
    row.connection = 0
    row.used_at = state.clock.monotonic()
    state.queues[row.endpoint].transactions.discard(row.transaction)
    state.ended_transactions.append(row.transaction)
    state.counters["transactions.ended"] += 1
    waiting, row.waiting = row.waiting, type(row.waiting)()
    for number in waiting:
        finish(state.works[number], failure, state)


def end(row: TransactionRow, failure: Failure, state: State) -> None:
    """End an open transaction without a request of its caller."""
    work = state.works.get(row.work)
    queue = state.queues[row.endpoint]
    if work is not None and work.step is not None and work.step.commits:
        return  # The COMMIT in flight ends the transaction.
    connection = row.connection
    # The id stays out of the log: whoever has it and the key may use the transaction.
    fields: dict[str, object] = {
        "workspace": row.workspace,
        "endpoint": row.endpoint,
        "problem": failure.problem,
        "detail": failure.detail,
    }
    state.events.append(("transaction_ended", fields))
    mark_ended(row, failure, state)
    if work is None:
        close_idle_connection(row, queue, connection, state)
    elif work.step is None:
        queue.urgent.remove(work.work)
        finish(work, failure, state)
        close_idle_connection(row, queue, connection, state)
    else:
        abort_work(work, failure.problem, failure.detail, state)
        handle(SlotReleased(row.endpoint), state)


def close_idle_connection(
    row: TransactionRow, queue: EndpointQueue, connection: int, state: State
) -> None:
    """Close the connection of an idle transaction, which rolls it back.

    A ROLLBACK would need a slot, or an exception to the slot limit, for a rare case.
    """
    work_connections.close(queue, connection, state)
    handle(SlotReleased(row.endpoint), state)


def end_after_connection_loss(
    queue: EndpointQueue, connection: int, state: State
) -> None:
    """End the transaction whose idle connection was lost."""
    for row in open_transactions(queue, state):
        if row.connection == connection:
            detail = "the connection to the database was lost"
            end(row, not_run(Problem.TRANSACTION_ENDED, detail), state)


def open_transactions(queue: EndpointQueue, state: State) -> list[TransactionRow]:
    """Return the open transactions of an endpoint, oldest first."""
    rows = [state.transactions[number] for number in queue.transactions]
    return sorted(rows, key=lambda row: (row.began_at, row.connection))


def end_invalidated(queue: EndpointQueue, state: State) -> None:
    """End an endpoint's transactions if their key or primary is no longer valid."""
    endpoint = state.endpoints.get(queue.endpoint)
    group = state.groups.get(endpoint.group) if endpoint is not None else None
    for row in open_transactions(queue, state):
        if (row.key_id, row.workspace) not in state.configuration.key_holders:
            end(row, not_run(Problem.KEY_INVALID), state)
        elif not may_use_endpoint(row.workspace, queue.endpoint, state):
            detail = "the endpoint is not in an allowed region any more"
            end(row, not_run(Problem.TRANSACTION_ENDED, detail), state)
        elif group is None or group.term > row.term:
            detail = "the primary was replaced"
            end(row, not_run(Problem.TRANSACTION_ENDED, detail), state)


def enforce_limits(queue: EndpointQueue, state: State) -> None:
    """End the transactions of an endpoint that are past their limits."""
    now = state.clock.monotonic()
    limit = state.settings.transaction_timeout
    for row in open_transactions(queue, state):
        if now - row.began_at > limit:
            detail = "the transaction was open too long"
            end(row, not_run(Problem.TRANSACTION_ENDED, detail), state)
        elif not row.work and now - row.used_at > IDLE_LIMIT:
            detail = "the transaction was idle too long"
            end(row, not_run(Problem.TRANSACTION_ENDED, detail), state)


def delete_ended(state: State) -> None:
    """Delete the rows of transactions that ended ENDED_RETENTION ago."""
    oldest = state.clock.monotonic() - ENDED_RETENTION
    ended = state.ended_transactions
    while ended and state.transactions[ended[0]].used_at < oldest:
        del state.transactions[ended.popleft()]
