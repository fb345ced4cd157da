"""Requirement 3 on real processes: statements of transactions are never mixed.

Many transactions share one connection pool. Their callers commit, roll back, abandon
them halfway or lose the owner, and each must be stored completely or not at all.
"""

import signal
from collections.abc import Iterator
from random import Random
from threading import Event, Thread

import pytest
from attrs import define, field

from .system_support import (
    OK,
    Answer,
    Caller,
    System,
    owner_of,
    running_system,
    wait_for,
)

GROUP = "certificates"
PATH = f"/v1/groups/{GROUP}/transactions"
ROWS = 4  # Rows of a complete transaction; fewer show that it is unfinished.
# The stand-in has one write lock, which the first write of a transaction takes. A write
# that waits for the lock occupies one of the owner's three slots, so more callers would
# leave no slot for the holder of the lock.
CALLERS = 3
READERS = 3
TRANSACTION_ENDS = ("commit", "commit", "rollback", "fail")
# Number of the transaction that one caller abandons; it holds the write lock for 5 s.
ABANDONED_NUMBER = 3


@pytest.fixture(scope="module")
def system() -> Iterator[System]:
    with running_system() as result:
        result.create_table("mixed")
        yield result


@define
class TransactionCaller:
    """A caller that runs transactions in sequence through randomly chosen instances."""

    system: System
    random: Random
    name: str
    ends: dict[str, str] = field(factory=dict)
    errors: list[str] = field(factory=list)
    committed: int = 0
    last_transaction: str = ""

    def run_transactions(self, stopping: Event) -> None:
        """Run transactions until stopped."""
        callers = [Caller(proxy) for proxy in self.system.proxies]
        count = 0
        while not stopping.is_set():
            count += 1
            tag = f"{self.name}-{count}"
            end = self.random.choice(TRANSACTION_ENDS)
            if count == ABANDONED_NUMBER and self.name == "caller0":
                end = "leave"
            self.ends[tag] = self.run_transaction(callers, tag, end)
            self.committed += self.ends[tag] == "committed"
        for caller in callers:
            caller.close()

    def run_transaction(self, callers: list[Caller], tag: str, end: str) -> str:
        """Run one transaction; return what its caller knows about its rows.

        The result is "committed", "nothing" (no rows) or "unknown".
        """
        caller = self.random.choice(callers)
        begun = self.system.send(caller, PATH, self.system.headers(), b"")
        if begun.status != OK:
            self.drop_if_disconnected(callers, caller)
            return "nothing"
        transaction = self.last_transaction = str(begun.body["transaction"])
        for row in range(ROWS):
            caller = self.random.choice(callers)
            # A caller that gets this connection before its rollback would see fewer
            # rows than ROWS.
            if end == "leave" and row == ROWS - 1:
                return "nothing"
            if not self.insert(caller, transaction, tag, row):
                self.roll_back(callers, caller, transaction)
                return "nothing"
        if end == "fail":
            self.run(caller, transaction, "SELECT nothing FROM nowhere", "read")
            end = "commit"
            expected = "nothing"
        else:
            expected = "committed" if end == "commit" else "nothing"
        path = f"{PATH}/{transaction}/{end}"
        answer = self.system.send(caller, path, self.system.headers(), b"")
        if answer.outcome == "unknown":
            return "unknown"
        return expected if answer.status == OK else "nothing"

    def drop_if_disconnected(self, callers: list[Caller], caller: Caller) -> None:
        """Stop using an instance whose connection was lost."""
        if caller.connection is None:
            callers.remove(caller)

    def roll_back(
        self, callers: list[Caller], caller: Caller, transaction: str
    ) -> None:
        """Roll a transaction back; it may have ended already."""
        self.drop_if_disconnected(callers, caller)
        path = f"{PATH}/{transaction}/rollback"
        self.system.send(callers[0], path, self.system.headers(), b"")

    def insert(self, caller: Caller, transaction: str, tag: str, row: int) -> bool:
        """Insert a row; check that it is visible and unfinished transactions are not.

        Return whether both statements ran.
        """
        text = f"INSERT INTO mixed VALUES ('{tag}')"
        if self.run(caller, transaction, text, "write").status != OK:
            return False
        text = "SELECT value, count(*) FROM mixed GROUP BY value"
        answer = self.run(caller, transaction, text, "read")
        if answer.status != OK:
            return False
        found = dict(answer.body["rows"])
        if int(found.pop(tag, 0)) != row + 1:
            self.errors.append(f"{tag}: own rows {answer.body['rows']}")
        if {int(number) for number in found.values()} - {ROWS}:
            self.errors.append(f"{tag}: rows of unfinished transactions {found}")
        return True

    def run(self, caller: Caller, transaction: str, text: str, access: str) -> Answer:
        """Run a statement of a transaction."""
        return self.system.run(caller, text, access=access, transaction=transaction)


def test_transactions_on_one_connection_pool_are_not_mixed(system: System) -> None:
    """Guards against pooled connections that mix statements of two transactions."""
    stopping = Event()
    callers = [
        TransactionCaller(system, Random(number), f"caller{number}")
        for number in range(CALLERS)
    ]
    threads = [
        Thread(target=caller.run_transactions, args=(stopping,), daemon=True)
        for caller in callers
    ]
    # Reads outside transactions use the same pool.
    seen: list[int] = []
    threads += [
        Thread(target=read_row_counts, args=(system, seen, stopping), daemon=True)
        for _ in range(READERS)
    ]
    for thread in threads:
        thread.start()
    wait_for_commits(callers)
    owner = owner_of(callers[1].last_transaction)
    system.signal(system.instance(owner)["pid"], signal.SIGKILL)
    wait_for_commits(callers)
    stopping.set()
    for thread in threads:
        thread.join()
    assert set(seen) <= {ROWS}
    assert [text for caller in callers for text in caller.errors] == []
    proxy = next(r["url"] for r in system.summary["instances"] if r["name"] != owner)
    found = system.values(proxy, "mixed")
    for caller in callers:
        for tag, end in caller.ends.items():
            allowed = {"committed": {ROWS}, "nothing": {0}, "unknown": {0, ROWS}}[end]
            assert found.get(tag, 0) in allowed, (tag, end, found.get(tag))


def read_row_counts(system: System, seen: list[int], stopping: Event) -> None:
    """Read the row counts of all transactions, outside any transaction."""
    callers = [Caller(proxy) for proxy in system.proxies]
    count = 0
    while not stopping.is_set():
        count += 1
        text = "SELECT value, count(*) FROM mixed GROUP BY value"
        answer = system.run(callers[count % len(callers)], text)
        if answer.status == OK:
            seen.extend(int(number) for _, number in answer.body["rows"])
    for caller in callers:
        caller.close()


def wait_for_commits(callers: list[TransactionCaller], more: int = 20) -> None:
    """Wait until the callers have committed a number of further transactions."""
    wanted = sum(caller.committed for caller in callers) + more
    wait_for(lambda: sum(caller.committed for caller in callers) >= wanted)
