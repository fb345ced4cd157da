"""The local run: instances read its layout, and its child processes are stopped."""

import subprocess
import sys
from datetime import timedelta
from itertools import count
from pathlib import Path
from random import Random

import pytest

from pimentodrift import local_layout, membership
from pimentodrift.children import ChildFailed, Children, forward_output, wait_ready
from pimentodrift.local_layout import (
    DEPLOYMENTS,
    first_ephemeral_port,
    free_addresses,
    make_layout,
    platform_objects,
    reserve_block,
)
from pimentodrift.messages import StoreObject

from .support import make_state

SLEEP = "import time; time.sleep(1000)"
READY = f"print('starting\\nready', flush=True); {SLEEP}"
IGNORES_SIGTERM = (
    f"import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); {READY}"
)


def test_ports_that_no_outgoing_connection_takes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a port that is taken between its choice and its use."""
    path = tmp_path / "range"
    path.write_text("20000\t60999\n")
    monkeypatch.setattr(local_layout, "EPHEMERAL_PORTS", path)
    ports = [int(item.rpartition(":")[2]) for item in free_addresses(40)]
    assert len(set(ports)) == 40
    assert all(port < 20_000 for port in ports)


def test_reserved_ports_are_given_out_once() -> None:
    """Guards against two runs that choose the same ports before either uses them."""
    seed = next(seed for seed in count() if reserve_block(Random(seed)))
    # In another process, the same random numbers lead to the same block.
    code = (
        "from random import Random\n"
        "from pimentodrift.local_layout import reserve_block\n"
        f"print(reserve_block(Random({seed})))"
    )
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


@pytest.mark.parametrize("text", [None, "", "none of them"])
def test_unknown_range_of_outgoing_connections(
    text: str | None, tmp_path: Path
) -> None:
    """Guards against a local run that needs the range to be readable."""
    path = tmp_path / "range"
    if text is not None:
        path.write_text(text)
    assert first_ephemeral_port(path) == 32_768


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_instances_read_the_objects_of_the_layout(name: str) -> None:
    """Guards against objects that do not match the processes that run."""
    layout = make_layout(DEPLOYMENTS[name])
    state = make_state()
    for version, (kind, object_name, value) in enumerate(platform_objects(layout), 1):
        membership.apply(StoreObject(kind, object_name, version, value), state)
    primaries = [state.endpoints[row.primary] for row in state.groups.values()]
    assert len(state.instances) == 6
    assert [row.group for row in primaries] == list(layout.deployment.groups)
    assert {row.region for row in primaries} == set(layout.deployment.regions)
    for row in layout.databases:
        assert state.endpoints[row.name].address == row.address
        assert state.endpoints[row.name].slots == layout.deployment.slots
    for group in layout.deployment.groups:
        endpoints = membership.group_endpoints(group, state)
        assert {row.region for row in endpoints} == set(layout.deployment.regions)


def test_addresses_of_a_layout_differ() -> None:
    """Guards against two processes that listen on the same port."""
    layout = make_layout(DEPLOYMENTS["kanitli"])
    addresses = [layout.platform]
    for database in layout.databases:
        addresses += [database.address, database.replication]
    for instance in layout.instances:
        addresses += [instance.address, instance.peer_address]
    assert len(set(addresses)) == len(addresses) == 1 + 18 + 12


def test_children_are_terminated_or_killed() -> None:
    """Guards against stand-ins that outlive the command that started them."""
    children = Children()
    started = [
        children.start(name, [sys.executable, "-c", code], prints_ready=True)
        for name, code in (("usual", READY), ("stubborn", IGNORES_SIGTERM))
    ]
    try:
        wait_ready(started)
        forward_output(started)
    finally:
        children.stop(children.running, timedelta(milliseconds=500))
    assert children.running == []
    assert [child.process.poll() for child in started] == [-15, -9]


def test_a_child_that_exits_before_it_is_ready_is_an_error() -> None:
    """Guards against waiting for a stand-in that has failed."""
    children = Children()
    command = [sys.executable, "-c", "raise SystemExit(3)"]
    child = children.start("failing", command, prints_ready=True)
    with pytest.raises(ChildFailed, match="failing ended with status 3"):
        wait_ready([child])
