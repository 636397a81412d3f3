"""Steps: streams before servers of several builds, with real processes."""

from __future__ import annotations

import asyncio

from behave import then

from features.build_soak import BuildSoak
from features.restart_soak import SECONDS, RestartSoak


@then(
    "a soak of streams with {vms:d} processes, {seconds:d} seconds, seed {seed:d} "
    'and "{harms}" breaks no promise'
)
def step_harms(context, vms, seconds, seed, harms):
    soak = BuildSoak(seed, float(seconds), vms, tuple(harms.split(",")))
    broken = context.loop.run_until_complete(soak.run())
    assert not broken, (broken, soak.show())


FORMS_AT_A_TIME = 3


@then("soaks with {vms:d} processes break no promise:")
def step_forms(context, vms):
    turns = asyncio.Semaphore(FORMS_AT_A_TIME)

    async def play(form: str, seed: int) -> list[str]:
        soak = RestartSoak(seed, SECONDS, vms, form=form)
        async with turns:
            broken = await soak.run()
        print(soak.show())
        return [f"{form}, seed {seed}: {line}" for line in broken]

    async def play_all() -> list[list[str]]:
        rows = [(row["form"], int(row["seed"])) for row in context.table]
        return await asyncio.gather(*(play(*row) for row in rows))

    found = context.loop.run_until_complete(play_all())
    broken = [line for lines in found for line in lines]
    assert not broken, broken
