"""Encodes messages between instances as msgpack bytes and decodes them.

A message is `[class name, [fields in order of definition]]`. Every subclass of
`PeerMessage` is covered without registration. A field may be added at the end if it has
a default: when a message has too few values, the defaults fill in, and surplus values
are ignored, so that instances of neighbouring versions understand each other.
"""

import sys
from collections.abc import Callable, Iterator
from datetime import timedelta
from enum import Enum
from operator import attrgetter
from typing import Any, cast

import attrs
import cattrs
import msgpack
import orjson

from .clock import MILLISECOND
from .errors import Failure
from .messages import PeerMessage, Ran, Rows, Statement
from .sockets import READ_BYTES

Values = tuple[Any, ...]
Encoder = Callable[[Any], Any]
Decoder = Callable[[Any, Any], Any]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Types whose values msgpack encodes without conversion.
NATIVE_TYPES = (str, int, float, bool, bytes, type(None))


class PeerCodecError(Exception):
    """An unpacked object is not a message that this version can decode."""


class PeerCodec:
    """Encodes and decodes messages with functions prepared for each class."""

    def __init__(self) -> None:
        self.converter = make_converter()
        self.packer = msgpack.Packer()
        self.encoders: dict[type[PeerMessage], Encoder] = {}
        self.decoders: dict[str, Callable[[Values], PeerMessage]] = {}
        for cls in message_classes(PeerMessage):
            hook = self.converter.get_structure_hook(cls)
            self.encoders[cls] = self.converter.get_unstructure_hook(cls)
            self.decoders[cls.__name__] = bind_class(hook, cls)

    def encode(self, message: PeerMessage) -> bytes:
        """Return a message's bytes."""
        cls = type(message)
        values = self.encoders[cls](message)
        return cast(bytes, self.packer.pack((cls.__name__, values)))

    def decode(self, unpacked: Any) -> PeerMessage:
        """Return the message of an unpacked object; raise PeerCodecError."""
        try:
            name, values = unpacked
            return self.decoders[name](values)
        except Exception as error:
            raise PeerCodecError(f"not a peer message: {error!r}") from error


def bind_class(hook: Decoder, cls: type) -> Callable[[Values], Any]:
    """Return a function that calls a structure hook with its class."""
    return lambda values: hook(values, cls)


def message_classes(base: type[Any]) -> Iterator[type[Any]]:
    """Yield all direct and indirect subclasses of a class."""
    for cls in base.__subclasses__():
        # attrs replaces a class with slots by a new one; the replaced class may still
        # be listed as a subclass.
        if getattr(sys.modules[cls.__module__], cls.__name__, None) is cls:
            yield cls
            yield from message_classes(cls)


def make_unpacker(limit: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Return an unpacker for a stream of messages of up to `limit` bytes each."""
    # The last read of a message may also bring the beginning of the next one.
    size = limit + READ_BYTES
    return msgpack.Unpacker(max_buffer_size=size, use_list=False, strict_map_key=False)


def make_converter() -> cattrs.Converter:
    """Return a converter between attrs objects and tuples of their fields."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook(timedelta, lambda value: value / MILLISECOND)
    converter.register_structure_hook(
        timedelta, lambda value, _: timedelta(milliseconds=value)
    )
    register_opaque_types(converter)
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: make_encoder(cls, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: make_decoder(cls, converter)
    )
    converter.register_unstructure_hook(Ran | Failure, make_result_encoder(converter))
    converter.register_structure_hook(Ran | Failure, make_result_decoder(converter))
    return converter


def register_opaque_types(converter: cattrs.Converter) -> None:
    """Register types whose values are encoded without converting each part.

    Rows and parameters hold only scalars. The values of stored objects are sent as JSON
    text, because the unpacker would turn their lists into tuples.
    """
    converter.register_unstructure_hook_func(
        lambda kind: kind == dict[str, Any], orjson.dumps
    )
    converter.register_structure_hook_func(
        lambda kind: kind == dict[str, Any], lambda value, _: orjson.loads(value)
    )
    converter.register_unstructure_hook(Rows, attrgetter("columns", "rows"))
    converter.register_structure_hook(Rows, lambda value, _: Rows(*value))
    converter.register_unstructure_hook(Statement, attrgetter("text", "parameters"))
    converter.register_structure_hook(Statement, lambda value, _: Statement(*value))


def make_encoder(cls: type, converter: cattrs.Converter) -> Encoder:
    """Return the function that converts an object to a sequence of its fields."""
    fields = field_types(cls)
    getters = [attrgetter(name) for name, _ in fields]
    hooks = [field_encoder(kind, converter) for _, kind in fields]
    plain = attrgetter(*(name for name, _ in fields)) if fields else None
    if plain is not None and not any(hooks):
        if len(fields) == 1:
            return lambda value: (plain(value),)
        return plain
    pairs = [
        (getter, hook or identity) for getter, hook in zip(getters, hooks, strict=True)
    ]
    return lambda value: [hook(getter(value)) for getter, hook in pairs]


def make_decoder(cls: type, converter: cattrs.Converter) -> Decoder:
    """Return the function that makes an object from the tuple of its fields.

    If all values have the types that they usually arrive in, only fields whose types
    msgpack does not have cost a call.
    """
    kinds = [kind for _, kind in field_types(cls)]
    hooks = [(field_decoder(kind, converter), kind) for kind in kinds]
    expected_types = tuple(wire_type(kind) for kind in kinds)
    conversions = [
        (place, *hooks[place])
        for place in range(len(kinds))
        if kinds[place] not in NATIVE_TYPES
    ]

    def decode(values: Values, _: Any) -> Any:
        if tuple(map(type, values)) != expected_types:
            pairs = zip(values, hooks, strict=False)
            return cls(*[hook(value, kind) for value, (hook, kind) in pairs])
        parts = list(values)
        for place, hook, kind in conversions:
            parts[place] = hook(parts[place], kind)
        return cls(*parts)

    return decode


def wire_type(kind: Any) -> type:
    """Return the type that the unpacked value of a field usually has."""
    if kind in NATIVE_TYPES:
        return cast(type, kind)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return str
    return tuple


def field_decoder(kind: Any, converter: cattrs.Converter) -> Decoder:
    """Return the function that decodes a field.

    Enum members are looked up in a dict, which is cheaper than a call of the enum.
    """
    if isinstance(kind, type) and issubclass(kind, Enum):
        members = {member.value: member for member in kind}
        return lambda value, _: members[value]
    return converter.get_structure_hook(kind)


def field_types(cls: type) -> list[tuple[str, Any]]:
    """Return the names and types of a class's fields."""
    return [(item.name, item.type) for item in attrs.fields(attrs.resolve_types(cls))]


def field_encoder(kind: Any, converter: cattrs.Converter) -> Encoder | None:
    """Return the function that encodes a field; None if msgpack takes its value."""
    if kind in NATIVE_TYPES or (isinstance(kind, type) and issubclass(kind, Enum)):
        return None  # All enums in messages are string enums.
    return converter.get_unstructure_hook(kind)


def identity(value: Any) -> Any:
    """Return the value itself."""
    return value


def make_result_encoder(converter: cattrs.Converter) -> Encoder:
    """Return the function that encodes the result of a `Reply`.

    It puts a flag before the fields that tells `Ran` from `Failure`.
    """

    hooks = {kind: converter.get_unstructure_hook(kind) for kind in (Ran, Failure)}

    def encode(value: Ran | Failure) -> Values:
        return isinstance(value, Ran), hooks[type(value)](value)

    return encode


def make_result_decoder(converter: cattrs.Converter) -> Decoder:
    """Return the function that decodes the result of a `Reply`."""

    kinds = {True: Ran, False: Failure}
    hooks = {key: converter.get_structure_hook(kind) for key, kind in kinds.items()}

    def decode(value: Values, _: Any) -> Ran | Failure:
        has_run, values = value
        return cast(Ran | Failure, hooks[has_run](values, kinds[has_run]))

    return decode
