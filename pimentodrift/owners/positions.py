"""Tells the owner of a replica which position of the log a read must see.

The owner of a group's primary knows the end of the primary's log at some time. The
owner of a replica asks it, at most every `QUERY_INTERVAL` and only while it has reads.
A read waits for the answer only if no known position is young enough.
"""

from datetime import timedelta

from .. import leadership, operation_steps, peers, pools, registry
from ..clock import MILLISECOND, NEVER
from ..dispatch import handle, handle_peer
from ..messages import Position
from ..operation_completion import send_steps
from ..session_messages import BeginWork, EndWork
from ..session_rows import OperationRow, RegistryRow, Stage
from ..tables import State
from . import ownership, replies
from .messages import PositionQuery, PositionReport
from .rows import PositionKnown, PositionRow, PrimaryProven

QUERY_INTERVAL = timedelta(milliseconds=200)
# A position that the primary's owner has known for longer is taken anew.
SAMPLE_LIFETIME = timedelta(milliseconds=100)
# Covers a round trip between regions and one to the primary.
WAIT_LIMIT = timedelta(milliseconds=150)


def position_row(group: str, state: State) -> PositionRow:
    """Return the row of a group, new if there is none."""
    row = state.positions.get(group)
    if row is None:
        row = state.positions[group] = PositionRow(group)
    return row


def can_ask(operation: OperationRow, state: State) -> bool:
    """Return whether the owner of a replica can find out what a read must see."""
    group = operation.route.group
    if operation.minimum is not None or not ownership.has_owner(group, state):
        return False
    primary = leadership.row_of(group, state).primary
    if not primary or not ownership.owner_of(primary, state):
        return False
    return any(
        is_replica(row, state) and row.name not in operation.tried
        for row in registry.group_members(group, state)
    )


def is_replica(row: RegistryRow, state: State) -> bool:
    """Return whether an endpoint isn't the known primary of its group."""
    return row.name != leadership.row_of(row.entry.group, state).primary


def resolve(operation: OperationRow, state: State) -> None:
    """Set the position that a read must see, or ask for it."""
    minimum = known_minimum(operation, state)
    row = position_row(operation.route.group, state)
    now = state.clock.monotonic()
    sampled_at = leadership.row_of(row.group, state).sampled_at
    if now - max(row.asked_at, sampled_at) > QUERY_INTERVAL or (
        minimum is None and now - row.asked_at > WAIT_LIMIT
    ):
        ask(row, state)
        minimum = known_minimum(operation, state)
    if minimum is None:
        state.counters["owners.position_waits"] += 1
        operation_steps.set_stage(operation, Stage.POSITION, state)
        return
    operation.minimum = minimum
    handle(PositionKnown(operation.operation), state)


def known_minimum(operation: OperationRow, state: State) -> Position | None:
    """Return the position that a read must see; None if none is young enough."""
    route = operation.route
    since = operation.aged_from - route.max_staleness
    sampled = leadership.earliest_position(route.group, since, state)
    if sampled is None or operation.own_write is None:
        return sampled
    return max(sampled, operation.own_write)


def ask(row: PositionRow, state: State) -> None:
    """Ask the owner of a group's primary for the primary's position."""
    primary = leadership.row_of(row.group, state).primary
    owner = ownership.owner_of(primary, state)
    if not owner:
        return
    row.number, row.asked_at = state.new_number(), state.clock.monotonic()
    state.counters["owners.position_queries"] += 1
    peers.send(owner, PositionQuery(row.number, row.group), state)


def check(operation: OperationRow, state: State) -> None:
    """Give a read back that has waited for a position for too long."""
    if state.clock.monotonic() - operation.staged_at > WAIT_LIMIT:
        replies.return_without_position(operation, state)


# --- At the owner of the primary


@handle_peer.register
def _(message: PositionQuery, sender: str, state: State) -> None:
    row = position_row(message.group, state)
    row.askers.append((sender, message.number))
    known = leadership.row_of(message.group, state)
    now = state.clock.monotonic()
    if now - known.sampled_at <= SAMPLE_LIFETIME or not sample(row, state):
        answer_askers(row, state)


def sample(row: PositionRow, state: State) -> bool:
    """Ask the primary for its position on an idle connection; False without one."""
    primary = leadership.row_of(row.group, state).primary
    pool, now = state.pools.get(primary), state.clock.monotonic()
    if now - row.sampled_at <= SAMPLE_LIFETIME:
        return True  # The answer to the last question is on its way.
    idle = pools.idle_connections(pool, state) if pool is not None else []
    if not idle:
        return False
    row.sampled_at = now
    connection = min(idle, key=lambda item: item.idle_since)
    connection.releasing = True
    send_steps(connection, [BeginWork(), EndWork()], state)
    return True


@handle.register
def _(message: PrimaryProven, state: State) -> None:
    answer_askers(position_row(message.group, state), state)


def answer_askers(row: PositionRow, state: State) -> None:
    """Tell those that asked what is known of the primary's position."""
    if not row.askers:
        return
    askers, row.askers = row.askers, []
    known = leadership.row_of(row.group, state)
    age = max(timedelta(0), state.clock.monotonic() - known.sampled_at)
    # Rounded up: the position may not seem younger than it is.
    age_ms = -(-age // MILLISECOND) if known.position is not None else 0
    for asker, number in askers:
        report = PositionReport(
            number, row.group, known.primary, known.position, age_ms
        )
        peers.send(asker, report, state)


# --- At the owner of a replica


@handle_peer.register
def _(message: PositionReport, sender: str, state: State) -> None:
    row = state.positions.get(message.group)
    if row is None or message.number != row.number:
        return
    if message.position is not None and message.primary:
        # The time is that of the question, which is before that of the answer.
        sampled_at = row.asked_at - message.age_ms * MILLISECOND
        denials = leadership.row_of(message.group, state).denied
        if denials.get(message.primary, NEVER) < sampled_at:
            leadership.record_proof(
                message.group, message.primary, message.position, sampled_at, state
            )
    for operation in list(state.operations.values()):
        if operation.stage is Stage.POSITION and operation.route.group == row.group:
            finish_wait(operation, state)


def finish_wait(operation: OperationRow, state: State) -> None:
    """Queue a read whose position is known now, or give it back."""
    operation.minimum = known_minimum(operation, state)
    if operation.minimum is None:
        replies.return_without_position(operation, state)
    else:
        handle(PositionKnown(operation.operation), state)
