"""The log events of requests and statements, with their fields.

Ages and waits are in milliseconds. Keys never appear.
"""

from attrs import frozen

from .event_base import Event, EventCategory

# --- Requests of the HTTP interface


@frozen
class RequestEvent(Event):
    """What led to the end of a request, or of an attempt, at its entry."""

    request: str
    workspace: str
    group: str
    action: str
    access: str
    stage: str  # "rate", "held" or "forwarded".
    owner: str  # The instance of the last attempt.
    endpoint: str
    attempts: int
    total_ms: int
    attempt_ms: int  # Since the last attempt was sent.
    minimum: str  # The position that the session has seen.
    term: int  # Of the group, as the entry knows it.
    sample_age_ms: int  # Of the endpoint's position.
    tokens: float
    share_age_ms: int  # Since the allocator renewed the share.
    waiting: int  # Requests that wait for a token here.
    configuration: int
    configuration_age_ms: int


@frozen
class RequestAnswered(RequestEvent):
    """A request's result went to its caller."""

    category = EventCategory.SUCCESS


@frozen
class RequestRetried(RequestEvent):
    """An attempt failed, and the request goes on."""

    category = EventCategory.REFUSAL
    problem: str
    outcome: str
    detail: str


@frozen
class RequestRefused(RequestEvent):
    """A request ended without a result."""

    category = EventCategory.REFUSAL
    problem: str
    outcome: str
    detail: str
    retry_after_ms: int


@frozen
class RequestDenied(Event):
    """A request was refused before a token was spent on it."""

    category = EventCategory.REFUSAL
    request: str
    problem: str
    outcome: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class WorkRefused(Event):
    """The owner of an endpoint did not carry out a forwarded request."""

    category = EventCategory.REFUSAL
    request: str
    entry: str
    workspace: str
    endpoint: str
    step: str  # What ran last; empty if nothing did.
    total_ms: int
    queued: int
    running: int
    entry_term: int  # Of the group, as the entry and the owner know it.
    term: int
    problem: str
    outcome: str
    detail: str


# --- Statements of sessions that are connections


@frozen
class StatementEvent(Event):
    """What led to the end of a client's statement."""

    request: str
    session: int
    workspace: str
    database: str
    group: str
    endpoint: str
    access: str
    stage: str
    stage_ms: int
    total_ms: int
    attempts: int
    minimum: str
    sample_age_ms: int
    waiting: int
    tokens: float
    configuration: int
    configuration_age_ms: int


@frozen
class StatementAnswered(StatementEvent):
    """A statement's result went to its client within the objective."""

    category = EventCategory.SUCCESS


@frozen
class StatementLate(StatementEvent):
    """A statement's result went to its client after the objective."""

    category = EventCategory.REFUSAL


@frozen
class StatementRetried(StatementEvent):
    """An endpoint did not run a statement, which is placed again."""

    category = EventCategory.REFUSAL
    fault: str
    detail: str


@frozen
class StatementRefused(StatementEvent):
    """A statement ended without a result."""

    category = EventCategory.REFUSAL
    fault: str
    detail: str
    retry_after_ms: int


@frozen
class StatementDenied(Event):
    """A statement was refused before it needed an endpoint."""

    category = EventCategory.REFUSAL
    request: str
    session: int
    workspace: str
    database: str
    phase: str
    fault: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class SessionRefused(Event):
    """A client got no session."""

    category = EventCategory.REFUSAL
    session: int
    database: str
    fault: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class TransactionEnded(Event):
    """A transaction was rolled back without its client's asking."""

    category = EventCategory.REFUSAL
    session: int
    workspace: str
    group: str
    reason: str
    idle_ms: int
