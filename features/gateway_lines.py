"""Lets one gateway write each kind of line that it has, and asks it as operators do.

What it returns is compared with what is recorded, since operators' tools read it.
Relies on a gateway fixture with an empty log; stops its gateway.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from features.gateway_support import GatewayFixture, build_tree, encode_request
from ramppin.gateway.connection.callerwire import Unanswered
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.limits.retrybudget import RetryRules
from ramppin.gateway.process.membership.servernotices import NoticeSource
from ramppin.gateway.process.memory import AbortedConnection, Peer
from ramppin.gateway.process.reporting.decisions import DecisionLog
from ramppin.gateway.process.stalldetector import STALL_S
from ramppin.gateway.request.admission import Denial
from ramppin.gateway.request.result import AttemptEnd
from standins.common import wait_for

SUSPECT = 0xAB
"""Fingerprint of a request under which servers end."""


class GatewayLines:
    """Makes each kind of line happen, in the order of a gateway's life.

    Args:
        fixture: a started gateway that has neither settings nor servers.
    """

    def __init__(self, fixture: GatewayFixture) -> None:
        self._fixture = fixture
        self._gateway = fixture.gateway

    async def write_all(self) -> dict[str, Any]:
        """Return the fields of each event, of answers to operators, and names."""
        await self._change_settings()
        await self._change_servers()
        await self._serve_requests()
        await self._take_up_stream()
        await self._write_snapshot()
        await self._hear_words()
        await self._quarantine_request()
        await self._abort_slow_reader()
        await self._spend_retry()
        answers = await self._ask_operator()
        await self._restart_server()
        await self._end()
        events = read_events(self._fixture.log_path)
        events |= await write_start_line_without_operators()
        events |= write_dropped_line()
        return {
            "events": dict(sorted(events.items())),
            "answers": answers,
            "ends of attempts": sorted(end.value for end in AttemptEnd),
            "denials": sorted([denial.status, denial.reason] for denial in Denial),
        }

    async def _wait_for_event(self, event: str) -> None:
        def is_written() -> bool:
            self._gateway.context.decisions.flush()
            return event in read_events(self._fixture.log_path)

        await wait_for(is_written, f"a line {event}")

    async def _change_settings(self) -> None:
        fixture = self._fixture
        await fixture.ask("/again/", request_id="early")
        await self._wait_for_event("denied")
        await fixture.add_backend("p1", "plain", slots=2)
        fixture.publish(build_tree(3))
        await fixture.wait_until_ready(1)
        fixture.publish(build_tree(2))
        await self._wait_for_event("settings_older")
        for value, event in ((b"{}", "domain_evacuated"), (None, "domain_restored")):
            fixture.settings.put("evacuated/faro", value)
            await self._wait_for_event(event)
        fixture.publish({"version": "none"})
        await self._wait_for_event("settings_refused")

    async def _change_servers(self) -> None:
        fixture = self._fixture
        fixture.announce("p1", "plain", slots=2, cold_s=1.0)
        await self._wait_for_event("server_cold")
        fixture.announce("p1", "plain", slots=2, build="v2")
        await self._wait_for_event("builds_mixed")
        await self._wait_for_event("builds_read")
        await self._wait_for_event("build_recorded")
        fixture.announce("p1", "plain", slots=2)
        fixture.servers.put("bad", b"{}")
        await self._wait_for_event("server_refused")

    async def _serve_requests(self) -> None:
        fixture = self._fixture
        await fixture.ask("/again/", request_id="served")
        await self._wait_for_event("answered")
        caller = await fixture.connect()
        await caller.send(encode_request("/again/", headers={"Long": "x" * 5000}))
        await caller.read()
        await self._wait_for_event("refused")
        await fixture.backends["p1"].stop()
        await fixture.ask("/again/", request_id="failed")
        await self._wait_for_event("given_up")
        await self._wait_for_event("attempt_failed")

    async def _take_up_stream(self) -> None:
        headers = {"Last-Event-Id": "3", "Ramppin-Continues": "began"}
        await self._fixture.ask("/resume/", request_id="again", headers=headers)
        await self._wait_for_event("stream_taken_up")

    async def _write_snapshot(self) -> None:
        await self._wait_for_event("snapshot_read")
        await self._gateway.tables.snapshots._write()
        await self._wait_for_event("snapshot_written")

    async def _hear_words(self) -> None:
        notices, now = (
            self._gateway.context.directory.notices,
            asyncio.get_running_loop().time(),
        )
        notices.note_leaving("p2", NoticeSource.ANSWER, now)
        await self._wait_for_event("server_closed")
        notices.note_backoff("p2", 0.1, now)
        await self._wait_for_event("server_opened")

    async def _quarantine_request(self) -> None:
        quarantine = self._gateway.context.quarantine
        begin = asyncio.get_running_loop().time() - 100.0
        for n in range(3):
            quarantine.note_lost(SUSPECT, f"s-{n}", begin + n, begin + n + 1)
            quarantine.note_server_ended(f"s-{n}")
        await self._wait_for_event("quarantined")
        assert quarantine.admit([SUSPECT], asyncio.get_running_loop().time())
        await self._wait_for_event("quarantine_trial")

    async def _abort_slow_reader(self) -> None:
        aborted = AbortedConnection(Peer.CALLER, [], 200_000, 60_000, 50_000, 1.0, 9.0)
        self._gateway._note_memory_abort(aborted)
        await self._wait_for_event("connection_aborted")

    async def _spend_retry(self) -> None:
        budget, now = (
            self._gateway.context.retry_budget,
            asyncio.get_running_loop().time(),
        )
        budget.replace_rules(RetryRules(window_s=1.0))
        assert budget.consume("plain", now)
        await self._wait_for_event("retries")

    async def _ask_operator(self) -> dict[str, Any]:
        operator = Operator(self._gateway.operations_port)
        names = ("/dump", "/explain served", "/explain failed", "/explain unknown")
        answers = {
            name: describe_keys(await operator.ask(name.replace(" ", "/")))
            for name in names
        }
        decisions = (await operator.ask("/explain/failed"))["decisions"]
        answers["given up"] = describe_keys(decisions[-1:])
        self._fixture.publish(build_tree(4, overload={}))
        context = self._gateway.context
        await wait_for(lambda: context.overload, "overload control is enabled")
        dump = await operator.ask("/dump")
        answers["/dump overload"] = describe_keys(dump["overload"])
        return answers

    async def _restart_server(self) -> None:
        fixture = self._fixture
        fixture.announce("p1", "plain", slots=2, started_ms=1000)
        fixture.announce("p1", "plain", slots=2, started_ms=2000)
        await self._wait_for_event("server_restarted")
        fixture.announce("p1", "plain", slots=2, started_ms=1000)
        await self._wait_for_event("server_older")
        fixture.announce("p1", "plain", slots=2, started_ms=2000, sequence=2)
        fixture.announce("p1", "plain", slots=2, started_ms=2000, sequence=1)
        await self._wait_for_event("server_outdated")

    async def _end(self) -> None:
        fixture, gateway = self._fixture, self._gateway
        gateway.context.quarantine.clear(SUSPECT, asyncio.get_running_loop().time())
        await self._wait_for_event("quarantine_cleared")
        fixture.servers.put("p1", None)
        await self._wait_for_event("server_gone")
        gateway.reload(gateway.config)
        await self._wait_for_event("reloaded")
        gateway.upkeep.note_tick(STALL_S, asyncio.get_running_loop().time())
        await self._wait_for_event("stalled")
        request = CallerRequest(b"POST", b"/", [])
        gateway.context.listener.note_unanswered(request, Unanswered.QUEUED)
        await self._wait_for_event("unanswered")
        gateway.start_drain()
        await self._wait_for_event("draining")
        await gateway.stop()
        await self._wait_for_event("stopped")


@dataclass
class Operator:
    """Asks a gateway's operations listener."""

    port: int

    async def ask(self, target: str) -> Any:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        request = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        writer.write(request.encode())
        data = await asyncio.wait_for(reader.read(), 20)
        writer.close()
        return json.loads(data.partition(b"\r\n\r\n")[2])


async def write_start_line_without_operators() -> dict[str, list[str]]:
    """Return the line of a gateway whose operations port is taken."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        fixture = GatewayFixture(operations_port=taken.getsockname()[1])
        await fixture.start()
        fixture.gateway.context.decisions.flush()
        events = read_events(fixture.log_path)
        await fixture.stop()
    return {"operations_unavailable": events["operations_unavailable"]}


def write_dropped_line() -> dict[str, list[str]]:
    """Return the line that tells how many were dropped."""
    with tempfile.NamedTemporaryFile() as file:
        decisions = DecisionLog("vm-1", descriptor=file.fileno())
        for _ in range(1000):
            decisions.note("started")
        decisions.refill()
        decisions.flush()
        events = read_events(Path(file.name))
    return {"lines_dropped": events["lines_dropped"]}


def read_events(path: Path) -> dict[str, list[str]]:
    """Return the fields of each event, in their order."""
    lines = path.read_text().splitlines()
    return {line["event"]: list(line) for line in map(json.loads, lines)}


def describe_keys(value: Any) -> Any:
    """Return the keys of a JSON value; of a list, those of its first item."""
    if isinstance(value, dict):
        return {key: describe_keys(part) for key, part in value.items()}
    if isinstance(value, list):
        return [describe_keys(part) for part in value[:1]]
    return "value"
