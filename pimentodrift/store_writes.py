"""Conditional updates of the store and the way back to whoever asked for them.

The asker passes a purpose, a value of its own type, and registers how that type
reacts to the result with `finished.register`.
"""

from functools import singledispatch
from typing import Any

from . import view
from .dispatch import handle
from .messages import StoreConflict, StoreFailed, StoreWritten, WriteStore
from .tables import State

WriteResult = StoreWritten | StoreConflict | StoreFailed


def write(
    purpose: object,
    kind: str,
    name: str,
    version: int,
    value: dict[str, Any],
    state: State,
) -> int:
    """Write an object if its version is still `version`; return the call's number."""
    call = state.number()
    state.store_calls[call] = purpose
    state.outbox.append(WriteStore(call, kind, name, version, value))
    state.counters["store.writes"] += 1
    return call


@singledispatch
def finished(purpose: object, result: WriteResult, state: State) -> None:
    """React to the end of a write; after `StoreFailed` it may have taken effect."""
    raise TypeError(f"no reaction for {type(purpose).__name__}")


@handle.register
def _(message: StoreWritten, state: State) -> None:
    view.apply([message.item], state)
    purpose = state.store_calls.pop(message.call, None)
    if purpose is not None:
        finished(purpose, message, state)


@handle.register
def _(message: StoreConflict, state: State) -> None:
    state.counters["store.conflicts"] += 1
    if message.item is not None:
        view.apply([message.item], state)
    purpose = state.store_calls.pop(message.call, None)
    if purpose is not None:
        finished(purpose, message, state)


@handle.register
def _(message: StoreFailed, state: State) -> None:
    if message.call == 0:
        view.watch_failed(message, state)
        return
    state.counters["store.write_failures"] += 1
    purpose = state.store_calls.pop(message.call, None)
    if purpose is not None:
        finished(purpose, message, state)
