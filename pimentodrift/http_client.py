"""An HTTP client connection that sends queued calls one after the other.

Every HTTP service that an instance calls uses it. A call consists of its request and
two functions that turn the response, or the reason why there is none, into a message
for the core.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

import httptools
from attrs import define

from .json_parts import decode_json
from .sockets import Poller, Stream, connect
from .tables import State
from .timers import Timer

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


@define(eq=False)
class Call:
    """A request and the functions that create the message about its result.

    `convert_response` takes the status and the decoded body. `convert_failure` takes
    the reason why there is no usable response; the service may have carried out the
    request all the same. `convert_unsent`, if there is one, takes it instead where no
    byte of the request was sent. `part_depth` is how deep the values of the body are
    nested that may be unreadable one by one; with 0, the body is decoded as a whole.
    """

    request: bytes
    convert_response: Callable[[int, Any], object]
    convert_failure: Callable[[str], object]
    part_depth: int = 0
    convert_unsent: Callable[[str], object] | None = None
    timer: Timer | None = None
    send_timer: Timer | None = None
    is_sent: bool = False  # At least in part.


class HttpConnection:
    """A keep-alive connection to one address, opened on demand and after a loss.

    `service` is the prefix of the counters of calls.
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
        self.is_in_flight = False  # The first call was sent and has no response yet.
        self.stream: Stream | None = None
        self.sent_before = 0  # Bytes sent on the stream before the first call.
        self.reset_response()

    def reset_response(self) -> None:
        """Reset what is known of the response, for the next call."""
        self.body: list[bytes] = []
        self.response_bytes = 0
        self.headers: dict[bytes, bytes] = {}  # Of the response, by lower-case name.
        self.is_complete = False
        self.keep_alive = False
        self.status = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    def add(
        self, call: Call, timeout_s: float, send_timeout_s: float | None = None
    ) -> None:
        """Queue a call; its timeout includes the time in the queue.

        After `send_timeout_s`, a call of which no byte was sent fails.
        """
        self.state.counters[f"{self.service}.calls"] += 1
        timers = self.poller.timers
        call.timer = timers.call_later(timeout_s, lambda: self.time_out(call))
        if send_timeout_s is not None:
            call.send_timer = timers.call_later(
                send_timeout_s, lambda: self.time_out_unsent(call)
            )
        self.calls.append(call)
        self.send_next()

    def send_next(self) -> None:
        """Send the first queued call if none is in flight."""
        if self.is_in_flight or not self.calls:
            return
        if self.stream is None:
            try:
                self.stream = connect(self.poller, self.address, self)
            except OSError as error:
                self.fail_first_call(str(error))
                return
        self.reset_response()
        self.is_in_flight = True
        self.sent_before = self.stream.sent
        self.stream.write(self.calls[0].request)

    def fail_first_call(self, detail: str) -> None:
        """Report the first call as failed and send the next one."""
        call = self.calls.popleft()
        self.is_in_flight = False
        self.report_failure(call, detail)

    def report_failure(self, call: Call, detail: str) -> None:
        """Deliver the message about a call without a usable response."""
        self.state.counters[f"{self.service}.failed"] += 1
        convert = call.convert_failure
        if call.convert_unsent is not None and not call.is_sent:
            convert = call.convert_unsent
        self.report(call, convert(detail))

    def record_sending(self) -> None:
        """Record whether a part of the call in flight was sent on the stream."""
        if self.is_in_flight and self.stream is not None:
            self.calls[0].is_sent = self.stream.sent > self.sent_before

    def report(self, call: Call, message: object) -> None:
        """Deliver the message about a call that ended and send the next call."""
        cancel_timers(call)
        self.deliver_all([message])
        self.send_next()

    def time_out_unsent(self, call: Call) -> None:
        """Fail a call of which no byte was sent."""
        self.record_sending()
        if not call.is_sent:
            self.time_out(call)

    def time_out(self, call: Call) -> None:
        """Fail a call after its timeout.

        If the call is in flight, the connection is closed: the late response would be
        taken for that of the next call.
        """
        if call not in self.calls:
            return
        if call is self.calls[0]:
            self.disconnect()
            self.fail_first_call("timeout")
        else:
            self.calls.remove(call)
            self.report_failure(call, "timeout")

    def disconnect(self) -> None:
        """Close the connection."""
        self.record_sending()
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def abandon(self) -> None:
        """Drop all calls without delivering messages, and close the connection."""
        for call in self.calls:
            cancel_timers(call)
        self.calls.clear()
        self.is_in_flight = False
        self.disconnect()

    def on_connected(self) -> None:
        """Do nothing; the request is queued."""

    def on_drained(self) -> None:
        """Do nothing; requests are sent one at a time."""

    def on_data(self, data: bytes) -> None:
        """Parse received bytes of the response."""
        self.response_bytes += len(data)
        if not self.is_in_flight or self.response_bytes > MAX_RESPONSE_BYTES:
            self.disconnect_with_error("unexpected or too large response")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.disconnect_with_error(f"bad response: {error}")
            return
        if self.is_complete:
            self.complete_first_call()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the response."""
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Store status and keep-alive; the parser resets them after this callback."""
        self.is_complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.status = self.parser.get_status_code()

    def complete_first_call(self) -> None:
        """Deliver the message about the first call, whose response is complete."""
        call = self.calls.popleft()
        call.is_sent = True
        self.is_in_flight = False
        if not self.keep_alive:
            self.disconnect()
        try:
            value = decode_json(b"".join(self.body) or b"null", call.part_depth)
            message = call.convert_response(self.status, value)
        except (ValueError, KeyError, TypeError) as error:
            self.report_failure(call, f"bad response: {error!r}")
            return
        self.report(call, message)

    def disconnect_with_error(self, detail: str) -> None:
        """Close the connection and fail the call in flight."""
        self.disconnect()
        if self.is_in_flight:
            self.fail_first_call(detail)

    def on_closed(self) -> None:
        """Fail the call in flight; the next call opens a new connection."""
        self.record_sending()
        self.stream = None
        if self.is_in_flight:
            self.fail_first_call("connection closed")


def cancel_timers(call: Call) -> None:
    """Cancel the timeouts of a call that has ended."""
    for timer in (call.timer, call.send_timer):
        if timer is not None:
            timer.cancel()


def http_request(
    method: str, host: str, path: str, headers: str = "", body: bytes = b""
) -> bytes:
    """Return the bytes of a request; `headers` are whole header lines."""
    if body:
        headers += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    return f"{head}{headers}\r\n".encode() + body
