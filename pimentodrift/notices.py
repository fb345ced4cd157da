"""Messages between modules of the core."""

from datetime import timedelta

from attrs import frozen

from .errors import Failure
from .messages import StatementResult
from .peer_messages import RegistryUpdate, RelayedConfiguration, RelayedEvacuations


@frozen
class Notice:
    """Base of messages that are ignored if no module handles them."""


@frozen
class Admitted:
    """A waiting request got a token of its workspace's rate."""

    request: int


@frozen
class Refused:
    """A request that waited for a token of its workspace's rate is refused."""

    request: int
    failure: Failure


@frozen
class WorkAnswered:
    """A batch on a connection for callers' work has ended."""

    connection: int
    batch: int
    results: tuple[StatementResult, ...]


@frozen
class WorkConnectionReady:
    """A connection for callers' work is open and idle."""

    connection: int


@frozen
class WorkConnectionLost:
    """A connection for callers' work was lost.

    `batch` is the number of the batch in flight; 0 if there was none.
    """

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
    """A monitoring connection was lost.

    `batch` is the number of the batch in flight; 0 if there was none.
    """

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
    """The write of a piece of work was not confirmed in time, or its term ended."""

    work: int
    failure: Failure


@frozen
class PrimaryChanged(Notice):
    """A group has a new term, and with it possibly another primary."""

    group: str


@frozen
class ConfigurationChanged(Notice):
    """Another configuration is in force; keys may have been withdrawn."""


@frozen
class InstanceDown(Notice):
    """An instance is suspected: its stream closed or it does not answer.

    `unsent` has the numbers of requests of which no byte was sent to the instance.
    """

    instance: str
    unsent: frozenset[int]


@frozen
class ConfigurationRelayed(Notice):
    """A relay sent the configuration, or that it has not changed."""

    update: RelayedConfiguration


@frozen
class RegistryRelayed(Notice):
    """A relay sent changes of the registry of endpoints.

    Its copy was current at `since` (None: at an unknown time).
    """

    update: RegistryUpdate
    since: timedelta | None


@frozen
class EvacuationsRelayed(Notice):
    """A relay sent all evacuations, current at `since` (None: at an unknown time)."""

    update: RelayedEvacuations
    since: timedelta | None


@frozen
class PeerUnreachable(Notice):
    """A stream to an instance was lost, or the instance does not answer.

    `unsent` has the numbers of forwarded statements of which no byte was sent.
    """

    instance: str
    unsent: frozenset[int] = frozenset()
