"""Decides from an endpoint's own status whether it may serve a piece of work.

Entries choose endpoints by estimates. Correctness depends on these checks only, which
use the status that the statement's own batch reads.
"""

from .database_group import EndpointStatus, MalformedAnswer, Role, parse_status
from .errors import Failure, Problem, not_run
from .messages import Position, StatementResult
from .tokens import reaches
from .work_rows import WorkRow


def readable_status(result: StatementResult) -> EndpointStatus | None:
    """Return the status in a result, or None if there is no valid one."""
    if result.error:
        return None
    try:
        return parse_status(result.rows)
    except MalformedAnswer:
        return None


# Stands for the status of an endpoint that gave no valid one.
NO_STATUS = EndpointStatus(role="", term=0, received=0, replayed=0)


def check_status(
    result: StatementResult, work: WorkRow
) -> tuple[EndpointStatus, Failure | None]:
    """Return the status, and the failure if the endpoint is behind the session."""
    status = readable_status(result)
    if status is None:
        detail = result.error or "the endpoint gave no status"
        return NO_STATUS, not_run(Problem.ENDPOINT_UNAVAILABLE, detail)
    if not satisfies_minimum(status, work.forward.minimum):
        detail = "the endpoint is behind the session"
        return status, not_run(Problem.ENDPOINT_UNAVAILABLE, detail)
    return status, None


def satisfies_minimum(status: EndpointStatus, minimum: Position) -> bool:
    """Return whether an endpoint has reached the session's position.

    The primary of the minimum's own term has the whole log of that term: no session was
    ever given a position past its end.
    """
    if status.role == Role.FENCED:
        return False  # Its log may end differently from the next primary's log.
    if status.is_primary and status.term == minimum.term:
        return True
    return reaches(status.position, minimum)


def check_primary(
    result: StatementResult, work: WorkRow
) -> tuple[EndpointStatus, Failure | None]:
    """Return the status, and the failure if the endpoint may not run the write."""
    status, failure = check_status(result, work)
    if failure is not None:
        return status, not_run(Problem.PRIMARY_UNAVAILABLE, failure.detail)
    if not status.is_primary or status.term < work.forward.term:
        detail = "the endpoint is not the primary of the group's term"
        return status, not_run(Problem.PRIMARY_UNAVAILABLE, detail)
    return status, None
