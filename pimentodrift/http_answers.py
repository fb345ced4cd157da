"""Formats HTTP answers and the problem details of failed requests (RFC 9457).

`problem_response` is shared by the HTTP server and the core, so that a failure looks
the same wherever it arises. The module performs no input or output.
"""

from datetime import datetime, timedelta
from email.utils import format_datetime
from http import HTTPStatus

import orjson

from .errors import PROBLEMS, Failure

TYPE_PREFIX = "https://pimentodrift.dev/problems/"
PROBLEM_CONTENT_TYPE = "application/problem+json"
SECOND = timedelta(seconds=1)

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}


def problem_response(failure: Failure) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of the answer to a failed request."""
    status, title = PROBLEMS[failure.problem]
    body: dict[str, object] = {
        "type": TYPE_PREFIX + failure.problem,
        "title": title,
        "status": status,
        "outcome": failure.outcome,
    }
    if failure.detail:
        body["detail"] = failure.detail
    headers = {"Content-Type": PROBLEM_CONTENT_TYPE}
    if failure.retry_after is not None:
        # Rounded up: an earlier retry would be refused again.
        headers["Retry-After"] = str(max(0, -(-failure.retry_after // SECOND)))
    return status, headers, orjson.dumps(body)


def format_answer(
    status: int,
    headers: dict[str, str],
    body: bytes,
    server_headers: str,
    has_body: bool,
) -> bytes:
    """Return an answer's bytes; `server_headers` are whole lines of the HTTP server."""
    lines = [STATUS_LINES.get(status) or f"HTTP/1.1 {status} \r\n"]
    for name, value in headers.items():
        lines.append(f"{name}: {value}\r\n")
    lines.append(f"{server_headers}Content-Length: {len(body)}\r\n\r\n")
    head = "".join(lines).encode("latin-1")
    return head + body if has_body else head


def date_header(now: datetime) -> str:
    """Return the line of the Date header."""
    return f"Date: {format_datetime(now, usegmt=True)}\r\n"
