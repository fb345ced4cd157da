"""Applies a configuration that is a single versioned object of the store.

The object declares routes by the database that clients ask for, workspaces with keys
and rates, and limits. Only a higher version is applied, so that the configuration never
reverts to an older one.
"""

from datetime import timedelta
from hashlib import sha256

from attrs import field, frozen

from .configuration import KEY_ID_LENGTH
from .kind_messages import (
    Entry,
)
from .kind_watch import (
    apply_content,
    remove_content,
)
from .log_events import ConfigurationApplied, ConfigurationMissing
from .policies import Policy
from .rate_windows import MIN_KEPT_BURST, UNDIVIDED_KEPT_BURST, bucket_for
from .session_rows import Route, SessionLimits
from .settings import Settings
from .tables import Configuration, KeyRow, State, WorkspaceRow
from .warmup.decisions import ColdLimit

MIN_RATE = 0.001  # Operations/s; a rate of 0 would cause divisions by 0 in the shares.


@frozen
class DeclaredWorkspace:
    """A workspace of the configuration; `rate` in operations/s, `burst` in operations.

    The keys are in plain text here; only their digests are kept.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    rate: float
    burst: float
    priority: int = 0
    regions: frozenset[str] = frozenset()  # Allowed for endpoints; empty: all.


@frozen
class RouteConfiguration:
    """Everything that the operators declare."""

    version: int
    routes: tuple[Route, ...]
    workspaces: tuple[DeclaredWorkspace, ...]
    connections: dict[str, int]  # To an endpoint, of all instances, by group.
    transaction_idle: timedelta  # Idle time after which a transaction is aborted.
    # How endpoints are treated after their start, by group.
    cold: dict[str, ColdLimit] = field(factory=dict)
    # Replicas that must have received a commit before it is acknowledged, by group.
    # None from a relay of a build that does not read them.
    sync_replicas: dict[str, int] | None = None


def key_digest(key: str) -> str:
    """Return the digest by which the configuration finds a key."""
    return sha256(key.encode()).hexdigest()


def build_configuration(
    declared: RouteConfiguration, settings: Settings
) -> Configuration:
    """Return the configuration of the core with the declared workspaces and keys."""
    result = Configuration(publication=str(declared.version), version=declared.version)
    is_divisible = settings.uses(Policy.DIVISIBLE_BURST)
    min_kept = MIN_KEPT_BURST if is_divisible else UNDIVIDED_KEPT_BURST
    for workspace in declared.workspaces:
        bucket = bucket_for(
            workspace.rate, workspace.burst, settings.rate_window, min_kept
        )
        result.workspaces[workspace.name] = WorkspaceRow(
            workspace.name,
            max(MIN_RATE, bucket.rate),
            bucket.burst,
            regions=workspace.regions,
        )
        for key in workspace.keys:
            digest = key_digest(key)
            key_id = digest[:KEY_ID_LENGTH]
            result.keys[digest] = KeyRow(digest, key_id, workspace.name)
    result.key_ids = frozenset(row.key_id for row in result.keys.values())
    result.key_holders = frozenset(
        (row.key_id, row.workspace) for row in result.keys.values()
    )
    return result


@apply_content.register
def _(content: RouteConfiguration, entry: Entry, state: State) -> None:
    if content.version <= state.configuration.version:
        return
    state.configuration = build_configuration(content, state.settings)
    state.routes = {route.database: route for route in content.routes}
    state.session_limits = SessionLimits(
        content.transaction_idle,
        dict(content.connections),
        dict(content.cold),
        dict(content.sync_replicas or {}),
    )
    state.counters["configuration.applied"] += 1
    sizes = len(content.routes), len(content.workspaces)
    state.log_event(ConfigurationApplied(content.version, entry.revision, *sizes))


@remove_content.register
def _(content: RouteConfiguration, entry: Entry, state: State) -> None:
    """Keep the configuration if its object is deleted, since no newer one exists."""
    state.log_event(ConfigurationMissing(entry.revision))
