"""Connections to the store that go silent without a reset, while new ones work."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random
from string import ascii_lowercase

import pytest
from attrs import define, evolve, field

from pimentodrift.evacuation.messages import Evacuation
from pimentodrift.kind_messages import (
    CheckFailed,
    CheckKind,
    KindFailed,
    WatchedKind,
    WatchKind,
)
from pimentodrift.kind_rows import MAX_RELAYED_REGISTRY_AGE, row_of
from pimentodrift.kind_watch import REGISTRY_CHECK_AGE
from pimentodrift.messages import SendPeer
from pimentodrift.peer_messages import RegistryUpdate, ViewUpdate
from pimentodrift.tables import State

from .kind_network import Call, KindNetwork
from .session_support import SECOND, make_configuration, make_endpoint

REGISTRY = WatchedKind.REGISTRY
CONFIGURATION = WatchedKind.CONFIGURATION
# Time after its sending at which the adapter gives up a call without an answer.
CALL_TIMEOUT = timedelta(milliseconds=700)


@define
class SilentNetwork(KindNetwork):
    """A network in which the open connections to the store can go silent."""

    silences: int = 0
    # Calls without an answer yet, and the silences before them.
    pending: list[tuple[Call, int]] = field(factory=list)
    checked: Counter[WatchedKind] = field(factory=Counter)  # Checks, by kind.
    tells_age: bool = True  # Relays tell the age of their copy of the registry.

    def is_silent(self, message: Call) -> bool:
        """Return whether a call was sent before a silence."""
        return any(
            known is message and silences < self.silences
            for known, silences in self.pending
        )

    def answer(self, name: str, message: Call) -> None:
        self.pending.append((message, self.silences))
        if isinstance(message, CheckKind):
            self.checked[message.kind] += 1
        super().answer(name, message)
        wait = message.wait if isinstance(message, WatchKind) else timedelta(0)

        def give_up() -> None:
            if self.is_silent(message):
                is_check = isinstance(message, CheckKind)
                failure = CheckFailed if is_check else KindFailed
                self.deliver(name, failure(message.kind, "timeout"))

        self.schedule(wait + CALL_TIMEOUT, give_up)

    def result(self, message: Call, is_due: bool) -> object:
        return None if self.is_silent(message) else super().result(message, is_due)

    def perform(self, name: str, message: object) -> None:
        match message:
            case SendPeer(message=ViewUpdate(registry=RegistryUpdate() as update)):
                if not self.tells_age:
                    update = evolve(update, age_ms=None)
                sent = evolve(message.message, registry=update)
                message = evolve(message, message=sent)
        super().perform(name, message)


def make_network(names: tuple[str, ...], **settings: object) -> SilentNetwork:
    network = SilentNetwork(Random(1), settings=settings)
    network.configure(make_configuration())
    network.change(REGISTRY, "e1", make_endpoint())
    for name in names:
        network.add(name, "r1")
    network.run(4 * SECOND)
    return network


def states(network: SilentNetwork) -> list[State]:
    return [node.state for node in network.nodes.values()]


def change_registry(network: SilentNetwork) -> None:
    network.change(REGISTRY, "e1", make_endpoint(is_leaving=True))


def change_configuration(network: SilentNetwork) -> None:
    network.change(CONFIGURATION, "main", make_configuration(rate=7))


def change_own_objects(network: SilentNetwork) -> None:
    network.put("dropped", "w", {"version": 1})


def change_evacuations(network: SilentNetwork) -> None:
    network.change(WatchedKind.EVACUATIONS, "z1", Evacuation())


@pytest.mark.parametrize("size", [1, 3, 12, 24])
@pytest.mark.parametrize("tells_age", [True, False])
@pytest.mark.parametrize(
    ("kind", "change"),
    [
        (REGISTRY, change_registry),
        (CONFIGURATION, change_configuration),
        (WatchedKind.OWN, change_own_objects),
        (WatchedKind.EVACUATIONS, change_evacuations),
    ],
)
def test_change_after_the_connections_went_silent(
    kind: WatchedKind,
    change: Callable[[SilentNetwork], None],
    size: int,
    tells_age: bool,
) -> None:
    """Guards against a copy that counts as current and misses a change for 20 s."""
    names = tuple(ascii_lowercase[:size])
    network = make_network(names, evacuation_bound=5 * SECOND)
    network.tells_age = tells_age
    network.run(2 * SECOND)
    network.silences += 1
    network.run(3 * SECOND)
    change(network)
    changed_at = network.version
    network.run(MAX_RELAYED_REGISTRY_AGE + CALL_TIMEOUT)
    for state in states(network):
        assert row_of(kind, state).revision >= changed_at


def test_checks_of_the_registry_while_nothing_changes() -> None:
    """Guards against calls for a copy that the check of another kind confirms."""
    network = make_network(tuple(ascii_lowercase[:12]))
    network.run(20 * SECOND)
    network.checked.clear()
    network.run(10 * SECOND)
    assert not network.checked[REGISTRY]


def test_checks_of_the_registry_while_the_store_changes() -> None:
    """Guards against calls in proportion to the changes or to the instances."""
    network = make_network(tuple(ascii_lowercase[:12]))
    network.run(20 * SECOND)
    network.checked.clear()
    for number in range(100):
        network.put("dropped", "w", {"version": number})
        network.run(0.1 * SECOND)
    relays = sum(not state.view.relay for state in states(network))
    assert network.checked[REGISTRY] <= relays * (10 * SECOND / REGISTRY_CHECK_AGE + 1)
