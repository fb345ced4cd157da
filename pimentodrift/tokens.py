"""Encodes and decodes session tokens: a position per group and the session state.

A token is opaque to callers and not signed. A forged token can name positions that no
replica has reached, which only sends its own caller's reads to the primary. The values
and statements in a token are checked like those of the session resource.
"""

import base64
import binascii
from typing import Any

import msgpack
from attrs import field, frozen
from expression import Error, Ok, Result

from . import session_state
from .errors import Failure, Problem, not_run
from .messages import Access, Position
from .session_state_rows import EMPTY_STATE, PreparedStatement, SessionState

SessionPositions = dict[str, Position]

MAX_LENGTH = 8 * 1024  # Characters; the whole request head may have 16 KiB.
STATE_KEY = ""  # Key of the session state; other keys are group names, never empty.


@frozen
class Token:
    """The decoded content of a session token."""

    positions: SessionPositions = field(factory=dict)
    kept: SessionState = EMPTY_STATE


def encode(session: SessionPositions, kept: SessionState = EMPTY_STATE) -> str:
    """Return a session token as text."""
    content: dict[str, object] = {
        group: (at.term, at.offset) for group, at in session.items()
    }
    if kept:
        statements = {
            name: (prepared.text, prepared.access)
            for name, prepared in kept.statements.items()
        }
        content[STATE_KEY] = (kept.values, statements)
    return base64.urlsafe_b64encode(msgpack.packb(content)).decode().rstrip("=")


def check_length(token: Token) -> Result[Token, Failure]:
    """Return a token unless its text would be too long."""
    if len(encode(token.positions, token.kept)) > MAX_LENGTH:
        detail = f"the session token would have more than {MAX_LENGTH} characters"
        return Error(not_run(Problem.BAD_REQUEST, detail))
    return Ok(token)


def decode(text: str) -> Result[Token, Failure]:
    """Return the content of a token; an empty text begins a new session."""
    if not text:
        return Ok(Token())
    if len(text) > MAX_LENGTH:
        return Error(not_run(Problem.SESSION_TOKEN_INVALID, "the token is too long"))
    try:
        raw = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
        content = msgpack.unpackb(raw)
        if not isinstance(content, dict):
            raise ValueError("not a map")
        kept = read_state(content.pop(STATE_KEY, ({}, {})))
        return Ok(Token(read_positions(content), kept))
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException):
        return Error(not_run(Problem.SESSION_TOKEN_INVALID))


def read_state(content: Any) -> SessionState:
    """Return the session state of a token; raise ValueError if it is not allowed."""
    values, statements = content
    kept = EMPTY_STATE
    for name, value in dict(values).items():
        kept = value_or_raise(session_state.with_value(kept, str(name), str(value)))
    for name, (text, access) in dict(statements).items():
        prepared = PreparedStatement(str(text), Access(access))
        kept = value_or_raise(session_state.with_statement(kept, str(name), prepared))
    return kept


def value_or_raise(result: Result[SessionState, Failure]) -> SessionState:
    """Return the value of a result, or raise ValueError with the failure's detail."""
    match result:
        case Result(tag="ok", ok=kept):
            return kept
    raise ValueError(result.error.detail)


def read_positions(content: dict[Any, Any]) -> SessionPositions:
    """Return the positions of a token; raise ValueError if they are malformed."""
    session = {}
    for group, (term, offset) in content.items():
        if not isinstance(group, str):
            raise ValueError("not a group")
        if type(term) is not int or type(offset) is not int or min(term, offset) < 0:
            raise ValueError("not a position")
        session[group] = Position(term, offset)
    return session


def upper_bound(first: Position, second: Position) -> Position:
    """Return the least position that reaches both positions."""
    return Position(
        max(first.term, second.term),
        max(first.offset, second.offset),
    )


def reaches(position: Position, minimum: Position) -> bool:
    """Return whether an endpoint at `position` has everything up to `minimum`.

    The offset is compared in a higher term too: a replica that already follows a new
    primary may still have to replay log of the previous term.
    """
    return position.term >= minimum.term and position.offset >= minimum.offset


def advance_session(
    session: SessionPositions, group: str, position: Position
) -> SessionPositions:
    """Return a session's positions after it has seen a group at `position`."""
    known = session.get(group)
    return session | {
        group: position if known is None else upper_bound(known, position)
    }
