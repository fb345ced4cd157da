"""Reduces a workspace's burst gradually when its configuration lowers it.

If a new limit is far below the current load, the tokens available under the old burst
are not withdrawn at once, so that clients can adapt before requests are refused. A new
rate takes effect at once.
"""

from datetime import timedelta

from attrs import evolve

from .policies import Policy
from .rate_rows import AllocationRow
from .tables import State, WorkspaceRow
from .warmup.limits import limit_named

# Within the time in which a new configuration has to take effect on all instances.
BURST_REDUCTION_TIME = timedelta(seconds=2)


def effective_limits(row: AllocationRow, state: State) -> WorkspaceRow | None:
    """Return the workspace with the burst that its allocator may hand out now.

    None if the workspace is not in the configuration.
    """
    declared = limit_named(row.workspace, state)
    if declared is None:
        return None
    now = state.clock.monotonic()
    is_gradual = state.settings.uses(Policy.BURST_REDUCTION)
    if is_gradual and declared.burst < row.declared_burst:
        row.surplus = remaining_surplus(row, now) + row.declared_burst - declared.burst
        row.surplus_from = now
    row.declared_burst = declared.burst
    left = remaining_surplus(row, now)
    return evolve(declared, burst=declared.burst + left) if left else declared


def remaining_surplus(row: AllocationRow, now: timedelta) -> float:
    """Return how much burst (requests) remains of the reductions, decaying to 0."""
    part = (now - row.surplus_from) / BURST_REDUCTION_TIME
    return max(0.0, row.surplus * (1.0 - part))
