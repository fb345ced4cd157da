"""CPU time of calls in the core that serve requests or messages, for `bench.slopes`.

Each function `*_cost` builds a state of some size and returns the microseconds of one
call in it.
"""

from datetime import timedelta

from attrs import frozen

from pimentodrift import core, heartbeats, membership, rates, view
from pimentodrift.allocation import balance_shares
from pimentodrift.dispatch import handle_peer
from pimentodrift.messages import StoreObject, StoreWritten, WriteStore
from pimentodrift.peer_messages import Ping, Pong, Subscribe
from pimentodrift.store_writes import StoreOutcome, write_ended, write_object
from pimentodrift.tables import State

from . import slopes_states as states
from .slopes_core import (
    DATABASES,
    FEW_DATABASES,
    FEW_INSTANCES,
    HOLDERS,
    INSTANCES,
    PEERS,
    SUBSCRIBERS,
    TICKS_PER_SECOND,
    WORKSPACES,
    add_subscriber,
    advance_clock,
    make_allocator,
    report_share,
)
from .slopes_measure import Row, cpu_us, sweep

SHARES = (8, 64, 512)
PIECES = (1, 8, 100)


def call_rows() -> list[Row]:
    """Return the CPU time of each call at several sizes."""
    return [
        sweep(
            "owner of an endpoint", "instances", INSTANCES, owner_cost, expected="flat"
        ),
        sweep(
            "watchers of a group",
            "instances",
            INSTANCES,
            watchers_cost,
            expected="flat",
        ),
        sweep(
            "endpoints of a group",
            "databases",
            DATABASES,
            group_endpoints_cost,
            expected="flat",
        ),
        sweep(
            "Ping answered", "databases", DATABASES, ping_answer_cost, expected="flat"
        ),
        sweep("choice of a relay", "instances", INSTANCES, relay_cost, expected="flat"),
        sweep("outage judged", "instances", INSTANCES, outage_cost, expected="flat"),
        sweep(
            "Subscribe, up to date",
            "instances",
            INSTANCES,
            subscribe_cost,
            expected="flat",
        ),
        sweep("push of one object", "subscribers", SUBSCRIBERS, push_cost),
        sweep("heartbeats, per round", "peers", PEERS, heartbeat_cost),
        sweep("second of shares held", "shares", SHARES, held_shares_cost),
        sweep(
            "share report answered",
            "holders",
            HOLDERS,
            share_report_cost,
            expected="flat",
        ),
        sweep("ledger balanced", "holders", HOLDERS, balance_cost),
        sweep(
            "conditional update", "instances", INSTANCES, update_cost, expected="flat"
        ),
        sweep(
            "instance object applied",
            "instances",
            INSTANCES,
            instance_change_cost,
            expected="flat",
        ),
        *change_rows(),
    ]


def owner_cost(size: int) -> float:
    """Return the cost of a repeated lookup of an endpoint's owner."""
    state = states.make_filled_state(size, FEW_DATABASES)
    row = state.endpoints["database-0"]
    return cpu_us(lambda: membership.owner(row, state))


def watchers_cost(size: int) -> float:
    """Return the cost of a repeated lookup of a group's watchers."""
    state = states.make_filled_state(size, FEW_DATABASES)
    return cpu_us(lambda: membership.watchers("group-0", state))


def group_endpoints_cost(size: int) -> float:
    """Return the cost of a repeated lookup of a group's endpoints."""
    state = states.make_filled_state(FEW_INSTANCES, size)
    return cpu_us(lambda: membership.group_endpoints("group-0", state))


def ping_answer_cost(size: int) -> float:
    """Return the cost of answering a `Ping` with fresh samples of all endpoints."""
    state = states.make_filled_state(FEW_INSTANCES, size)
    for row in state.endpoints.values():
        row.sampled_at = state.clock.monotonic()

    def call() -> None:
        handle_peer(Ping(1), "instance-1", state)
        state.outbox.clear()

    return cpu_us(call)


def relay_cost(size: int) -> float:
    """Return the cost of a repeated choice of the relay."""
    state = states.make_filled_state(size, 0)
    return cpu_us(lambda: view.choose_relay(state))


def outage_cost(size: int) -> float:
    """Return the cost of the check for an outage of the store, with a stale view."""
    state = states.make_filled_state(size, 0)
    advance_clock(state)
    state.view.confirmed_at -= timedelta(seconds=10)
    return cpu_us(lambda: view.is_store_outage(state))


def subscribe_cost(size: int) -> float:
    """Return the cost of answering a `Subscribe` of an instance that is up to date."""
    state = states.make_filled_state(size, 0)
    message = Subscribe(state.view.version, 1)

    def call() -> None:
        handle_peer(message, "instance-1", state)
        state.outbox.clear()

    return cpu_us(call)


def push_cost(size: int) -> float:
    """Return the cost of pushing one object, with its encoding for each subscriber."""
    state = states.make_filled_state(size + 1, 0)
    for index in range(1, size + 1):
        add_subscriber(state, index)

    def call() -> None:
        version = state.view.version + 1
        view.apply([states.instance_object(1, version)], state)
        state.view.version = version
        for message in core.take_outbox(state):
            states.encode(message)

    return cpu_us(call)


def heartbeat_cost(size: int) -> float:
    """Return the cost of sending a ping to each peer and handling the answers."""
    state = states.make_filled_state(size + 1, 0)
    names = [f"instance-{index}" for index in range(1, size + 1)]
    for name in names:
        membership.track_contact(name, state)

    def call() -> None:
        advance_clock(state, state.settings.heartbeat_interval)
        for name in names:
            membership.track_contact(name, state)
        heartbeats.run(state)
        for message in core.take_outbox(state):
            states.encode(message)
        for name in names:
            handle_peer(Pong(state.next_number, 100), name, state)

    return cpu_us(call)


def share_report_cost(size: int) -> float:
    """Return the cost of answering a share report, with the answer's encoding."""
    state = make_allocator(size)
    for index in range(size):
        report_share(state, index)

    def call() -> None:
        report_share(state, 1)
        for message in core.take_outbox(state):
            states.encode(message)

    state.outbox.clear()
    return cpu_us(call)


def held_shares_cost(size: int) -> float:
    """Return the cost of held shares in a second of ticks, with encoded reports."""
    state = states.make_filled_state(FEW_INSTANCES, 3, size)
    value = {"epoch": 1, "holder": "instance-1"}
    first = state.view.version + 1
    items = [
        StoreObject("allocator", f"workspace-{index}", first + index, value)
        for index in range(size)
    ]
    states.receive_objects(state, items)
    for index in range(size):
        rates.get_or_create_share(f"workspace-{index}", state).rate = 1.0

    def call() -> None:
        for _ in range(TICKS_PER_SECOND):
            advance_clock(state)
            rates.run(state)
            for message in core.take_outbox(state):
                states.encode(message)

    return cpu_us(call)


def balance_cost(size: int) -> float:
    """Return the cost of balancing the shares of one workspace among its holders."""
    state = make_allocator(size)
    for index in range(size):
        report_share(state, index)
    row = state.allocations["workspace-0"]
    declared = state.configuration.workspaces["workspace-0"]

    def call() -> None:
        advance_clock(state, timedelta(milliseconds=100))
        for holding in row.holdings.values():
            holding.heard_at = state.clock.monotonic()
        balance_shares(row, declared, state)
        state.outbox.clear()

    return cpu_us(call)


@frozen
class UnawaitedUpdate:
    """The purpose of a store write whose outcome nobody needs."""


@write_ended.register
def _(purpose: UnawaitedUpdate, outcome: StoreOutcome, state: State) -> None:
    """Ignore the outcome."""


def update_cost(size: int) -> float:
    """Return the cost of a conditional write to the store and its answer."""
    state = states.make_filled_state(size, 3)

    def call() -> None:
        version = state.view.version + 1
        write_object(StoreObject("dropped", "x", 0, {}), {}, UnawaitedUpdate(), state)
        sent = core.take_outbox(state)[0]
        assert isinstance(sent, WriteStore)
        written = StoreObject("dropped", "x", version, {})
        core.handle(StoreWritten(sent.call, written), state)

    return cpu_us(call)


def instance_change_cost(size: int) -> float:
    """Return the cost of applying a changed instance and finding an owner anew."""
    state = states.make_filled_state(size, FEW_DATABASES)
    row = state.endpoints["database-0"]

    def call() -> None:
        states.receive_objects(
            state, [states.instance_object(1, state.view.version + 1)]
        )
        membership.owner(row, state)

    return cpu_us(call)


def change_rows() -> list[Row]:
    """Return the cost of changing one piece with 2,300 workspaces, by piece count."""
    return [
        sweep(
            "configuration change, 2,300 workspaces", "pieces", PIECES, publication_cost
        )
    ]


def publication_cost(count: int) -> float:
    """Return the cost of applying a publication that changes one piece."""
    state = states.make_filled_state(2, 3, WORKSPACES[-1], count)
    part = state.view.objects["piece", "piece-0"].value
    numbers = iter(range(1_000_000))

    def call() -> None:
        name = f"changed-{next(numbers)}"
        version = state.view.version
        items = [
            StoreObject("piece", name, version + 1, part),
            states.manifest_object(count, version + 2, name),
        ]
        states.receive_objects(state, items)

    return cpu_us(call)
