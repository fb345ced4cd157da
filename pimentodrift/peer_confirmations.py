"""Lets instances without the store have their copies confirmed by neighbours.

A follower's copy is confirmed by its relay (module `view`). If the relay has lost the
store, or the instance is a relay itself, another instance with a recent copy can
confirm it as well: this instance subscribes to it as to a relay. A copy counts as
current from the time at which the subscription was sent, less the age of the other's
copy, so ages are never reduced by passing them on, and the configuration lease bounds
how long a withdrawn key is used.

In a small fleet, the configuration itself is not passed on. If it changes there,
instances without the store are not confirmed any more until they have read it.
"""

from datetime import timedelta

from . import membership, peers, view
from .clock import NEVER
from .kind_rows import MAX_RELAYED_AGE
from .tables import InstanceRow, State

# Time between two questions while the copy stays old.
ASK_INTERVAL = timedelta(milliseconds=200)
# After a pause of this process, its relay gets this time to answer first.
RELAY_ANSWER_TIME = timedelta(milliseconds=100)
# Neighbours asked at once while none is known that has the store.
ASKED_AT_ONCE = 2


def run(state: State) -> None:
    """Ask neighbours for a confirmation while the copy is older than a relay's."""
    now = state.clock.monotonic()
    own = state.view
    is_current = view.copy_age(state) <= MAX_RELAYED_AGE
    if not own.version or is_current or has_current_relay(state):
        own.peer_needed_at = None
        return
    own.peer_needed_at = now if own.peer_needed_at is None else own.peer_needed_at
    if now - own.peer_needed_at < RELAY_ANSWER_TIME:
        return
    if now - own.peer_asked_at < ASK_INTERVAL:
        return
    if own.confirmed_at <= own.peer_confirmed_at:
        own.peer = ""  # Its last answer has confirmed nothing newer.
    own.peer_asked_at, own.peer_confirmed_at = now, own.confirmed_at
    names = [own.peer] if own.peer else choose_neighbours(state)
    own.peer = names[0] if len(names) == 1 else ""
    for name in names:
        peers.send(name, view.new_subscription(state), state)
        state.counters["view.neighbours_asked"] += 1


def has_current_relay(state: State) -> bool:
    """Return whether this instance follows a relay that has the store."""
    silence = state.clock.monotonic() - state.view.relay_heard_at
    is_followed = bool(state.view.relay) and silence <= view.RELAY_TIMEOUT
    return is_followed and state.view.relay_age <= MAX_RELAYED_AGE


def choose_neighbours(state: State) -> list[str]:
    """Return instances to ask: one known to have the store, else some at random."""
    own = state.settings
    rows = [
        row
        for row in state.instances.values()
        if row.name not in (own.name, state.view.relay)
        and membership.is_instance_usable(row, state)
    ]
    known = [row.name for row in rows if has_recent_copy(row, state)]
    if known:
        return [state.random.choice(known)]
    names = [row.name for row in rows if row.last_heard == NEVER or not row.store_age]
    return state.random.sample(names, min(ASKED_AT_ONCE, len(names)))


def has_recent_copy(row: InstanceRow, state: State) -> bool:
    """Return whether an instance's last heartbeat told of a recent copy."""
    if row.store_age is None or row.last_heard == NEVER:
        return False
    silence = state.clock.monotonic() - row.last_heard
    return row.store_age + silence <= MAX_RELAYED_AGE
