"""Replaces the primary of a group: fence, choose, promote, announce, record.

Each failover is a `FailoverRow` with a stage, which the endpoints' answers and ticks
advance. Several instances may safely coordinate a failover of a group at once: a term
is reserved for one instance and used for one attempt, and a majority of the endpoints
must accept the fence for it.
"""

from datetime import timedelta

from attrs import frozen

from . import monitoring, peers
from .clock import MILLISECOND
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
from .rejoining import rejoin_row, send_follow
from .replication import required_copies
from .reservations import own_term
from .tables import GroupRow, Presence, State

# A new connection and a round trip between regions take less than 100 ms.
COMMAND_TIMEOUT = timedelta(milliseconds=500)
# Extra wait for fence answers after a majority has answered: another endpoint may have
# a longer log, but writes are interrupted meanwhile.
FENCE_GRACE = timedelta(milliseconds=100)
PROMOTE_TIMEOUT = timedelta(milliseconds=1500)
RESERVE_TIMEOUT = timedelta(seconds=5)
FOLLOW_TIMEOUT = timedelta(seconds=2)


@frozen
class FenceJob:
    """The monitoring job that fences an endpoint for a term."""

    group: str
    term: int
    endpoint: str


@frozen
class PromoteJob:
    """The monitoring job that promotes the chosen endpoint for a term."""

    group: str
    term: int
    endpoint: str


def run(state: State) -> None:
    """Start the failovers that are due and advance those in progress."""
    for name in list(state.watched):
        if may_start(name, state) and is_own_turn(state.probes[name], state):
            start_failover(state.groups[name], state)
    for row in list(state.failovers.values()):
        advance_failover(row, state)


def may_start(group: str, state: State) -> bool:
    """Return whether this instance may start a failover of a watched group.

    One in progress does not prevent it once the new primary has been promoted.
    """
    if group not in state.probes or state.groups[group].term == 0 or state.stopping:
        return False
    row = state.failovers.get(group)
    return row is None or row.stage in (Stage.FOLLOWING, Stage.RECORDING)


def start_failover(group: GroupRow, state: State) -> None:
    """Start to replace the primary of a group's current term."""
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


def advance_failover(row: FailoverRow, state: State) -> None:
    """Advance a failover as far as its stage and the time allow."""
    group = state.groups[row.group]
    waited = state.clock.monotonic() - row.stage_started[row.stage]
    expected = row.old_term if row.stage in OLD_TERM_STAGES else row.term
    if group.term > expected:
        abandon_failover(row, "another instance has replaced the primary", state)
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


OLD_TERM_STAGES = (Stage.NOTICING, Stage.FENCING, Stage.CHOOSING, Stage.PROMOTING)


def enter_stage(row: FailoverRow, stage: Stage, state: State) -> None:
    """Move a failover to a stage and log that."""
    row.stage = stage
    row.stage_started[stage] = state.clock.monotonic()
    state.events.append(
        (
            "failover_stage",
            {"group": row.group, "term": row.term, "stage": stage.value},
        )
    )


def abandon_failover(row: FailoverRow, reason: str, state: State) -> None:
    """End a failover that did not complete; its term is not used again."""
    del state.failovers[row.group]
    probe = state.probes.get(row.group)
    if probe is not None:
        probe.established_at = None  # Restarts the wait for this instance's turn.
        # Each attempt uses up a reserved term, which costs a write to the store.
        probe.retry_at = state.clock.monotonic() + TAKEOVER_INTERVAL
    state.counters["failover.abandoned"] += 1
    state.events.append(
        (
            "failover_abandoned",
            {"group": row.group, "term": row.term, "reason": reason},
        )
    )


def begin_fencing(row: FailoverRow, group: GroupRow, state: State) -> None:
    """Fence all endpoints of the group once this instance has a reserved term."""
    term = own_term(group, state)
    if term is None:
        wait_for_term(row, state)
        return
    row.term = state.used_terms[group.name] = term
    enter_stage(row, Stage.FENCING, state)
    for endpoint in group_endpoints(row.group, state):
        row.outstanding.add(endpoint.name)
    for name in sorted(row.outstanding):
        job = FenceJob(row.group, term, name)
        batch = Batch(((fence_statement(term),),), COMMAND_TIMEOUT)
        monitoring.cancel(name, Channel.COMMAND, state)
        monitoring.submit(name, Channel.COMMAND, job, batch, state)


def wait_for_term(row: FailoverRow, state: State) -> None:
    """Wait until `reservations` has reserved a term for this failover.

    Abandon the failover if the primary answers again or the wait takes too long.
    """
    probe = state.probes.get(row.group)
    if not row.planned and (probe is None or probe.failing_since is None):
        abandon_failover(row, "the primary answers again", state)
    elif state.clock.monotonic() - row.started_at > RESERVE_TIMEOUT:
        abandon_failover(row, "no term could be reserved", state)


def failover_at_stage(
    group: str, term: int, stage: Stage, state: State
) -> FailoverRow | None:
    """Return the group's failover if it is for that term and at that stage."""
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
    row = failover_at_stage(job.group, job.term, Stage.FENCING, state)
    if row is None:
        return
    row.outstanding.discard(job.endpoint)
    if answer is None:
        state.counters["failover.fences_failed"] += 1
    elif not answer.accepted:
        abandon_failover(row, f"{job.endpoint} has seen a higher term", state)
        return
    else:
        row.fences[job.endpoint] = answer
    finish_fencing(row, state)


def finish_fencing(row: FailoverRow, state: State) -> None:
    """Choose the new primary once a majority is fenced and the rest had time to answer.

    Abandon the failover if all have answered and no majority is fenced.
    """
    members = len(group_endpoints(row.group, state))
    waited = state.clock.monotonic() - row.stage_started[Stage.FENCING]
    awaited = row.outstanding if row.planned else row.outstanding - {row.old_primary}
    if len(row.fences) >= required_copies(Durability.MAJORITY, members):
        if not awaited or waited >= FENCE_GRACE:
            choose_primary(row, members, state)
    elif not row.outstanding:
        abandon_failover(row, "no majority could be fenced", state)


def choose_primary(row: FailoverRow, members: int, state: State) -> None:
    """Choose the candidate with the longest log and promote it."""
    enter_stage(row, Stage.CHOOSING, state)
    row.chosen = endpoint_with_longest_log(
        row.fences, primary_candidates(row, members, state)
    )
    enter_stage(row, Stage.PROMOTING, state)
    send_promotion(row, state)


def primary_candidates(row: FailoverRow, members: int, state: State) -> list[str]:
    """Return the fenced endpoints that may become primary.

    Leaving endpoints are excluded if the fenced live endpoints certainly have every
    acknowledged write: each majority of the group includes one of these, or no leaving
    endpoint has a longer log.
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
    if members - len(live) < required_copies(Durability.MAJORITY, members):
        return live
    best_live = row.fences[endpoint_with_longest_log(row.fences, live)]
    best_fenced = row.fences[endpoint_with_longest_log(row.fences, fenced)]
    return live if log_end(best_live) >= log_end(best_fenced) else fenced


def endpoint_with_longest_log(fences: dict[str, FenceAnswer], names: list[str]) -> str:
    """Return the endpoint with the longest log; `log_end` compares the logs."""
    return max(names, key=lambda name: log_end(fences[name]))


def log_end(answer: FenceAnswer) -> tuple[int, int]:
    """Return the last term and offset of a fenced endpoint's log, for comparison."""
    return answer.last_term, answer.received


def send_promotion(row: FailoverRow, state: State) -> None:
    """Send the promotion to the chosen endpoint; no other one may get this term."""
    segments = ((promote_statement(row.term),), (status_statement(),))
    job = PromoteJob(row.group, row.term, row.chosen)
    batch = Batch(segments, COMMAND_TIMEOUT)
    monitoring.submit(row.chosen, Channel.COMMAND, job, batch, state)


def keep_promoting(row: FailoverRow, waited: timedelta, state: State) -> None:
    """Repeat an unanswered promotion until `PROMOTE_TIMEOUT` has passed."""
    if waited >= PROMOTE_TIMEOUT:
        abandon_failover(row, f"{row.chosen} did not confirm its promotion", state)
    else:
        send_promotion(row, state)


@job_ended.register
def _(job: PromoteJob, results: Results | None, state: State) -> None:
    row = failover_at_stage(job.group, job.term, Stage.PROMOTING, state)
    rows, status_rows = rows_of(results, 0), rows_of(results, 1)
    if row is None or rows is None:
        return  # The next tick repeats the promotion.
    answer = parse_promote(rows)
    if answer.accepted:
        finish_promotion(row, answer.start_position, state)
        return
    if status_rows is None:
        return
    status = parse_status(status_rows)
    if status.role == Role.PRIMARY and status.term == row.term:
        # An earlier promotion was accepted but its answer was lost. A fenced log does
        # not grow, so the term starts right after the log's end in the fence's answer.
        finish_promotion(row, row.fences[row.chosen].received + 1, state)
    else:
        abandon_failover(row, f"{row.chosen} refused its promotion", state)


def finish_promotion(row: FailoverRow, start_position: int, state: State) -> None:
    """Announce the new primary and make the other endpoints follow it."""
    group = state.groups[row.group]
    enter_stage(row, Stage.FOLLOWING, state)
    if not learn_primary(group, row.term, row.chosen, {row.term: start_position}):
        return  # A higher term is known; the next tick abandons the failover.
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
    """Make the fenced endpoints follow the new primary; `rejoining` does the rest."""
    for name in sorted(set(row.fences) - {row.chosen} - row.following):
        send_follow(name, group, state)


def keep_following(
    row: FailoverRow, group: GroupRow, waited: timedelta, state: State
) -> None:
    """Wait until a majority has the new term, so that writes can be acknowledged.

    After `FOLLOW_TIMEOUT`, the missing endpoints are left to their owners.
    """
    members = len(group_endpoints(row.group, state))
    enough = len(row.following) + 1 >= required_copies(Durability.MAJORITY, members)
    if enough or waited >= FOLLOW_TIMEOUT:
        enter_stage(row, Stage.RECORDING, state)
    else:
        follow_others(row, group, state)


def finish_recording(row: FailoverRow, state: State) -> None:
    """Complete the failover once the group's object in the store has its term."""
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
                **stage_durations(row),
            },
        )
    )


def stage_durations(row: FailoverRow) -> dict[str, int]:
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
