"""Admits requests within this instance's share of each workspace's rate.

Each share is a token bucket with a part of the workspace's rate and burst. This module
refills the buckets, queues the requests that wait for a token, and reports each share
to the workspace's allocator (module `allocation`).

The shares of all instances together never exceed the workspace's rate and burst: the
allocator adds to one share only what another gave up, and tokens move with the burst
that may hold them. So any window of time admits at most burst + rate x window, and no
clocks have to be synchronized.

A share may be used while the allocator keeps renewing its lease. On the holder's own
clock, the lease starts when the holder sent the report that the allocator answered.
"""

from datetime import timedelta

from . import ledger_handover, membership, peers, token_waits, view
from .clock import MILLISECOND
from .dispatch import handle, handle_peer
from .errors import Problem, not_run
from .given_up_shares import (
    decline_change,
    give_up_share,
    quiet_time,
    report_no_share,
)
from .granted_tokens import must_defer, refill_until
from .notices import Admitted, Refused
from .peer_messages import (
    Epoch,
    ShareDenied,
    ShareLower,
    ShareLowered,
    ShareRaise,
    ShareRaised,
    ShareRenew,
    ShareReport,
)
from .rate_rows import GivenUpShare, ShareRow, WaitingRequest
from .tables import State
from .warmup.limits import all_limits

SHARE_LEASE = timedelta(seconds=2)
REPORT_INTERVAL = timedelta(milliseconds=500)
# Replaces `REPORT_INTERVAL` while requests wait, so that the allocator can help soon.
URGENT_REPORT_INTERVAL = timedelta(milliseconds=40)
DEMAND_WINDOW = timedelta(milliseconds=500)  # Time constant of the average demand.
DEMAND_INTERVAL = timedelta(milliseconds=100)  # Time between updates of the demand.
# A request whose tokens the allocator has denied still waits if this instance's share
# refills within this time.
MAX_REFILL_WAIT = timedelta(milliseconds=250)
# In a larger fleet, a share without a request for this long is given up: each one costs
# two reports and two answers a second.
IDLE_SHARE_LIFETIME = timedelta(seconds=2)
# When to retry a request that was refused for want of an allocator: a successor may be
# found at any time, and until then the refusals cost little.
UNCONFIRMED_RETRY = timedelta(seconds=1)
# Requests/s; a lower rate is the rounding error of a rate that was given up.
MIN_REFILL_RATE = 1e-6
# Rounding error by which a sum of floating-point shares may fall short of a token.
TOKEN_TOLERANCE = 1e-9
WHOLE_TOKEN = 1 - TOKEN_TOLERANCE


def get_or_create_share(workspace: str, state: State) -> ShareRow:
    """Return this instance's share of a workspace; create an empty one if needed."""
    row = state.shares.get(workspace)
    if row is None:
        now = state.clock.monotonic()
        before = state.given_up_shares.pop(workspace, GivenUpShare())
        row = ShareRow(
            workspace,
            before.epoch,
            last_number=before.last_number,
            admitted=before.admitted,
            admitted_before=before.admitted,
            refilled_at=now,
            measured_at=now,
            report_at=now,
            used_at=now,
        )
        state.shares[workspace] = row
    return row


def refill_bucket(row: ShareRow, state: State) -> None:
    """Add the tokens of the time since the last refill, up to the burst."""
    now = state.clock.monotonic()
    while row.outstanding and row.outstanding[0][0] <= now:
        refill_until(row.outstanding[0][0], row)
        row.outstanding.popleft()
    refill_until(now, row)


def is_share_valid(row: ShareRow, state: State) -> bool:
    """Return whether the share may be used: its lease holds, or the store is down.

    While the store is down, no instance can become the allocator and reclaim shares, so
    an expired lease does no harm. If half of them had the store after its end, an
    allocator may have reclaimed the share.
    """
    lease_end = row.renewed_at + SHARE_LEASE
    if state.clock.monotonic() <= lease_end:
        return True
    if not row.epoch.number or not view.is_store_outage(state):
        return False
    return not view.may_have_had_store(lease_end, state)


def spend_token(row: ShareRow, state: State) -> bool:
    """Take a token if the share is valid and has one; return whether it did."""
    refill_bucket(row, state)
    if row.tokens < WHOLE_TOKEN or not is_share_valid(row, state):
        return False
    row.tokens = max(0.0, row.tokens - 1)
    count_admitted(row, state)
    return True


def count_admitted(row: ShareRow, state: State) -> None:
    """Count an admitted request, for the reports and for the metrics."""
    row.admitted += 1
    state.counters["rates.admitted"] += 1


def take_token(workspace: str, state: State) -> bool:
    """Admit a request at once if the share has a token and no earlier request waits."""
    row = get_or_create_share(workspace, state)
    row.arrivals += 1
    row.used_at = state.clock.monotonic()
    return not row.waiting and spend_token(row, state)


def queue_for_token(
    workspace: str,
    request: int,
    deadline: timedelta,
    state: State,
    priority: int = 0,
    patience: timedelta | None = None,
) -> None:
    """Queue a request for a token; `Admitted` or `Refused` tells how the wait ended.

    Requests with a smaller `priority` are admitted first. In a flood, one that has
    waited longer than `patience` is refused.
    """
    row = get_or_create_share(workspace, state)
    now = state.clock.monotonic()
    waiting = WaitingRequest(request, now, deadline, priority, patience)
    row.waiting.insert(token_waits.count_ahead(row, priority), waiting)
    if now < row.denied_until and refill_delay(row) > MAX_REFILL_WAIT:
        row.waiting.remove(waiting)
        refuse_request(request, row.denied_until - now, state, refusal(row, state))
        return
    row.report_at = min(row.report_at, now)
    admit_waiting(row, state)
    if waiting in row.waiting and token_waits.is_wait_in_vain(row, now):
        can_refill = is_share_valid(row, state) and refill_delay(row) <= MAX_REFILL_WAIT
        if not can_refill:
            row.waiting.remove(waiting)
            refuse_request(request, UNCONFIRMED_RETRY, state, Problem.RATE_UNCONFIRMED)


def expected_wait(workspace: str, priority: int, state: State) -> timedelta | None:
    """Return how long a new request would wait for a token in a flood; else None."""
    row = get_or_create_share(workspace, state)
    return token_waits.expected_wait(row, priority, state.clock.monotonic())


def refill_delay(row: ShareRow) -> timedelta:
    """Return how long the share alone needs for a token for every waiting request."""
    missing = len(row.waiting) - row.tokens
    if missing <= 0:
        return timedelta(0)
    if row.rate < MIN_REFILL_RATE or row.burst < WHOLE_TOKEN:
        return timedelta(days=1)
    return timedelta(seconds=missing / row.rate)


def cancel_waiting(workspace: str, request: int, state: State) -> None:
    """Remove a request from the queue; its caller no longer waits for an answer."""
    row = get_or_create_share(workspace, state)
    for waiting in row.waiting:
        if waiting.request == request:
            row.waiting.remove(waiting)
            return


def refuse_request(
    request: int,
    retry_after: timedelta,
    state: State,
    problem: Problem = Problem.RATE_EXCEEDED,
) -> None:
    """Refuse a request, usually because its workspace is over its rate."""
    state.counters["rates.refused"] += 1
    if problem is Problem.RATE_UNCONFIRMED:
        state.counters["rates.refused_unconfirmed"] += 1
    handle(Refused(request, not_run(problem, retry_after=retry_after)), state)


def refusal(row: ShareRow, state: State) -> Problem:
    """Return why requests that wait for tokens of a share are refused now."""
    if token_waits.is_unconfirmed(row, state.clock.monotonic()):
        return Problem.RATE_UNCONFIRMED
    return Problem.RATE_EXCEEDED


def admit_waiting(row: ShareRow, state: State) -> None:
    """Admit waiting requests in their order while there are tokens."""
    while row.waiting and spend_token(row, state):
        handle(Admitted(row.waiting.popleft().request), state)


def admit_from_grant(row: ShareRow, tokens: int, state: State) -> None:
    """Admit as many waiting requests as tokens were granted; discard unused tokens."""
    while tokens > 0 and row.waiting:
        tokens -= 1
        count_admitted(row, state)
        handle(Admitted(row.waiting.popleft().request), state)


def refuse_expired(row: ShareRow, state: State) -> None:
    """Refuse requests that reached their deadline or the longest wait."""
    now = state.clock.monotonic()
    for item in token_waits.expired(row, now):
        if item not in row.waiting:
            continue  # Admitted by the next request of a refused client.
        row.waiting.remove(item)
        problem = refusal(row, state)
        refuse_request(item.request, retry_after(row, state), state, problem)


def retry_after(row: ShareRow, state: State) -> timedelta:
    """Return how long a refused caller should wait before its next request.

    A share without a rate does not refill; it may get tokens from the allocator when
    the allocator's denial ends.
    """
    wait = refill_delay(row)
    if row.rate < MIN_REFILL_RATE:
        wait = row.denied_until - state.clock.monotonic()
    return max(timedelta(seconds=1), min(wait, timedelta(seconds=60)))


def update_demand(row: ShareRow, state: State) -> None:
    """Update the moving averages of the arrivals and admissions per second."""
    now = state.clock.monotonic()
    elapsed = now - row.measured_at
    weight = min(1.0, elapsed / DEMAND_WINDOW)
    arrived = row.arrivals / elapsed.total_seconds()
    admitted = (row.admitted - row.admitted_before) / elapsed.total_seconds()
    row.demand += (arrived - row.demand) * weight
    row.admission_rate += (admitted - row.admission_rate) * weight
    row.arrivals = 0
    row.admitted_before = row.admitted
    row.measured_at = now


def newest_epoch(row: ShareRow, state: State) -> Epoch | None:
    """Return the workspace's newest known epoch; None if no epoch is known."""
    item = state.view.objects.get(("allocator", row.workspace))
    if item is None or item.value is None:
        return row.epoch if row.epoch.number else None
    stored = Epoch(int(item.value["epoch"]), str(item.value["holder"]))
    return max(stored, row.epoch)


def send_report(row: ShareRow, state: State, target: str = "") -> None:
    """Report the share and the demand to `target`, by default to the allocator."""
    now = state.clock.monotonic()
    row.report_at = now + (URGENT_REPORT_INTERVAL if row.waiting else REPORT_INTERVAL)
    if row.unanswered_since is None:
        row.unanswered_since = now
    epoch = newest_epoch(row, state)
    if epoch is None:
        return
    refill_bucket(row, state)
    number = state.new_number()
    for old in [key for key, at in row.reports_sent.items() if now - at > SHARE_LEASE]:
        del row.reports_sent[old]
    row.reports_sent[number] = now
    target = target or report_recipient(epoch.holder, row, state)
    membership.track_contact(target, state)  # Heartbeats then detect its failure.
    peers.send(target, make_report(row, number, state), state)


def report_recipient(holder: str, row: ShareRow, state: State) -> str:
    """Return the instance that gets a report: the allocator, or its likely successor.

    In a larger fleet, the successor may have no stream to the allocator. The reports of
    the holders then make it check whether the allocator has failed.
    """
    if holds_all_shares(state):
        return holder
    if is_allocator_usable(holder, state):
        silence = token_waits.unanswered_time(row, state.clock.monotonic())
        if silence < token_waits.ALLOCATOR_SILENCE or state.random.getrandbits(1):
            return holder
        # It may have lost the store. The instance that is to replace it has to know.
        return likely_successor(holder, row.workspace, state)
    successor = membership.first_usable(f"allocator/{row.workspace}", "", state)
    return holder if successor is None else successor.name


def likely_successor(holder: str, workspace: str, state: State) -> str:
    """Return the first usable instance that could replace an allocator."""
    rows = [
        other
        for other in state.instances.values()
        if other.name != holder and membership.is_instance_usable(other, state)
    ]
    ranked = membership.ranked(f"allocator/{workspace}", rows)
    return ranked[0].name if ranked else holder


def make_report(row: ShareRow, number: int, state: State) -> ShareReport:
    """Return the report of a share; `needed` is the tokens that its queue lacks."""
    needed = max(0.0, len(row.waiting) - row.tokens)
    return ShareReport(
        row.workspace,
        row.epoch,
        row.rate,
        row.burst,
        row.tokens,
        row.demand,
        needed,
        number,
        row.admitted,
        row.granted,
        quiet_ms=quiet_time(row.admitted, state) // MILLISECOND,
        can_stand_by=True,
    )


def run(state: State) -> None:
    """Refill buckets, admit waiting requests and report to the allocators."""
    workspaces = all_limits(state)
    if holds_all_shares(state):
        for workspace in workspaces:
            get_or_create_share(workspace, state)
    now = state.clock.monotonic()
    for row in list(state.shares.values()):
        if row.workspace in workspaces:
            if row.waiting:
                admit_waiting(row, state)
                refuse_expired(row, state)
            if now - row.measured_at >= DEMAND_INTERVAL:
                update_demand(row, state)
            if is_share_unused(row, state):
                give_up_share(row, state)
            elif now >= row.report_at:
                send_report(row, state)
            continue
        for waiting in state.shares.pop(row.workspace).waiting:
            refuse_request(waiting.request, timedelta(seconds=1), state)


def is_share_unused(row: ShareRow, state: State) -> bool:
    """Return whether a share can be given up until the workspace's next request."""
    idle = state.clock.monotonic() - row.used_at
    if row.waiting or idle <= IDLE_SHARE_LIFETIME or holds_all_shares(state):
        return False
    if row.outstanding or state.settings.name in row.standbys:
        return False
    return row.can_return and row.workspace not in state.allocations


def holds_all_shares(state: State) -> bool:
    """Return whether this instance has a share of every workspace.

    In a larger fleet, an instance has shares only of the workspaces whose requests it
    has received and of those that it allocates: 2,300 shares in each of 5,800 instances
    would take 1.2 MB/s of reports and leave no holder a whole request of burst.
    """
    return len(state.instances) <= view.SMALL_FLEET


def accept_epoch(epoch: Epoch, row: ShareRow, state: State) -> bool:
    """Return whether a message's epoch is current; adopt the epoch if it is newer."""
    if epoch < row.epoch:
        return False
    if epoch > row.epoch:
        row.epoch = epoch
        row.last_number = 0
        row.last_lowered = None
        # The new allocator needs a report before it may change this share.
        row.report_at = state.clock.monotonic()
    return True


@handle_peer.register
def _(message: ShareRenew, sender: str, state: State) -> None:
    if message.asks_ledger:
        ledger_handover.hand_over(message, sender, state)
    is_other = sender != state.settings.name
    if (
        message.workspace not in state.shares
        and is_other
        and not holds_all_shares(state)
    ):
        if message.asks_report:
            report_no_share(message, state)
        return  # This instance adopts the epoch once it has a share to report.
    row = get_or_create_share(message.workspace, state)
    if not accept_epoch(message.epoch, row, state):
        return
    row.can_return = message.takes_back
    if message.asks_report and is_other:
        # This instance may suspect the allocator, and report to another one.
        send_report(row, state, target=sender)
    if message.number or message.standbys:
        row.standbys = message.standbys
    sent_at = row.reports_sent.get(message.number)
    if sent_at is not None:
        row.unanswered_since = None
        row.is_locked = message.is_locked
        if sent_at - row.renewed_at > SHARE_LEASE:
            row.usable_since = state.clock.monotonic()
        row.renewed_at = max(row.renewed_at, sent_at)
        admit_waiting(row, state)


@handle_peer.register
def _(message: ShareLower, sender: str, state: State) -> None:
    if decline_change(message, state):
        return
    row = get_or_create_share(message.workspace, state)
    if not accept_epoch(message.epoch, row, state):
        return
    if message.number > row.last_number:
        refill_bucket(row, state)
        if must_defer(message, row, state):
            return
        row.last_number = message.number
        row.last_lowered = lower_share(row, message)
    if row.last_lowered is not None and row.last_lowered.number == message.number:
        peers.send(sender, row.last_lowered, state)


def lower_share(row: ShareRow, message: ShareLower) -> ShareLowered:
    """Subtract rate and burst from the share, with the tokens that no longer fit."""
    rate = min(row.rate, message.rate)
    burst = min(row.burst, message.burst)
    tokens = min(row.tokens, burst)
    row.rate -= rate
    row.burst -= burst
    row.tokens -= tokens
    return ShareLowered(
        row.workspace, message.epoch, message.number, rate, burst, tokens
    )


@handle_peer.register
def _(message: ShareRaise, sender: str, state: State) -> None:
    if decline_change(message, state):
        return
    row = get_or_create_share(message.workspace, state)
    if not accept_epoch(message.epoch, row, state):
        return
    if message.number > row.last_number:
        refill_bucket(row, state)
        row.last_number = message.number
        row.rate += message.rate
        row.burst += message.burst
        row.tokens = min(row.burst, row.tokens + message.tokens)
    peers.send(
        sender, ShareRaised(message.workspace, message.epoch, message.number), state
    )
    admit_waiting(row, state)


@handle_peer.register
def _(message: ShareDenied, sender: str, state: State) -> None:
    row = get_or_create_share(message.workspace, state)
    if message.epoch < row.epoch:
        return
    now = state.clock.monotonic()
    row.unanswered_since = None
    row.is_denial_locked = message.is_locked
    row.denied_until = now + timedelta(milliseconds=message.retry_after_ms)
    admit_waiting(row, state)
    while row.waiting and refill_delay(row) > MAX_REFILL_WAIT:
        request, problem = row.waiting.pop().request, refusal(row, state)
        refuse_request(request, retry_after(row, state), state, problem)


def is_allocator_usable(instance: str, state: State) -> bool:
    """Return whether an instance is listed and usable, so that it can allocate."""
    row = state.instances.get(instance)
    return row is not None and membership.is_instance_usable(row, state)
