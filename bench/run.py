"""Measures both deployments against the stated targets (`make bench`).

Each measure runs on a new system with delayed links. The table shows measure, bound,
figure and verdict; the exit status is 1 if a bound is missed or a measure failed.
"""

import argparse
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from time import monotonic
from types import FrameType
from typing import Any, NoReturn

import orjson
from attrs import frozen

from . import (
    measures_failover,
    measures_fairness,
    measures_hop,
    measures_publication,
    measures_share,
)
from .bounds import Figure
from .measures_processes import MeasureFailed
from .measures_system import LINK_DELAYS, System, running_system

JSON_OPTIONS = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS
# Time limits in seconds of one measure and of all measures of a deployment, so that a
# run ends by itself.
MEASURE_TIMEOUT_S = 170
DEPLOYMENT_TIMEOUT_S = 355

Measure = Callable[[System, bool], list[Figure]]

MEASURES: dict[str, Measure] = {
    "share": measures_share.measure,
    "failover": measures_failover.measure,
    "rates": measures_fairness.measure_rates,
    "slots": measures_fairness.measure_slots,
    "publication": measures_publication.measure,
    "hops": measures_hop.measure_hops,
    "connections": measures_hop.measure_connections,
}


@frozen
class Row:
    """A line of the results' table."""

    deployment: str
    measure: str
    figure: Figure | None  # None if the measure failed.
    failure: str = ""

    @property
    def verdict(self) -> str:
        """Return "ok" or "MISSED" for the bound, "-" without one, or "FAILED"."""
        if self.figure is None:
            return "FAILED"
        if self.figure.bound is None:
            return "-"
        return "ok" if self.figure.holds else "MISSED"

    def as_text(self) -> str:
        """Return the line as text."""
        if self.figure is None:
            return f"{self.measure:12} {self.failure}  {self.verdict}"
        figure = self.figure
        bound = str(figure.bound or "")
        value = f"{round(figure.value, 3):g} {figure.unit}"
        line = f"{self.measure:12} {figure.name:54} {bound:>8} {value:>14}"
        return f"{line}  {self.verdict:6} {figure.note}".rstrip()

    def as_json(self) -> dict[str, Any]:
        """Return the line, with the figure's details, as values for JSON."""
        row: dict[str, Any] = {
            "deployment": self.deployment,
            "measure": self.measure,
            "verdict": self.verdict,
        }
        if self.figure is None:
            return {**row, "failure": self.failure}
        figure = self.figure
        return {
            **row,
            "name": figure.name,
            "value": figure.value,
            "unit": figure.unit,
            "bound": str(figure.bound) if figure.bound else None,
            "note": figure.note,
            "details": figure.details,
        }


def handle_alarm(number: int, frame: FrameType | None) -> NoReturn:
    """Raise MeasureFailed: the alarm signal tells that the time limit has passed."""
    raise MeasureFailed("not done within the time limit")


def run_measure(deployment: str, name: str, quick: bool, limit_s: float) -> list[Row]:
    """Run one measure on a new system; return its figures, or a row with the failure.

    The measure fails if it takes longer than `limit_s`.
    """
    signal.alarm(max(1, int(limit_s)))
    try:
        with running_system(deployment) as system:
            figures = MEASURES[name](system, quick)
            signal.alarm(0)
    except Exception as error:
        # The other measures run although this one failed.
        traceback.print_exc()
        failure = f"{type(error).__name__}: {error}"
        return [Row(deployment, name, None, failure)]
    finally:
        signal.alarm(0)
    return [Row(deployment, name, figure) for figure in figures]


def parse_arguments(texts: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Measure against the targets.")
    parser.add_argument(
        "--deployment", action="append", choices=sorted(LINK_DELAYS), default=[]
    )
    parser.add_argument("--only", action="append", choices=sorted(MEASURES), default=[])
    parser.add_argument("--quick", action="store_true", help="fewer repetitions")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write a report")
    return parser.parse_args(texts)


def main() -> int:
    """Run the measures and return the exit status."""
    arguments = parse_arguments()
    signal.signal(signal.SIGALRM, handle_alarm)
    rows: list[Row] = []
    for deployment in arguments.deployment or list(LINK_DELAYS):
        started = monotonic()
        print(f"== {deployment}", flush=True)
        for name in arguments.only or list(MEASURES):
            left_s = started + DEPLOYMENT_TIMEOUT_S - monotonic()
            limit_s = min(MEASURE_TIMEOUT_S, left_s)
            found = run_measure(deployment, name, arguments.quick, limit_s)
            for row in found:
                print(row.as_text(), flush=True)
            rows += found
        print(f"== {deployment}: {monotonic() - started:.0f} s", flush=True)
    if arguments.json:
        report = [row.as_json() for row in rows]
        arguments.json.write_bytes(orjson.dumps(report, option=JSON_OPTIONS))
    failed = [row for row in rows if row.verdict in ("MISSED", "FAILED")]
    print(f"{len(failed)} of {len(rows)} figures missed their bound or failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
