"""A PostgreSQL v3 protocol server for tests; a function answers each statement."""

import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress

from attrs import define, field

# The answer to a statement: columns with type OIDs, and rows; or an error's SQLSTATE.
Answer = tuple[list[tuple[str, int]], list[list[bytes | None]]] | str
Script = Callable[[str, list[bytes | None]], Answer]


def frame(kind: bytes, body: bytes = b"") -> bytes:
    return kind + struct.pack("!i", len(body) + 4) + body


READY = frame(b"Z", b"I")
WELCOME = frame(b"R", struct.pack("!i", 0)) + frame(b"K", struct.pack("!ii", 1, 2))


@define(eq=False)
class PostgresScript:
    """Serves each connection in a thread until the server is closed."""

    script: Script
    answers_startup: bool = True
    server: socket.socket = field(
        factory=lambda: socket.create_server(("127.0.0.1", 0))
    )
    connections: list[socket.socket] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.getsockname()[1]}"

    def accept(self) -> None:
        while True:
            try:
                connection = self.server.accept()[0]
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def disconnect_all(self) -> None:
        for connection in self.connections:
            connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.close()

    def run(self, connection: socket.socket) -> None:
        with suppress(ConnectionError):  # The client may close at any time.
            self.serve(connection)

    def serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        head = stream.read(4)
        if not self.answers_startup or len(head) < 4:
            return
        stream.read(struct.unpack("!i", head)[0] - 4)
        connection.sendall(WELCOME + READY)
        text, parameters, failed = "", list[bytes | None](), False
        while kind := stream.read(1):
            body = stream.read(struct.unpack("!i", stream.read(4))[0] - 4)
            if kind == b"S":
                failed = False
                connection.sendall(READY)
            elif failed:
                continue
            elif kind == b"P":
                text = body[1:].split(b"\0")[0].decode()
                connection.sendall(frame(b"1"))
            elif kind == b"B":
                parameters = bound_parameters(body)
                connection.sendall(frame(b"2"))
            elif kind == b"E":
                answer = self.script(text, parameters)
                failed = isinstance(answer, str)
                connection.sendall(encode_answer(answer))


def bound_parameters(body: bytes) -> list[bytes | None]:
    """Return the parameters of a Bind message with unnamed portal and statement."""
    offset = 2
    (formats,) = struct.unpack_from("!h", body, offset)
    offset += 2 + 2 * formats
    (count,) = struct.unpack_from("!h", body, offset)
    offset += 2
    values: list[bytes | None] = []
    for _ in range(count):
        (size,) = struct.unpack_from("!i", body, offset)
        offset += 4
        values.append(body[offset : offset + size] if size >= 0 else None)
        offset += max(size, 0)
    return values


def encode_answer(answer: Answer) -> bytes:
    """Return the response to Describe and Execute."""
    if isinstance(answer, str):
        fields = f"SERROR\0C{answer}\0Mrefused\0\0"
        return frame(b"E", fields.encode())
    columns, rows = answer
    parts = [struct.pack("!h", len(columns))]
    for name, oid in columns:
        parts.append(
            name.encode() + b"\0" + struct.pack("!ihihih", 0, 0, oid, -1, -1, 0)
        )
    data = [frame(b"T", b"".join(parts)) if columns else frame(b"n")]
    for row in rows:
        cells = b"".join(
            struct.pack("!i", -1)
            if cell is None
            else struct.pack("!i", len(cell)) + cell
            for cell in row
        )
        data.append(frame(b"D", struct.pack("!h", len(row)) + cells))
    return b"".join([*data, frame(b"C", b"SELECT\0")])
