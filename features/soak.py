"""A soak: load and random failures for a time, then the checks.

``python -m features.soak --seconds 600 --seed 7`` prints its seed, its faults,
and for each promise how many events were checked.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from types import SimpleNamespace

from features import checker
from features.load import Load
from features.steps import deployment_steps as steps
from features.support import build_tree
from standins.deployment import Deployment

FAULTS = (
    "the owner of engines is killed",
    "the owner of servers is killed",
    "the owner of engines is frozen",
    "a router that owns nothing is killed",
    "the log loses answers",
    "the owner of engines is cut from the log",
    "server-1 loses answers",
    "engine-1 breaks its streams",
)
PAUSE_S = 5.0


async def run(seconds: float, seed: int) -> int:
    """Run the soak and return the exit code."""
    draw = random.Random(seed)
    tree = build_tree(9, 4)
    deployment = Deployment(tree, routers=8, options=steps.OPTIONS)
    try:
        await deployment.start()
        load = Load(deployment, seed=seed, tokens=30)
        await load.warm_up()
        context = SimpleNamespace(
            deployment=deployment,
            load=load,
            cleanups=[],
            loop=asyncio.get_running_loop(),
        )
        context.load_tasks = [
            asyncio.create_task(load.run_chats(24)),
            asyncio.create_task(load.run_bookings(4)),
        ]
        end = time.monotonic() + seconds
        spare = 100
        while time.monotonic() < end:
            fault = draw.choice(FAULTS)
            print(f"{time.strftime('%H:%M:%S')} {fault}", flush=True)
            await steps.perform(context, fault)
            while len(deployment.routers) < 8:
                spare += 1
                await deployment.start_router(f"vm-{spare}")
            await asyncio.sleep(PAUSE_S)
        await steps.finish(context)
        return report(context.history, tree)
    finally:
        await deployment.stop()


def report(history, tree) -> int:
    """Print what each check found and return the exit code."""
    pools = {
        name: list(node["backend_servers"]) for name, node in tree["pools"].items()
    }
    bounds = dict.fromkeys(pools, 1.25)
    checks = {
        "bound": checker.check_bound(history, pools, bounds),
        "bound at the instant": checker.check_bound(
            history, pools, bounds, window_s=0.0
        ),
        "whole": checker.check_whole(history),
        "not-run": checker.check_not_run(history),
        "once": checker.check_once(history),
    }
    answers = [event for event in history if event["event"] == "answer"]
    for outcome in ("ran", "not-run", "unknown", ""):
        count = sum(event["outcome"] == outcome for event in answers)
        print(f"answers {outcome or 'none'}: {count}")
    for promise, (checked, found) in checks.items():
        print(f"{promise}: {checked} checked, {len(found)} violations")
        for violation in found[:5]:
            print(f"  {violation.what}")
    failed = [p for p, (_, found) in checks.items() if found and "instant" not in p]
    return 1 if failed else 0


def main() -> int:
    """Parse the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(f"seed {arguments.seed}, {arguments.seconds:g} s")
    return asyncio.run(run(arguments.seconds, arguments.seed))


if __name__ == "__main__":
    sys.exit(main())
