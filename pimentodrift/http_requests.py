"""Parses the HTTP requests of one caller's connection and enforces size limits."""

from typing import Any

import httptools
from attrs import frozen

from .errors import Failure, Problem, not_run

MAX_HEAD_BYTES = 16 * 1024
# Bytes of a header line besides its name and value: colon, space and end of line.
HEADER_OVERHEAD_BYTES = 4


@frozen
class ParsedRequest:
    """A complete request; `path` has no query and header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    http_1_0: bool = False


class RefusedError(Exception):
    """Stops the parser; the reason is in `RequestParser.failure`."""


class RequestParser:
    """Parses the requests of a connection; ignores all input after a failure."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.failure: Failure | None = None
        self.completed: list[ParsedRequest] = []
        self.unfinished = False  # A request has begun and is incomplete.
        self.in_head = True
        self.expects_continue = False
        self.ended = False
        self.fed_bytes = 0  # Input since the end of the previous request.
        self.reset_request()
        self.parser: Any = httptools.HttpRequestParser(self)

    def reset_request(self) -> None:
        """Discard the data of the previous request."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []
        self.head_bytes = 0
        self.body_bytes = 0

    def feed(self, data: bytes) -> list[ParsedRequest]:
        """Parse received bytes and return the requests that they complete."""
        if self.failure or self.ended:
            return []
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.ended = True  # Upgrades are unsupported; the request itself is served.
        except httptools.HttpParserError as error:
            if self.failure is None:
                self.failure = not_run(Problem.BAD_REQUEST, str(error))
        # The parser reports a header only when it is complete, so a header without end
        # is detected by the number of bytes fed.
        if self.unfinished and self.in_head and self.fed_bytes > MAX_HEAD_BYTES:
            self.failure = self.failure or head_too_large()
        if self.failure or self.ended:
            self.close()
        completed, self.completed = self.completed, []
        return completed

    def close(self) -> None:
        """Stop parsing; break the reference cycle of the parser and its callbacks."""
        self.ended = True
        self.parser = None

    def refuse(self, failure: Failure) -> None:
        """Record why the request is refused and stop the parser; raise RefusedError."""
        self.failure = failure
        raise RefusedError

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.reset_request()
        self.unfinished = True
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.url += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; join the values of repeated ones with commas."""
        self.count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        key = name.decode("latin-1").lower()
        text = value.decode("latin-1")
        known = self.headers.get(key)
        self.headers[key] = text if known is None else f"{known}, {text}"

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the request head; refuse a head over the limit."""
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            self.refuse(head_too_large())

    def on_headers_complete(self) -> None:
        """Check body size, Host header and the expectation of `100 Continue`."""
        self.in_head = False
        length = self.headers.get("content-length", "0")
        if length.isdigit() and int(length) > self.max_body_bytes:
            self.refuse(self.body_too_large())
        if "host" not in self.headers and self.parser.get_http_version() == "1.1":
            self.refuse(not_run(Problem.BAD_REQUEST, "the Host header is missing"))
        expected = self.headers.get("expect")
        self.expects_continue = expected is not None and expected.lower() == (
            "100-continue"
        )

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.max_body_bytes:
            self.refuse(self.body_too_large())

    def on_message_complete(self) -> None:
        """Store the completed request."""
        self.unfinished = False
        self.in_head = True
        self.expects_continue = False
        parser = self.parser
        self.completed.append(
            ParsedRequest(
                parser.get_method().decode("latin-1"),
                request_path(self.url),
                self.headers,
                b"".join(self.body),
                keep_alive=parser.should_keep_alive() and not parser.should_upgrade(),
                http_1_0=parser.get_http_version() == "1.0",
            )
        )
        self.fed_bytes = 0

    def body_too_large(self) -> Failure:
        """Return the failure for a body over the limit."""
        detail = f"the limit is {self.max_body_bytes} bytes"
        return not_run(Problem.BODY_TOO_LARGE, detail)


def head_too_large() -> Failure:
    """Return the failure for a request head over the limit."""
    return not_run(Problem.HEAD_TOO_LARGE, f"the limit is {MAX_HEAD_BYTES} bytes")


def request_path(target: bytes) -> str:
    """Return the path of a request target in origin or absolute form, without query."""
    if not target.startswith(b"/"):
        try:
            target = httptools.parse_url(target).path or b"/"
        except httptools.HttpParserInvalidURLError:
            return target.decode("latin-1")
    return target.partition(b"?")[0].decode("latin-1")
