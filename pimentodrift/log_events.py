"""The log events of an instance, with their fields.

Each event is one line of JSON: its name is that of the class in snake case. Ages and
waits are in milliseconds. Keys never appear; a key shows as its key id at most.
"""

import re
from enum import IntEnum
from functools import cache
from typing import ClassVar

from attrs import asdict, frozen


class Weight(IntEnum):
    """Which lines are kept when there are too many: the heavier ones."""

    SUCCESS = 1
    REFUSAL = 2
    CHANGE = 3


@frozen
class Event:
    """Base of the events."""

    weight: ClassVar[Weight] = Weight.CHANGE

    def fields(self) -> dict[str, object]:
        """Return the fields of the line."""
        return asdict(self)


def event_name(kind: type[Event]) -> str:
    """Return the name of an event's lines."""
    return snake_case(kind.__name__)


@cache
def snake_case(name: str) -> str:
    """Return the name of a class as the log writes it."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


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

    weight = Weight.SUCCESS


@frozen
class RequestRetried(RequestEvent):
    """An attempt failed, and the request goes on."""

    weight = Weight.REFUSAL
    problem: str
    outcome: str
    detail: str


@frozen
class RequestRefused(RequestEvent):
    """A request ended without a result."""

    weight = Weight.REFUSAL
    problem: str
    outcome: str
    detail: str
    retry_after_ms: int


@frozen
class RequestDenied(Event):
    """A request was refused before a token was spent on it."""

    weight = Weight.REFUSAL
    request: str
    problem: str
    outcome: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class WorkRefused(Event):
    """The owner of an endpoint did not carry out a forwarded request."""

    weight = Weight.REFUSAL
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

    weight = Weight.SUCCESS


@frozen
class StatementLate(StatementEvent):
    """A statement's result went to its client after the objective."""

    weight = Weight.REFUSAL


@frozen
class StatementRetried(StatementEvent):
    """An endpoint did not run a statement, which is placed again."""

    weight = Weight.REFUSAL
    fault: str
    detail: str


@frozen
class StatementRefused(StatementEvent):
    """A statement ended without a result."""

    weight = Weight.REFUSAL
    fault: str
    detail: str
    retry_after_ms: int


@frozen
class StatementDenied(Event):
    """A statement was refused before it needed an endpoint."""

    weight = Weight.REFUSAL
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

    weight = Weight.REFUSAL
    session: int
    database: str
    fault: str
    detail: str
    configuration: int
    configuration_age_ms: int


@frozen
class TransactionEnded(Event):
    """A transaction was rolled back without its client's asking."""

    weight = Weight.REFUSAL
    session: int
    workspace: str
    group: str
    reason: str
    idle_ms: int


# --- What the process believes


@frozen
class StoreLost(Event):
    """A kind of objects has no usable answer of the store any more."""

    kind: str
    detail: str


@frozen
class StoreRegained(Event):
    """The store answers again for a kind of objects."""

    kind: str
    lost_ms: int


@frozen
class CheckLost(Event):
    """The store does not confirm a kind any more; its age tells for how long."""

    kind: str
    detail: str
    configuration_age_ms: int


@frozen
class CheckRegained(Event):
    """The store confirms a kind again."""

    kind: str
    lost_ms: int


@frozen
class StoreHistoryGone(Event):
    """The store dropped the history of a watch; the kind is listed again."""

    kind: str
    revision: int


@frozen
class ObjectUnreadable(Event):
    """An object of the store cannot be used."""

    kind: str
    name: str
    revision: int
    detail: str


@frozen
class ConfigurationApplied(Event):
    """A configuration is in force."""

    version: int
    revision: int
    routes: int
    workspaces: int


@frozen
class ConfigurationMissing(Event):
    """The object of the configuration is gone; the last one stays in force."""

    revision: int


@frozen
class EndpointRegistered(Event):
    """An endpoint's entry in the registry is new or has another role or state."""

    endpoint: str
    group: str
    role: str
    leaving: bool
    revision: int


@frozen
class EndpointUnregistered(Event):
    """An endpoint's entry has gone; the endpoint is used for a while."""

    endpoint: str
    revision: int


@frozen
class EndpointDropped(Event):
    """An endpoint is not used any more."""

    endpoint: str
    reason: str


@frozen
class EndpointFailing(Event):
    """An endpoint gives no connection or does not answer."""

    endpoint: str
    fault: str


@frozen
class EndpointAnswers(Event):
    """A failing endpoint answers again."""

    endpoint: str
    failed_ms: int


@frozen
class PrimaryChosen(Event):
    """Another endpoint is taken for a group's primary."""

    group: str
    primary: str
    before: str
    source: str


@frozen
class PromotionDecided(Event):
    """The token for a promotion was written, or its write failed."""

    group: str
    token: int
    target: str
    old_primary: str
    failing_reports: int
    outcome: str


@frozen
class PromotionEnded(Event):
    """The platform answered a promotion, or did not."""

    group: str
    token: int
    target: str
    outcome: str
    detail: str
    took_ms: int


@frozen
class InstanceListed(Event):
    """This instance wrote its own object."""

    outcome: str


@frozen
class InstanceRemoved(Event):
    """This instance deleted the object of one that was lost."""

    peer: str
    outcome: str


# --- The process


@frozen
class Started(Event):
    """The process listens."""

    listen: str
    peer_listen: str


@frozen
class StartFailed(Event):
    """The process cannot listen."""

    error: str


@frozen
class DescriptorLimitLow(Event):
    """The process may not open as many connections as are configured."""

    limit: int
    needed: int


@frozen
class SettingsReloaded(Event):
    """The settings were read again."""

    readable: bool
    changed: bool


@frozen
class StopComplete(Event):
    """Nothing is left that the stop waits for, or its time is over."""

    sessions: int
    waited_ms: int


@frozen
class Stopped(Event):
    """The process ends."""


@frozen
class LinesLeftOut(Event):
    """Lines that were not written since the last such line, by name."""

    counts: dict[str, int]


def all_events(base: type[Event] = Event) -> list[type[Event]]:
    """Return the classes of the events that are written."""
    found: list[type[Event]] = []
    for kind in base.__subclasses__():
        found += all_events(kind) or [kind]
    return found


BUILT_IN = all_events()
