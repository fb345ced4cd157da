"""Pings the contacts of this instance and suspects those that do not answer.

`Pong` carries what the sender read from the endpoints that it owns, so that routing
and failover work with recent positions without further messages.
"""

from datetime import timedelta

from .clock import CLOCK_DRIFT_FACTOR, MILLISECOND, NEVER
from .dispatch import handle, handle_peer
from .failover_rows import ContactRow
from .fencing import contact
from .fencing.decisions import CONTACT_LEASE
from .membership import (
    has_refused_since,
    instances_with_heartbeat,
    is_instance_usable,
    own_removal,
    owned_endpoints,
    recheck_unusable,
    record_heartbeat,
    record_known_removal,
    suspect,
    track_contact,
)
from .messages import ClosePeer, SendPeer
from .notices import InstanceDown, PeerUnreachable
from .peer_messages import EndpointSample, Hello, Ping, Pong
from .rejoining import is_readable
from .tables import EndpointRow, InstanceRow, Presence, State

# A suspected instance is pinged less often, until it is no longer listed.
SUSPECTED_PING_INTERVAL = timedelta(seconds=1)
# From the stop timeout until messages of the process that has stopped are not expected.
STOP_MARGIN = timedelta(seconds=1)
MAX_UNANSWERED = 3  # Pings; a contact that answers none of them is suspected.
SMALL_FLEET = 16  # Instances; up to this number, all are contacts.
# A contact is no longer pinged after this time without use.
CONTACT_LIFETIME = timedelta(seconds=10)
# Older samples of endpoints are left out of a `Pong`: they are of no use to its
# receiver.
MAX_SAMPLE_AGE = timedelta(seconds=10)


def run(state: State) -> None:
    """Send the heartbeats that are due."""
    refresh_contacts(state)
    now = state.clock.monotonic()
    if now < state.pings_due_at:
        return
    state.pings_due_at = now + state.settings.heartbeat_interval
    for row in list(state.contacts.values()):
        instance = state.instances.get(row.name)
        if instance is None or is_unused(row, instance, now):
            del state.contacts[row.name]
            continue
        if now - row.pinged_at >= ping_interval(instance, state):
            check_contact(row, state)
        due_at = row.pinged_at + ping_interval(instance, state)
        state.pings_due_at = min(state.pings_due_at, due_at)


def refresh_contacts(state: State) -> None:
    """Make all instances contacts while the fleet is small.

    A majority of the contacts decides whether the store is down.
    """
    now = state.clock.monotonic()
    if (
        len(state.instances) > SMALL_FLEET
        or now - state.contacts_at < state.settings.heartbeat_interval
    ):
        return
    state.contacts_at = now
    for name in state.instances:
        track_contact(name, state)


def ping_interval(instance: InstanceRow, state: State) -> timedelta:
    """Return the time between two pings."""
    suspected = instance.suspected_number is not None
    return SUSPECTED_PING_INTERVAL if suspected else state.settings.heartbeat_interval


def is_unused(row: ContactRow, instance: InstanceRow, now: timedelta) -> bool:
    """Return whether a contact can be forgotten.

    A suspected instance is kept, because only its answer makes it usable again, and so
    is one that leaves.
    """
    if instance.suspected_number is not None or instance.left_at is not None:
        return False
    return now - row.used_at > CONTACT_LIFETIME


def check_contact(row: ContactRow, state: State) -> None:
    """Ping a contact, or suspect it when too many pings had no answer."""
    instance = state.instances[row.name]
    if row.unanswered >= MAX_UNANSWERED and instance.suspected_number is None:
        row.unanswered = 0
        state.counters["heartbeats.instances_lost"] += 1
        state.outbox.append(ClosePeer(row.name))
        suspect(row.name, state)
        handle(InstanceDown(row.name, frozenset()), state)
        handle(PeerUnreachable(row.name), state)
        return
    row.unanswered += 1
    now = row.pinged_at = state.clock.monotonic()
    state.counters["heartbeats.pings"] += 1
    number = state.new_number()
    for old in [key for key, at in row.pings_sent.items() if now - at > CONTACT_LEASE]:
        del row.pings_sent[old]
    row.pings_sent[number] = now
    send_heartbeat(instance, Ping(number, own_removal(state)), state)


def record_sign_of_life(instance: InstanceRow, state: State) -> None:
    """Record a heartbeat; ping at once if only an answer is missing to use its sender.

    Instances that start one after the other find the later ones refusing connections.
    """
    record_heartbeat(instance, state)
    end_leaving(instance, state)
    if instance.suspected_number is None:
        return
    if instance.suspected_until > state.clock.monotonic():
        return
    contact_row = state.contacts.get(instance.name)
    if contact_row is not None:
        contact_row.pinged_at = state.pings_due_at = NEVER
    else:
        # One ping is enough; as a contact it would be pinged for seconds.
        send_heartbeat(instance, Ping(state.new_number()), state)


def end_leaving(instance: InstanceRow, state: State) -> None:
    """Use an instance again whose next process was heard after a graceful shutdown.

    The process that announced it still answers until it ends, which it has done once it
    refused a connection or its stop has timed out.
    """
    left_at = instance.left_at
    if left_at is None:
        return
    waited = state.clock.monotonic() - left_at
    is_over = waited > state.settings.stop_timeout + STOP_MARGIN
    if not is_over and not has_refused_since(instance.name, left_at, state):
        return
    instance.presence, instance.left_at = Presence.LIVE, None
    recheck_unusable(state)
    state.events.append(("instance_returned", {"peer": instance.name}))


def send_heartbeat(instance: InstanceRow, message: Ping | Pong, state: State) -> None:
    """Send a heartbeat, which does not count as a use of the contact."""
    state.outbox.append(SendPeer(instance.name, instance.address, message))


@handle_peer.register
def _(message: Hello, sender: str, state: State) -> None:
    instance = state.instances.get(sender)
    if instance is not None:
        record_sign_of_life(instance, state)


@handle_peer.register
def _(message: Ping, sender: str, state: State) -> None:
    now = state.clock.monotonic()
    instance = state.instances.get(sender)
    if instance is None:
        record_known_removal(sender, message.removal, state)
        return
    record_sign_of_life(instance, state)
    store_age = (now - state.view.confirmed_at) // MILLISECOND
    pong = Pong(
        message.number,
        store_age,
        owned_samples(state),
        contact.known_decisions(state),
        uptime_ms=max(1, (now - state.started_at) // MILLISECOND),
    )
    send_heartbeat(instance, pong, state)


def owned_samples(state: State) -> tuple[EndpointSample, ...]:
    """Return samples of the endpoints that this instance owns."""
    rows = (row for row in owned_endpoints(state) if has_sample(row, state))
    return tuple(endpoint_sample(row, state) for row in rows)


def has_sample(row: EndpointRow, state: State) -> bool:
    """Return whether an endpoint was read recently and may be used for reads."""
    age = state.clock.monotonic() - row.sampled_at
    return age <= MAX_SAMPLE_AGE and is_readable(row, state)


def endpoint_sample(row: EndpointRow, state: State) -> EndpointSample:
    """Return the last reading of an endpoint with its age."""
    age = (state.clock.monotonic() - row.sampled_at) // MILLISECOND
    return EndpointSample(row.name, row.is_primary, row.position, age)


@handle_peer.register
def _(message: Pong, sender: str, state: State) -> None:
    instance = state.instances.get(sender)
    if instance is None:
        return
    now = state.clock.monotonic()
    record_heartbeat(instance, state)
    end_leaving(instance, state)
    instance.store_age = message.store_age_ms * MILLISECOND
    instance.store_seen_at = now - instance.store_age
    contact_row = state.contacts.get(sender)
    if contact_row is not None:
        contact_row.unanswered = 0
        record_start(instance, contact_row, message)
        contact.record_answer(contact_row, message)
    end_suspicion(instance, message.number, state)
    for received in message.samples:
        apply_sample(received, now - received.age_ms * MILLISECOND, state)


def record_start(instance: InstanceRow, contact_row: ContactRow, pong: Pong) -> None:
    """Record when an instance's process started, at the earliest.

    The answer may be late, so its age counts from the sending of the ping.
    """
    sent_at = contact_row.pings_sent.get(pong.number)
    if sent_at is not None and pong.uptime_ms:
        uptime = pong.uptime_ms * MILLISECOND * CLOCK_DRIFT_FACTOR
        instance.started_after = max(instance.started_after, sent_at - uptime)


def end_suspicion(instance: InstanceRow, number: int, state: State) -> None:
    """End a suspicion if the instance answered a ping sent after it began.

    An answer to an earlier process of this instance may have a higher number.
    """
    suspected = instance.suspected_number
    if suspected is None or not suspected < number <= state.next_number:
        return
    instance.suspected_number = None
    state.pings_due_at = NEVER  # It is pinged more often again.
    recheck_unusable(state)
    state.events.append(("instance_answers", {"peer": instance.name}))


def apply_sample(received: EndpointSample, read_at: timedelta, state: State) -> None:
    """Apply a received reading unless a newer one is known."""
    row = state.endpoints.get(received.endpoint)
    if row is None or read_at <= row.sampled_at:
        return
    row.position = received.position
    row.is_primary = received.is_primary
    row.sampled_at = read_at


def broadcast_targets(state: State) -> set[str]:
    """Return the instances that are told about changes at once.

    They are the contacts and the usable instances with a recent heartbeat.
    """
    now = state.clock.monotonic()
    names = set(state.contacts)
    names |= {
        row.name
        for row in instances_with_heartbeat(state)
        if is_instance_usable(row, state) and now - row.last_heard <= CONTACT_LIFETIME
    }
    return names - {state.settings.name}
