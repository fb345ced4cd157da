"""The two dispatchers of the core; each module registers its messages' handlers."""

from functools import singledispatch

from .messages import PeerMessage, PeerReceived
from .notices import Notice
from .tables import State


@singledispatch
def handle(message: object, state: State) -> None:
    """Apply a message from the shell to the state."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: Notice, state: State) -> None:
    """Do nothing; no system of this assembly needs to know."""


@singledispatch
def handle_peer(message: PeerMessage, sender: str, state: State) -> None:
    """Apply a message of another instance to the state."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: PeerReceived, state: State) -> None:
    handle_peer(message.message, message.instance, state)
