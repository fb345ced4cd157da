"""The result of one statement, between the session and the wire protocol."""

from attrs import field, frozen

from .statements import Value


@frozen
class Result:
    """Rows with their column names; `columns` is None without a result set."""

    tag: str
    columns: tuple[str, ...] | None = None
    rows: list[tuple[Value, ...]] = field(factory=list)
