"""Random sequences of requests and faults, with fixed seeds."""

from datetime import timedelta
from random import Random
from typing import Any

import pytest
from attrs import define, field

from pimentodrift import core, membership
from pimentodrift.messages import CallerGone
from pimentodrift.notices import InstanceDown

from .entry_support import KEYS, Cluster, make_cluster

STEPS = 150
FAULTS = ("", "", "put", "get", "BEGIN", "COMMIT", "ROLLBACK", "INSERT", "SELECT")
TRANSACTIONS = "/v1/groups/g/transactions"


@define
class RandomRun:
    """A random run, with the callers' requests by number."""

    random: Random
    cluster: Cluster
    writes: dict[int, str] = field(factory=dict)  # The values, each written once.
    # Writes in transactions: the request that began the transaction, and the value.
    transaction_writes: dict[int, tuple[int, str]] = field(factory=dict)
    # Ends of transactions: the request that began it, and "commit" or "rollback".
    ends: dict[int, tuple[int, str]] = field(factory=dict)
    # Open transactions: the request that began it, and its id.
    open: list[tuple[int, str]] = field(factory=list)
    gone: set[int] = field(factory=set)  # Requests whose caller has disconnected.
    # The highest number of times that a log has contained each value.
    max_counts: dict[str, int] = field(factory=dict)
    session: dict[str, str] = field(factory=dict)  # Header with the session token.
    own: int = 0  # The last value that the session wrote, or 0.
    term: int = 1

    def random_entry(self) -> dict[str, str]:
        return {"at": self.random.choice("abc")}

    def next_value(self) -> str:
        return f"v{self.cluster.next_request}"

    def write(self) -> None:
        value = self.next_value()
        headers = {"idempotency-key": value} if self.random.random() < 0.5 else {}
        request = self.cluster.statement(
            f"put x {value}", "write", headers=headers, **self.random_entry()
        )
        self.writes[request] = value

    def use_session(self) -> None:
        """Write and read in a session, which must read its own write."""
        value = self.cluster.next_request + 1
        for text, access in ((f"put s {value}", "write"), ("get s", "read")):
            request = self.cluster.statement(
                text, access, headers=self.session, **self.random_entry()
            )
            if request not in self.cluster.answers:
                core.handle(CallerGone(request), self.cluster.states["a"])
                self.gone.add(request)
                continue
            result = self.cluster.result(request)
            if "Session-Token" in result["headers"]:
                self.session = {"session-token": result["headers"]["Session-Token"]}
            if "write-dropped" in result.get("type", ""):
                self.own = 0
            elif access == "write" and result["status"] == 200:
                self.own = value
            elif result["status"] == 200 and self.own:
                assert int(result["rows"][0][0]) >= self.own

    def begin(self) -> None:
        request = self.cluster.send(TRANSACTIONS, **self.random_entry())
        if request in self.cluster.answers:
            result = self.cluster.result(request)
            if result["status"] == 200:
                self.open.append((request, result["transaction"]))

    def write_in_transaction(self) -> None:
        if self.open:
            begin, transaction = self.random.choice(self.open)
            value = self.next_value()
            body = {"transaction": transaction}
            request = self.cluster.statement(
                f"put x {value}", "write", body=body, **self.random_entry()
            )
            self.transaction_writes[request] = (begin, value)

    def end_transaction(self) -> None:
        if self.open:
            begin, transaction = self.open.pop(self.random.randrange(len(self.open)))
            how = self.random.choice(("commit", "commit", "rollback"))
            path = f"{TRANSACTIONS}/{transaction}/{how}"
            self.ends[self.cluster.send(path, **self.random_entry())] = (begin, how)

    def break_endpoint(self) -> None:
        endpoint = self.random.choice(list(self.cluster.endpoints.values()))
        endpoint.fault = self.random.choice(FAULTS)
        endpoint.after_fault = self.random.random() < 0.5

    def freeze(self) -> None:
        endpoint = self.random.choice(list(self.cluster.endpoints.values()))
        if endpoint.frozen:
            self.cluster.unfreeze(endpoint.name)
        else:
            endpoint.frozen = True

    def replay(self) -> None:
        for endpoint in self.cluster.endpoints.values():
            behind = max(0, len(endpoint.log) - endpoint.replayed)
            endpoint.replayed += self.random.randint(0, behind)

    def promote(self) -> None:
        endpoints = self.cluster.endpoints.values()
        if any(endpoint.frozen for endpoint in endpoints):
            return  # A frozen endpoint could not follow.
        chosen = self.random.choice([row for row in endpoints if not row.is_primary])
        chosen.replayed = len(chosen.log)
        self.term += 1
        self.cluster.promote(chosen.name, self.term)

    def lose_owner(self) -> None:
        entry, owner = self.random.sample("abc", 2)
        state = self.cluster.states[entry]
        membership.suspect(owner, state)
        core.handle(InstanceDown(owner, frozenset()), state)
        self.cluster.pump()

    def disconnect_callers(self) -> None:
        for state in self.cluster.states.values():
            for request in list(state.pending)[:1]:
                core.handle(CallerGone(request), state)
                self.gone.add(request)

    def count_values(self) -> None:
        """Count how often each value is in a log."""
        for endpoint in self.cluster.endpoints.values():
            values = [value for name, value in endpoint.log if name == "x"]
            for value in set(values):
                count = values.count(value)
                self.max_counts[str(value)] = max(
                    count, self.max_counts.get(str(value), 0)
                )


def remove_faults(cluster: Cluster) -> None:
    """Remove all faults and wait until all deadlines and limits have passed."""
    for endpoint in cluster.endpoints.values():
        endpoint.fault = ""
        cluster.unfreeze(endpoint.name)
    cluster.advance(timedelta(seconds=40))


def check_outcome(
    run: RandomRun, request: int, result: dict[str, Any], value: str
) -> None:
    """Compare the outcome in an answer with the values that the logs have had."""
    times = run.max_counts.get(value, 0)
    assert times <= 1
    if result["status"] == 200:
        assert times == 1, (request, value)
    elif result["outcome"] == "not_run":
        assert times == 0, (request, value, result)


@pytest.mark.parametrize("seed", range(20))
def test_answers_match_the_logs_under_faults(seed: int) -> None:
    """Guards against wrong outcomes, repeated writes, stale reads and leaked work."""
    random = Random(seed)
    cluster = make_cluster("abc", seed, slots=random.choice((1, 2, 3)))
    run = RandomRun(random, cluster)
    usual = [
        run.write,
        run.use_session,
        run.begin,
        run.write_in_transaction,
        run.end_transaction,
    ]
    rare = [run.break_endpoint, run.freeze, run.promote, run.lose_owner]
    for _ in range(STEPS):
        random.choice([*usual * 4, run.replay, run.disconnect_callers, *rare])()
        cluster.advance(timedelta(milliseconds=random.choice((1, 20, 100, 700))))
        run.count_values()
    remove_faults(cluster)
    run.count_values()
    answered = set(range(1, cluster.next_request + 1)) - run.gone
    assert answered <= cluster.answers.keys()
    for request, value in run.writes.items():
        if request in answered:
            check_outcome(run, request, cluster.result(request), value)
    for request, (begin, how) in run.ends.items():
        result = cluster.result(request) if request in answered else {"status": 0}
        for inner, (other, value) in run.transaction_writes.items():
            if other == begin and how == "commit" and "outcome" in result:
                check_outcome(run, inner, result, value)
            elif other == begin and how == "commit" and result["status"] == 200:
                if inner in answered:  # Callers that disconnected got no answer.
                    check_outcome(run, inner, cluster.result(inner), value)
            elif other == begin and how == "rollback":
                assert value not in run.max_counts
    for state in cluster.states.values():
        tables = (state.pending, state.works, state.attempts, state.forwarded)
        assert not any(tables) and not state.connection_works
        for queue in state.queues.values():
            assert not (queue.running or queue.urgent or queue.rotation)
            assert {number for number, _ in queue.idle} == queue.connections
    assert KEYS["alpha"] not in repr(cluster.states)
