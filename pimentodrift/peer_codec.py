"""Turns messages between instances into msgpack bytes and back.

A message is `[class name, [fields in order of definition]]`. Every subclass of
`PeerMessage` takes part without further registration. Fields may be added at the end
with a default: a shorter tuple leaves the defaults, and a longer one is cut, so that
instances of neighbouring versions understand each other.
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

from .errors import Failure
from .messages import PeerMessage, Ran, Rows, Statement
from .sockets import READ_BYTES

Values = tuple[Any, ...]
Encode = Callable[[Any], Any]
Decode = Callable[[Any, Any], Any]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MILLISECOND = timedelta(milliseconds=1)
# Types that msgpack carries as they are.
PLAIN = (str, int, float, bool, bytes, type(None))


class PeerCodecError(Exception):
    """The bytes are no message of this version."""


class PeerCodec:
    """Encode and decode messages with functions prepared per class."""

    def __init__(self) -> None:
        self.converter = make_converter()
        self.packer = msgpack.Packer()
        self.encoders: dict[type[PeerMessage], Encode] = {}
        self.decoders: dict[str, Callable[[Values], PeerMessage]] = {}
        for cls in message_classes(PeerMessage):
            hook = self.converter.get_structure_hook(cls)
            self.encoders[cls] = self.converter.get_unstructure_hook(cls)
            self.decoders[cls.__name__] = bind(hook, cls)

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


def bind(hook: Decode, cls: type) -> Callable[[Values], Any]:
    """Return a structure hook with its class given."""
    return lambda values: hook(values, cls)


def message_classes(base: type[Any]) -> Iterator[type[Any]]:
    """Yield all subclasses of a class."""
    for cls in base.__subclasses__():
        # attrs makes a class with slots anew; the discarded one may still be listed.
        if getattr(sys.modules[cls.__module__], cls.__name__, None) is cls:
            yield cls
            yield from message_classes(cls)


def make_unpacker(limit: int = MAX_MESSAGE_BYTES) -> msgpack.Unpacker:
    """Return an unpacker of a stream of messages of up to `limit` bytes."""
    # The last read of a message may bring the beginning of the next.
    size = limit + READ_BYTES
    return msgpack.Unpacker(max_buffer_size=size, use_list=False, strict_map_key=False)


def make_converter() -> cattrs.Converter:
    """Return a converter that turns attrs classes into tuples."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook(timedelta, lambda value: value / MILLISECOND)
    converter.register_structure_hook(
        timedelta, lambda value, _: timedelta(milliseconds=value)
    )
    register_whole(converter)
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: make_encode(cls, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: make_decode(cls, converter)
    )
    converter.register_unstructure_hook(Ran | Failure, make_encode_result(converter))
    converter.register_structure_hook(Ran | Failure, make_decode_result(converter))
    return converter


def register_whole(converter: cattrs.Converter) -> None:
    """Register values that are carried without a look at their parts.

    Rows and parameters have only scalars. Objects of the store are JSON, which keeps
    their lists lists.
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


def make_encode(cls: type, converter: cattrs.Converter) -> Encode:
    """Return the function that turns an object into the tuple of its fields."""
    fields = field_types(cls)
    getters = [attrgetter(name) for name, _ in fields]
    hooks = [encode_hook(kind, converter) for _, kind in fields]
    plain = attrgetter(*(name for name, _ in fields)) if fields else None
    if plain is not None and not any(hooks):
        if len(fields) == 1:
            return lambda value: (plain(value),)
        return plain
    pairs = [
        (getter, hook or pass_on) for getter, hook in zip(getters, hooks, strict=True)
    ]
    return lambda value: [hook(getter(value)) for getter, hook in pairs]


def make_decode(cls: type, converter: cattrs.Converter) -> Decode:
    """Return the function that makes an object from the tuple of its fields.

    When the types on the wire are the expected ones, which is the rule, only fields
    of other than plain types cost a call.
    """
    kinds = [kind for _, kind in field_types(cls)]
    hooks = [(decode_hook(kind, converter), kind) for kind in kinds]
    wire = tuple(wire_type(kind) for kind in kinds)
    calls = [
        (place, *hooks[place])
        for place in range(len(kinds))
        if kinds[place] not in PLAIN
    ]

    def decode(values: Values, _: Any) -> Any:
        if tuple(map(type, values)) != wire:
            pairs = zip(values, hooks, strict=False)
            return cls(*[hook(value, kind) for value, (hook, kind) in pairs])
        parts = list(values)
        for place, hook, kind in calls:
            parts[place] = hook(parts[place], kind)
        return cls(*parts)

    return decode


def wire_type(kind: Any) -> type:
    """Return the type in which a field of a type usually arrives."""
    if kind in PLAIN:
        return cast(type, kind)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return str
    return tuple


def decode_hook(kind: Any, converter: cattrs.Converter) -> Decode:
    """Return how a field is decoded; enums are looked up, which is cheaper."""
    if isinstance(kind, type) and issubclass(kind, Enum):
        members = {member.value: member for member in kind}
        return lambda value, _: members[value]
    return converter.get_structure_hook(kind)


def field_types(cls: type) -> list[tuple[str, Any]]:
    """Return names and types of a class's fields."""
    return [(item.name, item.type) for item in attrs.fields(attrs.resolve_types(cls))]


def encode_hook(kind: Any, converter: cattrs.Converter) -> Encode | None:
    """Return how a field is encoded; None if msgpack takes the value as it is."""
    if kind in PLAIN or (isinstance(kind, type) and issubclass(kind, Enum)):
        return None  # Enums of messages are strings.
    return converter.get_unstructure_hook(kind)


def pass_on(value: Any) -> Any:
    """Return the value itself."""
    return value


def make_encode_result(converter: cattrs.Converter) -> Encode:
    """Return the function that encodes the result of a `Reply` with its class."""

    hooks = {kind: converter.get_unstructure_hook(kind) for kind in (Ran, Failure)}

    def encode(value: Ran | Failure) -> Values:
        return isinstance(value, Ran), hooks[type(value)](value)

    return encode


def make_decode_result(converter: cattrs.Converter) -> Decode:
    """Return the function that decodes the result of a `Reply`."""

    kinds = {True: Ran, False: Failure}
    hooks = {key: converter.get_structure_hook(kind) for key, kind in kinds.items()}

    def decode(value: Values, _: Any) -> Ran | Failure:
        has_run, values = value
        return cast(Ran | Failure, hooks[has_run](values, kinds[has_run]))

    return decode
