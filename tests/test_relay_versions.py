"""Versions in messages of relays, between builds with eras and without."""

import pytest
from attrs import evolve

from pimentodrift.messages import StoreObject
from pimentodrift.peer_messages import (
    NO_ERA,
    RegistryUpdate,
    RelayedEndpoint,
    Subscribe,
    ViewUpdate,
)
from pimentodrift.relay_versions import (
    decode_subscription,
    decode_update,
    encode_subscription,
    encode_update,
)
from pimentodrift.store_versions import REVISION_BITS, pack_version

ERA = 3


def version(revision: int, era: int = ERA) -> int:
    return pack_version(era, revision)


def make_update(era: int = ERA) -> ViewUpdate:
    changes = (RelayedEndpoint("e1", version(8, era), None),)
    return ViewUpdate(
        version(9, era),
        100,
        after=version(4, era),
        items=(StoreObject("note", "n", version(7, era), {}),),
        configured_at=version(2, era),
        registry=RegistryUpdate(version(1, era), version(9, era), changes),
    )


@pytest.mark.parametrize("era", [0, ERA])
def test_update_and_subscription_arrive_as_they_were(era: int) -> None:
    """Guards against a version that changes its meaning between two instances."""
    update = make_update(era)
    received = decode_update(encode_update(update, era), own_era=0)
    assert evolve(received, era=NO_ERA) == update
    subscription = Subscribe(version(9, era), 5, version(8, era))
    asked = decode_subscription(encode_subscription(subscription, era), own_era=0)
    assert evolve(asked, era=NO_ERA) == subscription


def test_build_without_eras_gets_the_stores_revisions() -> None:
    """Guards against a rolling update in which the older build takes a version for a
    revision and watches the store from there.
    """
    sent = encode_update(make_update(), ERA)
    assert sent.registry is not None
    numbers = [sent.version, sent.after, sent.configured_at, sent.items[0].version]
    numbers += [sent.registry.after, sent.registry.revision]
    numbers += [change.revision for change in sent.registry.changes]
    assert max(numbers) < 1 << REVISION_BITS


def test_messages_of_a_build_without_eras() -> None:
    """Guards against taking revisions of the older build for those of the first era."""
    old = evolve(encode_update(make_update(), ERA), era=NO_ERA)
    assert evolve(decode_update(old, ERA), era=NO_ERA) == make_update()
    asked = decode_subscription(Subscribe(9, 5, 8), ERA)
    assert (asked.version, asked.registry) == (version(9), version(8))


def test_update_claims_nothing_about_another_era() -> None:
    """Guards against a copy that is called complete by what was before a restore."""
    items = (
        StoreObject("note", "old", version(90, ERA - 1), {}),
        StoreObject("note", "new", version(7), {}),
    )
    update = evolve(make_update(), after=version(80, ERA - 1), items=items)
    received = decode_update(encode_update(update, ERA), ERA)
    assert received.after == received.version
    assert [item.name for item in received.items] == ["new"]
    before = evolve(make_update(), version=version(90, ERA - 1))
    assert encode_update(before, ERA).version == 0
