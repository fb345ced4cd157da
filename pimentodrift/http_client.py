"""A keep-alive HTTP connection that carries one call after the other.

It serves every HTTP service that an instance calls: a call brings its request and two
functions that turn the response, or the reason why there is none, into a message for
the core.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import httptools
import orjson
from attrs import define

from .sockets import Poller, Stream, connect
from .tables import State
from .timers import Timer

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


@define(eq=False)
class Call:
    """A request, and how its end is reported to the core.

    `convert` takes the status and the decoded body; `fail` takes the reason why there
    is no response. The call may have taken effect all the same.
    """

    request: bytes
    convert: Callable[[int, Any], object]
    fail: Callable[[str], object]
    timer: Timer | None = None


class HttpConnection:
    """A connection to one address, opened on demand and again after a loss.

    `service` names the counters of the calls.
    """

    def __init__(
        self,
        service: str,
        address: str,
        state: State,
        poller: Poller,
        deliver_all: Callable[[list[object]], None],
    ) -> None:
        self.service = service
        self.address = address
        self.state = state
        self.poller = poller
        self.deliver_all = deliver_all
        self.calls: deque[Call] = deque()
        self.is_sent = False  # The first call is on its way.
        self.stream: Stream | None = None
        self.reset_response()

    def reset_response(self) -> None:
        """Prepare for the next response."""
        self.body: list[bytes] = []
        self.size = 0
        self.complete = False
        self.keep_alive = False
        self.status = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    def add(self, call: Call, timeout_s: float) -> None:
        """Queue a call."""
        self.state.counters[f"{self.service}.calls"] += 1
        call.timer = self.poller.timers.call_later(
            timeout_s, lambda: self.time_out(call)
        )
        self.calls.append(call)
        self.send_next()

    def send_next(self) -> None:
        """Send the first call if none is on its way."""
        if self.is_sent or not self.calls:
            return
        if self.stream is None:
            try:
                self.stream = connect(self.poller, self.address, self)
            except OSError as error:
                self.fail_first(str(error))
                return
        self.reset_response()
        self.is_sent = True
        self.stream.write(self.calls[0].request)

    def fail_first(self, detail: str) -> None:
        """Fail the first call and go on with the next."""
        call = self.calls.popleft()
        self.is_sent = False
        self.end_failed(call, detail)

    def end_failed(self, call: Call, detail: str) -> None:
        """Report a call without a usable response."""
        self.state.counters[f"{self.service}.failed"] += 1
        self.end(call, call.fail(detail))

    def end(self, call: Call, message: object) -> None:
        """Report a call and go on with the next."""
        if call.timer is not None:
            call.timer.cancel()
        self.deliver_all([message])
        self.send_next()

    def time_out(self, call: Call) -> None:
        """Give up a call; its late response must not be taken for the next."""
        if call not in self.calls:
            return
        if call is self.calls[0]:
            self.disconnect()
            self.fail_first("timeout")
        else:
            self.calls.remove(call)
            self.end_failed(call, "timeout")

    def disconnect(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def abandon(self) -> None:
        """Drop the calls without a report."""
        for call in self.calls:
            if call.timer is not None:
                call.timer.cancel()
        self.calls.clear()
        self.is_sent = False
        self.disconnect()

    def on_connected(self) -> None:
        """Do nothing; the request is queued."""

    def on_drained(self) -> None:
        """Do nothing; requests are sent one at a time."""

    def on_data(self, data: bytes) -> None:
        """Parse the response."""
        self.size += len(data)
        if not self.is_sent or self.size > MAX_RESPONSE_BYTES:
            self.drop("unexpected or too large response")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.drop(f"bad response: {error}")
            return
        if self.complete:
            self.respond()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the response; the parser forgets its state afterwards."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.status = self.parser.get_status_code()

    def respond(self) -> None:
        """Report the first call."""
        call = self.calls.popleft()
        self.is_sent = False
        if not self.keep_alive:
            self.disconnect()
        try:
            value = orjson.loads(b"".join(self.body) or b"null")
            message = call.convert(self.status, value)
        except (ValueError, KeyError, TypeError) as error:
            self.end_failed(call, f"bad response: {error!r}")
            return
        self.end(call, message)

    def drop(self, detail: str) -> None:
        """Close the connection and fail its call."""
        self.disconnect()
        if self.is_sent:
            self.fail_first(detail)

    def on_closed(self) -> None:
        """Fail the call on its way; an idle connection is opened again on demand."""
        self.stream = None
        if self.is_sent:
            self.fail_first("connection closed")


def http_request(
    method: str, host: str, path: str, headers: str = "", body: bytes = b""
) -> bytes:
    """Return the bytes of a request; `headers` are whole lines."""
    if body:
        headers += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    return f"{head}{headers}\r\n".encode() + body
