"""Routes admitted requests at the entry: attempts, replies and retries.

A request has at most one attempt in flight. An attempt that certainly did not run is
retried on another endpoint or after a backoff, until the deadline. An attempt of
unknown outcome is retried only if it is a read, has an idempotency key or begins a
transaction. Failures that a retry cannot change are answered at once.
"""

from datetime import timedelta

from attrs import evolve

from . import (
    peers,
    positions,
    rates,
    replica_choice,
    replica_lag,
    request_log,
    work_limits,
)
from .answers import refuse_request, send_result
from .clock import MILLISECOND
from .dispatch import handle, handle_peer
from .errors import Failure, Outcome, Problem, not_run, outcome_unknown
from .messages import Access, Action, Position, Ran
from .notices import ConfigurationChanged, InstanceDown, PrimaryChanged
from .peer_messages import Cancel, Forward, Reply
from .replica_choice import ZERO_POSITION, Route, session_minimum
from .tables import PendingRequest, State
from .tokens import SessionPositions, Token, advance_session, reaches

INITIAL_BACKOFF = timedelta(milliseconds=10)
MAX_BACKOFF = timedelta(milliseconds=200)
# The owner replies at the deadline; its reply has this long to arrive.
REPLY_GRACE = timedelta(milliseconds=250)
RETRY_AFTER = timedelta(seconds=1)  # Told to callers whose request is refused.

# Problems that another endpoint, another owner or a later attempt may not have.
RETRYABLE = frozenset(
    {
        Problem.ENDPOINT_UNAVAILABLE,
        Problem.PRIMARY_UNAVAILABLE,
        Problem.OWNER_UNREACHABLE,
        Problem.INSTANCE_STOPPING,
        Problem.INSTANCE_ISOLATED,
    }
)
# Problems at which a read goes to another endpoint at once; a backoff would only
# lengthen the queue.
OVERLOADED = frozenset({Problem.QUEUE_FULL, Problem.DEADLINE_EXCEEDED})


def start(pending: PendingRequest, state: State) -> None:
    """Start the first attempt of an admitted request."""
    pending.admitted = True
    start_attempt(pending, state)


# --- Attempts


def start_attempt(pending: PendingRequest, state: State) -> None:
    """Send the request to an owner, or back off when no endpoint can serve it now."""
    pending.retry_at = None
    if pending.deadline <= state.clock.monotonic():
        late = pending.failure or not_run(Problem.PRIMARY_UNAVAILABLE)
        finish_failure(pending, late, state)
        return
    holder = pending.key_id, pending.workspace
    if pending.key_id and holder not in state.configuration.key_holders:
        finish_failure(pending, not_run(Problem.KEY_INVALID), state)
        return
    session = session_after_dropped_write(pending, state)
    if session is not None:
        failure = not_run(Problem.WRITE_DROPPED)
        finish_failure(pending, failure, state, session)
        return
    route = replica_choice.choose_route(pending, state)
    if isinstance(route, Route):
        if not wait_for_replica(pending, route, state):
            forward(pending, route, state)
    elif pending.transaction or route.problem is Problem.REGION_FORBIDDEN:
        finish_failure(pending, route, state)
    else:
        back_off(pending, pending.failure or route, state)


def wait_for_replica(pending: PendingRequest, route: Route, state: State) -> bool:
    """Postpone a read routed to the primary if a replica will soon be fresh enough.

    Return whether the read was postponed.
    """
    if route.endpoint != state.groups[pending.group].primary:
        return False
    wait = replica_choice.replica_wait(pending, state)
    now = state.clock.monotonic()
    if wait is None or now + wait >= pending.deadline:
        return False
    pending.waited_for_replica = True
    pending.retry_at = now + wait
    state.counters["routing.replica_waits"] += 1
    return True


def session_after_dropped_write(
    pending: PendingRequest, state: State
) -> SessionPositions | None:
    """Return the session's new positions if it has seen a dropped write, else None.

    A failover drops the writes that the new primary does not have.
    """
    seen = pending.session.get(pending.group)
    if seen is None or pending.transaction:
        return None
    starts = state.groups[pending.group].term_starts
    later = [term for term in starts if term > seen.term]
    if not later or seen.offset < starts[min(later)]:
        return None
    # The new position is the last one before the next term: both logs contain it.
    common = Position(min(later), max(0, starts[min(later)] - 1))
    return pending.session | {pending.group: common}


def forward(pending: PendingRequest, route: Route, state: State) -> None:
    """Send an attempt to an owner."""
    now = state.clock.monotonic()
    pending.attempt = state.new_number()
    pending.attempt_at = now
    pending.attempts += 1
    pending.instance = route.instance
    pending.endpoint = route.endpoint
    state.attempts[pending.attempt] = pending.request
    state.outstanding[route.endpoint] += 1
    state.counters["routing.attempts"] += 1
    message = Forward(
        request=pending.attempt,
        endpoint=route.endpoint,
        workspace=pending.workspace,
        key_id=pending.key_id,
        action=pending.action,
        access=pending.access,
        statement=pending.statement,
        minimum=route.minimum,
        term=state.groups[pending.group].term,
        remaining_ms=max(1, (pending.deadline - now) // MILLISECOND),
        durability=pending.durability,
        idempotency_key=pending.idempotency_key,
        body_digest=pending.body_digest,
        transaction=pending.transaction,
        primary_only=route.primary_only,
        # Anybody may call an open route, so its statement runs without session values.
        values=tuple(pending.kept.values.items()) if pending.key_id else (),
        request_id=pending.request_id,
    )
    if not peers.send(route.instance, message, state):
        end_attempt(pending, state)
        on_failure(pending, not_run(Problem.OWNER_UNREACHABLE), state)


def end_attempt(pending: PendingRequest, state: State) -> None:
    """Forget the attempt in flight; a later reply to it is ignored."""
    if state.attempts.pop(pending.attempt, None) is not None:
        state.outstanding[pending.endpoint] -= 1
    pending.attempt = 0


# --- Owners' replies


@handle_peer.register
def _(message: Reply, sender: str, state: State) -> None:
    pending = state.pending.get(state.attempts.get(message.request, 0))
    if pending is None or pending.instance != sender:
        state.counters["routing.late_replies"] += 1
        return
    end_attempt(pending, state)
    if isinstance(message.result, Failure):
        on_failure(pending, message.result, state)
    else:
        on_result(pending, message.result, state)


def on_result(pending: PendingRequest, ran: Ran, state: State) -> None:
    """Answer the caller, or retry a read whose data is older than its session."""
    if ran.position != ZERO_POSITION:
        positions.record_position(
            pending.endpoint, ran.position, pending.attempt_at, state
        )
    if is_behind(pending, ran, state):
        state.counters["routing.reads_behind"] += 1
        on_failure(pending, not_run(Problem.ENDPOINT_UNAVAILABLE), state)
        return
    if ran.position != ZERO_POSITION:
        pending.session = advance_session(pending.session, pending.group, ran.position)
    count_read(pending, state)
    state.pending.pop(pending.request, None)
    send_result(pending, ran, state)


def is_behind(pending: PendingRequest, ran: Ran, state: State) -> bool:
    """Return whether a read's data is older than what its session has seen."""
    if pending.access is Access.WRITE or pending.transaction:
        return False
    minimum = session_minimum(pending)
    is_primary = state.groups[pending.group].primary == pending.endpoint
    if is_primary and ran.position.term == minimum.term:
        return False
    return not reaches(ran.position, minimum)


def count_read(pending: PendingRequest, state: State) -> None:
    """Count whether the primary or a replica served a read."""
    if pending.access is Access.WRITE or pending.transaction:
        return
    is_primary = state.groups[pending.group].primary == pending.endpoint
    state.counters[f"routing.reads_{'primary' if is_primary else 'replica'}"] += 1


def on_failure(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Retry a request whose attempt failed, or refuse it."""
    pending.tried.add(pending.endpoint)
    request_log.log_retried(pending, failure, state)
    if pending.transaction:
        finish_failure(pending, failure, state)
    elif failure.outcome is Outcome.UNKNOWN:
        on_unknown_outcome(pending, failure, state)
    elif failure.problem in RETRYABLE:
        if pending.access is Access.READ:
            replica_lag.raise_estimate(pending.endpoint, state)
        retry(pending, failure, state)
    elif failure.problem in OVERLOADED and pending.access is Access.READ:
        retry_elsewhere(pending, failure, state)
    else:
        finish_failure(pending, failure, state)


def on_unknown_outcome(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Retry a request that may have run if a second run is safe, or refuse it."""
    if pending.access is Access.READ:
        retry(pending, failure, state)
    elif pending.action is Action.BEGIN:
        back_off(pending, failure, state)  # An unused transaction is rolled back.
    elif pending.idempotency_key:
        pending.may_have_run = True
        back_off(pending, failure, state)
    else:
        finish_failure(pending, failure, state)


def retry(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Try an endpoint that was not tried since the last backoff, or back off."""
    pending.failure = failure
    state.counters["routing.retries"] += 1
    start_attempt(pending, state)


def retry_elsewhere(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Try another endpoint at once, or answer the caller with the failure."""
    route = replica_choice.choose_route(pending, state)
    if isinstance(route, Route) and state.clock.monotonic() < pending.deadline:
        state.counters["routing.retries"] += 1
        forward(pending, route, state)
    else:
        finish_failure(pending, failure, state)


def back_off(pending: PendingRequest, failure: Failure, state: State) -> None:
    """Schedule the next attempt after an exponential backoff with jitter."""
    pending.failure = failure
    pending.tried.clear()
    backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2**pending.pauses)
    pending.pauses = min(pending.pauses + 1, 10)
    pending.retry_at = state.clock.monotonic() + backoff * state.random.uniform(0.5, 1)


# --- The end of a request


def finish_failure(
    pending: PendingRequest,
    failure: Failure,
    state: State,
    session: SessionPositions | None = None,
) -> None:
    """Refuse a request; the outcome is unknown if an earlier attempt may have run."""
    state.pending.pop(pending.request, None)
    end_attempt(pending, state)
    if pending.may_have_run:
        failure = evolve(failure, outcome=Outcome.UNKNOWN)
    if failure.retry_after is None and failure.problem in RETRYABLE:
        failure = evolve(failure, retry_after=RETRY_AFTER)
    token = None if session is None else Token(session, pending.kept)
    request_log.log_refused(pending, failure, state)
    refuse_request(pending.request, failure, state, token)


def cancel(pending: PendingRequest, state: State) -> None:
    """Forget a request whose caller has gone, and cancel its attempt."""
    state.pending.pop(pending.request, None)
    if pending.attempt:
        peers.send(pending.instance, Cancel(pending.attempt), state)
    end_attempt(pending, state)


def run(state: State) -> None:
    """Retry requests whose backoff is over and end those past their deadline."""
    positions.run(state)
    now = state.clock.monotonic()
    for pending in list(state.pending.values()):
        if pending.deadline <= now:
            end_overdue(pending, state)
        elif pending.retry_at is not None and pending.retry_at <= now:
            start_attempt(pending, state)


def end_overdue(pending: PendingRequest, state: State) -> None:
    """Refuse a request past its deadline; an attempt in flight has REPLY_GRACE more."""
    if pending.retry_at is not None:
        failure = pending.failure or not_run(Problem.PRIMARY_UNAVAILABLE)
        finish_failure(pending, failure, state)
    elif pending.deadline + REPLY_GRACE > state.clock.monotonic():
        return
    elif pending.attempt:
        detail = "the owner has not answered"
        finish_failure(
            pending, outcome_unknown(Problem.DEADLINE_EXCEEDED, detail), state
        )
    else:
        rates.cancel_waiting(pending.workspace, pending.request, state)
        failure = not_run(Problem.RATE_EXCEEDED, retry_after=RETRY_AFTER)
        finish_failure(pending, failure, state)


# --- Lost instances, new primaries and new configurations


@handle.register
def _(message: InstanceDown, state: State) -> None:
    lost = [row for row in state.pending.values() if row.instance == message.instance]
    for pending in lost:
        if not pending.attempt:
            continue
        is_unsent = pending.attempt in message.unsent
        end_attempt(pending, state)
        # The endpoint itself may be healthy, so its next owner can serve the request.
        failure = (not_run if is_unsent else outcome_unknown)(Problem.OWNER_UNREACHABLE)
        on_failure(pending, failure, state)


@handle.register
def _(message: PrimaryChanged, state: State) -> None:
    work_limits.stop_disallowed_work(state)
    for pending in list(state.pending.values()):
        if pending.group == message.group and pending.retry_at is not None:
            pending.pauses = 0
            start_attempt(pending, state)


@handle.register
def _(message: ConfigurationChanged, state: State) -> None:
    work_limits.stop_disallowed_work(state)
