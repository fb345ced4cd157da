"""Ejects endpoints from the reads of their group, probes them and returns them.

A primary isn't ejected, since `promotion` decides about it; `judged_reason` tells what
is thought of it.
"""

from datetime import timedelta

from .. import leadership, pools, registry
from ..clock import MILLISECOND
from ..log_events import EndpointEjected, EndpointProbed, EndpointReturned
from ..session_rows import RegistryRow
from ..tables import State
from .decisions import (
    FORGET_AFTER,
    WINDOW,
    Reason,
    ejection_time,
    failed_fraction,
    is_flapping,
    judge,
    may_lose_one,
    may_stay_out,
)
from .results import is_judge
from .rows import JudgementRow

# Between two judgements: much shorter than the first ejection.
INTERVAL = timedelta(milliseconds=200)


def is_ejected(endpoint: str, state: State) -> bool:
    """Return whether an endpoint gets no reads."""
    row = state.judgements.get(endpoint)
    return row is not None and row.ejected_at is not None


def judged_reason(endpoint: str, state: State) -> Reason | None:
    """Return why an endpoint counts as faulty, also if it isn't ejected for it."""
    row = state.judgements.get(endpoint)
    return row.reason if row is not None else None


def run(state: State) -> None:
    """Judge the endpoints by the results of the last seconds."""
    now = state.clock.monotonic()
    if not state.judgements or now < state.judged_at + INTERVAL:
        return
    state.judged_at = now
    for row in list(state.judgements.values()):
        known = state.registry.get(row.endpoint)
        if known is None or not is_judge(row.endpoint, state):
            del state.judgements[row.endpoint]
            continue
        while row.results and now - row.results[0].at > WINDOW:
            row.results.popleft()
    for row in list(state.judgements.values()):
        known = state.registry[row.endpoint]
        if row.ejected_at is not None:
            check_ejected(row, known, state)
        else:
            check_in_use(row, known, state)


def counts(group: str, state: State) -> tuple[int, int]:
    """Return how many endpoints of a group could get reads, and how many of them do."""
    usable = [
        row
        for row in registry.group_members(group, state)
        if registry.accepts_work(row, False, state)
        and pools.is_available(state.pools[row.name], state)
    ]
    in_use = [row for row in usable if not is_ejected(row.name, state)]
    return len(usable), len(in_use)


def is_primary(known: RegistryRow, state: State) -> bool:
    """Return whether an endpoint is its group's primary."""
    return leadership.row_of(known.entry.group, state).primary == known.name


def check_in_use(row: JudgementRow, known: RegistryRow, state: State) -> None:
    """Judge an endpoint in use; eject it if it is faulty and enough others remain."""
    group = known.entry.group
    others = [
        list(state.judgements[member.name].results)
        for member in registry.group_members(group, state)
        if member.name in state.judgements and member.name != row.endpoint
    ]
    row.reason = judge(row.results, others)
    now = state.clock.monotonic()
    if row.reason is None and is_flapping(row.outages, row.returned_at, now):
        row.reason = Reason.FLAPPING
    if row.reason is None or is_primary(known, state):
        return
    if not may_lose_one(*counts(group, state)):
        state.counters["ejection.withheld"] += 1
        return
    if now - row.returned_at > FORGET_AFTER:
        row.ejections = 0
    state.counters[f"ejection.ejected.{row.reason}"] += 1
    eject(row, now, state)
    length = row.ejected_until - now
    failed = round(failed_fraction(row.results), 2)
    results, row.results = (
        len(row.results),
        type(row.results)(maxlen=row.results.maxlen),
    )
    state.log_event(
        EndpointEjected(
            row.endpoint, group, row.reason, results, failed, length // MILLISECOND
        )
    )


def eject(row: JudgementRow, since: timedelta, state: State) -> None:
    """Keep an endpoint out of use for a time that grows with each ejection."""
    row.ejected_at = since
    row.ejected_until = state.clock.monotonic() + ejection_time(row.ejections)
    row.ejections += 1
    row.probe = 0


def check_ejected(row: JudgementRow, known: RegistryRow, state: State) -> None:
    """Probe an ejected endpoint at the end of its time, and return it if it answers."""
    assert row.ejected_at is not None
    now = state.clock.monotonic()
    group = known.entry.group
    if is_primary(known, state) or not may_stay_out(*counts(group, state)):
        return_to_use(row, "needed", state)
        return
    if now < row.ejected_until:
        return
    if not row.probe:
        state.counters["ejection.probes"] += 1
        row.probe = pools.probe(state.pools[row.endpoint], state)
        return
    connection = state.pooled.get(row.probe)
    if connection is not None and not connection.is_open:
        return  # `pools` ends it after its timeout.
    answered = connection is not None
    state.log_event(EndpointProbed(row.endpoint, answered))
    if answered:
        return_to_use(row, "answers", state)
    else:
        eject(row, row.ejected_at, state)


def return_to_use(row: JudgementRow, cause: str, state: State) -> None:
    """Let an endpoint get reads again."""
    now = state.clock.monotonic()
    out = now - (row.ejected_at or now)
    row.ejected_at, row.returned_at, row.probe = None, now, 0
    row.results.clear()
    state.counters["ejection.returned"] += 1
    state.log_event(EndpointReturned(row.endpoint, cause, out // MILLISECOND))
