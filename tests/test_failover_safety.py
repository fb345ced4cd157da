"""Searches for a sequence of faults that loses an acknowledged write.

Every write reported by `WriteAcknowledged` must be in the log of the primary of every
later term, and a term must have at most one primary (requirement 2). When all faults
are over, the group must take writes again and all databases must have the same log.
"""

from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .fake_fleet import Fleet

INSTANCES = ("a", "b", "c")
DATABASES = ("d1", "d2", "d3")
PLACES = (*INSTANCES, *DATABASES, "store")
OWNED = {"a": "d1", "b": "d2", "c": "d3"}
TIMES = st.sampled_from((40, 200, 700, 3000))
ANSWERS = ("group_fence", "group_promote", "group_follow", "store")


class Failover(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.fleet.run(500)
        self.value = 0

    def write(self) -> None:
        """Write through each instance, as far as it can reach a primary."""
        for name in INSTANCES:
            self.value += 1
            self.fleet.write(name, self.value)

    @rule(milliseconds=TIMES)
    def write_for(self, milliseconds: int) -> None:
        self.write()
        self.fleet.run(milliseconds)
        self.write()

    @rule(place=st.sampled_from(PLACES), milliseconds=TIMES)
    def isolate(self, place: str, milliseconds: int) -> None:
        self.fleet.partition(place, *(other for other in PLACES if other != place))
        self.write_for(milliseconds)

    @rule(replica=st.sampled_from(DATABASES), milliseconds=TIMES)
    def stop_shipping(self, replica: str, milliseconds: int) -> None:
        self.fleet.partition(replica, *(name for name in DATABASES if name != replica))
        self.write_for(milliseconds)

    @rule(owner=st.sampled_from(INSTANCES), milliseconds=TIMES)
    def isolate_with_owner(self, owner: str, milliseconds: int) -> None:
        inside = (owner, OWNED[owner])
        for place in inside:
            self.fleet.partition(
                place, *(other for other in PLACES if other not in inside)
            )
        self.write_for(milliseconds)

    @rule(milliseconds=TIMES)
    def crash_primary(self, milliseconds: int) -> None:
        """Crash the database that most instances take for the primary."""
        names = [s.groups["g"].primary for s in self.fleet.states.values() if s.groups]
        self.write()
        self.fleet.crash(max(names, key=names.count, default="d1"))
        self.fleet.run(milliseconds)

    @rule(name=st.sampled_from(INSTANCES), milliseconds=TIMES)
    def pause_or_resume(self, name: str, milliseconds: int) -> None:
        self.fleet.paused ^= {name}
        self.write_for(milliseconds)

    @rule(name=st.sampled_from(INSTANCES), milliseconds=TIMES)
    def kill_or_begin(self, name: str, milliseconds: int) -> None:
        if name in self.fleet.dead:
            self.fleet.start_instance(name)
        else:
            self.fleet.dead.add(name)
        self.write_for(milliseconds)

    @rule(answer=st.sampled_from(ANSWERS))
    def lose_answer(self, answer: str) -> None:
        self.fleet.answers_to_lose.add(answer)

    @rule(milliseconds=TIMES)
    def slow_down(self, milliseconds: int) -> None:
        """Let some messages arrive long after their timeout."""
        self.fleet.delays = (1, 2, 3, 4, 5, 400, 2500)
        self.write_for(milliseconds)

    @rule(milliseconds=TIMES)
    def heal_links(self, milliseconds: int) -> None:
        self.fleet.partitions.clear()
        self.write_for(milliseconds)

    @rule(milliseconds=TIMES)
    def heal(self, milliseconds: int) -> None:
        self.end_faults()
        self.write_for(milliseconds)

    def end_faults(self) -> None:
        """End all faults."""
        fleet = self.fleet
        fleet.partitions.clear()
        fleet.paused.clear()
        fleet.answers_to_lose.clear()
        fleet.delays = (1, 2, 3, 4, 5)
        for name in list(fleet.dead):
            fleet.start_instance(name)
        for name in DATABASES:
            fleet.databases[name].up = True

    @invariant()
    def acknowledged_writes_survive(self) -> None:
        self.fleet.assert_acknowledged_writes_survive()

    def teardown(self) -> None:
        try:
            self.recover()
        finally:
            patch.stopall()

    def recover(self) -> None:
        """End all faults and expect the group to take writes again."""
        fleet = self.fleet
        self.end_faults()
        fleet.run(12_000)
        before = len(fleet.acknowledged)
        for name in INSTANCES:
            fleet.write(name, 0)
        fleet.run(500)
        fleet.assert_acknowledged_writes_survive()
        assert len(fleet.acknowledged) == before + len(INSTANCES)
        logs = [database.log for database in fleet.databases.values()]
        assert logs[0] == logs[1] == logs[2]


TestFailover = Failover.TestCase
TestFailover.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    # Shrinking a failure takes minutes; the unshrunk steps show it as well.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
