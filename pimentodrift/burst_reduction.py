"""Takes a lowered burst back gradually.

Answers a limit that falls far below what the clients send: the tokens that they were
granted under the old burst are not taken away at once, so the load can adapt before
requests are refused. The rate itself is in force at once.
"""

from datetime import timedelta

from attrs import evolve

from .rate_rows import AllocationRow
from .tables import State, WorkspaceRow

# Within the time in which a configuration has to be in force everywhere.
EASING_TIME = timedelta(seconds=2)


def limits_of(row: AllocationRow, state: State) -> WorkspaceRow | None:
    """Return the workspace with the burst that its allocator may hand out now."""
    declared = state.configuration.workspaces.get(row.workspace)
    if declared is None:
        return None
    now = state.clock.monotonic()
    if declared.burst < row.declared_burst:
        row.surplus = surplus(row, now) + row.declared_burst - declared.burst
        row.surplus_from = now
    row.declared_burst = declared.burst
    left = surplus(row, now)
    return evolve(declared, burst=declared.burst + left) if left else declared


def surplus(row: AllocationRow, now: timedelta) -> float:
    """Return what is left of the bursts that were lowered."""
    part = (now - row.surplus_from) / EASING_TIME
    return max(0.0, row.surplus * (1.0 - part))
