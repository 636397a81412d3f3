"""Scripts by which stand-ins of backend servers answer the gateway."""

from __future__ import annotations

import asyncio

from standins.backend import Reply

EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5)]
ENDLESS_PIECE = b"data: " + b"x" * 60_000 + b"\n\n"


class Scripts:
    """Scripts by name; one object counts over all backend servers."""

    def __init__(self) -> None:
        self.count = 0
        self.go_on = asyncio.Event()
        self.sent = 0

    def find(self, name: str):
        if name.startswith("status "):
            return self._build_status_script(name.split()[1:])
        plain = name.replace(",", "").replace("'", "").replace(" ", "_")
        return getattr(self, f"do_{plain}")

    def _build_status_script(self, words: list[str]):
        """Return what answers a status, ``closed`` or kept, maybe well afterwards."""
        digits = words[0].encode() if words[0] != "none" else b""

        async def answer(reply: Reply) -> None:
            head = reply.head(200).replace(b" 200 ", b" %b " % digits)
            await reply.send(head + b"Content-Length: 5\r\n\r\nwrong")
            if "closed" in words:
                reply.writer.close()
            else:
                await asyncio.sleep(60)

        async def answer_first(reply: Reply) -> None:
            await self._first(reply, answer, self.do_well)

        return answer_first if "then well" in " ".join(words) else answer

    async def do_well(self, reply: Reply) -> None:
        await reply.answer()

    async def do_unframed(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"\r\nanswer")
        reply.writer.close()

    async def do_unframed_identity(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"Transfer-Encoding: identity\r\n\r\nanswer")
        reply.writer.close()

    async def do_unframed_reset(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"\r\nans")
        reply.reset()

    async def do_a_head_with_a_length(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"Content-Length: 6\r\n\r\n")

    async def do_a_head_alone(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"\r\n")

    async def do_a_head_with_chunks(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"Transfer-Encoding: chunked\r\n\r\n")

    async def do_no_content(self, reply: Reply) -> None:
        await reply.send(reply.head(204) + b"\r\n")

    async def do_broken_off(self, reply: Reply) -> None:
        await reply.send(reply.head(200) + b"Content-Length: 6\r\n\r\nans")
        reply.writer.close()

    async def do_reset(self, reply: Reply) -> None:
        reply.reset()

    async def do_reset_then_well(self, reply: Reply) -> None:
        await self._first(reply, self.do_reset, self.do_well)

    async def do_noise(self, reply: Reply) -> None:
        await reply.send(b"\x00\x01noise\r\n\r\n")

    async def do_unsigned(self, reply: Reply) -> None:
        await reply.answer(signed=False)

    async def do_encoded(self, reply: Reply) -> None:
        await reply.answer(headers=b"Content-Encoding: gzip\r\n")

    async def do_anothers_answer_first(self, reply: Reply) -> None:
        await reply.answer(body=b"other", request_id=b"another")
        await reply.answer()

    async def do_interim_first(self, reply: Reply) -> None:
        await reply.send(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        await reply.answer()

    async def do_own_error(self, reply: Reply) -> None:
        await reply.answer(500, b"wrong")

    async def do_error_then_well(self, reply: Reply) -> None:
        await self._first(reply, self.do_own_error, self.do_well)

    async def do_rejected(self, reply: Reply) -> None:
        await reply.answer(503, b"", headers=b"Ramppin-Not-Run: 1\r\n")

    async def do_rejected_then_well(self, reply: Reply) -> None:
        await self._first(reply, self.do_rejected, self.do_well)

    async def do_reset_then_rejected(self, reply: Reply) -> None:
        await self._first(reply, self.do_reset, self.do_rejected)

    async def do_misdirected_then_well(self, reply: Reply) -> None:
        await self._first(reply, self._misdirect, self.do_well)

    async def _misdirect(self, reply: Reply) -> None:
        await reply.answer(421, b"")

    async def do_silent(self, reply: Reply) -> None:
        await asyncio.sleep(60)

    async def do_silent_then_well(self, reply: Reply) -> None:
        await self._first(reply, self.do_silent, self.do_well)

    async def do_twice_at_once(self, reply: Reply) -> None:
        length = b"Content-Length: 6\r\n\r\n"
        good = reply.head(200) + length + b"answer"
        surplus = reply.head(200, request_id=b"surplus") + length + b"beyond"
        await reply.send(good + surplus)

    async def do_twice(self, reply: Reply) -> None:
        await reply.answer(body=reply.request_id)
        await reply.answer(body=b"surplus", request_id=b"surplus")

    async def do_on_demand(self, reply: Reply) -> None:
        await self.go_on.wait()
        await reply.answer()

    # streams

    async def do_events(self, reply: Reply) -> None:
        await self._send_events(reply)

    async def do_pieces(self, reply: Reply) -> None:
        await reply.start_events()
        joined = b"".join(EVENTS)
        for at in range(0, len(joined), 5):
            await reply.send_chunk(joined[at : at + 5])
        await reply.send_chunk(b"")

    async def do_two_events_reset(self, reply: Reply) -> None:
        await self._send_events(reply, stop_after=2)
        reply.reset()

    async def do_two_events_silent(self, reply: Reply) -> None:
        await self._send_events(reply, stop_after=2)
        if not self._continues(reply):
            await self.do_silent(reply)

    async def do_two_events_closed(self, reply: Reply) -> None:
        await self._send_events(reply, stop_after=2)
        reply.writer.close()

    async def do_half_event_reset(self, reply: Reply) -> None:
        await self._send_events(reply, stop_after=2, extra=EVENTS[2][:6])
        if not self._continues(reply):
            reply.reset()

    async def do_half_event_ended(self, reply: Reply) -> None:
        await self._send_events(reply, stop_after=2, extra=EVENTS[2][:6])
        if not self._continues(reply):
            await reply.send_chunk(b"")

    async def do_events_on_demand(self, reply: Reply) -> None:
        await reply.start_events()
        for event in EVENTS:
            await reply.send_chunk(event)
            self.sent += 1
            await self.go_on.wait()
            self.go_on.clear()
        await reply.send_chunk(b"")

    async def do_endless(self, reply: Reply) -> None:
        await reply.start_events()
        while True:
            await reply.send_chunk(ENDLESS_PIECE)
            self.sent += len(ENDLESS_PIECE)

    async def _send_events(self, reply, *, stop_after=0, extra=b"") -> None:
        """Send events; a stream that is continued is sent to its end."""
        after = int(reply.request.headers.get(b"last-event-id", b"0"))
        await reply.start_events()
        stop = stop_after if not after and stop_after else len(EVENTS)
        for event in EVENTS[after:stop]:
            await reply.send_chunk(event)
        if stop == len(EVENTS):
            await reply.send_chunk(b"")
        elif extra:
            await reply.send_chunk(extra)
            await asyncio.sleep(0.02)

    def _continues(self, reply: Reply) -> bool:
        return b"last-event-id" in reply.request.headers

    async def _first(self, reply, first, following) -> None:
        self.count += 1
        await (first if self.count == 1 else following)(reply)
