"""What decisions, links and whole processes cost, measured."""

from __future__ import annotations

import asyncio
import time

from bench import processes
from bench.fit import Point
from bench.states import build_allocator, build_request, build_settings
from ramppin import (
    PlaceId,
    PlaceRequest,
)
from ramppin.router.connection.links import Meter, PeerLinks, Send
from ramppin.router.connection.messages import Ask, Free, Granted, Message
from ramppin.router.connection.peerserver import PeerHandler, PeerServer

KEY = "capacity-key"
"""Key that the links of a measurement share."""


def measure_decisions(
    sizes: tuple[int, ...] = (9, 36, 90), count: int = 8000
) -> list[Point]:
    """Measure one placement and its release, by engines of a pool."""
    points = []
    for engines in sizes:
        allocator = build_allocator(engines)
        held = engines * 20
        begin = 0.0
        for number in range(held + count):
            if number == held:
                begin = time.process_time()
            now = number * 0.011
            allocator.ask(build_request(number), now)
            if number >= held:
                allocator.release(build_request(number - held).place, now)
        spent = (time.process_time() - begin) / count * 1e6
        points.append(Point("decision, by engines", engines, round(spent, 2), "us"))
    return points


def measure_acceptance(sizes: tuple[int, ...] = (100, 600, 1800)) -> list[Point]:
    """Measure the acceptance of one patch, by customers in the tree."""
    points = []
    for customers in sizes:
        history = build_settings(customers)
        begin = time.process_time()
        for offset in range(1, 11):
            patch = {"customers": {"customer-1": {"rules": {"weight": offset}}}}
            record = {
                "kind": "patch",
                "base": history.version,
                "nonce": str(offset),
                "patch": patch,
            }
            history.apply(offset, record)
        assert history.version == 10
        spent = (time.process_time() - begin) / 10 * 1000
        points.append(Point("accept a patch, by customers", customers, spent, "ms"))
    return points


class _Owner(PeerHandler):
    """Grants every ask, as an owner's allocator does."""

    def __init__(self) -> None:
        self.allocator = build_allocator(36)

    async def handle_message(self, vm: str, message: Message, send: Send) -> None:
        """Decide and answer."""
        now = time.monotonic()
        if isinstance(message, Ask):
            place = PlaceId(vm, message.number)
            request = PlaceRequest(
                place, message.chat, message.customer, returning=message.returning
            )
            for decision in self.allocator.ask(request, now):
                send(
                    Granted(decision.place.number, "engine-1", "home", 1, 2, 3, 4, 0, 5)
                )
        elif isinstance(message, Free):
            self.allocator.release(PlaceId(vm, message.number), now)

    def handle_link_down(self, vm: str) -> None:
        """Do nothing."""


async def _run_links(rate: int, seconds: float) -> float:
    """Return the processor seconds of both ends for asks at a rate."""
    meter = Meter()
    server = PeerServer("127.0.0.1", 0, KEY, _Owner(), meter)
    await server.start()
    links = PeerLinks(
        "vm-2",
        KEY,
        find_address=lambda _: f"127.0.0.1:{server.port}",
        on_message=lambda vm, message: None,
        on_down=lambda vm: None,
        meter=meter,
    )
    link = await links.open("vm-1")
    begin, spent = time.monotonic(), time.process_time()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begin + number / rate - time.monotonic()))
        link.send(
            Ask("pool-1", number, number + 1, "service-1", -1, "c-1", True, 30000)
        )
        link.send(Free("pool-1", number - 20))
    spent = time.process_time() - spent
    await links.close()
    await server.stop()
    return spent / seconds


def measure_links(
    sizes: tuple[int, ...] = (50, 150, 450), seconds: float = 4.0
) -> list[Point]:
    """Measure the processor share of places over a real link, by rate."""
    points = []
    for rate in sizes:
        share = asyncio.run(_run_links(rate, seconds)) * 100
        points.append(
            Point("places over a link, both ends, by rate", rate, share, "% of a core")
        )
    return points


async def measure_fleets(sizes: tuple[int, ...]) -> list[Point]:
    """Measure whole fleets of processes, by routers."""
    points = []
    for routers in sizes:
        row = await processes.measure_idle(routers)
        for name, unit in (
            ("cpu_percent_mean", "% of a core"),
            ("cpu_percent_max", "% of a core"),
            ("memory_mb_max", "MB"),
            ("link_bytes_s_mean", "bytes/s"),
        ):
            points.append(
                Point(f"idle router, {name}, by routers", routers, row[name], unit)
            )
    return points
