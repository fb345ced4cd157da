"""Sessions of the load tool: each keeps its token and remembers its own writes.

A write inserts a row (session, sequence); a read asks for the session's highest
sequence. From what was acknowledged and what was refused as not run, the tool can tell
lost writes, stale reads, writes that ran twice and refusals that were not true.
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
MAX_VIOLATIONS = 20  # Kept with their details; the others are only counted.


class Outcome(StrEnum):
    """What the tool knows about a request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Violation(StrEnum):
    """A promise of the proxy that was broken."""

    STALE_READ = "stale_read"  # A read without the session's acknowledged write.
    READ_WENT_BACK = "read_went_back"  # A read older than an earlier one.
    WRITE_LOST = "write_lost"  # An acknowledged write is missing at the end.
    WRITE_RAN_TWICE = "write_ran_twice"
    NOT_RUN_BUT_PRESENT = "not_run_but_present"


@frozen
class Workspace:
    """A tenant with its key and the rate at which the tool sends, in requests/s."""

    name: str
    key: str
    rate: float


@frozen
class Answer:
    """The end of one request; `label` is the problem type or the kind of error."""

    outcome: Outcome
    status: int
    label: str
    rows: list[list[Any]] = field(factory=list)
    retry_after_s: float = 0


@define
class Client:
    """Sends requests to random proxies."""

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
        """Send a statement of a session and take over the session's new token."""
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
    """Return the rows or the problem of a response."""
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
    """Counts of broken promises, and the details of the first ones."""

    counts: dict[Violation, int] = field(factory=lambda: dict.fromkeys(Violation, 0))
    details: list[str] = field(factory=list)

    def add(self, violation: Violation, detail: str) -> None:
        """Count a violation."""
        self.counts[violation] += 1
        if len(self.details) < MAX_VIOLATIONS:
            self.details.append(f"{violation}: {detail}")


@define(eq=False)
class Session:
    """One caller with its token and the fate of each of its writes."""

    name: str
    workspace: Workspace
    group: str
    violations: Violations
    token: str = ""
    last_sequence: int = 0
    highest_read: int = 0
    writes: dict[int, Outcome] = field(factory=dict)

    async def write(self, client: Client) -> Answer:
        """Insert the next row and remember the outcome."""
        self.last_sequence += 1
        sequence = self.last_sequence
        key = f"{self.name}-{sequence}" if client.use_idempotency_keys else ""
        self.writes[sequence] = Outcome.UNKNOWN
        answer = await client.send(self, INSERT, [self.name, sequence], "write", key)
        self.writes[sequence] = answer.outcome
        return answer

    async def read(self, client: Client) -> Answer:
        """Read the highest sequence and compare it with what the session knows."""
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
        """Report a read that is too old."""
        detail = f"{self.name} in {self.group}: read {found}, expected {expected}"
        self.violations.add(violation, detail)

    async def verify_writes(self, client: Client, deadline: float) -> bool:
        """Compare the database's rows with the outcomes; return False without rows.

        It asks as a new session, which reads from the primary.
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
        """Report every write whose rows contradict its outcome."""
        for sequence, outcome in self.writes.items():
            count = counts.get(sequence, 0)
            detail = f"{self.name} in {self.group}: sequence {sequence}"
            if outcome is Outcome.RAN and count == 0:
                self.violations.add(Violation.WRITE_LOST, detail)
            if outcome is Outcome.NOT_RUN and count > 0:
                self.violations.add(Violation.NOT_RUN_BUT_PRESENT, detail)
            if count > 1:
                self.violations.add(Violation.WRITE_RAN_TWICE, detail)
