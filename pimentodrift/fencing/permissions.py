"""Tells which endpoint of a group an instance may use as its primary.

Before the first decision in the store, that is the endpoint that calls itself the
primary. After it, only the target of the newest decision, whatever an endpoint says of
itself. Callers check the age of the copy of the store before each statement.
"""

from .. import store_eras
from ..tables import State
from .decisions import PrimaryFencing, PromotionDecision
from .rows import FenceRow


def is_enabled(state: State) -> bool:
    """Return whether instances have to keep a replaced primary out of use."""
    return state.settings.primary_fencing == PrimaryFencing.INSTANCES


def fence_row(group: str, state: State) -> FenceRow:
    """Return the row of a group, creating it if needed."""
    row = state.fences.get(group)
    if row is None:
        row = state.fences[group] = FenceRow(group)
    return row


def stored_decision(group: str, state: State) -> PromotionDecision | None:
    """Return the decision in the copy of the store, if there is one."""
    item = state.view.objects.get(("promotion", group))
    if item is None or item.value is None:
        return None
    return PromotionDecision(int(item.value["token"]), str(item.value["target"]))


def newest_decision(group: str, state: State) -> PromotionDecision | None:
    """Return the newest known decision on a group's primary, if there is one."""
    row = state.fences.get(group)
    known = [stored_decision(group, state)]
    if row is not None:
        known += [row.told, row.followed]
    return max(filter(None, known), key=lambda item: item.token, default=None)


def lost_decision(group: str, state: State) -> PromotionDecision | None:
    """Return the newest decision if a restored store has lost it, else None."""
    if not store_eras.was_restored(state):
        return None
    if not store_eras.are_own_objects_current(state):
        return None
    newest, stored = newest_decision(group, state), stored_decision(group, state)
    return newest if newest != stored else None


def is_known_to_others(group: str, state: State) -> bool:
    """Return whether this instance is asked to stop before a primary is replaced.

    Where that matters, only listed instances are asked: where they keep a replaced
    primary out of use, or commits that wait for replicas must not be lost.
    """
    is_lossless = state.session_limits.sync_replicas.get(group, 0) > 0
    if not is_enabled(state) and not is_lossless:
        return True
    return state.settings.name in state.instances


def may_lead(group: str, endpoint: str, state: State) -> bool:
    """Return whether this instance may use an endpoint as its group's primary."""
    if not is_known_to_others(group, state):
        return False
    if not is_enabled(state):
        return True
    decision = newest_decision(group, state)
    return decision is None or decision.target == endpoint
