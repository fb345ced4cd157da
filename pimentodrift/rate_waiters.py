"""Dispatches the end of a wait for a rate token by the type of what waited.

The modules that queue requests and operations with `rates` register their handlers.
"""

from functools import singledispatch

from .dispatch import handle
from .errors import Failure
from .notices import Admitted, Refused
from .tables import State


@singledispatch
def on_admitted(row: object, state: State) -> None:
    """Continue a request or operation that got a token."""
    raise TypeError(f"no handler for {type(row).__name__}")


@singledispatch
def on_refused(row: object, failure: Failure, state: State) -> None:
    """End a request or operation that was refused."""
    raise TypeError(f"no handler for {type(row).__name__}")


@handle.register
def _(message: Admitted, state: State) -> None:
    row = state.pending.get(message.request) or state.operations.get(message.request)
    if row is not None:
        on_admitted(row, state)


@handle.register
def _(message: Refused, state: State) -> None:
    row = state.pending.get(message.request) or state.operations.get(message.request)
    if row is not None:
        on_refused(row, message.failure, state)
