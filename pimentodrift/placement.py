"""Chooses the endpoint for a read by the expected latency.

Replicas differ in distance, speed and backlog: the nearest replica gets the reads until
its queue costs more time than the round trip to another.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import frozen


@frozen
class Candidate:
    """An endpoint that could serve a read."""

    endpoint: str
    round_trip: timedelta
    connecting: timedelta  # Time to open a connection; 0 if one is idle.
    service: timedelta  # Moving average of the time that one statement takes.
    outstanding: int  # Statements of this instance that run or wait there.
    slots: int


def expected_latency(candidate: Candidate) -> timedelta:
    """Return the expected time from now until a candidate has answered the read."""
    service_rounds = 1 + candidate.outstanding / max(1, candidate.slots)
    return (
        candidate.connecting + candidate.round_trip + candidate.service * service_rounds
    )


def choose(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the lowest expected latency; None without any."""
    return min(candidates, key=expected_latency, default=None)
