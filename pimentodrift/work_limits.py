"""Ends the owner's work that is past a deadline or limit, or no longer allowed."""

from datetime import timedelta

from . import execution, idempotency_records, membership, queueing, transactions
from . import work_connections as pool
from .errors import Problem, not_run, outcome_unknown
from .messages import Access, Action, Durability, Position
from .peer_messages import Forward
from .tables import State
from .work_rows import EndpointQueue, WorkRow

# Time between two deletions of a primary's expired idempotency records.
CLEANING_INTERVAL = timedelta(seconds=60)
CLEANING_TIMEOUT = timedelta(seconds=5)  # Deadline of such a deletion.
# How long after a write's deadline its acknowledgment may still be reported; the entry
# waits 250 ms.
ACKNOWLEDGMENT_GRACE = timedelta(milliseconds=100)


def stop_disallowed_work(state: State) -> None:
    """Refuse or stop work that a new term or configuration no longer allows."""
    for queue in list(state.queues.values()):
        transactions.end_invalidated(queue, state)
        for work in queueing.queued_work(queue, state):
            failure = queueing.start_failure(work, state)
            if failure is not None:
                queueing.refuse(work, failure, state)
        for number in list(queue.running):
            stop_replaced(state.works.get(number), state)


def stop_replaced(work: WorkRow | None, state: State) -> None:
    """Stop running work that needs the primary on an endpoint that no longer is it.

    A write that has sent its COMMIT goes on: only the database can tell its outcome.
    """
    if work is None or work.is_answered or work.forward.transaction:
        return
    if isinstance(work.step, execution.CommitStep):
        return
    failure = queueing.start_failure(work, state)
    if failure is not None and failure.problem is Problem.PRIMARY_UNAVAILABLE:
        queueing.abort_work_and_transaction(
            work, failure.problem, failure.detail, state
        )


def run(state: State) -> None:
    """Enforce deadlines and limits, and keep the outcomes tables small."""
    transactions.delete_ended(state)
    end_overdue_work(state)
    for queue in list(state.queues.values()):
        transactions.enforce_limits(queue, state)
        if pool.close_expired(queue, state):
            state.counters["queueing.connections_late"] += 1
            queueing.on_connect_failed(queue, state)
        refuse_reads_if_failing(queue, state)
        delete_expired_records(queue, state)
        queueing.dispatch(queue, state)


def end_overdue_work(state: State) -> None:
    """Refuse or stop all work that is past its deadline."""
    now = state.clock.monotonic()
    detail = "the request's deadline passed"
    for work in [work for work in state.works.values() if work.deadline <= now]:
        if work.work not in state.works:
            continue
        if work.started_at is None:
            queueing.refuse(work, not_run(Problem.DEADLINE_EXCEEDED, detail), state)
        elif work.connection:
            pool.close_idle(state.queues[work.forward.endpoint], state)
            queueing.abort_work_and_transaction(
                work, Problem.DEADLINE_EXCEEDED, detail, state
            )
        elif work.deadline + ACKNOWLEDGMENT_GRACE <= now:
            failure = outcome_unknown(Problem.ACKNOWLEDGMENT_MISSING)
            execution.finish(work, failure, state)


def refuse_reads_if_failing(queue: EndpointQueue, state: State) -> None:
    """Refuse reads while the endpoint fails its probes, so that entries try others."""
    endpoint = state.endpoints.get(queue.endpoint)
    if endpoint is None or endpoint.failing_until <= state.clock.monotonic():
        return
    pool.close_idle(queue, state)
    detail = "the endpoint does not answer"
    for work in queueing.queued_work(queue, state):
        if not queueing.needs_primary(work.forward):
            queueing.refuse(work, not_run(Problem.ENDPOINT_UNAVAILABLE, detail), state)
    for number in list(queue.running):
        running = state.works.get(number)
        if running is not None and isinstance(running.step, execution.ReadStep):
            queueing.abort_work_and_transaction(
                running, Problem.ENDPOINT_UNAVAILABLE, detail, state
            )


def delete_expired_records(queue: EndpointQueue, state: State) -> None:
    """Queue a deletion of expired idempotency records, every CLEANING_INTERVAL.

    Only the owner of the primary does so, once it has seen the table in this term.
    """
    now = state.clock.monotonic()
    endpoint = state.endpoints.get(queue.endpoint)
    if endpoint is None or now - queue.outcomes_cleaned_at < CLEANING_INTERVAL:
        return
    group = state.groups[endpoint.group]
    if queue.outcomes_term != group.term or group.primary != endpoint.name:
        return
    if not membership.owns(endpoint, state):
        return
    queue.outcomes_cleaned_at = now
    cleaning = Forward(
        request=state.new_number(),
        endpoint=endpoint.name,
        workspace="",
        key_id="",
        action=Action.STATEMENT,
        access=Access.WRITE,
        statement=idempotency_records.delete_expired(state.clock.now()),
        minimum=Position(0, 0),
        term=group.term,
        remaining_ms=CLEANING_TIMEOUT // timedelta(milliseconds=1),
        durability=Durability.MAJORITY,
    )
    queueing.accept(cleaning, "", state)
