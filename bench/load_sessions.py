"""Sessions of the load tool: each keeps its token and the outcomes of its writes.

A write inserts a row (session, sequence); a read asks for the session's highest
sequence. The comparison of rows with outcomes finds lost writes, stale reads, writes
that ran twice, and writes that ran although their answer said that they did not.
"""

import asyncio
import random
import re
from enum import StrEnum
from time import monotonic
from typing import Any

import aiohttp
from attrs import define, field, frozen

TABLE = "pimentodrift_load"
CREATE_TABLE = f"CREATE TABLE IF NOT EXISTS {TABLE} (session text, sequence bigint)"
CREATE_INDEX = (
    f"CREATE INDEX IF NOT EXISTS {TABLE}_index ON {TABLE} (session, sequence)"
)
INSERT = f"INSERT INTO {TABLE} VALUES ($1, $2)"
SELECT_LAST = f"SELECT max(sequence) FROM {TABLE} WHERE session = $1"
SELECT_ALL = (
    f"SELECT sequence, count(*) FROM {TABLE} WHERE session = $1 GROUP BY sequence"
)
PROBLEM_TYPE = re.compile(r"[\w-]+")  # The last part of a problem's URI.
MAX_VIOLATIONS = 20  # Number of violations kept with details; more are only counted.


class Outcome(StrEnum):
    """Whether a request's statement ran, as far as the tool can know."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Violation(StrEnum):
    """A guarantee of the proxy that was violated."""

    STALE_READ = "stale_read"  # A read without the session's acknowledged write.
    READ_WENT_BACK = "read_went_back"  # A read with older data than an earlier read.
    WRITE_LOST = "write_lost"  # An acknowledged write is missing at the end.
    WRITE_RAN_TWICE = "write_ran_twice"
    # The row of a write that was answered as not run.
    NOT_RUN_BUT_PRESENT = "not_run_but_present"


@frozen
class Workspace:
    """A workspace's name and key, and the rate at which to send, in requests/s."""

    name: str
    key: str
    rate: float


@frozen
class Answer:
    """The result of one request."""

    outcome: Outcome
    status: int  # The HTTP status; 0 if no response arrived.
    label: str  # "ok", the problem's type, or the kind of the connection's error.
    rows: list[list[Any]] = field(factory=list)
    retry_after_s: float = 0  # 0 if the response does not say.


@define
class Client:
    """Sends each request to a random proxy."""

    http: aiohttp.ClientSession
    proxies: list[str]
    random: random.Random
    max_age_ms: int | None = None
    use_idempotency_keys: bool = False

    async def send(
        self,
        session: "Session",
        statement: str,
        parameters: list[str | int],
        access: str,
        idempotency_key: str = "",
    ) -> Answer:
        """Send a statement of a session and keep the session token of the answer."""
        body: dict[str, object] = {
            "statement": statement,
            "parameters": parameters,
            "access": access,
        }
        if access == "read" and self.max_age_ms is not None:
            body["max_age_ms"] = self.max_age_ms
        headers = {"Authorization": f"Bearer {session.workspace.key}"}
        if session.token:
            headers["Session-Token"] = session.token
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        proxy = self.random.choice(self.proxies)
        url = f"{proxy}/v1/groups/{session.group}/statements"
        try:
            async with self.http.post(url, json=body, headers=headers) as response:
                session.token = response.headers.get("Session-Token", session.token)
                return await read_answer(response)
        except aiohttp.ClientConnectorError:
            return Answer(Outcome.NOT_RUN, 0, "connect-failed")
        except TimeoutError:
            return Answer(Outcome.UNKNOWN, 0, "timeout")
        except (aiohttp.ClientError, OSError) as error:
            return Answer(Outcome.UNKNOWN, 0, type(error).__name__)


async def read_answer(response: aiohttp.ClientResponse) -> Answer:
    """Return the answer that a response's body holds: rows or a problem."""
    body = await response.json(content_type=None)
    if response.status == 200:
        return Answer(Outcome.RAN, 200, "ok", body.get("rows", []))
    return Answer(
        Outcome(body.get("outcome", Outcome.UNKNOWN)),
        response.status,
        PROBLEM_TYPE.findall(str(body.get("type", "unknown")))[-1],
        retry_after_s=float(response.headers.get("Retry-After", 0)),
    )


@define
class Violations:
    """The number of violations of each kind, and the details of the first ones."""

    counts: dict[Violation, int] = field(factory=lambda: dict.fromkeys(Violation, 0))
    details: list[str] = field(factory=list)

    def add(self, violation: Violation, detail: str) -> None:
        """Count a violation, and keep its details if there are few so far."""
        self.counts[violation] += 1
        if len(self.details) < MAX_VIOLATIONS:
            self.details.append(f"{violation}: {detail}")


@define(eq=False)
class Session:
    """One caller with its session token and the outcome of each of its writes."""

    name: str
    workspace: Workspace
    group: str
    violations: Violations
    token: str = ""
    last_sequence: int = 0
    highest_read: int = 0
    writes: dict[int, Outcome] = field(factory=dict)

    async def write(self, client: Client) -> Answer:
        """Insert the row of the next sequence and record the outcome."""
        self.last_sequence += 1
        sequence = self.last_sequence
        key = f"{self.name}-{sequence}" if client.use_idempotency_keys else ""
        self.writes[sequence] = Outcome.UNKNOWN
        answer = await client.send(self, INSERT, [self.name, sequence], "write", key)
        self.writes[sequence] = answer.outcome
        return answer

    async def read(self, client: Client) -> Answer:
        """Read the highest sequence; report a violation if a higher one is known."""
        answer = await client.send(self, SELECT_LAST, [self.name], "read")
        if answer.outcome is not Outcome.RAN:
            return answer
        if client.max_age_ms is not None:
            return answer  # The caller accepts data older than its own writes.
        value = int(answer.rows[0][0] or 0)
        if value < self.last_acknowledged():
            self.report_old_read(Violation.STALE_READ, value, self.last_acknowledged())
        if value < self.highest_read:
            self.report_old_read(Violation.READ_WENT_BACK, value, self.highest_read)
        self.highest_read = max(self.highest_read, value)
        return answer

    def last_acknowledged(self) -> int:
        """Return the highest sequence whose write was acknowledged, or 0."""
        for sequence in range(self.last_sequence, 0, -1):
            if self.writes[sequence] is Outcome.RAN:
                return sequence
        return 0

    def report_old_read(self, violation: Violation, found: int, expected: int) -> None:
        """Report a read whose data is too old."""
        detail = f"{self.name} in {self.group}: read {found}, expected {expected}"
        self.violations.add(violation, detail)

    async def verify_writes(self, client: Client, deadline: float) -> bool:
        """Compare the database's rows with the outcomes of the writes.

        The read has no session token, so that the primary answers it. Returns False if
        no read succeeded before the deadline.
        """
        while monotonic() < deadline:
            self.token = ""
            answer = await client.send(self, SELECT_ALL, [self.name], "read")
            if answer.outcome is Outcome.RAN:
                self.check_writes({int(row[0]): int(row[1]) for row in answer.rows})
                return True
            await asyncio.sleep(answer.retry_after_s or 0.2)
        return False

    def check_writes(self, counts: dict[int, int]) -> None:
        """Report each write whose number of rows contradicts its outcome."""
        for sequence, outcome in self.writes.items():
            count = counts.get(sequence, 0)
            detail = f"{self.name} in {self.group}: sequence {sequence}"
            if outcome is Outcome.RAN and count == 0:
                self.violations.add(Violation.WRITE_LOST, detail)
            if outcome is Outcome.NOT_RUN and count > 0:
                self.violations.add(Violation.NOT_RUN_BUT_PRESENT, detail)
            if count > 1:
                self.violations.add(Violation.WRITE_RAN_TWICE, detail)
