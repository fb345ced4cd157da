"""Sends messages to listed instances, and handles the loss of a stream to one.

A message to this instance itself is handled at once, without a stream.
"""

from datetime import timedelta

from .dispatch import handle, handle_peer
from .membership import suspect
from .messages import PeerLost, PeerMessage, SendPeer
from .notices import InstanceDown, PeerUnreachable
from .tables import State


def send(instance: str, message: PeerMessage, state: State) -> bool:
    """Send a message; return False if the instance is not listed."""
    if instance == state.settings.name:
        handle_peer(message, instance, state)
        return True
    row = state.instances.get(instance)
    if row is None:
        return False
    state.outbox.append(SendPeer(instance, row.address, message))
    return True


@handle.register
def _(message: PeerLost, state: State) -> None:
    if message.refused:
        # The next answer comes from a new process, or after a partition.
        suspect(message.instance, state, timedelta(0))
        state.ended[message.instance] = state.clock.monotonic()
        state.vacancies.hasten_all()
    else:
        suspect(message.instance, state)
    handle(InstanceDown(message.instance, message.unsent), state)
    handle(PeerUnreachable(message.instance, message.unsent), state)
