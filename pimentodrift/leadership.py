"""Tracks which endpoint is each group's primary, and the end of the primary's log.

A database that is no longer the primary refuses to begin a read-write transaction. So a
begun transaction or an accepted write proves that the endpoint was the group's primary
after the request was sent. The position in its answer then covers every write that was
acknowledged before the request was sent.
"""

from datetime import timedelta

from . import registry
from .fencing.permissions import may_lead
from .log_events import PrimaryChosen
from .messages import Position
from .session_rows import EndpointRole, LeadershipRow, RegistryRow
from .tables import State

# An endpoint that refused work as not the primary is not taken for the primary for this
# long, even if the registry says so: its entry may be older than the refusal. Later
# the endpoint is tried again.
DENIAL_LIFETIME = timedelta(milliseconds=300)
# Longer than the staleness that routes accept for their reads.
SAMPLE_LIFETIME = timedelta(seconds=5)
SAMPLE_INTERVAL = timedelta(milliseconds=50)  # Between two samples that are kept.


def row_of(group: str, state: State) -> LeadershipRow:
    """Return the row of a group, new if the group has none."""
    row = state.leaderships.get(group)
    if row is None:
        row = state.leaderships[group] = LeadershipRow(group)
    return row


def record_claim(group: str, endpoint: str, state: State) -> None:
    """Record that an endpoint's entry in the registry calls it the primary."""
    row = row_of(group, state)
    row.denied.pop(endpoint, None)
    if row.primary != endpoint:
        set_primary(row, endpoint, "registry", state)


def set_primary(row: LeadershipRow, endpoint: str, source: str, state: State) -> None:
    """Set another endpoint as the group's primary and log the change."""
    state.log_event(PrimaryChosen(row.group, endpoint, row.primary, source))
    row.primary = endpoint
    row.samples.clear()


def record_proof(
    group: str,
    endpoint: str,
    position: Position | None,
    sent_at: timedelta,
    state: State,
) -> None:
    """Record that an endpoint was the primary at `sent_at` or later."""
    row = row_of(group, state)
    if sent_at < row.sampled_at or not may_lead(group, endpoint, state):
        return
    row.denied.pop(endpoint, None)
    if row.primary != endpoint:
        set_primary(row, endpoint, "answer", state)
    if position is not None:
        row.position = position
        row.sampled_at = sent_at
        keep_sample(row, sent_at, position)


def keep_sample(row: LeadershipRow, sampled_at: timedelta, position: Position) -> None:
    """Keep a sample among the earlier ones, and drop those that are too old."""
    samples = row.samples
    if not samples or sampled_at - samples[-1][0] >= SAMPLE_INTERVAL:
        samples.append((sampled_at, position))
    while sampled_at - samples[0][0] > SAMPLE_LIFETIME:
        samples.popleft()


def record_denial(group: str, endpoint: str, state: State) -> None:
    """Record that an endpoint refused work that only the primary accepts."""
    row = row_of(group, state)
    row.denied[endpoint] = state.clock.monotonic()
    if row.primary == endpoint:
        row.primary = ""
        row.samples.clear()


def primary(group: str, state: State) -> RegistryRow | None:
    """Return the endpoint that is believed to be the primary, if any."""
    row = row_of(group, state)
    now = state.clock.monotonic()
    known = state.registry.get(row.primary)
    if (
        known is not None
        and known.entry.group == group
        and may_lead(group, known.name, state)
    ):
        return known
    for member in registry.group_members(group, state):
        refused_at = row.denied.get(member.name)
        if refused_at is not None and now - refused_at < DENIAL_LIFETIME:
            continue
        if not may_lead(group, member.name, state):
            continue
        if member.entry.role is EndpointRole.PRIMARY:
            return member
    return None


def confirmed_position(group: str, since: timedelta, state: State) -> Position | None:
    """Return a position that covers all writes acknowledged before `since`, or None."""
    row = row_of(group, state)
    return row.position if row.sampled_at >= since else None


def earliest_position(group: str, since: timedelta, state: State) -> Position | None:
    """Return the lowest known position that covers all writes before `since`, or None.

    A replica is more likely to have it than the newest position, which it lacks for the
    time of its lag after each write.
    """
    for sampled_at, position in row_of(group, state).samples:
        if sampled_at >= since:
            return position
    return confirmed_position(group, since, state)
