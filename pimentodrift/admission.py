"""The first part of a request's path at the entry: from HTTP to a pending request.

The caller's key is looked up here and goes no further: a pending request and the
messages to owners carry the workspace and a key id. The last check is the rate, which
may make the request wait; `routing` takes over when it is admitted.
"""

from datetime import timedelta
from hashlib import sha256

from attrs import evolve
from expression import Error, Ok, Result

from . import (
    rate_waiters,
    rates,
    request_log,
    routing,
    session_resource,
    tokens,
    view,
)
from .answers import answer, answer_session, refuse_request
from .caller_requests import RequestBody, RequestTarget, read_body, read_target
from .dispatch import handle
from .errors import Failure, Problem, not_run
from .messages import (
    Access,
    CallerGone,
    CallerRequest,
    Statement,
)
from .tables import KeyRow, OpenRoute, PendingRequest, State, WorkspaceRow

BEARER = "bearer "
# A copy of the configuration is confirmed each second when the store is reachable.
ISOLATED_RETRY_AFTER = timedelta(seconds=1)

Admission = Result[PendingRequest, Failure]


@handle.register
def _(message: CallerRequest, state: State) -> None:
    state.counters["admission.requests"] += 1
    target = read_target(message.path)
    if target is not None and target.probe and message.method == target.method:
        answer_probe(message.request, target.probe, state)
        return
    session = session_resource.read_session_target(message.path)
    if session is not None:
        serve_session_resource(session, message, state)
        return
    match admit(target, message, state):
        case Result(tag="ok", ok=pending):
            apply_rate_limit(pending, state)
        case Result(error=failure):
            request_log.log_denied(message.request_id, failure, state)
            refuse_request(message.request, failure, state)


def serve_session_resource(
    target: session_resource.SessionTarget, message: CallerRequest, state: State
) -> None:
    """Answer a request to the session resource."""
    result = find_key(message, state).bind(
        lambda _key: session_resource.serve(target, message)
    )
    match result:
        case Result(tag="ok", ok=token):
            answer_session(message.request, token, state)
        case Result(error=failure):
            request_log.log_denied(message.request_id, failure, state)
            refuse_request(message.request, failure, state)


def answer_probe(request: int, probe: str, state: State) -> None:
    """Answer whether the process lives, or whether it wants new callers."""
    ready = probe == "healthz" or is_ready(state)
    headers = {"Content-Type": "text/plain"}
    text = b"ok\n" if ready else b"not ready\n"
    answer(request, 200 if ready else 503, headers, text, state)


def is_ready(state: State) -> bool:
    """Return whether the load balancer should send callers here."""
    has_configuration = state.configuration.version > 0
    return has_configuration and not state.stopping and not view.is_isolated(state)


def admit(
    target: RequestTarget | None, message: CallerRequest, state: State
) -> Admission:
    """Check everything about a request but its rate."""
    if target is None:
        return Error(not_run(Problem.NOT_FOUND))
    if message.method != target.method:
        detail = f"the method of this path is {target.method}"
        return Error(not_run(Problem.METHOD_NOT_ALLOWED, detail))
    if target.open_route:
        return admit_open(target.open_route, message, state)
    return read_body(target, message, state.settings.max_body_bytes).bind(
        lambda work: find_key(message, state).bind(
            lambda key: admit_with_key(target, work, key, message, state)
        )
    )


def find_key(message: CallerRequest, state: State) -> Result[KeyRow, Failure]:
    """Return the row of the key that came with a request."""
    text = message.headers.get("authorization", "")
    if not text.lower().startswith(BEARER):
        return Error(not_run(Problem.KEY_MISSING))
    digest = sha256(text[len(BEARER) :].strip().encode()).hexdigest()
    row = state.configuration.keys.get(digest)
    if row is None:
        return Error(not_run(Problem.KEY_INVALID))
    return Error(isolated()) if view.is_isolated(state) else Ok(row)


def isolated() -> Failure:
    """Return the refusal of an instance that cannot confirm its configuration."""
    return not_run(Problem.INSTANCE_ISOLATED, retry_after=ISOLATED_RETRY_AFTER)


def admit_with_key(
    target: RequestTarget,
    work: RequestBody,
    key: KeyRow,
    message: CallerRequest,
    state: State,
) -> Admission:
    """Return the pending request of a key."""
    workspace = state.configuration.workspaces[key.workspace]
    if target.group not in state.groups:
        return Error(not_run(Problem.GROUP_UNKNOWN))
    if target.group not in workspace.groups:
        return Error(not_run(Problem.GROUP_FORBIDDEN))
    pending = PendingRequest(
        request=message.request,
        workspace=workspace.name,
        key_id=key.key_id,
        group=target.group,
        access=work.access,
        statement=work.statement,
        deadline=state.clock.monotonic() + state.settings.request_timeout,
        action=target.action,
        transaction=work.transaction,
        durability=workspace.durability,
    )
    return apply_session_token(pending, message).bind(
        lambda pending: resolve_prepared_statement(pending, work, workspace, message)
    )


def resolve_prepared_statement(
    pending: PendingRequest,
    work: RequestBody,
    workspace: WorkspaceRow,
    message: CallerRequest,
) -> Admission:
    """Return the pending request with the prepared statement that it names."""
    if work.prepared:
        shape = pending.kept.statements.get(work.prepared)
        if shape is None:
            detail = f"the session has no prepared statement {work.prepared}"
            return Error(not_run(Problem.BAD_REQUEST, detail))
        work = evolve(
            work,
            access=shape.access,
            statement=Statement(shape.text, work.statement.parameters),
        )
        pending.access, pending.statement = work.access, work.statement
    pending.max_age = max_read_age(work, workspace, pending.group)
    if work.access is Access.WRITE:
        pending.idempotency_key = message.headers.get("idempotency-key", "")
        pending.body_digest = request_digest(pending, message)
    return Ok(pending)


def request_digest(pending: PendingRequest, message: CallerRequest) -> str:
    """Return what tells apart the requests that may use an idempotency key."""
    content = sha256(message.body)
    if pending.kept:
        content.update(pending.statement.text.encode())
        for pair in sorted(pending.kept.values.items()):
            content.update(repr(pair).encode())
    return content.hexdigest()


def max_read_age(
    work: RequestBody, workspace: WorkspaceRow, group: str
) -> timedelta | None:
    """Return the age of data that a read accepts, or None for its session's state.

    The operators decide whether data may have an age; a request can only lower it.
    """
    declared = workspace.max_ages.get(group)
    if not declared or work.access is not Access.READ:
        return None
    return declared if work.max_age is None else min(declared, work.max_age) or None


def admit_open(name: str, message: CallerRequest, state: State) -> Admission:
    """Return the pending request of an open route."""
    found = state.configuration.open_routes.get(name)
    if found is None:
        return Error(not_run(Problem.NOT_FOUND))
    workspace, route = found
    if route.group not in state.groups:
        return Error(not_run(Problem.GROUP_UNKNOWN))
    if route.group not in state.configuration.workspaces[workspace].groups:
        return Error(not_run(Problem.GROUP_FORBIDDEN))
    pending = open_request(message.request, workspace, route, state)
    return apply_session_token(pending, message)


def open_request(
    request: int, workspace: str, route: OpenRoute, state: State
) -> PendingRequest:
    """Return the pending request of an open route, charged to its workspace."""
    return PendingRequest(
        request=request,
        workspace=workspace,
        key_id="",
        group=route.group,
        access=Access.READ,
        statement=Statement(route.statement),
        deadline=state.clock.monotonic() + state.settings.request_timeout,
        max_age=route.max_age or None,
    )


def apply_session_token(pending: PendingRequest, message: CallerRequest) -> Admission:
    """Return the pending request with its id and the session of its token."""
    pending.request_id = message.request_id
    text = message.headers.get("session-token", "")
    return tokens.decode(text).map(lambda token: set_session(pending, token))


def set_session(pending: PendingRequest, token: tokens.Token) -> PendingRequest:
    """Give a pending request its session."""
    pending.session, pending.kept = token.positions, token.kept
    return pending


def apply_rate_limit(pending: PendingRequest, state: State) -> None:
    """Take a token of the workspace's rate, or wait for one."""
    state.pending[pending.request] = pending
    pending.arrived_at = state.clock.monotonic()
    if rates.take_token(pending.workspace, state):
        routing.start(pending, state)
        return
    state.counters["admission.waiting"] += 1
    rates.queue_for_token(pending.workspace, pending.request, pending.deadline, state)


@rate_waiters.on_admitted.register
def _(row: PendingRequest, state: State) -> None:
    if not row.admitted:
        routing.start(row, state)


@rate_waiters.on_refused.register
def _(row: PendingRequest, failure: Failure, state: State) -> None:
    routing.finish_failure(row, failure, state)


@handle.register
def _(message: CallerGone, state: State) -> None:
    pending = state.pending.get(message.request)
    if pending is None:
        return
    state.counters["admission.callers_gone"] += 1
    if not pending.admitted:
        rates.cancel_waiting(pending.workspace, pending.request, state)
    routing.cancel(pending, state)
