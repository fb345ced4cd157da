"""The session token: a position per group, carried by the caller as opaque text.

A token is not signed. A forged one names positions that no replica has reached and
thereby only sends its own caller's reads to the primary.
"""

import base64
import binascii

import msgpack
from expression import Error, Ok, Result

from .errors import Failure, Problem, not_run
from .messages import Position

Session = dict[str, Position]

MAX_LENGTH = 8 * 1024  # Characters; the whole request head may have 16 KiB.


def encode(session: Session) -> str:
    """Return the token's text."""
    content = {group: (at.term, at.offset) for group, at in session.items()}
    return base64.urlsafe_b64encode(msgpack.packb(content)).decode().rstrip("=")


def decode(text: str) -> Result[Session, Failure]:
    """Return the positions of a token."""
    if len(text) > MAX_LENGTH:
        return Error(not_run(Problem.SESSION_TOKEN_INVALID, "the token is too long"))
    try:
        raw = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
        return Ok(read_session(msgpack.unpackb(raw)))
    except (binascii.Error, ValueError, TypeError, msgpack.UnpackException):
        return Error(not_run(Problem.SESSION_TOKEN_INVALID))


def read_session(content: object) -> Session:
    """Return the positions of a decoded token; raise ValueError if it has others."""
    if not isinstance(content, dict):
        raise ValueError("not a map")
    session = {}
    for group, (term, offset) in content.items():
        if not isinstance(group, str):
            raise ValueError("not a group")
        if type(term) is not int or type(offset) is not int or min(term, offset) < 0:
            raise ValueError("not a position")
        session[group] = Position(term, offset)
    return session


def join(first: Position, second: Position) -> Position:
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


def merge(session: Session, group: str, position: Position) -> Session:
    """Return the session after an answer of a group at `position`."""
    known = session.get(group)
    return session | {group: position if known is None else join(known, position)}
