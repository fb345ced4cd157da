"""Logs how requests of the HTTP interface end, and the state that explains it."""

from typing import Any

from . import view
from .clock import MILLISECOND
from .errors import Failure
from .request_events import (
    RequestAnswered,
    RequestDenied,
    RequestRefused,
    RequestRetried,
    WorkRefused,
)
from .tables import PendingRequest, State
from .work_rows import EndpointQueue, WorkRow


def log_answered(pending: PendingRequest, state: State) -> None:
    """Log a request that is answered with a result."""
    state.log_event(RequestAnswered(**request_fields(pending, state)))


def log_refused(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Log a request that ends with a failure after its admission checks."""
    fields = request_fields(pending, state) | failure_fields(failure)
    state.log_event(RequestRefused(**fields, retry_after_ms=retry_after_ms(failure)))


def log_retried(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Log a failed attempt of a request."""
    state.log_event(
        RequestRetried(**request_fields(pending, state), **failure_fields(failure))
    )


def log_denied(request_id: str, failure: Failure, state: State) -> None:
    """Log a request that fails its admission checks."""
    state.log_event(
        RequestDenied(
            request_id,
            **failure_fields(failure),
            configuration=state.configuration.version,
            configuration_age_ms=view.copy_age(state) // MILLISECOND,
        )
    )


def log_work_refused(work: WorkRow, failure: Failure, state: State) -> None:
    """Log work that its owner refuses or stops."""
    now = state.clock.monotonic()
    forward = work.forward
    queue = state.queues.get(forward.endpoint)
    endpoint = state.endpoints.get(forward.endpoint)
    group = state.groups.get(endpoint.group) if endpoint is not None else None
    state.log_event(
        WorkRefused(
            request=forward.request_id,
            entry=work.sender,
            workspace=forward.workspace,
            endpoint=forward.endpoint,
            step=type(work.step).__name__ if work.step is not None else "",
            total_ms=(now - work.arrived_at) // MILLISECOND,
            queued=queue_length(queue),
            running=len(queue.running) if queue is not None else 0,
            entry_term=forward.term,
            term=group.term if group is not None else 0,
            **failure_fields(failure),
        )
    )


def queue_length(queue: EndpointQueue | None) -> int:
    """Return the number of queued work items of an endpoint."""
    if queue is None:
        return 0
    return sum(len(waiting) for waiting in queue.waiting.values()) + len(queue.urgent)


def failure_fields(failure: Failure) -> dict[str, Any]:
    """Return the fields of an event that describe a failure."""
    return {
        "problem": failure.problem,
        "outcome": failure.outcome,
        "detail": failure.detail,
    }


def retry_after_ms(failure: Failure) -> int:
    """Return after how many milliseconds a caller may retry; -1 if not specified."""
    after = failure.retry_after
    return after // MILLISECOND if after is not None else -1


def request_fields(pending: PendingRequest, state: State) -> dict[str, Any]:
    """Return the fields that the events of a pending request have in common."""
    now = state.clock.monotonic()
    share = state.shares.get(pending.workspace)
    seen = pending.session.get(pending.group)
    group = state.groups.get(pending.group)
    known = state.endpoints.get(pending.endpoint)
    return {
        "request": pending.request_id,
        "workspace": pending.workspace,
        "group": pending.group,
        "action": pending.action,
        "access": pending.access,
        "stage": request_stage(pending),
        "owner": pending.instance,
        "endpoint": pending.endpoint,
        "attempts": pending.attempts,
        "total_ms": (now - pending.arrived_at) // MILLISECOND,
        "attempt_ms": (now - pending.attempt_at) // MILLISECOND
        if pending.attempts
        else 0,
        "minimum": f"{seen.term}.{seen.offset}" if seen is not None else "",
        "term": group.term if group is not None else 0,
        "sample_age_ms": (now - known.sampled_at) // MILLISECOND
        if known is not None
        else 0,
        "tokens": round(share.tokens, 1) if share is not None else 0.0,
        "share_age_ms": (now - share.renewed_at) // MILLISECOND
        if share is not None
        else 0,
        "waiting": len(share.waiting) if share is not None else 0,
        "configuration": state.configuration.version,
        "configuration_age_ms": view.copy_age(state) // MILLISECOND,
    }


def request_stage(pending: PendingRequest) -> str:
    """Return the stage of a request: waiting for the rate, held back or forwarded."""
    if not pending.admitted:
        return "rate"
    return "forwarded" if pending.attempts else "held"
