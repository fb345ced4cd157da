"""The instance's copy of the store's objects, kept current by a watch or a relay.

An object is replaced only by a higher version of it, so an old update that arrives
late changes nothing. Two instances of each data centre, the relays, watch the store;
the others subscribe to a relay, so that the number of calls to the store does not grow
with the fleet. An instance without a reachable relay watches the store itself. An
instance that starts during an outage of the store subscribes to the seed addresses in
its settings.

The age of the copy counts from the moment a watch or subscription was sent, never from
the arrival of its answer, because an answer may have waited in a network buffer.
"""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from attrs import evolve

from . import (
    configuration,
    kind_rows,
    membership,
    peers,
    relay_versions,
    store_eras,
)
from .clock import MILLISECOND
from .configuration_relay import sending
from .dispatch import handle, handle_peer
from .evacuation import tracking
from .log_events import ObjectUnreadable
from .messages import ObjectsReceived, SendPeer, StoreObject, WatchStore
from .notices import ConfigurationRelayed, EvacuationsRelayed, RegistryRelayed
from .peer_messages import Subscribe, ViewUpdate
from .rendezvous import newest_version
from .stored_forms import malformation
from .tables import InstanceRow, State, SubscriberRow

# The default of the setting `configuration_lease`: an instance whose copy is older
# refuses requests with a key, except during an outage of the store.
DEFAULT_CONFIGURATION_LEASE = timedelta(milliseconds=3500)
# A peer whose copy is older counts as cut off from the store. The limit is lower than
# DEFAULT_CONFIGURATION_LEASE because the ages of two instances that lose the store
# together differ by up to 1.5 s.
PEER_CONFIGURATION_LEASE = timedelta(seconds=2)
# A peer from which nothing has arrived for longer counts as unreachable.
PEER_TIMEOUT = timedelta(seconds=2)
# A watch returns at least this often, which confirms that the copy is current.
WATCH_WAIT = timedelta(seconds=1)
WATCH_BACKOFF_BASE = timedelta(milliseconds=200)
WATCH_BACKOFF_MAX = timedelta(seconds=2)
SUBSCRIBE_INTERVAL = timedelta(milliseconds=500)
RELAY_TIMEOUT = timedelta(milliseconds=1500)
SUBSCRIBER_TIMEOUT = timedelta(seconds=5)
RELAYS_PER_DATA_CENTRE = 2
# A configuration piece may have 1 MB and is sent in a message of its own; other objects
# have a few hundred bytes. So every message stays below the stream's limit of 4 MiB.
ITEMS_PER_UPDATE = 256
# In a fleet of up to this size, all listed instances count for a majority; in a larger
# one, only those that exchange heartbeats with this instance.
SMALL_FLEET = 16


def apply(
    items: Iterable[StoreObject],
    state: State,
    confirmed_before: timedelta | None = None,
) -> list[StoreObject]:
    """Add the objects that are newer than the copy's; return the added ones.

    At `confirmed_before`, the copy was current without them; by default, when it was
    last confirmed.
    """
    changed = []
    for item in items:
        key = (item.kind, item.name)
        known = state.view.objects.get(key)
        if known is not None and known.version >= item.version:
            continue
        state.view.objects[key] = usable_form(item, state)
        changed.append(state.view.objects[key])
    for item in changed:
        membership.apply(item, state)
    if confirmed_before is None:
        confirmed_before = state.view.confirmed_at
    tracking.update_from_objects(changed, confirmed_before, state)
    if changed:
        configuration.apply_newest_manifest(state)
        # While the objects are listed anew, each one would be an update of its own.
        if kind_rows.is_own_kind_listed(state):
            push_updates(state)
    return changed


def usable_form(item: StoreObject, state: State) -> StoreObject:
    """Return an object, or the mark of its deletion if its form is not usable."""
    detail = malformation(item)
    if detail is None:
        return item
    state.counters["store.unreadable.own"] += 1
    name = f"{item.kind}.{item.name}"
    state.log_event(ObjectUnreadable("own", name, item.version, detail))
    return evolve(item, value=None)


def copy_age(state: State) -> timedelta:
    """Return the time since the copy was last known to be current."""
    return state.clock.monotonic() - state.view.confirmed_at


def is_copy_fresh(state: State) -> bool:
    """Return whether the copy was confirmed within the configuration lease."""
    return copy_age(state) <= state.settings.configuration_lease


def quorum_peers(state: State) -> list[InstanceRow]:
    """Return the other instances that count for a majority.

    In a small fleet these are all listed ones, in a larger one those from which a
    message has arrived since this process last paused.
    """
    own = state.settings.name
    if len(state.instances) - (own in state.instances) < SMALL_FLEET:
        return [row for row in state.instances.values() if row.name != own]
    return [
        row for row in membership.instances_with_heartbeat(state) if row.name != own
    ]


def reaches_half(state: State) -> bool:
    """Return whether this instance reaches at least half, itself included.

    That is enough where the store arbitrates by conditional updates and the smaller
    side of a partition only has to stay passive.
    """
    now = state.clock.monotonic()
    others = quorum_peers(state)
    reached = 1 + sum(now - row.last_heard <= PEER_TIMEOUT for row in others)
    return reached * 2 >= len(others) + 1


def lacks_store(row: InstanceRow, state: State) -> bool:
    """Return whether an instance's last heartbeat is recent and told of an old copy."""
    silence = state.clock.monotonic() - row.last_heard
    if silence > PEER_TIMEOUT or row.store_age is None:
        return False
    return row.store_age + silence > PEER_CONFIGURATION_LEASE


def may_appear_down(state: State) -> bool:
    """Return whether an instance without the store may take the store to be down.

    Instances that this one does not hear may be without it.
    """
    now = state.clock.monotonic()
    others = quorum_peers(state)
    without_store = sum(
        lacks_store(row, state) or now - row.last_heard > PEER_TIMEOUT for row in others
    )
    return without_store * 2 > len(others) + 1


def may_have_had_store(since: timedelta, state: State) -> bool:
    """Return whether half of the instances may have had the store after a time.

    One that this instance does not hear may have it.
    """
    now = state.clock.monotonic()
    others = quorum_peers(state)
    count = (state.view.confirmed_at > since) + sum(
        row.store_seen_at > since or now - row.last_heard > PEER_TIMEOUT
        for row in others
    )
    return count * 2 >= len(others) + 1


def is_store_outage(state: State) -> bool:
    """Return whether a majority of the instances is cut off from the store.

    A peer counts if its last heartbeat is recent and reported an old copy.
    """
    if is_copy_fresh(state):
        return False
    others = quorum_peers(state)
    without_store = 1 + sum(lacks_store(row, state) for row in others)
    return without_store * 2 > len(others) + 1


def is_isolated(state: State) -> bool:
    """Return whether the copy is old although the store has no outage.

    Requests with a key must then be refused, because this instance may have missed that
    the key was withdrawn.
    """
    return not is_copy_fresh(state) and not is_store_outage(state)


def relays(state: State) -> list[str]:
    """Return the names of the relays of this instance's data centre."""
    data_centre = state.settings.data_centre
    rows = membership.data_centre_leaders(
        f"relay/{data_centre}", data_centre, RELAYS_PER_DATA_CENTRE, state
    )
    return [row.name for row in rows]


def choose_relay(state: State) -> str:
    """Return the relay to subscribe to, or "" to watch the store.

    Rendezvous hashing spreads the subscribers over the relays.
    """
    names = relays(state)
    if state.settings.name in names or not names:
        return ""
    rows = [state.instances[name] for name in names]
    return membership.ranked(state.settings.name, rows)[0].name


def run(state: State) -> None:
    """Keep the subscription to a relay alive; without a relay, watch the store."""
    if not follow_relay(state):
        watch(state)
    expire_subscribers(state)


def follow_relay(state: State) -> bool:
    """Keep the subscription alive; return whether a relay answers."""
    now = state.clock.monotonic()
    relay = choose_relay(state)
    if relay != state.view.relay:
        state.view.relay = relay
        state.view.relay_heard_at = now
        state.view.subscribe_at = now
    if relay:
        subscribe(relay, state)
    return bool(relay) and now - state.view.relay_heard_at <= RELAY_TIMEOUT


def watch(state: State) -> None:
    """Start a watch of the store unless one is in progress."""
    now = state.clock.monotonic()
    if state.view.watch_sent_at is not None or now < state.view.watch_after:
        return
    state.view.watch_sent_at = now
    wait_ms = int(WATCH_WAIT.total_seconds() * 1000)
    state.outbox.append(WatchStore(state.view.version, wait_ms))
    state.counters["store.watches"] += 1


def subscribe(relay: str, state: State) -> None:
    """Subscribe to the relay, and again at each interval."""
    now = state.clock.monotonic()
    if now < state.view.subscribe_at:
        return
    state.view.subscribe_at = now + SUBSCRIBE_INTERVAL
    peers.send(relay, new_subscription(state), state)


def new_subscription(state: State) -> Subscribe:
    """Return a subscription with a new number; record when it was sent."""
    now = state.clock.monotonic()
    sent = state.view.subscriptions_sent
    number = state.new_number()
    sent[number] = now
    for old in [
        key for key, at in sent.items() if now - at > DEFAULT_CONFIGURATION_LEASE
    ]:
        del sent[old]
    registry = kind_rows.registry_revision(state)
    message = Subscribe(
        state.view.version,
        number,
        registry,
        evacuations=bool(state.kinds) and kind_rows.follows_evacuations(state),
        configuration=known_configuration(state),
    )
    return relay_versions.encode_subscription(message, state.view.era)


def known_configuration(state: State) -> int:
    """Return the revision of the configuration that relays may bring up to date.

    In a small fleet, each instance reads the configuration itself.
    """
    if len(state.instances) <= SMALL_FLEET:
        return 0
    return kind_rows.configuration_revision(state)


def subscribe_to_seeds(state: State) -> None:
    """Subscribe to the seeds while the list of instances is unknown."""
    for address in filter(None, state.settings.seeds.split(",")):
        message = new_subscription(state)
        state.outbox.append(SendPeer(address, address, message))


def push_updates(state: State) -> None:
    """Send all subscribers the objects that they may not have.

    An update must hold all changes of the versions that it claims to cover, because an
    earlier update may have been lost with its stream.
    """
    newer: dict[int, list[StoreObject]] = {}
    for row in list(state.view.subscribers.values()):
        if row.version not in newer:
            newer[row.version] = objects_changed_after(row.version, state)
        send_update(row, newer[row.version], state)


def objects_changed_after(version: int, state: State) -> list[StoreObject]:
    """Return the objects with a version above the given one."""
    if version >= newest_version(state):
        return []
    return [item for item in state.view.objects.values() if item.version > version]


def send_update(row: SubscriberRow, items: list[StoreObject], state: State) -> None:
    """Send objects in parts; only the last part raises the subscriber's version."""
    age_ms = max(0, int(copy_age(state).total_seconds() * 1000))
    if state.view.confirmed_at < timedelta(0):
        age_ms = int(timedelta(days=1).total_seconds() * 1000)
    configured_at = kind_rows.configuration_changed_revision(state)
    update = kind_rows.registry_update(row.registry, state) if row.registry else None
    evacuations = tracking.relayed(state) if row.follows_evacuations else None
    relayed = sending.relayed(row, state)
    for index, (part, is_last) in enumerate(split_update(items)):
        version = state.view.version if is_last else 0
        message = ViewUpdate(
            version,
            age_ms,
            row.number,
            row.version,
            tuple(part),
            configured_at,
            update if is_last else None,
            index,
            evacuations=evacuations if is_last else None,
            configuration=relayed if is_last else None,
        )
        message = relay_versions.encode_update(message, state.view.era)
        if row.instance in state.instances:
            peers.send(row.instance, message, state)
        else:
            state.outbox.append(SendPeer(row.instance, row.instance, message))
    row.version = state.view.version
    if update is not None:
        row.registry = update.revision
    if relayed is not None:
        row.configuration = relayed.revision


def split_update(items: list[StoreObject]) -> Iterator[tuple[list[StoreObject], bool]]:
    """Yield the parts of an update, each with whether it is the last.

    Without objects there is one empty part, which confirms the subscriber's copy.
    """
    pieces = [[item] for item in items if item.kind == "piece"]
    others = [item for item in items if item.kind != "piece"]
    starts = range(0, len(others), ITEMS_PER_UPDATE)
    chunks = [others[start : start + ITEMS_PER_UPDATE] for start in starts]
    result = pieces + chunks or [[]]
    for index, part in enumerate(result):
        yield part, index == len(result) - 1


def expire_subscribers(state: State) -> None:
    """Drop subscribers that have not renewed their subscription."""
    now = state.clock.monotonic()
    rows = state.view.subscribers
    for name in [
        name for name, row in rows.items() if now - row.heard_at > SUBSCRIBER_TIMEOUT
    ]:
        del rows[name]


@handle.register
def _(message: ObjectsReceived, state: State) -> None:
    sent_at, state.view.watch_sent_at = state.view.watch_sent_at, None
    state.view.watch_failures = 0
    state.view.version = max(state.view.version, message.version)
    confirmed_before = state.view.confirmed_at
    if sent_at is not None:
        kind_rows.confirm_view(sent_at, state)
    apply(message.items, state, confirmed_before)
    for detail in message.unreadable:
        state.counters["store.unreadable.own"] += 1
        state.log_event(ObjectUnreadable("own", "", message.version, detail))


def handle_watch_failure(state: State) -> None:
    """Retry the watch after an exponential backoff.

    Its jitter spreads the calls of the fleet after an outage.
    """
    now = state.clock.monotonic()
    state.view.watch_sent_at = None
    state.view.watch_failures += 1
    pause = min(
        WATCH_BACKOFF_BASE * 2 ** min(state.view.watch_failures, 6), WATCH_BACKOFF_MAX
    )
    state.view.watch_after = now + pause * state.random.uniform(0.5, 1.0)
    state.counters["store.watch_failures"] += 1
    if state.view.version == 0:
        subscribe_to_seeds(state)


@handle_peer.register
def _(message: Subscribe, sender: str, state: State) -> None:
    message = relay_versions.decode_subscription(message, state.view.era)
    store_eras.observe_version(message.version, state)
    if not kind_rows.is_own_kind_listed(state):
        return
    now = state.clock.monotonic()
    # A subscriber whose copy is older may have missed deletions.
    known = max(message.version, kind_rows.deletions_known_from(state))
    row = SubscriberRow(
        sender,
        known,
        message.number,
        now,
        message.registry,
        message.evacuations,
        message.configuration,
    )
    state.view.subscribers[sender] = row
    send_update(row, objects_changed_after(message.version, state), state)


def has_all_parts(message: ViewUpdate, sender: str, state: State) -> bool:
    """Return whether no part of an update before this one is missing."""
    known = state.view.parts_received
    is_next = message.part == 0 or message.part == known.get(sender, 0)
    known[sender] = message.part + 1 if is_next else 0
    return is_next


@handle_peer.register
def _(message: ViewUpdate, sender: str, state: State) -> None:
    now = state.clock.monotonic()
    if sender == state.view.relay:
        state.view.relay_heard_at = now
        state.view.relay_age = message.age_ms * MILLISECOND
    message = relay_versions.decode_update(message, state.view.era)
    versions = [message.version, *(item.version for item in message.items)]
    if not store_eras.observe_version(max(versions), state):
        return
    complete = (
        has_all_parts(message, sender, state)
        and message.after <= state.view.version
        and kind_rows.is_own_kind_listed(state)
    )
    if complete:
        state.view.version = max(state.view.version, message.version)
    items = kind_rows.without_deleted(message.items, state)
    apply(items, state)
    if state.kinds:
        kind_rows.record_relayed_objects(items, complete, state)
    if message.configuration is not None:
        handle(ConfigurationRelayed(message.configuration), state)
    sent_at = state.view.subscriptions_sent.get(message.number)
    if complete and sent_at is not None and message.version >= state.view.version:
        since = sent_at - timedelta(milliseconds=message.age_ms)
        if state.kinds:
            kind_rows.confirm_relayed(since, message.configured_at, state)
        else:
            kind_rows.confirm_view(since, state)
    if message.registry is not None:
        confirmed_at = None
        if sent_at is not None and message.registry.age_ms is not None:
            confirmed_at = sent_at - message.registry.age_ms * MILLISECOND
        handle(RegistryRelayed(message.registry, confirmed_at), state)
    if message.evacuations is not None and kind_rows.follows_evacuations(state):
        age = timedelta(milliseconds=message.age_ms)
        current_at = sent_at - age if sent_at is not None else None
        handle(EvacuationsRelayed(message.evacuations, current_at), state)
