"""Deficit round robin over the workspaces that have work queued at an endpoint.

Costs are seconds of slot time: the moving average of what the workspace's reads or
writes took. The difference to the time really used is deducted from the workspace's
deficit afterwards, so that a workspace gains nothing by statements that take longer
than its average.
"""

from collections import deque
from collections.abc import Callable

from .messages import Access
from .tables import State
from .work_rows import EndpointQueue, WorkRow

INITIAL_COST = 0.005  # Seconds; used until a workspace has an average.
AVERAGE_WEIGHT = 0.1  # Weight of the newest value in the moving average.
# Caps a value of the moving average at this multiple of the average. Otherwise work
# that a frozen endpoint delayed for seconds would raise the average so far that later
# requests are refused because their expected wait is too long.
MAX_GROWTH = 4.0
MIN_AVERAGE = 0.001  # Seconds; lets an average of nearly zero grow again.
ROUNDING = 1e-9  # Seconds; tolerance when deficits and costs are compared.
MIN_SHARE = 0.001  # Bounds the number of rounds that a share of zero would need.

Eligible = Callable[[WorkRow], bool]


def average_cost(workspace: str, access: Access, state: State) -> float:
    """Return the expected slot time of a workspace's read or write, in seconds."""
    return state.costs.get((workspace, access), INITIAL_COST)


def share(workspace: str, state: State) -> float:
    """Return a workspace's share of the slot time, relative to other workspaces."""
    row = state.configuration.workspaces.get(workspace)
    return max(MIN_SHARE, row.share if row is not None else 1.0)


def enqueue(queue: EndpointQueue, work: WorkRow, state: State) -> None:
    """Append work to the queue of its workspace."""
    workspace = work.forward.workspace
    if workspace not in queue.waiting:
        queue.waiting[workspace] = deque()
        queue.rotation.append(workspace)
        queue.deficits[workspace] = 0.0
        queue.queued_cost[workspace] = 0.0
    work.expected_cost = average_cost(workspace, work.forward.access, state)
    queue.queued_cost[workspace] += work.expected_cost
    queue.waiting[workspace].append(work.work)


def remove(queue: EndpointQueue, work: WorkRow) -> None:
    """Remove work from the queue of its workspace."""
    workspace = work.forward.workspace
    waiting = queue.waiting[workspace]
    waiting.remove(work.work)
    queue.queued_cost[workspace] -= work.expected_cost
    if waiting:
        return
    del queue.waiting[workspace], queue.queued_cost[workspace]
    del queue.deficits[workspace]
    if queue.rotation[0] == workspace:
        queue.head_granted = False
    queue.rotation.remove(workspace)


def pop_next(queue: EndpointQueue, eligible: Eligible, state: State) -> WorkRow | None:
    """Remove and return the next eligible work by deficit round robin, if any."""
    heads = eligible_heads(queue, eligible, state)
    if not heads:
        return None
    quantum = round_quantum(queue, heads, state)
    while True:
        workspace = queue.rotation[0]
        work = heads.get(workspace)
        if work is not None and grant_quantum(queue, work, quantum, state):
            queue.deficits[workspace] -= work.expected_cost
            remove(queue, work)
            return work
        queue.rotation.rotate(-1)
        queue.head_granted = False


def eligible_heads(
    queue: EndpointQueue, eligible: Eligible, state: State
) -> dict[str, WorkRow]:
    """Return the first eligible work of each workspace that has any."""
    heads = {}
    for workspace, waiting in queue.waiting.items():
        rows = (state.works[number] for number in waiting)
        work = next((row for row in rows if eligible(row)), None)
        if work is not None:
            heads[workspace] = work
    return heads


def round_quantum(
    queue: EndpointQueue, heads: dict[str, WorkRow], state: State
) -> float:
    """Return the seconds per unit of share that let one head start in one round.

    The smallest such quantum keeps the turns short whatever the costs are, and bounds
    the number of rounds that a workspace with a large deficit needs.
    """
    return max(
        0.0,
        min(
            (work.expected_cost - queue.deficits[name]) / share(name, state)
            for name, work in heads.items()
        ),
    )


def grant_quantum(
    queue: EndpointQueue, work: WorkRow, quantum: float, state: State
) -> bool:
    """Give the rotation's head its quantum once; return whether its work may start."""
    workspace = work.forward.workspace
    if not queue.head_granted:
        queue.deficits[workspace] += quantum * share(workspace, state)
        queue.head_granted = True
    # Without the tolerance, rounding could make `pop_next` loop forever.
    return queue.deficits[workspace] + ROUNDING >= work.expected_cost


def record_slot_time(
    queue: EndpointQueue, work: WorkRow, used: float, state: State
) -> None:
    """Update the workspace's average and deficit by the slot time used, in seconds."""
    key = (work.forward.workspace, work.forward.access)
    average = state.costs.get(key, INITIAL_COST)
    counted = min(used, max(average, MIN_AVERAGE) * MAX_GROWTH)
    state.costs[key] = average + AVERAGE_WEIGHT * (counted - average)
    if work.forward.workspace in queue.deficits:
        queue.deficits[work.forward.workspace] -= used - work.expected_cost


def backlog(queue: EndpointQueue, workspace: str, state: State) -> float:
    """Return the slot time (seconds) queued ahead of new work of a workspace.

    The workspace waits for its own queue at its share of the slots, but never longer
    than all queued work takes.
    """
    total = sum(queue.queued_cost.values())
    shares = sum(share(name, state) for name in queue.waiting)
    own = queue.queued_cost.get(workspace, 0.0)
    return min(total, own * shares / share(workspace, state))
