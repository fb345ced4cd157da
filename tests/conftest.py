"""Deselects and prints the tests in KNOWN-RED.txt, and isolates the request path."""

from pathlib import Path
from typing import Any

import pytest

from pimentodrift import (
    core,
    membership,
    rates,
    replication,
    routing,
    view,
    work_limits,
)
from pimentodrift.dispatch import handle
from pimentodrift.notices import WriteAcknowledged

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    listed = known_red_tests()
    red = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=red)


def pytest_report_header() -> list[str]:
    return [f"known red, not run: {test}" for test in sorted(known_red_tests())]


@pytest.fixture(autouse=True)
def isolate_request_path(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Replaces store, rates and replication in the tests of the request path."""
    if not request.module.__name__.startswith("tests.test_entry"):
        return
    systems = (membership.run, routing.run, work_limits.run)
    monkeypatch.setattr(core, "SYSTEMS", systems)
    monkeypatch.setattr(view, "is_isolated", lambda _state: False)
    monkeypatch.setattr(rates, "take_token", lambda _workspace, _state: True)
    monkeypatch.setattr(replication, "await_acknowledgment", acknowledge_at_once)


def acknowledge_at_once(work: int, *arguments: Any) -> None:
    handle(WriteAcknowledged(work), arguments[-1])
