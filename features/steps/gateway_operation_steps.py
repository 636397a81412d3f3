"""Steps: metrics, state and explanations of a gateway."""

from __future__ import annotations

import asyncio

from behave import then, when

from standins.common import wait_for


def run(context, work):
    return context.loop.run_until_complete(work)


async def ask(context, target: str, method: str = "GET") -> str:
    port = context.fixture.gateway.operations_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request = f"{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    writer.write(request.encode())
    data = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return data.decode()


@then('"{target}" shows "{text}"')
def step_tells(context, target, text):
    answer = run(context, ask(context, target))
    assert " 200 " in answer.splitlines()[0], answer
    assert text in answer or text in answer.replace('": "', '":"'), answer


@then('neither "{first}" nor "{second}" nor "{third}" shows "{text}"')
def step_none(context, first, second, third, text):
    for target in (first, second, third):
        assert text not in run(context, ask(context, target))


@then('the log\'s lines about "{request_id}" show "{text}"')
def step_log(context, request_id, text):
    context.fixture.gateway.context.decisions.flush()
    lines = context.fixture.log_path.read_text().splitlines()
    about = [line for line in lines if f'"request_id":"{request_id}"' in line]
    assert any(text in line for line in about), lines


REFUSED = 0xAB


@when("a request is refused since {ends:d} servers ended under it")
def step_refused(context, ends):
    quarantine = context.fixture.gateway.context.quarantine
    begin = context.loop.time() - ends
    for n in range(ends):
        quarantine.note_lost(REFUSED, f"s-{n}", begin + n, begin + n + 1)
        quarantine.note_server_ended(f"s-{n}")
    assert not quarantine.admit([REFUSED], context.loop.time())


@then('an operator who asks "<method> <target>" gets <status> "<text>"')
def step_operator(context):
    for row in context.table:
        answer = run(context, ask(context, row["target"], row["method"]))
        assert f" {row['status']} " in answer.splitlines()[0], answer
        assert row["text"] in answer, answer


@then('the request is sent again, and a line tells "{event}"')
def step_sent_again(context, event):
    fixture = context.fixture
    assert fixture.gateway.context.quarantine.admit([REFUSED], context.loop.time())

    def find() -> bool:
        return f'"event":"{event}"' in fixture.log_path.read_text()

    run(context, wait_for(find, f"a line {event}"))
