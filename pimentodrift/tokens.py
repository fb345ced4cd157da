"""The session token: a position per group and what the session keeps, as opaque text.

A token is not signed. A forged one names positions that no replica has reached and
thereby only sends its own caller's reads to the primary; the values and statements in
it are checked like those of the session resource.
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
STATE_KEY = ""  # Beside the names of groups, which are not empty.


@frozen
class Token:
    """What a session token says."""

    positions: SessionPositions = field(factory=dict)
    kept: SessionState = EMPTY_STATE


def encode(session: SessionPositions, kept: SessionState = EMPTY_STATE) -> str:
    """Return the token's text."""
    content: dict[str, object] = {
        group: (at.term, at.offset) for group, at in session.items()
    }
    if kept:
        shapes = {
            name: (shape.text, shape.access) for name, shape in kept.statements.items()
        }
        content[STATE_KEY] = (kept.values, shapes)
    return base64.urlsafe_b64encode(msgpack.packb(content)).decode().rstrip("=")


def check_length(token: Token) -> Result[Token, Failure]:
    """Return a token unless its text would be too long."""
    if len(encode(token.positions, token.kept)) > MAX_LENGTH:
        detail = f"the session token would have more than {MAX_LENGTH} characters"
        return Error(not_run(Problem.BAD_REQUEST, detail))
    return Ok(token)


def decode(text: str) -> Result[Token, Failure]:
    """Return what a token says; an empty text begins a session."""
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
    """Return what a session keeps; raise ValueError if it may not keep it."""
    values, shapes = content
    kept = EMPTY_STATE
    for name, value in dict(values).items():
        kept = value_or_raise(session_state.with_value(kept, str(name), str(value)))
    for name, (text, access) in dict(shapes).items():
        shape = PreparedStatement(str(text), Access(access))
        kept = value_or_raise(session_state.with_statement(kept, str(name), shape))
    return kept


def value_or_raise(result: Result[SessionState, Failure]) -> SessionState:
    """Return a session that was accepted; raise ValueError with the reason if not."""
    match result:
        case Result(tag="ok", ok=kept):
            return kept
    raise ValueError(result.error.detail)


def read_positions(content: dict[Any, Any]) -> SessionPositions:
    """Return the positions of a decoded token; raise ValueError if it has others."""
    session = {}
    for group, (term, offset) in content.items():
        if not isinstance(group, str):
            raise ValueError("not a group")
        if type(term) is not int or type(offset) is not int or min(term, offset) < 0:
            raise ValueError("not a position")
        session[group] = Position(term, offset)
    return session


def upper_bound(first: Position, second: Position) -> Position:
    """Return the least position that reaches both."""
    return Position(
        max(first.term, second.term),
        max(first.offset, second.offset),
    )


def reaches(position: Position, minimum: Position) -> bool:
    """Return whether an endpoint at `position` shows all that `minimum` names.

    The offset counts also in a higher term: a replica that already follows a new
    primary may still have to replay log of the term before.
    """
    return position.term >= minimum.term and position.offset >= minimum.offset


def advance_session(
    session: SessionPositions, group: str, position: Position
) -> SessionPositions:
    """Return the session after an answer of a group at `position`."""
    known = session.get(group)
    return session | {
        group: position if known is None else upper_bound(known, position)
    }
