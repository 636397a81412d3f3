"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from standins.streams import StreamServer

DELAY_S = 0.15


class Harm(Enum):
    """What a proxy does to bytes."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one way"
    """Requests pass, answers don't."""


@dataclass
class Proxy(StreamServer):
    """Passes connections on to a port.

    Attributes:
        target: the port behind it.
        harm: what it does at the moment.
    """

    target: int
    harm: Harm = Harm.NONE
    _writers: set = field(default_factory=set)
    _muted: set = field(default_factory=set)

    def mute_open(self) -> None:
        """Let the connections that are open now carry nothing more, for good."""
        self._muted |= self._writers

    def reset_all(self) -> None:
        """Drop every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Pass one connection on."""
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        both = (writer, far_writer)
        self._writers.update(both)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        finally:
            self._writers.difference_update(both)
            self._muted.difference_update(both)
            for one in both:
                one.transport.abort()

    async def _pump(self, reader, writer, *, answers: bool) -> None:
        while data := await reader.read(65536):
            while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and answers):
                await asyncio.sleep(0.02)
            if writer in self._muted:
                continue
            if self.harm is Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()
