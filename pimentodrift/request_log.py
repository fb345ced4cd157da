"""Notes what decided the end of a request of the HTTP interface, for the log."""

from datetime import timedelta
from typing import Any

from . import view
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

MILLISECOND = timedelta(milliseconds=1)


def log_answered(pending: PendingRequest, state: State) -> None:
    """Note a request with a result."""
    state.log_event(RequestAnswered(**request_fields(pending, state)))


def log_refused(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Note a request that ends without a result."""
    fields = request_fields(pending, state) | failure_fields(failure)
    state.log_event(RequestRefused(**fields, retry_after_ms=retry_after_ms(failure)))


def log_retried(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Note an attempt that failed."""
    state.log_event(
        RequestRetried(**request_fields(pending, state), **failure_fields(failure))
    )


def log_denied(request_id: str, failure: Failure, state: State) -> None:
    """Note a request that was refused before anything was spent on it."""
    state.log_event(
        RequestDenied(
            request_id,
            **failure_fields(failure),
            configuration=state.configuration.version,
            configuration_age_ms=view.copy_age(state) // MILLISECOND,
        )
    )


def log_work_refused(work: WorkRow, failure: Failure, state: State) -> None:
    """Note work that its owner does not carry out, or not to its end."""
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
            queued=queued(queue),
            running=len(queue.running) if queue is not None else 0,
            entry_term=forward.term,
            term=group.term if group is not None else 0,
            **failure_fields(failure),
        )
    )


def queued(queue: EndpointQueue | None) -> int:
    """Return how much work waits at an endpoint."""
    if queue is None:
        return 0
    return sum(len(waiting) for waiting in queue.waiting.values()) + len(queue.urgent)


def failure_fields(failure: Failure) -> dict[str, Any]:
    """Return the fields that tell why."""
    return {
        "problem": failure.problem,
        "outcome": failure.outcome,
        "detail": failure.detail,
    }


def retry_after_ms(failure: Failure) -> int:
    """Return when the caller should come back; -1 if that makes no sense."""
    after = failure.retry_after
    return after // MILLISECOND if after is not None else -1


def request_fields(pending: PendingRequest, state: State) -> dict[str, Any]:
    """Return what explains the way of a request: the fields of its events."""
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
        "stage": stage(pending),
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


def stage(pending: PendingRequest) -> str:
    """Return how far a request has come."""
    if not pending.admitted:
        return "rate"
    return "forwarded" if pending.attempts else "held"
