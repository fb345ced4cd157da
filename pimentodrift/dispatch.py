"""The two dispatchers of the core.

`handle` takes messages from the shell and between modules of the core, `handle_peer`
those of other instances. Each module registers handlers for the messages it handles.
"""

from functools import singledispatch

from .messages import PeerMessage, PeerReceived
from .notices import Notice
from .tables import State


@singledispatch
def handle(message: object, state: State) -> None:
    """Apply a message from the shell, or from another module of the core."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: Notice, state: State) -> None:
    """Ignore a notice for which no imported module has registered a handler."""


@singledispatch
def handle_peer(message: PeerMessage, sender: str, state: State) -> None:
    """Apply a message from another instance to the state."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: PeerReceived, state: State) -> None:
    handle_peer(message.message, message.instance, state)
