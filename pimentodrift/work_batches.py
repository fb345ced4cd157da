"""Adds the proxy's statements to a caller's batch: connection resets, session values.

Anything that one workspace leaves on a pooled connection is discarded before another
workspace uses the connection. Session values are set for one transaction only. The
results of the added statements do not reach the steps of `execution`.
"""

from itertools import chain

from .messages import Statement, StatementResult
from .session_state import setting_statement
from .tables import State
from .work_rows import TransactionRow, WorkRow

# Drops settings, temporary tables and locks that a statement may have left behind.
DISCARD_ALL = Statement("DISCARD ALL")
SKIPPED_SQLSTATE = "aborted"  # In results of statements that an earlier error skipped.

Results = tuple[StatementResult, ...]
Segments = tuple[tuple[Statement, ...], ...]


def plan_value_changes(work: WorkRow, row: TransactionRow | None = None) -> None:
    """Set `work.values` to the statement that changes session values, if any change."""
    values = dict(work.forward.values)
    known = row.values if row is not None else {}
    if values == known:
        return
    removed = [(name, None) for name in known if name not in values]
    changed = [pair for pair in values.items() if known.get(pair[0]) != pair[1]]
    work.values = setting_statement((*removed, *changed))
    if row is not None:
        row.values = values


def with_values(work: WorkRow) -> tuple[Statement, ...]:
    """Return the caller's statement, after the one that sets session values, if any."""
    statement = work.forward.statement
    return (statement,) if work.values is None else (work.values, statement)


def add_reset(work: WorkRow, segments: Segments, state: State) -> Segments:
    """Return a batch with a reset first if another workspace has used the connection.

    Also record where the batch sets session values.
    """
    indexed = enumerate(chain.from_iterable(segments))
    indexes = (at for at, statement in indexed if statement is work.values)
    work.values_at = next(indexes, None)
    connection = state.connections[work.connection]
    work.is_resetting = connection.workspace not in ("", work.forward.workspace)
    if work.is_resetting:
        return ((DISCARD_ALL,), *segments)
    connection.workspace = work.forward.workspace
    return segments


def reset_error(work: WorkRow, results: Results, state: State) -> str:
    """Return the error of the connection's reset, or an empty text."""
    if not work.is_resetting or results[0].sqlstate == SKIPPED_SQLSTATE:
        return ""
    if not results[0].error:
        state.connections[work.connection].workspace = work.forward.workspace
    return results[0].error


def visible_results(work: WorkRow, results: Results) -> Results:
    """Return the results without those of added statements, as a step expects them.

    An error in setting session values replaces the result of the caller's statement.
    """
    if work.is_resetting:
        results = results[1:]
    at = work.values_at
    if at is None:
        return results
    dropped = at + 1 if results[at].error else at
    return results[:dropped] + results[dropped + 1 :]
