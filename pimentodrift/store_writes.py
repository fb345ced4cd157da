"""Sends conditional updates to the store and hands their answers to the writers.

A writer passes a purpose whose type selects the function that receives the outcome.
Answers carry the current object, which enters the view at once; an unclear answer is
resolved by the view or by the conflict that a repeated update meets.
"""

from enum import StrEnum
from functools import singledispatch
from typing import Any

from . import view
from .dispatch import handle
from .failover_rows import StoreWrite
from .messages import (
    DeleteStore,
    StoreConflict,
    StoreFailed,
    StoreObject,
    StoreWritten,
    WriteStore,
)
from .tables import State


class StoreOutcome(StrEnum):
    """What is known about a conditional update."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNCLEAR = "unclear"


@singledispatch
def write_ended(purpose: object, outcome: StoreOutcome, state: State) -> None:
    """Receive the outcome of a conditional update."""
    raise TypeError(f"no handler for {type(purpose).__name__}")


def write(
    item: StoreObject, value: dict[str, Any], purpose: object, state: State
) -> None:
    """Write an object's value if its version is still that of `item` (0: create)."""
    call = state.new_number()
    state.store_writes[call] = StoreWrite(call, item.kind, item.name, purpose)
    state.outbox.append(WriteStore(call, item.kind, item.name, item.version, value))
    state.counters["store.writes"] += 1


def delete(item: StoreObject, purpose: object, state: State) -> None:
    """Delete an object if its version is still that of `item`."""
    call = state.new_number()
    state.store_writes[call] = StoreWrite(call, item.kind, item.name, purpose)
    state.outbox.append(DeleteStore(call, item.kind, item.name, item.version))
    state.counters["store.deletes"] += 1


def end(call: int, outcome: StoreOutcome, state: State) -> bool:
    """Hand over the outcome of a write; return False if the call is another's."""
    row = state.store_writes.pop(call, None)
    if row is None:
        return False
    state.counters[f"store.{outcome}"] += 1
    write_ended(row.purpose, outcome, state)
    return True


@handle.register
def _(message: StoreWritten, state: State) -> None:
    view.apply((message.item,), state)
    end(message.call, StoreOutcome.WRITTEN, state)


@handle.register
def _(message: StoreConflict, state: State) -> None:
    if message.item is not None:
        view.apply((message.item,), state)
    end(message.call, StoreOutcome.CONFLICT, state)


@handle.register
def _(message: StoreFailed, state: State) -> None:
    if message.call == 0:
        view.handle_watch_failure(state)
        return
    end(message.call, StoreOutcome.UNCLEAR, state)
