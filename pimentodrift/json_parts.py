"""Decodes JSON documents of which single values may be unreadable.

The platform's store returns many objects in one document, and any of its writers can
store a value that a strict decoder rejects: an unpaired surrogate, bytes that are not
UTF-8, a number out of range or a deeply nested list. Such a document is decoded value
by value, and only the rejected values become `Unreadable`.
"""

import re
from typing import Any

import orjson

from .kind_messages import Unreadable

# A string, a bracket or a comma; a quote alone begins a string that does not end.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|["\[\]{},]', re.DOTALL)
MEMBER = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:(.*)', re.DOTALL)


def decode_json(data: bytes, part_depth: int = 0) -> Any:
    """Decode a document; raise ValueError if it can't be read.

    Values nested `part_depth` levels deep become `Unreadable` one by one. With 0, the
    document is decoded as a whole.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        if not part_depth:
            raise
    return decode_container(data, part_depth)


def decode_part(data: bytes, depth: int) -> Any:
    """Decode a value; what can't be read in its first `depth` levels is Unreadable."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as error:
        detail = str(error)
    if not depth:
        return Unreadable(detail)
    try:
        return decode_container(data, depth)
    except ValueError:
        return Unreadable(detail)


def decode_container(data: bytes, depth: int) -> Any:
    """Decode each element of an array or member of an object; raise ValueError."""
    parts = split_container(data)
    if data.lstrip()[:1] == b"[":
        return [decode_part(part, depth - 1) for part in parts]
    value = {}
    for part in parts:
        member = MEMBER.fullmatch(part)
        if member is None:
            raise ValueError("not a member of an object")
        value[decode_name(member[1])] = decode_part(member[2], depth - 1)
    return value


def decode_name(data: bytes) -> str:
    """Decode the name of a member; one that can't be read is that of no known field."""
    try:
        return str(orjson.loads(data))
    except orjson.JSONDecodeError:
        return data.decode("utf-8", "replace")


def split_container(data: bytes) -> list[bytes]:
    """Return the texts between the outermost brackets and commas; raise ValueError."""
    text = data.strip()
    if text[:1] + text[-1:] not in (b"[]", b"{}"):
        raise ValueError("neither an array nor an object")
    parts, depth, start = [], 0, 1
    for token in TOKEN.finditer(text):
        match token.group():
            case b'"':
                raise ValueError("a string does not end")
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
                if not depth and token.end() != len(text):
                    raise ValueError("more than one value")
            case b"," if depth == 1:
                parts.append(text[start : token.start()])
                start = token.end()
    if depth:
        raise ValueError("the brackets do not match")
    last = text[start:-1]
    return [*parts, last] if parts or last.strip() else []
