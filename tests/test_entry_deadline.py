"""A request that is still without a token at its deadline."""

from datetime import timedelta

from pimentodrift import routing
from pimentodrift.messages import Access, CallerAnswer, Statement
from pimentodrift.tables import PendingRequest

from .support import ManualClock, make_state


def test_late_refusal_tells_when_to_come_back() -> None:
    """Guards against a refusal at the deadline without a time to come back."""
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
