"""Messages between the core and a store that lists and watches its objects by kind.

A list returns all objects of a kind. A watch waits for changes after a revision; a
check returns the changes after a revision at once. A revision counts the changes of
the whole store.
"""

from datetime import timedelta
from enum import StrEnum

from attrs import frozen


class WatchedKind(StrEnum):
    """The kinds of objects of which an instance keeps a copy."""

    CONFIGURATION = "configuration"
    REGISTRY = "registry"
    OWN = "own"  # Objects that the proxy writes, such as allocators.
    EVACUATIONS = "evacuations"  # Data centres that get no more requests.


def stored_name(kind: str, name: str) -> str:
    """Return the name under which an object of the proxy's own is stored."""
    return f"{kind}.{name}"


def parse_stored_name(stored: str) -> tuple[str, str]:
    """Return kind and name of an object of the proxy's own from its stored name."""
    kind, _, name = stored.partition(".")
    return kind, name


@frozen
class Gone:
    """The content of an entry whose object was deleted."""


@frozen
class Unreadable:
    """The content of an entry whose object does not have the expected form."""

    detail: str


@frozen
class Entry:
    """An object after its change at a revision of the store."""

    name: str
    revision: int
    content: object


@frozen
class ListKind:
    """Ask for the objects of a kind whose names sort after `after`."""

    kind: WatchedKind
    after: str


@frozen
class WatchKind:
    """Ask for the changes of a kind after `revision`, waiting up to `wait` for one."""

    kind: WatchedKind
    revision: int
    wait: timedelta


@frozen
class KindListed:
    """A part of a kind's objects; `revision` is that of the store at that time."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int
    has_more: bool


@frozen
class KindChanged:
    """Answer a `WatchKind` with all changes of the kind up to `revision`."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int


@frozen
class CheckKind:
    """Ask for the changes of a kind after `revision`, without waiting for one."""

    kind: WatchedKind
    revision: int


@frozen
class KindChecked:
    """Answer a `CheckKind` with all changes up to the store's current `revision`."""

    kind: WatchedKind
    entries: tuple[Entry, ...]
    revision: int


@frozen
class CheckExpired:
    """The store has dropped the changes after the revision of a `CheckKind`."""

    kind: WatchedKind


@frozen
class CheckFailed:
    """A `CheckKind` had no usable answer."""

    kind: WatchedKind
    detail: str


@frozen
class KindExpired:
    """The store has dropped the changes after the revision of a `WatchKind`."""

    kind: WatchedKind


@frozen
class KindFailed:
    """A `ListKind` or `WatchKind` had no usable answer."""

    kind: WatchedKind
    detail: str
