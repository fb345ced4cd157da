"""Decides which waiting statement an endpoint serves next, and on which connection.

Answers to an endpoint that gets more work than its slots can do: a burst of the whole
load, one workspace that floods, the return of all clients after an outage, or the loss
of the other endpoints. Statements that can still be in time go first, by priority, and
the earliest deadline first among workspaces that had no more than their fair time on
connections. So a short objective doesn't wait behind a long one.
"""

from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta

from attrs import frozen

ZERO = timedelta(0)
# A workspace whose time on connections leads the least served waiting one by more than
# this is served after the others: a few statements of 10 to 25 ms.
FAIR_LEAD = timedelta(milliseconds=50)
# A lower priority that waits gets its next statement after higher ones had this many
# times its cost, so at least an eighth of the time.
PASSED_FACTOR = 7
# Fraction of the time left that a statement may wait for a connection of its workspace
# to become free. A new one costs a slot for its set-up, about as long as a statement.
REUSE_FRACTION = 0.25
# Fraction of its objective after which a statement of a workspace without a connection
# takes an idle one that another workspace has statements for.
UNDUE_WAIT_FRACTION = 0.125
MAX_PIPELINE_FACTOR = 3  # Most statements sent to an endpoint, as a multiple of slots.


@frozen
class Waiting:
    """A statement that waits; times count from now and are negative when past."""

    number: int
    workspace: str
    priority: int  # 0 is the highest.
    objective: timedelta
    objective_left: timedelta
    timeout_left: timedelta
    cost: timedelta  # Usual time of such a statement on a connection.

    @property
    def is_late(self) -> bool:
        """Return whether it would be late even if it were served now."""
        return self.cost > self.objective_left


@frozen
class Order:
    """What the order of a queue depends on besides the statements."""

    accounts: Mapping[str, timedelta]
    floor: timedelta
    passed: Mapping[int, timedelta]


@frozen
class Group:
    """Waiting statements of one workspace and database, in the order of arrival."""

    first: Waiting
    last: Waiting
    count: int

    @property
    def work(self) -> timedelta:
        """Return the time on connections that the statements need."""
        return self.first.cost * self.count


Rank = tuple[bool, bool, int, bool, timedelta]


def rank(item: Waiting, order: Order) -> Rank:
    """Return the sort key of a statement; the lowest is served first."""
    account = order.accounts.get(item.workspace, order.floor)
    passed = order.passed.get(item.priority, ZERO)
    return (
        item.is_late,
        passed < item.cost * PASSED_FACTOR,
        item.priority,
        account - order.floor > FAIR_LEAD,
        item.objective_left,
    )


def in_order(groups: Iterable[Group], order: Order) -> list[Waiting]:
    """Return the first statement of each group in the order of service."""
    firsts = (group.first for group in groups)
    return sorted(firsts, key=lambda item: rank(item, order))


def count_ahead(group: Group, item: Waiting, order: Order) -> float:
    """Return how many statements of a group go before another statement.

    Their deadlines are taken as evenly spread: an exact count would go through all that
    wait at each arrival.
    """
    group_rank, own_rank = rank(group.first, order), rank(item, order)
    if group_rank[:-1] != own_rank[:-1]:
        return group.count if group_rank < own_rank else 0
    first, last = group.first.objective_left, group.last.objective_left
    if item.objective_left >= last:
        return group.count
    if item.objective_left < first:
        return 0
    return group.count * ((item.objective_left - first) / (last - first))


def next_floor(
    workspaces: Iterable[str], accounts: Mapping[str, timedelta], floor: timedelta
) -> timedelta:
    """Return the lowest account of the waiting workspaces; it never falls.

    A workspace that did not wait for a while gets no credit for that time.
    """
    return max(floor, min(accounts.get(name, floor) for name in workspaces))


def passed_after(
    passed: Mapping[int, timedelta],
    served: Waiting,
    waiting_priorities: Collection[int],
) -> dict[int, timedelta]:
    """Return the time given ahead of each lower waiting priority after a service."""
    return {
        priority: passed.get(priority, ZERO) + served.cost
        for priority in waiting_priorities
        if priority > served.priority
    } | {
        priority: passed.get(priority, ZERO)
        for priority in waiting_priorities
        if priority < served.priority
    }


def max_running(slots: int, round_trip: timedelta, cost: timedelta) -> int:
    """Return how many statements to have at an endpoint at a time.

    More than its slots only as far as statements and answers are on their way: a longer
    queue at the database could not be put in order.
    """
    slots = max(1, slots)
    service = max(cost - round_trip, timedelta(milliseconds=1))
    on_the_way = -(-slots * round_trip // service)
    return min(slots + on_the_way, slots * MAX_PIPELINE_FACTOR)


def may_open(item: Waiting, waiting: int, own_connections: int) -> bool:
    """Return whether a workspace should get a new connection for a statement.

    `waiting` statements of the workspace wait for `own_connections` that are busy.
    """
    if not own_connections:
        return True
    reuse_wait = item.cost * waiting / own_connections
    left = item.timeout_left if item.is_late else item.objective_left
    return reuse_wait > (left - item.cost) * REUSE_FRACTION


def waits_unduly(item: Waiting) -> bool:
    """Return whether a statement may take a connection that others also wait for."""
    waited = item.objective - item.objective_left
    return not item.is_late and waited > item.objective * UNDUE_WAIT_FRACTION
