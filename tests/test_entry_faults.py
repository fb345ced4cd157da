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
class Story:
    """What callers have sent, by request number."""

    random: Random
    cluster: Cluster
    writes: dict[int, str] = field(factory=dict)  # The values, each written once.
    inside: dict[int, tuple[int, str]] = field(factory=dict)  # Begin and value.
    ends: dict[int, tuple[int, str]] = field(factory=dict)  # Begin and "commit"...
    open: list[tuple[int, str]] = field(factory=list)  # Begin and transaction.
    gone: set[int] = field(factory=set)
    most: dict[str, int] = field(factory=dict)  # How often a log ever had a value.
    session: dict[str, str] = field(factory=dict)
    own: int = 0  # The last value that the session wrote, 0: none.
    term: int = 1

    def where(self) -> dict[str, str]:
        return {"at": self.random.choice("abc")}

    def value(self) -> str:
        return f"v{self.cluster.next_request}"

    def write(self) -> None:
        value = self.value()
        headers = {"idempotency-key": value} if self.random.random() < 0.5 else {}
        request = self.cluster.statement(
            f"put x {value}", "write", headers=headers, **self.where()
        )
        self.writes[request] = value

    def use_session(self) -> None:
        """Write and read in a session, which must see its own write."""
        value = self.cluster.next_request + 1
        for text, access in ((f"put s {value}", "write"), ("get s", "read")):
            request = self.cluster.statement(
                text, access, headers=self.session, **self.where()
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
        request = self.cluster.send(TRANSACTIONS, **self.where())
        if request in self.cluster.answers:
            result = self.cluster.result(request)
            if result["status"] == 200:
                self.open.append((request, result["transaction"]))

    def write_inside(self) -> None:
        if self.open:
            begin, transaction = self.random.choice(self.open)
            value = self.value()
            body = {"transaction": transaction}
            request = self.cluster.statement(
                f"put x {value}", "write", body=body, **self.where()
            )
            self.inside[request] = (begin, value)

    def end(self) -> None:
        if self.open:
            begin, transaction = self.open.pop(self.random.randrange(len(self.open)))
            how = self.random.choice(("commit", "commit", "rollback"))
            path = f"{TRANSACTIONS}/{transaction}/{how}"
            self.ends[self.cluster.send(path, **self.where())] = (begin, how)

    def break_endpoint(self) -> None:
        endpoint = self.random.choice(list(self.cluster.endpoints.values()))
        endpoint.fault = self.random.choice(FAULTS)
        endpoint.after_fault = self.random.random() < 0.5

    def freeze(self) -> None:
        endpoint = self.random.choice(list(self.cluster.endpoints.values()))
        if endpoint.frozen:
            self.cluster.thaw(endpoint.name)
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

    def leave(self) -> None:
        for state in self.cluster.states.values():
            for request in list(state.pending)[:1]:
                core.handle(CallerGone(request), state)
                self.gone.add(request)

    def look(self) -> None:
        """Note how often each value is in a log."""
        for endpoint in self.cluster.endpoints.values():
            values = [value for name, value in endpoint.log if name == "x"]
            for value in set(values):
                count = values.count(value)
                self.most[str(value)] = max(count, self.most.get(str(value), 0))


def settle(cluster: Cluster) -> None:
    """Repair everything and wait until all deadlines and limits have passed."""
    for endpoint in cluster.endpoints.values():
        endpoint.fault = ""
        cluster.thaw(endpoint.name)
    cluster.advance(timedelta(seconds=40))


def check(story: Story, request: int, ended: dict[str, Any], value: str) -> None:
    """Compare an answer with what the logs have had."""
    times = story.most.get(value, 0)
    assert times <= 1
    if ended["status"] == 200:
        assert times == 1, (request, value)
    elif ended["outcome"] == "not_run":
        assert times == 0, (request, value, ended)


@pytest.mark.parametrize("seed", range(20))
def test_answers_stay_true_under_faults(seed: int) -> None:
    """Guards against wrong outcomes, second runs, stale reads and leaked work."""
    random = Random(seed)
    cluster = make_cluster("abc", seed, slots=random.choice((1, 2, 3)))
    story = Story(random, cluster)
    usual = [story.write, story.use_session, story.begin, story.write_inside, story.end]
    rare = [story.break_endpoint, story.freeze, story.promote, story.lose_owner]
    for _ in range(STEPS):
        random.choice([*usual * 4, story.replay, story.leave, *rare])()
        cluster.advance(timedelta(milliseconds=random.choice((1, 20, 100, 700))))
        story.look()
    settle(cluster)
    story.look()
    answered = set(range(1, cluster.next_request + 1)) - story.gone
    assert answered <= cluster.answers.keys()
    for request, value in story.writes.items():
        if request in answered:
            check(story, request, cluster.result(request), value)
    for request, (begin, how) in story.ends.items():
        result = cluster.result(request) if request in answered else {"status": 0}
        for inner, (other, value) in story.inside.items():
            if other == begin and how == "commit" and "outcome" in result:
                check(story, inner, result, value)
            elif other == begin and how == "commit" and result["status"] == 200:
                if inner in answered:  # A caller that left got no answer to compare.
                    check(story, inner, cluster.result(inner), value)
            elif other == begin and how == "rollback":
                assert value not in story.most
    for state in cluster.states.values():
        tables = (state.pending, state.works, state.attempts, state.forwarded)
        assert not any(tables) and not state.connection_works
        for queue in state.queues.values():
            assert not (queue.running or queue.urgent or queue.rotation)
            assert {number for number, _ in queue.idle} == queue.connections
    assert KEYS["alpha"] not in repr(cluster.states)
