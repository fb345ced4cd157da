"""A holder's share of each workspace's rate: buckets, waiting requests, reports.

The shares of all instances together never exceed the workspace's rate and burst: the
allocator (module `allocation`) adds to one share only what another gave up, and
tokens move with the burst that may hold them. So any window of time admits at most
burst + rate x window, and no clock has to agree with another.

A share is in force while the allocator has recently renewed it. The lease counts from
the sending of the report that was answered, on the holder's own clock.
"""

from datetime import timedelta

from . import membership, peers, view
from .dispatch import handle, handle_peer
from .errors import Problem, not_run
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
from .rate_rows import ShareRow, WaitingRequest
from .tables import State

LEASE = timedelta(seconds=2)
REPORT_INTERVAL = timedelta(milliseconds=500)
# While requests wait, the allocator hears of it without waiting for the interval.
URGENT_INTERVAL = timedelta(milliseconds=40)
DEMAND_WINDOW = timedelta(milliseconds=500)
DEMAND_STEP = timedelta(milliseconds=100)
# A request waits this long for its own share to refill.
REFILL_WAIT = timedelta(milliseconds=250)
# And this long for an allocator that does not answer, because a new one may be coming.
ALLOCATOR_WAIT = timedelta(milliseconds=1500)
MIN_REFILL = 1e-6  # Requests/s; less is what rounding leaves of a rate given up.
ROUNDING = 1e-9  # By so much, sums of floating-point shares may miss a token.
WHOLE_TOKEN = 1 - ROUNDING


def get_or_create_share(workspace: str, state: State) -> ShareRow:
    """Return the workspace's share, an empty one at first."""
    row = state.shares.get(workspace)
    if row is None:
        now = state.clock.monotonic()
        row = ShareRow(workspace, refilled_at=now, measured_at=now, report_at=now)
        state.shares[workspace] = row
    return row


def refill(row: ShareRow, state: State) -> None:
    """Add the tokens of the time since the last refill, up to the burst."""
    now = state.clock.monotonic()
    elapsed = (now - row.refilled_at).total_seconds()
    row.refilled_at = now
    row.tokens = min(row.burst, row.tokens + row.rate * elapsed)


def in_force(row: ShareRow, state: State) -> bool:
    """Return whether the share may be used: its lease holds, or the store is down.

    Nobody can become the allocator during an outage, so nobody reclaims shares.
    """
    if state.clock.monotonic() - row.renewed_at <= LEASE:
        return True
    return row.epoch.number > 0 and view.is_store_outage(state)


def spend(row: ShareRow, state: State) -> bool:
    """Take a token if the share is in force and has one."""
    refill(row, state)
    if row.tokens < WHOLE_TOKEN or not in_force(row, state):
        return False
    row.tokens = max(0.0, row.tokens - 1)
    count_admitted(row, state)
    return True


def count_admitted(row: ShareRow, state: State) -> None:
    """Count a request that is admitted."""
    row.admitted += 1
    state.counters["rates.admitted"] += 1


def take_token(workspace: str, state: State) -> bool:
    """Take a token of the workspace's local share if there is one."""
    row = get_or_create_share(workspace, state)
    row.arrivals += 1
    return not row.waiting and spend(row, state)


def queue_for_token(
    workspace: str, request: int, deadline: timedelta, state: State
) -> None:
    """Queue a request for a token; it ends with `Admitted` or `Refused`."""
    row = get_or_create_share(workspace, state)
    now = state.clock.monotonic()
    row.waiting.append(WaitingRequest(request, now, deadline))
    if now < row.denied_until and refill_time(row) > REFILL_WAIT:
        row.waiting.pop()
        refuse(request, row.denied_until - now, state)
        return
    row.report_at = min(row.report_at, now)
    serve(row, state)


def refill_time(row: ShareRow) -> timedelta:
    """Return when the last waiting request gets a token without the allocator."""
    missing = len(row.waiting) - row.tokens
    if missing <= 0:
        return timedelta(0)
    if row.rate < MIN_REFILL or row.burst < WHOLE_TOKEN:
        return timedelta(days=1)
    return timedelta(seconds=missing / row.rate)


def cancel_waiting(workspace: str, request: int, state: State) -> None:
    """Drop a waiting request whose caller has gone."""
    row = get_or_create_share(workspace, state)
    for waiting in row.waiting:
        if waiting.request == request:
            row.waiting.remove(waiting)
            return


def refuse(request: int, retry_after: timedelta, state: State) -> None:
    """End a request that its workspace's rate does not admit."""
    state.counters["rates.refused"] += 1
    failure = not_run(Problem.RATE_EXCEEDED, retry_after=retry_after)
    handle(Refused(request, failure), state)


def serve(row: ShareRow, state: State) -> None:
    """Admit waiting requests in their order while there are tokens."""
    while row.waiting and spend(row, state):
        handle(Admitted(row.waiting.popleft().request), state)


def spend_grant(row: ShareRow, tokens: int, state: State) -> None:
    """Admit as many waiting requests as tokens were granted; drop what is left."""
    for _ in range(min(tokens, len(row.waiting))):
        count_admitted(row, state)
        handle(Admitted(row.waiting.popleft().request), state)


def expire(row: ShareRow, state: State) -> None:
    """Refuse requests that waited as long as they may."""
    now = state.clock.monotonic()
    while row.waiting:
        first = row.waiting[0]
        if now < min(first.deadline, first.since + ALLOCATOR_WAIT):
            return
        row.waiting.popleft()
        refuse(first.request, retry_after(row, state), state)


def retry_after(row: ShareRow, state: State) -> timedelta:
    """Return when a refused caller may expect a token.

    A share without a rate of its own gets tokens when the allocator's denial ends.
    """
    wait = refill_time(row)
    if row.rate < MIN_REFILL:
        wait = row.denied_until - state.clock.monotonic()
    return max(timedelta(seconds=1), min(wait, timedelta(seconds=60)))


def measure(row: ShareRow, state: State) -> None:
    """Update the moving average of the demand."""
    now = state.clock.monotonic()
    elapsed = now - row.measured_at
    current = row.arrivals / elapsed.total_seconds()
    weight = min(1.0, elapsed / DEMAND_WINDOW)
    row.demand += (current - row.demand) * weight
    row.arrivals = 0
    row.measured_at = now


def allocator_of(row: ShareRow, state: State) -> Epoch | None:
    """Return the newest epoch known, from the store or from an allocator."""
    item = state.view.objects.get(("allocator", row.workspace))
    if item is None or item.value is None:
        return row.epoch if row.epoch.number else None
    stored = Epoch(int(item.value["epoch"]), str(item.value["holder"]))
    return max(stored, row.epoch)


def report(row: ShareRow, state: State) -> None:
    """Tell the allocator what this instance holds and needs."""
    now = state.clock.monotonic()
    row.report_at = now + (URGENT_INTERVAL if row.waiting else REPORT_INTERVAL)
    epoch = allocator_of(row, state)
    if epoch is None:
        return
    refill(row, state)
    number = state.new_number()
    for old in [key for key, at in row.reports_sent.items() if now - at > LEASE]:
        del row.reports_sent[old]
    row.reports_sent[number] = now
    target = recipient(epoch.holder, row, state)
    membership.track_contact(target, state)  # Its silence is noticed by heartbeats.
    peers.send(target, make_report(row, number), state)


def recipient(holder: str, row: ShareRow, state: State) -> str:
    """Return who gets a report: the allocator, or its successor when it is down.

    In a larger fleet, the successor may have had no stream to the allocator and hears
    of its end in this way.
    """
    if holds_all(state) or is_usable(holder, state):
        return holder
    successor = membership.first_usable(f"allocator/{row.workspace}", "", state)
    return holder if successor is None else successor.name


def make_report(row: ShareRow, number: int) -> ShareReport:
    """Return the report of a share."""
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
    )


def run(state: State) -> None:
    """Refill buckets, admit waiting requests and report to the allocators."""
    workspaces = state.configuration.workspaces
    if holds_all(state):
        for workspace in workspaces:
            get_or_create_share(workspace, state)
    now = state.clock.monotonic()
    for row in list(state.shares.values()):
        if row.workspace in workspaces:
            if row.waiting:
                serve(row, state)
                expire(row, state)
            if now - row.measured_at >= DEMAND_STEP:
                measure(row, state)
            if now >= row.report_at:
                report(row, state)
            continue
        for waiting in state.shares.pop(row.workspace).waiting:
            refuse(waiting.request, timedelta(seconds=1), state)


def holds_all(state: State) -> bool:
    """Return whether this instance has a share of every workspace.

    In a larger fleet, it has those of the workspaces whose requests it has received or
    that it allocates: 2,300 shares in each of 5,800 instances would take 1.2 MB/s of
    reports and leave no holder a whole request of burst.
    """
    return len(state.instances) <= view.SMALL_FLEET


def accept(epoch: Epoch, row: ShareRow, state: State) -> bool:
    """Return whether an allocator's message counts; follow a newer epoch."""
    if epoch < row.epoch:
        return False
    if epoch > row.epoch:
        row.epoch = epoch
        row.last_number = 0
        row.last_lowered = None
        # The new allocator needs the report before it may change this share.
        row.report_at = state.clock.monotonic()
    return True


@handle_peer.register
def _(message: ShareRenew, sender: str, state: State) -> None:
    is_other = sender != state.settings.name
    if message.workspace not in state.shares and is_other and not holds_all(state):
        return  # A first report will bind this instance to the epoch.
    row = get_or_create_share(message.workspace, state)
    if not accept(message.epoch, row, state):
        return
    sent_at = row.reports_sent.get(message.number)
    if sent_at is not None:
        row.renewed_at = max(row.renewed_at, sent_at)
        serve(row, state)


@handle_peer.register
def _(message: ShareLower, sender: str, state: State) -> None:
    row = get_or_create_share(message.workspace, state)
    if not accept(message.epoch, row, state):
        return
    if message.number > row.last_number:
        refill(row, state)
        row.last_number = message.number
        row.last_lowered = lower(row, message)
    if row.last_lowered is not None and row.last_lowered.number == message.number:
        peers.send(sender, row.last_lowered, state)


def lower(row: ShareRow, message: ShareLower) -> ShareLowered:
    """Give up parts of the share, with the tokens that its burst holds."""
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
    row = get_or_create_share(message.workspace, state)
    if not accept(message.epoch, row, state):
        return
    if message.number > row.last_number:
        refill(row, state)
        row.last_number = message.number
        row.rate += message.rate
        row.burst += message.burst
        row.tokens = min(row.burst, row.tokens + message.tokens)
    peers.send(
        sender, ShareRaised(message.workspace, message.epoch, message.number), state
    )
    serve(row, state)


@handle_peer.register
def _(message: ShareDenied, sender: str, state: State) -> None:
    row = get_or_create_share(message.workspace, state)
    if message.epoch < row.epoch:
        return
    now = state.clock.monotonic()
    row.denied_until = now + timedelta(milliseconds=message.retry_after_ms)
    serve(row, state)
    while row.waiting and refill_time(row) > REFILL_WAIT:
        refuse(row.waiting.pop().request, retry_after(row, state), state)


def is_usable(instance: str, state: State) -> bool:
    """Return whether an instance may hold shares."""
    row = state.instances.get(instance)
    return row is not None and membership.is_instance_usable(row, state)
