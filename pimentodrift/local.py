"""The `local` command: a whole deployment on one machine, with stand-ins.

The command starts the store and the databases, registers everything in the store,
publishes the example files with fresh keys, starts the instances, and prints one line
of JSON when all of them are ready. It runs until SIGTERM or SIGINT.
"""

import signal
import sys
from datetime import timedelta
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from time import monotonic, sleep
from types import FrameType
from typing import NoReturn

import orjson
from attrs import define, evolve, field
from expression import Result

from .children import (
    Child,
    ChildFailed,
    Children,
    forward_output,
    module_command,
    own_command,
    wait_ready,
)
from .keys import new_key
from .local_layout import (
    DEPLOYMENTS,
    Database,
    Instance,
    Layout,
    make_layout,
    platform_objects,
)
from .messages import StoreObject
from .operator_files import Service, make_piece
from .operator_rules import check_directories
from .operator_values import LocatedText
from .publishing import Publisher, RetryPolicy
from .store_api import StoreApi

EXAMPLES = Path(__file__).parent.parent / "examples"
INSTANCES_READY_TIMEOUT = timedelta(seconds=40)
READY_POLL_INTERVAL = timedelta(milliseconds=50)
# Longer than the default of the setting stop_timeout.
INSTANCE_STOP_TIMEOUT = timedelta(seconds=25)
EXIT_CHECK_INTERVAL = timedelta(seconds=1)
STAND_IN_STOP_TIMEOUT = timedelta(seconds=3)
OK = 200


class StopRequested(Exception):
    """SIGTERM or SIGINT arrived."""


class SetupFailed(Exception):
    """The store could not be filled from the layout and the example files."""


def run_local(deployment: str, lag_ms: int | None) -> int:
    """Run a deployment until a signal; return the exit status."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, raise_stop_requested)
    chosen = DEPLOYMENTS[deployment]
    if lag_ms is not None:
        chosen = evolve(chosen, replication_lag=timedelta(milliseconds=lag_ms))
    run = LocalRun(make_layout(chosen))
    try:
        run.start()
        run.print_summary()
        run.mark_ended_instances()
    except StopRequested:
        return run.stop()
    except (ChildFailed, SetupFailed) as error:
        print(f"pimentodrift: local: {error}", file=sys.stderr)
        run.stop()
        return 1
    finally:
        run.children.kill()


def raise_stop_requested(number: int, frame: FrameType | None) -> NoReturn:
    """Interrupt `run_local`; a second signal cuts the graceful shutdown short."""
    raise StopRequested


@define
class LocalRun:
    """The processes of a local run."""

    layout: Layout
    children: Children = field(factory=Children)
    databases: dict[str, Child] = field(factory=dict)
    instances: dict[str, Child] = field(factory=dict)
    keys: dict[str, str] = field(factory=dict)  # One key of each workspace.
    platform: Child | None = None
    leaving: set[str] = field(factory=set)  # Instances marked as leaving.

    @property
    def platform_url(self) -> str:
        """Return the base URL of the store."""
        return f"http://{self.layout.platform}"

    def start(self) -> None:
        """Start everything and wait until the instances are ready."""
        self.platform = self.children.start(
            "platform",
            module_command(
                "standins.platform_server", ["--listen", self.layout.platform]
            ),
            prints_ready=True,
        )
        primaries = [row for row in self.layout.databases if row.is_primary]
        replicas = [row for row in self.layout.databases if not row.is_primary]
        started = [self.platform, *map(self.start_database, primaries)]
        wait_ready(started)
        following = [self.start_database(row) for row in replicas]
        wait_ready(following)
        self.fill_store()
        for instance in self.layout.instances:
            self.instances[instance.name] = self.start_instance(instance)
        forward_output(started + following)
        self.wait_for_instances()

    def start_database(self, row: Database) -> Child:
        """Start a database stand-in."""
        deployment = self.layout.deployment
        options = {
            "--name": row.name,
            "--region": row.region,
            "--listen": row.address,
            "--replication-listen": row.replication,
            "--slots": deployment.slots,
            "--connect-ms": milliseconds(deployment.connect_time),
            "--service-ms": milliseconds(deployment.service_time),
            "--lag-ms": milliseconds(deployment.replication_lag),
            "--max-connections": deployment.connections,
        }
        arguments = [str(part) for option in options.items() for part in option]
        if row.is_primary:
            arguments.append("--primary")
        else:
            arguments += ["--follow", self.layout.primary(row.group).replication]
        command = module_command("standins.database_server", arguments)
        child = self.children.start(row.name, command, prints_ready=True)
        self.databases[row.name] = child
        return child

    def start_instance(self, instance: Instance) -> Child:
        """Start an instance."""
        options = {
            "--name": instance.name,
            "--region": instance.region,
            "--data-centre": instance.data_centre,
            "--listen": instance.address,
            "--peer-listen": instance.peer_address,
            "--platform": self.platform_url,
        }
        arguments = [part for option in options.items() for part in option]
        command = own_command(["proxy", *arguments])
        return self.children.start(instance.name, command, prints_ready=False)

    def fill_store(self) -> None:
        """Register the layout and publish the example files with fresh keys."""
        store = StoreApi(self.platform_url)
        for kind, name, value in platform_objects(self.layout):
            call = partial(store.put, kind, name, value, 0)
            answer, _ = RetryPolicy().run(call)
            if answer.is_error():
                raise SetupFailed(f"{kind} {name}: {answer.error}")
        examples = EXAMPLES / self.layout.deployment.name
        files = check_directories(
            sorted(path for path in examples.glob("*") if path.is_dir())
        )
        if not files.services:
            raise SetupFailed(f"{examples} has no example files")
        if files.findings:
            raise SetupFailed(str(files.findings[0]))
        pieces = tuple(
            make_piece(self.with_fresh_keys(item)) for item in files.services
        )
        published = Publisher(store).publish(pieces)
        if published.is_error():
            raise SetupFailed(str(published.error))

    def with_fresh_keys(self, service: Service) -> Service:
        """Replace the keys of each workspace of a service by one fresh key."""
        workspaces = []
        for workspace in service.workspaces:
            key = new_key()
            name = workspace.name
            self.keys[name.text] = key.text
            keys = (LocatedText(key.digest, name.file, name.line),)
            workspaces.append(evolve(workspace, keys=keys))
        return evolve(service, workspaces=tuple(workspaces))

    def wait_for_instances(self) -> None:
        """Wait until every instance reports that it is ready; raise ChildFailed."""
        deadline = monotonic() + INSTANCES_READY_TIMEOUT.total_seconds()
        waiting = list(self.layout.instances)
        while waiting:
            for instance in waiting:
                self.instances[instance.name].check()
            waiting = [row for row in waiting if not is_ready(row.address)]
            if waiting and monotonic() > deadline:
                names = ", ".join(row.name for row in waiting)
                raise ChildFailed(f"not ready in time: {names}")
            sleep(READY_POLL_INTERVAL.total_seconds() if waiting else 0)

    def mark_ended_instances(self) -> NoReturn:
        """Mark ended instances as leaving, as the platform does after a delay."""
        while True:
            sleep(EXIT_CHECK_INTERVAL.total_seconds())
            for name, child in self.instances.items():
                ended = child.process.poll() is not None
                if ended and name not in self.leaving and self.mark_leaving(name):
                    self.leaving.add(name)
                    print(f"local: {name} ended, listed as leaving", file=sys.stderr)

    def mark_leaving(self, name: str) -> bool:
        """Set the state of an instance's object to leaving; return False on failure."""
        store = StoreApi(self.platform_url)
        match store.get("instance", name):
            case Result(tag="ok", ok=StoreObject(version=version, value=dict(value))):
                changed = {**value, "state": "leaving"}
                return store.put("instance", name, changed, version).is_ok()
        return False

    def print_summary(self) -> None:
        """Print the line of JSON with addresses, keys and process ids of the run."""
        line = {
            "proxies": [row.url for row in self.layout.instances],
            "groups": list(self.layout.deployment.groups),
            "keys": self.keys,
            "platform": self.platform_url,
            "platform_pid": self.platform.pid if self.platform else 0,
            "endpoints": [self.describe_database(row) for row in self.layout.databases],
            "instances": [self.describe_instance(row) for row in self.layout.instances],
            "pids": [self.instances[row.name].pid for row in self.layout.instances],
        }
        print(orjson.dumps(line).decode(), flush=True)

    def describe_database(self, database: Database) -> dict[str, object]:
        """Return the data with which tests find, cut off or kill a database."""
        return {
            "name": database.name,
            "address": database.address,
            "replication": database.replication,
            "pid": self.databases[database.name].pid,
            "group": database.group,
            "region": database.region,
            "role": "primary" if database.is_primary else "replica",
        }

    def describe_instance(self, instance: Instance) -> dict[str, object]:
        """Return the data with which tests find or kill an instance."""
        return {
            "name": instance.name,
            "url": instance.url,
            "peer_address": instance.peer_address,
            "pid": self.instances[instance.name].pid,
            "region": instance.region,
            "data_centre": instance.data_centre,
        }

    def stop(self) -> int:
        """Stop the instances gracefully, then the stand-ins; return the exit status."""
        try:
            self.children.stop(self.instances.values(), INSTANCE_STOP_TIMEOUT)
            self.children.stop(self.children.running, STAND_IN_STOP_TIMEOUT)
        except StopRequested:
            self.children.kill()
        return 0


def is_ready(address: str) -> bool:
    """Return whether an instance's readiness check succeeds."""
    connection = HTTPConnection(address, timeout=1)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == OK
    except (OSError, HTTPException):
        return False
    finally:
        connection.close()


def milliseconds(duration: timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return round(duration / timedelta(milliseconds=1))
