"""Rows of the fencing of old primaries."""

from datetime import timedelta

from attrs import define, field

from ..clock import NEVER
from .decisions import PreviousDecision, PromotionDecision


@define
class FenceRow:
    """What an instance knows and has done about the decisions on a group's primary."""

    group: str
    # The newest decision that another instance told of; the store may have a newer one.
    told: PromotionDecision | None = None
    # The newest decision that this instance follows, and since when.
    followed: PromotionDecision | None = None
    followed_at: timedelta = NEVER
    stopped_token: int = 0  # No work is left at other endpoints than its target.
    asker: str = ""  # The instance to confirm it to, if any.


@define
class CoordinationRow:
    """A decision of this instance that waits until the old primary is out of use."""

    group: str
    decision: PromotionDecision
    version: int  # Of the object in the store that has the decision.
    started_at: timedelta
    # The decision before, which its holder may not have carried out yet.
    previous: PreviousDecision | None = None
    # The endpoint whose deposition suffices; empty if others may be in use as well.
    only_primary: str = ""
    confirmed: set[str] = field(factory=set)  # Instances that stopped.
    # Since when the others get no answers from a majority; None if they may.
    majority_at: timedelta | None = None
    requested_at: timedelta = NEVER
    demoted_at: timedelta = NEVER  # When the old primary was last told to step down.
    deposed: set[str] = field(factory=set)  # Endpoints that refused to be primary.
