"""Turns failures into RFC 9457 problem details."""

import math

import orjson

from .errors import PROBLEMS, Failure

PROBLEM_URI = "https://pimentodrift.dev/problems/"


def problem_body(failure: Failure) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of the answer that reports a failure."""
    status, title = PROBLEMS[failure.problem]
    headers = {"Content-Type": "application/problem+json"}
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        headers["Retry-After"] = str(max(0, seconds))
    document = {
        "type": PROBLEM_URI + failure.problem,
        "title": title,
        "status": status,
        "detail": failure.detail,
        "outcome": failure.outcome,
    }
    return status, headers, orjson.dumps(document)
