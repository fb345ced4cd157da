"""Layouts of the `local` command: two deployments on loopback addresses.

Each has three regions of two data centres with one instance each, and three groups of
three databases, one database in each region. Each group has its primary in another
region.
"""

import socket
from collections.abc import Iterator
from contextlib import suppress
from datetime import timedelta
from itertools import count
from pathlib import Path
from random import Random, SystemRandom

from attrs import field, frozen

LOOPBACK = "127.0.0.1"
INSTANCES_PER_REGION = 2
FIRST_TERM = 1
# The kernel's range of ports for outgoing connections: its first and last one.
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768
FIRST_PORT = 10_000  # Well-known services mostly listen below it.
MIN_PORT_COUNT = 5_000
BLOCK_SIZE = 50  # Ports that a process reserves together.
block_guards: list[socket.socket] = []  # Sockets that reserve blocks.


@frozen
class Deployment:
    """A deployment's regions and groups, with its databases' limits and delays."""

    name: str
    regions: tuple[str, str, str]
    groups: tuple[str, str, str]
    slots: int
    connections: int
    connect_time: timedelta
    service_time: timedelta
    replication_lag: timedelta


# Slots, connections and connection times are the less favourable ends of the ranges in
# docs/design.md, section 2; the lag is the one-way delay between regions.
DEPLOYMENTS = {
    "kanitli": Deployment(
        name="kanitli",
        regions=("istanbul", "ankara", "izmir"),
        groups=("certificates", "inspections", "transfers"),
        slots=3,
        connections=20,
        connect_time=timedelta(milliseconds=10),
        service_time=timedelta(milliseconds=1),
        replication_lag=timedelta(milliseconds=20),
    ),
    "heredia": Deployment(
        name="heredia",
        regions=("heredia", "san-jose", "alajuela"),
        groups=("benchmarks", "submissions", "contracts"),
        slots=5,
        connections=50,
        connect_time=timedelta(milliseconds=30),
        service_time=timedelta(milliseconds=1),
        replication_lag=timedelta(milliseconds=8),
    ),
}


@frozen
class Database:
    """One database stand-in; addresses are host:port."""

    name: str
    group: str
    region: str
    is_primary: bool
    address: str
    replication: str


@frozen
class Instance:
    """One instance; addresses are host:port."""

    name: str
    region: str
    data_centre: str
    address: str
    peer_address: str

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{self.address}"


@frozen
class Layout:
    """Every process of a local run."""

    deployment: Deployment
    platform: str
    databases: tuple[Database, ...] = field(factory=tuple)
    instances: tuple[Instance, ...] = field(factory=tuple)

    def primary(self, group: str) -> Database:
        """Return the first primary of a group."""
        found = (row for row in self.databases if row.group == group)
        return next(row for row in found if row.is_primary)


def make_layout(deployment: Deployment) -> Layout:
    """Assign free addresses to the processes of a deployment."""
    address_count = 1 + 2 * len(deployment.groups) * len(deployment.regions)
    address_count += 2 * INSTANCES_PER_REGION * len(deployment.regions)
    addresses = iter(free_addresses(address_count))
    return Layout(
        deployment,
        platform=next(addresses),
        databases=tuple(make_databases(deployment, addresses)),
        instances=tuple(make_instances(deployment, addresses)),
    )


def make_databases(
    deployment: Deployment, addresses: Iterator[str]
) -> Iterator[Database]:
    """Return the databases of a deployment."""
    for number, group in enumerate(deployment.groups):
        for region in deployment.regions:
            yield Database(
                name=f"{group}-{region}",
                group=group,
                region=region,
                is_primary=region == deployment.regions[number],
                address=next(addresses),
                replication=next(addresses),
            )


def make_instances(
    deployment: Deployment, addresses: Iterator[str]
) -> Iterator[Instance]:
    """Return the instances of a deployment."""
    numbers = count(1)
    for region in deployment.regions:
        for data_centre in range(1, INSTANCES_PER_REGION + 1):
            yield Instance(
                name=f"proxy-{next(numbers)}",
                region=region,
                data_centre=f"{region}-{data_centre}",
                address=next(addresses),
                peer_address=next(addresses),
            )


def first_ephemeral_port(path: Path) -> int:
    """Return the first port of the range for outgoing connections, read from a file."""
    with suppress(OSError, ValueError, IndexError):
        return int(path.read_text().split()[0])
    return DEFAULT_FIRST_EPHEMERAL_PORT


def free_addresses(number: int) -> list[str]:
    """Return different addresses with free ports, for servers to be started later.

    The ports are below those for outgoing connections: such a connection could take a
    port before the server listens on it. Nor does another process get them that
    chooses its ports here, while this one runs.
    """
    ports: list[int] = []
    while len(ports) < number:
        ports += reserve_block(SystemRandom())
    return [f"{LOOPBACK}:{port}" for port in ports[:number]]


def reserve_block(random: Random) -> list[int]:
    """Return the free ports of a block that no other process has reserved.

    A block is reserved by a socket on its first port, until the process ends.
    """
    limit = max(first_ephemeral_port(EPHEMERAL_PORTS), FIRST_PORT + MIN_PORT_COUNT)
    first = random.randrange(FIRST_PORT, limit - BLOCK_SIZE + 1, BLOCK_SIZE)
    guard = socket.socket()
    try:
        guard.bind((LOOPBACK, first))
    except OSError:
        guard.close()
        return []
    block_guards.append(guard)
    return [port for port in range(first + 1, first + BLOCK_SIZE) if is_free(port)]


def is_free(port: int) -> bool:
    """Return whether nothing uses a port of the loopback address."""
    with socket.socket() as item:
        try:
            item.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def platform_objects(layout: Layout) -> Iterator[tuple[str, str, dict[str, object]]]:
    """Return the objects that describe a layout in the store: (kind, name, value)."""
    for group in layout.deployment.groups:
        value: dict[str, object] = {
            "term": FIRST_TERM,
            "primary": layout.primary(group).name,
            "term_starts": {str(FIRST_TERM): 1},
            "reservations": {},
        }
        yield "group", group, value
    for row in layout.databases:
        value = {
            "group": row.group,
            "region": row.region,
            "address": row.address,
            "replication": row.replication,
            "slots": layout.deployment.slots,
            "connections": layout.deployment.connections,
            "state": "live",
        }
        yield "endpoint", row.name, value
    for instance in layout.instances:
        value = {
            "address": instance.peer_address,
            "region": instance.region,
            "data_centre": instance.data_centre,
            "state": "live",
        }
        yield "instance", instance.name, value
