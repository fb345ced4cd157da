"""The account of a played day, and the comparison of two work trees."""

import json
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from attrs import frozen

from bench.days import ablation, pairs
from bench.days.losses import NO_INSTANCE, UNKNOWN, read_day_log, window_losses
from bench.days.trials import Bench, Trial, TrialFailed

ROOT = Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from adapter.day_report import Outcomes, read_log, read_report  # noqa: E402


@frozen
class Line:
    at_s: float
    event: str
    instance: str = "a"
    fields: dict[str, Any] = {}  # noqa: RUF012


def refusal(at_s: float, detail: str, fault: str = "overloaded") -> Line:
    return Line(at_s, "statement_refused", fields={"detail": detail, "fault": fault})


def window(**changes: Any) -> Outcomes:
    values = {"requests": 100, "late": 0, "refused": 0, "failed": 0, "not_owed": 0}
    return Outcomes(name="4", **(values | changes))


def test_losses_follow_the_refusals_of_the_window() -> None:
    """Guards against an account that names causes of other times."""
    lines = [refusal(1.0, "early"), refusal(4.5, "rate"), refusal(5.0, "queue")]
    losses = window_losses(window(refused=40, earned=0.6), read_day_log(lines))
    assert losses == pytest.approx({"rate": 0.2, "queue": 0.2})


def test_loss_without_a_logged_cause_is_not_attributed() -> None:
    """Guards against an account that explains what it cannot know."""
    losses = window_losses(window(refused=40, earned=0.6), read_day_log([]))
    assert losses == pytest.approx({UNKNOWN: 0.4})


def test_refusals_that_the_configuration_demands_are_no_cause() -> None:
    """Guards against losses attributed to requests that were not owed an answer."""
    lines = [
        refusal(4.5, "the key is unknown or withdrawn", "key-invalid"),
        refusal(4.6, "rate"),
    ]
    losses = window_losses(window(refused=40, earned=0.6), read_day_log(lines))
    assert losses == pytest.approx({"rate": 0.4})


def test_time_without_instances_is_a_cause() -> None:
    """Guards against decisions that are blamed for a loss of power."""
    lines = [
        Line(4.0, "statement_answered"),
        Line(5.0, "started"),
        refusal(5.5, "rate"),
    ]
    losses = window_losses(window(refused=80, earned=0.2), read_day_log(lines))
    assert losses == pytest.approx({NO_INSTANCE: 0.4, "rate": 0.4})


def test_endpoints_do_not_divide_a_cause() -> None:
    """Guards against a cause that is listed once for each endpoint."""
    lines = [
        refusal(4.1, "no connection to i-0af3"),
        refusal(4.2, "no connection to i-1"),
    ]
    losses = window_losses(window(refused=10, earned=0.9), read_day_log(lines))
    assert losses == pytest.approx({"no connection to the endpoint": 0.1})


def test_report_and_log_are_read(tmp_path: Path) -> None:
    """Guards against a change of the bench's words that goes unnoticed."""
    counts = {
        "n": 10,
        "late": 1,
        "refused": 2,
        "failed": 3,
        "not_owed": 4,
        "worth": 0.5,
    }
    report = {
        "G": 0.4,
        "parts": [["whole day", 0.6, 0.9]],
        "prices": [["machine-seconds", 400.0, 0.08], ["cloud calls", 9.0, 0.01]],
        "windows": [{"name": "0", **counts}],
        "classes": [{"name": "orders", **counts}],
        "events": [{"at_s": 3.0, "to_s": 5.0, "kind": "herd_kill", "what": "all"}],
        "breaks": {"STALE": 1},
    }
    path = tmp_path / "report.json"
    path.write_text(json.dumps(report))
    day = read_report(path)
    assert day.worth == 0.4
    assert day.windows[0].owed == 6
    assert [price.is_fixed for price in day.prices] == [True, False]
    assert day.disturbances[0].end_s == 5.0
    assert day.broken_rules == ("STALE",)
    output = tmp_path / "output.log"
    output.write_text(
        "built in 1 s\n"
        '  -1.5000 front-1 {"message_type":"pimentodrift:started","listen":"x"}\n'
        "   2.0000 front-1 {cut off}\n"
    )
    unreadable: list[str] = []
    (line,) = read_log(output, unreadable)
    assert len(unreadable) == 1
    assert (line.at_s, line.instance, line.event) == (-1.5, "front-1", "started")


def test_interval_of_equal_differences_is_a_point() -> None:
    """Guards against an interval that hides a difference of every pair."""
    assert pairs.bootstrap_interval([0.1, 0.1, 0.1]) == pytest.approx((0.1, 0.1))


def test_interval_holds_zero_for_differences_of_both_signs() -> None:
    """Guards against noise that is reported as a gain."""
    low, high = pairs.bootstrap_interval([0.05, -0.04, 0.02, -0.03, 0.01])
    assert low < 0 < high


def test_table_has_a_row_for_each_day_and_for_all() -> None:
    """Guards against a mean that hides the day on which a change loses."""
    rows = [pairs.Pair("d1", 1, 0.5, 0.6), pairs.Pair("d2", 1, 0.5, 0.4)]
    lines = pairs.format_table(rows).splitlines()
    assert [line.split()[0] for line in lines] == ["day", "d1", "d2", "all"]
    assert "+0.100" in lines[1]
    assert "-0.100" in lines[2]


def test_ablation_switches_one_policy_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an ablation that measures the same code twice."""

    def clone(arguments: list[str], **_: Any) -> None:
        path = Path(arguments[-1]) / ablation.DEPLOY_FILE
        path.parent.mkdir(parents=True)
        path.write_text((ROOT / ablation.DEPLOY_FILE).read_text())

    monkeypatch.setattr(ablation.subprocess, "run", clone)
    for _ in range(2):
        tree = ablation.clone_without("session-wait", tmp_path)
        deployed = tomllib.loads((tree / ablation.DEPLOY_FILE).read_text())
        environment = deployed["roles"]["proxy"]["env"]
        assert environment["PIMENTODRIFT_DISABLED_POLICIES"] == "session-wait"
    whole = ablation.clone_without(ablation.ALL_ON, tmp_path)
    assert "DISABLED" not in (whole / ablation.DEPLOY_FILE).read_text()


def test_ablation_refuses_an_unknown_policy() -> None:
    """Guards against a misspelt name that switches nothing off."""
    with pytest.raises(ValueError, match="no-such-policy"):
        ablation.parse_policies("session-wait,no-such-policy")


def test_trial_without_a_report_fails(tmp_path: Path) -> None:
    """Guards against a comparison that ends with a traceback at its first fault."""
    trial = Trial(tmp_path, tmp_path / "site.toml", "quiet-1", 1)
    missing = Bench(tmp_path / "no-bench", "why").play(trial)
    assert isinstance(missing, TrialFailed) and "no-bench" in missing.detail
    silent = Bench(Path("/bin/true"), "why").play(trial)
    assert isinstance(silent, TrialFailed) and "report.json" in silent.detail
