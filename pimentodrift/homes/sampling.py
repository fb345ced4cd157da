"""Learns the log position of a primary to which a limited read must not be sent.

A replica read needs a recent position of the primary, which usually comes with the
answers to statements there. Where a limit keeps a workspace away from the primary, an
empty read-write transaction gets it. That carries no text and no values, and runs on a
connection of a workspace that the primary's region is allowed to serve.
"""

from datetime import timedelta

from .. import leadership, pools, registry
from ..fencing import contact
from ..operation_completion import send_steps
from ..session_messages import BeginWork, EndWork, Fault, Refusal
from ..session_rows import OperationRow, PoolRow, RegistryRow, Stage
from ..tables import State
from ..warmup import statements
from . import limits
from .decisions import is_allowed

# As long as any statement waits for its transaction to begin (`operation_steps`).
SAMPLE_TIMEOUT = timedelta(milliseconds=500)


def unallowed_primary(operation: OperationRow, state: State) -> RegistryRow | None:
    """Return the primary whose position a read lacks and must not ask for itself."""
    if operation.minimum is not None:
        return None
    primary = leadership.primary(operation.route.group, state)
    if primary is None or limits.allows_endpoint(operation, primary, state):
        return None
    return primary


def request_sample(operation: OperationRow, state: State) -> Refusal | None:
    """Ask for the position that a held read lacks; return a refusal if none can be."""
    primary = unallowed_primary(operation, state)
    if primary is None:
        return None
    if not sampling_workspaces(primary, state):
        state.counters["homes.refused"] += 1
        detail = (
            f"no workspace may ask the primary {primary.name}, in another region, "
            "for the position that this read needs"
        )
        return Refusal(Fault.OVERLOADED, detail, limits.RETRY_AFTER)
    sample_primary(primary, state)
    return None


def sampling_workspaces(primary: RegistryRow, state: State) -> list[str]:
    """Return the workspaces that a primary's region may serve."""
    region = limits.region_of(primary.entry.data_centre, state)
    return [
        name
        for name, row in state.configuration.workspaces.items()
        if not row.regions or is_allowed(region, row.regions)
    ]


def sample_primary(primary: RegistryRow, state: State) -> None:
    """Ask a primary for its position, if it may be asked and is not being asked."""
    workspaces = sampling_workspaces(primary, state)
    if workspaces and is_usable(primary, state):
        sample(state.pools[primary.name], workspaces, state)


def is_usable(primary: RegistryRow, state: State) -> bool:
    """Return whether a primary may be asked now."""
    pool = state.pools[primary.name]
    return (
        registry.accepts_work(primary, True, state)
        and contact.may_use_primary(primary.entry.group, primary.name, state)
        and pools.is_available(pool, state)
    )


def sample(pool: PoolRow, workspaces: list[str], state: State) -> None:
    """Run an empty transaction on an idle connection, or open one for it."""
    now = state.clock.monotonic()
    rows = [state.pooled[number] for number in pool.connections]
    rows = [row for row in rows if row.workspace in workspaces]
    for row in rows:
        is_sample = row.steps and not (row.operation or row.session)
        if is_sample and now - row.steps[0][1] > SAMPLE_TIMEOUT:
            pools.close_connection(row, state)
        elif is_sample or not row.is_open:
            return  # Its answer gives the position; one that opens is used next.
    idle = next((row for row in rows if pools.is_idle(row) and not row.steps), None)
    if idle is not None:
        if not statements.spend(idle, state):
            return  # The primary has just started; the read goes on waiting.
        idle.needs_primary = True
        idle.releasing = True
        state.counters["homes.samples"] += 1
        send_steps(idle, [BeginWork(), EndWork()], state)
    elif pools.make_room(pool, state):
        pools.open_connection(workspaces[0], pool, state)


def run(state: State) -> None:
    """Go on to ask for the positions that held reads lack."""
    for operation in list(state.operations.values()):
        if operation.stage is Stage.HELD:
            request_sample(operation, state)
