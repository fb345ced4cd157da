"""Measures what policies are worth: plays days with each of them switched off.

    .venv/bin/python -m bench.days.ablation --bench BENCH --site SITE.toml \\
        --scratch DIRECTORY --days trouble-1,trouble-3 --seeds 1,2 \\
        --policies flood-refusal,session-wait --why "what the ablation is for"

The committed state of this work tree is cloned to the scratch directory, once for each
policy. The bench cannot play a tree below the temporary directory.
"""

import argparse
import subprocess
import sys
from itertools import product
from pathlib import Path

from pimentodrift.policies import Policy

from .pairs import Pair, describe_faults, format_row
from .trials import Bench, DayReport, Trial, play_all

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = Path("deploy/system.toml")
METRICS_SETTING = 'PIMENTODRIFT_METRICS_PORT = "9464"'
ALL_ON = "all"


def clone_without(policy: str, scratch: Path) -> Path:
    """Clone this work tree, and switch a policy off in the clone's deploy file."""
    tree = scratch / f"without-{policy}"
    if not tree.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(tree)], check=True)
    path = tree / DEPLOY_FILE
    text = path.read_text(encoding="utf-8")
    setting = f'PIMENTODRIFT_DISABLED_POLICIES = "{policy}"'
    if policy != ALL_ON and setting not in text:
        changed = text.replace(METRICS_SETTING, f"{METRICS_SETTING}, {setting}")
        path.write_text(changed, encoding="utf-8")
    return tree


def parse_policies(text: str) -> list[str]:
    """Return the named policies; raise ValueError for an unknown one."""
    return [Policy(name).value for name in text.split(",")]


def main() -> int:
    """Play the days; the exit status is 1 if a trial failed or broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--scratch", type=Path, required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--policies", type=parse_policies, default=sorted(Policy))
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", required=True)
    options = parser.parse_args()
    keys = list(product(options.days.split(","), map(int, options.seeds.split(","))))
    bench = Bench(options.bench, options.why)
    worth: dict[str, dict[tuple[str, int], float]] = {}
    faults: list[str] = []
    print("without              n without    with    gain   90% interval of the gain")
    for policy in (ALL_ON, *options.policies):
        tree = clone_without(policy, options.scratch)
        trials = [Trial(tree, options.site, day, seed) for day, seed in keys]
        reports = play_all(bench, trials, options.jobs)
        for trial, report in zip(trials, reports, strict=True):
            faults += describe_faults(trial, f"without {policy}", report)
        worth[policy] = {
            key: report.worth
            for key, report in zip(keys, reports, strict=True)
            if isinstance(report, DayReport)
        }
        pairs = [
            Pair(day, seed, worth[policy][day, seed], worth[ALL_ON][day, seed])
            for day, seed in keys
            if (day, seed) in worth[policy] and (day, seed) in worth[ALL_ON]
        ]
        if policy != ALL_ON and pairs:
            print(format_row(policy, pairs), flush=True)
    print("\n".join(faults) or "no trial failed, no rule was broken")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
