"""What is known of each group's primary and of the end of its log.

A database that has lost the lead refuses to begin a transaction that may write, so a
transaction begun, or a write accepted, proves that the endpoint led its group after
the question was sent. The position in that answer then covers every write that was
acknowledged before the question was sent.
"""

from datetime import timedelta

from . import registry
from .log_events import PrimaryChosen
from .messages import Position
from .session_rows import EndpointRole, LeadershipRow, RegistryRow
from .tables import State

# After this, an endpoint that calls itself primary is asked again although it has
# refused; its entry in the registry may be older than the refusal.
DENIAL_LIFETIME = timedelta(milliseconds=300)


def row_of(group: str, state: State) -> LeadershipRow:
    """Return what is known of a group's primary."""
    row = state.leaderships.get(group)
    if row is None:
        row = state.leaderships[group] = LeadershipRow(group)
    return row


def record_claim(group: str, endpoint: str, state: State) -> None:
    """Note that an endpoint has begun to call itself primary."""
    row = row_of(group, state)
    row.denied.pop(endpoint, None)
    if row.primary != endpoint:
        set_primary(row, endpoint, "registry", state)


def set_primary(row: LeadershipRow, endpoint: str, source: str, state: State) -> None:
    """Take another endpoint for the primary."""
    state.log_event(PrimaryChosen(row.group, endpoint, row.primary, source))
    row.primary = endpoint


def record_proof(
    group: str,
    endpoint: str,
    position: Position | None,
    asked_at: timedelta,
    state: State,
) -> None:
    """Note that an endpoint led its group at `asked_at` or later."""
    row = row_of(group, state)
    if asked_at < row.sampled_at:
        return
    row.denied.pop(endpoint, None)
    if row.primary != endpoint:
        set_primary(row, endpoint, "answer", state)
    if position is not None:
        row.position = position
        row.sampled_at = asked_at


def record_denial(group: str, endpoint: str, state: State) -> None:
    """Note that an endpoint refused work that only the primary takes."""
    row = row_of(group, state)
    row.denied[endpoint] = state.clock.monotonic()
    if row.primary == endpoint:
        row.primary = ""


def primary(group: str, state: State) -> RegistryRow | None:
    """Return the endpoint that seems to be the primary."""
    row = row_of(group, state)
    now = state.clock.monotonic()
    known = state.registry.get(row.primary)
    if known is not None and known.entry.group == group:
        return known
    for member in registry.group_members(group, state):
        refused_at = row.denied.get(member.name)
        if refused_at is not None and now - refused_at < DENIAL_LIFETIME:
            continue
        if member.entry.role is EndpointRole.PRIMARY:
            return member
    return None


def confirmed_position(group: str, since: timedelta, state: State) -> Position | None:
    """Return a position that covers every write acknowledged before `since`."""
    row = row_of(group, state)
    return row.position if row.sampled_at >= since else None
