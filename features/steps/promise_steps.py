"""Steps: what the status of an answer promises of its request."""

from __future__ import annotations

import asyncio

from behave import given, then

from features.steps.forwarding_steps import HOSTS, NAMES, run
from features.steps.gateway_rule_steps import RULE_ROUTES, show_ending
from ramppin.gateway.connection.upstream import AnswerHead
from ramppin.gateway.request.finalanswer import Ending, FinalAnswer
from ramppin.gateway.request.promise import limit_promise
from ramppin.gateway.request.retry import Progress, Verdict
from standins.backend import Reply

BODY = b"the server's error"
KNOWN_RUNS = {"may have run": 1, "has not run": 0}
PAUSE_S = 0.25
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def build_vm(answer: bytes):
    """Return what serves as a VM that confirms each request and answers it alike."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        lines = [line.partition(b": ") for line in head.split(b"\r\n")]
        [request_id] = [value for name, _, value in lines if name == NAMES.request_id]
        writer.write(CONTINUE)
        await reader.read(1)
        writer.write(answer % request_id)
        await writer.drain()
        writer.close()

    return serve


@given('the path of "{vm}" to all servers is {way}')
def step_path(context, vm, way):
    if way == "direct":
        return

    async def cut() -> None:
        context.fleet.cut(vm)

    run(context, cut())


def answer_alike(context, status, headers) -> None:
    async def answer(reply: Reply) -> None:
        lines = headers.encode() + b"\r\n" if headers else b""
        await reply.answer(status, BODY, headers=lines)

    for backend in context.fleet.first.backends.values():
        backend.script = answer


@given('all servers run a request and answer {status:d} with "{headers}"')
def step_answer(context, status, headers):
    answer_alike(context, status, headers)


@given('all servers run a request and answer {status:d} with ""')
def step_answer_plain(context, status):
    answer_alike(context, status, "")


def replace_vm(context, vm, status, headers) -> None:
    lines = f"HTTP/1.1 {status} X\r\nRamppin-Signature: s\r\n{headers}"
    head = lines.encode() + b"Ramppin-Request-Id: %b\r\n"
    answer = head + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    server = context.fleet.vms[vm].gateway._servers["forwards"]

    async def replace() -> None:
        port = server.sockets[0].getsockname()[1]
        server.close()
        other = await asyncio.start_server(build_vm(answer), HOSTS[vm], port)

        async def stop() -> None:
            other.close()

        context.cleanups.append(stop)

    run(context, replace())


@given('"{vm}" answers requests of other VMs with {status:d} and "{headers}"')
def step_other_vm(context, vm, status, headers):
    replace_vm(context, vm, status, f"{headers}\r\n")


@given('"{vm}" answers requests of other VMs with {status:d} and ""')
def step_other_vm_plain(context, vm, status):
    replace_vm(context, vm, status, "")


@then("its caller gets {status:d} of the {sender}")
def step_caller_gets(context, status, sender):
    answer = context.fleet.answers[-1]
    assert answer.status == status, answer.data
    is_signed = b"ramppin-signature" in answer.head
    assert is_signed == (sender == "server"), answer.data
    assert answer.body == (BODY if is_signed else b""), answer.data
    if sender == "VM":
        assert b"retry-after" not in answer.head, answer.data
    assert b"confirmed-not-run" not in answer.head, answer.data


@then(
    'with a request that {known}, on a "{kind}" route, a final "{ending} {status:d}" '
    'with a pause becomes "{sent}"'
)
def step_limited(context, known, kind, ending, status, sent):
    found = Ending[ending]
    relayed = (AnswerHead(status, [], 0), b"") if found is Ending.RELAY else None
    final = FinalAnswer(found, status, Verdict.NO_SERVER, PAUSE_S, relayed)
    if found is Ending.CUT:
        final = FinalAnswer(found, status, Verdict.NO_SERVER)
    progress = Progress(runs=KNOWN_RUNS[known])
    limited = limit_promise(final, progress, repeatable=RULE_ROUTES[kind].repeatable)
    assert show_ending(limited) == sent, show_ending(limited)
    assert (limited.server_answer is not None) == sent.startswith("RELAY")
    assert limited.reason is Verdict.NO_SERVER
