"""The classes of log events about an instance; `request_events` has those of requests.

Each event is written as a line of JSON, whose name is that of the class in snake case.
Fields that end in `_ms` are durations in milliseconds. Keys are never logged; a key
appears only as its key id.
"""

from attrs import frozen

from . import request_events
from .event_base import Event, event_classes

__all__ = ["BUILT_IN", "request_events"]  # The import adds its classes to `BUILT_IN`.

# --- Changes in what the instance knows of the store, endpoints and other instances


@frozen
class StoreLost(Event):
    """Listing or watching a kind of objects in the store began to fail."""

    kind: str
    detail: str


@frozen
class StoreRegained(Event):
    """Listing or watching a kind of objects succeeds again."""

    kind: str
    lost_ms: int


@frozen
class StoreRestored(Event):
    """The store came back from an older copy; its objects are listed again."""

    era: int


@frozen
class CheckLost(Event):
    """The store stopped confirming that the copy of a kind of objects is current."""

    kind: str
    detail: str
    configuration_age_ms: int


@frozen
class CheckRegained(Event):
    """The store confirms the copy of a kind of objects again."""

    kind: str
    lost_ms: int


@frozen
class StoreHistoryGone(Event):
    """The store lacks the history that a watch needs; the kind is listed again."""

    kind: str
    revision: int


@frozen
class ObjectUnreadable(Event):
    """An object of the store is invalid and is not used."""

    kind: str
    name: str
    revision: int
    detail: str


@frozen
class ConfigurationApplied(Event):
    """A new configuration came into force."""

    version: int
    revision: int
    routes: int
    workspaces: int


@frozen
class ConfigurationMissing(Event):
    """The configuration was deleted from the store; the last one stays in force."""

    revision: int


@frozen
class EndpointRegistered(Event):
    """An endpoint's registry entry is new, or its role or state has changed."""

    endpoint: str
    group: str
    role: str
    leaving: bool
    revision: int


@frozen
class EndpointUnregistered(Event):
    """An endpoint's registry entry was deleted; the endpoint is used a while longer."""

    endpoint: str
    revision: int


@frozen
class EndpointDropped(Event):
    """The instance stopped using an endpoint."""

    endpoint: str
    reason: str


@frozen
class EndpointFailing(Event):
    """An endpoint began to refuse connections or does not answer."""

    endpoint: str
    fault: str


@frozen
class EndpointAnswers(Event):
    """A failing endpoint answers again."""

    endpoint: str
    failed_ms: int


@frozen
class PrimaryChosen(Event):
    """The instance regards another endpoint as a group's primary."""

    group: str
    primary: str
    before: str  # The previous primary; empty if none was known.
    source: str  # How the instance learned of the new primary.


@frozen
class PromotionDecided(Event):
    """The fencing token for a promotion was written, or the write failed."""

    group: str
    token: int
    target: str
    old_primary: str
    failing_reports: int
    outcome: str


@frozen
class PrimaryWorkStopped(Event):
    """This instance uses no other primary than the one that a decision names."""

    group: str
    token: int
    target: str
    aborted: int
    closed: int


@frozen
class PrimaryFenced(Event):
    """No instance can use another primary than the one that a decision names."""

    group: str
    token: int
    result: str
    unconfirmed: int
    waited_ms: int


@frozen
class PrimaryKept(Event):
    """The decision that a primary stays was written to the store, or that failed."""

    group: str
    outcome: str


@frozen
class PromotionEnded(Event):
    """The platform answered the call for a promotion, or the call failed."""

    group: str
    token: int
    target: str
    outcome: str
    detail: str
    took_ms: int


@frozen
class InstanceListed(Event):
    """This instance wrote its own object to the store, or the write failed."""

    outcome: str


@frozen
class InstanceRemoved(Event):
    """This instance deleted the object of a lost instance, or the write failed."""

    peer: str
    outcome: str


@frozen
class EndpointOwned(Event):
    """This instance became the owner of an endpoint."""

    endpoint: str


@frozen
class EndpointGivenUp(Event):
    """This instance is not the owner of an endpoint any more."""

    endpoint: str
    owner: str  # The new one; empty if none is in use.


@frozen
class OwnerLost(Event):
    """An owner of endpoints does not answer; its statements and transactions end."""

    peer: str
    statements: int
    transactions: int


# --- Sessions


@frozen
class OpeningsEnded(Event):
    """Sessions that waited for the first copies of the store were opened or refused."""

    opened: int
    refused: int
    longest_ms: int


@frozen
class TransactionLeftRegion(Event):
    """A transaction was rolled back: its endpoint is in no allowed region any more."""

    session: int
    workspace: str
    endpoint: str


@frozen
class EndpointCold(Event):
    """An endpoint may have just started and gets few statements."""

    endpoint: str
    group: str


@frozen
class EndpointWarm(Event):
    """The limit of an endpoint that had just started has ended."""

    endpoint: str
    group: str


# --- The process


@frozen
class Started(Event):
    """The process listens on its addresses."""

    listen: str
    peer_listen: str


@frozen
class StartFailed(Event):
    """The process cannot listen and exits."""

    error: str


@frozen
class DescriptorLimitLow(Event):
    """The limit of file descriptors is below what the settings need."""

    limit: int
    needed: int


@frozen
class SettingsReloaded(Event):
    """The settings were reloaded, or could not be read."""

    readable: bool
    changed: bool


@frozen
class StopComplete(Event):
    """A graceful shutdown is complete, or its timeout has passed."""

    sessions: int  # Sessions that were still open.
    waited_ms: int


@frozen
class Stopped(Event):
    """The process exits."""


@frozen
class LinesLeftOut(Event):
    """Numbers of lines omitted since the last event of this class, by event name."""

    counts: dict[str, int]


@frozen
class EvacuationSeen(Event):
    """A data centre is evacuated; a primary there is used for `left_ms` at most."""

    data_centre: str
    left_ms: int


@frozen
class EvacuationEnded(Event):
    """A data centre is not evacuated any more."""

    data_centre: str
    lasted_ms: int


@frozen
class EvacuationDone(Event):
    """This instance has no connection to a data centre's endpoints any more."""

    data_centre: str
    took_ms: int
    aborted: int  # Transactions that were rolled back.


@frozen
class PrimaryLeft(Event):
    """This instance uses no primary of a group in an evacuated data centre any more."""

    group: str
    endpoint: str
    data_centre: str
    after_ms: int  # Since the evacuation was seen.


@frozen
class SwitchoverBegun(Event):
    """This instance asked all others to hold the work of an evacuated primary."""

    group: str
    endpoint: str
    attempt: int


@frozen
class SwitchoverEnded(Event):
    """A planned switchover has ended; `result` tells how."""

    group: str
    endpoint: str
    attempt: int
    result: str
    unconfirmed: int  # Instances that did not confirm.
    took_ms: int


# --- Judgement of endpoints


@frozen
class EndpointEjected(Event):
    """An endpoint gets no reads for a time: its statements fail or are slow."""

    endpoint: str
    group: str
    reason: str
    results: int  # In the last seconds.
    failed: float  # Part of the results.
    for_ms: int


@frozen
class EndpointProbed(Event):
    """An ejected endpoint was probed at the end of its time."""

    endpoint: str
    answered: bool


@frozen
class EndpointReturned(Event):
    """An ejected endpoint gets reads again."""

    endpoint: str
    cause: str
    ejected_ms: int


# --- Rates


@frozen
class AllocatorHandedOver(Event):
    """This instance handed a workspace's ledger over to its successor as allocator."""

    workspace: str
    epoch: int  # Of the successor.
    peer: str


BUILT_IN = event_classes()
