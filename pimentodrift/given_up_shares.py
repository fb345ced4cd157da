"""Gives up rate shares that are not used, and declines changes of them afterwards.

The allocator takes back the rate and tokens of a share with the final report about it.
A change that was in flight meets no share any more; another final report says so.
"""

from datetime import timedelta

from . import peers
from .clock import MILLISECOND
from .peer_messages import ShareLower, ShareRaise, ShareRenew, ShareReport
from .rate_rows import GivenUpShare, ShareRow
from .tables import State


def give_up_share(row: ShareRow, state: State) -> None:
    """Drop a share and tell the allocator."""
    del state.shares[row.workspace]
    given_up = GivenUpShare(row.epoch, row.last_number, row.admitted)
    state.given_up_shares[row.workspace] = given_up
    state.counters["rates.given_up"] += 1
    if row.epoch.number:
        send_final_report(row.workspace, given_up, state, tokens=row.tokens)


def report_no_share(message: ShareRenew, state: State) -> None:
    """Tell a new allocator that this instance has no share; decline older epochs."""
    share = state.given_up_shares.get(message.workspace, GivenUpShare())
    if message.epoch < share.epoch:
        return
    if message.epoch > share.epoch:
        share = GivenUpShare(message.epoch, admitted=share.admitted)
        state.given_up_shares[message.workspace] = share
    quiet_ms = quiet_time(share.admitted, state) // MILLISECOND
    send_final_report(message.workspace, share, state, quiet_ms=quiet_ms)


def quiet_time(admitted: int, state: State) -> timedelta:
    """Return how long this process has run without admitting anything, else 0.

    `admitted` counts the requests of a workspace that it has admitted.
    """
    if admitted:
        return timedelta(0)
    return state.clock.monotonic() - state.started_at


def send_final_report(
    workspace: str,
    share: GivenUpShare,
    state: State,
    tokens: float = 0.0,
    declined: int = 0,
    quiet_ms: int = 0,
) -> None:
    """Tell the allocator that this instance has no share any more."""
    report = ShareReport(
        workspace,
        share.epoch,
        rate=0.0,
        burst=0.0,
        tokens=tokens,
        demand=0.0,
        tokens_needed=0.0,
        number=state.new_number(),
        admitted=share.admitted,
        is_final=True,
        last_number=share.last_number,
        declined=declined,
        quiet_ms=quiet_ms,
    )
    peers.send(share.epoch.holder, report, state)


def decline_change(message: ShareLower | ShareRaise, state: State) -> bool:
    """Decline to change a share that was given up; return whether it was.

    A repetition of the message that arrives later changes nothing either. An allocator
    of another epoch may be of a build that knows no final reports.
    """
    share = state.given_up_shares.get(message.workspace)
    if share is None or message.epoch > share.epoch:
        return False
    if message.epoch == share.epoch:
        # A lower number is that of a change which was applied before.
        declined = message.number if message.number > share.last_number else 0
        share.last_number = max(share.last_number, message.number)
        send_final_report(message.workspace, share, state, declined=declined)
    return True
