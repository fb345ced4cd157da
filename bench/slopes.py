"""Prints the CPU time, memory and bytes of parts of an instance, and their growth.

Run as `python -m bench.slopes`; `--only WORD` measures only the sections with that word
in their title. docs/slopes.md discusses the results.
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
# A system whose tick costs less than this at every size is left out of the table.
MIN_SHOWN_US = 5.0


def is_shown(row: Row) -> bool:
    """Return whether the table shows a row: all but cheap ticks."""
    return row.unit != "us" or max(row.costs) >= MIN_SHOWN_US or not is_tick(row)


def is_tick(row: Row) -> bool:
    """Return whether a row is the cost of one system's tick."""
    return row.name.startswith("tick of ")


def markdown_row(row: Row) -> str:
    """Return a row of the table in Markdown."""
    costs = " | ".join(f"{cost:,.1f}" for cost in row.costs)
    sizes = ", ".join(f"{size:,}" for size in row.sizes)
    cells = f"{row.name} | {row.unit} | {row.size_of}: {sizes} | {costs}"
    slope = f"{row.slope():,.3f}"
    return f"| {cells} | {slope} | {row.shape()} | {row.growth_warning()} |"


def print_section(title: str, rows: list[Row]) -> None:
    """Print a section as a table in Markdown."""
    print(f"\n### {title}\n")
    print("| cost of | unit | at sizes | small | middle | large | per unit | shape | |")
    print("|---|---|---|---|---|---|---|---|---|")
    for row in filter(is_shown, rows):
        print(markdown_row(row), flush=True)


def main(arguments: list[str]) -> None:
    """Measure and print all sections, or those whose title contains a word.

    The extrapolation to the target scale needs the rows of all sections.
    """
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
