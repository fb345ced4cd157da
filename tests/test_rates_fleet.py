"""Rate shares in a fleet of more instances than hold a share of every workspace."""

from random import Random
from string import ascii_lowercase

import pytest

from pimentodrift import allocator_claims, rates, view

from .rate_support import (
    BURST,
    RATE,
    SECOND,
    Load,
    RateMachine,
    allocator,
    make_load,
    outcomes,
)

__all__ = ["outcomes"]  # A fixture that every test here uses.

NAMES = tuple(ascii_lowercase[: view.SMALL_FLEET + 4])


def busy(load: Load) -> list[str]:
    """Return three instances other than the allocator."""
    return [name for name in NAMES if name != allocator(load)][:3]


def test_only_used_workspaces_have_shares() -> None:
    """Guards against reports from every instance for every workspace."""
    load = make_load(NAMES)
    used = busy(load)
    load.offer(0.8 * RATE, 10 * SECOND, lambda: load.network.random.choice(used))
    nodes = load.network.nodes.items()
    holders = {name for name, node in nodes if node.state.shares}
    assert holders == {allocator(load), *used}
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_load_that_moves_in_a_fleet() -> None:
    """Guards against instances whose first requests find no share."""
    load = make_load(NAMES)
    for name in (*NAMES[:5], NAMES[0]):
        load.offer(0.8 * RATE, 3 * SECOND, lambda name=name: name)
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("silent", [False, True])
def test_death_of_the_allocator_in_a_fleet(silent: bool) -> None:
    """Guards against shares that lapse or are granted twice at a change."""
    load = make_load(NAMES)
    used = busy(load)
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    dead = allocator(load)
    if silent:
        load.network.nodes[dead].paused = True
    else:
        load.network.kill(dead)
    before = len(load.admitted)
    load.offer(0.8 * RATE, 30 * SECOND, lambda: load.network.random.choice(used))
    assert allocator(load) != dead
    assert load.worst_excess() <= 1e-6
    assert load.refused <= 0.001 * (len(load.admitted) - before + load.refused)


def test_flood_that_moves_with_losses_in_a_fleet() -> None:
    """Guards against shares counted twice when the holders change in a flood."""
    load = make_load(NAMES, seed=2)
    load.network.loss = 0.2
    load.network.doubled = 0.3
    random = Random(2)
    for _ in range(6):
        used = random.sample(NAMES, 4)
        load.offer(3 * RATE, 2 * SECOND, lambda used=used: random.choice(used))
    assert load.worst_excess() <= 1e-6
    assert len(load.admitted) <= RATE * 12 + BURST


class FleetRateMachine(RateMachine):
    """Any failures in any order with the shares of a larger fleet."""


@pytest.fixture
def _few_are_a_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rates, "holds_all", lambda state: False)
    monkeypatch.setattr(allocator_claims, "holds_all", lambda state: False)


@pytest.mark.usefixtures("_few_are_a_fleet")
class TestFleetRateMachine(FleetRateMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against shares that exceed rate and burst when few hold them."""

    settings = RateMachine.TestCase.settings
