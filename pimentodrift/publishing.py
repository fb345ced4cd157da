"""Publishes services: immutable pieces first, then one manifest by conditional update.

A publication replaces the pieces of the services (directories) that it names and keeps
all others, so that teams publish independently. The manifest's field `services` maps
each service to its piece. If the manifest changes between being read and updated, the
whole publication fails, and the operator publishes again on top of the new manifest.
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
MAX_DOUBLINGS = 6  # INITIAL_BACKOFF doubled this often exceeds MAX_BACKOFF.

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
    """The answer was lost, and later publications hide whether the update applied."""

    publication: str
    other: str

    def __str__(self) -> str:
        return (
            f"publication {self.publication} got no answer, and {self.other} is in "
            "force now; compare its content, then publish again if needed"
        )


@frozen
class DuplicateDeclaration(PublishFailure):
    """A published service that is kept already has the same declaration."""

    declaration: str
    service: str
    other: str

    def __str__(self) -> str:
        return (
            f"{self.declaration} of service {self.service} "
            f"is also in service {self.other}"
        )


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
    """Retries calls of an unavailable store, with backoff, until `timeout` is over."""

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
            max_wait = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
            unanswered += 1
            # Full jitter spreads out the retries of scripts that share a store.
            wait = max_wait * self.random.random()
            if self.clock.monotonic() - started + wait > self.timeout:
                return answer, unanswered
            self.pause(wait.total_seconds())


@frozen
class BaseManifest:
    """The manifest that a publication updates; version 0 if there is none."""

    version: int = 0
    publication: str = ""
    services: dict[str, str] = field(factory=dict)


@define
class Publisher:
    """Publishes pieces as one publication with its own id."""

    store: Store
    retries: RetryPolicy = field(factory=RetryPolicy)
    publication: str = field(factory=lambda: str(uuid4()))

    def publish(
        self, pieces: tuple[Piece, ...], remove: tuple[str, ...] = ()
    ) -> Result[Publication, PublishFailure]:
        """Publish pieces and remove services."""
        return self.read_manifest().bind(
            lambda base: self.publish_on(base, pieces, remove)
        )

    def publish_on(
        self, base: BaseManifest, pieces: tuple[Piece, ...], remove: tuple[str, ...]
    ) -> Result[Publication, PublishFailure]:
        """Publish on top of the manifest that was read."""
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
        """Convert a store failure that came before the update of the manifest."""
        return StoreFailed(self.publication, failure_text(failure), unknown=False)

    def check_groups(self, pieces: tuple[Piece, ...]) -> Result[None, PublishFailure]:
        """Refuse pieces that name a group without an object in the store."""
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
                case Result(tag="ok", ok=stored):
                    value = stored.value if stored is not None else None
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
        """Write missing pieces; a version conflict means that the piece exists."""
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
        planned = Publication(self.publication, base.publication, services)
        failure = answer.swap().default_value(None)
        if failure is None:
            return Ok(planned)
        if isinstance(failure, VersionConflict):
            return self.resolve_conflict(failure.current, planned, unanswered > 0)
        if unanswered == 0:
            return Error(self.failure_before_update(failure))
        return self.resolve_lost_answer(planned, failure)

    def resolve_lost_answer(
        self, planned: Publication, failure: StoreFailure
    ) -> Result[Publication, PublishFailure]:
        """Read the manifest to find out whether an unanswered update took effect."""
        answer, _ = self.retries.run(lambda: self.store.get(*MANIFEST))
        match answer:
            case Result(tag="ok", ok=current):
                in_force = decode_manifest(current).publication
                if in_force == planned.previous:
                    # A delayed update may still reach the store.
                    unknown = StoreFailed(
                        planned.publication, failure_text(failure), True
                    )
                    return Error(unknown)
                return self.resolve_conflict(current, planned, unanswered=True)
        return Error(
            StoreFailed(planned.publication, failure_text(failure), unknown=True)
        )

    def resolve_conflict(
        self, current: StoreObject | None, planned: Publication, unanswered: bool
    ) -> Result[Publication, PublishFailure]:
        """Decide from the current manifest whether this publication took effect."""
        value = (current.value if current is not None else None) or {}
        other = str(value.get("publication", ""))
        if other == planned.publication:
            return Ok(planned)
        if not unanswered:
            return Error(
                PublicationConflict(planned.publication, planned.previous, other)
            )
        if value.get("previous") == planned.publication:
            return Ok(
                Publication(
                    planned.publication, planned.previous, planned.services, True
                )
            )
        if value.get("previous") == planned.previous:
            return Error(
                PublicationConflict(planned.publication, planned.previous, other)
            )
        return Error(OutcomeUnknown(planned.publication, other))


def decode_manifest(manifest: StoreObject | None) -> BaseManifest:
    """Return the manifest of a stored object.

    A piece without a service is kept as a service of the piece's name.
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
    """Return the declarations of a piece that must be unique among all services."""
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
    """Return the detail of a failed store call, or the name of the failure's type."""
    return str(getattr(failure, "detail", type(failure).__name__))
