"""HTTP/1.1 for callers: connections, pipelining, limits and refusals of the shell.

A whole request becomes a `CallerRequest` for the core and a `CallerAnswer` comes
back, at any later time and in any order; answers leave in the order of the requests.
"""

import re
import socket
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from time import monotonic

from attrs import define, field

from .errors import Failure, Problem, not_run, outcome_unknown
from .http_answers import date_header, problem_response, render
from .http_requests import ParsedRequest, RequestParser
from .listeners import listen
from .messages import CallerAnswer, CallerGone, CallerRequest
from .shell_base import OutboxHandlers
from .sockets import HIGH_WATER_BYTES, SWEEP_S, Poller, Stream
from .tables import State

MAX_PIPELINED = 16
REQUEST_TIMEOUT_S = 30.0
UNREAD_ANSWER_TIMEOUT_S = 30.0
FULL_RETRY = timedelta(seconds=1)
# Other texts than these could break the header or the log line.
REQUEST_ID = re.compile(r"[!-~]{1,128}")
INCARNATION_BITS = 48
# Refused connections that may wait for their client to close first.
MAX_REFUSED = 256


@define(eq=False)
class AnswerSlot:
    """The place of an answer in the order of a connection's requests."""

    request: int
    parsed: ParsedRequest
    request_id: str
    answer: tuple[int, dict[str, str], bytes] | None = None


class CallerConnection:
    """One caller's connection."""

    def __init__(self, server: "HttpServer", connection: socket.socket) -> None:
        self.server = server
        self.parser = RequestParser(server.state.settings.max_body_bytes)
        self.slots: deque[AnswerSlot] = deque()
        self.backlog: deque[ParsedRequest] = deque()  # Beyond MAX_PIPELINED.
        self.ending = False  # No request is taken any more.
        self.deadline = 0.0  # Of the unfinished request.
        self.stream = Stream(
            server.poller, connection, self, write_timeout_s=UNREAD_ANSWER_TIMEOUT_S
        )

    def on_connected(self) -> None:
        """Do nothing; the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Parse requests and pass them on."""
        if self.ending:
            return
        parsed = self.parser.feed(data)
        if self.parser.expects_continue and not self.slots and not parsed:
            self.parser.expects_continue = False
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.server.poller.flush()
        self.note_unfinished(bool(parsed))
        self.backlog += parsed
        self.pump()

    def note_unfinished(self, is_new: bool) -> None:
        """Start or end the time limit of a half-sent request."""
        if not self.parser.unfinished:
            self.server.unfinished.discard(self)
        elif is_new or self not in self.server.unfinished:
            self.deadline = monotonic() + REQUEST_TIMEOUT_S
            self.server.unfinished.add(self)

    def pump(self) -> None:
        """Pass on as many requests as may be unanswered at a time."""
        requests: list[object] = []
        while self.backlog and not self.ending and self.has_room():
            requests.append(self.accept(self.backlog.popleft()))
        if self.parser.failure and not self.backlog and not self.ending:
            self.refuse(self.parser.failure)
        self.stream.set_reading(self.ending or (not self.backlog and self.has_room()))
        if requests:
            self.server.deliver_all(requests)

    def has_room(self) -> bool:
        """Return whether another request may wait for its answer."""
        return (
            len(self.slots) < MAX_PIPELINED and self.stream.pending < HIGH_WATER_BYTES
        )

    def accept(self, parsed: ParsedRequest) -> CallerRequest:
        """Give a request its number and its place."""
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

    def refuse(self, failure: Failure) -> None:
        """Answer a broken request in its turn and end the connection."""
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
        """Write the answers whose predecessors are written."""
        slots = self.slots
        while slots and (answer := slots[0].answer) is not None:
            slot = slots.popleft()
            # In a planned stop, all requests already taken are still answered.
            stops = self.server.closes_connections() and not slots and not self.backlog
            is_last = stops or not slot.parsed.keep_alive
            self.write(slot, answer, is_last)
            if is_last:
                self.end()
                return
        if self.backlog or not self.stream.reading or self.parser.failure:
            self.pump()

    def write(
        self,
        slot: AnswerSlot,
        answer: tuple[int, dict[str, str], bytes],
        is_last: bool,
    ) -> None:
        """Write an answer."""
        self.server.state.counters[f"http.answers.{answer[0]}"] += 1
        fixed = f"{self.server.date}Request-Id: {slot.request_id}\r\n"
        if is_last:
            fixed += "Connection: close\r\n"
        elif slot.parsed.http_1_0:
            fixed += "Connection: keep-alive\r\n"
        self.stream.write(render(*answer, fixed, slot.parsed.method != "HEAD"))

    def end(self) -> None:
        """Close after the last answer; later requests of the pipeline do not run."""
        self.ending = True
        self.forget_requests()
        self.stream.finish()

    def on_drained(self) -> None:
        """Take requests again."""
        self.pump()

    def on_closed(self) -> None:
        """Tell the core which requests lost their caller."""
        self.ending = True
        self.parser.close()
        self.server.connections.discard(self)
        self.forget_requests()

    def forget_requests(self) -> None:
        """Drop requests that can no longer be answered."""
        self.backlog.clear()
        self.server.unfinished.discard(self)
        gone = [slot.request for slot in self.slots if slot.answer is None]
        self.slots.clear()
        for number in gone:
            self.server.slots.pop(number, None)
        if gone:
            self.server.deliver_all([CallerGone(number) for number in gone])


class HttpServer:
    """All callers' connections of an instance."""

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
        # Ids stay different after a restart.
        self.incarnation = f"{state.random.getrandbits(INCARNATION_BITS):012x}"
        self.listener = listen(poller, address or state.settings.listen, self.accepted)
        poller.timers.call_every(SWEEP_S, self.sweep)

    def accepted(self, connection: socket.socket) -> None:
        """Begin to serve a caller, unless there are too many."""
        if len(self.connections) >= self.state.settings.max_connections:
            self.state.counters["http.refused.connections"] += 1
            refuse_connection(self, connection)
            return
        self.state.counters["http.accepted"] += 1
        self.connections.add(CallerConnection(self, connection))

    def request_id(self, number: int, parsed: ParsedRequest) -> str:
        """Return the caller's own id of a request, or a new one."""
        given = parsed.headers.get("request-id", "")
        if REQUEST_ID.fullmatch(given):
            return given
        return f"{self.incarnation}-{number}"

    def answer(self, message: CallerAnswer) -> None:
        """Give a request its answer; a caller that has gone gets none."""
        found = self.slots.pop(message.request, None)
        if found is None:
            return
        connection, slot = found
        slot.answer = (message.status, message.headers, message.body)
        connection.write_in_order()

    def drop(self, request: int) -> None:
        """Close the connection of a request that met an internal error."""
        found = self.slots.get(request)
        if found is not None:
            found[0].stream.fail()

    def closes_connections(self) -> bool:
        """Return whether answers ask the caller to connect elsewhere."""
        return self.state.stopping or self.exiting

    def sweep(self) -> None:
        """Renew the date and refuse requests that stay half-sent."""
        self.date = date_header(self.state.clock.now())
        now = monotonic()
        for connection in list(self.unfinished):
            if not connection.stream.reading:
                connection.deadline = now + REQUEST_TIMEOUT_S
            elif now >= connection.deadline:
                detail = f"the request was incomplete after {REQUEST_TIMEOUT_S:.0f} s"
                connection.parser.failure = not_run(Problem.BAD_REQUEST, detail)
                connection.pump()

    def stop_listening(self) -> None:
        """Accept what has connected already, and nothing more."""
        while self.listener.accept():
            pass
        self.listener.close()

    def end_idle(self) -> None:
        """Close the connections that wait for no answer."""
        self.exiting = True
        for connection in list(self.connections):
            if not connection.slots and not connection.backlog:
                connection.stream.read()  # A request may just have arrived.
            if not connection.slots and not connection.backlog:
                connection.end()

    def answer_rest(self) -> None:
        """Answer the requests that the core leaves unanswered at the exit."""
        failure = outcome_unknown(
            Problem.INSTANCE_STOPPING, "the request was still running"
        )
        status, headers, body = problem_response(failure)
        for number in list(self.slots):
            self.answer(CallerAnswer(number, status, headers, body))

    def outbox_handlers(self) -> OutboxHandlers:
        """Return what the edge carries out."""
        return {CallerAnswer: self.answer}

    def gauges(self) -> dict[str, int]:
        """Return the sizes of what the edge keeps."""
        return {
            "http.connections": len(self.connections),
            "http.requests": len(self.slots),
        }

    def close(self) -> None:
        """Close everything."""
        for connection in list(self.connections):
            connection.stream.close()
        self.connections.clear()


@define(eq=False)
class RefusedConnection:
    """A connection beyond the limit, until its refusal is delivered."""

    server: HttpServer
    stream: Stream = field(init=False)

    def on_connected(self) -> None:
        """Do nothing; the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Ignore the request."""

    def on_drained(self) -> None:
        """Ignore the end of a hold-up."""

    def on_closed(self) -> None:
        """Free the place."""
        self.server.refused.discard(self)


def refuse_connection(server: HttpServer, connection: socket.socket) -> None:
    """Answer 503 without reading a request."""
    if len(server.refused) >= MAX_REFUSED:
        connection.close()
        return
    limit = server.state.settings.max_connections
    detail = f"the instance serves at most {limit} connections"
    failure = not_run(Problem.QUEUE_FULL, detail, FULL_RETRY)
    status, headers, body = problem_response(failure)
    fixed = server.date + "Connection: close\r\n"
    refused = RefusedConnection(server)
    refused.stream = Stream(server.poller, connection, refused)
    server.refused.add(refused)
    refused.stream.write(render(status, headers, body, fixed, True))
    refused.stream.finish()
