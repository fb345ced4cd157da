"""The system under measurement: `local` with delayed links between its regions.

A link is a stand-in process that forwards connections with a delay. The store has a
port for each region's instances, and answers there with link addresses for the
instances and endpoints of other regions. Replication always crosses regions, so the
store lists link addresses for it. Each instance and each database has its own link
process, which is killed with it, so that connections to a killed process are refused as
they are without a link. All processes write to one log file, from which the
measurements read the events.
"""

import os
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from copy import deepcopy
from datetime import timedelta
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any

import orjson
import psycopg
from attrs import define, evolve, field

from pimentodrift.children import (
    Child,
    Children,
    forward_output,
    module_command,
    own_command,
    wait_ready,
)
from pimentodrift.dump import fetch_dump
from pimentodrift.local import LocalRun
from pimentodrift.local_layout import (
    DEPLOYMENTS,
    Database,
    Instance,
    free_addresses,
    make_layout,
)
from pimentodrift.operator_files import Piece, Service, canonical_json, make_piece
from pimentodrift.publishing import Publisher
from pimentodrift.store_api import StoreApi

from .measures_processes import LoggedChildren, MeasureFailed, cpu_time, post_json

# One-way delay between regions, from docs/design.md, section 2.
LINK_DELAYS = {
    "kanitli": timedelta(milliseconds=20),
    "heredia": timedelta(milliseconds=8),
}
REPLICA_LAG = timedelta(milliseconds=100)
# The platform's list of instances shows the end of an instance only after some time.
LIST_UPDATE_DELAY_S = 1.0
EVENT_PREFIX = "pimentodrift:"

Edit = Callable[[str, dict[str, Any]], None]


@define
class System(LocalRun):
    """A local run with links, with the queries and faults that measurements need."""

    log_path: Path = Path()
    store_ports: dict[str, str] = field(factory=dict)  # The store's address by region.
    # By database: the address at which it listens for replicas; the store lists the
    # address of a link to it.
    replication_ports: dict[str, str] = field(factory=dict)
    # By instance or database: (link address, target address) of each of its links.
    link_pairs: dict[str, list[tuple[str, str]]] = field(factory=dict)
    links: dict[str, Child] = field(factory=dict)  # By instance or database.
    pieces: list[Piece] = field(factory=list)  # One for each service, with its keys.

    @property
    def delay_ms(self) -> float:
        """Return the one-way delay between regions in milliseconds."""
        delay = LINK_DELAYS[self.layout.deployment.name]
        return delay / timedelta(milliseconds=1)

    # --- Start

    def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        self.platform = self.start_store()
        wait_ready([self.platform])
        links = self.start_links()
        wait_ready(links)
        primaries = [row for row in self.layout.databases if row.is_primary]
        replicas = [row for row in self.layout.databases if not row.is_primary]
        first = [self.start_database(row) for row in primaries]
        wait_ready(first)
        following = [self.start_database(row) for row in replicas]
        wait_ready(following)
        self.fill_store()
        for instance in self.layout.instances:
            self.instances[instance.name] = self.start_instance(instance)
        forward_output([self.platform, *links, *first, *following])
        self.wait_for_instances()

    def start_store(self) -> Child:
        """Start the store with a port for operators and one for each region."""
        arguments = ["--listen", self.layout.platform]
        for region, address in self.store_ports.items():
            arguments += ["--listen", f"{region}={address}"]
        command = module_command("standins.platform_server", arguments)
        return self.children.start("platform", command, prints_ready=True)

    def start_links(self) -> list[Child]:
        """Start the link processes, and tell the store the links' addresses.

        Each instance and database has one process, with a link from each other region.
        """
        layout = self.layout
        targets = {row.name: (row.region, row.address) for row in layout.databases}
        for instance in layout.instances:
            targets[instance.name] = (instance.region, instance.peer_address)
        regions = list(self.store_ports)
        free = iter(unused_addresses(len(targets) * (len(regions) - 1), self))
        rewrites: dict[str, dict[str, str]] = {region: {} for region in regions}
        for name, (own_region, address) in targets.items():
            link_addresses = {
                region: next(free) for region in regions if region != own_region
            }
            for region, link in link_addresses.items():
                rewrites[region][address] = link
            self.link_pairs[name] = [
                (link, address) for link in link_addresses.values()
            ]
        for database in layout.databases:
            pair = (database.replication, self.replication_ports[database.name])
            self.link_pairs[database.name].append(pair)
        post_json(layout.platform, "/standin/rewrites", rewrites)
        return [self.start_link(name) for name in self.link_pairs]

    def start_link(self, name: str) -> Child:
        """Start the link process in front of an instance or a database."""
        arguments = ["--delay-ms", str(self.delay_ms)]
        for link, address in self.link_pairs[name]:
            arguments += ["--pair", f"{link}={address}"]
        command = module_command("standins.link", arguments)
        child = self.children.start(f"link-{name}", command, prints_ready=True)
        self.links[name] = child
        return child

    def start_database(self, row: Database) -> Child:
        """Start a database that listens for replicas behind its link."""
        own = evolve(row, replication=self.replication_ports[row.name])
        return LocalRun.start_database(self, own)

    def start_instance(self, instance: Instance) -> Child:
        """Start an instance that reads the store through its region's port."""
        options = {
            "--name": instance.name,
            "--region": instance.region,
            "--data-centre": instance.data_centre,
            "--listen": instance.address,
            "--peer-listen": instance.peer_address,
            "--platform": f"http://{self.store_ports[instance.region]}",
        }
        arguments = [part for option in options.items() for part in option]
        command = own_command(["proxy", *arguments])
        return self.children.start(instance.name, command, prints_ready=False)

    def with_fresh_keys(self, service: Service) -> Service:
        """Give a service fresh keys and keep it for later publications."""
        keyed = LocalRun.with_fresh_keys(self, service)
        self.pieces.append(make_piece(keyed))
        return keyed

    # --- Configuration

    @property
    def store(self) -> StoreApi:
        """Return a client of the store at the operators' port."""
        return StoreApi(self.platform_url)

    @property
    def proxies(self) -> list[str]:
        """Return the instances' base URLs."""
        return [row.url for row in self.layout.instances]

    @property
    def groups(self) -> list[str]:
        """Return the names of the groups."""
        return list(self.layout.deployment.groups)

    def workspaces(self) -> dict[str, dict[str, Any]]:
        """Return each workspace as the example files declare it."""
        return {
            name: value
            for piece in self.pieces
            for name, value in piece.value["workspaces"].items()
        }

    def publish(self, edit: Edit) -> str:
        """Publish all workspaces, changed by `edit`; return the publication's id.

        Raises MeasureFailed if the publication fails.
        """
        publisher = Publisher(self.store)
        published = publisher.publish(tuple(map(piece_editor(edit), self.pieces)))
        if published.is_error():
            raise MeasureFailed(str(published.error))
        return publisher.publication

    def publish_and_wait(self, edit: Edit) -> None:
        """Publish workspaces with access to all groups; wait until all instances apply.

        No workspace allows stale reads, so that checks of the data are exact.
        """

        def for_all_groups(name: str, value: dict[str, Any]) -> None:
            value["groups"] = sorted(self.groups)
            value["stale_reads"] = {}
            edit(name, value)

        publication = self.publish(for_all_groups)
        self.wait_until_applied(publication)

    def wait_until_applied(self, publication: str, within_s: float = 20) -> list[float]:
        """Wait until all instances have applied a publication.

        Returns the wall-clock time of each; raises MeasureFailed after `within_s`.
        """
        deadline = monotonic() + within_s
        while monotonic() < deadline:
            found = {
                event["instance"]: event["timestamp"]
                for event in self.events("configuration_applied")
                if event["publication"] == publication
            }
            if len(found) >= len(self.layout.instances):
                return list(found.values())
            sleep(0.02)
        raise MeasureFailed(f"{publication} not applied everywhere in {within_s} s")

    # --- Observation

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the logged events with these names, oldest first."""
        wanted = {EVENT_PREFIX + name for name in names}
        return [
            event for event in self.logged_events() if event["message_type"] in wanted
        ]

    def logged_events(self) -> Iterator[dict[str, Any]]:
        """Yield the events of the log; skip other lines and an incomplete last line."""
        for line in self.log_path.read_bytes().splitlines():
            if line.startswith(b"{") and line.endswith(b"}"):
                event = orjson.loads(line)
                if "message_type" in event:
                    yield event

    def instance(self, name: str) -> Instance:
        """Return the layout's row of an instance."""
        return next(row for row in self.layout.instances if row.name == name)

    def database(self, name: str) -> Database:
        """Return the layout's row of a database."""
        return next(row for row in self.layout.databases if row.name == name)

    def counters(self, name: str) -> dict[str, int]:
        """Return the counters from an instance's dump."""
        counters: dict[str, int] = fetch_dump(self.instance(name).peer_address)[
            "counters"
        ]
        return counters

    def counter_sums(self, *names: str) -> dict[str, int]:
        """Return the sums of some counters over all instances."""
        found = [self.counters(row.name) for row in self.layout.instances]
        return {name: sum(row.get(name, 0) for row in found) for name in names}

    def cpu_seconds(self) -> dict[str, float]:
        """Return the CPU time that each instance has used, in seconds."""
        return {name: cpu_time(child.pid) for name, child in self.instances.items()}

    def read_object(self, kind: str, name: str) -> dict[str, Any]:
        """Return the value of an object of the store; raise MeasureFailed if absent."""
        answer = self.store.get(kind, name)
        item = answer.default_value(None)
        if item is None or item.value is None:
            raise MeasureFailed(f"the store has no {kind} {name}")
        return dict(item.value)

    def primary(self, group: str) -> str:
        """Return the name of a group's primary, as the store has it."""
        return str(self.read_object("group", group)["primary"])

    # --- Faults

    def query(self, database: str, statement: str) -> list[tuple[Any, ...]]:
        """Run a statement on a database directly, not through an instance."""
        host, _, port = self.database(database).address.rpartition(":")
        with psycopg.connect(
            host=host, port=int(port), user="bench", dbname="bench", autocommit=True
        ) as connection:
            return connection.execute(statement).fetchall()

    def set_service_time(self, milliseconds: int) -> None:
        """Set the time for which a statement holds a slot, at all databases."""
        for row in self.layout.databases:
            self.query(row.name, f"SELECT standin_set('service_ms', {milliseconds})")

    def kill_database(self, name: str) -> None:
        """Kill a database and its link, which would otherwise accept connections."""
        self.kill_child(self.databases[name])
        self.kill_child(self.links[name])

    def kill_instance(self, name: str) -> None:
        """Kill an instance and its link, which would otherwise accept connections.

        `mark_leaving` changes the platform's list later.
        """
        self.kill_child(self.instances[name])
        self.kill_child(self.links[name])

    def kill_child(self, child: Child) -> None:
        """Kill a child process that this run started, and wait for its end."""
        os.kill(child.pid, signal.SIGKILL)
        child.process.wait()
        self.children.running.remove(child)

    def restart_database(self, name: str, primary: str) -> list[Child]:
        """Start a killed database, with no data, as a replica of the present primary.

        Returns the processes of link and database.
        """
        group = self.database(name).group
        rows = tuple(
            evolve(row, is_primary=row.name == primary) if row.group == group else row
            for row in self.layout.databases
        )
        self.layout = evolve(self.layout, databases=rows)
        return [self.start_link(name), self.start_database(self.database(name))]


def piece_editor(edit: Edit) -> Callable[[Piece], Piece]:
    """Return a function that returns an edited copy of a piece."""

    def apply(piece: Piece) -> Piece:
        value = deepcopy(piece.value)
        for name, workspace in value["workspaces"].items():
            edit(name, workspace)
        content = canonical_json(value)
        return Piece(piece.service, sha256(content).hexdigest(), value, len(content))

    return apply


def unused_addresses(number: int, system: System) -> list[str]:
    """Return addresses with free ports that the system's layout does not use."""
    used = {system.layout.platform, *system.store_ports.values()}
    used.update(system.replication_ports.values())
    for row in system.layout.databases:
        used.update((row.address, row.replication))
    for instance in system.layout.instances:
        used.update((instance.address, instance.peer_address))
    while True:
        found = free_addresses(number)
        if not used.intersection(found):
            return found


def make_system(deployment: str, children: Children, log_path: Path) -> System:
    """Return a system that is not started, with addresses for its links."""
    layout = make_layout(evolve(DEPLOYMENTS[deployment], replication_lag=REPLICA_LAG))
    system = System(layout, children, log_path=log_path)
    regions = layout.deployment.regions
    numbers = len(regions) + len(layout.databases)
    free = iter(unused_addresses(numbers, system))
    system.store_ports = {region: next(free) for region in regions}
    system.replication_ports = {row.name: row.replication for row in layout.databases}
    rows = tuple(evolve(row, replication=next(free)) for row in layout.databases)
    system.layout = evolve(layout, databases=rows)
    return system


@contextmanager
def running_system(deployment: str) -> Iterator[System]:
    """Start a deployment with links; kill its processes at the end."""
    with (
        TemporaryDirectory(prefix="pimentodrift-bench-") as directory,
        (Path(directory) / "log").open("ab") as log,
    ):
        children = LoggedChildren(log=log, directory=directory)
        system = make_system(deployment, children, Path(directory) / "log")
        try:
            system.start()
            yield system
        finally:
            system.children.kill()
