"""Plays days on work trees with the bench of the users' platform."""

import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import frozen

PLATFORM = Path(__file__).resolve().parents[2] / "platform"
sys.path.append(str(PLATFORM))

from adapter.day_report import DayReport, read_report  # noqa: E402

TRIAL_TIMEOUT_S = 900
LOGGED_LINES = 3  # Last lines of the bench's output that tell why a trial failed.


@frozen
class Trial:
    """A day to play on a work tree."""

    tree: Path
    site: Path
    day: str
    seed: int


@frozen
class TrialFailed:
    """A day that gave no report, with the last lines of the output."""

    detail: str


@frozen
class Bench:
    """The bench and the reason for its runs, which its journal keeps."""

    program: Path
    reason: str

    def play(self, trial: Trial) -> DayReport | TrialFailed:
        """Play a day and return its report."""
        with tempfile.TemporaryDirectory() as directory:
            report = Path(directory) / "report.json"
            arguments = [
                *(str(self.program), "run", str(trial.site), trial.day),
                *("--seed", str(trial.seed), "--report", str(report)),
                *("--why", self.reason),
            ]
            try:
                done = subprocess.run(
                    arguments,
                    cwd=trial.tree,
                    capture_output=True,
                    text=True,
                    timeout=TRIAL_TIMEOUT_S,
                    check=False,
                )
            except (OSError, subprocess.TimeoutExpired) as error:
                return TrialFailed(str(error))
            try:
                return read_report(report)
            except (OSError, ValueError, KeyError, TypeError) as error:
                lines = (done.stdout + done.stderr).strip().splitlines()
                output = " / ".join(lines[-LOGGED_LINES:])
                return TrialFailed(f"{type(error).__name__}: {error}; {output}")


def play_all(
    bench: Bench, trials: list[Trial], jobs: int = (os.cpu_count() or 2) // 2
) -> list[DayReport | TrialFailed]:
    """Play trials, several at the same time; return their reports in order."""
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(bench.play, trials))
