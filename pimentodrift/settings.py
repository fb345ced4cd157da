"""The settings of an instance, in one place, with their units and limits.

The command line fills `Settings` from flags and environment variables; the core
reads it and never changes it.
"""

from datetime import timedelta

from attrs import field, frozen
from attrs.validators import ge, le, matches_re, min_len

HOST_PORT = r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}"


@frozen
class Settings:
    """Settings of one instance."""

    name: str = field(validator=min_len(1))
    region: str = field(validator=min_len(1))
    data_centre: str = field(validator=min_len(1))
    listen: str = field(validator=matches_re(HOST_PORT))
    peer_listen: str = field(validator=matches_re(HOST_PORT))
    platform: str = field(validator=matches_re(r"http://.+"))
    statsd: str = ""
    # Peer addresses (host:port) to ask when the store is down at start.
    seeds: tuple[str, ...] = ()
    request_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=[ge(timedelta(milliseconds=100)), le(timedelta(minutes=5))],
    )
    transaction_timeout: timedelta = field(
        default=timedelta(seconds=10),
        validator=[ge(timedelta(milliseconds=100)), le(timedelta(minutes=5))],
    )
    stop_timeout: timedelta = field(
        default=timedelta(seconds=20),
        validator=[ge(timedelta(seconds=1)), le(timedelta(minutes=10))],
    )
    max_connections: int = field(default=4000, validator=[ge(1), le(60_000)])
    max_body_bytes: int = field(default=256 * 1024, validator=[ge(1024), le(2**24)])
