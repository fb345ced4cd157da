"""Measures one idle instance at the target scale, for `bench.slopes`.

The instance's view has all instances, databases and workspaces of the target, and its
messages are not answered. The result checks the extrapolation of the costs of ticks and
tables in `slopes_totals`.
"""

from time import process_time

from pimentodrift.tables import State

from . import slopes_states as states
from .slopes_core import TICK_S, run_systems, tick_costs
from .slopes_measure import MICROSECOND, measure_allocation
from .slopes_totals import DATABASES, INSTANCES, MB, PIECES, WORKSPACES

# Probes examine all groups for their watchers once in 4 s, and the first time costs
# more.
WARM_UP_TICKS = 300
MIN_SHOWN_SHARE = 0.001  # Part of a core; systems below it are left out of the table.


def make_target_state() -> State:
    """Return the state of an instance at the target scale."""
    return states.make_filled_state(
        INSTANCES, DATABASES, WORKSPACES, PIECES, max_local=DATABASES
    )


def print_target() -> None:
    """Print the memory of the tables, and the CPU time of each system's tick."""
    state, size = measure_allocation(make_target_state)
    began = process_time()
    run_systems(state, {})
    first_s = process_time() - began
    for _ in range(WARM_UP_TICKS):
        run_systems(state, {})
    costs = tick_costs(state)
    costs["all systems"] = sum(costs.values())
    print("\n### target, measured\n")
    print(f"Tables: {size / MB:.1f} MB. First tick: {first_s:.2f} s.\n")
    print("| system | us a tick | % of a core |\n|---|---|---|")
    for name, cost in costs.items():
        share = cost * MICROSECOND / TICK_S
        if share >= MIN_SHOWN_SHARE:
            print(f"| {name} | {cost:,.1f} | {100 * share:.2f} |", flush=True)
