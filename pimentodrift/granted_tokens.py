"""Counts tokens as held by the share that granted them until they are spent.

Another instance spends a granted token a little later or discards it. Until then the
share's bucket refills only up to its burst less these tokens, and keeps burst for them,
so buckets and grants together never exceed the burst of all shares.
"""

from datetime import timedelta

from .peer_messages import ShareLower
from .rate_rows import ShareRow
from .tables import State

# Time without grants in which a repeated `ShareLower` arrives: longer than the interval
# of the repetitions.
GRANT_PAUSE = timedelta(milliseconds=500)


def refill_until(time: timedelta, row: ShareRow) -> None:
    """Add the tokens up to a time; granted ones that may be unspent count as held."""
    elapsed = (time - row.refilled_at).total_seconds()
    row.refilled_at = time
    limit = row.burst - outstanding_tokens(row)
    row.tokens = min(max(0.0, limit), row.tokens + row.rate * elapsed)


def outstanding_tokens(row: ShareRow) -> int:
    """Return how many tokens were granted that other instances may still spend."""
    return sum(tokens for _, tokens in row.outstanding)


def must_defer(message: ShareLower, row: ShareRow, state: State) -> bool:
    """Return whether burst has to stay because it covers tokens that others may spend.

    The allocator repeats the message; until then, this instance grants no more tokens.
    """
    outstanding = outstanding_tokens(row)
    if not outstanding or row.burst - message.burst >= outstanding:
        return False
    row.grants_after = state.clock.monotonic() + GRANT_PAUSE
    return True
