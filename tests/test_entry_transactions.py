"""Callers' transactions at the owner."""

from datetime import timedelta
from typing import Any

import pytest

from .entry_support import KEYS, Cluster, make_cluster

SECOND = timedelta(seconds=1)
TRANSACTIONS = "/v1/groups/g/transactions"


def begin(cluster: Cluster, **options: Any) -> str:
    """Begin a transaction and return its id."""
    result = cluster.result(cluster.send(TRANSACTIONS, **options))
    return str(result["transaction"])


def within(cluster: Cluster, transaction: str, text: str, **options: Any) -> int:
    """Send a statement of a transaction."""
    body = {"transaction": transaction}
    return cluster.statement(text, "write", body=body, **options)


def end(cluster: Cluster, transaction: str, how: str, **options: Any) -> dict[str, Any]:
    return cluster.result(
        cluster.send(f"{TRANSACTIONS}/{transaction}/{how}", **options)
    )


@pytest.mark.parametrize(("how", "log"), [("commit", ["1", "2"]), ("rollback", [])])
def test_statements_take_effect_at_the_commit(how: str, log: list[str]) -> None:
    """Guards against statements that take effect outside their transaction."""
    cluster = make_cluster()
    transaction = begin(cluster)
    for value, entry in (("1", "a"), ("2", "b")):
        request = within(cluster, transaction, f"put x {value}", at=entry)
        assert cluster.result(request)["status"] == 200
    assert cluster.endpoints["p"].log == []
    ended = end(cluster, transaction, how, at="b")
    assert ended["status"] == 200
    assert cluster.endpoints["p"].log == [("x", value) for value in log]
    again = end(cluster, transaction, how)
    assert again["type"].endswith("transaction-ended")


def test_transactions_are_isolated_from_each_other() -> None:
    """Guards against foreign statements in a transaction (requirements 3 and 4)."""
    cluster = make_cluster()
    first, second = begin(cluster), begin(cluster, key=KEYS["beta"])
    foreign = within(cluster, first, "put x 9", key=KEYS["beta"])
    assert cluster.result(foreign)["type"].endswith("transaction-unknown")
    within(cluster, first, "put x 1")
    within(cluster, second, "put y 2", key=KEYS["beta"])
    cluster.result(cluster.statement("put z 3", "write"))
    end(cluster, second, "rollback", key=KEYS["beta"])
    end(cluster, first, "commit")
    assert cluster.endpoints["p"].log == [("z", "3"), ("x", "1")]


def test_open_transactions_leave_a_slot_for_other_work() -> None:
    """Guards against transactions that take all slots or connections."""
    cluster = make_cluster(slots=2)
    begin(cluster)
    waiting = cluster.send(TRANSACTIONS)
    assert waiting not in cluster.answers
    assert cluster.result(cluster.statement("put x 1", "write"))["status"] == 200
    cluster.endpoints["p"].frozen = True
    for _ in range(3):
        cluster.statement("get x")
    assert len(cluster.endpoints["p"].held) == 1  # The other slot is reserved.
    cluster.unfreeze("p")
    cluster.advance(6 * SECOND)
    assert cluster.result(waiting)["status"] == 200


def idle(cluster: Cluster, transaction: str) -> None:
    cluster.advance(6 * SECOND)


def failed_statement(cluster: Cluster, transaction: str) -> None:
    within(cluster, transaction, "fail")


def replaced_primary(cluster: Cluster, transaction: str) -> None:
    cluster.promote("q", 2)


def withdrawn_key(cluster: Cluster, transaction: str) -> None:
    cluster.configure({"beta": KEYS["beta"]})
    assert all(work is None for work in cluster.endpoints["p"].open.values())
    cluster.configure(KEYS)


def moved_key(cluster: Cluster, transaction: str) -> None:
    cluster.configure({"beta": " ".join(KEYS.values())})
    assert all(work is None for work in cluster.endpoints["p"].open.values())
    cluster.configure(KEYS)


def hung_statement(cluster: Cluster, transaction: str) -> None:
    cluster.endpoints["p"].frozen = True
    request = within(cluster, transaction, "put x 2")
    cluster.advance(11 * SECOND)
    assert cluster.result(request)["outcome"] == "not_run"
    cluster.unfreeze("p")


@pytest.mark.parametrize(
    "cause",
    [
        idle,
        failed_statement,
        replaced_primary,
        withdrawn_key,
        moved_key,
        hung_statement,
    ],
)
def test_an_aborted_transaction_has_no_effect(cause: Any) -> None:
    """Guards against effects of a transaction that ended before its COMMIT.

    It must neither change data nor leave its connection inside a transaction.
    """
    cluster = make_cluster()
    transaction = begin(cluster)
    within(cluster, transaction, "put x 1")
    cause(cluster, transaction)
    result = end(cluster, transaction, "commit")
    problem = (
        "key-invalid" if cause in (withdrawn_key, moved_key) else "transaction-ended"
    )
    assert result["type"].endswith(problem)
    assert result["outcome"] == "not_run"
    assert ("x", "1") not in cluster.endpoints["p"].log
    written = cluster.result(cluster.statement("put y 1", "write"))
    assert written["status"] == 200
    for state in cluster.states.values():
        assert not state.works
        assert not any(queue.running for queue in state.queues.values())
