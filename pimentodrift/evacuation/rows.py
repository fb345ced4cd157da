"""Rows of the evacuations that an instance knows."""

from datetime import timedelta

from attrs import define, field


@define
class EvacuationRow:
    """A data centre whose endpoints are to get no more requests."""

    data_centre: str
    seen_at: timedelta
    deadline: timedelta  # Until then, a primary there may be used.
    done_at: timedelta | None = None  # When no connection to an endpoint was left.
    aborted: int = 0  # Transactions that were rolled back.
    used: dict[str, str] = field(factory=dict)  # Primaries in use there, with groups.
