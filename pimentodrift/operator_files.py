"""Reads operators' files: each service is a directory of *.yaml files.

The result holds the declarations and the findings of all files. A service without
findings is published as one piece, a JSON value that `configuration` reads.
"""

from hashlib import sha256
from pathlib import Path
from typing import Any

import orjson
from attrs import frozen
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap
from ruamel.yaml.constructor import DuplicateKeyError
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from .messages import Durability
from .operator_findings import Finding, FindingCode
from .operator_values import LocatedText, Section

SUFFIX = ".yaml"
FILE_FIELDS = ("groups", "workspaces")
WORKSPACE_FIELDS = (
    "rate",
    "burst",
    "share",
    "groups",
    "durability",
    "stale_reads",
    "keys",
    "open_routes",
    "regions",
)
ROUTE_FIELDS = ("group", "statement", "max_age_ms", "regions")


@frozen
class RouteDeclaration:
    """A declared open route: a read that callers may run without a key."""

    name: LocatedText
    group: LocatedText | None
    statement: LocatedText | None
    max_age_ms: int | None
    regions: tuple[LocatedText, ...] | None = ()
    region_line: int = 0  # Of the field `regions`; 0 if the file does not state it.


@frozen
class WorkspaceDeclaration:
    """A workspace as a file declares it; a field that could not be read is None."""

    name: LocatedText
    rate: float | None
    burst: float | None
    share: float | None
    groups: tuple[LocatedText, ...] | None
    durability: LocatedText | None
    stale_reads: tuple[tuple[LocatedText, int], ...]
    keys: tuple[LocatedText, ...]
    routes: tuple[RouteDeclaration, ...]
    lines: dict[str, int]  # The line of each field that the file states.
    regions: tuple[LocatedText, ...] | None = ()

    def line(self, name: str) -> int:
        """Return the line of a field, or of the workspace if the field is absent."""
        return self.lines.get(name, self.name.line)


@frozen
class Service:
    """The declarations of all files in one directory.

    `groups` lists the groups that its workspaces may name; empty means any group.
    """

    name: str
    directory: Path
    workspaces: tuple[WorkspaceDeclaration, ...]
    groups: tuple[LocatedText, ...] = ()


@frozen
class Piece:
    """The published form of a service; the name is the digest of the content."""

    service: str
    name: str
    value: dict[str, Any]
    size: int  # Bytes of the canonical JSON.


@frozen
class OperatorFiles:
    """The services read from directories, and the findings about them."""

    services: tuple[Service, ...]
    findings: tuple[Finding, ...]

    def pieces(self) -> tuple[Piece, ...]:
        """Return the pieces to publish; valid only if there are no findings."""
        return tuple(make_piece(service) for service in self.services)


def read_directories(directories: list[Path]) -> OperatorFiles:
    """Read directories without checking the rules of `operator_rules`."""
    findings: list[Finding] = []
    services = [read_service(directory, findings) for directory in directories]
    return OperatorFiles(tuple(services), tuple(findings))


def read_service(directory: Path, findings: list[Finding]) -> Service:
    """Read all files of one directory."""
    workspaces: list[WorkspaceDeclaration] = []
    groups: list[LocatedText] = []
    for path in service_files(directory, findings):
        section = read_file(path, findings)
        if section is None:
            continue
        section.check_fields(FILE_FIELDS)
        groups.extend(section.texts("groups") or ())
        for name, inner in section.sections("workspaces", "workspace"):
            workspaces.append(read_workspace(name, inner))
    service = directory.resolve().name
    return Service(service, directory, tuple(workspaces), tuple(groups))


def service_files(directory: Path, findings: list[Finding]) -> list[Path]:
    """List the files of a service; report a directory without any."""
    try:
        paths = sorted(directory.iterdir())
    except OSError as error:
        text = error.strerror or str(error)
        findings.append(Finding(directory, 1, FindingCode.UNREADABLE_FILE, text))
        return []
    for path in paths:
        if path.suffix == ".yml":
            text = f"is not read; rename it to {path.stem}{SUFFIX}"
            findings.append(Finding(path, 1, FindingCode.WRONG_SUFFIX, text))
    files = [path for path in paths if path.suffix == SUFFIX]
    if not files:
        text = f"the directory has no *{SUFFIX} file"
        findings.append(Finding(directory, 1, FindingCode.NO_FILES, text))
    return files


def read_file(path: Path, findings: list[Finding]) -> Section | None:
    """Parse one file; return None if it is empty or cannot be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings.append(Finding(path, 1, FindingCode.UNREADABLE_FILE, str(error)))
        return None
    try:
        node = parse_yaml(text)
    except DuplicateKeyError as error:
        findings.append(yaml_finding(path, error, FindingCode.DUPLICATE_FIELD))
        # Parses again with duplicates, so that findings about other lines appear too.
        node = parse_yaml(text, allow_duplicates=True)
    except (YAMLError, ValueError, RecursionError) as error:
        findings.append(yaml_finding(path, error, FindingCode.INVALID_YAML))
        return None
    if node is None:
        return None
    if not isinstance(node, CommentedMap):
        text = "the file must be a mapping with the field workspaces"
        findings.append(Finding(path, 1, FindingCode.WRONG_TYPE, text))
        return None
    return Section(path, 1, "file", node, findings)


def parse_yaml(text: str, allow_duplicates: bool = False) -> Any:
    """Parse YAML and keep line numbers."""
    yaml = YAML(typ="rt")
    yaml.allow_duplicate_keys = allow_duplicates
    return yaml.load(text)


def yaml_finding(path: Path, error: Exception, code: FindingCode) -> Finding:
    """Convert an error of the YAML parser to a finding."""
    if not isinstance(error, MarkedYAMLError):
        text = (str(error) or type(error).__name__).splitlines()[0]
        return Finding(path, 1, code, text)
    mark = error.problem_mark or error.context_mark
    line = mark.line + 1 if mark is not None else 1
    return Finding(path, line, code, str(error.problem or error.context))


def read_workspace(name: LocatedText, section: Section) -> WorkspaceDeclaration:
    """Read the declaration of one workspace."""
    section.check_fields(WORKSPACE_FIELDS, required=("rate", "burst", "groups"))
    routes = section.sections("open_routes", f"{section.title} open route")
    return WorkspaceDeclaration(
        name=name,
        rate=section.number("rate"),
        burst=section.number("burst"),
        share=section.number("share", 1.0),
        groups=section.texts("groups"),
        durability=section.text("durability"),
        stale_reads=section.ages("stale_reads"),
        keys=section.texts("keys") or (),
        routes=tuple(read_route(route, inner) for route, inner in routes),
        lines={key: section.line_of(key) for key in section.node},
        regions=section.texts("regions"),
    )


def read_route(name: LocatedText, section: Section) -> RouteDeclaration:
    """Read the declaration of one open route."""
    section.check_fields(ROUTE_FIELDS, required=("group", "statement"))
    return RouteDeclaration(
        name=name,
        group=section.text("group"),
        statement=section.text("statement"),
        max_age_ms=section.milliseconds("max_age_ms", 0),
        regions=section.texts("regions"),
        region_line=section.line_of("regions") if "regions" in section.node else 0,
    )


def make_piece(service: Service) -> Piece:
    """Return the piece to publish for a service."""
    value = {
        "workspaces": {
            workspace.name.text: workspace_value(workspace)
            for workspace in service.workspaces
        }
    }
    content = canonical_json(value)
    return Piece(service.name, sha256(content).hexdigest(), value, len(content))


def canonical_json(value: dict[str, Any]) -> bytes:
    """Serialize to JSON with sorted keys, so that equal values give equal bytes."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def workspace_value(workspace: WorkspaceDeclaration) -> dict[str, Any]:
    """Return a workspace's value in a piece; lists are sorted: order has no meaning."""
    durability = workspace.durability
    return region_value(workspace.regions) | {
        "rate": workspace.rate,
        "burst": workspace.burst,
        "share": workspace.share,
        "groups": sorted({group.text for group in workspace.groups or ()}),
        "durability": durability.text if durability else Durability.MAJORITY.value,
        "stale_reads": {group.text: age for group, age in workspace.stale_reads},
        "keys": sorted(key.text for key in workspace.keys),
        "open_routes": {
            route.name.text: {
                "group": route.group.text if route.group else "",
                "statement": route.statement.text if route.statement else "",
                "max_age_ms": route.max_age_ms or 0,
            }
            | region_value(route.regions)
            for route in workspace.routes
        },
    }


def region_value(regions: tuple[LocatedText, ...] | None) -> dict[str, Any]:
    """Return the field of a region limit; none without a limit, as in older pieces."""
    names = sorted({region.text for region in regions or ()})
    return {"regions": names} if names else {}
