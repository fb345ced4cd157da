"""The settings of an instance, in one place, with their units and limits.

The command line passes flags and environment variables to `load`, which returns
`Settings` or every problem at once; the core reads the settings and never changes them.
"""

import re
from collections.abc import Mapping
from datetime import timedelta
from functools import singledispatch
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from attrs import NOTHING, Attribute, field, fields, frozen
from expression import Error, Ok, Result

VARIABLE_PREFIX = "PIMENTODRIFT_"
HIGHEST_PORT = 65_535
HOST_PORT = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"
DURATION = re.compile(r"(?P<number>\d+(\.\d+)?)(?P<unit>ms|s|m)")
DURATION_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
}


@frozen
class Rule:
    """Base of the validators; `allowed` tells an operator what passes."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        raise NotImplementedError

    def accepts(self, value: Any) -> bool:
        """Return whether a value passes."""
        raise NotImplementedError

    def __call__(self, instance: object, attribute: Any, value: Any) -> None:
        """Raise ValueError for a value that is not allowed."""
        if not self.accepts(value):
            raise ValueError(f"{attribute.name}: {value!r}; allowed: {self.allowed()}")


@frozen
class Between(Rule):
    """Accept values from `minimum` to `maximum`, both included."""

    minimum: int | timedelta
    maximum: int | timedelta

    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"{render(self.minimum)} to {render(self.maximum)}"

    def accepts(self, value: Any) -> bool:
        """Return whether a value lies in the range."""
        return bool(self.minimum <= value <= self.maximum)


@frozen
class Name(Rule):
    """Accept names that can stand in a URL path and in a metric's name."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "1 to 63 letters, digits, '.', '_' and '-'"

    def accepts(self, value: Any) -> bool:
        """Return whether a value is a name."""
        return re.fullmatch(r"[A-Za-z0-9._-]{1,63}", value) is not None


@frozen
class HostPort(Rule):
    """Accept a numeric IP address and a port; optionally also an empty text."""

    optional: bool = False

    def allowed(self) -> str:
        """Describe the allowed values."""
        text = "IP-ADDRESS:PORT, such as 127.0.0.1:7000 or [::1]:7000"
        return f"{text}, or empty" if self.optional else text

    def accepts(self, value: Any) -> bool:
        """Return whether a value is an address that can be bound or connected to."""
        if not value:
            return self.optional
        if re.fullmatch(HOST_PORT, value) is None:
            return False
        host, _, port = value.rpartition(":")
        try:
            ip_address(host.strip("[]"))
        except ValueError:
            return False
        return int(port) <= HIGHEST_PORT


@frozen
class HttpUrl(Rule):
    """Accept the base URL of an HTTP service."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "http://HOST:PORT"

    def accepts(self, value: Any) -> bool:
        """Return whether a value is an HTTP URL with a host."""
        try:
            parts = urlsplit(value)
            return parts.scheme == "http" and bool(parts.hostname) and parts.port != 0
        except ValueError:
            return False


def described(text: str) -> dict[str, str]:
    """Return the metadata of a setting with the help text of its flag."""
    return {"help": text}


@frozen
class Settings:
    """Settings of one instance."""

    name: str = field(
        validator=Name(), metadata=described("Name of this instance in the store.")
    )
    region: str = field(
        validator=Name(), metadata=described("Region that the instance runs in.")
    )
    data_centre: str = field(
        validator=Name(), metadata=described("Data centre that the instance runs in.")
    )
    listen: str = field(
        validator=HostPort(), metadata=described("Address for callers (HTTP).")
    )
    peer_listen: str = field(
        validator=HostPort(), metadata=described("Address for other instances.")
    )
    platform: str = field(
        validator=HttpUrl(), metadata=described("Base URL of the platform's store.")
    )
    statsd: str = field(
        default="",
        validator=HostPort(optional=True),
        metadata=described("Address of the statsd server; empty: no metrics."),
    )
    request_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=Between(timedelta(milliseconds=100), timedelta(minutes=5)),
        metadata=described("Deadline of a request."),
    )
    transaction_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=Between(timedelta(milliseconds=100), timedelta(minutes=5)),
        metadata=described("Idle time after which a transaction is rolled back."),
    )
    stop_timeout: timedelta = field(
        default=timedelta(seconds=20),
        validator=Between(timedelta(seconds=1), timedelta(minutes=10)),
        metadata=described("Time that a graceful shutdown may take."),
    )
    max_connections: int = field(
        default=4000,
        validator=Between(1, 60_000),
        metadata=described("Caller connections that are open at the same time."),
    )
    max_body_bytes: int = field(
        default=256 * 1024,
        validator=Between(1024, 2**24),
        metadata=described("Size of a request body in bytes."),
    )


@frozen
class SettingProblem:
    """A setting that is missing or has a value that is not allowed."""

    name: str
    source: str  # The flag or the environment variable.
    value: str | None
    allowed: str

    def __str__(self) -> str:
        if self.value is None:
            return (
                f"setting {self.name} is missing: set {flag(self.name)} or "
                f"{variable(self.name)}; allowed: {self.allowed}"
            )
        return (
            f"setting {self.name}: invalid value {self.value!r} in {self.source}; "
            f"allowed: {self.allowed}"
        )


def flag(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return VARIABLE_PREFIX + name.upper()


def load(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Result[Settings, list[SettingProblem]]:
    """Build the settings from flags, then environment variables, then defaults."""
    values: dict[str, Any] = {}
    problems: list[SettingProblem] = []
    for attribute in fields(Settings):
        source, text = find(attribute.name, flags, environment)
        if text is None and not is_required(attribute):
            continue
        value = None if text is None else parse(attribute, text)
        if value is None or not accepts(attribute, value):
            problems.append(
                SettingProblem(attribute.name, source, text, allowed(attribute))
            )
        else:
            values[attribute.name] = value
    return Error(problems) if problems else Ok(Settings(**values))


def find(
    name: str, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[str, str | None]:
    """Return where a setting is given and its text; a flag wins."""
    given = flags.get(name)
    if given is not None:
        return flag(name), given
    return variable(name), environment.get(variable(name))


def is_required(attribute: "Attribute[Any]") -> bool:
    """Return whether a setting has no default."""
    return attribute.default is NOTHING


def parse(attribute: "Attribute[Any]", text: str) -> Any | None:
    """Convert a text to the type of a setting; return None if that is impossible."""
    if attribute.type is timedelta:
        return parse_duration(text)
    if attribute.type is int:
        return int(text) if re.fullmatch(r"\d{1,18}", text, re.ASCII) else None
    return text


def parse_duration(text: str) -> timedelta | None:
    """Convert a text such as 500ms, 10s or 2m."""
    match = DURATION.fullmatch(text)
    if match is None:
        return None
    try:
        return float(match["number"]) * DURATION_UNITS[match["unit"]]
    except OverflowError:
        return None


def accepts(attribute: "Attribute[Any]", value: Any) -> bool:
    """Return whether a setting's validator accepts a value."""
    if attribute.validator is None:
        return True
    try:
        attribute.validator(None, attribute, value)
    except (TypeError, ValueError):
        return False
    return True


def allowed(attribute: "Attribute[Any]") -> str:
    """Describe the allowed values of a setting."""
    rule = attribute.validator
    return rule.allowed() if isinstance(rule, Rule) else f"a valid {attribute.name}"


@singledispatch
def render(value: object) -> str:
    """Write a value as its flag takes it."""
    return str(value)


@render.register
def _(value: timedelta) -> str:
    milliseconds = round(value / DURATION_UNITS["ms"])
    for unit, length in reversed(DURATION_UNITS.items()):
        size = round(length / DURATION_UNITS["ms"])
        if milliseconds % size == 0:
            return f"{milliseconds // size}{unit}"
    return f"{milliseconds}ms"
