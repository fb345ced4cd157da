"""Command line: parses arguments and runs one subcommand.

Exit status: 0 on success, 1 on failure, 2 for invalid usage or settings. Modules that
only one subcommand needs are imported when that subcommand runs, so that `check` and
`--help` start fast.
"""

import os
import sys
from functools import singledispatch
from importlib import import_module
from pathlib import Path
from typing import Annotated, Any

import cappa
from attrs import NOTHING, asdict, field, fields, frozen, make_class

from . import __version__
from .settings import (
    VARIABLE_PREFIX,
    HttpUrl,
    Settings,
    environment_variable,
    format_value,
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
PLATFORM_VARIABLE = VARIABLE_PREFIX + "PLATFORM"


def setting_argument(attribute: Any) -> Any:
    """Return the flag of a setting; `settings_sources.load` validates its value."""
    validator = attribute.validator
    allowed = validator.allowed() if hasattr(validator, "allowed") else ""
    parts = [attribute.metadata.get("help", ""), f"Allowed: {allowed}." * bool(allowed)]
    if attribute.default is not NOTHING and attribute.default != "":
        parts.append(f"Default: {format_value(attribute.default)}.")
    parts.append(f"Variable: {environment_variable(attribute.name)}.")
    text = " ".join(part for part in parts if part)
    argument = cappa.Arg[Any](long=True, default=None, show_default=False, help=text)
    annotated: Any = Annotated[str | None, argument]
    return field(default=None, type=annotated)


# Made from the fields of `Settings`, so that every setting has a flag.
SettingFlags = make_class(
    "SettingFlags",
    {attribute.name: setting_argument(attribute) for attribute in fields(Settings)},
    frozen=True,
)


@cappa.command(name="proxy", help="Run an instance until SIGTERM or SIGINT.")
@frozen
class Proxy(SettingFlags):  # type: ignore[misc, valid-type]
    """Run an instance."""


Directories = Annotated[
    list[Path], cappa.Arg(value_name="DIR", help="Directory of one service's files.")
]


@cappa.command(name="publish", help="Check services' files and put them in force.")
@frozen
class Publish:
    """Publish services."""

    directories: Annotated[
        list[Path],
        cappa.Arg(
            value_name="DIR",
            num_args=-1,
            help="Directory of one service's files; its name names the service.",
        ),
    ] = field(factory=list)
    platform: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            show_default=False,
            help=f"Base URL of the store. Variable: {PLATFORM_VARIABLE}.",
        ),
    ] = None
    remove: Annotated[
        list[str],
        cappa.Arg(long=True, show_default=False, help="Service to end; may repeat."),
    ] = field(factory=list)


@cappa.command(name="check", help="Check services' files without the store.")
@frozen
class Check:
    """Check services' files."""

    directories: Directories


@cappa.command(name="dump", help="Print the state of a running instance as JSON.")
@frozen
class Dump:
    """Print an instance's state."""

    address: Annotated[
        str, cappa.Arg(value_name="ADDRESS", help="HOST:PORT of the instance.")
    ]


DataCentre = Annotated[
    str, cappa.Arg(value_name="DATA_CENTRE", help="Name of the data centre.")
]
PlatformUrl = Annotated[
    str | None,
    cappa.Arg(
        long=True,
        show_default=False,
        help=f"Base URL of the store. Variable: {PLATFORM_VARIABLE}.",
    ),
]


@cappa.command(name="evacuate", help="Send nothing more to a data centre's endpoints.")
@frozen
class Evacuate:
    """Evacuate a data centre."""

    data_centre: DataCentre
    platform: PlatformUrl = None


@cappa.command(name="restore", help="Use an evacuated data centre's endpoints again.")
@frozen
class Restore:
    """Withdraw the evacuation of a data centre."""

    data_centre: DataCentre
    platform: PlatformUrl = None


@cappa.command(name="status", help="Tell which instances are done with evacuations.")
@frozen
class Status:
    """Print how far evacuations are."""

    address: Annotated[
        str, cappa.Arg(value_name="ADDRESS", help="HOST:PORT of any instance.")
    ]


@cappa.command(name="local", help="Run six instances on local stand-ins.")
@frozen
class Local:
    """Run a whole deployment locally."""

    deployment: Annotated[
        str,
        cappa.Arg(
            long=True,
            choices=["kanitli", "heredia"],
            help="Deployment whose files, delays and limits are used.",
        ),
    ] = "kanitli"
    lag_ms: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            show_default=False,
            help="Replication lag in ms (default: that of the deployment).",
        ),
    ] = None


@cappa.command(name="new-key", help="Make a key; print it once with its digest.")
@frozen
class NewKey:
    """Make a key."""


@cappa.command(name="stand-in", hidden=True)
@frozen
class StandIn:
    """Run a stand-in's module; `local` uses it in the one-file binary."""

    module: str
    arguments: Annotated[list[str], cappa.Arg(num_args=-1)] = field(factory=list)


@cappa.command(name="pimentodrift", help="A database proxy with session consistency.")
@frozen
class Pimentodrift:
    """The root command."""

    command: cappa.Subcommands[
        Proxy
        | Publish
        | Check
        | Dump
        | Evacuate
        | Restore
        | Status
        | Local
        | NewKey
        | StandIn
    ]


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Parse arguments, run the subcommand and return its exit status."""
    try:
        parsed = cappa.parse(Pimentodrift, argv=arguments, version=__version__)
    except cappa.Exit as exit_:
        return exit_.code if isinstance(exit_.code, int) else EXIT_USAGE
    return execute(parsed.command)


def print_error(message: object) -> None:
    """Print a message to standard error."""
    print(f"pimentodrift: {message}", file=sys.stderr)


def platform_url(flag: str | None) -> str | None:
    """Return the store's URL; print an error and return None if it is not valid."""
    platform = flag or os.environ.get(PLATFORM_VARIABLE, "")
    if HttpUrl().accepts(platform):
        return platform
    print_error(
        f"setting platform: invalid value {platform!r} in --platform or "
        f"{PLATFORM_VARIABLE}; allowed: {HttpUrl().allowed()}"
    )
    return None


def request_evacuation(
    data_centre: str, platform_flag: str | None, is_wanted: bool
) -> int:
    """Evacuate or restore a data centre and return the exit status."""
    from .evacuation import commands  # noqa: PLC0415
    from .publishing import failure_text  # noqa: PLC0415
    from .store_api import StoreApi  # noqa: PLC0415

    platform = platform_url(platform_flag)
    if platform is None:
        return EXIT_USAGE
    result = commands.request(data_centre, is_wanted, StoreApi(platform))
    if result.is_error():
        print_error(failure_text(result.error))
        return EXIT_FAILED
    state = "is evacuated" if is_wanted else "is in use"
    print(f"{data_centre} {state}" + ("" if result.ok else " already"))
    return EXIT_OK


@singledispatch
def execute(command: object) -> int:
    """Run a subcommand and return its exit status."""
    raise TypeError(f"no subcommand {type(command).__name__}")


@execute.register
def _(command: Proxy) -> int:
    from .settings_sources import load  # noqa: PLC0415

    loaded = load(asdict(command), os.environ)
    if loaded.is_error():
        for problem in loaded.error:
            print_error(problem)
        return EXIT_USAGE
    return int(import_module(".process", __package__).run(loaded.ok))


@execute.register
def _(command: Check) -> int:
    from .operator_rules import check_directories  # noqa: PLC0415

    files = check_directories(command.directories)
    for finding in files.findings:
        print(finding)
    if files.findings:
        print_error(f"{len(files.findings)} findings")
        return EXIT_FAILED
    workspaces = sum(len(service.workspaces) for service in files.services)
    print(f"{len(files.services)} services, {workspaces} workspaces: no findings")
    return EXIT_OK


@execute.register
def _(command: Publish) -> int:
    from .operator_rules import check_directories  # noqa: PLC0415
    from .publishing import Publisher, RetryPolicy, failure_text  # noqa: PLC0415
    from .store_api import StoreApi  # noqa: PLC0415

    platform = platform_url(command.platform)
    if platform is None:
        return EXIT_USAGE
    if not command.directories and not command.remove:
        print_error("publish needs a directory or --remove SERVICE")
        return EXIT_USAGE
    files = check_directories(command.directories)
    if files.findings:
        for finding in files.findings:
            print(finding)
        print_error(f"{len(files.findings)} findings; nothing was published")
        return EXIT_FAILED
    retries = RetryPolicy(notify=lambda failure: print_error(failure_text(failure)))
    publisher = Publisher(StoreApi(platform), retries)
    result = publisher.publish(files.pieces(), tuple(command.remove))
    if result.is_error():
        print_error(result.error)
        return EXIT_FAILED
    print(f"publication {result.ok.publication} follows {result.ok.previous or 'none'}")
    if result.ok.superseded:
        print("a later publication is in force on top of it")
    return EXIT_OK


@execute.register
def _(command: Dump) -> int:
    import orjson  # noqa: PLC0415

    try:
        state = import_module(".dump", __package__).fetch_dump(command.address)
    except (OSError, ValueError) as error:
        print_error(f"dump of {command.address}: {error or type(error).__name__}")
        return EXIT_FAILED
    print(orjson.dumps(state, option=orjson.OPT_INDENT_2).decode())
    return EXIT_OK


@execute.register
def _(command: Evacuate) -> int:
    return request_evacuation(command.data_centre, command.platform, True)


@execute.register
def _(command: Restore) -> int:
    return request_evacuation(command.data_centre, command.platform, False)


@execute.register
def _(command: Status) -> int:
    from .evacuation import commands  # noqa: PLC0415

    fetch_dump = import_module(".dump", __package__).fetch_dump
    try:
        dumps = commands.collect_dumps(command.address, fetch_dump)
    except (OSError, ValueError) as error:
        print_error(f"dump of {command.address}: {error or type(error).__name__}")
        return EXIT_FAILED
    found = commands.status_by_data_centre(dumps)
    for line in commands.report_lines(found):
        print(line)
    if not found:
        print("no data centre is evacuated")
    is_done = all(row.is_done for rows in found.values() for row in rows)
    return EXIT_OK if is_done else EXIT_FAILED


@execute.register
def _(command: Local) -> int:
    from .local import run_local  # noqa: PLC0415

    return run_local(command.deployment, command.lag_ms)


@execute.register
def _(command: NewKey) -> int:
    from .keys import new_key  # noqa: PLC0415

    key = new_key()
    print(f"key:    {key.text}")
    print(f"digest: {key.digest}")
    return EXIT_OK


@execute.register
def _(command: StandIn) -> int:
    from runpy import run_module  # noqa: PLC0415

    sys.argv = [command.module, *command.arguments]
    run_module(command.module, run_name="__main__", alter_sys=True)
    return EXIT_OK
