"""Requirement 8 on real processes: each caller gets the whole answer to its request.

Large different reads are pipelined on kept connections through all instances, while
replicas differ in speed, one caller reads slowly and others leave in the middle.
"""

import json
import socket
import time
from collections.abc import Iterator
from threading import Thread
from typing import BinaryIO, cast
from urllib.parse import urlsplit

import pytest
from attrs import define, field

from .system_support import TEST_TIMEOUT_S, System, running_system

PIPELINED = 16
BATCHES = 5
CALLERS_PER_INSTANCE = 2
REPEATS = 4000  # Of the name in an answer: about 60 KB.
STATEMENT = f"SELECT $1 || ':' || replace(hex(zeroblob({REPEATS})), '00', $1)"
PATH = "/v1/groups/certificates/statements"
SLOW_BYTES = 65_536
SLOW_PAUSE_S = 0.01
RECEIVE_BUFFER_BYTES = 16_384


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        for number, row in enumerate(result.endpoints("certificates")):
            result.set_control(row["name"], "service_ms", 1 + 4 * number)
        yield result


@define
class Pipeline:
    """A caller that sends many requests before it reads the answers."""

    system: System
    proxy: str
    name: str
    is_slow: bool = False
    wrong: list[str] = field(factory=list)
    right: int = 0

    def work(self) -> None:
        """Send batches and compare each answer with its request."""
        address = urlsplit(self.proxy)
        with socket.socket() as connection:
            if self.is_slow:
                size = RECEIVE_BUFFER_BYTES
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            connection.settimeout(TEST_TIMEOUT_S)
            connection.connect((address.hostname or "", address.port or 0))
            stream = cast(BinaryIO, connection.makefile("rb"))
            for batch in range(BATCHES):
                names = [f"{self.name}-{batch}-{at}" for at in range(PIPELINED)]
                connection.sendall(b"".join(map(self.request, names)))
                for name in names:
                    self.compare(name, self.receive(stream))

    def request(self, name: str) -> bytes:
        """Return the bytes of a request."""
        content = {"statement": STATEMENT, "parameters": [name], "access": "read"}
        body = json.dumps(content)
        headers = {
            **self.system.headers(),
            "Host": "test",
            "Content-Length": str(len(body)),
        }
        lines = "".join(f"{key}: {text}\r\n" for key, text in headers.items())
        return f"POST {PATH} HTTP/1.1\r\n{lines}\r\n{body}".encode()

    def receive(self, stream: BinaryIO) -> bytes:
        """Return the next answer's body."""
        status = stream.readline()
        length = 0
        while (line := stream.readline().strip()) != b"":
            key, _, text = line.partition(b":")
            if key.lower() == b"content-length":
                length = int(text)
        body = b""
        while len(body) < length:
            wanted = min(SLOW_BYTES, length - len(body))
            if self.is_slow:
                time.sleep(SLOW_PAUSE_S)
            part = stream.read(wanted)
            assert part, f"{self.name}: the answer ended after {len(body)} bytes"
            body += part
        assert status.startswith(b"HTTP/1.1 200"), (status, body)
        return body

    def compare(self, name: str, body: bytes) -> None:
        """Note an answer that is not the request's own."""
        if json.loads(body)["rows"] == [[f"{name}:{name * REPEATS}"]]:
            self.right += 1
        else:
            self.wrong.append(f"{name}: {body[:80]!r}")


def leave_in_the_middle(system: System, proxy: str) -> None:
    """Send pipelined requests and close the connection without reading."""
    caller = Pipeline(system, proxy, "gone")
    address = urlsplit(proxy)
    for _ in range(BATCHES):
        target = (address.hostname or "", address.port or 0)
        with socket.create_connection(target) as connection:
            connection.sendall(caller.request("gone") * PIPELINED)


def test_pipelined_large_answers(system: System) -> None:
    """Guards against answers that are swapped, mixed, cut or lost."""
    callers = [
        Pipeline(system, proxy, f"caller{number}-{index}", is_slow=number + index == 0)
        for number, proxy in enumerate(system.proxies)
        for index in range(CALLERS_PER_INSTANCE)
    ]
    threads = [Thread(target=caller.work, daemon=True) for caller in callers]
    threads += [
        Thread(target=leave_in_the_middle, args=(system, proxy), daemon=True)
        for proxy in system.proxies
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [wrong for caller in callers for wrong in caller.wrong] == []
    assert [caller.right for caller in callers] == [PIPELINED * BATCHES] * len(callers)
