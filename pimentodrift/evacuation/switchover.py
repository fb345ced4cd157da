"""Replaces a primary that is evacuated or leaves without losing a write.

The group's coordinator asks all instances to hold the work at the primary. Once all
have confirmed, it reads the primary's last position, waits for a replica that has it,
and takes the token for its promotion. If an instance does not confirm or no replica
catches up, statements go on and another attempt follows. Once the bound of an
evacuation is near and no instance uses the primary any more, the replica with the
longest log is promoted.
"""

from .. import instance_removal, membership, peers, pools
from ..clock import MILLISECOND, NEVER
from ..dispatch import handle_peer
from ..log_events import SwitchoverBegun, SwitchoverEnded
from ..messages import Position
from ..promotion_decisions import (
    is_busy,
    is_decided_elsewhere,
    may_take_effect,
    promotion_row,
    replace_primary,
    take_token,
)
from ..promotion_targets import preferred_target, promotable_members
from ..session_rows import PoolRow, PromotionRow, RegistryRow
from ..tables import InstanceRow, State
from . import permissions
from .decisions import (
    ATTEMPT_PAUSE,
    CATCH_UP_TIMEOUT,
    CONFIRM_TIMEOUT,
    HOLD_INTERVAL,
    LONGEST_ATTEMPT,
    PROBE_INTERVAL,
    force_time,
    is_caught_up,
)
from .messages import HoldConfirmed, HoldPrimary
from .rows import EvacuationRow, SwitchoverRow, SwitchoverStage

# Results after which the old primary is out of use.
REPLACED = ("done", "primary-changed")
NOT_PROMOTED = "not-promoted"


def advance(row: PromotionRow, primary: RegistryRow, state: State) -> None:
    """Go on with the switchover of a primary; begin one if it is due."""
    evacuation = state.evacuations.get(primary.entry.data_centre)
    attempt = state.switchovers.get(row.group)
    if attempt is not None and attempt.endpoint != primary.name:
        end(attempt, "primary-changed", state)
        attempt = None
    now = state.clock.monotonic()
    if attempt is not None:
        go_on(attempt, row, state)
    elif evacuation is not None and now >= force_time(
        evacuation.seen_at, state.settings.evacuation_bound
    ):
        replace_primary(row, primary, state)
    elif may_begin(row, primary, evacuation, state):
        begin(row.group, primary.name, state)


def settle(group: str, primary: RegistryRow, state: State) -> None:
    """End this instance's attempt of a group whose primary may stay."""
    attempt = state.switchovers.get(group)
    if attempt is not None:
        is_done = attempt.endpoint != primary.name
        end(attempt, "done" if is_done else "withdrawn", state)


def leave(group: str, result: str, state: State) -> None:
    """End this instance's attempt of a group, if there is one."""
    attempt = state.switchovers.get(group)
    if attempt is not None:
        end(attempt, result, state)


def may_begin(
    row: PromotionRow,
    primary: RegistryRow,
    evacuation: EvacuationRow | None,
    state: State,
) -> bool:
    """Return whether an attempt can succeed now."""
    now = state.clock.monotonic()
    if is_busy(row, state) or is_decided_elsewhere(row, state):
        return False
    if now < state.switchover_after.get(row.group, NEVER):
        return False
    if evacuation is not None and now > evacuation.deadline - LONGEST_ATTEMPT:
        return False
    if not promotable_members(row, primary.name, state):
        return False
    if state.settings.name not in state.instances:
        return False
    instance_removal.remove_refusing(state)
    if membership.recently_removed(state):
        return False
    return all(
        membership.is_instance_usable(item, state)
        and reads_holds(item, primary.name, state)
        for item in participants(state)
    )


def reads_holds(item: InstanceRow, endpoint: str, state: State) -> bool:
    """Return whether an instance can be asked to hold the work at a primary.

    Builds that follow no evacuations may know neither those nor holds.
    """
    is_evacuated = permissions.evacuation_of(endpoint, state) is not None
    return item.follows_evacuations or not is_evacuated


def participants(state: State) -> list[InstanceRow]:
    """Return the instances that may use the primary.

    One that refuses connections may only be cut off.
    """
    return list(state.instances.values())


def begin(group: str, endpoint: str, state: State) -> None:
    """Ask all instances to hold the work at a primary."""
    now = state.clock.monotonic()
    number = state.new_number()
    attempt = SwitchoverRow(group, endpoint, number, now, staged_at=now)
    state.switchovers[group] = attempt
    state.counters["evacuation.switchovers"] += 1
    state.log_event(SwitchoverBegun(group, endpoint, number))
    send_holds(attempt, state)


def send_holds(attempt: SwitchoverRow, state: State) -> None:
    """Ask all instances to hold, or to go on holding."""
    now = state.clock.monotonic()
    attempt.sent_at = now
    number = state.new_number()
    attempt.sends[number] = now
    send_all(attempt, number, False, state)


def send_all(attempt: SwitchoverRow, number: int, is_over: bool, state: State) -> None:
    """Send a `HoldPrimary` to all instances that know of it."""
    message = HoldPrimary(
        attempt.group, attempt.endpoint, attempt.attempt, number, is_over
    )
    for item in participants(state):
        if reads_holds(item, attempt.endpoint, state):
            peers.send(item.name, message, state)


def go_on(attempt: SwitchoverRow, row: PromotionRow, state: State) -> None:
    """Do the next step of an attempt."""
    now = state.clock.monotonic()
    if attempt.is_broken and attempt.stage is not SwitchoverStage.PROMOTING:
        end(attempt, "instance-went-on", state)
        return
    if now - attempt.sent_at >= HOLD_INTERVAL:
        send_holds(attempt, state)
    match attempt.stage:
        case SwitchoverStage.HOLDING:
            await_confirmations(attempt, state)
        case SwitchoverStage.CATCHING_UP:
            await_replica(attempt, row, state)
        case SwitchoverStage.PROMOTING:
            # The registry tells of the new primary, which ends the attempt.
            if not is_busy(row, state):
                end(attempt, NOT_PROMOTED, state)


def set_stage(attempt: SwitchoverRow, stage: SwitchoverStage, state: State) -> None:
    """Set the stage of an attempt and record when it began."""
    attempt.stage = stage
    attempt.staged_at = state.clock.monotonic()


def await_confirmations(attempt: SwitchoverRow, state: State) -> None:
    """Go on once every instance holds its work; end the attempt if that takes long."""
    if are_holds_certain(attempt, state):
        set_stage(attempt, SwitchoverStage.CATCHING_UP, state)
    elif state.clock.monotonic() - attempt.staged_at >= CONFIRM_TIMEOUT:
        end(attempt, "not-confirmed", state)


def are_holds_certain(attempt: SwitchoverRow, state: State) -> bool:
    """Return whether no instance may have had work at the primary since it confirmed.

    One that was removed from the list may not know it yet.
    """
    is_certain = permissions.is_hold_certain(attempt, participants(state), state)
    return is_certain and not membership.recently_removed(state)


def await_replica(attempt: SwitchoverRow, row: PromotionRow, state: State) -> None:
    """Promote a replica once it has the primary's last position."""
    if not are_holds_certain(attempt, state):
        end(attempt, "hold-lost", state)
        return
    if is_decided_elsewhere(row, state):
        end(attempt, "decided-elsewhere", state)
        return
    rows = promotable_members(row, attempt.endpoint, state)
    old = state.pools[attempt.endpoint]
    read_positions(attempt, [old, *(state.pools[item.name] for item in rows)], state)
    target = None
    if old.position_asked_at >= attempt.staged_at:
        target = choose_replica(row, rows, old.position, state)
    if target is not None:
        set_stage(attempt, SwitchoverStage.PROMOTING, state)
        take_token(row, target, attempt.endpoint, state)
        return
    if state.clock.monotonic() - attempt.staged_at >= CATCH_UP_TIMEOUT:
        end(attempt, "not-caught-up", state)


def choose_replica(
    row: PromotionRow, rows: list[RegistryRow], last: Position | None, state: State
) -> str | None:
    """Return a replica that has the primary's last position, if there is one."""
    found = {}
    for member in rows:
        position = state.pools[member.name].position
        if is_caught_up(position, last) and member.name not in row.rejected:
            found[member.name] = position or Position(0, 0)
    if not found:
        return None
    preferred = preferred_target(row, found, state)
    return preferred or max(found, key=lambda name: (found[name], name))


def read_positions(attempt: SwitchoverRow, rows: list[PoolRow], state: State) -> None:
    """Ask the primary for its last position, and the replicas again and again."""
    now = state.clock.monotonic()
    if now - attempt.probed_at < PROBE_INTERVAL:
        return
    attempt.probed_at = now
    for pool in rows:
        is_known = pool.position_asked_at >= attempt.staged_at
        if pool.endpoint == attempt.endpoint and is_known:
            continue
        connections = [state.pooled[number] for number in pool.connections]
        if not all(item.is_open for item in connections):
            continue
        idle = pools.idle_connections(pool, state)
        if idle:  # The probe takes the place of a connection that is not in use.
            oldest = min(idle, key=lambda item: item.idle_since)
            pools.close_connection(oldest, state)
        pools.probe(pool, state)


def end(attempt: SwitchoverRow, result: str, state: State) -> None:
    """End an attempt and let the instances go on, unless a promotion may be under way.

    What they wrote at the old primary would be lost. Their holds end by themselves.
    """
    now = state.clock.monotonic()
    state.switchovers.pop(attempt.group, None)
    state.counters[f"evacuation.switchovers.{result}"] += 1
    missing = sum(item.name not in attempt.confirmed for item in participants(state))
    state.log_event(
        SwitchoverEnded(
            attempt.group,
            attempt.endpoint,
            attempt.attempt,
            result,
            missing,
            (now - attempt.started_at) // MILLISECOND,
        )
    )
    is_promoting = attempt.stage is SwitchoverStage.PROMOTING
    is_over = result in (*REPLACED, NOT_PROMOTED) or not is_promoting
    state.switchover_after[attempt.group] = now + ATTEMPT_PAUSE
    if may_take_effect(promotion_row(attempt.group, state), state):
        # The next attempt begins while the instances still hold their work.
        state.switchover_after[attempt.group] = now
        is_over = False
    if is_over:
        send_all(attempt, state.new_number(), True, state)


@handle_peer.register
def _(message: HoldConfirmed, sender: str, state: State) -> None:
    attempt = state.switchovers.get(message.group)
    if attempt is None or attempt.attempt != message.attempt:
        return
    sent_at = attempt.sends.get(message.number)
    if sent_at is None:
        return
    known = attempt.confirmed.get(sender)
    if known is not None and known[0] != message.hold:
        attempt.is_broken = True
    if known is None or known[1] <= sent_at:
        attempt.confirmed[sender] = (message.hold, sent_at)
