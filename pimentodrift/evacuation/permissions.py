"""Tells whether an endpoint may be sent a request in spite of evacuations."""

from collections.abc import Iterable
from datetime import timedelta

from ..session_rows import EndpointRole, PooledRow, PoolRow, RegistryRow
from ..tables import EndpointRow, InstanceRow, State
from .decisions import CERTAIN_HOLD
from .rows import EvacuationRow, SwitchoverRow

# An evacuation lasts for seconds at least, so a client need not retry sooner.
RETRY_AFTER = timedelta(seconds=1)


def evacuation_of(endpoint: str, state: State) -> EvacuationRow | None:
    """Return the evacuation of an endpoint's data centre, if there is one."""
    if not state.evacuations:
        return None
    row = state.registry.get(endpoint)
    return state.evacuations.get(row.entry.data_centre) if row is not None else None


def accepts_requests(endpoint: str, as_primary: bool, state: State) -> bool:
    """Return whether an endpoint may be sent a request now.

    In an evacuated data centre, only a primary may be, until the deadline.
    """
    row = evacuation_of(endpoint, state)
    if row is None:
        return True
    return as_primary and state.clock.monotonic() < row.deadline


def may_send(connection: PooledRow, state: State) -> bool:
    """Return whether a request may be sent on a connection now."""
    return accepts_requests(connection.endpoint, connection.needs_primary, state)


def is_evacuated(row: RegistryRow, state: State) -> bool:
    """Return whether an endpoint is in an evacuated data centre."""
    return row.entry.data_centre in state.evacuations


def may_connect(pool: PoolRow, state: State) -> bool:
    """Return whether a connection to an endpoint may be opened now."""
    return accepts_requests(pool.endpoint, leads(pool.endpoint, state), state)


def leads(endpoint: str, state: State) -> bool:
    """Return whether an endpoint counts as its group's primary."""
    row = state.registry.get(endpoint)
    if row is None:
        return False
    known = state.leaderships.get(row.entry.group)
    if known is not None and known.primary:
        return known.primary == endpoint
    return row.entry.role is EndpointRole.PRIMARY


def evacuation_detail(endpoint: str, state: State) -> str:
    """Return why an evacuated endpoint gets no requests; empty if it may get some."""
    row = evacuation_of(endpoint, state)
    if row is None:
        return ""
    return f"{endpoint} is in the evacuated data centre {row.data_centre}"


def stuck_primary(group: str, state: State) -> str:
    """Return the evacuated primary of a group that can't be replaced, or "".

    It can't be used any more and no other endpoint of the group is outside every
    evacuated data centre, so what needs a primary would wait in vain.
    """
    if not state.evacuations:
        return ""
    rows = [row for row in state.registry.values() if row.entry.group == group]
    known = state.leaderships.get(group)
    name = known.primary if known is not None else ""
    if any(not is_evacuated(row, state) for row in rows):
        return ""
    if not name:
        return next((row.name for row in rows), "")
    return "" if accepts_requests(name, True, state) else name


def is_held(group: str, endpoint: str, state: State) -> bool:
    """Return whether new statements for a primary wait for a planned switchover."""
    row = state.primary_holds.get(group)
    return row is not None and row.endpoint == endpoint


def is_hold_certain(
    attempt: SwitchoverRow, instances: Iterable[InstanceRow], state: State
) -> bool:
    """Return whether no instance has had work at the primary since it confirmed."""
    now = state.clock.monotonic()
    known = attempt.confirmed
    return not attempt.is_broken and all(
        item.name in known and now - known[item.name][1] <= CERTAIN_HOLD
        for item in instances
    )


def may_promote(group: str, state: State) -> bool:
    """Return whether a promotion that was decided on would lose no write.

    Only a planned switchover depends on the instances' holds.
    """
    attempt = state.switchovers.get(group)
    if attempt is None:
        return True
    now = state.clock.monotonic()
    return not attempt.is_broken and all(
        now - sent_at <= CERTAIN_HOLD for _, sent_at in attempt.confirmed.values()
    )


def may_use_listed(row: EndpointRow, state: State) -> bool:
    """Return whether statements may be sent to an endpoint that the store lists."""
    evacuation = state.evacuations.get(row.data_centre) if row.data_centre else None
    return evacuation is None or state.clock.monotonic() < evacuation.deadline
