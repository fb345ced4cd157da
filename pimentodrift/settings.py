"""Defines the settings of an instance with their defaults, limits and help texts.

`settings_sources` builds `Settings` from flags and environment variables; the core
reads the settings and never changes them.
"""

import re
from datetime import timedelta
from functools import singledispatch
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

from attrs import Attribute, field, frozen

from .fencing.decisions import PrimaryFencing
from .homes.decisions import parse_regions
from .owners.decisions import EndpointOwners
from .policies import Policy
from .queue_policy import QueuePolicy

VARIABLE_PREFIX = "PIMENTODRIFT_"
HIGHEST_PORT = 65_535
HOST_PORT = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"
DURATION_UNITS = {
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "m": timedelta(minutes=1),
}


@frozen
class Validator:
    """Base of the validators of settings."""

    def allowed(self) -> str:
        """Describe the allowed values for an operator."""
        raise NotImplementedError

    def accepts(self, value: Any) -> bool:
        """Return whether a value is allowed."""
        raise NotImplementedError

    def __call__(self, instance: object, attribute: Any, value: Any) -> None:
        """Raise ValueError for a value that is not allowed."""
        if not self.accepts(value):
            raise ValueError(f"{attribute.name}: {value!r}; allowed: {self.allowed()}")


@frozen
class Between(Validator):
    """Accept values from `minimum` to `maximum`, both included."""

    minimum: int | timedelta
    maximum: int | timedelta

    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"{format_value(self.minimum)} to {format_value(self.maximum)}"

    def accepts(self, value: Any) -> bool:
        """Return whether a value lies in the range."""
        return bool(self.minimum <= value <= self.maximum)


@frozen
class Name(Validator):
    """Accept names that can be part of a URL path and of a metric's name."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "1 to 63 letters, digits, '.', '_' and '-'"

    def accepts(self, value: Any) -> bool:
        """Return whether a value is a name."""
        return re.fullmatch(r"[A-Za-z0-9._-]{1,63}", value) is not None


@frozen
class HostPort(Validator):
    """Accept a numeric IP address with a port; also the empty text if `optional`."""

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
class HostPorts(Validator):
    """Accept numeric IP addresses with ports, separated by commas, or none."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "IP-ADDRESS:PORT[,IP-ADDRESS:PORT...], or empty"

    def accepts(self, value: Any) -> bool:
        """Return whether each part is an IP address with a port."""
        return not value or all(map(HostPort().accepts, value.split(",")))


@frozen
class HttpUrl(Validator):
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


@frozen
class OneOf(Validator):
    """Accept one of the names."""

    names: tuple[str, ...]

    def allowed(self) -> str:
        """Describe the allowed values."""
        return ", ".join(self.names)

    def accepts(self, value: Any) -> bool:
        """Return whether a value is one of the names."""
        return value in self.names


@frozen
class SomeOf(Validator):
    """Accept any of the names, separated by commas, or none."""

    names: tuple[str, ...]

    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"any of {', '.join(self.names)}, separated by commas, or empty"

    def accepts(self, value: Any) -> bool:
        """Return whether each part is one of the names."""
        return not value or all(part in self.names for part in value.split(","))


@frozen
class Regions(Validator):
    """Accept the regions of data centres."""

    def allowed(self) -> str:
        """Describe the allowed values."""
        return "DATA_CENTRE=REGION[,DATA_CENTRE=REGION...], or empty"

    def accepts(self, value: Any) -> bool:
        """Return whether a value names one region for each data centre."""
        try:
            parse_regions(value)
        except ValueError:
            return False
        return True


def help_metadata(text: str) -> dict[str, str]:
    """Return the attrs metadata that holds the help text of a setting's flag."""
    return {"help": text}


@frozen
class Settings:
    """The settings of one instance."""

    name: str = field(
        validator=Name(), metadata=help_metadata("Name of this instance in the store.")
    )
    region: str = field(
        validator=Name(), metadata=help_metadata("Region that the instance runs in.")
    )
    data_centre: str = field(
        validator=Name(),
        metadata=help_metadata("Data centre that the instance runs in."),
    )
    listen: str = field(
        validator=HostPort(), metadata=help_metadata("Address for callers (HTTP).")
    )
    peer_listen: str = field(
        validator=HostPort(), metadata=help_metadata("Address for other instances.")
    )
    platform: str = field(
        validator=HttpUrl(), metadata=help_metadata("Base URL of the platform's store.")
    )
    statsd: str = field(
        default="",
        validator=HostPort(optional=True),
        metadata=help_metadata("Address of the statsd server; empty: no metrics."),
    )
    seeds: str = field(
        default="",
        validator=HostPorts(),
        metadata=help_metadata("Peers to ask when the store is down at start."),
    )
    request_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=Between(timedelta(milliseconds=100), timedelta(minutes=5)),
        metadata=help_metadata("Deadline of a request."),
    )
    replica_wait: timedelta = field(
        default=timedelta(milliseconds=150),
        validator=Between(timedelta(0), timedelta(seconds=5)),
        metadata=help_metadata("Longest wait of a read for a replica to catch up."),
    )
    transaction_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=Between(timedelta(milliseconds=100), timedelta(minutes=5)),
        metadata=help_metadata("Idle time after which a transaction is rolled back."),
    )
    stop_timeout: timedelta = field(
        default=timedelta(seconds=20),
        validator=Between(timedelta(seconds=1), timedelta(minutes=10)),
        metadata=help_metadata("Time that a graceful shutdown may take."),
    )
    stop_transaction_timeout: timedelta = field(
        default=timedelta(0),
        validator=Between(timedelta(0), timedelta(minutes=10)),
        metadata=help_metadata(
            "Part of the stop timeout for open transactions of sessions; 0: half."
        ),
    )
    configuration_lease: timedelta = field(
        default=timedelta(milliseconds=3500),
        validator=Between(timedelta(seconds=1), timedelta(minutes=1)),
        metadata=help_metadata(
            "Age of the configuration at which requests are refused."
        ),
    )
    allocator_lease: timedelta = field(
        default=timedelta(milliseconds=3500),
        validator=Between(timedelta(milliseconds=500), timedelta(minutes=1)),
        metadata=help_metadata("Age of the store's copy at which an allocator stops."),
    )
    rate_window: timedelta = field(
        default=timedelta(0),
        validator=Between(timedelta(0), timedelta(minutes=1)),
        metadata=help_metadata(
            "Window in which rate x window + burst is the limit; 0: none."
        ),
    )
    queue_policy: str = field(
        default=QueuePolicy.EXPECTED_WAIT.value,
        validator=OneOf(tuple(QueuePolicy)),
        metadata=help_metadata("When a session's statement is refused, not queued."),
    )
    disabled_policies: str = field(
        default="",
        validator=SomeOf(tuple(sorted(Policy))),
        metadata=help_metadata("Policies to switch off, for experiments."),
    )
    primary_fencing: str = field(
        default=PrimaryFencing.PLATFORM.value,
        validator=OneOf(tuple(PrimaryFencing)),
        metadata=help_metadata("Who keeps a replaced primary out of use."),
    )
    endpoint_owners: str = field(
        default=EndpointOwners.AUTO.value,
        validator=OneOf(tuple(EndpointOwners)),
        metadata=help_metadata("Which endpoints of sessions have an owner."),
    )
    heartbeat_interval: timedelta = field(
        default=timedelta(milliseconds=200),
        validator=Between(timedelta(milliseconds=50), timedelta(seconds=2)),
        metadata=help_metadata("Time between two pings of another instance."),
    )
    max_connections: int = field(
        default=4000,
        validator=Between(1, 60_000),
        metadata=help_metadata("Caller connections that are open at the same time."),
    )
    max_body_bytes: int = field(
        default=256 * 1024,
        validator=Between(1024, 2**24),
        metadata=help_metadata("Size of a request body in bytes."),
    )
    regions: str = field(
        default="",
        validator=Regions(),
        metadata=help_metadata("Regions of data centres, for region limits."),
    )
    cold_excess_percent: int = field(
        default=150,
        validator=Between(0, 1000),
        metadata=help_metadata("Most statements of a cold endpoint, part of its rate."),
    )
    cold_slack: int = field(
        default=5,
        validator=Between(0, 1000),
        metadata=help_metadata("Statements in any second beyond that part."),
    )

    evacuation_bound: timedelta = field(
        default=timedelta(0),
        validator=Between(timedelta(0), timedelta(minutes=1)),
        metadata=help_metadata(
            "Time within which an evacuated data centre gets no more requests; 0: none."
        ),
    )

    def uses(self, policy: Policy) -> bool:
        """Return whether a policy is on."""
        if not self.disabled_policies:
            return True  # The usual case, asked many times for each statement.
        return policy.value not in self.disabled_policies.split(",")


def flag(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def environment_variable(name: str) -> str:
    """Return the name of a setting's environment variable."""
    return VARIABLE_PREFIX + name.upper()


def allowed(attribute: "Attribute[Any]") -> str:
    """Describe the allowed values of a setting."""
    rule = attribute.validator
    return (
        rule.allowed() if isinstance(rule, Validator) else f"a valid {attribute.name}"
    )


@singledispatch
def format_value(value: object) -> str:
    """Format a value as its flag accepts it."""
    return str(value)


@format_value.register
def _(value: timedelta) -> str:
    milliseconds = round(value / DURATION_UNITS["ms"])
    for unit, length in reversed(DURATION_UNITS.items()):
        size = round(length / DURATION_UNITS["ms"])
        if milliseconds % size == 0:
            return f"{milliseconds // size}{unit}"
    return f"{milliseconds}ms"
