"""Encodes a configuration for the way from a relay to its followers.

Fields are sent by name, so that instances of neighbouring builds read what they know.
"""

from datetime import timedelta
from functools import cache
from typing import Any, TypeVar

from cattrs.preconf.msgpack import MsgpackConverter, make_converter

from ..clock import MILLISECOND

Content = TypeVar("Content")


@cache
def converter() -> MsgpackConverter:
    """Return the converter between configurations and bytes."""
    result = make_converter()
    result.register_unstructure_hook(timedelta, lambda value: value / MILLISECOND)
    result.register_structure_hook(
        timedelta, lambda value, _: timedelta(milliseconds=value)
    )
    return result


def encode(content: Any) -> bytes:
    """Return a configuration as bytes."""
    return converter().dumps(content)


def decode(data: bytes, kind: type[Content]) -> Content:
    """Return the configuration in bytes; raise an exception if they hold none."""
    return converter().loads(data, kind)
