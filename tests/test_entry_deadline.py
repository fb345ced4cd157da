"""A request that still waits for a rate token at its deadline."""

from datetime import timedelta

from pimentodrift import routing
from pimentodrift.messages import Access, CallerAnswer, Statement
from pimentodrift.tables import PendingRequest

from .support import ManualClock, make_state


def test_rate_refusal_at_deadline_has_retry_after() -> None:
    """Guards against a rate refusal at the deadline without Retry-After."""
    state = make_state()
    pending = PendingRequest(
        1, "w", "k", "g", Access.WRITE, Statement("x"), timedelta(seconds=1)
    )
    state.pending[1] = pending
    assert isinstance(state.clock, ManualClock)
    state.clock.advance(timedelta(seconds=2))
    routing.end_overdue(pending, state)
    answers = [item for item in state.outbox if isinstance(item, CallerAnswer)]
    assert answers[0].status == 429
    assert answers[0].headers["Retry-After"]
