"""Takes a cold endpoint's token before each send of a statement.

A read without a token goes to another endpoint at once. What only this endpoint can
run waits for a token on its connection, as for a rate, or is refused with the time to
retry. `operation_steps` and `sessions` call these functions.
"""

from datetime import timedelta

from .. import pools, rates
from ..errors import Failure
from ..operation_completion import end_transaction, refuse, send_steps
from ..session_messages import EndWork, Fault, Refusal
from ..session_rows import OperationRow, PooledRow, RegistryRow, SessionRow, Stage
from ..tables import State
from . import knowledge, limits

COLD = "the endpoint has just started and gets few statements"


def has_token(endpoint: str, state: State) -> bool:
    """Return whether this instance could send a statement to an endpoint now."""
    if not knowledge.is_cold(endpoint, state):
        return True
    row = state.shares.get(limits.limit_name(endpoint))
    if row is None or row.waiting or not rates.is_share_valid(row, state):
        return False
    rates.refill_bucket(row, state)
    return row.tokens >= rates.WHOLE_TOKEN


def prefer_usable(
    operation: OperationRow, rows: list[RegistryRow], state: State
) -> list[RegistryRow]:
    """Return the endpoints that can be sent a read now, or all if none can."""
    usable = [
        row
        for row in rows
        if row.name not in operation.cold and has_token(row.name, state)
    ]
    return usable or rows


def spend(connection: PooledRow, state: State) -> bool:
    """Take a token for one send on a connection; return False if there is none."""
    if not knowledge.is_connection_cold(connection, state):
        return True
    name = limits.limit_name(connection.endpoint)
    if name not in state.cold_limits:
        return False
    is_spent = rates.take_token(name, state)
    state.counters["warmup.sent" if is_spent else "warmup.without_token"] += 1
    return is_spent


def spend_all(connection: PooledRow, count: int, state: State) -> bool:
    """Take a token for each of several steps that are sent together."""
    return all(spend(connection, state) for _ in range(count))


def spend_for(operation: OperationRow, connection: PooledRow, state: State) -> bool:
    """Take a token for a statement, or use the one that it waited for."""
    if operation.has_cold_token:
        operation.has_cold_token = False
        return True
    return spend(connection, state)


def should_move(operation: OperationRow, endpoint: str) -> bool:
    """Return whether a read without a token is placed again, elsewhere if possible."""
    if operation.minimum is None or endpoint in operation.cold:
        return False
    operation.cold.add(endpoint)
    return True


def wait_for_token(
    operation: OperationRow, connection: PooledRow, state: State
) -> None:
    """Keep a statement on its connection until there is a token; see `resume`."""
    name = limits.limit_name(connection.endpoint)
    operation.cold_stage = operation.stage
    operation.stage = Stage.COLD
    operation.staged_at = state.clock.monotonic()
    operation.connection = connection.connection
    operation.endpoint = connection.endpoint
    connection.operation = operation.operation
    if name not in state.cold_limits:
        refuse_cold(operation, rates.MAX_REFILL_WAIT, state)
        return
    deadline = operation.arrived_at + operation.route.timeout
    rates.queue_for_token(
        name, operation.operation, deadline, state, operation.route.priority
    )


def on_cold_refused(operation: OperationRow, failure: Failure, state: State) -> bool:
    """Refuse a statement that got no token; return whether it may be sent instead."""
    connection = state.pooled.get(operation.connection)
    if connection is not None and not knowledge.is_connection_cold(connection, state):
        return True
    wait = failure.retry_after or rates.MAX_REFILL_WAIT
    refuse_cold(operation, wait, state)
    return False


def refuse_cold(operation: OperationRow, wait: timedelta, state: State) -> None:
    """Refuse a statement for want of a token and free its connection."""
    state.counters["warmup.refused"] += 1
    free_connection(operation, state)
    detail = f"{operation.endpoint}: {COLD}"
    refuse(operation, Refusal(Fault.OVERLOADED, detail, wait), state)


def free_connection(operation: OperationRow, state: State) -> None:
    """Free the connection of a waiting statement; a session keeps the one it pinned."""
    connection = state.pooled.get(operation.connection)
    if connection is None or connection.session:
        return
    if operation.cold_stage is Stage.BEGINNING:
        send_steps(connection, [EndWork()], state)
    pools.release(connection, state)


def cancel_wait(operation: OperationRow, state: State) -> None:
    """Forget the wait of a statement whose connection was lost."""
    name = limits.limit_name(operation.endpoint)
    rates.cancel_waiting(name, operation.operation, state)


def abandon(operation: OperationRow, session: SessionRow, state: State) -> None:
    """End the wait of a statement whose session was closed."""
    cancel_wait(operation, state)
    free_connection(operation, state)
    end_transaction(session, state)
