"""Chooses the endpoint for a read by the time until its answer.

Answers the load of replicas that differ in distance, speed and backlog: the nearest one
takes the reads until its queue costs more than the way to another.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import frozen


@frozen
class Candidate:
    """An endpoint that could serve a read."""

    endpoint: str
    round_trip: timedelta
    connecting: timedelta  # Until a connection is ready; 0 with an idle one.
    service: timedelta  # Moving average of one statement.
    outstanding: int  # Statements of this instance there, running or waiting.
    slots: int


def expected_latency(candidate: Candidate) -> timedelta:
    """Return the expected time until the answer."""
    service_rounds = 1 + candidate.outstanding / max(1, candidate.slots)
    return (
        candidate.connecting + candidate.round_trip + candidate.service * service_rounds
    )


def choose(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate with the earliest expected answer."""
    return min(candidates, key=expected_latency, default=None)
