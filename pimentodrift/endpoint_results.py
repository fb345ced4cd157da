"""Encodes statements for libpq and converts its results to `StatementResult`."""

from collections.abc import Callable

from psycopg import pq

from .messages import Rows, Scalar, Statement, StatementResult

# The PostgreSQL protocol sends the number of parameters as 16 bits.
MAX_PARAMETERS = 65_535
SQLSTATE_TOO_MANY_ARGUMENTS = "54023"
SQLSTATE_BAD_CHARACTER = "22021"
ABORTED = StatementResult(
    error="not run: an earlier statement of the segment failed", sqlstate="aborted"
)

EncodedStatement = tuple[bytes, list[bytes | None]]


def to_bool(value: bytes) -> bool:
    """Convert a boolean from PostgreSQL's text format."""
    return value == b"t"


def to_text(value: bytes) -> str:
    """Decode text, which endpoints send as UTF-8."""
    return value.decode("utf-8", "replace")


# Conversions by type, as OIDs of pg_type. Values of other types, such as numeric, stay
# text, so that no precision is lost.
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
    """Return the encoded text and parameters of a statement."""
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
    """Return the results of a batch that cannot be sent, or None if it can.

    libpq reads texts up to the first zero byte, so it would silently truncate a
    statement or parameter that contains one. No statement of such a batch runs.
    """
    statements = [statement for segment in segments for statement in segment]
    errors = [statement_error(statement) for statement in statements]
    if not any(errors):
        return None
    return tuple(error or ABORTED for error in errors)


def statement_error(statement: Statement) -> StatementResult | None:
    """Return the error of a statement that cannot be sent, or None if it can."""
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
    """Return whether a text can be sent without loss."""
    if "\0" in text:
        return False
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def to_result(result: pq.abc.PGresult) -> StatementResult:
    """Convert the rows or the error of a statement."""
    if result.status == pq.ExecStatus.FATAL_ERROR:
        return StatementResult(
            error=error_text(result, pq.DiagnosticField.MESSAGE_PRIMARY),
            sqlstate=error_text(result, pq.DiagnosticField.SQLSTATE),
        )
    return StatementResult(to_rows(result))


def error_text(result: pq.abc.PGresult, field: pq.DiagnosticField) -> str:
    """Return a field of an error message, or an empty string."""
    return (result.error_field(field) or b"").decode("utf-8", "replace")


def to_rows(result: pq.abc.PGresult) -> Rows:
    """Convert the rows of a result by the types of their columns."""
    indexes = range(result.nfields)
    columns = tuple((result.fname(index) or b"").decode() for index in indexes)
    converters = [CONVERTERS.get(result.ftype(index), to_text) for index in indexes]
    indexed_converters = list(enumerate(converters))
    get = result.get_value
    return Rows(
        columns,
        tuple(
            tuple(
                None if (value := get(row, index)) is None else convert(value)
                for index, convert in indexed_converters
            )
            for row in range(result.ntuples)
        ),
    )
