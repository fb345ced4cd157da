"""Publishes services: immutable pieces first, then one manifest by conditional update.

A publication replaces the pieces of the services (directories) that it names and keeps
all others, so that teams publish independently. The manifest's field `services` tells
which piece belongs to which service. A manifest that changed since it was read makes
the whole publication fail: the operator publishes again on top of the other one.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import partial
from random import Random
from time import sleep
from typing import Any, Protocol, TypeVar
from uuid import uuid4

from attrs import define, field, frozen
from expression import Error, Ok, Result

from .clock import Clock, SystemClock
from .messages import StoreObject
from .operator_files import Piece
from .store_api import StoreFailure, StoreUnavailable, VersionConflict

MANIFEST = ("manifest", "current")
RETRY_TIMEOUT = timedelta(seconds=60)
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=5)
MAX_DOUBLINGS = 6  # FIRST_PAUSE doubled so often is above LONGEST_PAUSE.

T = TypeVar("T")
StoreCall = Callable[[], Result[T, StoreFailure]]


class Store(Protocol):
    """The calls of the store that a publication uses."""

    def get(self, kind: str, name: str) -> Result[StoreObject | None, StoreFailure]:
        """Read an object; the result is None if there is none."""

    def put(
        self, kind: str, name: str, value: dict[str, Any], version: int
    ) -> Result[StoreObject, StoreFailure]:
        """Write an object if its version is still `version` (0: create it)."""


@frozen
class PublishFailure:
    """Base of the reasons why a publication failed."""


@frozen
class StoreFailed(PublishFailure):
    """The store gave no usable answer; `publication` may be in force if `unknown`."""

    publication: str
    detail: str
    unknown: bool

    def __str__(self) -> str:
        outcome = "may be in force" if self.unknown else "is not in force"
        return f"publication {self.publication} {outcome}: {self.detail}"


@frozen
class PublicationConflict(PublishFailure):
    """Another publication changed the manifest first; this one changed nothing."""

    publication: str
    base: str
    other: str

    def __str__(self) -> str:
        base = self.base or "an empty store"
        return (
            f"publication {self.publication} conflicts with {self.other or 'another'}, "
            f"which was published on top of {base} meanwhile; nothing was changed: "
            "publish again"
        )


@frozen
class OutcomeUnknown(PublishFailure):
    """The answer was lost, and later publications hide what happened."""

    publication: str
    other: str

    def __str__(self) -> str:
        return (
            f"publication {self.publication} got no answer, and {self.other} is in "
            "force now; compare its content, then publish again if needed"
        )


@frozen
class DuplicateDeclaration(PublishFailure):
    """Another service, which is not published now, declares the same."""

    what: str
    service: str
    other: str

    def __str__(self) -> str:
        return f"{self.what} of service {self.service} is also in service {self.other}"


@frozen
class UnknownService(PublishFailure):
    """A service to remove is not published."""

    service: str
    published: tuple[str, ...]

    def __str__(self) -> str:
        known = ", ".join(self.published) or "none"
        return f"service {self.service} is not published; published services: {known}"


@frozen
class UnknownGroup(PublishFailure):
    """A workspace names a group that the platform does not list."""

    group: str
    service: str

    def __str__(self) -> str:
        return f"service {self.service} names group {self.group}, which is not listed"


@frozen
class Publication:
    """A publication that took effect; `superseded` if another already follows it."""

    publication: str
    previous: str
    services: dict[str, str]
    superseded: bool = False


@define
class RetryPolicy:
    """Repeats calls of a store that is down or slow, within a bound."""

    clock: Clock = field(factory=SystemClock)
    random: Random = field(factory=Random)
    pause: Callable[[float], None] = sleep
    timeout: timedelta = RETRY_TIMEOUT
    notify: Callable[[StoreFailure], None] = lambda failure: None

    def run(self, call: StoreCall[T]) -> tuple[Result[T, StoreFailure], int]:
        """Return the final answer and the number of unanswered attempts before it."""
        started = self.clock.monotonic()
        unanswered = 0
        while True:
            answer = call()
            failure = answer.swap().default_value(None)
            if not isinstance(failure, StoreUnavailable):
                return answer, unanswered
            self.notify(failure)
            doublings = min(unanswered, MAX_DOUBLINGS)
            longest = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
            unanswered += 1
            # Full jitter: operators' scripts that wait for one store spread out.
            wait = longest * self.random.random()
            if self.clock.monotonic() - started + wait > self.timeout:
                return answer, unanswered
            self.pause(wait.total_seconds())


@frozen
class BaseManifest:
    """The manifest that a publication builds on; version 0 if there is none."""

    version: int = 0
    publication: str = ""
    services: dict[str, str] = field(factory=dict)


@define
class Publisher:
    """Carries out one publication."""

    store: Store
    retries: RetryPolicy = field(factory=RetryPolicy)
    publication: str = field(factory=lambda: str(uuid4()))

    def publish(
        self, pieces: tuple[Piece, ...], remove: tuple[str, ...] = ()
    ) -> Result[Publication, PublishFailure]:
        """Put pieces in force and end the services to remove."""
        return self.read_manifest().bind(
            lambda base: self.publish_on(base, pieces, remove)
        )

    def publish_on(
        self, base: BaseManifest, pieces: tuple[Piece, ...], remove: tuple[str, ...]
    ) -> Result[Publication, PublishFailure]:
        """Publish on top of a manifest that was read."""
        for service in remove:
            if service not in base.services:
                return Error(UnknownService(service, tuple(sorted(base.services))))
        kept = {
            service: name
            for service, name in base.services.items()
            if service not in {*remove, *(piece.service for piece in pieces)}
        }
        services = kept | {piece.service: piece.name for piece in pieces}
        return (
            self.check_groups(pieces)
            .bind(lambda _: self.check_kept_services(kept, pieces))
            .bind(lambda _: self.write_pieces(pieces))
            .bind(lambda _: self.write_manifest(base, services))
        )

    def read_manifest(self) -> Result[BaseManifest, PublishFailure]:
        """Read the manifest in force."""
        answer, _ = self.retries.run(lambda: self.store.get(*MANIFEST))
        return answer.map(decode_manifest).map_error(self.failure_before_update)

    def failure_before_update(self, failure: StoreFailure) -> PublishFailure:
        """Convert a failure before the manifest was written."""
        return StoreFailed(self.publication, failure_text(failure), unknown=False)

    def check_groups(self, pieces: tuple[Piece, ...]) -> Result[None, PublishFailure]:
        """Refuse pieces that name a group of which the platform has no object."""
        services = {group: service for service, group in named_groups(pieces)}
        for group, service in sorted(services.items()):
            answer, _ = self.retries.run(partial(self.store.get, "group", group))
            match answer:
                case Result(tag="ok", ok=None):
                    return Error(UnknownGroup(group, service))
                case Result(tag="error", error=failure):
                    return Error(self.failure_before_update(failure))
        return Ok(None)

    def check_kept_services(
        self, kept: dict[str, str], pieces: tuple[Piece, ...]
    ) -> Result[None, PublishFailure]:
        """Refuse pieces that declare what a kept service already declares."""
        declared: dict[str, str] = {}
        for service, name in sorted(kept.items()):
            answer, _ = self.retries.run(partial(self.store.get, "piece", name))
            match answer:
                case Result(tag="ok", ok=found):
                    value = found.value if found is not None else None
                    for item in unique_declarations(value or {}):
                        declared[item] = service
                case Result(tag="error", error=failure):
                    return Error(self.failure_before_update(failure))
        for piece in pieces:
            for item in unique_declarations(piece.value):
                if item in declared:
                    return Error(
                        DuplicateDeclaration(item, piece.service, declared[item])
                    )
        return Ok(None)

    def write_pieces(self, pieces: tuple[Piece, ...]) -> Result[None, PublishFailure]:
        """Write the pieces that the store lacks; a piece of a name never changes."""
        for piece in pieces:
            answer, _ = self.retries.run(
                partial(self.store.put, "piece", piece.name, piece.value, 0)
            )
            failure = answer.swap().default_value(None)
            if failure is not None and not isinstance(failure, VersionConflict):
                return Error(self.failure_before_update(failure))
        return Ok(None)

    def write_manifest(
        self, base: BaseManifest, services: dict[str, str]
    ) -> Result[Publication, PublishFailure]:
        """Replace the manifest if it is still the one that was read."""
        value = {
            "publication": self.publication,
            "previous": base.publication,
            "pieces": sorted(set(services.values())),
            "services": services,
        }
        answer, unanswered = self.retries.run(
            lambda: self.store.put(*MANIFEST, value, base.version)
        )
        done = Publication(self.publication, base.publication, services)
        failure = answer.swap().default_value(None)
        if failure is None:
            return Ok(done)
        if isinstance(failure, VersionConflict):
            return self.resolve_conflict(failure.current, done, unanswered > 0)
        if unanswered == 0:
            return Error(self.failure_before_update(failure))
        return self.resolve_lost_answer(done, failure)

    def resolve_lost_answer(
        self, done: Publication, failure: StoreFailure
    ) -> Result[Publication, PublishFailure]:
        """Find out what became of an update whose answer was lost."""
        answer, _ = self.retries.run(lambda: self.store.get(*MANIFEST))
        match answer:
            case Result(tag="ok", ok=current):
                in_force = decode_manifest(current).publication
                if in_force == done.previous:
                    # The update may still be on its way to the store.
                    unknown = StoreFailed(done.publication, failure_text(failure), True)
                    return Error(unknown)
                return self.resolve_conflict(current, done, unanswered=True)
        return Error(StoreFailed(done.publication, failure_text(failure), unknown=True))

    def resolve_conflict(
        self, current: StoreObject | None, done: Publication, unanswered: bool
    ) -> Result[Publication, PublishFailure]:
        """Tell an own update that took effect from another publication's."""
        value = (current.value if current is not None else None) or {}
        other = str(value.get("publication", ""))
        if other == done.publication:
            return Ok(done)
        if not unanswered:
            return Error(PublicationConflict(done.publication, done.previous, other))
        if value.get("previous") == done.publication:
            return Ok(Publication(done.publication, done.previous, done.services, True))
        if value.get("previous") == done.previous:
            return Error(PublicationConflict(done.publication, done.previous, other))
        return Error(OutcomeUnknown(done.publication, other))


def decode_manifest(manifest: StoreObject | None) -> BaseManifest:
    """Return what a publication needs of a manifest.

    Pieces that no service claims are kept under their own name.
    """
    if manifest is None:
        return BaseManifest()
    value = manifest.value or {}
    services: dict[str, str] = dict(value.get("services", {}))
    claimed = set(services.values())
    for name in value.get("pieces", []):
        if name not in claimed:
            services[name] = name
    return BaseManifest(manifest.version, str(value.get("publication", "")), services)


def unique_declarations(piece: dict[str, Any]) -> Iterable[str]:
    """Name everything in a piece that may be declared only once."""
    for name, workspace in piece.get("workspaces", {}).items():
        yield f"workspace {name}"
        for digest in workspace.get("keys", []):
            yield f"key digest {digest[:12]}..."
        for route in workspace.get("open_routes", {}):
            yield f"open route {route}"


def named_groups(pieces: Iterable[Piece]) -> Iterable[tuple[str, str]]:
    """Return (service, group) for each group that pieces name."""
    for piece in pieces:
        for workspace in piece.value["workspaces"].values():
            for group in workspace["groups"]:
                yield piece.service, group


def failure_text(failure: StoreFailure) -> str:
    """Explain a failed call of the store."""
    return str(getattr(failure, "detail", type(failure).__name__))
