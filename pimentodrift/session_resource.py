"""The session resource of the HTTP interface: values, prepared statements, close.

A change answers with a new session token and needs no database and no other instance.
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
SHAPE_FIELDS = {"statement", "access"}


class Part(StrEnum):
    """What of a session a path names."""

    ALL = ""
    VALUES = "values"
    STATEMENTS = "statements"


@frozen
class SessionTarget:
    """A part of the session and, but for the whole, the name in it."""

    part: Part = Part.ALL
    name: str = ""


def read_session_target(path: str) -> SessionTarget | None:
    """Return what a path names of the session, or None."""
    match path.strip("/").split("/"):
        case ["v1", "session"]:
            return SessionTarget()
        case ["v1", "session", "values" | "statements" as part, name] if name:
            return SessionTarget(Part(part), name)
    return None


def serve(
    target: SessionTarget, message: CallerRequest
) -> Result[tokens.Token, Failure]:
    """Return the session after a request to its resource."""
    text = message.headers.get("session-token", "")
    return tokens.decode(text).bind(lambda token: change(target, token, message))


def change(
    target: SessionTarget, token: tokens.Token, message: CallerRequest
) -> Result[tokens.Token, Failure]:
    """Return a session after what the method asks for."""
    match (target.part, message.method):
        case (Part.ALL, "GET"):
            return Ok(token)
        case (Part.ALL, "DELETE"):
            return Ok(tokens.Token())
        case (Part.VALUES, "PUT"):
            kept = put_value(target.name, token.kept, message)
        case (Part.VALUES, "DELETE"):
            kept = session_state.without_value(token.kept, target.name)
        case (Part.STATEMENTS, "PUT"):
            kept = put_statement(target.name, token.kept, message)
        case (Part.STATEMENTS, "DELETE"):
            kept = session_state.without_statement(token.kept, target.name)
        case _:
            return Error(not_run(Problem.METHOD_NOT_ALLOWED, methods(target)))
    return kept.map(lambda new: evolve(token, kept=new)).bind(tokens.check_length)


def methods(target: SessionTarget) -> str:
    """Return what the methods of a path are."""
    names = "GET and DELETE" if target.part is Part.ALL else "PUT and DELETE"
    return f"the methods of this path are {names}"


def put_value(
    name: str, kept: SessionState, message: CallerRequest
) -> Result[SessionState, Failure]:
    """Set a value that a body holds."""
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
    """Prepare the statement that a body holds."""

    def prepare(content: dict[str, Any]) -> Result[SessionState, Failure]:
        fault = statement_fault(content)
        if fault:
            return session_state.bad_request(fault)
        shape = PreparedStatement(content["statement"], Access(content["access"]))
        return session_state.with_statement(kept, name, shape)

    return json_object(message, SHAPE_FIELDS).bind(prepare)


def describe(token: tokens.Token) -> bytes:
    """Return what a session keeps, as JSON."""
    statements = {
        name: {"statement": shape.text, "access": shape.access}
        for name, shape in token.kept.statements.items()
    }
    return orjson.dumps({"values": token.kept.values, "statements": statements})
