"""Ships the log of a primary to its replicas over TCP.

A replica opens the connection with a PostgreSQL startup packet that has the parameter
`replication`, so it may connect to the replication port or the SQL port. It then
describes its log, drops the entries that the primary lacks, and acknowledges each batch
that it receives. Frames are JSON with a length prefix.
"""

import asyncio
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import orjson

from . import wire
from .database import Database, ReplicaState, Role, Upstream
from .group_log import Entry, Write

LENGTH = struct.Struct("!I")
RETRY_S = 0.02  # Pause before a replica reconnects.
BATCH_ENTRIES = 500


def send_frame(writer: asyncio.StreamWriter, value: object) -> None:
    """Write a value as one frame."""
    data = orjson.dumps(value)
    writer.write(LENGTH.pack(len(data)) + data)


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """Return the value of the next frame; raise `IncompleteReadError` at the end."""
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    return orjson.loads(await reader.readexactly(length))


def decode_writes(writes: list[Any]) -> tuple[Write, ...]:
    """Return the writes of an entry from JSON, which has lists instead of tuples."""
    return tuple((text, tuple(parameters)) for text, parameters in writes)


@asynccontextmanager
async def change_event(database: Database) -> AsyncIterator[asyncio.Event]:
    """Provide an event that is set whenever the database changes."""
    event = asyncio.Event()
    database.wakeups.events.add(event)
    try:
        yield event
    finally:
        database.wakeups.events.discard(event)


@asynccontextmanager
async def abortable_connection(
    writer: asyncio.StreamWriter, database: Database
) -> AsyncIterator[None]:
    """Register a replication connection, so that the database can abort it.

    The connection is aborted at the end of the context.
    """
    database.replication_transports.add(writer.transport)
    try:
        yield
    finally:
        database.replication_transports.discard(writer.transport)
        writer.transport.abort()


# --- Primary


async def serve_replica(
    name: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    database: Database,
) -> None:
    """Ship the log to one replica until the connection ends."""
    if database.cut or database.role is not Role.PRIMARY:
        return
    async with abortable_connection(writer, database):
        term_starts, last, seen_term = await read_frame(reader)
        if seen_term > database.primary_term or database.role is not Role.PRIMARY:
            return
        last_common = database.log.common_offset(
            [(term, start) for term, start in term_starts], last
        )
        send_frame(writer, (database.primary_term, last_common))
        shipping = asyncio.create_task(ship_log(last_common, writer, database))
        shipping.add_done_callback(abort_on_failure(writer))
        try:
            await read_acknowledgments(name, reader, database)
        finally:
            shipping.cancel()


def abort_on_failure(
    writer: asyncio.StreamWriter,
) -> Callable[[asyncio.Task[None]], None]:
    """Return a task callback that aborts the connection if the task has failed."""

    def end(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            writer.transport.abort()

    return end


async def read_acknowledgments(
    name: str, reader: asyncio.StreamReader, database: Database
) -> None:
    """Record the positions that a replica acknowledges."""
    while True:
        term, received = await read_frame(reader)
        database.replicas[name] = ReplicaState(term, received)


async def ship_log(
    offset: int, writer: asyncio.StreamWriter, database: Database
) -> None:
    """Send all entries after an offset, then new ones, until the connection ends."""
    async with change_event(database) as event:
        while True:
            event.clear()
            while offset < database.log.last_offset:
                batch = database.log.entries[offset : offset + BATCH_ENTRIES]
                entries = [(entry.term, entry.writes) for entry in batch]
                send_frame(writer, (database.primary_term, offset + 1, entries))
                offset += len(batch)
                await writer.drain()
            await event.wait()


# --- Replica


async def follow_forever(database: Database) -> None:
    """Receive the log of the current primary, reconnecting after each failure."""
    while True:
        upstream = database.upstream
        if upstream is not None and not database.cut:
            with suppress(OSError, EOFError, orjson.JSONDecodeError):
                await receive_log(upstream, database)
        await asyncio.sleep(RETRY_S)


async def receive_log(upstream: Upstream, database: Database) -> None:
    """Receive a primary's log until the connection ends or the log is not accepted."""
    reader, writer = await asyncio.open_connection(upstream.host, upstream.port)
    async with abortable_connection(writer, database):
        parameters = {"user": database.options.name, "replication": "standin"}
        writer.write(wire.startup_packet(parameters))
        log = database.log
        send_frame(writer, (log.term_starts(), log.last_offset, database.seen_term))
        primary_term, last_common = await read_frame(reader)
        if not database.accepts_log_from(upstream, primary_term):
            return
        database.align_log(primary_term, last_common)
        send_frame(writer, (log.last_term, log.last_offset))
        await store_entries(upstream, reader, writer, database)


async def store_entries(
    upstream: Upstream,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    database: Database,
) -> None:
    """Store and acknowledge each batch until the log is not accepted any more."""
    loop = asyncio.get_running_loop()
    while True:
        primary_term, first, batch = await read_frame(reader)
        if not database.accepts_log_from(upstream, primary_term):
            return
        entries = [
            Entry(term, first + index, decode_writes(writes))
            for index, (term, writes) in enumerate(batch)
        ]
        database.receive_entries(primary_term, entries, loop.time())
        send_frame(writer, (database.log.last_term, database.log.last_offset))


async def replay_forever(database: Database) -> None:
    """Replay received entries when their replication lag has passed."""
    loop = asyncio.get_running_loop()
    async with change_event(database) as event:
        while True:
            event.clear()
            due = database.replay_due_entries(loop.time())
            with suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await event.wait()
