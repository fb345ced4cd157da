"""Completes statements: answers or refuses them and ends their transactions."""

from datetime import timedelta
from typing import Any

from . import latencies, pools, view
from .clock import MILLISECOND, NEVER
from .dispatch import handle
from .evacuation import permissions
from .owners import links, replies
from .request_events import (
    StatementAnswered,
    StatementLate,
    StatementRefused,
    StatementRetried,
)
from .session_messages import (
    AnswerStatement,
    ApplyStep,
    BeginWork,
    Commit,
    EndWork,
    Fault,
    Phase,
    Refusal,
    RefuseStatement,
    RunSteps,
    StatementEnded,
    StepAnswered,
)
from .session_rows import OperationRow, PooledRow, Route, SessionRow, Stage
from .tables import State

# While the store is reachable, the configuration is confirmed each second.
UNCONFIRMED_RETRY_AFTER = timedelta(seconds=1)


def access_refusal(session: SessionRow, route: Route, state: State) -> Refusal | None:
    """Return why a session's statements must not run now, or None."""
    if not view.is_copy_fresh(state):
        detail = "the configuration is not confirmed"
        return Refusal(Fault.OVERLOADED, detail, UNCONFIRMED_RETRY_AFTER)
    if not route.is_open and session.key_digest not in state.configuration.keys:
        return Refusal(Fault.KEY_INVALID, "the key is unknown or withdrawn")
    return None


def answer(operation: OperationRow, message: StepAnswered, state: State) -> None:
    """Answer a statement with the database's result."""
    session = state.sessions[operation.session]
    if session.origin is not None:
        replies.send_answer(operation, session.origin, message, state)
        end_operation(operation, state)
        replies.forget_if_ended(session, state)
        return
    state.outbox.append(
        AnswerStatement(
            session.session,
            session.phase,
            message.rows,
            message.signature,
            message.position,
        )
    )
    state.counters["operations.answered"] += 1
    record_answer(operation, state)
    end_operation(operation, state)


def record_answer(operation: OperationRow, state: State) -> None:
    """Log and count an answer, as late if it exceeds its route's latency objective."""
    took = state.clock.monotonic() - operation.arrived_at
    is_late = took > operation.route.objective
    state.counters["operations.late"] += is_late
    latencies.observe(
        operation.route.consistency,
        operation.workspace,
        took.total_seconds(),
        state.latencies,
    )
    kind = StatementLate if is_late else StatementAnswered
    state.log_event(kind(**event_fields(operation, state)))


def retry_event(
    operation: OperationRow, fault: Fault, detail: str, state: State
) -> StatementRetried:
    """Return the event of a statement that is placed again."""
    return StatementRetried(
        **event_fields(operation, state), fault=fault, detail=detail
    )


def event_fields(operation: OperationRow, state: State) -> dict[str, Any]:
    """Return the fields that the log events of a statement have in common."""
    now = state.clock.monotonic()
    route, minimum = operation.route, operation.minimum
    known = state.leaderships.get(route.group)
    sampled_at = known.sampled_at if known is not None else NEVER
    pool = state.pools.get(operation.endpoint)
    share = state.shares.get(operation.workspace)
    return {
        "request": operation.statement_id,
        "session": operation.session,
        "workspace": operation.workspace,
        "database": route.database,
        "group": route.group,
        "endpoint": operation.endpoint,
        "access": operation.access,
        "stage": operation.stage,
        "stage_ms": (now - operation.staged_at) // MILLISECOND,
        "total_ms": (now - operation.arrived_at) // MILLISECOND,
        "attempts": operation.attempts,
        "minimum": f"{minimum.term}.{minimum.offset}" if minimum is not None else "",
        "sample_age_ms": (now - sampled_at) // MILLISECOND,
        "waiting": pools.waiting_count(pool) if pool is not None else 0,
        "tokens": round(share.tokens, 1) if share is not None else 0.0,
        "configuration": state.configuration.version,
        "configuration_age_ms": view.copy_age(state) // MILLISECOND,
    }


def refuse(operation: OperationRow, refusal: Refusal, state: State) -> None:
    """Tell the client why a statement has no result, and end its transaction."""
    session = state.sessions.get(operation.session)
    record_refusal(operation, refusal, state)
    if session is not None:
        end_transaction(session, state)
        if session.phase is Phase.OPEN:
            ended = isinstance(operation.command, Commit)
            session.phase = Phase.IDLE if ended else Phase.FAILED
        if session.origin is not None:
            replies.send_refusal(operation, session.origin, refusal, state)
        else:
            state.outbox.append(
                RefuseStatement(session.session, session.phase, refusal)
            )
    end_operation(operation, state)
    if session is not None:
        replies.forget_if_ended(session, state)


def record_refusal(operation: OperationRow, refusal: Refusal, state: State) -> None:
    """Count and log that a statement has no result."""
    state.counters[f"operations.refused.{refusal.fault}"] += 1
    delay = refusal.retry_after
    delay_ms = delay // MILLISECOND if delay is not None else -1
    state.log_event(
        StatementRefused(
            **event_fields(operation, state),
            fault=refusal.fault,
            detail=refusal.detail,
            retry_after_ms=delay_ms,
        )
    )


def end_operation(operation: OperationRow, state: State) -> None:
    """Remove a statement and let its session start the next one."""
    state.operations.pop(operation.operation, None)
    state.forwards.pop(operation.operation, None)
    connection = state.pooled.get(operation.connection)
    if connection is not None and connection.operation == operation.operation:
        connection.operation = 0
    session = state.sessions.get(operation.session)
    if session is not None and session.operation == operation.operation:
        session.operation = 0
        session.used_at = state.clock.monotonic()
        handle(StatementEnded(session.session), state)


def send_steps(connection: PooledRow, steps: list[ApplyStep], state: State) -> None:
    """Send steps on a pooled connection."""
    now = state.clock.monotonic()
    connection.steps.extend((step, now) for step in steps)
    state.outbox.append(RunSteps(connection.connection, tuple(steps)))


def end_transaction(session: SessionRow, state: State) -> None:
    """Roll back a session's transaction at the database and release its connection."""
    links.end_remote_transaction(session, state)
    connection = state.pooled.get(session.connection)
    session.connection = 0
    if connection is None:
        return
    if not permissions.may_send(connection, state):
        pools.close_connection(connection, state)  # Rolls the transaction back.
        return
    send_steps(connection, [EndWork()], state)
    pools.release(connection, state)


def abandon_operation(
    operation: OperationRow, session: SessionRow, state: State
) -> None:
    """Remove a statement whose session was closed.

    Its transaction is rolled back, unless its commit was already sent.
    """
    state.operations.pop(operation.operation, None)
    links.abandon_forward(operation.operation, session, state)
    connection = state.pooled.get(operation.connection)
    if connection is None or operation.stage not in (Stage.BEGINNING, Stage.RUNNING):
        pools.remove_waiting(operation, state)
        return
    session.connection = 0
    is_committing = isinstance(operation.command, Commit) and (
        operation.stage is Stage.RUNNING
    )
    is_open = connection.session or any(
        isinstance(step, BeginWork) for step, _ in connection.steps
    )
    if is_open and not is_committing:
        if not permissions.may_send(connection, state):
            pools.close_connection(connection, state)
            return
        send_steps(connection, [EndWork()], state)
    pools.release(connection, state)
