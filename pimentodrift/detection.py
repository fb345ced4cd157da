"""Decides when a group's primary has to be replaced, and by which watcher.

A failure counts when two watchers have seen it for long enough, so that one
instance's broken link is no reason. The holder of the lowest reserved term goes first;
the others follow at intervals while there is no new term.
"""

from datetime import timedelta

from . import peers
from .dispatch import handle_peer
from .failover_rows import ProbeRow
from .membership import group_endpoints, is_instance_usable, owns, track_contact
from .peer_messages import GroupChanged, ProbeQuery, ProbeReport
from .reservations import own_term
from .tables import GroupRow, Presence, State

MILLISECOND = timedelta(milliseconds=1)
# A silent primary may be back after a stall, and its replacement has a price too.
MIN_SILENCE = timedelta(milliseconds=800)
# A machine that refuses connections has no database process; a restart takes longer.
MIN_REFUSAL = timedelta(milliseconds=150)
# Questions go out early, so that the reports are there when the failure is established.
QUERY_AFTER = timedelta(milliseconds=100)
QUERY_INTERVAL = timedelta(milliseconds=60)
# Two intervals and a round trip between regions.
REPORT_LIFETIME = timedelta(milliseconds=300)
# An attempt lasts at most 100 ms of fencing and 1.5 s of promoting.
MAX_ATTEMPT_TIME = timedelta(seconds=2)
TAKEOVER_INTERVAL = timedelta(milliseconds=1500)


def run(state: State) -> None:
    """Ask the other watchers about failing primaries."""
    for name in state.watched:
        probe = state.probes.get(name)
        if probe is None or probe.term != state.groups[name].term:
            state.probes.pop(name, None)  # The next reading begins anew.
            continue
        ahead = endpoint_ahead_for(name, state)
        if max(failing_for(probe, state), ahead) >= QUERY_AFTER:
            query(probe, state)
        if (
            is_leaving(name, state)
            or ahead >= MAX_ATTEMPT_TIME
            or is_failure_established(probe, state)
        ):
            if probe.established_at is None:
                probe.established_at = state.clock.monotonic()
        else:
            probe.established_at = None


def failing_for(probe: ProbeRow, state: State) -> timedelta:
    """Return how long the primary has failed for this instance."""
    if probe.failing_since is None:
        return timedelta(0)
    return state.clock.monotonic() - probe.failing_since


def fails_for_long(probe: ProbeRow, state: State) -> bool:
    """Return whether this instance has seen the primary fail for long enough."""
    now = state.clock.monotonic()
    if probe.refused_since is not None and now - probe.refused_since >= MIN_REFUSAL:
        return True
    return failing_for(probe, state) >= MIN_SILENCE


def endpoint_ahead_for(group: str, state: State) -> timedelta:
    """Return how long an owned endpoint has had a higher term than the group.

    An attempt that was given up leaves endpoints fenced; they cannot return to the
    group's term, and without them a majority may be missing.
    """
    now = state.clock.monotonic()
    times = [timedelta(0)]
    for row in state.rejoins.values():
        if row.ahead_since is None:
            continue
        endpoint = state.endpoints.get(row.endpoint)
        if endpoint is not None and endpoint.group == group and owns(endpoint, state):
            times.append(now - row.ahead_since)
    return max(times)


def query(probe: ProbeRow, state: State) -> None:
    """Ask the other watchers whether the primary fails for them too."""
    now = state.clock.monotonic()
    if now - probe.queried_at < QUERY_INTERVAL:
        return
    probe.queried_at = now
    for name in state.watched[probe.group]:
        if name != state.settings.name:
            track_contact(name, state)
            peers.send(name, ProbeQuery(probe.group, probe.term), state)


def is_failure_established(probe: ProbeRow, state: State) -> bool:
    """Return whether enough instances have seen the primary fail for long enough."""
    if not fails_for_long(probe, state):
        return False
    return len(state.instances) == 1 or any(
        is_witness(name, probe, state) for name in probe.reports
    )


def is_witness(name: str, probe: ProbeRow, state: State) -> bool:
    """Return whether another instance reported the failure recently."""
    reported_at, lasts = probe.reports[name]
    return lasts and state.clock.monotonic() - reported_at <= REPORT_LIFETIME


def is_leaving(group: str, state: State) -> bool:
    """Return whether the primary is leaving and another endpoint can take over."""
    primary = state.endpoints.get(state.groups[group].primary)
    if primary is None or primary.presence is not Presence.LEAVING:
        return False
    rows = group_endpoints(group, state)
    return any(row.presence is Presence.LIVE for row in rows)


def is_own_turn(probe: ProbeRow, state: State) -> bool:
    """Return whether this instance may start to replace the primary now."""
    now = state.clock.monotonic()
    if probe.established_at is None or now < probe.retry_at:
        return False
    waited = now - probe.established_at
    return waited >= rank(state.groups[probe.group], state) * TAKEOVER_INTERVAL


def rank(group: GroupRow, state: State) -> int:
    """Return how many instances go before this one."""
    own = state.settings.name
    holders = holders_in_order(group, state)
    if own in holders:
        return holders.index(own)
    others = [name for name in state.watched[group.name] if name not in holders]
    return len(holders) + (others.index(own) if own in others else len(others))


def holders_in_order(group: GroupRow, state: State) -> list[str]:
    """Return the usable holders of unused reserved terms, the lowest term first."""
    own = state.settings.name
    holders = [
        (term, name)
        for name, term in group.reservations.items()
        if term > group.term and name in state.instances
        if is_instance_usable(state.instances[name], state)
        if name != own or own_term(group, state) is not None
    ]
    return [name for _, name in sorted(holders)]


@handle_peer.register
def _(message: ProbeQuery, sender: str, state: State) -> None:
    group = state.groups.get(message.group)
    if group is None:
        return
    if group.term > message.term:
        answer = GroupChanged(group.name, group.term, group.primary, group.term_starts)
        peers.send(sender, answer, state)
        return
    probe = state.probes.get(message.group)
    if probe is None or probe.term != message.term:
        return
    failing = failing_for(probe, state) // MILLISECOND
    lasts = fails_for_long(probe, state)
    report = ProbeReport(message.group, message.term, failing, lasts)
    peers.send(sender, report, state)


@handle_peer.register
def _(message: ProbeReport, sender: str, state: State) -> None:
    probe = state.probes.get(message.group)
    if probe is not None and probe.term == message.term:
        probe.reports[sender] = (state.clock.monotonic(), message.lasts)
