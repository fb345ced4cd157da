"""Names the policies that can be switched off to measure what they are worth.

`Settings.uses` tells whether one is on. No switch affects what must always hold:
limits, leases and fences stay in force.
"""

from enum import StrEnum


class Policy(StrEnum):
    """A mechanism that is on unless the setting `disabled_policies` names it."""

    BURST_REDUCTION = "burst-reduction"  # A lowered burst is withdrawn gradually.
    CONNECTION_SHARES = "connection-shares"  # Bind while an endpoint refuses others.
    CONTACT_FENCE = "contact-fence"  # A promotion beside a silent instance is quick.
    EJECTION = "ejection"  # Endpoints whose statements fail get no reads.
    ENDPOINT_OWNERS = "endpoint-owners"  # Scarce connections belong to an owner.
    EVEN_SHARES = "even-shares"  # A part of a rate is divided evenly.
    DIVISIBLE_BURST = "divisible-burst"  # More of a burst is kept, to be divided.
    FLOOD_REFUSAL = "flood-refusal"  # In a flood, waits for tokens are bounded.
    LOCKED_GRANTS = "locked-grants"  # Tokens are granted beside a locked part.
    REFILLED_TOKENS = "refilled-tokens"  # What a restart locked has refilled.
    REST_TICKS = "rest-ticks"  # Ticks are rarer while nothing waits for one.
    SESSION_WAIT = "session-wait"  # Sessions wait for the first copies of the store.
    SHORT_IDLE_TIMEOUT = "short-idle-timeout"  # Above half of the fair share.
    STARVATION_GUARD = "starvation-guard"  # A starving workspace gets a connection.
    STEADY_CLAIMS = "steady-claims"  # Allocators are kept after a store's outage.
    TOKEN_GRANTS = "token-grants"  # Single tokens of a small burst are granted.
    TOKEN_PRIORITY = "token-priority"  # Tokens go to the highest priority first.
    WHOLE_TOKENS = "whole-tokens"  # Each share holds a token if the burst suffices.
