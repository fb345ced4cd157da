"""Ends what depended on a lost instance, at the entry and at the owner."""

from ..dispatch import handle
from ..notices import PeerUnreachable
from ..tables import State
from . import forwarding, serving


@handle.register
def _(message: PeerUnreachable, state: State) -> None:
    serving.release_entry(message.instance, state)
    forwarding.lose_owner(message.instance, message.unsent, state)
