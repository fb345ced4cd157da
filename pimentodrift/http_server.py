"""The HTTP/1.1 server for callers: connections, pipelining, limits and refusals.

A complete request becomes a `CallerRequest` for the core. The core returns each
`CallerAnswer` at any later time; the answers of a connection are written in the order
of its requests.
"""

import re
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from time import monotonic

from attrs import define, field

from .errors import Failure, Problem, not_run, outcome_unknown
from .http_answers import date_header, format_answer, problem_response
from .http_requests import ParsedRequest, RequestParser
from .listeners import listen
from .messages import CallerAnswer, CallerGone, CallerRequest
from .shell_base import OutboxHandlers
from .sockets import HIGH_WATER_BYTES, TIMEOUT_CHECK_S, Poller, Stream
from .tables import State

MAX_PIPELINED = 16
REQUEST_TIMEOUT_S = 30.0
UNREAD_ANSWER_TIMEOUT_S = 30.0
FULL_RETRY_AFTER = timedelta(seconds=1)
# Request ids with other characters could break the header or the log line.
REQUEST_ID = re.compile(r"[!-~]{1,128}")
INCARNATION_BITS = 48
# Connections beyond `max_connections` that may wait for their client to close first.
MAX_REFUSED_CONNECTIONS = 256


@define(eq=False)
class AnswerSlot:
    """A request of a connection and its answer, None until the core gives it."""

    request: int
    parsed: ParsedRequest
    request_id: str
    answer: tuple[int, dict[str, str], bytes] | None = None


class CallerConnection:
    """A caller's connection with its pipelined requests."""

    def __init__(self, server: "HttpServer", connection: socket.socket) -> None:
        self.server = server
        self.parser = RequestParser(server.state.settings.max_body_bytes)
        self.slots: deque[AnswerSlot] = deque()
        self.backlog: deque[ParsedRequest] = deque()  # Not yet passed to the core.
        self.ending = False  # No more requests are passed to the core.
        self.deadline = 0.0  # Monotonic time until the unfinished request is complete.
        self.stream = Stream(
            server.poller, connection, self, write_timeout_s=UNREAD_ANSWER_TIMEOUT_S
        )

    def on_connected(self) -> None:
        """Do nothing; the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Parse requests and pass them to the core."""
        if self.ending:
            return
        parsed = self.parser.feed(data)
        if self.parser.expects_continue and not self.slots and not parsed:
            self.parser.expects_continue = False
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.server.poller.flush()
        self.update_request_deadline(bool(parsed))
        self.backlog += parsed
        self.process_backlog()

    def update_request_deadline(self, is_new: bool) -> None:
        """Start or end the deadline of an incomplete request."""
        if not self.parser.unfinished:
            self.server.unfinished.discard(self)
        elif is_new or self not in self.server.unfinished:
            self.deadline = monotonic() + REQUEST_TIMEOUT_S
            self.server.unfinished.add(self)

    def process_backlog(self) -> None:
        """Pass requests to the core, up to the limit of unanswered ones.

        Reading pauses while requests remain in the backlog.
        """
        requests: list[object] = []
        while self.backlog and not self.ending and self.has_room():
            requests.append(self.register_request(self.backlog.popleft()))
        if self.parser.failure and not self.backlog and not self.ending:
            self.refuse_request(self.parser.failure)
        self.stream.set_reading(self.ending or (not self.backlog and self.has_room()))
        if requests:
            self.server.deliver_all(requests)

    def has_room(self) -> bool:
        """Return whether the limits allow one more unanswered request."""
        return (
            len(self.slots) < MAX_PIPELINED and self.stream.pending < HIGH_WATER_BYTES
        )

    def register_request(self, parsed: ParsedRequest) -> CallerRequest:
        """Give a request its number and its slot; return the message for the core."""
        number = self.server.state.new_number()
        slot = AnswerSlot(number, parsed, self.server.request_id(number, parsed))
        self.slots.append(slot)
        self.server.slots[number] = (self, slot)
        self.ending = not parsed.keep_alive
        return CallerRequest(
            number,
            parsed.method,
            parsed.path,
            parsed.headers,
            parsed.body,
            slot.request_id,
        )

    def refuse_request(self, failure: Failure) -> None:
        """Answer a refused request after those before it; end the connection."""
        self.ending = True
        self.server.state.counters[f"http.refused.{failure.problem}"] += 1
        parsed = ParsedRequest("", "", {}, b"", keep_alive=False)
        number = self.server.state.new_number()
        slot = AnswerSlot(0, parsed, self.server.request_id(number, parsed))
        slot.answer = problem_response(failure)
        self.slots.append(slot)
        self.server.unfinished.discard(self)
        self.write_in_order()

    def write_in_order(self) -> None:
        """Write the answers whose preceding answers are written."""
        slots = self.slots
        while slots and (answer := slots[0].answer) is not None:
            slot = slots.popleft()
            # In a graceful shutdown, the connection closes only after the answers to
            # all requests that were received.
            stops = self.server.closes_connections() and not slots and not self.backlog
            is_last = stops or not slot.parsed.keep_alive
            self.write_answer(slot, answer, is_last)
            if is_last:
                self.end_pipeline()
                return
        if self.backlog or not self.stream.reading or self.parser.failure:
            self.process_backlog()

    def write_answer(
        self,
        slot: AnswerSlot,
        answer: tuple[int, dict[str, str], bytes],
        is_last: bool,
    ) -> None:
        """Write an answer to the stream."""
        self.server.state.counters[f"http.answers.{answer[0]}"] += 1
        server_headers = f"{self.server.date}Request-Id: {slot.request_id}\r\n"
        if is_last:
            server_headers += "Connection: close\r\n"
        elif slot.parsed.http_1_0:
            server_headers += "Connection: keep-alive\r\n"
        self.stream.write(
            format_answer(*answer, server_headers, slot.parsed.method != "HEAD")
        )

    def end_pipeline(self) -> None:
        """Close after the last answer; later pipelined requests are not run."""
        self.ending = True
        self.cancel_requests()
        self.stream.finish()

    def on_drained(self) -> None:
        """Resume taking requests."""
        self.process_backlog()

    def on_closed(self) -> None:
        """Remove the connection and tell the core that its caller has gone."""
        self.ending = True
        self.parser.close()
        self.server.connections.discard(self)
        self.cancel_requests()

    def cancel_requests(self) -> None:
        """Drop the connection's requests and tell the core which were unanswered."""
        self.backlog.clear()
        self.server.unfinished.discard(self)
        unanswered = [slot.request for slot in self.slots if slot.answer is None]
        self.slots.clear()
        for number in unanswered:
            self.server.slots.pop(number, None)
        if unanswered:
            self.server.deliver_all([CallerGone(number) for number in unanswered])


class HttpServer:
    """Serves all callers' connections of an instance."""

    def __init__(
        self,
        state: State,
        poller: Poller,
        deliver_all: Callable[[list[object]], None],
        address: str = "",
    ) -> None:
        self.state = state
        self.poller = poller
        self.deliver_all: Callable[[list[object]], None] = deliver_all
        self.slots: dict[int, tuple[CallerConnection, AnswerSlot]] = {}
        self.connections: set[CallerConnection] = set()
        self.unfinished: set[CallerConnection] = set()
        self.refused: set[RefusedConnection] = set()
        self.date = date_header(state.clock.now())
        self.exiting = False
        # A random part keeps request ids unique across restarts.
        self.incarnation = f"{state.random.getrandbits(INCARNATION_BITS):012x}"
        self.listener = listen(poller, address or state.settings.listen, self.on_accept)
        poller.timers.call_every(TIMEOUT_CHECK_S, self.check_timeouts)

    def on_accept(self, connection: socket.socket) -> None:
        """Serve a new connection, or refuse it beyond `max_connections`."""
        if len(self.connections) >= self.state.settings.max_connections:
            self.state.counters["http.refused.connections"] += 1
            refuse_connection(self, connection)
            return
        self.state.counters["http.accepted"] += 1
        self.connections.add(CallerConnection(self, connection))

    def request_id(self, number: int, parsed: ParsedRequest) -> str:
        """Return the caller's id of a request if it is valid, else a new one."""
        given = parsed.headers.get("request-id", "")
        if REQUEST_ID.fullmatch(given):
            return given
        return f"{self.incarnation}-{number}"

    def answer(self, message: CallerAnswer) -> None:
        """Store and write the answer to a request unless the caller has gone."""
        found = self.slots.pop(message.request, None)
        if found is None:
            return
        connection, slot = found
        slot.answer = (message.status, message.headers, message.body)
        connection.write_in_order()

    def drop_connection(self, request: int) -> None:
        """Close the connection of a request that failed with an internal error."""
        found = self.slots.get(request)
        if found is not None:
            found[0].stream.fail()

    def closes_connections(self) -> bool:
        """Return whether answers close their connections because the instance stops."""
        return self.state.stopping or self.exiting

    def check_timeouts(self) -> None:
        """Renew the Date header and refuse requests incomplete at their deadline.

        The deadline is extended while backpressure pauses reading.
        """
        self.date = date_header(self.state.clock.now())
        now = monotonic()
        for connection in list(self.unfinished):
            if not connection.stream.reading:
                connection.deadline = now + REQUEST_TIMEOUT_S
            elif now >= connection.deadline:
                detail = f"the request was incomplete after {REQUEST_TIMEOUT_S:.0f} s"
                connection.parser.failure = not_run(Problem.BAD_REQUEST, detail)
                connection.process_backlog()

    def stop_listening(self) -> None:
        """Accept the connections in the listen backlog, then stop listening."""
        while self.listener.accept():
            pass
        self.listener.close()

    def close_idle_connections(self) -> None:
        """Close the connections without unanswered requests; the instance exits."""
        self.exiting = True
        for connection in list(self.connections):
            if not connection.slots and not connection.backlog:
                connection.stream.read()  # A request may just have arrived.
            if not connection.slots and not connection.backlog:
                connection.end_pipeline()

    def answer_remaining(self) -> None:
        """Answer the requests that the core has not answered before the exit."""
        failure = outcome_unknown(
            Problem.INSTANCE_STOPPING, "the request was still running"
        )
        status, headers, body = problem_response(failure)
        for number in list(self.slots):
            self.answer(CallerAnswer(number, status, headers, body))

    def outbox_handlers(self) -> OutboxHandlers:
        """Return the handler of the core's answers."""
        return {CallerAnswer: self.answer}

    def gauges(self) -> dict[str, int]:
        """Return the numbers of open connections and unanswered requests."""
        return {
            "http.connections": len(self.connections),
            "http.requests": len(self.slots),
        }

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.stream.close()
        self.connections.clear()


@define(eq=False)
class RefusedConnection:
    """A connection beyond `max_connections` until its client has read the refusal."""

    server: HttpServer
    stream: Stream = field(init=False)

    def on_connected(self) -> None:
        """Do nothing; the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Discard the request."""

    def on_drained(self) -> None:
        """Do nothing; there is no output beside the refusal."""

    def on_closed(self) -> None:
        """Remove the connection from the refused ones."""
        self.server.refused.discard(self)


def refuse_connection(server: HttpServer, connection: socket.socket) -> None:
    """Answer 503 without reading a request; with too many refusals, close at once."""
    if len(server.refused) >= MAX_REFUSED_CONNECTIONS:
        connection.close()
        return
    limit = server.state.settings.max_connections
    detail = f"the instance serves at most {limit} connections"
    failure = not_run(Problem.QUEUE_FULL, detail, FULL_RETRY_AFTER)
    status, headers, body = problem_response(failure)
    server_headers = server.date + "Connection: close\r\n"
    refused = RefusedConnection(server)
    refused.stream = Stream(server.poller, connection, refused)
    server.refused.add(refused)
    refused.stream.write(format_answer(status, headers, body, server_headers, True))
    refused.stream.finish()
