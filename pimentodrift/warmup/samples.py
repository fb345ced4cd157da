"""Gets a cold primary's log position through one instance for all others.

Replica reads need a recent position of the primary, and a cold primary takes too few
statements to give one to each instance. The allocator of the primary's limit has most
of the tokens; it asks the primary, and the other instances ask the allocator.
"""

from datetime import timedelta

from .. import leadership, peers
from ..allocator_claims import stored_epoch
from ..clock import MILLISECOND
from ..dispatch import handle_peer
from ..homes import sampling
from ..session_rows import OperationRow, RegistryRow
from ..tables import State
from . import knowledge, limits, statements
from .messages import ColdPositionQuery, ColdPositionReport
from .rows import ColdSampleRow

# Time between two questions of an instance about a group.
ASK_INTERVAL = timedelta(milliseconds=100)
# A read that got no position for this long waits for a token of the primary itself.
ASK_TIMEOUT = timedelta(milliseconds=500)
# The allocator asks the primary again once its newest position is older.
SAMPLE_LIFETIME = timedelta(milliseconds=300)


def sample_row(group: str, state: State) -> ColdSampleRow:
    """Return the row of a group, creating it if needed."""
    row = state.cold_samples.get(group)
    if row is None:
        row = state.cold_samples[group] = ColdSampleRow(group)
    return row


def source_of(primary: RegistryRow, state: State) -> str:
    """Return the other instance to ask for a primary's position; "" if none."""
    name = stored_epoch(limits.limit_name(primary.name), state).holder
    row = state.instances.get(name)
    is_other = row is not None and name != state.settings.name and row.reads_losses
    return name if is_other else ""


def should_ask(operation: OperationRow, state: State) -> bool:
    """Return whether a read waits for a position instead of using a cold primary."""
    if operation.primary_only:
        return False
    primary = leadership.primary(operation.route.group, state)
    if primary is None or not knowledge.is_cold(primary.name, state):
        return False
    if statements.has_token(primary.name, state) or not source_of(primary, state):
        return False
    return state.clock.monotonic() - operation.arrived_at <= ASK_TIMEOUT


def ask(operation: OperationRow, state: State) -> None:
    """Ask for the position that a read waits for, unless that was just done."""
    if operation.minimum is not None or not should_ask(operation, state):
        return
    row = sample_row(operation.route.group, state)
    primary = leadership.primary(row.group, state)
    now = state.clock.monotonic()
    if primary is None or now - row.asked_at < ASK_INTERVAL:
        return
    row.asked_at = now
    row.queries = {
        number: at for number, at in row.queries.items() if now - at <= ASK_TIMEOUT
    }
    number = state.new_number()
    row.queries[number] = now
    state.counters["warmup.asked"] += 1
    query = ColdPositionQuery(row.group, number)
    peers.send(source_of(primary, state), query, state)


@handle_peer.register
def _(message: ColdPositionQuery, sender: str, state: State) -> None:
    row = sample_row(message.group, state)
    row.askers[sender] = message.number, state.clock.monotonic()
    answer(row, state)


@handle_peer.register
def _(message: ColdPositionReport, sender: str, state: State) -> None:
    sent_at = sample_row(message.group, state).queries.pop(message.number, None)
    if sent_at is not None:
        # The position was taken at this time or later, since the answerer's age of it
        # counts to a moment after the question was sent.
        taken_at = sent_at - message.age_ms * MILLISECOND
        leadership.record_proof(
            message.group, message.endpoint, message.position, taken_at, state
        )


def answer(row: ColdSampleRow, state: State) -> None:
    """Answer the instances that asked if a recent position is known."""
    known = leadership.row_of(row.group, state)
    age = state.clock.monotonic() - known.sampled_at
    if known.position is None or not known.primary or age > SAMPLE_LIFETIME:
        return
    age_ms = -(-age // MILLISECOND)
    for name, (number, _) in row.askers.items():
        report = ColdPositionReport(
            row.group, number, known.primary, known.position, age_ms + 1
        )
        peers.send(name, report, state)
    row.askers.clear()


def run(state: State) -> None:
    """Ask the primary for those that wait, and forget old questions."""
    now = state.clock.monotonic()
    for row in state.cold_samples.values():
        for name, (_, at) in list(row.askers.items()):
            if now - at > ASK_TIMEOUT:
                del row.askers[name]
        answer(row, state)
        primary = leadership.primary(row.group, state)
        if row.askers and primary is not None:
            sampling.sample_primary(primary, state)
