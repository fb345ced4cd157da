"""Tells whether this instance has enough contact to use a group's primary.

`decisions` says why. Contact costs no call to the store: it comes with the heartbeats,
whose answers carry the newest known decisions. While the store is out of reach, the
other instances give contact, and while most of them are down, the store does.
"""

from .. import kind_rows, view
from ..failover_rows import ContactRow
from ..peer_messages import KnownDecision, Pong
from ..tables import State
from .decisions import CONTACT_LEASE
from .permissions import is_enabled, may_lead, newest_decision


def known_decisions(state: State) -> tuple[KnownDecision, ...] | None:
    """Return the newest known decision of each group; None if there may be others."""
    if not is_enabled(state) or not kind_rows.is_own_kind_listed(state):
        return None
    groups = {name for kind, name in state.view.objects if kind == "promotion"}
    found = (
        (group, newest_decision(group, state)) for group in groups | set(state.fences)
    )
    return tuple(
        KnownDecision(group, decision.token)
        for group, decision in found
        if decision is not None
    )


def record_answer(row: ContactRow, message: Pong) -> None:
    """Record what a contact knew after the ping that it answers had been sent."""
    sent_at = row.pings_sent.pop(message.number, None)
    if sent_at is None or message.decisions is None or sent_at < row.attested_at:
        return
    row.attested_at = sent_at
    row.decisions = {item.group: item.token for item in message.decisions}


def may_use_primary(group: str, endpoint: str, state: State) -> bool:
    """Return whether this instance may send work to an endpoint as the primary now."""
    if not may_lead(group, endpoint, state):
        return False
    return not needs_contact(state) or has_contact(group, state)


def needs_contact(state: State) -> bool:
    """Return whether the use of a primary depends on contact.

    In a larger fleet, an instance exchanges heartbeats only with some others. Builds
    without this limit can't give contact, so it begins when all have been updated.
    """
    if not is_enabled(state) or len(state.instances) > view.SMALL_FLEET:
        return False
    return all(row.contact_lease is not None for row in state.instances.values())


def has_contact(group: str, state: State) -> bool:
    """Return whether this instance would know of a decision that a majority knows."""
    if view.copy_age(state) <= CONTACT_LEASE:
        return True
    now = state.clock.monotonic()
    decision = newest_decision(group, state)
    known = decision.token if decision is not None else 0
    count = 1 + sum(
        name in state.instances
        and now - row.attested_at <= CONTACT_LEASE
        and row.decisions.get(group, 0) <= known
        for name, row in state.contacts.items()
    )
    return count * 2 > len(state.instances)
