"""The operators' commands for evacuations."""

from typing import Any

import pytest

from pimentodrift.evacuation.commands import (
    collect_dumps,
    report_lines,
    request,
    status_by_data_centre,
)
from pimentodrift.evacuation.tracking import OWN_KIND, is_evacuation
from pimentodrift.messages import StoreObject
from pimentodrift.store_api import StoreUnavailable

from .test_operators_publishing import FakeStore

DUMPS: dict[str, dict[str, Any]] = {
    "a:1": {
        "instances": {name: {"address": f"{name}:1"} for name in ("a", "b", "c", "d")},
        "evacuations": {"z1": {"done_at": 4.0}},
    },
    "b:1": {"evacuations": {"z1": {"done_at": None}}},
    "c:1": {"evacuations": {}},
}


def fetch(address: str) -> dict[str, Any]:
    if address not in DUMPS:
        raise ConnectionRefusedError("refused")
    return DUMPS[address]


def test_status_names_who_is_not_done() -> None:
    """Guards against an evacuation that looks done while an instance is not."""
    lines = list(report_lines(status_by_data_centre(collect_dumps("a:1", fetch))))
    assert lines == [
        "z1: 1 of 4 instances are done",
        "  a: done",
        "  b: has connections there or its primaries",
        "  c: does not know of it",
        "  d: no dump: refused",
    ]


@pytest.mark.parametrize("other_writes", [True, False])
def test_evacuate_and_restore(other_writes: bool) -> None:
    """Guards against a request that overwrites or loses that of another operator."""
    store = FakeStore()
    if other_writes:
        item = StoreObject(OWN_KIND, "z1", 7, {"state": "restored"})
        store.objects[OWN_KIND, "z1"] = item
    for is_wanted in (True, False):
        assert request("z1", is_wanted, store).ok is True  # type: ignore[arg-type]
        assert request("z1", is_wanted, store).ok is False  # type: ignore[arg-type]
        assert is_evacuation(store.objects[OWN_KIND, "z1"]) is is_wanted


def test_store_that_is_down() -> None:
    """Guards against a request that seems to have been written."""
    result = request("z1", True, FakeStore(reads_fail=True))  # type: ignore[arg-type]
    assert isinstance(result.error, StoreUnavailable)
