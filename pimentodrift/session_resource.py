"""The session resource of the HTTP interface: values, prepared statements, close.

The answer to a change holds a new session token. No database and no other instance
takes part in a change.
"""

from enum import StrEnum
from typing import Any

import orjson
from attrs import evolve, frozen
from expression import Error, Ok, Result

from . import session_state, tokens
from .caller_requests import json_object, statement_fault
from .errors import Failure, Problem, not_run
from .messages import Access, CallerRequest
from .session_state_rows import PreparedStatement, SessionState

VALUE_FIELDS = {"value"}
PREPARED_FIELDS = {"statement", "access"}


class SessionPart(StrEnum):
    """The part of a session that a path names."""

    ALL = ""
    VALUES = "values"
    STATEMENTS = "statements"


@frozen
class SessionTarget:
    """The session, or the value or prepared statement that a path names."""

    part: SessionPart = SessionPart.ALL
    name: str = ""  # Of the value or prepared statement; empty for the whole session.


def read_session_target(path: str) -> SessionTarget | None:
    """Return the target of a path, or None if it is not the session resource."""
    match path.strip("/").split("/"):
        case ["v1", "session"]:
            return SessionTarget()
        case ["v1", "session", "values" | "statements" as part, name] if name:
            return SessionTarget(SessionPart(part), name)
    return None


def serve(
    target: SessionTarget, message: CallerRequest
) -> Result[tokens.Token, Failure]:
    """Return the session of a request's token as it is after the request."""
    text = message.headers.get("session-token", "")
    return tokens.decode(text).bind(
        lambda token: change_session(target, token, message)
    )


def change_session(
    target: SessionTarget, token: tokens.Token, message: CallerRequest
) -> Result[tokens.Token, Failure]:
    """Return a session with the change that the request's method asks for."""
    match (target.part, message.method):
        case (SessionPart.ALL, "GET"):
            return Ok(token)
        case (SessionPart.ALL, "DELETE"):
            return Ok(tokens.Token())
        case (SessionPart.VALUES, "PUT"):
            kept = put_value(target.name, token.kept, message)
        case (SessionPart.VALUES, "DELETE"):
            kept = session_state.without_value(token.kept, target.name)
        case (SessionPart.STATEMENTS, "PUT"):
            kept = put_statement(target.name, token.kept, message)
        case (SessionPart.STATEMENTS, "DELETE"):
            kept = session_state.without_statement(token.kept, target.name)
        case _:
            return Error(not_run(Problem.METHOD_NOT_ALLOWED, methods_detail(target)))
    return kept.map(lambda new: evolve(token, kept=new)).bind(tokens.check_length)


def methods_detail(target: SessionTarget) -> str:
    """Return the detail of a failure that lists the methods of a path."""
    names = "GET and DELETE" if target.part is SessionPart.ALL else "PUT and DELETE"
    return f"the methods of this path are {names}"


def put_value(
    name: str, kept: SessionState, message: CallerRequest
) -> Result[SessionState, Failure]:
    """Return the session state with the value in a request's body."""
    return json_object(message, VALUE_FIELDS).bind(
        lambda content: (
            session_state.with_value(kept, name, content["value"])
            if isinstance(content.get("value"), str)
            else session_state.bad_request("value must be a text")
        )
    )


def put_statement(
    name: str, kept: SessionState, message: CallerRequest
) -> Result[SessionState, Failure]:
    """Return the session state with the prepared statement in a request's body."""

    def prepare(content: dict[str, Any]) -> Result[SessionState, Failure]:
        fault = statement_fault(content)
        if fault:
            return session_state.bad_request(fault)
        prepared = PreparedStatement(content["statement"], Access(content["access"]))
        return session_state.with_statement(kept, name, prepared)

    return json_object(message, PREPARED_FIELDS).bind(prepare)


def describe(token: tokens.Token) -> bytes:
    """Return a session's values and prepared statements as JSON."""
    statements = {
        name: {"statement": prepared.text, "access": prepared.access}
        for name, prepared in token.kept.statements.items()
    }
    return orjson.dumps({"values": token.kept.values, "statements": statements})
