"""Steps that run the command line."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

from behave import then, when

from standins.fleet import OPERATOR_KEY

POOL = {"p": {"backend_servers": {}}}
KEY_HASH = "0" * 64
BAD_FILES = {
    "break off": '{\n  "fleet": {',
    "have an unknown key": json.dumps(
        {"fleet": {"bund": 1.5}, "pools": POOL, "services": {}}
    ),
    "have a bound that is too low": json.dumps(
        {"fleet": {"bound": 1.0}, "pools": POOL, "services": {}}
    ),
    "name a pool that isn't there": json.dumps(
        {"pools": POOL, "services": {"s": {"kind": "plain", "pool": "q"}}}
    ),
    "use one key twice": json.dumps(
        {
            "pools": POOL,
            "services": {},
            "customers": {
                "a": {"key_hashes": [KEY_HASH]},
                "b": {"key_hashes": [KEY_HASH]},
            },
        }
    ),
    "repeat a key": '{"fleet": {}, "fleet": {}}',
}


async def run_command(*arguments: str, env: dict[str, str] | None = None):
    """Run the command line and return its exit code and what it printed."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ramppin",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        env=os.environ | {"TERM": "dumb", "COLUMNS": "200"} | (env or {}),
    )
    output, _ = await child.communicate()
    return child.returncode, output.decode()


def write_file(context, name: str, text: str) -> str:
    scratch = tempfile.TemporaryDirectory()

    async def clean_up():
        scratch.cleanup()

    context.cleanups.append(clean_up)
    path = Path(scratch.name) / name
    path.write_text(text)
    return str(path)


@when("a settings file that {what} is checked")
def step_check(context, what):
    if what == "are the association's":
        path = "examples/coral.jsonc"
    elif what == "are the nominations team's":
        path = "examples/jordan.jsonc"
    elif what == "are not there":
        path = "nowhere/bad.jsonc"
    else:
        path = write_file(context, "bad.jsonc", BAD_FILES[what])
    context.done = context.loop.run_until_complete(run_command("check", path))


@when("the command runs: {command}")
def step_command(context, command):
    patch = {"fleet": {"bound": 1.4}}
    files = {
        "PATCH": lambda: write_file(context, "patch.jsonc", json.dumps(patch)),
        "BAD": lambda: write_file(context, "bad.jsonc", '{"fleet": {"bound": 0}}'),
    }
    arguments = [files[a]() if a in files else a for a in command.split()]
    env = {
        "RAMPPIN_OPERATOR_URL": context.fleet.get_operator_url("vm-1"),
        "RAMPPIN_OPERATOR_KEY": OPERATOR_KEY,
    }
    context.done = context.loop.run_until_complete(run_command(*arguments, env=env))


@then('the command ends with {code:d} and says "{words}"')
def step_done(context, code, words):
    assert context.done[0] == code, context.done
    assert words in context.done[1], context.done[1]
