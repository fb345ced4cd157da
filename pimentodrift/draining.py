"""Performs the graceful shutdown of an instance.

The instance announces that it leaves, so that ownership moves to other instances. It
finishes the work that it has accepted, lets others take its ledgers over, and exits
when it is idle or the stop times out.
"""

from datetime import timedelta

from . import membership, peers
from .dispatch import handle, handle_peer
from .heartbeats import broadcast_targets
from .ledger_handover import are_ledgers_needed
from .messages import ExitProcess, StopRequested
from .peer_messages import Leaving
from .tables import Presence, State

# The load balancer checks /readyz about once a second.
MIN_STOP_TIME = timedelta(seconds=1)


@handle.register
def _(message: StopRequested, state: State) -> None:
    if state.stopping:
        return
    names = broadcast_targets(state)
    state.stopping = True
    state.stop_requested_at = state.clock.monotonic()
    state.events.append(("stop_requested", {"pending": len(state.pending)}))
    mark_leaving(state.settings.name, state)
    for name in sorted(names):
        peers.send(name, Leaving(state.settings.name), state)


@handle_peer.register
def _(message: Leaving, sender: str, state: State) -> None:
    # A peer may announce only its own leaving, so the name in the message is ignored.
    mark_leaving(sender, state)


def mark_leaving(name: str, state: State) -> None:
    """Mark an instance as leaving, so that it gets no new work."""
    row = state.instances.get(name)
    if row is not None and row.presence is not Presence.LEAVING:
        row.presence = Presence.LEAVING
        row.left_at = state.clock.monotonic()
        # Its next process may never need this instance, so it is pinged.
        membership.track_contact(name, state)
        state.events.append(("instance_leaving", {"peer": name}))


def is_idle(state: State) -> bool:
    """Return whether the instance has nothing left to finish."""
    return not (
        state.pending
        or state.works
        or state.transactions
        or any(state.waiting_writes.values())
    )


def run(state: State) -> None:
    """Exit the process when its shutdown is complete or has timed out."""
    if state.stop_requested_at is None or state.exit_sent:
        return
    waited = state.clock.monotonic() - state.stop_requested_at
    timeout = waited >= state.settings.stop_timeout
    is_done = is_idle(state) and not are_ledgers_needed(state)
    if timeout or (waited >= MIN_STOP_TIME and is_done):
        state.exit_sent = True
        state.counters["draining.timeouts"] += int(timeout)
        state.events.append(("stop_complete", {"timeout": timeout}))
        state.outbox.append(ExitProcess())
