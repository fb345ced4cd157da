"""Messages between the core and a store that lists and watches its objects by kind."""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen


class WatchedKind(StrEnum):
    """What an instance follows."""

    CONFIGURATION = "configuration"
    REGISTRY = "registry"
    OWN = "own"  # Objects of the product itself.


def stored_name(kind: str, name: str) -> str:
    """Return the name under which an object of the product is stored."""
    return f"{kind}.{name}"


def own_key(stored: str) -> tuple[str, str]:
    """Return kind and name of an object of the product."""
    kind, _, name = stored.partition(".")
    return kind, name


@frozen
class Gone:
    """The object was deleted."""


@frozen
class Unreadable:
    """The object's content is not of the expected form."""

    detail: str


@frozen
class Entry:
    """An object of a kind at a revision of the store."""

    name: str
    revision: int
    content: object


@frozen
class ListKind:
    """Ask for the objects of a kind whose names follow `after`."""

    kind: WatchedKind
    after: str


@frozen
class WatchKind:
    """Ask for the changes of a kind after a revision, waiting for one."""

    kind: WatchedKind
    revision: int
    wait: timedelta


@frozen
class KindListed:
    """A part of a kind's objects; `revision` is the store's at that time."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int
    has_more: bool


@frozen
class KindChanged:
    """All changes of a kind up to a revision."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int


@frozen
class CheckKind:
    """Ask for the changes of a kind after a revision, without waiting for one."""

    kind: WatchedKind
    revision: int


@frozen
class KindChecked:
    """All changes of a kind up to a revision, the store's at that time."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int


@frozen
class CheckExpired:
    """The store has dropped the history that a check asked for."""

    kind: WatchedKind


@frozen
class CheckFailed:
    """A check had no usable answer."""

    kind: WatchedKind
    detail: str


@frozen
class KindExpired:
    """The store has dropped the history that a watch asked for."""

    kind: WatchedKind


@frozen
class KindFailed:
    """A list or watch had no usable answer."""

    kind: WatchedKind
    detail: str
