"""Converts statements for libpq and libpq's results to `Rows`."""

from collections.abc import Callable

from psycopg import pq

from .messages import Rows, Scalar, Statement, StatementResult

# The protocol counts parameters in 16 bits.
MAX_PARAMETERS = 65_535
SQLSTATE_TOO_MANY_ARGUMENTS = "54023"
SQLSTATE_BAD_CHARACTER = "22021"
ABORTED = StatementResult(
    error="not run: an earlier statement of the segment failed", sqlstate="aborted"
)

EncodedStatement = tuple[bytes, list[bytes | None]]


def to_bool(value: bytes) -> bool:
    """Convert the text of a boolean."""
    return value == b"t"


def to_text(value: bytes) -> str:
    """Convert text; endpoints send UTF-8."""
    return value.decode("utf-8", "replace")


# OIDs of pg_type. Other types, numeric among them, are passed on as text, which
# loses nothing.
CONVERTERS: dict[int, Callable[[bytes], Scalar]] = {
    16: to_bool,
    20: int,  # int8
    21: int,  # int2
    23: int,  # int4
    26: int,  # oid
    700: float,  # float4
    701: float,  # float8
}


def encode_statement(statement: Statement) -> EncodedStatement:
    """Return text and parameters for libpq."""
    return (
        statement.text.encode(),
        [encode_parameter(value) for value in statement.parameters],
    )


def encode_parameter(value: Scalar) -> bytes | None:
    """Return a parameter in PostgreSQL's text format."""
    if value is None:
        return None
    if isinstance(value, bool):
        return b"true" if value else b"false"
    return str(value).encode()


def unsendable_results(
    segments: tuple[tuple[Statement, ...], ...],
) -> tuple[StatementResult, ...] | None:
    """Return the results of a batch that cannot be sent, None if it can.

    libpq takes texts that end at the first zero byte, so a statement or parameter
    with one would be cut without notice. Nothing of such a batch runs.
    """
    statements = [statement for segment in segments for statement in segment]
    errors = [statement_error(statement) for statement in statements]
    if not any(errors):
        return None
    return tuple(error or ABORTED for error in errors)


def statement_error(statement: Statement) -> StatementResult | None:
    """Return the error of a statement that the protocol cannot carry."""
    if len(statement.parameters) > MAX_PARAMETERS:
        return StatementResult(
            error=f"more than {MAX_PARAMETERS} parameters",
            sqlstate=SQLSTATE_TOO_MANY_ARGUMENTS,
        )
    texts = [value for value in statement.parameters if isinstance(value, str)]
    if all(is_sendable(text) for text in (statement.text, *texts)):
        return None
    return StatementResult(
        error="a text has a zero byte or a lone surrogate",
        sqlstate=SQLSTATE_BAD_CHARACTER,
    )


def is_sendable(text: str) -> bool:
    """Return whether a text can be sent whole."""
    if "\0" in text:
        return False
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def to_result(result: pq.abc.PGresult) -> StatementResult:
    """Convert a result or an error."""
    if result.status == pq.ExecStatus.FATAL_ERROR:
        return StatementResult(
            error=error_text(result, pq.DiagnosticField.MESSAGE_PRIMARY),
            sqlstate=error_text(result, pq.DiagnosticField.SQLSTATE),
        )
    return StatementResult(to_rows(result))


def error_text(result: pq.abc.PGresult, field: pq.DiagnosticField) -> str:
    """Return a field of an error."""
    return (result.error_field(field) or b"").decode("utf-8", "replace")


def to_rows(result: pq.abc.PGresult) -> Rows:
    """Convert all rows by the types of their columns."""
    places = range(result.nfields)
    columns = tuple((result.fname(place) or b"").decode() for place in places)
    converters = [CONVERTERS.get(result.ftype(place), to_text) for place in places]
    pairs = list(enumerate(converters))
    get = result.get_value
    return Rows(
        columns,
        tuple(
            tuple(
                None if (value := get(row, place)) is None else convert(value)
                for place, convert in pairs
            )
            for row in range(result.ntuples)
        ),
    )
