"""Replaces the primary of a group: fence, choose, promote, announce, record.

Each change of primary is a row with a stage; answers of the endpoints and ticks move
it on. A term belongs to one instance and is used for one attempt, and a majority must
accept the fence, so any number of coordinators is safe.
"""

from datetime import timedelta

from attrs import frozen

from . import monitoring, peers
from .database_group import (
    FenceAnswer,
    Role,
    fence_statement,
    parse_fence,
    parse_promote,
    parse_status,
    promote_statement,
    status_statement,
)
from .detection import TAKEOVER_INTERVAL, is_own_turn
from .dispatch import handle, handle_peer
from .failover_rows import Channel, FailoverRow, Stage
from .heartbeats import broadcast_targets
from .membership import group_endpoints, learn_primary
from .messages import Durability
from .monitoring import Batch, Results, job_ended, rows_of
from .notices import PrimaryChanged
from .peer_messages import GroupChanged
from .rejoining import follow, rejoin_row
from .replication import required
from .reservations import own_term
from .tables import GroupRow, Presence, State

MILLISECOND = timedelta(milliseconds=1)
# A new connection and a round trip between regions take less than 100 ms.
COMMAND_TIMEOUT = timedelta(milliseconds=500)
# An answer of a third endpoint may carry more of the log; longer extends the gap.
FENCE_GRACE = timedelta(milliseconds=100)
PROMOTE_TIMEOUT = timedelta(milliseconds=1500)
RESERVE_TIMEOUT = timedelta(seconds=5)
FOLLOW_TIMEOUT = timedelta(seconds=2)


@frozen
class FenceJob:
    """The fence of one endpoint for a term."""

    group: str
    term: int
    endpoint: str


@frozen
class PromoteJob:
    """The promotion of the chosen endpoint."""

    group: str
    term: int
    endpoint: str


def run(state: State) -> None:
    """Start the changes of primary that are due and move on those in progress."""
    for name in list(state.watched):
        if may_start(name, state) and is_own_turn(state.probes[name], state):
            start(state.groups[name], state)
    for row in list(state.failovers.values()):
        advance(row, state)


def may_start(group: str, state: State) -> bool:
    """Return whether no attempt of this instance for the current term is active."""
    if group not in state.probes or state.groups[group].term == 0 or state.stopping:
        return False
    row = state.failovers.get(group)
    return row is None or row.stage in (Stage.FOLLOWING, Stage.RECORDING)


def start(group: GroupRow, state: State) -> None:
    """Begin to replace the primary of a group's current term."""
    probe = state.probes[group.name]
    now = state.clock.monotonic()
    row = FailoverRow(
        group.name, group.term, group.primary, planned=probe.failing_since is None
    )
    row.stage_started[Stage.NOTICING] = probe.failing_since or now
    row.started_at = now
    state.failovers[group.name] = row
    state.counters["failover.started"] += 1
    state.events.append(
        (
            "failover_started",
            {"group": row.group, "old_term": row.old_term, "planned": row.planned},
        )
    )


def advance(row: FailoverRow, state: State) -> None:
    """Take the step that a stage allows at this time."""
    group = state.groups[row.group]
    waited = state.clock.monotonic() - row.stage_started[row.stage]
    expected = row.old_term if row.stage in EARLY_STAGES else row.term
    if group.term > expected:
        abandon(row, "another instance has replaced the primary", state)
    elif row.stage is Stage.NOTICING:
        begin_fencing(row, group, state)
    elif row.stage is Stage.FENCING:
        finish_fencing(row, state)
    elif row.stage is Stage.PROMOTING:
        keep_promoting(row, waited, state)
    elif row.stage is Stage.FOLLOWING:
        keep_following(row, group, waited, state)
    elif row.stage is Stage.RECORDING:
        finish_recording(row, state)


EARLY_STAGES = (Stage.NOTICING, Stage.FENCING, Stage.CHOOSING, Stage.PROMOTING)


def enter(row: FailoverRow, stage: Stage, state: State) -> None:
    """Move a change of primary to a stage."""
    row.stage = stage
    row.stage_started[stage] = state.clock.monotonic()
    state.events.append(
        (
            "failover_stage",
            {"group": row.group, "term": row.term, "stage": stage.value},
        )
    )


def abandon(row: FailoverRow, reason: str, state: State) -> None:
    """End an attempt; its term is not used again."""
    del state.failovers[row.group]
    probe = state.probes.get(row.group)
    if probe is not None:
        probe.established_at = None  # The wait for this instance's turn begins anew.
        # Each attempt takes a term, and with it a write of the store.
        probe.retry_at = state.clock.monotonic() + TAKEOVER_INTERVAL
    state.counters["failover.abandoned"] += 1
    state.events.append(
        (
            "failover_abandoned",
            {"group": row.group, "term": row.term, "reason": reason},
        )
    )


def begin_fencing(row: FailoverRow, group: GroupRow, state: State) -> None:
    """Fence all endpoints of the group as soon as there is a reserved term."""
    term = own_term(group, state)
    if term is None:
        wait_for_term(row, state)
        return
    row.term = state.used_terms[group.name] = term
    enter(row, Stage.FENCING, state)
    for endpoint in group_endpoints(row.group, state):
        row.outstanding.add(endpoint.name)
    for name in sorted(row.outstanding):
        job = FenceJob(row.group, term, name)
        batch = Batch(((fence_statement(term),),), COMMAND_TIMEOUT)
        monitoring.cancel(name, Channel.COMMAND, state)
        monitoring.submit(name, Channel.COMMAND, job, batch, state)


def wait_for_term(row: FailoverRow, state: State) -> None:
    """Let `reservations` write a term for this row while there is a reason for it."""
    probe = state.probes.get(row.group)
    if not row.planned and (probe is None or probe.failing_since is None):
        abandon(row, "the primary answers again", state)
    elif state.clock.monotonic() - row.started_at > RESERVE_TIMEOUT:
        abandon(row, "no term could be reserved", state)


def current(group: str, term: int, stage: Stage, state: State) -> FailoverRow | None:
    """Return the attempt that an answer belongs to, if it is still at that stage."""
    row = state.failovers.get(group)
    if row is None or row.term != term or row.stage is not stage:
        return None
    return row


@job_ended.register
def _(job: FenceJob, results: Results | None, state: State) -> None:
    rows = rows_of(results, 0)
    answer = None if rows is None else parse_fence(rows)
    if answer is not None and answer.accepted:
        learned = rejoin_row(job.endpoint, state)
        learned.lineage_term = answer.last_term
    row = current(job.group, job.term, Stage.FENCING, state)
    if row is None:
        return
    row.outstanding.discard(job.endpoint)
    if answer is None:
        state.counters["failover.fences_failed"] += 1
    elif not answer.accepted:
        abandon(row, f"{job.endpoint} has seen a higher term", state)
        return
    else:
        row.fences[job.endpoint] = answer
    finish_fencing(row, state)


def finish_fencing(row: FailoverRow, state: State) -> None:
    """Choose once a majority is fenced and the others answered or took too long."""
    members = len(group_endpoints(row.group, state))
    waited = state.clock.monotonic() - row.stage_started[Stage.FENCING]
    awaited = row.outstanding if row.planned else row.outstanding - {row.old_primary}
    if len(row.fences) >= required(Durability.MAJORITY, members):
        if not awaited or waited >= FENCE_GRACE:
            choose(row, members, state)
    elif not row.outstanding:
        abandon(row, "no majority could be fenced", state)


def choose(row: FailoverRow, members: int, state: State) -> None:
    """Choose the endpoint with the most of the log and promote it."""
    enter(row, Stage.CHOOSING, state)
    row.chosen = best(row.fences, candidates(row, members, state))
    enter(row, Stage.PROMOTING, state)
    promote(row, state)


def candidates(row: FailoverRow, members: int, state: State) -> list[str]:
    """Return the fenced endpoints that may become primary.

    A leaving endpoint is left out if the rest surely has every acknowledged write:
    each majority then has a member among the rest, or the rest has as much of the log.
    """
    fenced = sorted(row.fences)
    live = [
        name
        for name in fenced
        if name in state.endpoints
        if state.endpoints[name].presence is Presence.LIVE
    ]
    if not live:
        return fenced
    if members - len(live) < required(Durability.MAJORITY, members):
        return live
    best_live = row.fences[best(row.fences, live)]
    best_fenced = row.fences[best(row.fences, fenced)]
    return live if log_end(best_live) >= log_end(best_fenced) else fenced


def best(fences: dict[str, FenceAnswer], names: list[str]) -> str:
    """Return the endpoint whose log goes furthest."""
    return max(names, key=lambda name: log_end(fences[name]))


def log_end(answer: FenceAnswer) -> tuple[int, int]:
    """Return what orders the logs of fenced endpoints."""
    return answer.last_term, answer.received


def promote(row: FailoverRow, state: State) -> None:
    """Promote the chosen endpoint; no other endpoint may get this term."""
    segments = ((promote_statement(row.term),), (status_statement(),))
    job = PromoteJob(row.group, row.term, row.chosen)
    batch = Batch(segments, COMMAND_TIMEOUT)
    monitoring.submit(row.chosen, Channel.COMMAND, job, batch, state)


def keep_promoting(row: FailoverRow, waited: timedelta, state: State) -> None:
    """Repeat a promotion whose answer was lost, within limits."""
    if waited >= PROMOTE_TIMEOUT:
        abandon(row, f"{row.chosen} did not confirm its promotion", state)
    else:
        promote(row, state)


@job_ended.register
def _(job: PromoteJob, results: Results | None, state: State) -> None:
    row = current(job.group, job.term, Stage.PROMOTING, state)
    rows, status_rows = rows_of(results, 0), rows_of(results, 1)
    if row is None or rows is None:
        return  # The next tick repeats the promotion.
    answer = parse_promote(rows)
    if answer.accepted:
        promoted(row, answer.start_position, state)
        return
    if status_rows is None:
        return
    status = parse_status(status_rows)
    if status.role == Role.PRIMARY and status.term == row.term:
        # An earlier promotion was accepted but its answer was lost. A fenced log does
        # not grow, so the term starts behind the log's end at the fence.
        promoted(row, row.fences[row.chosen].received + 1, state)
    else:
        abandon(row, f"{row.chosen} refused its promotion", state)


def promoted(row: FailoverRow, start_position: int, state: State) -> None:
    """Announce the new primary and make the other endpoints follow it."""
    group = state.groups[row.group]
    enter(row, Stage.FOLLOWING, state)
    if not learn_primary(group, row.term, row.chosen, {row.term: start_position}):
        return  # A higher term is known; the next tick ends the attempt.
    state.counters["failover.promoted"] += 1
    message = GroupChanged(group.name, group.term, group.primary, group.term_starts)
    for name in sorted(
        broadcast_targets(state) | set(state.watched.get(row.group, ()))
    ):
        if name != state.settings.name:
            peers.send(name, message, state)
    handle(PrimaryChanged(row.group), state)
    follow_others(row, group, state)


def follow_others(row: FailoverRow, group: GroupRow, state: State) -> None:
    """Make the fenced endpoints follow; the owners care for the others."""
    for name in sorted(set(row.fences) - {row.chosen} - row.following):
        follow(name, group, state)


def keep_following(
    row: FailoverRow, group: GroupRow, waited: timedelta, state: State
) -> None:
    """Wait until a majority has the new term, so that writes can be acknowledged.

    The endpoints' owners go on with those that cannot be reached now.
    """
    members = len(group_endpoints(row.group, state))
    enough = len(row.following) + 1 >= required(Durability.MAJORITY, members)
    if enough or waited >= FOLLOW_TIMEOUT:
        enter(row, Stage.RECORDING, state)
    else:
        follow_others(row, group, state)


def finish_recording(row: FailoverRow, state: State) -> None:
    """End the change of primary when the store's object has its term."""
    item = state.view.objects.get(("group", row.group))
    if item is None or item.value is None or item.value["term"] < row.term:
        return
    state.past_failovers[row.group] = state.failovers.pop(row.group)
    row.completed_at = state.clock.monotonic()
    state.counters["failover.completed"] += 1
    state.events.append(
        (
            "failover_completed",
            {
                "group": row.group,
                "term": row.term,
                "primary": row.chosen,
                **durations(row),
            },
        )
    )


def durations(row: FailoverRow) -> dict[str, int]:
    """Return the time spent in each stage, in milliseconds."""
    times = [*row.stage_started.values(), row.completed_at]
    return {
        f"{stage.value}_ms": (times[index + 1] - times[index]) // MILLISECOND
        for index, stage in enumerate(row.stage_started)
    }


@handle_peer.register
def _(message: GroupChanged, sender: str, state: State) -> None:
    group = state.groups.get(message.group)
    if group is None:
        return
    if learn_primary(group, message.term, message.primary, message.term_starts):
        state.counters["failover.announcements"] += 1
        handle(PrimaryChanged(message.group), state)
