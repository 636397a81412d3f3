"""Steps: planned stops of real processes."""

from __future__ import annotations

import asyncio

from behave import then

from features.stop_soak import StopSoak


@then("soaks of stops break no promise:")
def step_stops(context):
    async def play(form: str, seed: int) -> list[str]:
        soak = StopSoak(seed, 0.0, form="" if form == "drawn" else form)
        broken = await soak.run()
        print(soak.show())
        return [f"{form}, seed {seed}: {line}" for line in broken]

    async def play_all() -> list[list[str]]:
        rows = [(row["form"], int(row["seed"])) for row in context.table]
        return await asyncio.gather(*(play(*row) for row in rows))

    found = context.loop.run_until_complete(play_all())
    broken = [line for lines in found for line in lines]
    assert not broken, broken
