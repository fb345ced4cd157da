"""The result of a statement, which the session returns and the protocol sends."""

from attrs import field, frozen

from .statements import Value


@frozen
class Result:
    """The command tag and rows of a statement; `columns` is None if it has no rows."""

    tag: str
    columns: tuple[str, ...] | None = None
    rows: list[tuple[Value, ...]] = field(factory=list)
