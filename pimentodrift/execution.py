"""Runs a piece of work on a work connection of the endpoint's owner.

A piece of work is a sequence of batches. Its `step` tells what the batch in flight
does. `advance`, dispatched on the class of the step, reads the results and starts the
next batch, waits for the acknowledgment, or replies. Steps that may take effect without
a further batch set `commits`: if their connection is lost, the outcome is unknown. All
other steps run inside an explicit BEGIN, which the database rolls back when the
connection is lost.
"""

from datetime import timedelta
from functools import singledispatch

from attrs import frozen

from . import (
    idempotency_records,
    peers,
    replication,
    request_log,
    scheduling,
    work_connections,
)
from .connections import run_batch
from .database_group import status_statement
from .dispatch import handle
from .endpoint_checks import check_primary, check_status, readable_status
from .errors import Failure, Problem, not_run, outcome_unknown
from .messages import Access, Position, Ran, Statement, StatementResult
from .notices import SlotReleased, WorkAnswered, WriteAcknowledged, WriteUnconfirmed
from .peer_messages import Reply
from .statement_errors import failure_of, is_ambiguous
from .tables import State
from .work_batches import (
    Results,
    Segments,
    add_reset,
    plan_value_changes,
    reset_error,
    visible_results,
    with_values,
)
from .work_rows import Step, WorkRow

BEGIN = Statement("BEGIN")
# A statement that its caller declares as a read may write all the same. That must fail,
# since reads are retried and also run on replicas.
BEGIN_READ_ONLY = Statement("BEGIN READ ONLY")
COMMIT = Statement("COMMIT")
ROLLBACK = Statement("ROLLBACK")


@frozen
class ReadStep(Step):
    """BEGIN READ ONLY, status and the statement, then COMMIT."""

    commits = True  # A read on a lost connection may have run, though without effects.


@frozen
class WriteStep(Step):
    """BEGIN, status and the statement."""


@frozen
class CreateStep(Step):
    """CREATE TABLE of the outcomes table, before a write with an idempotency key."""


@frozen
class RecordStep(Step):
    """BEGIN, status, insert of the idempotency record, and the statement."""


@frozen
class ReplayStep(Step):
    """ROLLBACK, then select of the stored answer, and status."""


@frozen
class CommitStep(Step):
    """The rest of the transaction, if any, COMMIT, and status."""

    term: int
    commits = True


@frozen
class RollbackStep(Step):
    """ROLLBACK of work that has already been refused."""


def start(work: WorkRow, connection: int, state: State) -> None:
    """Run the first batch of a read or of a write outside a transaction."""
    bind_connection(work, connection, state)
    plan_value_changes(work)
    if work.forward.access is Access.READ:
        segment = (BEGIN_READ_ONLY, status_statement(), *with_values(work))
        # COMMIT has its own segment, so that it also ends a failed transaction.
        run_step(work, ReadStep(), (segment, (COMMIT,)), state)
    elif not work.forward.idempotency_key:
        segment = (BEGIN, status_statement(), *with_values(work))
        run_step(work, WriteStep(), (segment,), state)
    elif has_outcomes_table(work, state):
        run_recorded(work, state)
    else:
        run_step(work, CreateStep(), ((idempotency_records.CREATE_TABLE,),), state)


def bind_connection(work: WorkRow, connection: int, state: State) -> None:
    """Assign a connection and a slot to work."""
    work.connection = connection
    work.started_at = state.clock.monotonic()
    state.connection_works[connection] = work.work
    state.queues[work.forward.endpoint].running.add(work.work)


def run_step(work: WorkRow, step: Step, segments: Segments, state: State) -> None:
    """Send the batch of a step."""
    work.step = step
    run_batch(work.connection, add_reset(work, segments, state), state)


def group_term(work: WorkRow, state: State) -> int:
    """Return the term of the endpoint's group as this instance knows it."""
    endpoint = state.endpoints.get(work.forward.endpoint)
    group = state.groups.get(endpoint.group) if endpoint is not None else None
    return group.term if group is not None else 0


def has_outcomes_table(work: WorkRow, state: State) -> bool:
    """Return whether the outcomes table was seen in the group's current term."""
    queue = state.queues[work.forward.endpoint]
    return queue.outcomes_term == group_term(work, state) > 0


def run_recorded(work: WorkRow, state: State) -> None:
    """Run a write together with its idempotency record."""
    forward = work.forward
    record = idempotency_records.insert(
        forward.workspace,
        forward.idempotency_key,
        forward.body_digest,
        state.clock.now(),
    )
    segment = (BEGIN, status_statement(), record, *with_values(work))
    run_step(work, RecordStep(), (segment,), state)


# --- Results of a step's batch


@handle.register
def _(message: WorkAnswered, state: State) -> None:
    work = state.works.get(state.connection_works.get(message.connection, 0))
    if work is None or work.step is None:
        return
    error = reset_error(work, message.results, state)
    if error:
        abort_work(work, Problem.ENDPOINT_UNAVAILABLE, error, state)
        handle(SlotReleased(work.forward.endpoint), state)
        return
    advance(work.step, work, visible_results(work, message.results), state)


@singledispatch
def advance(step: Step, work: WorkRow, results: Results, state: State) -> None:
    """Continue work by the results of its step's batch."""
    raise TypeError(f"no continuation for {type(step).__name__}")


@advance.register
def _(step: ReadStep, work: WorkRow, results: Results, state: State) -> None:
    check = check_primary if work.forward.primary_only else check_status
    status, failure = check(results[1], work)
    if failure is None and results[2].error:
        failure = failure_of(results[2], work.forward.access)
    if results[3].error:
        discard_connection(work, state)
    else:
        release_connection(work, state)
    finish(work, failure or Ran(results[2].rows, status.position), state)
    handle(SlotReleased(work.forward.endpoint), state)


@advance.register
def _(step: WriteStep, work: WorkRow, results: Results, state: State) -> None:
    status, failure = check_primary(results[1], work)
    if failure is None and results[2].error:
        failure = failure_of(results[2], work.forward.access)
    if failure is not None:
        roll_back(work, failure, state)
        return
    work.rows = results[2].rows
    send_commit(work, CommitStep(status.term), (), state)


@advance.register
def _(step: CreateStep, work: WorkRow, results: Results, state: State) -> None:
    # If two owners create the table at once, one gets an error although the table then
    # exists. So an error is ignored: the insert shows whether the table exists.
    if not results[0].error:
        queue = state.queues[work.forward.endpoint]
        queue.outcomes_term = group_term(work, state)
    run_recorded(work, state)


@advance.register
def _(step: RecordStep, work: WorkRow, results: Results, state: State) -> None:
    forward = work.forward
    status, failure = check_primary(results[1], work)
    if failure is None and results[2].error:
        # After a failover the table may be missing in the new primary's log.
        state.queues[forward.endpoint].outcomes_term = 0
        failure = not_run(Problem.ENDPOINT_UNAVAILABLE, results[2].error)
    elif failure is None and not results[2].rows.rows:
        read_stored_answer(work, state)
        return
    elif failure is None and results[3].error:
        failure = failure_of(results[3], forward.access)
    if failure is not None:
        roll_back(work, failure, state)
        return
    work.rows = results[3].rows
    stored = idempotency_records.store_answer(
        forward.workspace, forward.idempotency_key, work.rows
    )
    send_commit(work, CommitStep(status.term), (stored,), state)


def read_stored_answer(work: WorkRow, state: State) -> None:
    """Read the answer that an earlier run of the request stored."""
    forward = work.forward
    record = idempotency_records.select(forward.workspace, forward.idempotency_key)
    # The status follows the record, so that its position includes the record.
    segments: Segments = ((ROLLBACK,), (record, status_statement()))
    run_step(work, ReplayStep(), segments, state)


@advance.register
def _(step: ReplayStep, work: WorkRow, results: Results, state: State) -> None:
    status, failure = check_primary(results[2], work)
    if failure is None:
        failure = load_stored_answer(work, results[1])
    if results[0].error:
        discard_connection(work, state)
    else:
        release_connection(work, state)
    if failure is not None:
        finish(work, failure, state)
    else:
        work.replayed = True
        state.counters["execution.replayed"] += 1
        await_replication(work, Position(status.term, status.received), state)
    handle(SlotReleased(work.forward.endpoint), state)


def load_stored_answer(work: WorkRow, result: StatementResult) -> Failure | None:
    """Load the stored answer into the work, or return why it cannot be used."""
    if result.error or not result.rows.rows:
        # The attempt that inserted the record was rolled back in the meantime.
        detail = result.error or "the idempotency record is gone"
        return not_run(Problem.ENDPOINT_UNAVAILABLE, detail)
    digest, answer = result.rows.rows[0]
    if digest != work.forward.body_digest:
        return not_run(Problem.IDEMPOTENCY_KEY_REUSED)
    work.rows = idempotency_records.decode_answer(str(answer))
    return None


def send_commit(
    work: WorkRow, step: CommitStep, before: tuple[Statement, ...], state: State
) -> None:
    """Send COMMIT, after other statements of the same transaction."""
    run_step(work, step, ((*before, COMMIT), (status_statement(),)), state)


@advance.register
def _(step: CommitStep, work: WorkRow, results: Results, state: State) -> None:
    failure = commit_failure(results)
    if failure is not None:
        roll_back(work, failure, state)
        return
    release_connection(work, state)
    on_committed(step, work, results[-1], state)
    handle(SlotReleased(work.forward.endpoint), state)


def commit_failure(results: Results) -> Failure | None:
    """Return why a transaction was not committed, or may not have been."""
    failed = next((result for result in results[:-1] if result.error), None)
    if failed is None:
        return None
    if is_ambiguous(failed):
        return outcome_unknown(Problem.ENDPOINT_UNAVAILABLE, failed.error)
    return failure_of(failed, Access.WRITE)


def on_committed(
    step: CommitStep, work: WorkRow, result: StatementResult, state: State
) -> None:
    """Await the replication of a committed write, if the primary is still the same."""
    status = readable_status(result)
    if status is None or not status.is_primary or status.term != step.term:
        detail = "the primary changed after the commit"
        finish(work, outcome_unknown(Problem.ACKNOWLEDGMENT_MISSING, detail), state)
        return
    await_replication(work, Position(status.term, status.received), state)


@advance.register
def _(step: RollbackStep, work: WorkRow, results: Results, state: State) -> None:
    if results[0].error:
        discard_connection(work, state)
    else:
        release_connection(work, state)
    state.works.pop(work.work, None)
    handle(SlotReleased(work.forward.endpoint), state)


def roll_back(work: WorkRow, failure: Failure, state: State) -> None:
    """Refuse work and roll its transaction back on the connection."""
    run_step(work, RollbackStep(), ((ROLLBACK,),), state)
    send_reply(work, failure, state)


# --- The end of work


def await_replication(work: WorkRow, position: Position, state: State) -> None:
    """Wait for the acknowledgment that the group has received a committed write."""
    work.position = position
    replication.await_acknowledgment(
        work.work,
        work.forward.endpoint,
        position,
        work.forward.durability,
        work.deadline,
        state,
    )


@handle.register
def _(message: WriteAcknowledged, state: State) -> None:
    work = state.works.get(message.work)
    if work is not None:
        result = Ran(work.rows, work.position, replayed=work.replayed)
        finish(work, result, state)


@handle.register
def _(message: WriteUnconfirmed, state: State) -> None:
    work = state.works.get(message.work)
    if work is not None:
        finish(work, message.failure, state)


def release_connection(work: WorkRow, state: State) -> None:
    """Free the slot and return the connection to the pool."""
    connection = free_slot(work, state)
    queue = state.queues[work.forward.endpoint]
    work_connections.return_to_pool(queue, connection, state)


def discard_connection(work: WorkRow, state: State) -> None:
    """Free the slot and close the connection, whose state is not known."""
    connection = free_slot(work, state)
    queue = state.queues[work.forward.endpoint]
    work_connections.close(queue, connection, state)


def free_slot(work: WorkRow, state: State) -> int:
    """Free the work's slot, record its slot time and return its connection."""
    connection, work.connection = work.connection, 0
    work.step = None
    state.connection_works.pop(connection, None)
    queue = state.queues[work.forward.endpoint]
    queue.running.discard(work.work)
    if work.started_at is not None:
        used: timedelta = state.clock.monotonic() - work.started_at
        scheduling.record_slot_time(queue, work, used.total_seconds(), state)
    return connection


def finish(work: WorkRow, result: Ran | Failure, state: State) -> None:
    """Send the result of work to its entry and forget the work."""
    state.works.pop(work.work, None)
    send_reply(work, result, state)


def send_reply(work: WorkRow, result: Ran | Failure, state: State) -> None:
    """Send the result to the entry, once."""
    if work.is_answered:
        return
    work.is_answered = True
    state.forwarded.pop((work.sender, work.forward.request), None)
    kind = "ran" if isinstance(result, Ran) else f"refused.{result.problem}"
    state.counters[f"execution.{kind}"] += 1
    if isinstance(result, Failure):
        request_log.log_work_refused(work, result, state)
    if work.sender:
        peers.send(work.sender, Reply(work.forward.request, result), state)


def abort_work(work: WorkRow, problem: Problem, detail: str, state: State) -> None:
    """Stop running work: close its connection and reply with the resulting failure."""
    commits = work.step is not None and work.step.commits
    discard_connection(work, state)
    finish(
        work,
        outcome_unknown(problem, detail) if commits else not_run(problem, detail),
        state,
    )
