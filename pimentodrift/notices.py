"""Messages between modules of the core."""

from attrs import frozen

from .errors import Failure
from .messages import (
    StatementResult,
)
from .peer_messages import RegistryUpdate


@frozen
class Notice:
    """Base of what is told to whoever needs it; an assembly may have nobody."""


@frozen
class Admitted:
    """The rate of its workspace admits a waiting request."""

    request: int


@frozen
class Refused:
    """A waiting request gets its final answer."""

    request: int
    failure: Failure


@frozen
class WorkAnswered:
    """A batch on a connection that carries callers' work has ended."""

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class WorkConnectionReady:
    """A connection for callers' work is open and idle."""

    connection: int


@frozen
class WorkConnectionLost:
    """A connection that carried callers' work is gone; `batch` was in flight or 0."""

    connection: int
    endpoint: str
    batch: int


@frozen
class MonitorAnswered:
    """A batch on a monitoring connection has ended."""

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class MonitorConnectionReady:
    """A monitoring connection is open."""

    connection: int


@frozen
class MonitorConnectionLost:
    """A monitoring connection is gone; `batch` was in flight or 0."""

    connection: int
    endpoint: str
    batch: int
    refused: bool = False


@frozen
class SlotReleased:
    """A slot or a work connection of an endpoint is free again."""

    endpoint: str


@frozen
class WriteAcknowledged:
    """A majority of the group has received the write of a piece of work."""

    work: int


@frozen
class WriteUnconfirmed:
    """The write of a piece of work was not confirmed by its deadline or its term."""

    work: int
    failure: Failure


@frozen
class PrimaryChanged(Notice):
    """A group has a new term."""

    group: str


@frozen
class ConfigurationChanged(Notice):
    """Another publication is in force; keys may have been withdrawn."""


@frozen
class InstanceDown(Notice):
    """An instance is suspected: its stream closed or it does not answer.

    `unsent` has the numbers of requests of which no byte reached it.
    """

    instance: str
    unsent: frozenset[int]
    refused: bool = False


@frozen
class RegistryRelayed(Notice):
    """A relay has told the changes of the registry."""

    update: RegistryUpdate
