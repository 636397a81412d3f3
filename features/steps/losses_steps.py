"""Steps: the sum of losses from decision lines."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from features.gateway_support import GatewayFixture, build_tree
from ramppin.losses import Grouping, LossReport, read_loss
from standins.backend import Reply

LINES = [
    '{"event":"given_up","time":5.2,"vm":"a","rule":"no_server","runs":0,"status":503,'
    '"request_id":"q1"}',
    '{"event":"given_up","time":5.9,"vm":"b","rule":"no_server","runs":0,"status":503,'
    '"request_id":"q2"}',
    "noise",
    '{"event":"given_up","time":6.1,"vm":"b","rule":"timed_out","runs":1,"status":504,'
    '"request_id":"q3"}',
]


def run(context, work):
    return context.loop.run_until_complete(work)


def read_field(text: str) -> tuple[str, object]:
    name, _, value = text.partition("=")
    return name, int(value) if value.isdigit() else value.replace("_left", " left")


@then('the line "{line}" is read as "{found}"')
def step_line(context, line, found):
    event, *fields = line.split()
    loss = read_loss({"event": event, "time": 1.5} | dict(map(read_field, fields)))
    shown = f"{loss.loss.value} by {loss.keys[Grouping.RULE]}" if loss else "nothing"
    assert shown == found, shown


@then('the text {text} is no line, since "{reason}"')
def step_no_line(context, text, reason):
    report = LossReport()
    report.take_lines("here", ["", text])
    assert report.bad_lines == 1
    assert (report.first_bad.source, report.first_bad.number) == ("here", 2)
    assert reason in report.first_bad.reason, report.first_bad


@then("the text {text} counts as nothing")
def step_nothing(context, text):
    report = LossReport()
    report.take_lines("here", [text])
    assert (report.lines, report.bad_lines) == (0, 0), report


@then(
    "{count:d} losses of as many servers and seconds keep at most {limit:d} keys "
    "of each kind"
)
def step_bounded(context, count, limit):
    report = LossReport()
    report.take_lines(
        "here",
        (
            json.dumps({"event": "given_up", "time": n, "runs": 1, "server": f"s{n}"})
            for n in range(count)
        ),
    )
    for grouping, counts in report.groups.items():
        assert len(counts) <= limit, grouping
        assert sum(found.total for found in counts.values()) == count


@given("a file with 3 losses of 2 rules and a line that is none")
def step_file(context):
    scratch = tempfile.TemporaryDirectory()
    context.cleanups.append(lambda: asyncio.to_thread(scratch.cleanup))
    context.file = Path(scratch.name) / "lines"
    context.file.write_text("\n".join(LINES))


async def run_losses(*arguments: str, text: str = ""):
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ramppin",
        "losses",
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=os.environ | {"TERM": "dumb", "COLUMNS": "200"},
    )
    output, _ = await child.communicate(text.encode())
    return child.returncode, output.decode()


@when('"ramppin losses" reads it as a file by rule and vm')
def step_read_file(context):
    arguments = [str(context.file), "--by", "rule", "--by", "vm"]
    context.source = str(context.file)
    context.result = run(context, run_losses(*arguments))


@when('"ramppin losses" reads it from standard input by rule')
def step_read_input(context):
    text = context.file.read_text()
    context.source = "standard input"
    context.result = run(context, run_losses("--by", "rule", text=text))


@when('"ramppin losses" reads a file that is not there')
def step_read_missing(context):
    context.result = run(context, run_losses("/nowhere/lines"))


@then("it prints the rules with their counts and an example, and names the bad line")
def step_prints(context):
    code, output = context.result
    assert code == 0, output
    rows = [line.split() for line in output.splitlines()]
    assert ["no_server", "0", "2", "0", "0", "q1"] in rows, output
    assert ["timed_out", "1", "0", "0", "0", "q3"] in rows, output
    assert f"{context.source}:3: not JSON" in output, output


@then("the command ends with {code:d} and names the file")
def step_names_file(context, code):
    assert context.result[0] == code, context.result
    assert "/nowhere/lines" in context.result[1]


async def answer_by_header(reply: Reply) -> None:
    """Do what the request's header asks for."""
    what = reply.request.headers.get(b"x-do", b"").decode()
    if what == "reject":
        await reply.answer(503, b"", headers=b"%b: 1\r\n" % reply.names.not_run)
    elif what == "error":
        await reply.answer(500, b"wrong")
    elif what == "reset":
        reply.reset()
    elif what == "hang":
        await asyncio.sleep(60)


async def lose_requests(context) -> list[str]:
    """Lose one request in each way and return the gateway's lines."""
    fixture = context.fixture = GatewayFixture()
    context.cleanups.append(fixture.stop)
    await fixture.start()
    fixture.publish(build_tree())
    for number in range(5):
        backend = await fixture.add_backend(f"p{number}", "plain")
        backend.script = answer_by_header
    await fixture.wait_until_ready(5)
    for path, what in (
        ("/once/", "error"),
        ("/once/", "reset"),
        ("/again/", "error"),
        ("/once/", "reject"),
        ("/brief/", "hang"),
    ):
        await fixture.ask(path, headers={"X-Do": what})
    fixture.gateway.context.decisions.flush()
    return fixture.log_path.read_text().splitlines()


@given("a gateway whose requests are lost in several ways")
def step_lose(context):
    context.lines = run(context, lose_requests(context))


@then("its lines give these losses")
def step_losses(context):
    report = LossReport()
    report.take_lines("gateway", context.lines)
    assert report.bad_lines == 0, report.first_bad
    found = {
        (rule, loss.value, count)
        for rule, counts in report.groups[Grouping.RULE].items()
        for loss, count in counts.counts.items()
    }
    wanted = {(row["rule"], row["loss"], int(row["count"])) for row in context.table}
    assert found == wanted, found
