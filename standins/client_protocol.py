"""Serves one client of the database stand-in over the PostgreSQL protocol.

SQLite knows the columns of a statement only after running it. A portal therefore runs
at Describe, and Execute sends the rows that were kept.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import define, field

from . import wire
from .results import Result
from .sql_errors import SqlError
from .sql_session import SqlSession
from .statements import (
    ParsedStatement,
    StatementKind,
    Value,
    parse_statement,
    split_statements,
)

MAX_MESSAGE_BYTES = 2**26
UNDEFINED_STATEMENT = "26000"
UNDEFINED_CURSOR = "34000"
NOT_SUPPORTED = "0A000"
PROTOCOL_VIOLATION = "08P01"


@define
class PreparedStatement:
    """A parsed statement with the parameter types that the client declared."""

    parsed: ParsedStatement
    oids: tuple[int, ...]  # Declared types; 0 or a missing entry means undeclared.

    def parameter_oid(self, number: int) -> int:
        """Return the type OID of a parameter, counted from 1.

        Without a declared type this is the type of the parameter's cast, else text.
        """
        declared = self.oids[number - 1] if number <= len(self.oids) else 0
        return declared or self.parsed.oids.get(number, wire.TEXT)


@define
class Portal:
    """A statement with its parameters, and its result once it has run."""

    parsed: ParsedStatement
    parameters: tuple[Value, ...]
    result: Result | None = None
    sent_rows: int = 0


class ByteReader(Protocol):
    """A source of bytes from a client: a stream, or one that also records."""

    async def readexactly(self, n: int, /) -> bytes:
        """Return exactly n bytes; raise `IncompleteReadError` at end of stream."""


@define(eq=False)
class ClientConnection:
    """The protocol state of one client's connection."""

    reader: ByteReader
    writer: asyncio.StreamWriter
    session: SqlSession
    statements: dict[str, PreparedStatement] = field(factory=dict)
    portals: dict[str, Portal] = field(factory=dict)
    is_skipping: bool = False  # True between an error and the next Sync.
    output: bytearray = field(factory=bytearray)  # Sent at the next Sync or Flush.

    async def serve(self) -> None:
        """Handle messages until the client sends Terminate."""
        self.send_ready()
        await self.flush()
        while True:
            kind, body = await self.read_message()
            if kind == b"X":
                return
            await self.handle_message(kind, body)

    def send(self, data: bytes) -> None:
        """Append to the output buffer, which is sent in one write at Sync or Flush."""
        self.output += data

    async def flush(self) -> None:
        """Send the output buffer."""
        self.writer.write(bytes(self.output))
        self.output.clear()
        await self.writer.drain()

    async def read_message(self) -> tuple[bytes, wire.MessageReader]:
        """Return the type and body of the next message."""
        kind = await self.reader.readexactly(1)
        (length,) = wire.INT32.unpack(await self.reader.readexactly(4))
        if not wire.LENGTH_BYTES <= length <= MAX_MESSAGE_BYTES:
            raise EOFError(f"message of {length} bytes")
        return kind, wire.MessageReader(
            await self.reader.readexactly(length - wire.LENGTH_BYTES)
        )

    async def handle_message(self, kind: bytes, body: wire.MessageReader) -> None:
        """Handle one message; after an error, skip messages up to Sync."""
        if kind == b"S":
            await self.on_sync()
        elif kind == b"Q":
            await self.on_simple_query(body.read_string())
        elif kind == b"H":
            await self.flush()
        elif not self.is_skipping:
            try:
                await self.handle_extended(kind, body)
            except SqlError as error:
                self.is_skipping = True
                self.session.fail_transaction()
                self.send(wire.error_response(error))

    async def handle_extended(self, kind: bytes, body: wire.MessageReader) -> None:
        """Handle a message of the extended query protocol."""
        handlers: dict[bytes, Callable[[wire.MessageReader], Awaitable[None]]] = {
            b"P": self.on_parse,
            b"B": self.on_bind,
            b"D": self.on_describe,
            b"E": self.on_execute,
            b"C": self.on_close,
        }
        if kind not in handlers:
            raise SqlError(PROTOCOL_VIOLATION, f"unsupported message {kind!r}")
        await handlers[kind](body)

    async def on_sync(self) -> None:
        """End a pipeline segment: commit its implicit transaction and send output."""
        if not self.is_skipping:
            try:
                self.session.commit_implicit()
            except SqlError as error:
                self.send(wire.error_response(error))
        self.is_skipping = False
        self.portals.clear()
        self.send_ready()
        await self.flush()

    def send_ready(self) -> None:
        """Send ReadyForQuery with the transaction state."""
        self.send(wire.ready_for_query(self.session.ready_state()))

    # --- Simple query

    async def on_simple_query(self, text: str) -> None:
        """Run all statements of a text; outside BEGIN they are one transaction."""
        try:
            parts = split_statements(text)
            if not parts:
                self.send(wire.encode_message(b"I"))
            for part in parts:
                result = await self.session.execute(parse_statement(part), ())
                self.send_description(result)
                self.send_rows(result)
            self.session.commit_implicit()
        except SqlError as error:
            self.send(wire.error_response(error))
        self.send_ready()
        await self.flush()

    def send_description(self, result: Result) -> None:
        """Send a RowDescription if the result has columns."""
        if result.columns is None:
            return
        self.send(wire.row_description(columns_of(result)))

    def send_rows(self, result: Result) -> None:
        """Send the rows and the command tag."""
        for row in result.rows:
            self.send(wire.data_row(row))
        self.send(wire.command_complete(result.tag))

    # --- Extended query

    async def on_parse(self, body: wire.MessageReader) -> None:
        """Parse a statement and keep it under its name."""
        name, text = body.read_string(), body.read_string()
        oids = tuple(body.read_int32() for _ in range(body.read_int16()))
        self.statements[name] = PreparedStatement(
            parse_statement(text.rstrip("; \n\t")), oids
        )
        self.send(wire.encode_message(b"1"))

    async def on_bind(self, body: wire.MessageReader) -> None:
        """Create a portal from a prepared statement and its parameters."""
        portal_name, statement_name = body.read_string(), body.read_string()
        prepared = self.statement(statement_name)
        formats = [body.read_int16() for _ in range(body.read_int16())]
        values = [body.read_value() for _ in range(body.read_int16())]
        result_formats = [body.read_int16() for _ in range(body.read_int16())]
        if any(result_formats):
            raise SqlError(NOT_SUPPORTED, "results in binary format are not supported")
        if len(formats) != len(values):
            formats = (formats or [0]) * len(values)
        parameters = tuple(
            wire.decode_parameter(
                data, prepared.parameter_oid(number), bool(format_code)
            )
            for number, (data, format_code) in enumerate(
                zip(values, formats, strict=True), 1
            )
        )
        self.portals[portal_name] = Portal(prepared.parsed, parameters)
        self.send(wire.encode_message(b"2"))

    async def on_describe(self, body: wire.MessageReader) -> None:
        """Describe a statement or a portal; a portal runs to find its columns."""
        object_type, name = body.read_bytes(1), body.read_string()
        if object_type == b"S":
            await self.describe_statement(self.statement(name))
            return
        self.send_columns(await self.run_portal(self.portal(name)))

    async def describe_statement(self, prepared: PreparedStatement) -> None:
        """Send the parameter types, and the columns of a read.

        The columns are found by running the read with NULL for each parameter.
        """
        parsed = prepared.parsed
        oids = [
            prepared.parameter_oid(number + 1)
            for number in range(parsed.parameter_count)
        ]
        self.send(wire.parameter_description(oids))
        if parsed.kind is not StatementKind.READ:
            self.send(wire.encode_message(b"n"))
            return
        nulls = (None,) * parsed.parameter_count
        result = await self.session.execute(parsed, nulls)
        self.send_columns(result)

    def send_columns(self, result: Result) -> None:
        """Send a RowDescription, or NoData."""
        if result.columns is None:
            self.send(wire.encode_message(b"n"))
        else:
            self.send_description(result)

    async def on_execute(self, body: wire.MessageReader) -> None:
        """Send rows of a portal, up to the message's limit; 0 means no limit."""
        portal, limit = self.portal(body.read_string()), body.read_int32()
        if portal.parsed.kind is StatementKind.EMPTY:
            self.send(wire.encode_message(b"I"))
            return
        result = await self.run_portal(portal)
        end = portal.sent_rows + limit if limit > 0 else len(result.rows)
        for row in result.rows[portal.sent_rows : end]:
            self.send(wire.data_row(row))
        portal.sent_rows = end
        if end < len(result.rows):
            self.send(wire.encode_message(b"s"))
        else:
            self.send(wire.command_complete(result.tag))

    async def run_portal(self, portal: Portal) -> Result:
        """Return the portal's result, running its statement on the first call."""
        if portal.result is None:
            portal.result = await self.session.execute(portal.parsed, portal.parameters)
        return portal.result

    async def on_close(self, body: wire.MessageReader) -> None:
        """Remove a prepared statement or portal."""
        object_type, name = body.read_bytes(1), body.read_string()
        if object_type == b"S":
            self.statements.pop(name, None)
        else:
            self.portals.pop(name, None)
        self.send(wire.encode_message(b"3"))

    def statement(self, name: str) -> PreparedStatement:
        """Return a prepared statement; raise `SqlError` if there is none."""
        if name not in self.statements:
            raise SqlError(UNDEFINED_STATEMENT, f"no prepared statement {name!r}")
        return self.statements[name]

    def portal(self, name: str) -> Portal:
        """Return a portal; raise `SqlError` if there is none."""
        if name not in self.portals:
            raise SqlError(UNDEFINED_CURSOR, f"no portal {name!r}")
        return self.portals[name]


def columns_of(result: Result) -> list[wire.Column]:
    """Return the columns of a result with types inferred from their values."""
    names = result.columns or ()
    return [
        wire.Column(name, wire.infer_oid([row[index] for row in result.rows]))
        for index, name in enumerate(names)
    ]
