"""Settings and the command line: sources, limits, messages and exit statuses."""

from pathlib import Path

import pytest
from attrs import NOTHING, fields

from pimentodrift import cli
from pimentodrift.settings import (
    Settings,
    allowed,
    environment_variable,
    flag,
    format_value,
)
from pimentodrift.settings_sources import load

REQUIRED = {
    "name": "proxy-1",
    "region": "r1",
    "data_centre": "r1-1",
    "listen": "127.0.0.1:7000",
    "peer_listen": "[::1]:7001",
    "platform": "http://127.0.0.1:8500",
}

INVALID = [
    ("name", "a b"),
    ("name", ""),
    ("listen", "localhost:7000"),
    ("listen", "127.0.0.1:70000"),
    ("listen", "999.0.0.1:7000"),
    ("platform", "https://127.0.0.1:8500"),
    ("platform", "http://:8500"),
    ("platform", "http://127.0.0.1:port"),
    ("statsd", "127.0.0.1"),
    ("request_timeout", "10"),
    ("request_timeout", "99ms"),
    ("request_timeout", "6m"),
    ("request_timeout", "9" * 400 + "m"),
    ("max_connections", "0"),
    ("max_connections", "60001"),
    ("max_connections", "many"),
    ("max_connections", "-1"),
    ("max_body_bytes", "1_024"),
]


@pytest.mark.parametrize(("name", "value"), INVALID)
@pytest.mark.parametrize("by_flag", [True, False])
def test_invalid_settings_end_with_status_2(
    name: str,
    value: str,
    by_flag: bool,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against an instance that starts with an invalid setting."""
    arguments = ["proxy"]
    for other, text in REQUIRED.items():
        if other != name:
            arguments.append(f"{flag(other)}={text}")
    if by_flag:
        arguments += [flag(name), value]
    else:
        monkeypatch.setenv(environment_variable(name), value)
    assert cli.run(arguments) == cli.EXIT_USAGE
    source = flag(name) if by_flag else environment_variable(name)
    (message,) = capsys.readouterr().err.splitlines()
    assert f"setting {name}: invalid value {value!r} in {source}; allowed: " in message


def test_all_problems_are_reported_at_once() -> None:
    """Guards against reporting only one problem at each start of an instance."""
    problems = load({"max_connections": "0"}, {}).error
    assert {problem.name for problem in problems} == {*REQUIRED, "max_connections"}


def test_flags_precede_variables_and_variables_precede_defaults() -> None:
    """Guards against an unclear precedence of the sources of a setting."""
    environment = {
        environment_variable(name): value for name, value in REQUIRED.items()
    }
    environment |= {
        environment_variable("stop_timeout"): "1.5s",
        environment_variable("name"): "other",
    }
    settings = load({"name": "proxy-1"}, environment).ok
    assert settings.name == "proxy-1"
    assert settings.stop_timeout.total_seconds() == 1.5
    assert settings.max_connections == fields(Settings).max_connections.default


def test_every_setting_is_a_flag(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a setting without a flag or an environment variable."""
    assert cli.run(["proxy", "--help"]) == cli.EXIT_OK
    text = "".join(capsys.readouterr().out.split())
    for attribute in fields(Settings):
        assert flag(attribute.name) in text
        assert environment_variable(attribute.name) in text


def test_statuses_of_commands(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a failed command that exits with the status of a success."""
    (tmp_path / "a.yaml").write_text("workspaces: {w: {rate: 0}}")
    directory = str(tmp_path)
    closed = "http://127.0.0.1:1"
    for arguments, status in (
        (["--version"], cli.EXIT_OK),
        (["new-key"], cli.EXIT_OK),
        (["check", directory], cli.EXIT_FAILED),
        (["publish", directory, "--platform", closed], cli.EXIT_FAILED),
        (["publish", directory, "--platform", "ftp://x"], cli.EXIT_USAGE),
        (["publish", "--platform", closed], cli.EXIT_USAGE),
        (["check"], cli.EXIT_USAGE),
        (["check", directory, "--bogus"], cli.EXIT_USAGE),
        (["bogus"], cli.EXIT_USAGE),
        ([], cli.EXIT_USAGE),
    ):
        assert cli.run(arguments) == status, arguments
    assert "a.yaml:1: invalid-rate" in capsys.readouterr().out


def test_completion_is_generated(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a broken shell completion."""
    monkeypatch.setenv("SHELL", "/bin/bash")
    assert cli.run(["--completion", "generate"]) == cli.EXIT_OK
    assert "pimentodrift" in capsys.readouterr().out


def test_the_page_lists_every_setting() -> None:
    """Guards against a settings table in the documentation that is out of date."""
    page = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
    rows = [line for line in page.read_text().splitlines() if line.startswith("| `--")]
    for attribute, row in zip(fields(Settings), rows, strict=True):
        default = "required" if attribute.default is NOTHING else attribute.default
        text = format_value(default) if default != "" else "empty"
        assert (
            f"`{flag(attribute.name)}` | `{environment_variable(attribute.name)}`"
            in row
        )
        assert f"| {allowed(attribute)} |" in row
        assert row.rstrip("| ").strip("`").endswith(text)
