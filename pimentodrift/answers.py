"""Answers callers' requests: each gets exactly one answer through here."""

import orjson

from . import outcomes, tokens
from .errors import Failure
from .http_answers import problem_body
from .messages import Action, CallerAnswer, Ran
from .tables import PendingRequest, State

JSON = "application/json"


def answer(
    request: int, status: int, headers: dict[str, str], body: bytes, state: State
) -> None:
    """Send an HTTP answer to a caller."""
    state.outbox.append(CallerAnswer(request, status, headers, body))


def refuse_request(
    request: int,
    failure: Failure,
    state: State,
    session: tokens.Session | None = None,
) -> None:
    """Send a problem, with a new session token if the session has changed."""
    status, headers, body = problem_body(failure)
    if session is not None:
        headers["Session-Token"] = tokens.encode(session)
    state.counters[f"answers.{failure.problem}"] += 1
    answer(request, status, headers, body, state)


def send_result(pending: PendingRequest, ran: Ran, state: State) -> None:
    """Send the result of a request with the session's token."""
    headers = {"Content-Type": JSON}
    if pending.session:
        headers["Session-Token"] = tokens.encode(pending.session)
    if ran.replayed:
        headers["Idempotency-Replayed"] = "true"
    if pending.action is Action.BEGIN:
        body = orjson.dumps({"transaction": ran.transaction})
    else:
        body = outcomes.encode_answer(ran.rows)
    state.counters["answers.ran"] += 1
    answer(pending.request, 200, headers, body, state)
