"""Checks and changes the session state: values and prepared statements of a session.

Values are database settings. The state travels in the session token, so any instance
can continue a session and none stores it. At the owner, values are set for one
transaction only; the database resets them at its end, so a pooled connection never
carries them to another session.
"""

import re

from attrs import evolve
from expression import Error, Ok, Result

from .errors import Failure, Problem, not_run
from .messages import Statement
from .session_state_rows import PreparedStatement, SessionState

# These limits bound the session token, which travels in a request's head of at most
# 16 KiB.
MAX_ENTRIES = 16  # Values of a session, and likewise prepared statements.
MAX_NAME = 63  # Characters; PostgreSQL truncates longer identifiers.
MAX_VALUE = 256  # Characters.
MAX_STATEMENT = 1024  # Characters.

STATEMENT_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
SETTING_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*(?:\.[A-Za-z_][A-Za-z0-9_]*)?")
# Settings of PostgreSQL that change only how the caller's own statements are carried
# out. Others could change the role, or the meaning of the proxy's own statements.
ALLOWED_SETTINGS = frozenset(
    {
        "application_name",
        "bytea_output",
        "datestyle",
        "extra_float_digits",
        "intervalstyle",
        "lock_timeout",
        "statement_timeout",
        "timezone",
        "work_mem",
    }
)


StateResult = Result[SessionState, Failure]


def with_value(kept: SessionState, name: str, value: str) -> StateResult:
    """Return the session state with a value set."""
    key = name.lower()
    if not is_setting(key):
        return bad_request(f"{name} cannot be set: use a name with a dot, as app.user")
    if len(value) > MAX_VALUE or "\0" in value:
        return bad_request(
            f"a value has at most {MAX_VALUE} characters and no zero character"
        )
    return check_size(evolve(kept, values=kept.values | {key: value}))


def is_setting(name: str) -> bool:
    """Return whether a session may set a value of this name."""
    if len(name) > MAX_NAME or not SETTING_NAME.fullmatch(name):
        return False
    return "." in name or name in ALLOWED_SETTINGS


def with_statement(
    kept: SessionState, name: str, statement: PreparedStatement
) -> StateResult:
    """Return the session state with a prepared statement added or replaced."""
    if len(name) > MAX_NAME or not STATEMENT_NAME.fullmatch(name):
        return bad_request("the name of a prepared statement must be an identifier")
    if len(statement.text) > MAX_STATEMENT:
        return bad_request(
            f"a prepared statement has at most {MAX_STATEMENT} characters"
        )
    return check_size(evolve(kept, statements=kept.statements | {name: statement}))


def check_size(kept: SessionState) -> StateResult:
    """Return the session state, or a failure if it has too many entries."""
    if max(len(kept.values), len(kept.statements)) > MAX_ENTRIES:
        return bad_request(
            f"a session has at most {MAX_ENTRIES} values and statements, each"
        )
    return Ok(kept)


def without_value(kept: SessionState, name: str) -> StateResult:
    """Return the session state without one of its values."""
    values = dict(kept.values)
    if values.pop(name.lower(), None) is None:
        return Error(not_run(Problem.NOT_FOUND))
    return Ok(evolve(kept, values=values))


def without_statement(kept: SessionState, name: str) -> StateResult:
    """Return the session state without one of its prepared statements."""
    statements = dict(kept.statements)
    if statements.pop(name, None) is None:
        return Error(not_run(Problem.NOT_FOUND))
    return Ok(evolve(kept, statements=statements))


def bad_request(detail: str) -> StateResult:
    """Return the refusal of a malformed request."""
    return Error(not_run(Problem.BAD_REQUEST, detail))


def setting_statement(values: tuple[tuple[str, str | None], ...]) -> Statement:
    """Return the statement that sets values until the transaction ends.

    A value of None resets the setting to the connection's own value.
    """
    calls = ", ".join(
        f"set_config(${2 * at + 1}, ${2 * at + 2}, true)" for at in range(len(values))
    )
    parameters = tuple(text for pair in values for text in pair)
    return Statement(f"SELECT {calls}", parameters)
