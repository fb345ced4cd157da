"""Rows of the session state: what a session token carries beside positions.

These rows are apart from `session_state` because every kind of process imports them,
while the checks in `session_state` need `expression`, which takes 3 MB of memory.
"""

from attrs import field, frozen

from .messages import Access


@frozen
class PreparedStatement:
    """The text and access of a statement whose parameters come with each run."""

    text: str
    access: Access


@frozen
class SessionState:
    """The values and prepared statements of a session, by name."""

    values: dict[str, str] = field(factory=dict)
    statements: dict[str, PreparedStatement] = field(factory=dict)

    def __bool__(self) -> bool:
        """Return whether the session has any value or prepared statement."""
        return bool(self.values or self.statements)


EMPTY_STATE = SessionState()
