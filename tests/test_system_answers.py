"""Requirement 8 on real processes: each caller gets the whole answer to its request.

Callers pipeline large reads, each different, on persistent connections through all
instances. Meanwhile replicas differ in speed, one caller reads slowly and others close
their connections before reading.
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
REPEATS = 4000  # Repetitions of the name in an answer, which make it about 60 KB.
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
    """A caller that pipelines requests: it sends many before reading the answers."""

    system: System
    proxy: str
    name: str
    is_slow: bool = False
    wrong_answers: list[str] = field(factory=list)
    correct_count: int = 0

    def send_and_check(self) -> None:
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
                    self.check_answer(name, self.read_body(stream))

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

    def read_body(self, stream: BinaryIO) -> bytes:
        """Return the body of the next answer."""
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

    def check_answer(self, name: str, body: bytes) -> None:
        """Count the answer if it is that of the request, else record it as wrong."""
        if json.loads(body)["rows"] == [[f"{name}:{name * REPEATS}"]]:
            self.correct_count += 1
        else:
            self.wrong_answers.append(f"{name}: {body[:80]!r}")


def close_without_reading(system: System, proxy: str) -> None:
    """Send pipelined requests and close the connection without reading answers."""
    caller = Pipeline(system, proxy, "gone")
    address = urlsplit(proxy)
    for _ in range(BATCHES):
        target = (address.hostname or "", address.port or 0)
        with socket.create_connection(target) as connection:
            connection.sendall(caller.request("gone") * PIPELINED)


def test_pipelined_requests_get_their_own_answers(system: System) -> None:
    """Guards against answers that are swapped, mixed, truncated or lost."""
    callers = [
        Pipeline(system, proxy, f"caller{number}-{index}", is_slow=number + index == 0)
        for number, proxy in enumerate(system.proxies)
        for index in range(CALLERS_PER_INSTANCE)
    ]
    threads = [Thread(target=caller.send_and_check, daemon=True) for caller in callers]
    threads += [
        Thread(target=close_without_reading, args=(system, proxy), daemon=True)
        for proxy in system.proxies
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert [wrong for caller in callers for wrong in caller.wrong_answers] == []
    assert [caller.correct_count for caller in callers] == [PIPELINED * BATCHES] * len(
        callers
    )
