"""Decides which instance is the allocator of a workspace.

The store's `allocator` object names the allocator, and a conditional update with a
higher epoch passes the role on. The module `allocation` keeps the ledger of each
workspace that this instance allocates.
"""

from datetime import timedelta

from attrs import evolve

from . import ledger_handover, membership, peers, store_eras, view
from .clock import NEVER
from .messages import StoreObject
from .peer_messages import Epoch, ShareRenew
from .policies import Policy
from .rate_rows import AllocationRow, ClaimRow, EpochSeen
from .rates import holds_all_shares, is_allocator_usable
from .store_versions import next_token
from .store_writes import (
    StoreOutcome,
    writable_object,
    write_ended,
    write_object,
)
from .tables import Presence, State
from .warmup.limits import all_limits, limit_named

CLAIM_TIMEOUT = timedelta(seconds=3)
STORE_AGE_MARGIN = timedelta(seconds=1)  # Transit time and age of a heartbeat.
# After an outage of the store, the instances reach it again one after the other, and
# their next heartbeats tell so. Only after this time has another one lost the store.
OUTAGE_END_TIME = timedelta(seconds=2)
# Time for which a new allocator keeps the role. Instances that suspect each other after
# a network partition would otherwise pass the role back and forth, and each change
# locks the shares; the time is longer than such suspicions last.
ROLE_COOLDOWN = timedelta(milliseconds=2500)
# Limit of the cooldown, which doubles with each change that follows another one within
# `RAPID_CHANGE_INTERVAL`.
MAX_ROLE_COOLDOWN = timedelta(seconds=20)
RAPID_CHANGE_INTERVAL = timedelta(seconds=10)
# Time after which the holder of a role is checked again if nothing has happened to it.
EXAMINATION_INTERVAL = timedelta(milliseconds=500)
# The same for a vacant role that its first candidate has not claimed yet; to find that
# candidate can mean to rank all instances.
VACANCY_INTERVAL = timedelta(milliseconds=100)


def claim_vacant_roles(state: State) -> None:
    """Claim the vacant roles among those that are due to be checked."""
    limits, now = all_limits(state), state.clock.monotonic()
    vacancies = state.vacancies
    # Names change with the configuration, or as endpoints come and go.
    source = (state.configuration.version, tuple(state.cold_limits))
    if source != state.vacancies_source:
        state.vacancies_source = source
        vacancies.keep_only(limits, now)
    for workspace in vacancies.take_due(now):
        state.counters["allocator.examined"] += 1
        is_vacant = claim_if_vacant(workspace, state)
        pause = VACANCY_INTERVAL if is_vacant else EXAMINATION_INTERVAL
        vacancies.put(workspace, now + pause)


def stored_epoch(workspace: str, state: State) -> Epoch:
    """Return the epoch of the workspace's `allocator` object; number 0 if it is absent.

    The object is that of this instance's view of the store.
    """
    item = state.view.objects.get(("allocator", workspace))
    if item is None or item.value is None:
        return Epoch(0, "")
    return Epoch(int(item.value["epoch"]), str(item.value["holder"]))


def claim_if_vacant(workspace: str, state: State) -> bool:
    """Claim a role if this is the first candidate; return whether it is vacant."""
    own = state.settings.name
    item = state.view.objects.get(("allocator", workspace))
    seen = track_epoch(workspace, item, state)
    holder = seen.epoch.holder
    if holder == own and workspace in state.allocations:
        return False
    if holder not in ("", own) and can_allocate(holder, state):
        return False
    if may_claim(workspace, seen, state):
        claim_role(workspace, seen.epoch, state)
    return True


def can_allocate(holder: str, state: State) -> bool:
    """Return whether the holder of a role can go on with it."""
    return is_allocator_usable(holder, state) and can_reach_store(holder, state)


def may_claim(workspace: str, seen: EpochSeen, state: State) -> bool:
    """Return whether this instance may claim a vacant role now."""
    own, stored = state.settings.name, seen.epoch
    now = state.clock.monotonic()
    if stored.holder not in ("", own) and is_epoch_recent(seen, state):
        return False
    claim = state.claims.get(workspace)
    if claim is not None and now - claim.sent_at < CLAIM_TIMEOUT:
        return False
    if workspace in state.allocations or state.stopping:
        return False
    # A claim that an outage of the store delays would replace an allocator that lives.
    is_old = view.copy_age(state) > state.settings.allocator_lease
    if is_old and state.settings.uses(Policy.STEADY_CLAIMS):
        return False
    if not view.is_copy_fresh(state):
        return False
    # The smaller side of a network partition would take the role from the larger one
    # again and again. Between equal sides that both reach the store, the check of
    # `is_epoch_recent` above limits the changes.
    if not view.reaches_half(state):
        return False
    # If the object names this instance, but there is no ledger, then the outcome of an
    # earlier claim was unknown. This instance claims again.
    return stored.holder == own or first_candidate(workspace, state) == own


def claim_role(workspace: str, stored: Epoch, state: State) -> None:
    """Write the `allocator` object with the epoch after the stored one."""
    own = state.settings.name
    epoch = Epoch(next_token(state.view.era, stored.number), own)
    claim = ClaimRow(workspace, epoch, stored.holder, state.clock.monotonic())
    state.claims[workspace] = claim
    value = {"epoch": epoch.number, "holder": own}
    target = writable_object("allocator", workspace, state)
    write_object(target, value, claim, state)


def can_reach_store(instance: str, state: State) -> bool:
    """Return whether another instance has a view recent enough to act as allocator.

    An allocator that has lost the store stops renewing shares, although it still
    answers heartbeats. During an outage of the store, it goes on.
    """
    row = state.instances[instance]
    contact = state.contacts.get(instance)
    # Without heartbeats, its silence tells nothing.
    if row.store_age is None or contact is None or row.last_heard < contact.since:
        return True
    if state.settings.uses(Policy.STEADY_CLAIMS) and not has_steady_view(state):
        return True
    silence = state.clock.monotonic() - row.last_heard
    limit = state.settings.allocator_lease + STORE_AGE_MARGIN
    return row.store_age + silence <= limit or view.is_store_outage(state)


def has_steady_view(state: State) -> bool:
    """Return whether this instance itself has had no outage of the store lately.

    Otherwise the others may have had the same one.
    """
    steady = state.clock.monotonic() - state.view.steady_since
    is_current = view.copy_age(state) <= state.settings.allocator_lease
    return is_current and steady >= OUTAGE_END_TIME


def track_epoch(workspace: str, item: StoreObject | None, state: State) -> EpochSeen:
    """Return the epoch in the store, since when it is known, and its cooldown."""
    known = state.epochs_seen.get(workspace)
    if known is not None and known.item is item:
        return known
    now = state.clock.monotonic()
    stored = stored_epoch(workspace, state)
    if known is None:
        # An instance that has just started does not know how old the epoch is.
        seen = EpochSeen(item, stored, NEVER, ROLE_COOLDOWN)
    elif known.epoch == stored:
        seen = evolve(known, item=item)
    else:
        is_rapid = now - known.since < RAPID_CHANGE_INTERVAL
        cooldown = min(2 * known.rest, MAX_ROLE_COOLDOWN) if is_rapid else ROLE_COOLDOWN
        seen = EpochSeen(item, stored, now, cooldown)
    state.epochs_seen[workspace] = seen
    return seen


def is_epoch_recent(seen: EpochSeen, state: State) -> bool:
    """Return whether an epoch is in its cooldown and its holder may still be alive.

    An instance that stops does not take a role back, so there is nothing to wait for.
    """
    if membership.has_refused_since(seen.epoch.holder, seen.since, state):
        return False
    holder = state.instances.get(seen.epoch.holder)
    if holder is not None and holder.presence is Presence.LEAVING:
        return False
    return state.clock.monotonic() - seen.since < seen.rest


def first_candidate(workspace: str, state: State) -> str | None:
    """Return the usable instance with a recent view that should be the allocator."""
    row = membership.first_usable(f"allocator/{workspace}", "", state)
    if (
        row is None
        or row.name == state.settings.name
        or can_reach_store(row.name, state)
    ):
        return row.name if row is not None else None
    own = state.settings.name
    rows = [
        row
        for row in state.instances.values()
        if membership.is_instance_usable(row, state)
        and (row.name == own or can_reach_store(row.name, state))
    ]
    ranked = membership.ranked(f"allocator/{workspace}", rows)
    return ranked[0].name if ranked else None


def drop_superseded(row: AllocationRow, state: State) -> bool:
    """Drop the ledger if the store has another epoch; return whether it was dropped.

    That is a later one, or after a restore of the store an earlier one.
    """
    stored = stored_epoch(row.workspace, state)
    is_lost = (
        stored != row.epoch
        and store_eras.was_restored(state)
        and store_eras.are_own_objects_current(state)
    )
    if stored <= row.epoch and not is_lost:
        return False
    del state.allocations[row.workspace]
    if not is_lost:
        ledger_handover.keep_handover(row, stored, state)
    state.counters["allocator.lost" if is_lost else "allocator.superseded"] += 1
    return True


@write_ended.register
def _(purpose: ClaimRow, outcome: StoreOutcome, state: State) -> None:
    state.claims.pop(purpose.workspace, None)
    if outcome is StoreOutcome.WRITTEN:
        start_allocation(purpose, state)


def start_allocation(claim: ClaimRow, state: State) -> None:
    """Start a workspace's ledger; after a predecessor, all of it is locked at first."""
    workspace = limit_named(claim.workspace, state)
    if workspace is None:
        return
    row = AllocationRow(
        claim.workspace,
        claim.epoch,
        state.clock.monotonic(),
        state.view.objects["allocator", claim.workspace].version,
        predecessor=claim.predecessor,
        level=workspace.burst,
        level_at=state.clock.monotonic(),
    )
    # A restored store may have lost the object of an allocator that is still active.
    if claim.predecessor or store_eras.was_restored(state):
        row.locked_rate = workspace.rate
        row.locked_burst = workspace.burst
        state.counters["allocator.takeovers"] += 1
    else:
        row.free_tokens = workspace.burst
    state.allocations[claim.workspace] = row
    fields: dict[str, object] = {
        "workspace": claim.workspace,
        "epoch": claim.epoch.number,
        "predecessor": claim.predecessor,
    }
    state.events.append(("allocator_started", fields))
    for name in instances_to_notify(state):
        peers.send(name, renewal(row), state)


def renewal(row: AllocationRow, number: int = 0) -> ShareRenew:
    """Return the answer to the report with a number, or the news of an epoch."""
    return ShareRenew(
        row.workspace,
        row.epoch,
        number,
        takes_back=True,
        standbys=row.standbys,
        is_locked=row.locked_rate > 0,
    )


def instances_to_notify(state: State) -> list[str]:
    """Return the instances that a new allocator informs at once.

    In a larger fleet, not every two instances have a stream between them; the others
    learn of the allocator from the store's object.
    """
    if holds_all_shares(state):
        return list(state.instances)
    return [state.settings.name, *state.contacts]
