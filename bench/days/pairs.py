"""Compares two work trees by pairs of days that are played with the same seed.

    .venv/bin/python -m bench.days.pairs --bench BENCH --site SITE.toml \\
        --before TREE --after TREE --days trouble-1,trouble-3 --seeds 1,2,3 \\
        --why "what the comparison is for"

Runs with equal seeds still differ, because processor time is measured, so a difference
counts only if its interval does not include zero.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random
from statistics import fmean

from attrs import frozen

from .trials import Bench, DayReport, Trial, TrialFailed, play_all

CONFIDENCE = 0.9
RESAMPLES = 2000


@frozen
class Pair:
    """The worth of a day on both trees."""

    day: str
    seed: int
    before: float
    after: float

    @property
    def difference(self) -> float:
        """Return what the change was worth."""
        return self.after - self.before


def bootstrap_interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the confidence interval of the mean, by resampling."""
    random = Random(1)
    means = sorted(
        fmean(random.choices(values, k=len(values))) for _ in range(RESAMPLES)
    )
    tail = round((1 - CONFIDENCE) / 2 * RESAMPLES)
    return means[tail], means[-1 - tail]


def format_row(name: str, pairs: Sequence[Pair]) -> str:
    """Return a line of the table."""
    differences = [pair.difference for pair in pairs]
    low, high = bootstrap_interval(differences)
    before = fmean(pair.before for pair in pairs)
    after = fmean(pair.after for pair in pairs)
    return (
        f"{name:18} {len(pairs):3}  {before:6.3f}  {after:6.3f}  "
        f"{fmean(differences):+.3f}  {low:+.3f} to {high:+.3f}"
    )


def format_table(pairs: Sequence[Pair]) -> str:
    """Return the table of all days."""
    lines = [
        "day                  n  before   after    mean   90% interval of the mean"
    ]
    days = list(dict.fromkeys(pair.day for pair in pairs))
    for day in days:
        lines.append(format_row(day, [pair for pair in pairs if pair.day == day]))
    if len(days) > 1:
        lines.append(format_row("all", pairs))
    return "\n".join(lines)


def describe_faults(
    trial: Trial, side: str, report: DayReport | TrialFailed
) -> list[str]:
    """Return what was wrong with a trial: a failure, or broken rules."""
    name = f"{trial.day} seed {trial.seed} {side}"
    if isinstance(report, TrialFailed):
        return [f"{name}: failed: {report.detail}"]
    return [f"{name}: broke {rule}" for rule in report.broken_rules]


def main() -> int:
    """Play the pairs; the exit status is 1 if a trial failed or broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--before", type=Path, required=True)
    parser.add_argument("--after", type=Path, required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    keys = [
        (day, int(seed))
        for day in options.days.split(",")
        for seed in options.seeds.split(",")
    ]
    # Both sides of a pair are played together, under the same load of the machine.
    trials = [
        Trial(tree, options.site, day, seed)
        for day, seed in keys
        for tree in (options.before, options.after)
    ]
    reports = play_all(Bench(options.bench, options.why), trials, options.jobs)
    pairs, faults = [], []
    for index, (day, seed) in enumerate(keys):
        before, after = reports[2 * index : 2 * index + 2]
        faults += describe_faults(trials[2 * index], "before", before)
        faults += describe_faults(trials[2 * index + 1], "after", after)
        if isinstance(before, DayReport) and isinstance(after, DayReport):
            pairs.append(Pair(day, seed, before.worth, after.worth))
    if pairs:
        print(format_table(pairs))
    print("\n".join(faults) or "no trial failed, no rule was broken")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
