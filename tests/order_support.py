"""An endpoint with slots, set-up times and kinds of statements, in exact time."""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta
from random import Random

from attrs import define, evolve, field, frozen

from pimentodrift import session_core
from pimentodrift import session_messages as m
from pimentodrift.kind_messages import WatchedKind
from pimentodrift.messages import Access
from pimentodrift.route_configuration import DeclaredWorkspace, RouteConfiguration
from pimentodrift.session_rows import Consistency, EndpointRole

from .capped_database import DATABASE, HANDSHAKE, POSITION, Backend, CappedNetwork
from .session_support import GROUP, MILLISECOND, SECOND, make_endpoint, make_route

ENTRY = "i0"
HOLD = timedelta(milliseconds=2900)  # A transaction may be idle for 3 s.
TRANSPORT = MILLISECOND  # One way to the endpoint.


@frozen
class Kind:
    """Statements of a route: usual rate, service, objective, budget and value."""

    rate: float  # Statements/s at this endpoint.
    service_ms: float
    objective_ms: int
    budget_ms: int
    in_time: float
    late: float
    priority: int


# The kinds of deployment A, at the rates that use 0.7 of an endpoint with four slots.
KINDS = {
    "saves": Kind(25, 4.5, 505, 4000, 4.9, 0.97, 0),
    "bounded": Kind(45, 22, 805, 5000, 1.3, 0.64, 1),
    "syncs": Kind(121, 14, 2005, 4000, 1.3, 0.48, 2),
}


@frozen
class Request:
    """A statement that a client sends, and sends again when it is told to."""

    kind: str
    workspace: str
    sent_at: timedelta
    told: bool = False  # It came back at the time that it was told.


@define
class OrderNetwork(CappedNetwork):
    """One instance before an endpoint; events happen at their exact times."""

    kinds: dict[str, Kind] = field(factory=lambda: dict(KINDS))
    slots: int = 4
    workspaces: int = 8
    connection_limit: int = 56
    jobs: deque[tuple[timedelta, Callable[[], None]]] = field(factory=deque)
    requests: dict[int, Request] = field(factory=dict)  # By session.
    opened: int = 0
    value: float = 0.0
    # By kind or workspace and outcome; and those that came back at the time told.
    outcomes: Counter[tuple[str, str]] = field(factory=Counter)
    returns: Counter[str] = field(factory=Counter)
    # Clients idle in transactions, with the commands that they will send.
    holders: dict[int, tuple[str, deque[m.Command]]] = field(factory=dict)
    next_tick: timedelta = timedelta(0)

    def start(self) -> None:
        self.declare(1)
        endpoint = make_endpoint(
            role=EndpointRole.PRIMARY, slots=self.slots, data_centre="r0"
        )
        self.change(WatchedKind.REGISTRY, DATABASE, endpoint)
        self.add(ENTRY, "r0")
        self.run(3 * SECOND)

    def declare(self, version: int) -> None:
        """Write a version of the configuration with a route for each kind."""
        routes = tuple(
            make_route(
                database=name,
                consistency=Consistency.PRIMARY,
                objective=kind.objective_ms * MILLISECOND,
                timeout=kind.budget_ms * MILLISECOND,
                priority=kind.priority,
            )
            for name, kind in self.kinds.items()
        )
        declared = tuple(
            DeclaredWorkspace(f"w{number}", (f"w{number}",), 1e6, 1e6)
            for number in range(self.workspaces)
        )
        limits = {GROUP: self.connection_limit}
        idle = 3 * SECOND
        self.configure(RouteConfiguration(version, routes, declared, limits, idle))

    # --- Time

    def schedule(self, delay: timedelta, action: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (self.time + delay, self.order, action))

    def run(self, duration: timedelta) -> None:
        end = self.time + duration
        while self.time < end:
            due = min(self.next_tick, end)
            if self.agenda and self.agenda[0][0] <= due:
                self.time, _, action = heapq.heappop(self.agenda)
                action()
                continue
            self.time = due
            if due == self.next_tick:
                self.next_tick += session_core.TICK
                session_core.tick(self.nodes[ENTRY].state)
                self.process_outbox(ENTRY)

    # --- Clients

    def offer(
        self, factor: float, duration: timedelta, flood: float = 1.0, seed: int = 1
    ) -> None:
        """Send `factor` times the usual load, and `flood` times that of w0."""
        random = Random(seed)
        for name, kind in self.kinds.items():
            for number in range(self.workspaces):
                times = factor * (flood if number == 0 else 1.0)
                rate = kind.rate * times / self.workspaces
                at = random.expovariate(rate)
                while at < duration.total_seconds():
                    self.send_at(at, name, f"w{number}")
                    at += random.expovariate(rate)

    def send_at(self, seconds: float, kind: str, workspace: str) -> None:
        delay = timedelta(seconds=seconds)
        request = Request(kind, workspace, self.time + delay)
        self.schedule(delay, lambda: self.submit(request))

    def submit(self, request: Request) -> None:
        self.sessions += 1
        self.requests[self.sessions] = request
        opened = m.SessionOpened(self.sessions, request.kind, request.workspace)
        self.deliver(ENTRY, opened)
        command = m.Run(Access.WRITE, request.kind)
        self.deliver(ENTRY, m.SessionStatement(self.sessions, "s", command))

    def finish(self, request: Request, outcome: str) -> None:
        kind = self.kinds[request.kind]
        self.outcomes[request.kind, outcome] += 1
        self.outcomes[request.workspace, outcome] += 1
        if outcome == "in time":
            self.value += kind.in_time
        elif outcome == "late":
            self.value += kind.late

    def repeat(self, request: Request, retry_after: timedelta) -> None:
        """Come back at the time that the client was told, within its budget."""
        if request.told:
            self.returns["refused"] += 1
        budget = self.kinds[request.kind].budget_ms * MILLISECOND
        if self.time + retry_after > request.sent_at + budget:
            self.finish(request, "given up")
            return
        again = evolve(request, told=True)
        self.schedule(retry_after, lambda: self.submit(again))

    def share(self, name: str, outcome: str = "in time") -> float:
        """Return the part of the statements of a kind or workspace with an outcome."""
        total = sum(n for (key, _), n in self.outcomes.items() if key == name)
        return self.outcomes[name, outcome] / total

    # --- Clients idle in transactions

    def hold(self, workspace: str) -> None:
        """Begin a transaction, run a statement, be idle for HOLD, and commit."""
        self.sessions += 1
        self.holders[self.sessions] = (
            workspace,
            deque([m.Run(Access.WRITE, "saves"), m.Commit()]),
        )
        self.deliver(ENTRY, m.SessionOpened(self.sessions, "saves", workspace))
        self.deliver(ENTRY, m.SessionStatement(self.sessions, "s", m.Begin()))

    def continue_holder(self, session: int) -> None:
        """Send the next command of a client that got an answer."""
        workspace, commands = self.holders[session]
        if not commands:
            del self.holders[session]
            self.outcomes["holders", "held"] += 1
            self.hold(workspace)
            return
        command = commands.popleft()
        delay = HOLD if isinstance(command, m.Commit) else TRANSPORT
        statement = m.SessionStatement(session, "s", command)
        self.schedule(delay, lambda: self.deliver(ENTRY, statement))

    def end_holder(self, message: m.RefuseStatement) -> None:
        """Let a client that was refused begin again when it was told to."""
        workspace, _ = self.holders.pop(message.session)
        self.deliver(ENTRY, m.SessionClosed(message.session))
        self.outcomes["holders", message.refusal.detail] += 1
        after = message.refusal.retry_after or SECOND
        self.schedule(after, lambda: self.hold(workspace))

    def perform(self, name: str, message: object) -> None:
        match message:
            case m.AnswerStatement() if message.session in self.holders:
                self.continue_holder(message.session)
            case m.RefuseStatement() if message.session in self.holders:
                self.end_holder(message)
            case m.OpenPooled():
                self.schedule(TRANSPORT, lambda: self.accept(message.connection))
            case m.AnswerStatement():
                request = self.requests.pop(message.session)
                took = self.time - request.sent_at
                objective = self.kinds[request.kind].objective_ms * MILLISECOND
                is_of_use = took <= self.kinds[request.kind].budget_ms * MILLISECOND
                outcome = "late" if is_of_use else "too late"
                self.finish(request, "in time" if took <= objective else outcome)
                self.returns["served"] += request.told
            case m.RefuseStatement():
                request = self.requests.pop(message.session)
                assert message.refusal.retry_after is not None
                self.repeat(request, message.refusal.retry_after)
            case _:
                super().perform(name, message)

    # --- The endpoint

    def use_slot(self, time: timedelta, end: Callable[[], None]) -> None:
        """Use a slot for a time, as soon as one is free."""
        if self.working >= self.slots:
            self.jobs.append((time, end))
            return
        self.working += 1

        def leave() -> None:
            self.working -= 1
            end()
            if self.jobs:
                self.use_slot(*self.jobs.popleft())

        self.schedule(time, leave)

    def reply(self, message: object) -> None:
        self.schedule(TRANSPORT, lambda: self.deliver(ENTRY, message))

    def accept(self, number: int) -> None:
        if len(self.backends) >= self.connection_limit:
            self.reply(m.PooledLost(number, m.Fault.TOO_MANY_CONNECTIONS))
            return
        self.opened += 1
        self.backends[ENTRY, number] = Backend(ENTRY, number)
        done = m.PooledOpened(number, POSITION)
        self.use_slot(HANDSHAKE, lambda: self.reply(done))

    def run_next(self, backend: Backend) -> None:
        if not backend.steps:
            return
        step = backend.steps[0]
        if isinstance(step, m.RunStatement):
            usual = self.kinds[step.text].service_ms * MILLISECOND
            time = usual * self.random.uniform(0.5, 1.5)
            self.use_slot(time, lambda: self.answer_step(backend))
        else:
            self.answer_step(backend)


def play(policy: str, load: Callable[[OrderNetwork], None], seed: int) -> OrderNetwork:
    """Play a load under a queue policy and let all statements end."""
    network = OrderNetwork(Random(seed), settings={"queue_policy": policy})
    network.start()
    load(network)
    network.run(20 * SECOND)
    return network
