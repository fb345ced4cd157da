"""All SQL that names the platform's functions of a database group.

Supporting a platform with other functions changes this module only.
"""

from attrs import frozen
from expression import Error, Ok, Result

from .errors import Failure, Problem, not_run
from .messages import Position, Rows, Statement

STATUS = Statement("SELECT role, term, received, replayed FROM group_status()")
PRIMARY_ROLE = "primary"


@frozen
class EndpointStatus:
    """What an endpoint tells about itself."""

    is_primary: bool
    term: int
    received: int
    replayed: int

    @property
    def position(self) -> Position:
        """Return what a read on the endpoint sees at least."""
        return Position(self.term, self.received if self.is_primary else self.replayed)


def status_statement() -> Statement:
    """Return the statement that asks an endpoint for its status."""
    return STATUS


def parse_status(rows: Rows) -> Result[EndpointStatus, Failure]:
    """Return the status that `status_statement` gave."""
    try:
        role, term, received, replayed = rows.rows[0]
        status = EndpointStatus(
            role == PRIMARY_ROLE,
            int(str(term)),
            int(str(received)),
            int(str(replayed)),
        )
    except (IndexError, ValueError):
        detail = "the endpoint gave no readable status"
        return Error(not_run(Problem.ENDPOINT_UNAVAILABLE, detail))
    return Ok(status)
