"""The HTTP server: limits, order of answers and closing of connections."""

import re
from datetime import timedelta

import pytest

from pimentodrift import http_requests, http_server
from pimentodrift.errors import Problem, not_run
from pimentodrift.http_answers import problem_response
from pimentodrift.messages import CallerAnswer, CallerGone, CallerRequest
from pimentodrift.sockets import HIGH_WATER_BYTES

from .shell_support import Rig, answer_to, running

GET = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


def post(size: int, extra: bytes = b"") -> bytes:
    head = b"POST /x HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n"
    return head % (extra, size) + b"x" * size


def take_requests(rig: Rig) -> list[CallerRequest]:
    requests = [part for part in rig.core.received if isinstance(part, CallerRequest)]
    rig.core.received.clear()
    return requests


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (GET, b"200 OK"),
        (b"GET http://a/p?q=1 HTTP/1.1\r\nHost: a\r\n\r\n", b"200 OK"),
        (b"BROKEN\r\n\r\n", b"400 "),
        (b"GET / HTTP/1.1\r\n\r\n", b"400 "),
        (post(5, b"Content-Length: 4\r\n"), b"400 "),
        (post(5, b"Transfer-Encoding: chunked\r\n"), b"400 "),
        (post(2048), b"200 OK"),
        (post(2049), b"413 "),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"x" * 16384 + b"\r\n\r\n", b"431 "),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"x" * 17000, b"431 "),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"x" * 16000 + b"\r\n\r\n", b"200 "),
    ],
)
def test_status_of_valid_malformed_and_oversized_requests(
    sent: bytes, status: bytes
) -> None:
    """Guards against wrong statuses at the size limits and for malformed requests."""
    with running(max_body_bytes=2048) as rig:
        client = rig.connect_and_send(sent)
        received = client.until(b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 " + status)
        if not status.startswith(b"200"):
            assert b'"outcome":"not_run"' in client.until_closed()


def test_chunked_body_over_the_limit_is_refused() -> None:
    """Guards against a body without Content-Length that grows without limit."""
    with running(max_body_bytes=1024) as rig:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        client = rig.connect_and_send(
            head + b"800\r\n" + b"x" * 2048 + b"\r\n0\r\n\r\n"
        )
        assert client.until_closed().startswith(b"HTTP/1.1 413 ")


def test_answers_keep_the_order_of_requests() -> None:
    """Guards against an answer that is taken for that to another pipelined request."""
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(
            b"".join(GET.replace(b"healthz", b"%d" % n) for n in range(40))
        )
        taken: list[CallerRequest] = []
        while len(taken) < 40:
            rig.until(lambda: rig.core.received)
            requests = take_requests(rig)
            assert len(requests) <= http_server.MAX_PIPELINED
            taken += requests
            for request in reversed(requests):
                rig.send_from_core(answer_to(request))
        received = client.until(b"GET /39 0")
        places = [received.index(b"GET /%d 0" % n) for n in range(40)]
        assert places == sorted(places)


def test_reading_resumes_after_large_answers() -> None:
    """Guards against reading that stays paused after backpressure has ended."""
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(GET * 40)
        body = b"x" * (HIGH_WATER_BYTES + 1)
        answered = 0
        while answered < 40:
            rig.until(lambda: (client.receive(), rig.core.received)[1])
            requests = take_requests(rig)
            answered += len(requests)
            rig.send_from_core(
                *(CallerAnswer(r.request, 200, {}, body) for r in requests)
            )
        client.until(b"HTTP/1.1 200", 40)
        rig.until(lambda: client.receive().count(b"x") == 40 * len(body))


def test_request_received_byte_by_byte() -> None:
    """Guards against losing parts of a request between reads."""
    with running() as rig:
        client = rig.connect_and_send(b"")
        for byte in post(3):
            client.send(bytes([byte]))
            rig.step()
        assert client.until(b"POST /x 3").count(b"HTTP/1.1") == 1


@pytest.mark.parametrize(
    ("sent", "stopping", "closes"),
    [
        (GET, False, False),
        (GET, True, True),
        (GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), False, True),
        (GET.replace(b"1.1", b"1.0"), False, True),
        (
            GET.replace(b"a\r\n", b"a\r\nConnection: upgrade\r\nUpgrade: x\r\n"),
            False,
            True,
        ),
    ],
)
def test_connection_header_matches_what_the_server_does(
    sent: bytes, stopping: bool, closes: bool
) -> None:
    """Guards against a connection that stays open or closes unannounced."""
    with running() as rig:
        rig.state.stopping = stopping
        client = rig.connect_and_send(sent)
        received = client.until(b"GET /healthz 0")
        assert (b"Connection: close" in received) is closes
        if closes:
            client.until_closed()
        else:
            client.send(GET)
            client.until(b"GET /healthz 0", 2)


def test_graceful_shutdown_answers_all_pipelined_requests() -> None:
    """Guards against a shutdown that drops requests which were received before."""
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(GET * 3)
        rig.until(lambda: len(rig.core.received) == 3)
        rig.state.stopping = True
        for request in rig.core.received:
            assert isinstance(request, CallerRequest)
            rig.send_from_core(answer_to(request))
        received = client.until_closed()
        assert received.count(b"200 OK") == 3
        assert received.count(b"Connection: close") == 1


def test_requests_unanswered_at_exit_have_an_unknown_outcome() -> None:
    """Guards against an exit that closes connections without an answer."""
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(GET * 2)
        rig.until(lambda: len(rig.core.received) == 2)
        rig.shell.http.close_idle_connections()
        rig.shell.http.answer_remaining()
        received = client.until_closed()
        assert received.count(b'"outcome":"unknown"') == 2


def test_disconnect_cancels_the_request() -> None:
    """Guards against work for callers that have disconnected."""
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(GET)
        rig.until(lambda: rig.core.received)
        (request,) = take_requests(rig)
        client.connection.close()
        rig.until(lambda: rig.core.received)
        assert rig.core.received == [CallerGone(request.request)]
        rig.send_from_core(answer_to(request))
        assert not rig.shell.http.slots


def test_connections_beyond_the_limit_are_refused() -> None:
    """Guards against unlimited connections and against closing without an answer."""
    with running(max_connections=1) as rig:
        first = rig.connect_and_send(GET)
        first.until(b"200 OK")
        second = rig.connect_and_send(GET)
        assert second.until_closed().startswith(b"HTTP/1.1 503 ")
        first.connection.close()
        rig.until(lambda: not rig.shell.http.connections)
        rig.connect_and_send(GET).until(b"200 OK")


def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections that hold memory for an incomplete request."""
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.0)
    with running() as rig:
        client = rig.connect_and_send(GET[:-2])
        rig.until(lambda: rig.shell.http.unfinished)
        rig.shell.http.check_timeouts()
        assert client.until_closed().startswith(b"HTTP/1.1 400 ")


def test_unread_answer_closes_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers kept in memory for a caller that does not read."""
    monkeypatch.setattr(http_server, "UNREAD_ANSWER_TIMEOUT_S", 0.0)
    with running() as rig:
        rig.core.answers = False
        client = rig.connect_and_send(GET)
        rig.until(lambda: rig.core.received)
        request = rig.core.received[0]
        assert isinstance(request, CallerRequest)
        rig.send_from_core(CallerAnswer(request.request, 200, {}, b"x" * 2**24))
        assert rig.poller.stalled
        rig.poller.close_stalled()
        assert not rig.shell.http.connections
        assert not client.closed


def test_error_in_the_core_closes_the_connection() -> None:
    """Guards against a caller that waits forever after an internal error."""
    with running() as rig:
        rig.core.raises = True
        assert rig.connect_and_send(GET).until_closed() == b""
        assert rig.state.counters["shell.errors"] >= 1


def test_retry_after_is_rounded_up() -> None:
    """Guards against a Retry-After that lets callers retry too early."""
    failure = not_run(Problem.RATE_EXCEEDED, "", timedelta(milliseconds=1200))
    status, headers, body = problem_response(failure)
    assert (status, headers["Retry-After"]) == (429, "2")
    assert b"https://pimentodrift.dev/problems/rate-exceeded" in body


def test_duplicate_headers_are_joined() -> None:
    """Guards against a second Authorization header that silently replaces the first."""
    parser = http_requests.RequestParser(1024)
    sent = GET.replace(b"\r\n\r\n", b"\r\nAuthorization: a\r\nauthorization: b\r\n\r\n")
    (request,) = parser.feed(sent)
    assert request.headers["authorization"] == "a, b"


@pytest.mark.parametrize(
    ("given", "is_kept"),
    [(b"order-17", True), (b"x" * 128, True), (b"x" * 129, False), (b"a b", False)],
)
def test_answers_have_unique_request_ids(given: bytes, is_kept: bool) -> None:
    """Guards against answers that cannot be matched with their log lines."""
    with running() as rig:
        request = GET.replace(b"Host: a", b"Host: a\r\nRequest-Id: " + given)
        client = rig.connect_and_send(request + GET)
        client.until(b"\r\n\r\n", 2)
        ids = re.findall(rb"Request-Id: ([^\r]*)\r", client.received)
        assert len(ids) == 2 and len(set(ids)) == 2
        assert (ids[0] == given) == is_kept
        sent = [request.request_id.encode() for request in take_requests(rig)]
        assert sent == ids
