"""Records the results of statements for the judgement of their endpoints."""

from datetime import timedelta

from .. import view
from ..policies import Policy
from ..service_order.serving import running_count
from ..session_messages import Fault
from ..session_rows import OperationRow, PooledRow, PoolRow
from ..tables import State
from .decisions import HEALTHY_FAULTS, Result
from .rows import JudgementRow

# Round trips that are taken off the time of a statement.
NEAR_ROUND_TRIP = timedelta(milliseconds=1)
DISTANT_ROUND_TRIP = timedelta(milliseconds=40)


def is_judge(endpoint: str, state: State) -> bool:
    """Return whether this instance judges an endpoint; owners add to this."""
    is_large = len(state.instances) > view.SMALL_FLEET
    return is_large and state.settings.uses(Policy.EJECTION)


def row_of(endpoint: str, state: State) -> JudgementRow:
    """Return the row of an endpoint, new if it has none."""
    row = state.judgements.get(endpoint)
    if row is None:
        row = state.judgements[endpoint] = JudgementRow(endpoint)
    return row


def record_answer(
    operation: OperationRow,
    connection: PooledRow,
    sent_at: timedelta,
    fault: Fault | None,
    state: State,
) -> None:
    """Record that an endpoint answered a statement, with a fault or without."""
    endpoint = connection.endpoint
    pool = state.pools.get(endpoint)
    if pool is None or fault in HEALTHY_FAULTS or not is_judge(endpoint, state):
        return
    now = state.clock.monotonic()
    time = None
    if fault is None and not has_queue(pool, state):
        time = max(timedelta(0), now - sent_at - round_trip(endpoint, state))
    result = Result(now, operation.workspace, operation.route.database, fault, time)
    row_of(endpoint, state).results.append(result)


def has_queue(pool: PoolRow, state: State) -> bool:
    """Return whether statements may have waited for a slot of the endpoint."""
    known = state.registry.get(pool.endpoint)
    return known is None or running_count(pool, state) > known.entry.slots


def round_trip(endpoint: str, state: State) -> timedelta:
    """Return the usual round trip to an endpoint."""
    known = state.registry.get(endpoint)
    if known is not None and known.entry.data_centre == state.settings.data_centre:
        return NEAR_ROUND_TRIP
    return DISTANT_ROUND_TRIP


def record_loss(connection: PooledRow, fault: Fault | None, state: State) -> None:
    """Record that a connection did not open, or was lost under a statement.

    A refusal above the connection limit is none, and neither is the loss of an idle
    connection.
    """
    endpoint = connection.endpoint
    is_in_use = bool(connection.steps) or not connection.is_open
    if not is_in_use or fault in HEALTHY_FAULTS or not is_judge(endpoint, state):
        return
    now = state.clock.monotonic()
    result = Result(now, connection.workspace, fault=fault, is_lost=True)
    row_of(endpoint, state).results.append(result)


def record_outage(pool: PoolRow, state: State) -> None:
    """Record that an endpoint began to fail."""
    if is_judge(pool.endpoint, state):
        row_of(pool.endpoint, state).outages.append(state.clock.monotonic())
