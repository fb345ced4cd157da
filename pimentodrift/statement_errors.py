"""Classifies the errors of statements by their SQLSTATE."""

from .errors import Failure, Problem, not_run
from .messages import Access, StatementResult

READ_ONLY_SQLSTATE = "25006"  # A write in a read-only transaction.
# SQLSTATE classes of connection exceptions, operator intervention, system errors and
# internal errors. As errors of a COMMIT they leave open whether it took effect.
AMBIGUOUS_CLASSES = ("08", "57", "58", "XX")
# Beginnings of the SQLSTATE of a lost connection, and of an endpoint that shuts down,
# starts, or has no connection left.
UNAVAILABLE_PREFIXES = ("08", "57P", "53300")


def is_ambiguous(result: StatementResult) -> bool:
    """Return whether a COMMIT with this error may have taken effect.

    An error without SQLSTATE comes from the client library, not from the database.
    """
    return not result.sqlstate or result.sqlstate.startswith(AMBIGUOUS_CLASSES)


def failure_of(result: StatementResult, access: Access) -> Failure:
    """Return the failure of a statement that certainly had no effect."""
    if result.sqlstate.startswith(UNAVAILABLE_PREFIXES):
        return not_run(Problem.ENDPOINT_UNAVAILABLE, result.error)
    if result.sqlstate == READ_ONLY_SQLSTATE and access is Access.WRITE:
        return not_run(Problem.PRIMARY_UNAVAILABLE, result.error)
    return not_run(Problem.STATEMENT_FAILED, result.error)
