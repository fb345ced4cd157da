"""Tests that databases of a group replicate and fail over as the design requires."""

import random
from collections.abc import Iterator
from pathlib import Path

import psycopg
import pytest
from attrs import define, field

from standins.database import Database, Options, ReplicaState, Role, Upstream
from standins.database_server import make_database
from standins.group_log import Write

from .standin_processes import Processes, running_processes, wait_for


@pytest.fixture
def processes() -> Iterator[Processes]:
    with running_processes() as result:
        yield result


def test_replicas_receive_at_once_and_replay_later(processes: Processes) -> None:
    """Guards against a replayed position ahead of the rows that a replica returns."""
    primary, replica, other = processes.start_group()
    primary.run("CREATE TABLE t (k bigint)")
    for endpoint in (replica, other):
        wait_for(lambda endpoint=endpoint: endpoint.status() == ("replica", 1, 1, 1))
    replica.set_control("frozen", 1)
    primary.run("INSERT INTO t VALUES (%s)", 5)
    wait_for(lambda: primary.acknowledged()["b"] == (1, 2))
    wait_for(lambda: other.run("SELECT * FROM t") == [(5,)])
    assert replica.status() == ("replica", 1, 2, 1)
    assert replica.run("SELECT * FROM t") == []
    replica.set_control("frozen", 0)
    wait_for(lambda: replica.run("SELECT * FROM t") == [(5,)])
    with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
        replica.run("INSERT INTO t VALUES (6)")


def test_failover_drops_what_only_the_old_primary_has(processes: Processes) -> None:
    """Guards against lost acknowledged writes and kept writes of the old primary."""
    old, new, third = endpoints = processes.start_group()
    old.run("CREATE TABLE t (k bigint)")
    old.run("INSERT INTO t VALUES (1)")
    for endpoint in endpoints:
        wait_for(lambda endpoint=endpoint: endpoint.status()[2:] == (2, 2))
    new.set_control("frozen", 1)
    old.run("INSERT INTO t VALUES (2)")
    wait_for(lambda: old.acknowledged() == {"b": (1, 3), "c": (1, 3)})
    old.set_control("cut", 1)
    old.run("INSERT INTO t VALUES (%s)", 666)
    with old.connect() as late:
        late.execute("BEGIN")
        late.execute("INSERT INTO t VALUES (667)")
        assert [new.fence(2), third.fence(2)] == [(True, 1, 3)] * 2
        assert new.fence(2)[0] is False
        assert new.promote(3)[0] is False
        assert new.promote(2) == (True, 4)
        assert third.follow(2, new, 4) is True
        new.run("INSERT INTO t VALUES (3)")
        wait_for(lambda: new.acknowledged() == {"c": (2, 5)})
        assert old.fence(2) == (True, 1, 4)
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            late.execute("COMMIT")
    assert old.status()[0] == "fenced"
    assert old.follow(1, new, 4) is False
    assert old.follow(2, new, 4) is True
    old.set_control("cut", 0)
    for endpoint in endpoints:
        wait_for(lambda endpoint=endpoint: endpoint.status()[1:] == (2, 5, 5))
        assert endpoint.run("SELECT k FROM t ORDER BY k") == [(1,), (2,), (3,)]
    text = "SELECT term, position, statement FROM group_dropped()"
    assert old.run(text) == [(1, 4, "INSERT INTO t VALUES (666)")]


def test_following_drops_a_tail_from_before_the_last_promotion(
    processes: Processes,
) -> None:
    """Guards against a divergent tail that is kept because of a later promotion.

    The old primary missed two promotions, so its own entries lie before the start
    position that the last promotion returned.
    """
    old, second, third = processes.start_group()
    old.run("CREATE TABLE t (k bigint)")
    for replica in (second, third):
        wait_for(lambda replica=replica: replica.status()[2] == 1)
    old.set_control("cut", 1)
    old.run("INSERT INTO t VALUES (666)")
    for term, primary, replica in ((2, second, third), (3, third, second)):
        primary.fence(term)
        replica.fence(term)
        accepted, start = primary.promote(term)
        assert replica.follow(term, primary, start) is True
        primary.run("INSERT INTO t VALUES (%s)", term)
        wait_for(
            lambda primary=primary, term=term: (
                term in {item[0] for item in primary.acknowledged().values()}
            )
        )
        wait_for(
            lambda replica=replica, p=primary: replica.status()[1:] == p.status()[1:]
        )
    assert old.follow(3, third, 4) is True
    old.set_control("cut", 0)
    wait_for(lambda: old.status() == ("replica", 3, 5, 5))
    assert old.run("SELECT k FROM t ORDER BY k") == [(2,), (3,)]


# --- Random order of replication and failovers


@define
class SimulatedGroup:
    """Three databases whose connections, shipping and failovers happen at random."""

    directory: Path
    random: random.Random
    databases: list[Database] = field(init=False)
    # Connections by the replica's number: its upstream and the last offset sent.
    shipped: dict[int, tuple[Upstream, int]] = field(factory=dict)
    written: int = 0
    acknowledged: set[int] = field(factory=set)
    term: int = 1

    def __attrs_post_init__(self) -> None:
        self.databases = []
        for number in range(3):
            path = self.directory / str(number)
            path.mkdir()
            upstream = Upstream("", 0) if number else None
            database = make_database(Options(str(number)), path, upstream)
            self.databases.append(database)
        primary, *replicas = self.databases
        self.commit(primary, "CREATE TABLE t (k bigint)")
        for replica in replicas:
            replica.receive_entries(1, primary.log.entries[:], 0)

    def commit(self, database: Database, text: str) -> None:
        database.storage.replay_connection.execute(text)
        write: Write = (text, ())
        database.record_commit((write,))

    def write(self) -> None:
        primaries = [item for item in self.databases if item.role is Role.PRIMARY]
        if primaries:
            self.written += 1
            text = f"INSERT INTO t VALUES ({self.written})"
            self.commit(self.random.choice(primaries), text)

    def connect(self) -> None:
        number = self.random.randrange(3)
        replica = self.databases[number]
        upstream = replica.upstream
        if upstream is None:
            return
        primary = self.databases[upstream.port]
        if primary.role is not Role.PRIMARY:
            return
        if not replica.accepts_log_from(upstream, primary.primary_term):
            return
        log = replica.log
        last_common = primary.log.common_offset(log.term_starts(), log.last_offset)
        replica.align_log(primary.primary_term, last_common)
        self.shipped[number] = (upstream, last_common)

    def ship_entries(self) -> None:
        for number, (upstream, offset) in list(self.shipped.items()):
            replica, primary = self.databases[number], self.databases[upstream.port]
            entries = primary.log.entries[offset : offset + self.random.randrange(3)]
            is_closed = primary.role is Role.REPLICA
            if is_closed or not replica.accepts_log_from(
                upstream, primary.primary_term
            ):
                del self.shipped[number]
                continue
            replica.receive_entries(primary.primary_term, entries, 0)
            self.shipped[number] = (upstream, offset + len(entries))
            state = ReplicaState(replica.log.last_term, replica.log.last_offset)
            primary.replicas[replica.options.name] = state

    def acknowledge(self) -> None:
        """Acknowledge writes that a replica has, as an owner does."""
        for primary in self.databases:
            if primary.role is not Role.PRIMARY:
                continue
            for state in primary.replicas.values():
                if state.term == primary.log.last_term:
                    self.acknowledged |= rows_of(primary, state.received)

    def replay(self) -> None:
        replica = self.random.choice(self.databases)
        if replica.role is Role.REPLICA:
            replica.replay_up_to(self.random.randint(0, replica.log.last_offset))

    def fail_over(self) -> None:
        """Fence a majority, promote its member with the latest log.

        Of the other databases, a random part is told to follow the new primary.
        """
        self.term += 1
        fenced = self.random.sample(self.databases, self.random.choice((2, 3)))
        for database in fenced:
            assert database.fence(self.term)
        best = max(fenced, key=lambda item: (item.log.last_term, item.log.last_offset))
        start = best.promote(self.term)
        assert start is not None
        assert self.acknowledged <= rows_of(best, best.log.last_offset)
        address = ("", self.databases.index(best))
        for database in self.databases:
            if database is not best and self.random.random() < 0.5:
                assert database.follow(self.term, address, start)


def rows_of(database: Database, offset: int) -> set[int]:
    """Return the values that the log inserts up to an offset."""
    texts = [
        text for entry in database.log.entries[:offset] for text, _ in entry.writes
    ]
    return {int(text.split("(")[1][:-1]) for text in texts if "INSERT" in text}


@pytest.mark.parametrize("seed", range(20))
def test_no_acknowledged_write_is_lost_in_any_order(tmp_path: Path, seed: int) -> None:
    """Guards against a promotion that loses acknowledged writes.

    Also guards against rows in a database that differ from its replayed log.
    """
    chance = random.Random(seed)
    group = SimulatedGroup(tmp_path, chance)
    steps = [
        group.write,
        group.connect,
        group.ship_entries,
        group.acknowledge,
        group.replay,
    ]
    for _ in range(1000):
        chance.choice(steps)()
        if chance.random() < 0.01:
            group.fail_over()
    assert group.acknowledged
    for database in group.databases:
        if database.role is Role.REPLICA:
            database.replay_up_to(database.log.last_offset)
        rows = database.storage.connect().execute("SELECT k FROM t").fetchall()
        assert {row[0] for row in rows} == rows_of(database, database.replayed)
