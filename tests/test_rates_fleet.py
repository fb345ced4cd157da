"""Rate shares in a fleet too large for each instance to share in every workspace."""

from random import Random
from string import ascii_lowercase

import pytest
from attrs import evolve

from pimentodrift import allocator_claims, rates, view
from pimentodrift.dispatch import handle_peer
from pimentodrift.messages import PeerReceived
from pimentodrift.peer_messages import ShareRaise, ShareRenew, ShareReport
from pimentodrift.rate_rows import HoldingRow

from .network import Network
from .rate_support import (
    BURST,
    RATE,
    SECOND,
    Load,
    RateMachine,
    allocator_name,
    make_load,
    outcomes,
)

__all__ = ["outcomes"]  # A fixture that every test here uses.

NAMES = tuple(ascii_lowercase[: view.SMALL_FLEET + 4])


def three_other_instances(load: Load) -> list[str]:
    """Return three instances other than the allocator, to send requests to."""
    return [name for name in NAMES if name != allocator_name(load)][:3]


def test_only_used_workspaces_have_shares() -> None:
    """Guards against reports of every instance about every workspace."""
    load = make_load(NAMES)
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 10 * SECOND, lambda: load.network.random.choice(used))
    nodes = load.network.nodes.items()
    holders = {name for name, node in nodes if node.state.shares}
    assert holders == {allocator_name(load), *used}
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_load_moving_between_instances_of_a_fleet() -> None:
    """Guards against refusing the first requests of an instance without a share."""
    load = make_load(NAMES)
    for name in (*NAMES[:5], NAMES[0]):
        load.offer(0.8 * RATE, 3 * SECOND, lambda name=name: name)
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_idle_share_is_given_up() -> None:
    """Guards against reports for ever about a workspace that an instance served once.

    Its rate goes back at once, not only when the holder has been silent for long.
    """
    load = make_load(NAMES)
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    load.network.run(rates.IDLE_SHARE_LIFETIME + SECOND)
    for name in used:
        assert not load.network.nodes[name].state.shares
    ledger = load.network.nodes[allocator_name(load)].state.allocations["w"]
    assert set(ledger.holdings) == {allocator_name(load)}
    refused = load.refused
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    assert load.refused == refused == 0
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize("seed", range(4))
def test_shares_given_up_and_taken_again_on_a_bad_network(seed: int) -> None:
    """Guards against a late or repeated report that frees a share still in use."""
    load = make_load(NAMES, seed)
    load.network.loss, load.network.doubled = 0.1, 0.3
    random = Random(seed)
    for _ in range(8):
        used = random.sample(NAMES, 3)
        load.offer(2 * RATE, SECOND, lambda used=used: random.choice(used))
        load.network.run(random.uniform(1.8, 2.3) * SECOND)
    assert load.worst_excess() <= 1e-6


@pytest.mark.parametrize(("declined", "returned"), [(7, 5.0), (0, 0.0)])
def test_tokens_of_a_raise_in_flight(declined: int, returned: float) -> None:
    """Guards against tokens that are counted twice: by the raise and by its holder.

    The holder's answer was lost; it had applied the raise unless it declined it.
    """
    load = make_load(NAMES)
    state = load.network.nodes[allocator_name(load)].state
    row = state.allocations["w"]
    other = next(name for name in NAMES if name != state.settings.name)
    raised = ShareRaise("w", row.epoch, 7, 0.0, 5.0, 5.0)
    row.holdings[other] = HoldingRow(other, burst=5.0, operation=raised)
    before = row.free_tokens
    final = ShareReport(
        "w",
        row.epoch,
        0.0,
        0.0,
        0.0,
        0.0,
        0.0,
        9,
        is_final=True,
        last_number=7,
        declined=declined,
    )
    handle_peer(final, other, state)
    assert other not in row.holdings
    assert row.free_tokens - before == returned


def test_allocator_of_the_build_before(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a rate that stays locked during a rolling update.

    The build before takes a final report for a usual one, and waits for the holder's
    answers.
    """
    original = Network.deliver

    def deliver(network: Network, to: str, message: object) -> None:
        if isinstance(message, PeerReceived) and isinstance(
            message.message, ShareRenew
        ):
            renewal = evolve(message.message, takes_back=False)
            message = evolve(message, message=renewal)
        original(network, to, message)

    monkeypatch.setattr(Network, "deliver", deliver)
    load = make_load(NAMES)
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    load.network.run(rates.IDLE_SHARE_LIFETIME + 8 * SECOND)
    for name in used:
        assert load.network.nodes[name].state.shares
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    assert load.refused == 0
    assert load.worst_excess() <= 1e-6


def test_instances_of_the_build_before_are_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unlocked share of a build that does not answer questions.

    Half of the instances take a question for an answer to a report, as that build does.
    """
    original = Network.deliver
    old_builds = set(NAMES[::2])

    def deliver(network: Network, to: str, message: object) -> None:
        if (
            to in old_builds
            and isinstance(message, PeerReceived)
            and isinstance(message.message, ShareRenew)
        ):
            renewal = evolve(message.message, asks_report=False)
            message = evolve(message, message=renewal)
        original(network, to, message)

    monkeypatch.setattr(Network, "deliver", deliver)
    load = make_load(NAMES)
    network, lost = load.network, allocator_name(load)
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 4 * SECOND, lambda: network.random.choice(used))
    network.kill(lost)
    load.offer(2 * RATE, 8 * SECOND, lambda: network.random.choice(used))
    assert allocator_name(load) != lost
    assert load.worst_excess() <= 1e-6
    refused = load.refused
    load.offer(0.5 * RATE, 3 * SECOND, lambda: network.random.choice(used))
    assert load.refused == refused


@pytest.mark.parametrize("silent", [False, True])
def test_failed_allocator_of_a_fleet_is_replaced(silent: bool) -> None:
    """Guards against shares that end or are given out twice when allocators change."""
    load = make_load(NAMES)
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 5 * SECOND, lambda: load.network.random.choice(used))
    dead = allocator_name(load)
    if silent:
        load.network.nodes[dead].paused = True
    else:
        load.network.kill(dead)
    before = len(load.admitted)
    load.offer(0.8 * RATE, 30 * SECOND, lambda: load.network.random.choice(used))
    assert allocator_name(load) != dead
    assert load.worst_excess() <= 1e-6
    assert load.refused <= 0.001 * (len(load.admitted) - before + load.refused)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_restarted_fleet_serves_within_a_second(loss: float) -> None:
    """Guards against a lock that lasts as long as shares that no process holds.

    Most instances of a larger fleet have no share of a workspace and report nothing.
    """
    load = make_load(NAMES)
    network = load.network
    network.loss, network.doubled = loss, loss
    used = three_other_instances(load)
    load.offer(0.8 * RATE, 3 * SECOND, lambda: network.random.choice(used))
    for name in NAMES:
        network.kill(name)
    network.run(SECOND)
    for name in NAMES:
        network.add(name, network.nodes[name].state.settings.region)
    load.offer(0.5 * RATE, SECOND, lambda: network.random.choice(used))
    refused, admitted = load.refused, len(load.admitted)
    load.offer(0.5 * RATE, 3 * SECOND, lambda: network.random.choice(used))
    assert load.refused == refused
    assert len(load.admitted) - admitted >= 0.5 * RATE * 3 - 1
    assert load.worst_excess() <= 1e-6


def test_cut_off_holder_keeps_its_share_until_its_lease_ends() -> None:
    """Guards against an unlocked share that a silent instance still uses."""
    load = make_load(NAMES)
    network, lost = load.network, allocator_name(load)
    holder, *rest = three_other_instances(load)
    load.offer(RATE, 4 * SECOND, lambda: holder)
    network.kill(lost)
    network.partitions.update(
        frozenset((holder, name)) for name in NAMES if name != holder
    )
    load.offer(4 * RATE, 10 * SECOND, lambda: network.random.choice([holder, *rest]))
    assert load.worst_excess() <= 1e-6


def test_moving_flood_with_message_loss_in_a_fleet() -> None:
    """Guards against shares counted twice when the holders change under overload."""
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
    """The checks of `RateMachine` with the shares of a larger fleet."""


@pytest.fixture
def _treat_as_large_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rates, "holds_all_shares", lambda state: False)
    monkeypatch.setattr(allocator_claims, "holds_all_shares", lambda state: False)


@pytest.mark.usefixtures("_treat_as_large_fleet")
class TestFleetRateMachine(FleetRateMachine.TestCase):  # type: ignore[misc, name-defined]
    """Guards against shares above rate and burst when only some instances hold them."""

    settings = RateMachine.TestCase.settings
