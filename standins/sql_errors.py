"""The error that clients of the database stand-in get, and its SQLSTATE codes."""

import sqlite3

from attrs import frozen

SQLSTATES_BY_ERROR_NAME = {
    "SQLITE_CONSTRAINT_UNIQUE": "23505",
    "SQLITE_CONSTRAINT_PRIMARYKEY": "23505",
    "SQLITE_CONSTRAINT_ROWID": "23505",
    "SQLITE_CONSTRAINT_NOTNULL": "23502",
    "SQLITE_CONSTRAINT_CHECK": "23514",
    "SQLITE_CONSTRAINT_FOREIGNKEY": "23503",
    "SQLITE_BUSY": "40001",
    "SQLITE_BUSY_SNAPSHOT": "40001",
    "SQLITE_LOCKED": "40001",
    "SQLITE_MISMATCH": "22P02",
}
# SQLSTATEs for errors that share one SQLite error code, by a part of their message.
SQLSTATES_BY_MESSAGE = {
    "no such table": "42P01",
    "already exists": "42P07",
    "no such column": "42703",
    "has no column": "42703",
    "no such function": "42883",
    "syntax error": "42601",
    "incomplete input": "42601",
}
INTERNAL_ERROR = "XX000"


@frozen
class SqlError(Exception):
    """An error response to a client, with its SQLSTATE."""

    sqlstate: str
    message: str
    severity: str = "ERROR"


def translate_sqlite_error(error: sqlite3.Error) -> SqlError:
    """Return a SQLite error with the SQLSTATE that PostgreSQL would give."""
    message = str(error)
    name = getattr(error, "sqlite_errorname", "")
    if name in SQLSTATES_BY_ERROR_NAME:
        return SqlError(SQLSTATES_BY_ERROR_NAME[name], message)
    for part, sqlstate in SQLSTATES_BY_MESSAGE.items():
        if part in message:
            return SqlError(sqlstate, message)
    return SqlError(INTERNAL_ERROR, message)
