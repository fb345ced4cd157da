"""What the queue of an endpoint remembers between two decisions."""

from datetime import timedelta

from attrs import define, field

from ..clock import NEVER


@define
class ServiceRow:
    """The shares of workspaces and priorities in a queue, and its bookings."""

    endpoint: str
    # Usual time of a statement on a connection, with the way there, by database name.
    costs: dict[str, timedelta] = field(factory=dict)
    # Time on connections by workspace since the queue was last empty.
    accounts: dict[str, timedelta] = field(factory=dict)
    floor: timedelta = timedelta(0)  # Lowest account of a workspace that waits.
    # Time given to higher priorities since a waiting priority was last served.
    passed: dict[int, timedelta] = field(factory=dict)
    # Until when refused statements of each priority were told to come back.
    booked_until: dict[int, timedelta] = field(factory=dict)
    served_at: timedelta = NEVER  # When a statement last got a connection.
    # When refused transactions were told to come back.
    places: list[timedelta] = field(factory=list)
    # Time on connections of all waiting statements, as last added up at `added_at`.
    work: timedelta = timedelta(0)
    added_at: timedelta = NEVER
