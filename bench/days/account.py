"""Prints where a played day lost its worth, from the bench's report and output.

    .venv/bin/python -m bench.days.account REPORT.json OUTPUT.log

OUTPUT is what the run of the day printed with the logs of all instances.
"""

import argparse
import sys
from collections import Counter
from pathlib import Path

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
sys.path.append(str(PLATFORM))

from adapter.day_report import DayReport, read_log, read_report  # noqa: E402

from .losses import (  # noqa: E402
    NO_INSTANCE,
    UNKNOWN,
    DayLog,
    day_losses,
    read_day_log,
    window_losses,
)

WORST_WINDOWS = 2  # Windows that count as the day's worst.
LARGEST_CAUSES = 3
LARGE_LOSS = 0.05  # Windows that lost more are listed.
SMALL_LOSS = 0.0005  # Causes that lost less are left out.


def part_losses(report: DayReport, log: DayLog) -> dict[str, Counter[str]]:
    """Return for each part of the goal the worth that it lost, by cause.

    A part that is no window of time is attributed like the whole day.
    """
    day = day_losses(report.windows, log)
    eligible = [window for window in report.windows if window.owed]
    result = {}
    for part in report.parts:
        lost = part.weight * (1.0 - part.value)
        causes = day
        if "window" in part.name:
            worst = sorted(eligible, key=lambda window: window.earned)[:WORST_WINDOWS]
            causes = sum((window_losses(row, log) for row in worst), Counter())
        total = causes.total() or 1.0
        result[part.name] = Counter(
            {cause: lost * amount / total for cause, amount in causes.items()}
        )
    return result


def total_losses(report: DayReport, log: DayLog) -> Counter[str]:
    """Return the worth that the day lost, by cause; prices are causes as well."""
    result: Counter[str] = Counter()
    for causes in part_losses(report, log).values():
        result += causes
    for price in report.prices:
        if price.worth > 0:
            result[f"price: {price.name}"] += price.worth
    return result


def ceiling(report: DayReport, losses: Counter[str]) -> float:
    """Return the worth that the day could earn at most."""
    fixed = sum(price.worth for price in report.prices if price.is_fixed)
    return 1.0 - fixed - losses[NO_INSTANCE]


def format_account(report: DayReport, log: DayLog) -> str:
    """Return the account as a text."""
    losses = total_losses(report, log)
    known = losses.total() - losses[UNKNOWN]
    lines = [
        f"worth {report.worth:.3f} of {ceiling(report, losses):.3f} that can be earned",
        f"attributed {known / losses.total():.0%} of {losses.total():.3f} lost",
    ]
    lines += [
        f"  {amount:6.3f}  {cause}"
        for cause, amount in losses.most_common()
        if amount >= SMALL_LOSS
    ]
    lines.append("windows")
    for window in report.windows:
        if window.owed and 1.0 - window.earned > LARGE_LOSS:
            causes = window_losses(window, log).most_common(LARGEST_CAUSES)
            text = ", ".join(f"{cause} {amount:.2f}" for cause, amount in causes)
            lines.append(
                f"  {window.name:>4} s  owed {window.owed:4}, "
                f"earned {window.earned:.2f}; {text}"
            )
    lines.append("kinds")
    lines += [
        f"  {kind.name}: earned {kind.earned:.3f}, late {kind.late}, "
        f"refused {kind.refused}, failed {kind.failed}"
        for kind in report.kinds
    ]
    lines.append("refusals by workspace (as logged)")
    lines += [
        f"  {count:5}  {workspace or 'no session'}"
        for workspace, count in log.by_workspace.most_common()
    ]
    lines.append("disturbances")
    lines += [
        f"  {item.start_s:5.1f} to {item.end_s:5.1f} s  {item.kind}  {item.target}"
        for item in report.disturbances
    ]
    return "\n".join(lines)


def main() -> int:
    """Print the account of a day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=Path)
    parser.add_argument("output", type=Path)
    options = parser.parse_args()
    report = read_report(options.report)
    unreadable: list[str] = []
    log = read_day_log(read_log(options.output, unreadable))
    print(format_account(report, log))
    if unreadable:
        print(f"{len(unreadable)} lines of the log could not be read", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
