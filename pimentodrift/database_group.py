"""All SQL that names the platform's group functions, and the parsing of its results.

Supporting another platform for database groups changes this file only. The statements
are sent by the modules that monitor endpoints, change primaries and serve reads.
"""

from enum import StrEnum

from attrs import frozen

from .messages import Position, Rows, Scalar, Statement


class MalformedAnswer(ValueError):
    """A function of the platform returned rows of an unexpected shape."""


class Role(StrEnum):
    """The role of an endpoint in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@frozen
class EndpointStatus:
    """The state of an endpoint; `term` is that of the last entry of its log."""

    role: str
    term: int
    received: int
    replayed: int

    @property
    def is_primary(self) -> bool:
        """Return whether the endpoint takes writes."""
        return self.role == Role.PRIMARY

    @property
    def position(self) -> Position:
        """Return the position that a read on the endpoint reaches at least."""
        return Position(self.term, self.received if self.is_primary else self.replayed)


@frozen
class ReplicaProgress:
    """How much of the log a replica has confirmed to its primary."""

    endpoint: str
    term: int
    received: int


@frozen
class FenceAnswer:
    """The answer to a fence: the term of the log's last entry and the log's end."""

    accepted: bool
    last_term: int
    received: int


@frozen
class PromoteAnswer:
    """The answer to a promotion; `start_position` is the term's first offset."""

    accepted: bool
    start_position: int


@frozen
class DroppedEntry:
    """An entry that an endpoint dropped from its log's end to follow a primary."""

    term: int
    position: int
    statement: str


def status_statement() -> Statement:
    """Return the statement that reads the state of an endpoint."""
    return Statement("SELECT role, term, received, replayed FROM group_status()")


def replicas_statement() -> Statement:
    """Return the statement that reads the replicas' progress on a primary."""
    return Statement("SELECT endpoint, term, received FROM group_replicas()")


def fence_statement(term: int) -> Statement:
    """Return the statement that fences an endpoint against older terms."""
    return Statement(
        "SELECT accepted, last_term, received FROM group_fence($1)", (term,)
    )


def promote_statement(term: int) -> Statement:
    """Return the statement that makes a fenced endpoint the primary of a term."""
    return Statement("SELECT accepted, start_position FROM group_promote($1)", (term,))


def follow_statement(term: int, address: str, start: int) -> Statement:
    """Return the statement that makes an endpoint follow the primary at `address`."""
    host, _, port = address.rpartition(":")
    return Statement(
        "SELECT accepted FROM group_follow($1, $2, $3, $4)",
        (term, host.strip("[]"), int(port), start),
    )


def dropped_statement() -> Statement:
    """Return the statement that reads the entries that an endpoint has dropped."""
    return Statement("SELECT term, position, statement FROM group_dropped()")


def parse_status(rows: Rows) -> EndpointStatus:
    """Return the state of an endpoint."""
    role, term, received, replayed = single_row(rows, 4)
    return EndpointStatus(
        str(role), parse_integer(term), parse_integer(received), parse_integer(replayed)
    )


def parse_replicas(rows: Rows) -> list[ReplicaProgress]:
    """Return the progress of each replica."""
    return [
        ReplicaProgress(str(endpoint), parse_integer(term), parse_integer(received))
        for endpoint, term, received in rows_of_width(rows, 3)
    ]


def parse_fence(rows: Rows) -> FenceAnswer:
    """Return the answer to a fence."""
    accepted, last_term, received = single_row(rows, 3)
    return FenceAnswer(
        parse_boolean(accepted), parse_integer(last_term), parse_integer(received)
    )


def parse_promote(rows: Rows) -> PromoteAnswer:
    """Return the answer to a promotion; a refusal may carry no position."""
    accepted, start = single_row(rows, 2)
    return PromoteAnswer(
        parse_boolean(accepted), 0 if start is None else parse_integer(start)
    )


def parse_follow(rows: Rows) -> bool:
    """Return whether the endpoint accepted the command to follow."""
    (accepted,) = single_row(rows, 1)
    return parse_boolean(accepted)


def parse_dropped(rows: Rows) -> list[DroppedEntry]:
    """Return the dropped entries."""
    return [
        DroppedEntry(parse_integer(term), parse_integer(position), str(statement))
        for term, position, statement in rows_of_width(rows, 3)
    ]


def single_row(rows: Rows, width: int) -> tuple[Scalar, ...]:
    """Return the only row of a result."""
    if len(rows.rows) != 1:
        raise MalformedAnswer(f"expected one row, got {len(rows.rows)}")
    return rows_of_width(rows, width)[0]


def rows_of_width(rows: Rows, width: int) -> tuple[tuple[Scalar, ...], ...]:
    """Return the rows of a result; raise `MalformedAnswer` if their width differs."""
    if any(len(row) != width for row in rows.rows):
        raise MalformedAnswer(f"expected rows of {width} columns")
    return rows.rows


def parse_integer(value: Scalar) -> int:
    """Return an integer that may have come as text."""
    try:
        return int(str(value))
    except ValueError:
        raise MalformedAnswer(f"expected an integer, got {value!r}") from None


def parse_boolean(value: Scalar) -> bool:
    """Return a truth value that may have come as PostgreSQL's text form."""
    return value in (True, "t", "true")
