"""Converts versions between the copies of the store and the messages of relays.

The messages hold the store's revisions, as in builds that know no eras, and the era in
a field of its own. A message without it is taken for one of the receiver's era.
"""

from attrs import evolve

from .messages import StoreObject
from .peer_messages import (
    NO_ERA,
    RegistryUpdate,
    RelayedConfiguration,
    RelayedEndpoint,
    RelayedEvacuations,
    Subscribe,
    ViewUpdate,
)
from .store_versions import era_of, pack_version, revision_of


def to_revision(version: int, era: int) -> int:
    """Return the revision of a version; 0, as for nothing, if it is of another era."""
    return revision_of(version) if era_of(version) == era else 0


def to_version(revision: int, era: int) -> int:
    """Return the version of a revision; 0 stays 0."""
    return pack_version(era, revision) if revision else 0


def encode_subscription(message: Subscribe, era: int) -> Subscribe:
    """Return a subscription with revisions of an era."""
    return evolve(
        message,
        version=to_revision(message.version, era),
        registry=to_revision(message.registry, era),
        era=era,
        configuration=to_revision(message.configuration, era),
    )


def decode_subscription(message: Subscribe, own_era: int) -> Subscribe:
    """Return a subscription with versions."""
    era = own_era if message.era == NO_ERA else message.era
    return evolve(
        message,
        version=to_version(message.version, era),
        registry=to_version(message.registry, era),
        configuration=to_version(message.configuration, era),
    )


def encode_update(message: ViewUpdate, era: int) -> ViewUpdate:
    """Return an update with revisions of an era; it claims nothing about earlier ones.

    An update after a version of another era may lack deletions, so it is complete only
    for a subscriber that has everything.
    """
    version = to_revision(message.version, era)
    is_after_known = era_of(message.after) == era
    items = [item for item in message.items if era_of(item.version) == era]
    return evolve(
        message,
        version=version,
        after=revision_of(message.after) if is_after_known else version,
        items=tuple(evolve(item, version=revision_of(item.version)) for item in items),
        configured_at=to_revision(message.configured_at, era),
        registry=encode_registry(message.registry),
        era=era,
        evacuations=encode_evacuations(message.evacuations),
        configuration=encode_configuration(message.configuration, era),
    )


def decode_update(message: ViewUpdate, own_era: int) -> ViewUpdate:
    """Return an update with versions."""
    era = own_era if message.era == NO_ERA else message.era
    return evolve(
        message,
        version=to_version(message.version, era),
        after=to_version(message.after, era),
        items=tuple(decode_item(item, era) for item in message.items),
        configured_at=to_version(message.configured_at, era),
        registry=decode_registry(message.registry, era),
        evacuations=decode_evacuations(message.evacuations, era),
        configuration=decode_configuration(message.configuration, era),
    )


def decode_item(item: StoreObject, era: int) -> StoreObject:
    """Return an object with its version."""
    return evolve(item, version=to_version(item.version, era))


def encode_registry(update: RegistryUpdate | None) -> RegistryUpdate | None:
    """Return the registry's changes with revisions."""
    if update is None:
        return None
    changes = (
        RelayedEndpoint(item.name, revision_of(item.revision), item.content)
        for item in update.changes
    )
    return evolve(
        update,
        after=revision_of(update.after),
        revision=revision_of(update.revision),
        changes=tuple(changes),
    )


def decode_registry(update: RegistryUpdate | None, era: int) -> RegistryUpdate | None:
    """Return the registry's changes with versions."""
    if update is None:
        return None
    changes = (
        RelayedEndpoint(item.name, to_version(item.revision, era), item.content)
        for item in update.changes
    )
    return evolve(
        update,
        after=to_version(update.after, era),
        revision=to_version(update.revision, era),
        changes=tuple(changes),
    )


def encode_evacuations(update: RelayedEvacuations | None) -> RelayedEvacuations | None:
    """Return the evacuations with revisions."""
    if update is None:
        return None
    objects = {name: revision_of(at) for name, at in update.objects.items()}
    return RelayedEvacuations(revision_of(update.revision), objects)


def decode_evacuations(
    update: RelayedEvacuations | None, era: int
) -> RelayedEvacuations | None:
    """Return the evacuations with versions."""
    if update is None:
        return None
    objects = {name: to_version(at, era) for name, at in update.objects.items()}
    return RelayedEvacuations(to_version(update.revision, era), objects)


def encode_configuration(
    update: RelayedConfiguration | None, era: int
) -> RelayedConfiguration | None:
    """Return the configuration with revisions; None if it is of another era."""
    if update is None or era_of(update.revision) != era:
        return None
    changed = to_revision(update.changed, era)
    return evolve(update, revision=revision_of(update.revision), changed=changed)


def decode_configuration(
    update: RelayedConfiguration | None, era: int
) -> RelayedConfiguration | None:
    """Return the configuration with versions."""
    if update is None:
        return None
    changed = to_version(update.changed, era)
    return evolve(update, revision=to_version(update.revision, era), changed=changed)
