"""Decides when an endpoint can be promoted without a second primary beside it.

The decision to promote is an object in the store. An instance uses a primary only
while its copy of the store is younger than the configuration lease, so the old primary
is out of use once every instance has confirmed that it stopped, once the old primary
itself refuses to begin a transaction, or at the latest when the lease of every
instance that did not confirm has ended.

In a small fleet, an instance also needs contact: a confirmation of its copy by the
store, or answers of more than half of the listed instances that know of no newer
decision, to something sent within `CONTACT_LEASE`. Once a majority knows a decision,
an instance that does not can have contact for that time only.

The call to the platform is bound by the same lease: an instance carries its decision
out only while it would know of a newer one.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen

from ..clock import CLOCK_DRIFT_FACTOR

# How long an instance uses a primary without contact: it needs the store's confirmation
# or answers from more than half of the listed instances to what it sent since then.
CONTACT_LEASE = timedelta(milliseconds=900)
# Added to the lease: the last statement sent within it may still be on its way.
IN_FLIGHT_MARGIN = timedelta(milliseconds=500)


class PrimaryFencing(StrEnum):
    """Who makes sure that a replaced primary takes no more work."""

    PLATFORM = "platform"  # The platform deposes it with the promotion.
    INSTANCES = "instances"  # The instances stop using it before the promotion.


@frozen
class PromotionDecision:
    """The decision that an endpoint becomes its group's only primary."""

    token: int
    target: str


@frozen
class PreviousDecision:
    """What a coordinator knows of the decision that it replaces."""

    decision: PromotionDecision
    holder: str  # Empty if it is unknown.
    seen_at: timedelta  # When this instance first saw it.


@frozen
class FenceProgress:
    """What is known of the work at endpoints other than the target of a decision."""

    elapsed: timedelta  # Since the store acknowledged the decision.
    unconfirmed: int  # Instances that did not confirm that they stopped.
    # Time since so many had confirmed that the others get no answers from a majority;
    # None if that is not known.
    since_majority: timedelta | None
    # The only endpoint that could be in use refused to be primary, and the decision
    # before can't be carried out any more.
    is_deposed: bool


class FenceResult(StrEnum):
    """Why no instance can use the old primary any more."""

    CONFIRMED = "confirmed"
    DEPOSED = "deposed"
    CONTACT_LOST = "contact-lost"
    LEASE_ENDED = "lease-ended"


def lease_end(lease: timedelta) -> timedelta:
    """Return how long after a decision an unaware instance may use the old primary."""
    return lease + IN_FLIGHT_MARGIN


def fence_result(progress: FenceProgress, lease: timedelta) -> FenceResult | None:
    """Return why the old primary is out of use; None if it may still be in use."""
    if not progress.unconfirmed:
        return FenceResult.CONFIRMED
    if progress.is_deposed:
        return FenceResult.DEPOSED
    contact_end = CONTACT_LEASE * CLOCK_DRIFT_FACTOR + IN_FLIGHT_MARGIN
    if progress.since_majority is not None and progress.since_majority >= contact_end:
        return FenceResult.CONTACT_LOST
    if progress.elapsed >= lease_end(lease):
        return FenceResult.LEASE_ENDED
    return None
