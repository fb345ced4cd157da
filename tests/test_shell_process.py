"""An instance on the circuits loop: start, signal and exit."""

import os
import signal
import socket
import threading

import pytest

from pimentodrift.dump import fetch_dump
from pimentodrift.event_log import null_log
from pimentodrift.messages import CallerRequest, ExitProcess, StopRequested
from pimentodrift.process import Instance
from pimentodrift.tables import State

from .shell_support import StubCore, answer_to
from .support import make_state

GET = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


class StoppingCore(StubCore):
    """Asks for the exit when told to stop, while its answers are still unwritten."""

    def handle(self, message: object, state: State) -> None:
        self.received.append(message)
        if isinstance(message, StopRequested):
            state.stopping = True
            requests = [m for m in self.received if isinstance(m, CallerRequest)]
            state.outbox.extend(answer_to(request) for request in requests)
            state.outbox.append(ExitProcess())


def test_signal_stops_the_instance_after_its_answers(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a shutdown that loses answers or never completes."""
    state = make_state()
    instance = Instance(state, null_log(state))
    stub = StoppingCore()
    instance.shell.core = stub
    port = instance.shell.http.listener.port
    peer_port = instance.shell.peers.listener.port
    received: list[bytes] = []

    def caller() -> None:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            connection.sendall(GET)
            dump = fetch_dump(f"127.0.0.1:{peer_port}")
            assert dump["settings"]["name"] == "a"
            os.kill(os.getpid(), signal.SIGTERM)
            while data := connection.recv(65536):
                received.append(data)

    thread = threading.Thread(target=caller)
    thread.start()
    before = signal.getsignal(signal.SIGTERM), signal.getsignal(signal.SIGINT)
    try:
        instance.run()
    finally:
        signal.signal(signal.SIGTERM, before[0])
        signal.signal(signal.SIGINT, before[1])
    thread.join()
    assert b"GET /healthz 0" in b"".join(received)
    assert b"Connection: close" in b"".join(received)
    assert not instance.running
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))
    assert "ERROR" not in capfd.readouterr().err
