"""Statements that a batch carries around the caller's: clean connections and values.

What one workspace leaves on a pooled connection is dropped before the next one uses
it. The values of a session are set for one transaction only. The results of these
statements do not reach the steps of `execution`.
"""

from itertools import chain

from .messages import Statement, StatementResult
from .session_state import setting_statement
from .tables import State
from .work_rows import TransactionRow, WorkRow

# Drops settings, temporary tables and locks that a statement may have left behind.
DISCARD_ALL = Statement("DISCARD ALL")
SKIPPED_SQLSTATE = "aborted"  # Instead of a code, on what did not run after an error.

Results = tuple[StatementResult, ...]
Segments = tuple[tuple[Statement, ...], ...]


def plan_value_changes(work: WorkRow, row: TransactionRow | None = None) -> None:
    """Decide which values are set before the work's statement."""
    values = dict(work.forward.values)
    known = row.values if row is not None else {}
    if values == known:
        return
    gone = [(name, None) for name in known if name not in values]
    changed = [pair for pair in values.items() if known.get(pair[0]) != pair[1]]
    work.values = setting_statement((*gone, *changed))
    if row is not None:
        row.values = values


def with_values(work: WorkRow) -> tuple[Statement, ...]:
    """Return the caller's statement, behind the one that sets its session's values."""
    statement = work.forward.statement
    return (statement,) if work.values is None else (work.values, statement)


def add_reset(work: WorkRow, segments: Segments, state: State) -> Segments:
    """Return a batch for the work's connection, cleaned if need be."""
    places = enumerate(chain.from_iterable(segments))
    found = (at for at, statement in places if statement is work.values)
    work.values_at = next(found, None)
    connection = state.connections[work.connection]
    work.is_resetting = connection.workspace not in ("", work.forward.workspace)
    if work.is_resetting:
        return ((DISCARD_ALL,), *segments)
    connection.workspace = work.forward.workspace
    return segments


def reset_error(work: WorkRow, results: Results, state: State) -> str:
    """Return why the connection could not be cleaned, or an empty text."""
    if not work.is_resetting or results[0].sqlstate == SKIPPED_SQLSTATE:
        return ""
    if not results[0].error:
        state.connections[work.connection].workspace = work.forward.workspace
    return results[0].error


def visible_results(work: WorkRow, results: Results) -> Results:
    """Return the results that a step expects.

    An error of setting the values stands for that of the statement.
    """
    if work.is_resetting:
        results = results[1:]
    at = work.values_at
    if at is None:
        return results
    dropped = at + 1 if results[at].error else at
    return results[:dropped] + results[dropped + 1 :]
