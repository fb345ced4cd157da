"""Tracks endpoints by their entries in a registry that the databases write.

An entry may expire while its database is alive, so an endpoint is used for a while
after its entry is gone. A database that restarts under its name has lost all state; its
connections are closed and what was known about it is dropped.
"""

from datetime import timedelta

from . import leadership, pools
from .evacuation import permissions
from .kind_messages import (
    Entry,
)
from .kind_watch import (
    apply_content,
    remove_content,
)
from .log_events import EndpointDropped, EndpointRegistered, EndpointUnregistered
from .session_rows import EndpointRole, PoolRow, RegisteredEndpoint, RegistryRow
from .tables import State
from .warmup import knowledge

# Entries that expired during an outage are back about two seconds after its end.
LAPSE_GRACE = timedelta(milliseconds=2500)
# A leaving primary gets work until there is a new one, but no longer than this.
LEAVING_PRIMARY_USE = timedelta(seconds=4)


@apply_content.register
def _(content: RegisteredEndpoint, entry: Entry, state: State) -> None:
    now = state.clock.monotonic()
    known = state.registry.get(entry.name)
    if known is not None and is_restarted(known.entry, content):
        remove_endpoint(known, "restarted", state)
        known = None
    row = known
    if row is None:
        row = RegistryRow(entry.name, content, entry.revision)
        state.registry[entry.name] = row
        state.pools.setdefault(entry.name, PoolRow(entry.name, content.group))
    before = known.entry if known is not None else None
    row.entry = content
    row.revision = entry.revision
    knowledge.record_entry(entry.name, content, entry.revision, state)
    row.missing_since = None
    if not content.is_leaving:
        row.leaving_since = None
    elif row.leaving_since is None:
        row.leaving_since = now
    if before is None or (before.role, before.is_leaving) != (
        content.role,
        content.is_leaving,
    ):
        log_registration(row, state)
    if content.role is EndpointRole.PRIMARY:
        leadership.record_claim(content.group, entry.name, state)


def is_restarted(before: RegisteredEndpoint, after: RegisteredEndpoint) -> bool:
    """Return whether an entry is of another process than the one before."""
    return (before.incarnation, before.address, before.group) != (
        after.incarnation,
        after.address,
        after.group,
    )


def log_registration(row: RegistryRow, state: State) -> None:
    """Log the entry of an endpoint."""
    entry = row.entry
    state.log_event(
        EndpointRegistered(
            row.name, entry.group, entry.role, entry.is_leaving, row.revision
        )
    )


@remove_content.register
def _(content: RegisteredEndpoint, entry: Entry, state: State) -> None:
    row = state.registry.get(entry.name)
    if row is not None and row.missing_since is None:
        row.missing_since = state.clock.monotonic()
        state.log_event(EndpointUnregistered(row.name, entry.revision))


def remove_endpoint(row: RegistryRow, reason: str, state: State) -> None:
    """Drop an endpoint and close its connections."""
    state.registry.pop(row.name, None)
    pools.drop_endpoint(row.name, state)
    state.log_event(EndpointDropped(row.name, reason))


def run(state: State) -> None:
    """Drop the endpoints whose entries have been missing for `LAPSE_GRACE`."""
    now = state.clock.monotonic()
    for row in list(state.registry.values()):
        if row.missing_since is not None and now - row.missing_since > LAPSE_GRACE:
            remove_endpoint(row, "gone", state)


def group_members(group: str, state: State) -> list[RegistryRow]:
    """Return the endpoints of a group."""
    return [row for row in state.registry.values() if row.entry.group == group]


def accepts_work(row: RegistryRow, as_primary: bool, state: State) -> bool:
    """Return whether an endpoint may be given new work.

    A leaving endpoint gets work only as primary, and only for `LEAVING_PRIMARY_USE`.
    One in an evacuated data centre gets it only as primary, until the deadline.
    """
    if not permissions.accepts_requests(row.name, as_primary, state):
        return False
    if row.leaving_since is None:
        return True
    used = state.clock.monotonic() - row.leaving_since
    return as_primary and used <= LEAVING_PRIMARY_USE
