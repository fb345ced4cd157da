"""The failures of callers' requests.

A `Failure` is a value: functions return it inside `expression.Result`, and `Reply`
messages carry it between instances. The table `PROBLEMS` gives each problem type its
HTTP status and title, so that the HTTP module needs no knowledge of single failures.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen


class Outcome(StrEnum):
    """What is known about the execution of a refused request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Problem(StrEnum):
    """Problem type of a refusal; the value is the last part of its `type` URI."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    GROUP_UNKNOWN = "group-unknown"
    GROUP_FORBIDDEN = "group-forbidden"
    RATE_EXCEEDED = "rate-exceeded"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    QUEUE_FULL = "queue-full"
    STATEMENT_FAILED = "statement-failed"
    TRANSACTION_UNKNOWN = "transaction-unknown"
    TRANSACTION_ENDED = "transaction-ended"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    WRITE_DROPPED = "write-dropped"
    PRIMARY_UNAVAILABLE = "primary-unavailable"
    ENDPOINT_UNAVAILABLE = "endpoint-unavailable"
    OWNER_UNREACHABLE = "owner-unreachable"
    ACKNOWLEDGMENT_MISSING = "acknowledgment-missing"
    INSTANCE_ISOLATED = "instance-isolated"
    INSTANCE_STOPPING = "instance-stopping"
    SESSION_TOKEN_INVALID = "session-token-invalid"
    REGION_FORBIDDEN = "region-forbidden"
    RATE_UNCONFIRMED = "rate-unconfirmed"


PROBLEMS: dict[Problem, tuple[int, str]] = {
    Problem.BAD_REQUEST: (400, "The request is malformed"),
    Problem.BODY_TOO_LARGE: (413, "The request body is too large"),
    Problem.HEAD_TOO_LARGE: (431, "The request head is too large"),
    Problem.NOT_FOUND: (404, "There is no such resource"),
    Problem.METHOD_NOT_ALLOWED: (405, "The method is not allowed here"),
    Problem.KEY_MISSING: (401, "The request carries no key"),
    Problem.KEY_INVALID: (401, "The key is unknown or withdrawn"),
    Problem.GROUP_UNKNOWN: (404, "There is no such group"),
    Problem.GROUP_FORBIDDEN: (403, "The workspace may not use this group"),
    Problem.RATE_EXCEEDED: (429, "The workspace is over its rate"),
    Problem.DEADLINE_EXCEEDED: (504, "The request did not finish in time"),
    Problem.QUEUE_FULL: (503, "The queue of the endpoint is full"),
    Problem.STATEMENT_FAILED: (422, "The database refused the statement"),
    Problem.TRANSACTION_UNKNOWN: (404, "There is no such open transaction"),
    Problem.TRANSACTION_ENDED: (409, "The transaction was rolled back"),
    Problem.IDEMPOTENCY_KEY_REUSED: (
        422,
        "The idempotency key was used with another request",
    ),
    Problem.WRITE_DROPPED: (
        409,
        "An unacknowledged write of this session was dropped by a failover",
    ),
    Problem.PRIMARY_UNAVAILABLE: (503, "The group has no reachable primary"),
    Problem.ENDPOINT_UNAVAILABLE: (503, "No endpoint can serve the request"),
    Problem.OWNER_UNREACHABLE: (503, "The owner of the endpoint is unreachable"),
    Problem.ACKNOWLEDGMENT_MISSING: (
        504,
        "The write was not confirmed by a majority in time",
    ),
    Problem.INSTANCE_ISOLATED: (503, "This instance cannot confirm its configuration"),
    Problem.INSTANCE_STOPPING: (503, "This instance is shutting down"),
    Problem.SESSION_TOKEN_INVALID: (400, "The session token cannot be read"),
    Problem.REGION_FORBIDDEN: (403, "No endpoint in an allowed region can serve this"),
    Problem.RATE_UNCONFIRMED: (503, "No allocator confirms the workspace's rate"),
}


@frozen
class Failure:
    """Why a request was refused, and what is known about its execution.

    `detail` is a text for people; `retry_after` tells the caller when to try again.
    """

    problem: Problem
    outcome: Outcome
    detail: str = ""
    retry_after: timedelta | None = None


def not_run(
    problem: Problem, detail: str = "", retry_after: timedelta | None = None
) -> Failure:
    """Return a failure of a request that certainly did not run."""
    return Failure(problem, Outcome.NOT_RUN, detail, retry_after)


def outcome_unknown(
    problem: Problem, detail: str = "", retry_after: timedelta | None = None
) -> Failure:
    """Return a failure of a request that may have run."""
    return Failure(problem, Outcome.UNKNOWN, detail, retry_after)
