"""Runs one database of a group as a process: the PostgreSQL protocol over SQLite.

Clients and replicas both connect with a startup packet; a replica's has the parameter
`replication`. The data is in a temporary directory that is removed at exit.

Tests change the behaviour with `SELECT standin_set(NAME, VALUE)`. The names are lag_ms,
service_ms, connect_ms, frozen (1 stops replay) and cut (1 stops replication in both
directions, while clients can still connect). `SELECT name, value FROM standin_counts()`
returns the numbers of reads, writes, commits and connections, and peaks. If the
environment variable STANDIN_RECORD_DIRECTORY is set, all bytes received from clients
are written to a file in that directory.
"""

import argparse
import asyncio
import itertools
import os
import sys
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import BinaryIO

from attrs import define, field

from . import replication, wire
from .client_protocol import ByteReader, ClientConnection
from .database import Database, Options, Role, Upstream
from .group_log import GroupLog
from .processes import CONNECTION_END_ERRORS, parse_host_port, wait_for_stop_signal
from .sql_errors import SqlError
from .sql_session import Slots, SqlSession
from .storage import Storage

TOO_MANY_CONNECTIONS = "53300"
RECORD_VARIABLE = "STANDIN_RECORD_DIRECTORY"
MIN_STARTUP_BYTES = 8  # The length and the protocol version.
MAX_STARTUP_BYTES = 10_000
SERVER_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}


@define(eq=False)
class RecordingReader:
    """Copies all bytes it reads to a file, for tests of what endpoints receive."""

    reader: ByteReader
    file: BinaryIO

    async def readexactly(self, n: int, /) -> bytes:
        """Return exactly n bytes and record them."""
        data = await self.reader.readexactly(n)
        self.file.write(data)
        return data


@define(eq=False)
class Server:
    """Accepts connections from clients and replicas of one database."""

    database: Database
    slots: Slots
    record: BinaryIO | None = None
    open_clients: int = 0
    client_numbers: Iterator[int] = field(factory=itertools.count)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        source: ByteReader = reader
        if self.record is not None:
            source = RecordingReader(reader, self.record)
        with suppress(*CONNECTION_END_ERRORS):
            parameters = await self.read_startup(source, writer)
            if parameters is None:
                pass
            elif "replication" in parameters:
                name = parameters["user"]
                await replication.serve_replica(name, reader, writer, self.database)
            else:
                await self.serve_client(source, writer)
        writer.close()

    async def read_startup(
        self, reader: ByteReader, writer: asyncio.StreamWriter
    ) -> dict[str, str] | None:
        """Return the parameters of the startup packet; None for a cancel request."""
        while True:
            (length,) = wire.INT32.unpack(await reader.readexactly(4))
            if not MIN_STARTUP_BYTES <= length <= MAX_STARTUP_BYTES:
                return None
            body = await reader.readexactly(length - wire.LENGTH_BYTES)
            (code,) = wire.INT32.unpack(body[:4])
            if code in (wire.SSL_REQUEST, wire.GSS_REQUEST):
                writer.write(b"N")
            elif code == wire.CANCEL_REQUEST:
                return None
            else:
                return wire.decode_startup_parameters(body[4:])

    async def serve_client(
        self, reader: ByteReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a client, or refuse it if the connection limit is reached."""
        options = self.database.options
        counts = self.database.counts
        if self.open_clients >= options.max_connections:
            counts["refused_connections"] += 1
            error = SqlError(TOO_MANY_CONNECTIONS, "too many connections", "FATAL")
            writer.write(wire.error_response(error))
            await writer.drain()
            return
        self.open_clients += 1
        counts["connections"] += 1
        counts["peak_connections"] = max(counts["peak_connections"], self.open_clients)
        try:
            await asyncio.sleep(options.connect_ms / 1000)
            self.accept_client(writer)
            session = SqlSession(self.database, self.slots)
            try:
                await ClientConnection(reader, writer, session).serve()
            finally:
                session.close()
        finally:
            self.open_clients -= 1

    def accept_client(self, writer: asyncio.StreamWriter) -> None:
        """Accept the client without a password."""
        writer.write(wire.encode_message(b"R", wire.INT32.pack(0)))
        for name, value in SERVER_PARAMETERS.items():
            writer.write(wire.parameter_status(name, value))
        key = wire.INT32.pack(next(self.client_numbers)) + wire.INT32.pack(0)
        writer.write(wire.encode_message(b"K", key))


def make_database(
    options: Options, directory: Path, upstream: Upstream | None
) -> Database:
    """Return an empty database: a replica if `upstream` is given, else a primary."""
    return Database(
        options,
        Storage(directory),
        role=Role.PRIMARY if upstream is None else Role.REPLICA,
        log=GroupLog(options.term),
        primary_term=options.term,
        seen_term=options.term,
        upstream=upstream,
    )


def open_recording(name: str) -> BinaryIO | None:
    """Open the file that records bytes from clients, if the environment asks for it."""
    directory = os.environ.get(RECORD_VARIABLE)
    if not directory:
        return None
    # Unbuffered, so that the file is complete even if the process is killed.
    return (Path(directory) / name).open("ab", buffering=0)


def stop_on_failure(task: asyncio.Task[None]) -> None:
    """Stop the process if a background task has failed: its state is unreliable."""
    if task.cancelled() or task.exception() is None:
        return
    print(f"replication failed: {task.exception()!r}", file=sys.stderr, flush=True)
    task.get_loop().stop()


async def serve(arguments: argparse.Namespace, database: Database) -> None:
    """Serve clients and replicas until a stop signal arrives."""
    slots = Slots(database.options.slots, database.counts)
    server = Server(database, slots, open_recording(database.options.name))
    listeners = [
        await asyncio.start_server(server.accept, host, port, backlog=1024)
        for host, port in filter(None, (arguments.listen, arguments.replication_listen))
    ]
    tasks = [
        asyncio.create_task(replication.follow_forever(database)),
        asyncio.create_task(replication.replay_forever(database)),
    ]
    for task in tasks:
        task.add_done_callback(stop_on_failure)
    await wait_for_stop_signal()
    for listener in listeners:
        listener.close()
    for task in tasks:
        task.cancel()


def parse_arguments(texts: list[str] | None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in for a database of a group.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--region", default="")
    parser.add_argument("--listen", required=True, type=parse_host_port)
    parser.add_argument("--replication-listen", type=parse_host_port)
    role = parser.add_mutually_exclusive_group(required=True)
    role.add_argument("--primary", action="store_true")
    role.add_argument("--follow", type=parse_host_port, metavar="HOST:PORT")
    parser.add_argument("--term", type=int, default=1)
    parser.add_argument("--slots", type=int, default=1000)
    parser.add_argument("--connect-ms", type=float, default=0)
    parser.add_argument("--service-ms", type=float, default=0)
    parser.add_argument("--lag-ms", type=float, default=0)
    parser.add_argument("--max-connections", type=int, default=1000)
    return parser.parse_args(texts)


def main(texts: list[str] | None = None) -> None:
    """Run the database as a process."""
    arguments = parse_arguments(texts)
    options = Options(
        name=arguments.name,
        region=arguments.region,
        term=arguments.term,
        slots=arguments.slots,
        connect_ms=arguments.connect_ms,
        service_ms=arguments.service_ms,
        lag_ms=arguments.lag_ms,
        max_connections=arguments.max_connections,
    )
    upstream = Upstream(*arguments.follow) if arguments.follow else None
    with TemporaryDirectory(prefix="pimentodrift-database-") as directory:
        database = make_database(options, Path(directory), upstream)
        asyncio.run(serve(arguments, database))


if __name__ == "__main__":
    main()
