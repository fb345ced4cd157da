"""Prints what each part of an instance costs and how that grows (docs/slopes.md).

Run as `python -m bench.slopes`; `--only WORD` measures the sections with that word.
"""

import sys
from collections.abc import Callable

from . import (
    slopes_calls,
    slopes_core,
    slopes_shell,
    slopes_statements,
    slopes_target,
    slopes_totals,
    slopes_wire,
)
from .slopes_measure import Row

SECTIONS: dict[str, Callable[[], list[Row]]] = {
    "memory": slopes_core.memory_rows,
    "calls": slopes_calls.call_rows,
    "statements": slopes_statements.statement_rows,
    "systems": slopes_core.system_rows,
    "shell": slopes_shell.shell_rows,
    "wire": slopes_wire.wire_rows,
}
# A system below this in a tick at every size is left out of the table.
SHOWN_US = 5.0


def is_shown(row: Row) -> bool:
    """Return whether a row says something."""
    return row.unit != "us" or max(row.costs) >= SHOWN_US or not is_tick(row)


def is_tick(row: Row) -> bool:
    """Return whether a row is about a system."""
    return row.name.startswith("tick of ")


def line(row: Row) -> str:
    """Return a row of the table in Markdown."""
    costs = " | ".join(f"{cost:,.1f}" for cost in row.costs)
    sizes = ", ".join(f"{size:,}" for size in row.sizes)
    cells = f"{row.name} | {row.unit} | {row.size_of}: {sizes} | {costs}"
    slope = f"{row.slope():,.3f}"
    return f"| {cells} | {slope} | {row.shape()} | {row.growth_warning()} |"


def print_section(title: str, rows: list[Row]) -> None:
    """Print the table of a section."""
    print(f"\n### {title}\n")
    print("| cost of | unit | at sizes | small | middle | large | per unit | shape | |")
    print("|---|---|---|---|---|---|---|---|---|")
    for row in filter(is_shown, rows):
        print(line(row), flush=True)


def main(arguments: list[str]) -> None:
    """Measure and print all sections, or those with a word in their title."""
    only = arguments[1] if arguments[:1] == ["--only"] else ""
    found: list[Row] = []
    for title, measure in SECTIONS.items():
        if only in title:
            rows = measure()
            print_section(title, rows)
            found += rows
    if only in "target":
        slopes_target.print_target()
    if not only:
        slopes_totals.print_totals(found)


if __name__ == "__main__":
    main(sys.argv[1:])
