"""Requirement 13 on real processes: an accepted configuration comes into force.

Two publishers at once, a store that is down or slow, and a manifest that an outdated
relay serves late.
"""

import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from pimentodrift.keys import new_key
from pimentodrift.messages import StoreObject
from pimentodrift.peer_codec import PeerCodec
from pimentodrift.peer_messages import Hello, ViewUpdate

from .system_support import (
    OK,
    System,
    publish,
    running_system,
    wait_for,
    write_service_files,
)

# Workspaces of two services; both may use the group "transfers".
WORKSPACES = {"certificates": "nisantasi-resale", "inspections": "bogazici-auctions"}
RENEWED = WORKSPACES["inspections"]
OK_EXIT = 0
ROUNDS = 3
SLOW_MS = 300
LATE_SENDS = 20  # Times that the outdated manifest is sent to each instance.


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        yield result


def in_force(system: System) -> set[str]:
    """Return the publications in force at the instances."""
    return {
        system.dump(row["name"])["configuration"]["publication"]
        for row in system.summary["instances"]
    }


def wait_in_force(system: System) -> None:
    """Wait until all instances have what the store has."""
    value = system.object("manifest", "current")["value"]
    wait_for(lambda: in_force(system) == {value["publication"]})


def accepted_by_instances(system: System, key: str) -> set[bool]:
    """Return whether the instances accept a key, all answers together."""
    answers = [
        system.run(proxy, "SELECT 1", group="transfers", key=key)
        for proxy in system.proxies
    ]
    return {answer.status == OK for answer in answers}


def test_two_publishers_at_once(system: System, tmp_path: Path) -> None:
    """Guards against a publication that reports success and is lost, or half of one."""
    conflicts = 0
    # Both publishers then read the manifest before one of them changes it.
    system.set_faults(delay_ms=SLOW_MS)
    for number in range(ROUNDS):
        old = dict(system.summary["keys"])
        new = {name: new_key().text for name in WORKSPACES.values()}
        write_service_files(system, tmp_path / str(number), new)
        chosen = [tmp_path / str(number) / service for service in WORKSPACES]
        with ThreadPoolExecutor(len(chosen)) as pool:
            results = list(pool.map(lambda path: publish(system, path), chosen))
        assert OK_EXIT in {done.returncode for done in results}
        wait_in_force(system)
        for name, done in zip(new, results, strict=True):
            if done.returncode == OK_EXIT:
                system.summary["keys"][name] = new[name]
                assert accepted_by_instances(system, new[name]) == {True}, done.stdout
                assert accepted_by_instances(system, old[name]) == {False}
            else:
                conflicts += 1
                assert "conflict" in done.stderr
                assert accepted_by_instances(system, new[name]) == {False}
                assert accepted_by_instances(system, old[name]) == {True}
    system.set_faults(delay_ms=0)
    print(f"{conflicts} conflicts in {ROUNDS} rounds")


@pytest.mark.parametrize(
    "faults", [{"delay_ms": SLOW_MS}, {"down": True}, {"lose_next_answers": 1}]
)
def test_store_fails_during_a_publication(
    system: System, tmp_path: Path, faults: dict[str, Any]
) -> None:
    """Guards against a publication that is lost or reverts when the store fails."""
    name = RENEWED
    old, new = system.summary["keys"][name], new_key().text
    system.set_faults(**faults)
    with ThreadPoolExecutor(1) as pool:
        done = pool.submit(
            publish, system, *write_service_files(system, tmp_path, {name: new})
        )
        if "down" in faults:
            calls = refused_calls(system)
            wait_for(lambda: refused_calls(system) > calls + ROUNDS)
            # Nothing was accepted, and the instances go on with what is in force.
            assert accepted_by_instances(system, old) == {True}
            assert accepted_by_instances(system, new) == {False}
            system.set_faults(down=False)
        assert done.result().returncode == OK_EXIT, done.result().stderr
    system.set_faults(delay_ms=0, lose_next_answers=0)
    system.summary["keys"][name] = new
    wait_in_force(system)
    assert accepted_by_instances(system, new) == {True}
    assert accepted_by_instances(system, old) == {False}


def refused_calls(system: System) -> int:
    """Return how many calls the store has refused."""
    return int(system.call_store("GET", "/standin/calls")[1].get("unavailable", 0))


def test_older_manifest_arrives_late(system: System, tmp_path: Path) -> None:
    """Guards against a configuration that reverts to an older manifest."""
    name = RENEWED
    outdated = [stored_object(system, "manifest", "current")]
    pieces = outdated[0].value or {}
    outdated += [stored_object(system, "piece", piece) for piece in pieces["pieces"]]
    old, new = system.summary["keys"][name], new_key().text
    done = publish(system, *write_service_files(system, tmp_path, {name: new}))
    assert done.returncode == OK_EXIT, done.stderr
    system.summary["keys"][name] = new
    wait_in_force(system)
    expected = in_force(system)
    for row in system.summary["instances"]:
        others = [r for r in system.summary["instances"] if r is not row]
        for _ in range(LATE_SENDS):
            send_late(row, others[0], outdated)
    assert in_force(system) == expected
    assert accepted_by_instances(system, new) == {True}
    assert accepted_by_instances(system, old) == {False}


def stored_object(system: System, kind: str, name: str) -> StoreObject:
    """Return an object of the store as instances send it."""
    item = system.object(kind, name)
    return StoreObject(kind, name, item["version"], item["value"])


def send_late(
    target: dict[str, Any], sender: dict[str, Any], items: list[StoreObject]
) -> None:
    """Send an outdated update as another instance; wait until it was read."""
    codec = PeerCodec()
    hello = Hello(sender["name"], sender["region"], sender["data_centre"])
    update = ViewUpdate(items[0].version, 0, items=tuple(items))
    host, _, port = target["peer_address"].partition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(codec.encode(hello) + codec.encode(update))
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass
