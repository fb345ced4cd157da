"""Marks the tests that KNOWN-RED.txt lists and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> set[str]:
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    listed = known_red()
    red = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=red)


def pytest_report_header() -> list[str]:
    return [f"known red, not run: {test}" for test in sorted(known_red())]
