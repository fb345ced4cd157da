"""Requirement 13 on real processes: an accepted configuration comes into force.

The tests cover two publishers at the same time, a store that is down or slow, and a
relay that sends a stale manifest.
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
RENEWED_WORKSPACE = WORKSPACES["inspections"]
EXIT_OK = 0
ROUNDS = 3
SLOW_MS = 300
LATE_SENDS = 20  # How often the stale manifest is sent to each instance.


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        yield result


def publication_by_instance(system: System) -> dict[str, str]:
    """Return the publication that is in force at each instance."""
    return {
        row["name"]: system.dump(row["name"])["configuration"]["publication"]
        for row in system.summary["instances"]
    }


def publications_in_force(system: System) -> set[str]:
    """Return the publications that are in force at the instances."""
    return set(publication_by_instance(system).values())


def wait_for_publication(system: System) -> None:
    """Wait until the store's publication is in force at all instances."""
    value = system.object("manifest", "current")["value"]
    try:
        wait_for(lambda: publications_in_force(system) == {value["publication"]})
    except AssertionError as error:
        stored = system.object("manifest", "current")
        found = publication_by_instance(system)
        log = system.log.read_text()
        raise AssertionError(f"{value} != {found}; stored: {stored}; {log}") from error


def accepted_by_instances(system: System, key: str) -> set[bool]:
    """Ask each instance whether it accepts a key; return the distinct results."""
    answers = [
        system.run(proxy, "SELECT 1", group="transfers", key=key)
        for proxy in system.proxies
    ]
    return {answer.status == OK for answer in answers}


def test_two_publishers_at_once(system: System, tmp_path: Path) -> None:
    """Guards against a publication that is lost or partly applied despite success."""
    conflicts = 0
    # The delay makes both publishers read the manifest before one of them changes it.
    system.set_faults(delay_ms=SLOW_MS)
    for number in range(ROUNDS):
        old = dict(system.summary["keys"])
        new = {name: new_key().text for name in WORKSPACES.values()}
        write_service_files(system, tmp_path / str(number), new)
        chosen = [tmp_path / str(number) / service for service in WORKSPACES]
        with ThreadPoolExecutor(len(chosen)) as pool:
            results = list(pool.map(lambda path: publish(system, path), chosen))
        assert EXIT_OK in {done.returncode for done in results}
        wait_for_publication(system)
        for name, done in zip(new, results, strict=True):
            if done.returncode == EXIT_OK:
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
def test_publication_succeeds_despite_store_faults(
    system: System, tmp_path: Path, faults: dict[str, Any]
) -> None:
    """Guards against a publication that is lost or reverted when the store fails."""
    name = RENEWED_WORKSPACE
    old, new = system.summary["keys"][name], new_key().text
    system.set_faults(**faults)
    with ThreadPoolExecutor(1) as pool:
        done = pool.submit(
            publish, system, *write_service_files(system, tmp_path, {name: new})
        )
        if "down" in faults:
            calls = refused_calls(system)
            wait_for(lambda: refused_calls(system) > calls + ROUNDS)
            # The publication was not accepted; the previous one stays in force.
            assert accepted_by_instances(system, old) == {True}
            assert accepted_by_instances(system, new) == {False}
            system.set_faults(down=False)
        assert done.result().returncode == EXIT_OK, done.result().stderr
    system.set_faults(delay_ms=0, lose_next_answers=0)
    system.summary["keys"][name] = new
    wait_for_publication(system)
    assert accepted_by_instances(system, new) == {True}
    assert accepted_by_instances(system, old) == {False}


def refused_calls(system: System) -> int:
    """Return how many calls the store has refused while down."""
    return int(system.call_store("GET", "/standin/calls")[1].get("unavailable", 0))


def test_older_manifest_that_arrives_late_is_ignored(
    system: System, tmp_path: Path
) -> None:
    """Guards against a configuration that is replaced by an older manifest."""
    name = RENEWED_WORKSPACE
    outdated = [stored_object(system, "manifest", "current")]
    pieces = outdated[0].value or {}
    outdated += [stored_object(system, "piece", piece) for piece in pieces["pieces"]]
    old, new = system.summary["keys"][name], new_key().text
    done = publish(system, *write_service_files(system, tmp_path, {name: new}))
    assert done.returncode == EXIT_OK, done.stderr
    system.summary["keys"][name] = new
    wait_for_publication(system)
    expected = publications_in_force(system)
    for row in system.summary["instances"]:
        others = [r for r in system.summary["instances"] if r is not row]
        for _ in range(LATE_SENDS):
            send_stale_update(row, others[0], outdated)
    assert publications_in_force(system) == expected
    assert accepted_by_instances(system, new) == {True}
    assert accepted_by_instances(system, old) == {False}


def stored_object(system: System, kind: str, name: str) -> StoreObject:
    """Return an object of the store as instances send it."""
    item = system.object(kind, name)
    return StoreObject(kind, name, item["version"], item["value"])


def send_stale_update(
    target: dict[str, Any], sender: dict[str, Any], items: list[StoreObject]
) -> None:
    """Send a stale update in another instance's name; wait until it has been read."""
    codec = PeerCodec()
    hello = Hello(sender["name"], sender["region"], sender["data_centre"])
    update = ViewUpdate(items[0].version, 0, items=tuple(items))
    host, _, port = target["peer_address"].partition(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(codec.encode(hello) + codec.encode(update))
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass
