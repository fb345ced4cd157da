"""Requirement 2 on real processes: a replaced primary acknowledges no writes."""

import signal
from collections.abc import Iterator

import pytest

from .system_support import System, running_system, wait_for
from .system_writers import Writers, assert_outcomes

# The instances reserve terms shortly above the current one; this step exceeds them all.
TERM_STEP = 50


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        yield result


def dropped_statements(system: System, group: str) -> list[str]:
    return [
        entry["statement"]
        for value in system.objects("dropped").values()
        if value["group"] == group
        for entry in value["entries"]
    ]


def assert_writes_kept(
    system: System, group: str, table: str, writers: Writers
) -> None:
    """Assert that all instances and endpoints have each acknowledged write once."""
    for proxy in system.proxies:
        assert_outcomes(system.values(proxy, table, group), writers)
    system.wait_replicated(group)
    for row in system.endpoints(group):
        rows = system.run_sql(
            row["name"], f"SELECT value, count(*) FROM {table} GROUP BY value"
        )
        assert_outcomes({value: int(number) for value, number in rows}, writers)


def promote_manually(system: System, group: str, old: str) -> dict[str, object]:
    """Replace the primary as a coordinator does that can't reach it.

    Return the fields of the group's object to update.
    """
    value = system.group(group)
    term = value["term"] + TERM_STEP
    rows = [row for row in system.endpoints(group) if row["name"] != old]
    fence = "SELECT accepted, last_term, received FROM group_fence(%s)"
    ends = {row["name"]: system.run_sql(row["name"], fence, term)[0] for row in rows}
    assert all(bool(end[0]) for end in ends.values())
    chosen = max(rows, key=lambda row: tuple(map(int, ends[row["name"]][1:])))
    text = "SELECT accepted, start_position FROM group_promote(%s)"
    ((accepted, start),) = system.run_sql(chosen["name"], text, term)
    assert accepted
    host, _, port = chosen["address"].partition(":")
    for row in rows:
        if row is not chosen:
            follow = "SELECT accepted FROM group_follow(%s, %s, %s, %s)"
            system.run_sql(row["name"], follow, term, host, int(port), int(start))
    starts = {**value["term_starts"], str(term): int(start)}
    return {"term": term, "primary": chosen["name"], "term_starts": starts}


@pytest.mark.parametrize("with_keys", [False, True])
def test_replaced_primary_acknowledges_no_writes(
    system: System, with_keys: bool
) -> None:
    """Guards against acknowledged writes at a primary that was replaced unnoticed.

    The store is down meanwhile, so that the instances keep writing to the old primary.
    """
    group, table = "certificates", f"cut_{int(with_keys)}"
    system.create_table(table, group)
    old = system.group(group)["primary"]
    with Writers(system, table, with_keys, system.proxies, group) as writers:
        writers.wait_for_acknowledged()
        system.set_control(old, "cut", 1)
        system.set_faults(down=True)
        before = system.counts(old)["commits"]
        system.set_faults(down=False)
        changed = promote_manually(system, group, old)
        system.set_faults(down=True)
        # The old primary still commits writes of callers after its replacement.
        wait_for(lambda: system.counts(old)["commits"] > before)
        system.set_faults(down=False)
        system.update_object("group", group, **changed)
        writers.wait_for_acknowledged()
        system.set_control(old, "cut", 0)
        wait_for(lambda: system.status(old)[0] == "replica")
        writers.wait_for_acknowledged()
    assert_writes_kept(system, group, table, writers)
    # The writes that only the old primary committed are recorded as dropped, and none
    # of them was acknowledged.
    wait_for(
        lambda: any(f"{table} " in text for text in dropped_statements(system, group))
    )
    if not with_keys:
        acknowledged = set(writers.values("ran"))
        dropped = [
            text for text in dropped_statements(system, group) if f"{table} " in text
        ]
        assert not [text for text in dropped if text.split("'")[1] in acknowledged]


@pytest.mark.parametrize(
    ("group", "down"), [("inspections", False), ("transfers", True)]
)
def test_paused_primary_loses_no_acknowledged_writes(
    system: System, group: str, down: bool
) -> None:
    """Guards against lost or stale acknowledgments by a primary that resumes."""
    table = "paused"
    system.create_table(table, group)
    old = system.group(group)["primary"]
    term = system.group(group)["term"]
    pid = next(row["pid"] for row in system.endpoints(group) if row["name"] == old)
    with Writers(system, table, False, system.proxies, group) as writers:
        writers.wait_for_acknowledged()
        system.set_faults(down=down)
        system.signal(pid, signal.SIGSTOP)
        writers.wait_for_acknowledged()  # Only the next primary can acknowledge these.
        system.signal(pid, signal.SIGCONT)
        writers.wait_for_acknowledged()
        system.set_faults(down=False)
        wait_for(lambda: system.group(group)["term"] > term)
        wait_for(lambda: system.status(old)[0] == "replica")
    assert system.group(group)["primary"] != old
    assert_writes_kept(system, group, table, writers)


def test_owner_paused_before_acknowledgment_loses_no_writes(system: System) -> None:
    """Guards against an owner that acknowledges writes from state before its pause."""
    group, table = "certificates", "owner_paused"
    system.create_table(table, group)
    old = system.group(group)["primary"]
    region = next(
        row["region"] for row in system.endpoints(group) if row["name"] == old
    )
    owners = [row for row in system.summary["instances"] if row["region"] == region]
    replicas = [row["name"] for row in system.endpoints(group) if row["name"] != old]
    with Writers(system, table, False, system.proxies, group) as writers:
        writers.wait_for_acknowledged()
        for name in replicas:
            system.set_control(name, "cut", 1)
        before = system.counts(old)["commits"]
        wait_for(lambda: system.counts(old)["commits"] > before)
        # Writes now wait for the majority at the owner, which is one of the instances
        # in the primary's region.
        for row in owners:
            system.signal(row["pid"], signal.SIGSTOP)
        changed = promote_manually(system, group, old)
        for name in replicas:
            system.set_control(name, "cut", 0)
        system.update_object("group", group, **changed)
        for row in owners:
            system.signal(row["pid"], signal.SIGCONT)
        writers.wait_for_acknowledged()
        wait_for(lambda: system.status(old)[0] == "replica")
    assert_writes_kept(system, group, table, writers)
