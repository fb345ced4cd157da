"""The classes of log events about requests and statements.

Fields that end in `_ms` are durations in milliseconds. Keys are never logged.
"""

from attrs import frozen

from .event_base import Event, EventCategory

# --- Requests of the HTTP interface


@frozen
class RequestEvent(Event):
    """Base of the events that an entry logs when a request or an attempt ends."""

    request: str
    workspace: str
    group: str
    action: str
    access: str
    stage: str  # How far the request came: "rate", "held" or "forwarded".
    owner: str  # The instance that the last attempt was sent to.
    endpoint: str
    attempts: int
    total_ms: int
    attempt_ms: int  # Time since the last attempt was sent.
    minimum: str  # The position that the session has seen; empty if none.
    term: int  # The group's term that the entry knows.
    sample_age_ms: int  # Age of the sample of the endpoint's position.
    tokens: float  # Tokens in the workspace's token bucket at the entry.
    share_age_ms: int  # Time since the allocator renewed the rate share.
    waiting: int  # Requests of the workspace that wait for a token at the entry.
    configuration: int  # Version of the configuration in force.
    configuration_age_ms: int


@frozen
class RequestAnswered(RequestEvent):
    """A request's result was sent to its caller."""

    category = EventCategory.SUCCESS


@frozen
class RequestRetried(RequestEvent):
    """An attempt failed, and the request is retried."""

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
    retry_after_ms: int  # -1 if a retry makes no sense.


@frozen
class RequestDenied(Event):
    """A request was refused before it took a token from the rate limit."""

    category = EventCategory.REFUSAL
    request: str
    problem: str
    outcome: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class WorkRefused(Event):
    """The owner of an endpoint did not complete a forwarded request."""

    category = EventCategory.REFUSAL
    request: str
    entry: str
    workspace: str
    endpoint: str
    step: str  # The class of the last step; empty if none ran.
    total_ms: int
    queued: int  # Requests that wait in the endpoint's queue.
    running: int  # Requests that run at the endpoint.
    entry_term: int  # The group's term that the entry knew.
    term: int  # The group's term that the owner knows.
    problem: str
    outcome: str
    detail: str


# --- Statements of clients that hold a session on a connection


@frozen
class StatementEvent(Event):
    """Base of the events that are logged when a statement or an attempt ends."""

    request: str
    session: int
    workspace: str
    database: str
    group: str
    endpoint: str
    access: str
    stage: str  # How far the statement came, as in `session_rows.Stage`.
    stage_ms: int  # Time in that stage.
    total_ms: int
    attempts: int
    minimum: str  # The position that the endpoint must have reached; empty if none.
    sample_age_ms: int  # Age of the sample of the primary's position.
    waiting: int  # Statements that wait for a connection to the endpoint.
    tokens: float  # Tokens in the workspace's token bucket at this instance.
    configuration: int  # Version of the configuration in force.
    configuration_age_ms: int


@frozen
class StatementAnswered(StatementEvent):
    """A statement's result was sent to its client within the latency objective."""

    category = EventCategory.SUCCESS


@frozen
class StatementLate(StatementEvent):
    """A statement's result was sent to its client after the latency objective."""

    category = EventCategory.REFUSAL


@frozen
class StatementRetried(StatementEvent):
    """An endpoint did not run a statement, which is sent to another one."""

    category = EventCategory.REFUSAL
    fault: str
    detail: str


@frozen
class StatementRefused(StatementEvent):
    """A statement ended without a result."""

    category = EventCategory.REFUSAL
    fault: str
    detail: str
    retry_after_ms: int  # -1 if a retry makes no sense.


@frozen
class StatementDenied(Event):
    """A statement was refused before an endpoint was chosen for it."""

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
    """A client's request for a session was refused."""

    category = EventCategory.REFUSAL
    session: int
    database: str
    fault: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class TransactionEnded(Event):
    """A transaction was rolled back although its client did not ask for it."""

    category = EventCategory.REFUSAL
    session: int
    workspace: str
    group: str
    reason: str
    idle_ms: int  # Time since the session was last used.
