"""The rules that operators' files must satisfy before they are published.

`check` runs them without the store; `publish` refuses files with findings.
"""

import re
from collections.abc import Callable, Iterable
from datetime import timedelta
from math import isfinite
from pathlib import Path

from .keys import KEY_PREFIX, digest
from .messages import Durability
from .operator_files import (
    OperatorFiles,
    RouteDeclaration,
    Service,
    WorkspaceDeclaration,
    make_piece,
    read_directories,
)
from .operator_findings import Finding, FindingCode
from .operator_values import LocatedText

# The platform's store accepts values of up to one megabyte.
MAX_PIECE_BYTES = 1_000_000
# Token buckets are refilled each tick of 20 ms. With a burst below the tokens of five
# ticks, a bucket would overflow whenever the event loop is briefly busy, and the
# workspace could not reach its rate.
BURST_WINDOW = timedelta(milliseconds=100)
# The design target of the whole fleet (docs/design.md, section 2); a higher rate is a
# typing error.
MAX_RATE = 12_000_000  # Requests/s.
MAX_AGE = timedelta(days=1)
MAX_AGE_MS = MAX_AGE // timedelta(milliseconds=1)
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
DIGEST = re.compile(r"[0-9a-f]{64}")
SHOWN_DIGEST_DIGITS = 8
READ_WORDS = re.compile(r"(select|values|with|table)\b")
# WITH may contain writes, SELECT INTO creates a table, and FOR UPDATE takes locks.
WRITE_WORDS = re.compile(r"\b(insert|update|delete|merge|into)\b")
# Literals, quoted names and comments are removed first: they may contain any word.
QUOTED = re.compile(
    r"'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"|--[^\n]*|/\*.*?\*/|\$(\w*)\$.*?\$\1\$",
    re.DOTALL,
)


def check_directories(directories: list[Path]) -> OperatorFiles:
    """Read directories and apply all rules."""
    files = read_directories(directories)
    findings = list(files.findings)
    for service in files.services:
        findings += check_service(service, files.findings)
        for workspace in service.workspaces:
            findings += check_workspace(workspace, service)
    findings += check_duplicate_services(files.services)
    workspaces = [item for service in files.services for item in service.workspaces]
    findings += check_duplicates(workspaces)
    if not findings:
        findings += check_sizes(files.services)
    return OperatorFiles(files.services, tuple(sorted(findings)))


def check_service(
    service: Service, read_findings: Iterable[Finding]
) -> Iterable[Finding]:
    """Check a service as a whole, given the findings of reading all files."""
    if NAME.fullmatch(service.name) is None:
        text = f"the directory's name {service.name!r} cannot name a service"
        yield Finding(service.directory, 1, FindingCode.INVALID_NAME, text)
    paths = {service.directory, *service.directory.glob("*")}
    # A file that could not be read may declare workspaces.
    if not service.workspaces and all(item.file not in paths for item in read_findings):
        text = "no workspace is declared; to end a service use publish --remove"
        yield Finding(service.directory, 1, FindingCode.NO_WORKSPACES, text)


def check_workspace(
    workspace: WorkspaceDeclaration, service: Service
) -> Iterable[Finding]:
    """Check one workspace by itself."""
    yield from check_name(workspace.name, "workspace")
    yield from check_numbers(workspace)
    yield from check_groups(workspace, service)
    yield from check_keys(workspace)
    line = workspace.lines.get("regions", 0)
    yield from check_regions(workspace.name, workspace.regions, line, "workspace")
    for route in workspace.routes:
        yield from check_route(route, workspace)


def finding_at(located: LocatedText, code: FindingCode, text: str) -> Finding:
    """Return a finding with the file and line of a text."""
    return Finding(located.file, located.line, code, text)


def check_name(name: LocatedText, kind: str) -> Iterable[Finding]:
    """Check that a name is safe in URLs, metrics and logs."""
    if NAME.fullmatch(name.text) is None:
        text = f"{kind} {name.text!r}: use 1 to 63 letters, digits, '.', '_' and '-'"
        yield finding_at(name, FindingCode.INVALID_NAME, text)


def check_numbers(workspace: WorkspaceDeclaration) -> Iterable[Finding]:
    """Check rate, burst, share, ages and durability."""

    def field_finding(name: str, code: FindingCode, text: str) -> Finding:
        title = f"workspace {workspace.name.text}"
        line = workspace.line(name)
        return Finding(workspace.name.file, line, code, f"{title}: {text}")

    rate, burst, share = workspace.rate, workspace.burst, workspace.share
    if rate is not None and not (is_positive(rate) and rate <= MAX_RATE):
        text = f"rate {rate:g} must be above 0 and at most {MAX_RATE}"
        yield field_finding("rate", FindingCode.INVALID_RATE, text)
    if burst is not None and not (isfinite(burst) and burst >= 1):
        yield field_finding(
            "burst", FindingCode.INVALID_BURST, f"burst {burst:g} must be at least 1"
        )
    elif rate is not None and burst is not None and is_positive(rate):
        needed = rate * BURST_WINDOW.total_seconds()
        if burst < needed:
            text = (
                f"burst {burst:g} is too small for rate {rate:g}: at least {needed:g}"
            )
            yield field_finding("burst", FindingCode.INVALID_BURST, text)
    if share is not None and not is_positive(share):
        yield field_finding(
            "share", FindingCode.INVALID_SHARE, f"share {share:g} must be above 0"
        )
    for group, age in workspace.stale_reads:
        if not 0 < age <= MAX_AGE_MS:
            text = f"stale reads of {group.text}: {age} ms must be 1 to {MAX_AGE_MS}"
            yield finding_at(group, FindingCode.INVALID_AGE, text)
    durability = workspace.durability
    if durability is not None and durability.text not in list(Durability):
        allowed = " or ".join(Durability)
        text = f"durability {durability.text!r} must be {allowed}"
        yield field_finding("durability", FindingCode.INVALID_DURABILITY, text)


def is_positive(number: float) -> bool:
    """Return whether a number is finite and above zero."""
    return isfinite(number) and number > 0


def check_groups(
    workspace: WorkspaceDeclaration, service: Service
) -> Iterable[Finding]:
    """Check that a workspace and its stale reads name groups that are listed."""
    if workspace.groups is None:
        return
    workspace_groups = {group.text for group in workspace.groups}
    listed = {group.text for group in service.groups}
    name = workspace.name.text
    for group in workspace.groups:
        if listed and group.text not in listed:
            text = (
                f"workspace {name}: group {group.text} is not in the service's groups"
            )
            yield finding_at(group, FindingCode.UNLISTED_GROUP, text)
    for group, _ in workspace.stale_reads:
        if group.text not in workspace_groups:
            text = f"workspace {name}: stale reads of {group.text}, not in its groups"
            yield finding_at(group, FindingCode.UNLISTED_GROUP, text)
    if "groups" in workspace.lines and not workspace.groups:
        line = workspace.line("groups")
        text = f"workspace {name}: groups is empty"
        yield Finding(workspace.name.file, line, FindingCode.UNLISTED_GROUP, text)


def check_keys(workspace: WorkspaceDeclaration) -> Iterable[Finding]:
    """Check key digests; a finding never prints a text that may be a key."""
    name = workspace.name.text
    for key in workspace.keys:
        if key.text.startswith(KEY_PREFIX):
            text = (
                f"workspace {name}: this is a key, not its digest. Treat the key as "
                f"disclosed and replace it (its digest is {digest(key.text)})"
            )
            yield finding_at(key, FindingCode.KEY_DISCLOSED, text)
        elif DIGEST.fullmatch(key.text) is None:
            text = (
                f"workspace {name}: a key's digest has 64 lower-case hex digits, "
                f"this text has {len(key.text)} characters"
            )
            yield finding_at(key, FindingCode.INVALID_DIGEST, text)


def check_route(
    route: RouteDeclaration, workspace: WorkspaceDeclaration
) -> Iterable[Finding]:
    """Check one open route."""
    yield from check_name(route.name, "open route")
    title = f"open route {route.name.text}"
    workspace_groups = (
        None if workspace.groups is None else {g.text for g in workspace.groups}
    )
    if (
        route.group is not None
        and workspace_groups is not None
        and route.group.text not in workspace_groups
    ):
        text = f"{title}: group {route.group.text} is not in the workspace's groups"
        yield finding_at(route.group, FindingCode.UNLISTED_GROUP, text)
    if route.statement is not None and not is_read(route.statement.text):
        text = f"{title}: the statement must be one read (SELECT, VALUES or WITH)"
        yield finding_at(route.statement, FindingCode.NOT_A_READ, text)
    if route.max_age_ms is not None and not 0 <= route.max_age_ms <= MAX_AGE_MS:
        text = f"{title}: max_age_ms {route.max_age_ms} must be 0 to {MAX_AGE_MS}"
        yield finding_at(route.name, FindingCode.INVALID_AGE, text)
    yield from check_regions(route.name, route.regions, route.region_line, "open route")
    route_regions = {region.text for region in route.regions or ()}
    allowed = {region.text for region in workspace.regions or ()}
    if route_regions and allowed and not route_regions & allowed:
        text = f"{title}: no region is allowed by both the route and the workspace"
        line = route.region_line
        yield Finding(route.name.file, line, FindingCode.INVALID_REGIONS, text)


def check_regions(
    name: LocatedText, regions: tuple[LocatedText, ...] | None, line: int, kind: str
) -> Iterable[Finding]:
    """Check the regions of a workspace or route; `line` is 0 if it states none."""
    for region in regions or ():
        if NAME.fullmatch(region.text) is None:
            text = f"{kind} {name.text}: {region.text!r} cannot name a region"
            yield finding_at(region, FindingCode.INVALID_REGIONS, text)
    if line and regions == ():
        text = f"{kind} {name.text}: regions is empty; leave it out for no limit"
        yield Finding(name.file, line, FindingCode.INVALID_REGIONS, text)


def is_read(statement: str) -> bool:
    """Return whether a statement is certainly a single read."""
    text = QUOTED.sub(" ", statement).strip().rstrip(";").strip().lower()
    if READ_WORDS.match(text) is None or ";" in text:
        return False
    return WRITE_WORDS.search(text) is None


def check_duplicate_services(services: Iterable[Service]) -> Iterable[Finding]:
    """Report directories of the same name, whose services would replace each other."""
    seen: dict[str, Service] = {}
    for service in services:
        first = seen.setdefault(service.name, service)
        if first is not service:
            text = f"service {service.name} is also the directory {first.directory}"
            yield Finding(service.directory, 1, FindingCode.DUPLICATE_SERVICE, text)


def check_duplicates(
    workspaces: list[WorkspaceDeclaration],
) -> Iterable[Finding]:
    """Report workspaces, key digests and open routes that are declared twice."""
    names = [workspace.name for workspace in workspaces]
    keys = [
        key
        for workspace in workspaces
        for key in workspace.keys
        if DIGEST.fullmatch(key.text)
    ]
    routes = [route.name for workspace in workspaces for route in workspace.routes]
    yield from find_repeated(
        names, FindingCode.DUPLICATE_WORKSPACE, "workspace {}".format
    )
    yield from find_repeated(
        keys,
        FindingCode.DUPLICATE_KEY,
        lambda text: f"digest {text[:SHOWN_DIGEST_DIGITS]}...",
    )
    yield from find_repeated(
        routes, FindingCode.DUPLICATE_ROUTE, "open route {}".format
    )


def find_repeated(
    items: list[LocatedText], code: FindingCode, title: Callable[[str], str]
) -> Iterable[Finding]:
    """Return a finding for each item whose text an earlier item has."""
    seen: dict[str, LocatedText] = {}
    for item in items:
        first = seen.setdefault(item.text, item)
        if first is not item:
            text = f"{title(item.text)} is also declared at {first.file}:{first.line}"
            yield finding_at(item, code, text)


def check_sizes(services: Iterable[Service]) -> Iterable[Finding]:
    """Report services whose piece is too large for one object of the store."""
    for service in services:
        size = make_piece(service).size
        if size > MAX_PIECE_BYTES:
            text = f"the service takes {size} bytes of {MAX_PIECE_BYTES}; split it"
            yield Finding(service.directory, 1, FindingCode.PIECE_TOO_LARGE, text)
