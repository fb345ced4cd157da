"""Tests that the load tool detects each kind of fault of a proxy."""

import asyncio
from collections import defaultdict
from typing import Any

import pytest
from aiohttp import web
from attrs import define, field

from bench import load
from bench.load_report import Report
from bench.load_sessions import Violation, Workspace

FAULT_INTERVAL = 5  # The faulty proxy misbehaves once in this number of requests.


@define
class FaultyProxy:
    """A proxy that keeps the tool's rows in memory and violates one guarantee."""

    fault: str
    rows: dict[str, list[int]] = field(factory=lambda: defaultdict(list))
    requests: int = 0
    tokens: set[str] = field(factory=set)

    async def answer(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.tokens.add(request.headers.get("Session-Token", ""))
        self.requests += 1
        misbehaves = self.requests % FAULT_INTERVAL == 0
        status, reply = self.run(body["statement"], body["parameters"], misbehaves)
        return web.json_response(
            reply, status=status, headers={"Session-Token": f"t{self.requests}"}
        )

    def run(
        self, statement: str, parameters: list[Any], misbehaves: bool
    ) -> tuple[int, dict[str, Any]]:
        done: dict[str, Any] = {"columns": [], "rows": []}
        if statement.startswith("CREATE"):
            return 200, done
        rows = self.rows[parameters[0]]
        if statement.startswith("INSERT"):
            if not (misbehaves and self.fault == "lost"):
                rows.append(parameters[1])
            if misbehaves and self.fault == "twice":
                rows.append(parameters[1])
            if misbehaves and self.fault == "untrue":
                return 503, {"type": "x/queue-full", "outcome": "not_run"}
            return 200, done
        if "GROUP BY" in statement:
            return 200, {"rows": [[item, rows.count(item)] for item in set(rows)]}
        if misbehaves and self.fault == "stale":
            return 200, {"rows": [[None]]}
        return 200, {"rows": [[max(rows, default=None)]]}


async def run_against(proxy: FaultyProxy) -> Report:
    app = web.Application()
    app.router.add_post("/v1/groups/{group}/statements", proxy.answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    plan = load.Plan(
        proxies=[f"http://127.0.0.1:{port}"],
        workspaces=[Workspace("w", "key", 2000)],
        groups=["g", "h"],
        sessions=4,
        write_share=0.5,
        duration_s=60,
        max_requests=200,
        timeout_s=10,
        seed=1,
        run_id="run",
        backlog_per_session=200,
    )
    try:
        return await load.run(plan)
    finally:
        await runner.cleanup()


@pytest.mark.parametrize(
    ("fault", "found"),
    [
        ("none", set()),
        ("lost", {Violation.WRITE_LOST, Violation.STALE_READ}),
        ("twice", {Violation.WRITE_RAN_TWICE}),
        ("untrue", {Violation.NOT_RUN_BUT_PRESENT}),
        ("stale", {Violation.STALE_READ, Violation.READ_WENT_BACK}),
    ],
)
def test_each_fault_is_reported_as_itself(fault: str, found: set[Violation]) -> None:
    """Guards against a checker that misses a fault or reports it as another kind."""
    proxy = FaultyProxy(fault)
    report = asyncio.run(run_against(proxy))
    counts = report.violations.counts
    assert {violation for violation in Violation if counts[violation]} == found
    result = report.as_json()
    assert result["requests"] == result["workspaces"]["w"]["offered"] == 200
    assert len(proxy.tokens) > 4
    assert report.unverified_sessions == 0


@pytest.mark.parametrize("url", ["http://10.0.0.1:80", "http://example.org", "x"])
def test_only_loopback_addresses_are_accepted(
    url: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against load on other machines by mistake."""
    with pytest.raises(SystemExit):
        load.parse_arguments(["--proxy", url])
    assert "loopback" in capsys.readouterr().err
