"""The blocking store client: conditional requests, and the result of each answer."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from threading import Thread

import pytest

from pimentodrift.messages import StoreObject
from pimentodrift.store_api import (
    StoreApi,
    StoreFailure,
    StoreRefused,
    StoreUnavailable,
    VersionConflict,
)

CURRENT = b'{"kind": "k", "name": "n", "version": 9, "value": {"a": 1}}'
OBJECT = StoreObject("k", "n", 9, {"a": 1})
WRITTEN = StoreObject("k", "n", 9, {"b": 2})


@contextmanager
def serve_once(answer: bytes) -> Iterator[tuple[StoreApi, list[bytes]]]:
    """Run a store that answers one request with fixed bytes and then closes.

    Yield a client of it and the list that receives the request.
    """
    requests: list[bytes] = []

    def serve() -> None:
        connection, _ = listener.accept()
        with connection:
            data = b""
            while b"\r\n\r\n" not in data or (b"PUT" in data and b"}" not in data):
                data += connection.recv(65536)
            requests.append(data)
            connection.sendall(answer)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = Thread(target=serve)
        thread.start()
        port = listener.getsockname()[1]
        yield StoreApi(f"http://127.0.0.1:{port}", timedelta(seconds=5)), requests
        thread.join()


def http_response(status: int, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, size, body)


ANSWERS: list[tuple[bytes, StoreObject | None | type, object]] = [
    (http_response(200, CURRENT), OBJECT, WRITTEN),
    (http_response(409, CURRENT), StoreRefused, VersionConflict(OBJECT)),
    (http_response(409, b"{}"), StoreRefused, VersionConflict(None)),
    (http_response(404, b"{}"), None, StoreRefused),
    (http_response(400, b"{}"), StoreRefused, StoreRefused),
    (http_response(503, b"busy"), StoreUnavailable, StoreUnavailable),
    (http_response(429, b""), StoreUnavailable, StoreUnavailable),
    (http_response(200, CURRENT[:20], 500), StoreUnavailable, StoreUnavailable),
    (http_response(200, CURRENT[:20]), StoreUnavailable, StoreUnavailable),
    (http_response(200, b"[]"), StoreRefused, StoreRefused),
    (http_response(200, b"{}"), StoreRefused, StoreRefused),
    (b"", StoreUnavailable, StoreUnavailable),
    (b"nonsense\r\n\r\n", StoreUnavailable, StoreUnavailable),
]


def matches(result: object, expected: object) -> bool:
    return (
        type(result) is expected if isinstance(expected, type) else result == expected
    )


@pytest.mark.parametrize(("answer", "read", "written"), ANSWERS)
def test_answers_become_results(answer: bytes, read: object, written: object) -> None:
    """Guards against taking a truncated answer or a refusal for a success."""
    with serve_once(answer) as (api, _):
        assert matches(api.get("k", "n").merge(), read)
    with serve_once(answer) as (api, _):
        assert matches(api.put("k", "n", {"b": 2}, 3).merge(), written)


@pytest.mark.parametrize(
    ("version", "condition"), [(3, b"If-Match: 3"), (0, b"If-None-Match: *")]
)
def test_updates_are_conditional(version: int, condition: bytes) -> None:
    """Guards against an update that overwrites another operator's."""
    with serve_once(http_response(200, CURRENT)) as (api, requests):
        api.put("piece", "a/b", {"b": 2}, version)
    assert requests[0].startswith(b"PUT /v1/objects/piece/a%2Fb HTTP/1.1\r\n")
    assert condition in requests[0].split(b"\r\n")


def test_closed_port_means_unavailable() -> None:
    """Guards against an exception where the caller expects a failure to retry."""
    failure: StoreFailure = StoreApi("http://127.0.0.1:1").get("k", "n").error
    assert isinstance(failure, StoreUnavailable)
