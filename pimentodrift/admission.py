"""Admits callers' HTTP requests at the entry: keys, validation and rate limits.

The caller's key is looked up here and not passed on: a pending request and the
messages to owners carry the workspace and a key id. The rate limit is checked last and
may make the request wait; `routing` takes over once the request is admitted.
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
# An instance that reaches the store confirms its configuration once a second.
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
    """Answer a liveness probe (healthz) or a readiness probe (readyz)."""
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
    """Return the pending request after all checks but the rate limit."""
    if target is None:
        return Error(not_run(Problem.NOT_FOUND))
    if message.method != target.method:
        detail = f"the method of this path is {target.method}"
        return Error(not_run(Problem.METHOD_NOT_ALLOWED, detail))
    if target.open_route:
        return admit_open_route(target.open_route, message, state)
    return read_body(target, message, state.settings.max_body_bytes).bind(
        lambda body: find_key(message, state).bind(
            lambda key: admit_with_key(target, body, key, message, state)
        )
    )


def find_key(message: CallerRequest, state: State) -> Result[KeyRow, Failure]:
    """Return the row of the key in a request, unless the instance is isolated."""
    text = message.headers.get("authorization", "")
    if not text.lower().startswith(BEARER):
        return Error(not_run(Problem.KEY_MISSING))
    digest = sha256(text[len(BEARER) :].strip().encode()).hexdigest()
    row = state.configuration.keys.get(digest)
    if row is None:
        return Error(not_run(Problem.KEY_INVALID))
    return Error(isolation_failure()) if view.is_isolated(state) else Ok(row)


def isolation_failure() -> Failure:
    """Return the refusal of an instance that cannot confirm its configuration."""
    return not_run(Problem.INSTANCE_ISOLATED, retry_after=ISOLATED_RETRY_AFTER)


def admit_with_key(
    target: RequestTarget,
    body: RequestBody,
    key: KeyRow,
    message: CallerRequest,
    state: State,
) -> Admission:
    """Return the pending request of a caller with a valid key."""
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
        access=body.access,
        statement=body.statement,
        deadline=state.clock.monotonic() + state.settings.request_timeout,
        action=target.action,
        transaction=body.transaction,
        durability=workspace.durability,
    )
    return apply_session_token(pending, message).bind(
        lambda pending: complete_request(pending, body, workspace, message)
    )


def complete_request(
    pending: PendingRequest,
    body: RequestBody,
    workspace: WorkspaceRow,
    message: CallerRequest,
) -> Admission:
    """Set the prepared statement, maximum age and idempotency key of a request."""
    if body.prepared:
        prepared = pending.kept.statements.get(body.prepared)
        if prepared is None:
            detail = f"the session has no prepared statement {body.prepared}"
            return Error(not_run(Problem.BAD_REQUEST, detail))
        body = evolve(
            body,
            access=prepared.access,
            statement=Statement(prepared.text, body.statement.parameters),
        )
        pending.access, pending.statement = body.access, body.statement
    pending.max_age = max_read_age(body, workspace, pending.group)
    if body.access is Access.WRITE:
        pending.idempotency_key = message.headers.get("idempotency-key", "")
        pending.body_digest = request_digest(pending, message)
    return Ok(pending)


def request_digest(pending: PendingRequest, message: CallerRequest) -> str:
    """Return a digest that shows whether an idempotency key is reused for other work.

    It covers the body and, if the session has state, its values and the statement.
    """
    content = sha256(message.body)
    if pending.kept:
        content.update(pending.statement.text.encode())
        for pair in sorted(pending.kept.values.items()):
            content.update(repr(pair).encode())
    return content.hexdigest()


def max_read_age(
    body: RequestBody, workspace: WorkspaceRow, group: str
) -> timedelta | None:
    """Return how old the data of a read may be; None: as new as its session's position.

    Operators declare the age for a workspace and group; a request can only lower it.
    """
    declared = workspace.max_ages.get(group)
    if not declared or body.access is not Access.READ:
        return None
    return declared if body.max_age is None else min(declared, body.max_age) or None


def admit_open_route(name: str, message: CallerRequest, state: State) -> Admission:
    """Return the pending request of an open route."""
    found = state.configuration.open_routes.get(name)
    if found is None:
        return Error(not_run(Problem.NOT_FOUND))
    workspace, route = found
    if route.group not in state.groups:
        return Error(not_run(Problem.GROUP_UNKNOWN))
    if route.group not in state.configuration.workspaces[workspace].groups:
        return Error(not_run(Problem.GROUP_FORBIDDEN))
    pending = open_route_request(message.request, workspace, route, state)
    return apply_session_token(pending, message)


def open_route_request(
    request: int, workspace: str, route: OpenRoute, state: State
) -> PendingRequest:
    """Return the pending request of an open route, which uses its workspace's rate."""
    return PendingRequest(
        request=request,
        workspace=workspace,
        key_id="",
        group=route.group,
        access=Access.READ,
        statement=Statement(route.statement),
        deadline=state.clock.monotonic() + state.settings.request_timeout,
        max_age=route.max_age or None,
        open_route=route.name,
    )


def apply_session_token(pending: PendingRequest, message: CallerRequest) -> Admission:
    """Return the pending request with its id and the content of its session token."""
    pending.request_id = message.request_id
    text = message.headers.get("session-token", "")
    return tokens.decode(text).map(lambda token: set_session(pending, token))


def set_session(pending: PendingRequest, token: tokens.Token) -> PendingRequest:
    """Set a pending request's session positions and session state."""
    pending.session, pending.kept = token.positions, token.kept
    return pending


def apply_rate_limit(pending: PendingRequest, state: State) -> None:
    """Route a request if its workspace has a rate token, otherwise let it wait."""
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
