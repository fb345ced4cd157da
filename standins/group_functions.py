"""The platform's group functions and the functions that tests use, called over SQL.

Only the forms `SELECT columns FROM function(arguments)` and `SELECT
function(arguments)` are parsed, which are those that the platform documents.
"""

import re
from collections.abc import Callable

from .database import Database
from .results import Result
from .sql_errors import SqlError
from .statements import Value

FUNCTION_CALL = re.compile(
    r"^\s*SELECT\s+(?:(?P<columns>[\w\s,.*]+?)\s+FROM\s+)?"
    r"(?P<function>\w+)\s*\((?P<arguments>[^)]*)\)\s*$",
    re.IGNORECASE,
)
SYNTAX_ERROR = "42601"
UNDEFINED_COLUMN = "42703"
INVALID_TEXT = "22P02"

Table = tuple[tuple[str, ...], list[tuple[Value, ...]]]


def call_function(
    text: str, parameters: tuple[Value, ...], database: Database
) -> Result:
    """Run a statement that calls one of the functions.

    Raise `SqlError` for another form, an unknown function or wrong arguments.
    """
    match = FUNCTION_CALL.match(text)
    function = FUNCTIONS.get(match["function"].lower()) if match else None
    if match is None or function is None:
        raise SqlError(SYNTAX_ERROR, f"unsupported form of a group function: {text}")
    arguments = [
        argument_value(part.strip(), parameters)
        for part in match["arguments"].split(",")
        if part.strip()
    ]
    try:
        names, rows = function(database, *arguments)
    except TypeError:
        raise SqlError(SYNTAX_ERROR, f"wrong number of arguments: {text}") from None
    return select_columns(match["columns"] or "*", names, rows)


def argument_value(text: str, parameters: tuple[Value, ...]) -> Value:
    """Return the value of an argument: a parameter, a string or other literal."""
    if text.startswith("?"):
        return parameters[int(text[1:]) - 1]
    if text.startswith("'"):
        return text[1:-1].replace("''", "'")
    return text


def select_columns(
    columns: str, names: tuple[str, ...], rows: list[tuple[Value, ...]]
) -> Result:
    """Return a result with the selected columns of a function's rows."""
    selected = [name.strip().lower() for name in columns.split(",")]
    if selected == ["*"]:
        selected = list(names)
    for name in selected:
        if name not in names:
            raise SqlError(UNDEFINED_COLUMN, f'column "{name}" does not exist')
    indexes = [names.index(name) for name in selected]
    selected_rows = [tuple(row[index] for index in indexes) for row in rows]
    return Result(f"SELECT {len(selected_rows)}", tuple(selected), selected_rows)


def require_integer(value: Value) -> int:
    """Return an argument as an integer; raise `SqlError` if it is none."""
    try:
        return int(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        raise SqlError(INVALID_TEXT, f"{value!r} is no integer") from None


def group_status(database: Database) -> Table:
    """Return the endpoint's role, term, and received and replayed offsets."""
    status = database.status()
    row = (str(status.role), status.term, status.received, status.replayed)
    return ("role", "term", "received", "replayed"), [row]


def group_replicas(database: Database) -> Table:
    """Return the term and offset that each replica has acknowledged."""
    rows: list[tuple[Value, ...]] = [
        (name, state.term, state.received)
        for name, state in sorted(database.replicas.items())
    ]
    return ("endpoint", "term", "received"), rows


def group_fence(database: Database, term: Value) -> Table:
    """Fence the endpoint and return the term and offset of its last log entry."""
    accepted = database.fence(require_integer(term))
    row = (accepted, database.log.last_term, database.log.last_offset)
    return ("accepted", "last_term", "received"), [row]


def group_promote(database: Database, term: Value) -> Table:
    """Promote the fenced endpoint and return the first offset of the new term."""
    start = database.promote(require_integer(term))
    return ("accepted", "start_position"), [(start is not None, start)]


def group_follow(
    database: Database, term: Value, host: Value, port: Value, start: Value
) -> Table:
    """Make the endpoint a replica of the primary at an address."""
    address = (str(host), require_integer(port))
    accepted = database.follow(require_integer(term), address, require_integer(start))
    return ("accepted",), [(accepted,)]


def group_dropped(database: Database) -> Table:
    """Return the writes that were dropped from the log."""
    rows: list[tuple[Value, ...]] = list(database.dropped_statements())
    return ("term", "position", "statement"), rows


def standin_set(database: Database, name: Value, value: Value) -> Table:
    """Set a control of the stand-in."""
    database.set_control(str(name), require_integer(value))
    return ("standin_set",), [(True,)]


def standin_counts(database: Database) -> Table:
    """Return the counters of the database, for tests and measurements."""
    rows: list[tuple[Value, ...]] = list(sorted(database.counts.items()))
    return ("name", "value"), rows


FUNCTIONS: dict[str, Callable[..., Table]] = {
    function.__name__: function
    for function in (
        group_status,
        group_replicas,
        group_fence,
        group_promote,
        group_follow,
        group_dropped,
        standin_set,
        standin_counts,
    )
}
