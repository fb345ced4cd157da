"""The log events of an instance, with their fields.

Each event is one line of JSON: its name is that of the class in snake case. Ages and
waits are in milliseconds. Keys never appear; a key shows as its key id at most.
`request_events` has those of requests.
"""

from attrs import frozen

from . import request_events
from .event_base import Event, all_events

__all__ = ["BUILT_IN", "request_events"]  # The latter for `BUILT_IN`.

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


BUILT_IN = all_events()
