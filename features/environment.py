"""Gives each scenario a loop of its own and stops what it started."""

from __future__ import annotations

import asyncio
import contextlib


def before_scenario(context, scenario):
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)
    context.cleanups = []


def after_scenario(context, scenario):
    for cleanup in reversed(context.cleanups):
        with contextlib.suppress(ProcessLookupError):
            context.loop.run_until_complete(cleanup())
    for task in asyncio.all_tasks(context.loop):
        task.cancel()
    context.loop.run_until_complete(asyncio.sleep(0))
    context.loop.run_until_complete(context.loop.shutdown_asyncgens())
    context.loop.close()
