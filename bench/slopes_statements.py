"""CPU time of a statement in the core, by the role of the instance, for `bench.slopes`.

Two cores exchange encoded messages; databases answer at once. The time of entry and
owner is measured separately, so that the costs of an instance with both roles for
different statements can be summed. `slopes_shell` measures sockets.
"""

from collections.abc import Iterator
from time import process_time

import msgpack
import orjson
from attrs import define, field

from pimentodrift import core, membership, rates
from pimentodrift.messages import (
    CallerAnswer,
    CallerRequest,
    EndpointAnswered,
    EndpointOpened,
    OpenEndpoint,
    PeerReceived,
    Rows,
    RunBatch,
    SendPeer,
    Statement,
    StatementResult,
)
from pimentodrift.tables import State

from . import slopes_states as states
from .slopes_core import advance_clock
from .slopes_measure import MICROSECOND, Row, sweep

INSTANCES = (100, 1000, 5800)
DATABASES = (99, 999, 6900)
STATEMENTS = 400
WARM_UP = 40
KEY = "the key of the only workspace"
SESSION_HEADERS = {"authorization": f"Bearer {KEY}", "idempotency-key": ""}
ROWS = Rows(("id", "name"), ((1, "one"),))
REPLICAS = Rows(
    ("endpoint", "term", "received"), (("database-1", 1, 10), ("database-2", 1, 10))
)
STATUS = Rows(("role", "term", "received", "replayed"), (("primary", 1, 10, 10),))


def run_statement(statement: Statement) -> StatementResult:
    """Return the result that a database of the group would give for a statement."""
    if "group_status" in statement.text:
        return StatementResult(STATUS)
    if "group_replicas" in statement.text:
        return StatementResult(REPLICAS)
    return StatementResult(ROWS)


@define
class InstancePair:
    """An entry and an owner, or one instance with both roles."""

    states_by_name: dict[str, State]  # The owner is first.
    cpu_s: dict[str, float] = field(factory=dict)  # CPU seconds by instance.
    answers: int = 0  # Answers with status 200.

    def handle(self, name: str, message: object) -> None:
        """Let an instance handle a message, then deliver the messages that it sends."""
        state = self.states_by_name[name]
        began = process_time()
        core.handle(message, state)
        self.add_cpu_time(name, began)
        for sent in core.take_outbox(state):
            self.handle_outgoing(name, sent)

    def add_cpu_time(self, name: str, began: float) -> None:
        """Add the CPU time since `began` to an instance's sum."""
        self.cpu_s[name] = self.cpu_s.get(name, 0.0) + process_time() - began

    def handle_outgoing(self, name: str, message: object) -> None:
        """Do what the shell and the databases would do for a message of the core."""
        match message:
            case SendPeer():
                self.send(name, message)
            case OpenEndpoint():
                self.handle(name, EndpointOpened(message.connection))
            case RunBatch():
                results = tuple(
                    run_statement(statement)
                    for segment in message.segments
                    for statement in segment
                )
                answered = EndpointAnswered(message.connection, message.batch, results)
                self.handle(name, answered)
            case CallerAnswer():
                self.answers += message.status == 200

    def send(self, name: str, message: SendPeer) -> None:
        """Encode a message at its sender, and decode and handle it at its receiver."""
        began = process_time()
        data = states.encode(message)
        self.add_cpu_time(name, began)
        target = self.states_by_name.get(message.instance)
        if target is None:
            return
        began = process_time()
        decoded = states.CODEC.decode(msgpack.unpackb(data, use_list=False))
        self.add_cpu_time(message.instance, began)
        self.handle(message.instance, PeerReceived(name, decoded))


def make_pair(
    instances: int, endpoints: int, entry_is_owner: bool
) -> tuple[InstancePair, str]:
    """Return a pair and the name of the entry, which may also be the owner."""
    first = make_admitting_state(states.OWN_NAME, instances, endpoints)
    owner = membership.owner(first.endpoints["database-0"], first)
    assert owner is not None
    names = [owner] if entry_is_owner else [owner, other_instance(owner, first)]
    states_by_name = {
        name: make_admitting_state(name, instances, endpoints) for name in names
    }
    return InstancePair(states_by_name), names[-1]


def other_instance(name: str, state: State) -> str:
    """Return the name of any instance but the given one."""
    return next(other for other in state.instances if other != name)


def make_admitting_state(name: str, instances: int, endpoints: int) -> State:
    """Return the state of an instance whose limits admit every request."""
    state = states.make_filled_state(instances, endpoints, name=name, key=KEY)
    row = rates.get_or_create_share("workspace-0", state)
    row.rate = row.burst = row.tokens = 1e9
    row.renewed_at = state.clock.monotonic()
    for endpoint in state.endpoints.values():
        endpoint.slots, endpoint.connections = 100, 400
    return state


def requests(access: str) -> Iterator[CallerRequest]:
    """Yield the requests of a caller that sends no session token."""
    text = "SELECT id, name FROM bags WHERE id = $1"
    body = {"statement": text, "parameters": [1], "access": access}
    content = orjson.dumps(body)
    for number in range(1, STATEMENTS + WARM_UP + 1):
        yield CallerRequest(
            1_000_000 + number,
            "POST",
            "/v1/groups/group-0/statements",
            dict(SESSION_HEADERS),
            content,
        )


def statement_costs(
    instances: int, endpoints: int, access: str, entry_is_owner: bool
) -> dict[str, float]:
    """Return the microseconds of CPU time of a statement, by role.

    Raises RuntimeError if a request was not answered with status 200.
    """
    pair, entry = make_pair(instances, endpoints, entry_is_owner)
    for index, request in enumerate(requests(access)):
        if index == WARM_UP:
            pair.cpu_s.clear()
        pair.handle(entry, request)
        for state in pair.states_by_name.values():
            advance_clock(state)
            rates.get_or_create_share(
                "workspace-0", state
            ).renewed_at = state.clock.monotonic()
    if pair.answers != STATEMENTS + WARM_UP:
        raise RuntimeError(f"{pair.answers} of {STATEMENTS + WARM_UP} were answered")
    owner = next(iter(pair.states_by_name))
    per_statement = 1 / STATEMENTS / MICROSECOND
    return {
        "entry": pair.cpu_s[entry] * per_statement,
        "owner": pair.cpu_s[owner] * per_statement,
    }


def statement_rows() -> list[Row]:
    """Return the cost of a statement by role, kind, instances and databases."""
    rows = []
    for access in ("read", "write"):
        for role, entry_is_owner in (
            ("entry", False),
            ("owner", False),
            ("entry", True),
        ):
            name = f"{access}, {'entry and owner' if entry_is_owner else role}"

            def by_instances(
                size: int,
                access: str = access,
                role: str = role,
                entry_is_owner: bool = entry_is_owner,
            ) -> float:
                return statement_costs(size, 3, access, entry_is_owner)[role]

            def by_databases(
                size: int,
                access: str = access,
                role: str = role,
                entry_is_owner: bool = entry_is_owner,
            ) -> float:
                return statement_costs(24, size, access, entry_is_owner)[role]

            rows.append(
                sweep(name, "instances", INSTANCES, by_instances, expected="flat")
            )
            rows.append(
                sweep(name, "databases", DATABASES, by_databases, expected="flat")
            )
    return rows
