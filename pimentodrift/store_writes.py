"""Sends conditional updates to the store and reports their outcomes to the callers.

A caller passes a purpose, whose type selects the function that receives the outcome.
Answers carry the current object, which enters the view at once. Where the outcome stays
unclear, the view shows later whether the update took effect, or a retry of it ends in a
conflict.
"""

from enum import StrEnum
from functools import singledispatch
from typing import Any

from . import store_eras, view
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
from .store_versions import era_of
from .tables import State


class StoreOutcome(StrEnum):
    """How a conditional update ended; unclear if it had no usable answer."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNCLEAR = "unclear"


@singledispatch
def write_ended(purpose: object, outcome: StoreOutcome, state: State) -> None:
    """Receive the outcome of a conditional update."""
    raise TypeError(f"no handler for {type(purpose).__name__}")


def writable_object(kind: str, name: str, state: State) -> StoreObject:
    """Return the known object to replace, or one that stands for its creation."""
    known = state.view.objects.get((kind, name))
    if known is None or known.value is None:
        return StoreObject(kind, name, 0, None)
    return known


def write_object(
    item: StoreObject, value: dict[str, Any], purpose: object, state: State
) -> None:
    """Write an object's value if its version is still that of `item` (0: create it)."""
    if is_of_earlier_era(item, state):
        write_ended(purpose, StoreOutcome.UNCLEAR, state)
        return
    call = state.new_number()
    state.store_writes[call] = StoreWrite(call, item.kind, item.name, purpose)
    state.outbox.append(WriteStore(call, item.kind, item.name, item.version, value))
    state.counters["store.writes"] += 1


def delete_object(item: StoreObject, purpose: object, state: State) -> None:
    """Delete an object if its version is still that of `item`."""
    if is_of_earlier_era(item, state):
        write_ended(purpose, StoreOutcome.UNCLEAR, state)
        return
    call = state.new_number()
    state.store_writes[call] = StoreWrite(call, item.kind, item.name, purpose)
    state.outbox.append(DeleteStore(call, item.kind, item.name, item.version))
    state.counters["store.deletes"] += 1


def is_of_earlier_era(item: StoreObject, state: State) -> bool:
    """Return whether an object's version may by now be that of another change.

    A restored store gives out its revisions again.
    """
    return item.version != 0 and era_of(item.version) < state.view.era


def complete_write(call: int, outcome: StoreOutcome, state: State) -> bool:
    """Report the outcome of an update; return False if the call is unknown."""
    row = state.store_writes.pop(call, None)
    if row is None:
        return False
    state.counters[f"store.{outcome}"] += 1
    write_ended(row.purpose, outcome, state)
    return True


@handle.register
def _(message: StoreWritten, state: State) -> None:
    if not store_eras.observe_version(message.item.version, state):
        # The store was restored since, perhaps from a copy without the update.
        complete_write(message.call, StoreOutcome.UNCLEAR, state)
        return
    view.apply((message.item,), state)
    complete_write(message.call, StoreOutcome.WRITTEN, state)


@handle.register
def _(message: StoreConflict, state: State) -> None:
    item = message.item
    if item is not None and store_eras.observe_version(item.version, state):
        view.apply((item,), state)
    complete_write(message.call, StoreOutcome.CONFLICT, state)


@handle.register
def _(message: StoreFailed, state: State) -> None:
    if message.call == 0:
        view.handle_watch_failure(state)
        return
    complete_write(message.call, StoreOutcome.UNCLEAR, state)
