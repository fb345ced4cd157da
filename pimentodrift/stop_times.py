"""Decides what an instance still accepts while it stops, so that no request is cut.

The answered load: while most instances of a data centre are out of rotation, the load
balancer goes on sending new clients to those that stop.
"""

from datetime import timedelta

from .session_messages import Fault, Refusal
from .settings import Settings
from .tables import State

# The load balancer checks readiness once a second and removes an instance after two
# failed checks.
UNLISTED_AFTER = timedelta(milliseconds=2600)
# Part of the stop timeout in which open transactions may complete by default.
TRANSACTION_FRACTION = 0.5
# Part of the stop timeout after which no new work is accepted. The rest is longer than
# nearly all statements take.
ACCEPTANCE_FRACTION = 0.8
# The load balancer sends a client that retries to another instance.
RETRY_AFTER = timedelta(milliseconds=100)
STOPPED = Refusal(Fault.OVERLOADED, "this instance stops", RETRY_AFTER)


def transaction_timeout(settings: Settings) -> timedelta:
    """Return how long open transactions may go on once a stop has begun."""
    default = TRANSACTION_FRACTION * settings.stop_timeout
    return settings.stop_transaction_timeout or default


def accepts_work(state: State) -> bool:
    """Return whether new sessions, statements and transactions may begin."""
    if state.stop_requested_at is None:
        return True
    waited = state.clock.monotonic() - state.stop_requested_at
    return waited < ACCEPTANCE_FRACTION * state.settings.stop_timeout
