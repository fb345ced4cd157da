"""The steps that give a pooled connection a session's values and prepared statements.

Values of another session are reset. A prepared statement has a name of the connection's
own, not the session's: names of two sessions cannot collide, sessions share equal
statements, and nothing needs to be deallocated.
"""

from .session_messages import (
    ApplyStep,
    ApplyValue,
    Prepare,
    PrepareShape,
    ResetSession,
)
from .session_rows import PooledRow, SessionRow


def value_steps(session: SessionRow, connection: PooledRow) -> list[ApplyStep]:
    """Return the steps after which the connection has exactly the session's values."""
    steps: list[ApplyStep] = []
    if connection.values.keys() - session.values.keys():
        steps.append(ResetSession())
        connection.values.clear()
        connection.shapes.clear()
    for name, value in session.values.items():
        if connection.values.get(name) != value:
            steps.append(ApplyValue(name, value))
            connection.values[name] = value
    return steps


def prepare_steps(shape: Prepare, connection: PooledRow) -> list[ApplyStep]:
    """Return the steps after which the connection has a statement prepared."""
    key = (shape.access, shape.shape)
    if key in connection.shapes:
        return []
    name = f"p{len(connection.shapes) + 1}"
    connection.shapes[key] = name
    return [PrepareShape(name, shape.access, shape.shape)]


def setup_cost(session: SessionRow, connection: PooledRow) -> int:
    """Return how many steps a connection needs to get a session's values."""
    if connection.values.keys() - session.values.keys():
        return 1 + len(session.values)
    return sum(
        connection.values.get(name) != value for name, value in session.values.items()
    )
