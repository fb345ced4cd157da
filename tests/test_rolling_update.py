"""Instances of two builds that run side by side during a rolling update.

`data/names_before.txt` has the names of an earlier build that leave the process
(CONTRIBUTING.md). New names may be added; old ones stay, in their places.
"""

import enum
import importlib
import pkgutil
import sys
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any

import attrs
import msgpack
import pytest
from attrs import evolve

import pimentodrift
from pimentodrift.failover_rows import ContactRow
from pimentodrift.fencing import contact
from pimentodrift.fencing.decisions import PrimaryFencing
from pimentodrift.messages import PeerMessage
from pimentodrift.peer_codec import PeerCodec, make_converter, make_decoder
from pimentodrift.peer_messages import (
    Epoch,
    KnownDecision,
    Pong,
    ShareReport,
)
from pimentodrift.rate_windows import Bucket, bucket_for

from .rate_support import SECOND, WINDOW, Load, make_window_load, outcomes
from .support import make_state

__all__ = ["outcomes"]  # A fixture that the load needs.

NAMES_BEFORE = Path(__file__).parent / "data" / "names_before.txt"


def names_before() -> dict[tuple[str, str], list[str]]:
    """Return the fields or members of each class of the earlier build."""
    result = {}
    for line in NAMES_BEFORE.read_text().splitlines():
        kind, _, rest = line.partition(" ")
        name, _, fields = rest.partition(":")
        result[kind, name] = fields.split()
    return result


BEFORE = names_before()


def product_classes() -> list[type]:
    """Return the classes of the product; a few names are used in two modules."""
    for module in pkgutil.walk_packages(pimentodrift.__path__, "pimentodrift."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    return [
        value
        for name, module in list(sys.modules.items())
        if name.startswith("pimentodrift")
        for value in vars(module).values()
        if isinstance(value, type) and value.__module__ == name
    ]


CLASSES = product_classes()
PEER_CLASSES = {cls.__name__: cls for cls in CLASSES if issubclass(cls, PeerMessage)}


def keeps_names(kind: str, cls: type, before: list[str]) -> bool:
    """Return whether a class has the names that it had in the earlier build."""
    if kind == "enum":
        return issubclass(cls, enum.Enum) and set(before) <= {
            f"{item.name}={item.value}" for item in cls
        }
    if not attrs.has(cls):
        return kind == "message"
    fields = attrs.fields(cls)
    names = [field.name for field in fields]
    if kind != "peer":
        return set(before) <= set(names)
    defaults = [field.default for field in fields][len(before) :]
    return names[: len(before)] == before and attrs.NOTHING not in defaults


@pytest.mark.parametrize(("kind", "name"), sorted(BEFORE))
def test_names_stay(kind: str, name: str) -> None:
    """Guards against a rename that a metric, a log line or another build notices."""
    found = [cls for cls in CLASSES if cls.__name__ == name]
    assert any(keeps_names(kind, cls, BEFORE[kind, name]) for cls in found)


def sample(kind: Any) -> Any:
    """Return a message of a class that has values for all of its fields."""
    values: dict[Any, Any] = {
        str: "text",
        int: 7,
        float: 1.5,
        bool: True,
        Epoch: Epoch(3, "a"),
    }
    return kind(
        *[
            values.get(field.type, () if "tuple" in str(field.type) else None)
            for field in attrs.fields(attrs.resolve_types(kind))
        ]
    )


CHANGED = sorted(
    name
    for (kind, name), fields in BEFORE.items()
    if kind == "peer" and len(attrs.fields(PEER_CLASSES[name])) > len(fields)
)


def test_changed_messages_are_known() -> None:
    """Guards against a list of changed messages that has become empty by mistake."""
    assert {
        "Ping",
        "Pong",
        "ShareReport",
        "ShareRenew",
        "Subscribe",
        "ViewUpdate",
    } <= set(CHANGED)


@pytest.mark.parametrize("name", CHANGED)
def test_message_of_the_earlier_build_is_read(name: str) -> None:
    """Guards against an instance that closes the streams of the build before."""
    message = sample(PEER_CLASSES[name])
    codec = PeerCodec()
    sent_name, values = msgpack.unpackb(codec.encode(message))
    count = len(BEFORE["peer", name])
    received = codec.decode((sent_name, tuple(values[:count])))
    fields = attrs.fields(PEER_CLASSES[name])
    for field in fields[:count]:
        assert getattr(received, field.name) == getattr(message, field.name)
    for field in fields[count:]:
        assert getattr(received, field.name) == field.default


@pytest.mark.parametrize("name", CHANGED)
def test_message_is_read_by_the_earlier_build(name: str) -> None:
    """Guards against values that the build before cannot skip."""
    cls = PEER_CLASSES[name]
    fields = {field.name: field.type for field in attrs.fields(cls)}
    kept = BEFORE["peer", name]
    earlier = attrs.make_class(
        f"Earlier{name}", {key: attrs.field(type=fields[key]) for key in kept}
    )
    _, values = msgpack.unpackb(PeerCodec().encode(sample(cls)))
    received = make_decoder(earlier, make_converter())(tuple(values), earlier)
    for key in kept:
        assert getattr(received, key) == getattr(sample(cls), key)


def test_answer_of_the_earlier_build_gives_no_contact() -> None:
    """Guards against a primary in use by an answer that tells of no decisions."""
    row = ContactRow("b", pings_sent={1: SECOND, 2: SECOND})
    contact.record_answer(row, Pong(1, 0))
    assert row.attested_at < timedelta(0)
    contact.record_answer(row, Pong(2, 0, (), (KnownDecision("g", 5),)))
    assert (row.attested_at, row.decisions) == (SECOND, {"g": 5})


def test_no_contact_is_needed_beside_the_earlier_build() -> None:
    """Guards against writes that stop in the middle of an update."""
    state = make_state()
    state.settings = evolve(
        state.settings, primary_fencing=PrimaryFencing.INSTANCES.value
    )
    load = make_window_load(20.0)
    state.instances = load.network.nodes["a"].state.instances
    assert not contact.needs_contact(state)
    for row in state.instances.values():
        row.contact_lease = SECOND
    assert contact.needs_contact(state)


def test_report_of_the_earlier_build_frees_no_tokens() -> None:
    """Guards against tokens for a time in which the sender may have admitted some."""
    assert ShareReport("w", Epoch(1, "a"), 1.0, 1.0, 0.0, 0.0, 0.0).quiet_ms == 0


def set_bucket(load: Load, name: str, bucket: Bucket) -> None:
    """Let an instance convert the limit as its build does."""
    workspaces = load.network.nodes[name].state.configuration.workspaces
    workspaces["w"] = evolve(workspaces["w"], rate=bucket.rate, burst=bucket.burst)


def most_in_a_window(times: list[timedelta]) -> int:
    """Return the most admissions in any window."""
    start = most = 0
    for end, at in enumerate(times):
        while at - times[start] >= WINDOW:
            start += 1
        most = max(most, end - start + 1)
    return most


@pytest.mark.parametrize("rate", [8.0, 12.0, 16.0, 22.0])
def test_builds_with_different_buckets_keep_the_limit(
    rate: float,
) -> None:
    """Guards against an update, or its return, that gives a flood more than the limit.

    The build before kept less of a burst at once and refilled faster.
    """
    after = bucket_for(rate, rate, WINDOW)
    before = bucket_for(rate, rate, WINDOW, min_kept=5.0)
    assert before != after
    load = make_window_load(rate)
    network, random = load.network, Random(1)
    names = list(network.nodes)
    for name in names:
        set_bucket(load, name, before)
    load.offer(3 * rate, 6 * SECOND, lambda: random.choice(names))
    for bucket in (after, before):
        for name in names:
            network.kill(name)
            network.run(0.5 * SECOND)
            state = network.add(name, network.nodes[name].state.settings.region)
            while "w" not in state.configuration.workspaces:
                network.run(0.1 * SECOND)
            set_bucket(load, name, bucket)
            load.offer(3 * rate, 1.5 * SECOND, lambda: random.choice(names))
    limit = rate * WINDOW.total_seconds() + rate
    assert most_in_a_window(load.admitted) <= limit
