"""Encodes and decodes messages of the PostgreSQL protocol, version 3.

Parameters are accepted in text and binary format; results are sent in text format.
"""

import struct
from collections.abc import Sequence
from math import isfinite

from attrs import frozen

from .sql_errors import SqlError
from .statements import Value

PROTOCOL_VERSION = 196608  # 3.0
CANCEL_REQUEST = 80877102
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104

# OIDs of PostgreSQL's types.
BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
FLOAT4 = 700
FLOAT8 = 701
NUMERIC = 1700
INTEGERS = frozenset({INT8, INT2, INT4})
FLOATS = frozenset({FLOAT4, FLOAT8, NUMERIC})
TYPE_SIZES = {BOOL: 1, INT8: 8, FLOAT8: 8}  # Bytes; other types have variable length.
BINARY_FORMATS = {
    BOOL: struct.Struct("!?"),
    INT8: struct.Struct("!q"),
    INT2: struct.Struct("!h"),
    INT4: struct.Struct("!i"),
    FLOAT4: struct.Struct("!f"),
    FLOAT8: struct.Struct("!d"),
}

INT16 = struct.Struct("!h")
INT32 = struct.Struct("!i")
HEAD = struct.Struct("!ci")  # Type and length of a message.
LENGTH_BYTES = 4  # Size of the length field, which is included in the length.
INVALID_TEXT = "22P02"
NOT_SUPPORTED = "0A000"


@frozen
class Column:
    """A result column."""

    name: str
    oid: int


class MessageReader:
    """Reads the fields of one message in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def read_int16(self) -> int:
        """Read a 16-bit integer."""
        (value,) = INT16.unpack_from(self.data, self.offset)
        self.offset += 2
        return int(value)

    def read_int32(self) -> int:
        """Read a 32-bit integer."""
        (value,) = INT32.unpack_from(self.data, self.offset)
        self.offset += 4
        return int(value)

    def read_bytes(self, count: int) -> bytes:
        """Read a number of bytes."""
        self.offset += count
        return self.data[self.offset - count : self.offset]

    def read_string(self) -> str:
        """Read a null-terminated string."""
        end = self.data.index(0, self.offset)
        value = self.data[self.offset : end].decode()
        self.offset = end + 1
        return value

    def read_value(self) -> bytes | None:
        """Read a length-prefixed value; return None for NULL, which has length -1."""
        length = self.read_int32()
        return None if length < 0 else self.read_bytes(length)


def encode_message(kind: bytes, *parts: bytes) -> bytes:
    """Return a message with its type byte and length."""
    body = b"".join(parts)
    return kind + INT32.pack(len(body) + 4) + body


def encode_string(text: str) -> bytes:
    """Return a null-terminated string."""
    return text.encode() + b"\0"


def startup_packet(parameters: dict[str, str]) -> bytes:
    """Return a startup packet with its parameters."""
    pairs = b"".join(
        encode_string(name) + encode_string(text) for name, text in parameters.items()
    )
    body = INT32.pack(PROTOCOL_VERSION) + pairs + b"\0"
    return INT32.pack(len(body) + 4) + body


def decode_startup_parameters(data: bytes) -> dict[str, str]:
    """Return the parameters in a startup packet's body after the protocol version."""
    words = data.rstrip(b"\0").split(b"\0")
    pairs = zip(words[::2], words[1::2], strict=False)
    return {name.decode(): text.decode() for name, text in pairs}


def error_response(error: SqlError) -> bytes:
    """Return an ErrorResponse."""
    fields = (
        ("S", error.severity),
        ("V", error.severity),
        ("C", error.sqlstate),
        ("M", error.message),
    )
    body = b"".join(kind.encode() + encode_string(text) for kind, text in fields)
    return encode_message(b"E", body, b"\0")


def ready_for_query(state: str) -> bytes:
    """Return a ReadyForQuery with the transaction state I, T or E."""
    return encode_message(b"Z", state.encode())


def parameter_status(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return encode_message(b"S", encode_string(name), encode_string(value))


def command_complete(tag: str) -> bytes:
    """Return a CommandComplete."""
    return encode_message(b"C", encode_string(tag))


def parameter_description(oids: Sequence[int]) -> bytes:
    """Return a ParameterDescription."""
    parts = (INT32.pack(oid) for oid in oids)
    return encode_message(b"t", INT16.pack(len(oids)), *parts)


def row_description(columns: Sequence[Column]) -> bytes:
    """Return a RowDescription with all columns in text format."""
    parts = [INT16.pack(len(columns))]
    for column in columns:
        size = TYPE_SIZES.get(column.oid, -1)
        parts.append(encode_string(column.name))
        parts.append(struct.pack("!ihihih", 0, 0, column.oid, size, -1, 0))
    return encode_message(b"T", *parts)


def data_row(row: Sequence[Value]) -> bytes:
    """Return a DataRow in text format."""
    parts = [INT16.pack(len(row))]
    for value in row:
        if value is None:
            parts.append(INT32.pack(-1))
            continue
        data = encode_text(value)
        parts += (INT32.pack(len(data)), data)
    return encode_message(b"D", *parts)


def encode_text(value: Value) -> bytes:
    """Return a value in text format."""
    if isinstance(value, bool):
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    return str(value).encode()


def infer_oid(values: Sequence[Value]) -> int:
    """Return the OID of the column type that fits all values."""
    types = {type(value) for value in values if value is not None}
    if types == {bool}:
        return BOOL
    if types == {bytes}:
        return BYTEA
    if types == {int}:
        return INT8
    if types and types <= {int, float}:
        return FLOAT8
    return TEXT


def decode_parameter(data: bytes | None, oid: int, is_binary: bool) -> Value:
    """Decode a parameter according to its type; types without a rule stay text.

    Raise `SqlError` for an invalid number or an unsupported type.
    """
    if data is None:
        return None
    if is_binary:
        return decode_binary(data, oid)
    text = data.decode()
    try:
        if oid in INTEGERS:
            return int(text)
        if oid in FLOATS:
            return check_finite(float(text))
    except ValueError:
        raise SqlError(INVALID_TEXT, f"{text!r} is no number") from None
    if oid == BOOL:
        return int(text.lower() in ("t", "true", "1", "on", "yes"))
    if oid == BYTEA:
        # The log is shipped as JSON, which cannot represent bytes.
        raise SqlError(NOT_SUPPORTED, "bytea parameters are not supported")
    return text


def check_finite(value: float) -> float:
    """Return a number; raise `SqlError` for one that JSON cannot represent."""
    if not isfinite(value):
        raise SqlError(NOT_SUPPORTED, f"{value} is not supported")
    return value


def decode_binary(data: bytes, oid: int) -> Value:
    """Decode a parameter in binary format."""
    if oid in BINARY_FORMATS:
        (value,) = BINARY_FORMATS[oid].unpack(data)
        if isinstance(value, float):
            return check_finite(value)
        return int(value)
    if oid in (BYTEA, NUMERIC):
        raise SqlError(NOT_SUPPORTED, f"binary parameters of type {oid}")
    return data.decode()
