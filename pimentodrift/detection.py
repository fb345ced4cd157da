"""Decides when a group's primary has to be replaced, and by which watcher.

A failure is established when two watchers have seen it for long enough, so that the
broken link of one instance causes no failover. The holder of the lowest reserved term
starts the failover; the others start one at intervals until there is a new term.
"""

from datetime import timedelta

from . import peers
from .clock import MILLISECOND
from .dispatch import handle_peer
from .failover_rows import ProbeRow
from .membership import group_endpoints, is_instance_usable, owns, track_contact
from .peer_messages import GroupChanged, ProbeQuery, ProbeReport
from .reservations import own_term
from .tables import GroupRow, Presence, State

# A silent primary may only have stalled, and a failover interrupts writes as well.
MIN_SILENCE = timedelta(milliseconds=800)
# The limit is shorter if the primary's machine refuses connections: then no database
# process runs, and a restart takes longer.
MIN_REFUSAL = timedelta(milliseconds=150)
# Watchers are asked early, so that they have reported when the limits above are met.
QUERY_AFTER = timedelta(milliseconds=100)
QUERY_INTERVAL = timedelta(milliseconds=60)
# A report counts for two query intervals and a round trip between regions.
REPORT_LIFETIME = timedelta(milliseconds=300)
# An attempt takes at most 100 ms to fence and 1.5 s to promote.
MAX_ATTEMPT_TIME = timedelta(seconds=2)
# Time between the turns of two instances to start the same group's failover.
TAKEOVER_INTERVAL = timedelta(milliseconds=1500)


def run(state: State) -> None:
    """Ask other watchers about failing primaries; note which failovers are due."""
    for name in state.watched:
        probe = state.probes.get(name)
        if probe is None or probe.term != state.groups[name].term:
            state.probes.pop(name, None)  # The next reading creates a new row.
            continue
        ahead = endpoint_ahead_duration(name, state)
        if max(failure_duration(probe, state), ahead) >= QUERY_AFTER:
            query_watchers(probe, state)
        if (
            is_leaving(name, state)
            or ahead >= MAX_ATTEMPT_TIME
            or is_failure_established(probe, state)
        ):
            if probe.established_at is None:
                probe.established_at = state.clock.monotonic()
        else:
            probe.established_at = None


def failure_duration(probe: ProbeRow, state: State) -> timedelta:
    """Return how long the primary has failed for this instance."""
    if probe.failing_since is None:
        return timedelta(0)
    return state.clock.monotonic() - probe.failing_since


def has_failed_long_enough(probe: ProbeRow, state: State) -> bool:
    """Return whether this instance has seen the primary fail for long enough."""
    now = state.clock.monotonic()
    if probe.refused_since is not None and now - probe.refused_since >= MIN_REFUSAL:
        return True
    return failure_duration(probe, state) >= MIN_SILENCE


def endpoint_ahead_duration(group: str, state: State) -> timedelta:
    """Return how long an owned endpoint has had a higher term than the group.

    An abandoned attempt leaves endpoints fenced for its term. They cannot return to the
    group's lower term, and without them the group may lack a majority.
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


def query_watchers(probe: ProbeRow, state: State) -> None:
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
    if not has_failed_long_enough(probe, state):
        return False
    return len(state.instances) == 1 or any(
        is_confirmed_by(name, probe, state) for name in probe.reports
    )


def is_confirmed_by(name: str, probe: ProbeRow, state: State) -> bool:
    """Return whether an instance has recently reported a lasting failure."""
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
    return waited >= takeover_rank(state.groups[probe.group], state) * TAKEOVER_INTERVAL


def takeover_rank(group: GroupRow, state: State) -> int:
    """Return how many instances may start a failover before this one."""
    own = state.settings.name
    holders = reservation_holders(group, state)
    if own in holders:
        return holders.index(own)
    others = [name for name in state.watched[group.name] if name not in holders]
    return len(holders) + (others.index(own) if own in others else len(others))


def reservation_holders(group: GroupRow, state: State) -> list[str]:
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
    failing = failure_duration(probe, state) // MILLISECOND
    lasts = has_failed_long_enough(probe, state)
    report = ProbeReport(message.group, message.term, failing, lasts)
    peers.send(sender, report, state)


@handle_peer.register
def _(message: ProbeReport, sender: str, state: State) -> None:
    probe = state.probes.get(message.group)
    if probe is not None and probe.term == message.term:
        probe.reports[sender] = (state.clock.monotonic(), message.lasts)
