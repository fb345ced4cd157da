"""Sends HTTP answers to callers; each request gets exactly one."""

import orjson

from . import idempotency_records, request_log, session_resource, tokens
from .errors import Failure
from .http_answers import problem_response
from .messages import Action, CallerAnswer, Ran
from .tables import PendingRequest, State

JSON = "application/json"


def answer(
    request: int, status: int, headers: dict[str, str], body: bytes, state: State
) -> None:
    """Send an HTTP answer to a caller."""
    state.outbox.append(CallerAnswer(request, status, headers, body))


def answer_session(request: int, token: tokens.Token, state: State) -> None:
    """Send a session's values and prepared statements, with its token."""
    headers = {
        "Content-Type": JSON,
        "Session-Token": tokens.encode(token.positions, token.kept),
    }
    answer(request, 200, headers, session_resource.describe(token), state)


def refuse_request(
    request: int,
    failure: Failure,
    state: State,
    token: tokens.Token | None = None,
) -> None:
    """Send a failure as a problem, with a session token if the session has changed."""
    status, headers, body = problem_response(failure)
    if token is not None:
        headers["Session-Token"] = tokens.encode(token.positions, token.kept)
    state.counters[f"answers.{failure.problem}"] += 1
    answer(request, status, headers, body, state)


def send_result(pending: PendingRequest, ran: Ran, state: State) -> None:
    """Send the result of a request, with the session's token if it has a session."""
    headers = {"Content-Type": JSON}
    if pending.session or pending.kept:
        headers["Session-Token"] = tokens.encode(pending.session, pending.kept)
    if ran.replayed:
        headers["Idempotency-Replayed"] = "true"
    if pending.action is Action.BEGIN:
        body = orjson.dumps({"transaction": ran.transaction})
    else:
        body = idempotency_records.encode_answer(ran.rows)
    state.counters["answers.ran"] += 1
    request_log.log_answered(pending, state)
    answer(pending.request, 200, headers, body, state)
