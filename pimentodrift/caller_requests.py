"""Parses and validates callers' HTTP requests: paths, JSON bodies and statements."""

import re
from datetime import timedelta
from typing import Any

import orjson
from attrs import field, frozen
from expression import Error, Ok, Result

from .errors import Failure, Problem, not_run
from .messages import Access, Action, CallerRequest, Scalar, Statement

MAX_IDEMPOTENCY_KEY = 255  # Characters.
MAX_AGE_LIMIT_MS = 24 * 3600 * 1000
STATEMENT_FIELDS = {
    "statement",
    "parameters",
    "access",
    "max_age_ms",
    "transaction",
    "prepared",
}

# What PostgreSQL skips before a statement's first word: white space, empty statements,
# comments (block comments nest) and, before a query, parentheses.
SKIPPED = re.compile(r"(?:[\s;(]|--[^\n\r]*)+")
COMMENT_DELIMITER = re.compile(r"/\*|\*/")
WORD = re.compile(r"[A-Za-z_]+")
# First words of statements that callers may not send. The proxy itself controls
# transactions, since it has to know the state of each connection and to confirm each
# commit. Effects of SET, PREPARE and LISTEN would stay on a pooled connection and reach
# other callers; COPY needs a stream.
CONTROL_WORDS = frozenset(
    {
        "abort",
        "begin",
        "commit",
        "copy",
        "deallocate",
        "discard",
        "end",
        "execute",
        "listen",
        "load",
        "prepare",
        "release",
        "reset",
        "rollback",
        "savepoint",
        "set",
        "start",
        "unlisten",
    }
)


@frozen
class RequestTarget:
    """The resource that a request's path names, and its HTTP method."""

    action: Action = Action.STATEMENT
    group: str = ""
    transaction: str = ""
    open_route: str = ""
    probe: str = ""  # "healthz", "readyz" or, for other paths, empty.
    method: str = "POST"


@frozen
class RequestBody:
    """The parsed body of a request."""

    access: Access
    statement: Statement = field(default=Statement(""))
    max_age: timedelta | None = None
    transaction: str = ""
    prepared: str = ""  # Name of a prepared statement of the session; empty: none.


def read_target(path: str) -> RequestTarget | None:
    """Return the target of a path, or None if the path is unknown."""
    match path.partition("?")[0].strip("/").split("/"):
        case ["healthz" | "readyz" as probe]:
            return RequestTarget(probe=probe, method="GET")
        case ["v1", "open", route] if route:
            return RequestTarget(open_route=route, method="GET")
        case ["v1", "groups", group, "statements"] if group:
            return RequestTarget(group=group)
        case ["v1", "groups", group, "transactions"] if group:
            return RequestTarget(Action.BEGIN, group)
        case ["v1", "groups", group, "transactions", txn, "commit"] if txn:
            return RequestTarget(Action.COMMIT, group, txn)
        case ["v1", "groups", group, "transactions", txn, "rollback"] if txn:
            return RequestTarget(Action.ROLLBACK, group, txn)
    return None


def read_body(
    target: RequestTarget, request: CallerRequest, max_bytes: int
) -> Result[RequestBody, Failure]:
    """Parse the body of a request, after checks of its size and Idempotency-Key."""
    if len(request.body) > max_bytes:
        return Error(not_run(Problem.BODY_TOO_LARGE))
    idempotency_key = request.headers.get("idempotency-key", "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY:
        return bad_request("Idempotency-Key is too long")
    if target.action is not Action.STATEMENT:
        if idempotency_key:
            return bad_request("Idempotency-Key is for writes outside transactions")
        return Ok(RequestBody(Access.WRITE, transaction=target.transaction))
    return json_object(request, STATEMENT_FIELDS).bind(
        lambda content: read_statement(content, idempotency_key)
    )


def json_object(
    request: CallerRequest, fields: set[str]
) -> Result[dict[str, Any], Failure]:
    """Return the JSON object in a body, which may have only these fields."""
    try:
        content = orjson.loads(request.body)
    except orjson.JSONDecodeError:
        return bad_request("the body is not JSON")
    if not isinstance(content, dict):
        return bad_request("the body is not a JSON object")
    unknown_fields = sorted(content.keys() - fields)
    if unknown_fields:
        return bad_request(f"unknown field: {unknown_fields[0]}")
    return Ok(content)


def read_statement(
    content: dict[str, Any], idempotency_key: str
) -> Result[RequestBody, Failure]:
    """Return the parsed body of a request to run a statement."""
    fault = body_fault(content)
    if fault:
        return bad_request(fault)
    transaction = content.get("transaction") or ""
    if transaction and idempotency_key:
        return bad_request("Idempotency-Key is for writes outside transactions")
    max_age = content.get("max_age_ms")
    parameters: list[Scalar] = content.get("parameters") or []
    return Ok(
        RequestBody(
            # `admission` sets access and text of a prepared statement.
            Access(content.get("access", Access.READ)),
            Statement(content.get("statement", ""), tuple(parameters)),
            None if max_age is None else timedelta(milliseconds=max_age),
            transaction,
            content.get("prepared", ""),
        )
    )


def body_fault(content: dict[str, Any]) -> str:
    """Return what is wrong with a body, or an empty text."""
    fault = (
        prepared_fault(content) if "prepared" in content else statement_fault(content)
    )
    if fault:
        return fault
    if not isinstance(content.get("transaction") or "", str):
        return "transaction must be a text"
    return age_fault(content.get("max_age_ms")) or parameters_fault(
        content.get("parameters")
    )


def prepared_fault(content: dict[str, Any]) -> str:
    """Return what is wrong with the name of a prepared statement, or an empty text."""
    if not isinstance(content["prepared"], str) or not content["prepared"]:
        return "prepared must be the name of a statement of the session"
    if "statement" in content or "access" in content:
        return "a prepared statement has its own statement and access"
    return ""


def statement_fault(content: dict[str, Any]) -> str:
    """Return what is wrong with a statement and its access, or an empty text."""
    text = content.get("statement")
    if not isinstance(text, str) or not text.strip():
        return "statement must be a text"
    if "\0" in text:
        return "statement must not contain a zero character"
    if first_word(text) in CONTROL_WORDS:
        return "transaction control is not a statement; use the transactions resource"
    if content.get("access") not in (Access.READ.value, Access.WRITE.value):
        return 'access must be "read" or "write"'
    return ""


def age_fault(value: object) -> str:
    """Return what is wrong with `max_age_ms`, or an empty text."""
    if value is None:
        return ""
    if type(value) is not int or not 0 <= value <= MAX_AGE_LIMIT_MS:
        return f"max_age_ms must be an integer from 0 to {MAX_AGE_LIMIT_MS}"
    return ""


def parameters_fault(value: object) -> str:
    """Return what is wrong with `parameters`, or an empty text."""
    if value is None:
        return ""
    if not isinstance(value, list):
        return "parameters must be a list"
    for item in value:
        if not isinstance(item, str | int | float | bool | None):
            return "parameters must be texts, numbers, booleans or null"
        if isinstance(item, str) and "\0" in item:
            return "parameters must not contain a zero character"
    return ""


def first_word(text: str) -> str:
    """Return the first word of a statement in lower case, after leading comments."""
    at = 0
    while True:
        skipped = SKIPPED.match(text, at)
        if skipped is not None:
            at = skipped.end()
        if not text.startswith("/*", at):
            break
        at = block_comment_end(text, at)
    word = WORD.match(text, at)
    return word.group().lower() if word is not None else ""


def block_comment_end(text: str, at: int) -> int:
    """Return the index after the block comment that begins at index `at`."""
    depth = 0
    for delimiter in COMMENT_DELIMITER.finditer(text, at):
        depth += 1 if delimiter.group() == "/*" else -1
        if depth == 0:
            return delimiter.end()
    return len(text)


def bad_request(detail: str) -> Result[Any, Failure]:
    """Return the refusal of a malformed request."""
    return Error(not_run(Problem.BAD_REQUEST, detail))
