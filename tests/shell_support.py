"""A shell with a stub core, whose event loop the test runs step by step."""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from random import Random
from time import monotonic

from attrs import define, evolve, field

from pimentodrift.clock import SystemClock
from pimentodrift.event_log import null_log
from pimentodrift.messages import CallerAnswer, CallerRequest
from pimentodrift.process import Instance
from pimentodrift.shell import Shell
from pimentodrift.sockets import Poller
from pimentodrift.tables import State
from pimentodrift.ticks import TICK

from .support import make_state

MAX_STEPS = 20_000
STEP_S = 0.002


@define(eq=False)
class StubCore:
    """Records messages; answers callers at once unless `answers` is False."""

    received: list[object] = field(factory=list)
    answers: bool = True
    raises: bool = False

    def handle(self, message: object, state: State) -> None:
        if self.raises:
            raise RuntimeError("a fault of the core")
        self.received.append(message)
        if isinstance(message, CallerRequest) and self.answers:
            state.outbox.append(answer_to(message))

    def tick(self, state: State) -> None:
        pass

    def tick_interval(self, state: State) -> timedelta:
        return TICK

    def take_outbox(self, state: State) -> list[object]:
        messages, state.outbox = state.outbox, []
        return messages

    def received_of(self, kind: type) -> list[object]:
        return [message for message in self.received if isinstance(message, kind)]


def answer_to(message: CallerRequest) -> CallerAnswer:
    body = f"{message.method} {message.path} {len(message.body)}".encode()
    return CallerAnswer(message.request, 200, {"Content-Type": "text/plain"}, body)


@define(eq=False)
class Rig:
    """An instance's shell with its stub core; `step` runs its event loop once."""

    poller: Poller
    shell: Shell
    core: StubCore
    state: State

    def until(self, condition: Callable[[], object]) -> None:
        for _ in range(MAX_STEPS):
            if condition():
                return
            self.step()
        raise AssertionError("the condition was not met in time")

    def send_from_core(self, *messages: object) -> None:
        """Let the shell handle messages as if the core had put them into its outbox."""
        self.state.outbox.extend(messages)
        self.shell.process_outbox()

    def step(self) -> None:
        self.poller.run_timers(monotonic())
        self.poller.poll_once(STEP_S)

    def dial(self, port: int) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", port))
        client.setblocking(False)
        return client

    def connect_and_send(self, data: bytes) -> "Client":
        client = Client(self, self.dial(self.shell.http.listener.port))
        client.send(data)
        return client


@define(eq=False)
class Client:
    """A caller's connection to the HTTP server."""

    rig: Rig
    connection: socket.socket
    received: bytes = b""
    closed: bool = False

    def send(self, data: bytes) -> None:
        self.connection.sendall(data)

    def receive(self) -> bytes:
        try:
            data = self.connection.recv(1 << 20)
        except BlockingIOError:
            return self.received
        except ConnectionResetError:
            data = b""
        self.closed = self.closed or not data
        self.received += data
        return self.received

    def until(self, text: bytes, times: int = 1) -> bytes:
        self.rig.until(lambda: self.receive().count(text) >= times)
        return self.received

    def until_closed(self) -> bytes:
        self.rig.until(lambda: (self.receive(), self.closed)[1])
        return self.received


@contextmanager
def running(**settings: object) -> Iterator[Rig]:
    state = make_state()
    state.clock = SystemClock()
    state.random = Random(1)
    state.settings = evolve(state.settings, **settings)  # type: ignore[misc]
    instance = Instance(state, null_log(state))
    core = StubCore()
    instance.shell.core = core
    try:
        yield Rig(instance.poller, instance.shell, core, state)
    finally:
        instance.shell.close()
        instance.shell.http.listener.close()
