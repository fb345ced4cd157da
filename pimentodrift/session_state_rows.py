"""What a session keeps beside positions, as rows.

They are apart from `kept_sessions` because every assembly imports the rows: its checks
need `expression`, which takes 3 MB.
"""

from attrs import field, frozen

from .messages import Access


@frozen
class PreparedStatement:
    """The shape of a statement whose parameters come with each run."""

    text: str
    access: Access


@frozen
class SessionState:
    """The values and prepared statements of a session, by name."""

    values: dict[str, str] = field(factory=dict)
    statements: dict[str, PreparedStatement] = field(factory=dict)

    def __bool__(self) -> bool:
        """Return whether there is anything to keep."""
        return bool(self.values or self.statements)


EMPTY_STATE = SessionState()
