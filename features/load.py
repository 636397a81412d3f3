"""Callers that put load on a deployment and record what they got."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from dataclasses import dataclass, field
from typing import Any

from features.support import Answer, Caller, read_events
from standins.demo import make_key
from standins.deployment import Deployment
from standins.engine import compute_answer


@dataclass
class Chat:
    """A chat that returns: its customer and its messages so far."""

    name: str
    customer: str
    messages: list[dict[str, str]] = field(default_factory=list)


class Load:
    """Puts chats and bookings on the routers of a deployment.

    Args:
        deployment: the processes.
        seed: of everything random.
        customers: names; a customer's key is ``key-NAME``.
        model: which model the chats ask for.
        booking: path of a call that must not be repeated.
        tokens: longest answer of a chat.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        seed: int,
        customers: tuple[str, ...] = ("choir", "band"),
        model: str = "m",
        booking: str = "/services/booking/bookings",
        tokens: int = 24,
    ) -> None:
        self.events: list[dict[str, Any]] = []
        self.stopping = False
        self._deployment = deployment
        self._random = random.Random(seed)
        self._customers = customers
        self._model = model
        self._booking = booking
        self._tokens = tokens
        self._chats = [
            Chat(f"chat-{number}", self._random.choice(customers))
            for number in range(60)
        ]

    async def warm_up(self) -> None:
        """Let each router import what it needs before many requests come."""
        for number, vm in enumerate(self._deployment.routers):
            await self.chat(self._chats[number], vm)

    async def run_chats(self, workers: int, pause_s: float = 0.01) -> None:
        """Let callers chat until stopped."""
        await asyncio.gather(*(self._chat_on(pause_s) for _ in range(workers)))

    async def run_bookings(self, workers: int, pause_s: float = 0.02) -> None:
        """Let callers book until stopped, each key through several VMs."""
        await asyncio.gather(*(self._book_on(pause_s) for _ in range(workers)))

    async def chat(self, chat: Chat, vm: str) -> Answer:
        """Send one message of a chat."""
        draw = self._random
        messages = [
            *chat.messages,
            {"role": "user", "content": f"{chat.name} {draw.random()} " + "word " * 40},
        ]
        count = draw.randint(1, self._tokens)
        stream = draw.random() < 0.5
        answer = await Caller(chat.customer).chat(
            self._deployment.caller_url(vm),
            messages,
            model=self._model,
            stream=stream,
            max_tokens=count,
            headers={"Ramppin-Chat": chat.name},
        )
        wanted = "".join(compute_answer(messages, count))
        if not stream:
            got, whole = _read_completion(answer), answer.whole
        else:
            got, _, whole = read_events(answer.body if answer.status == 200 else b"")
        self._note(answer, vm, got, wanted, whole)
        if answer.status == 200 and whole:
            reply = {"role": "assistant", "content": got}
            chat.messages = [*messages, reply][-6:]
        return answer

    async def book(self, key: str, vm: str, *, repeated: bool) -> Answer:
        """Send one booking."""
        body = f'{{"hall": "{key}"}}'.encode()
        answer = await Caller(self._customers[0]).send(
            "POST",
            self._deployment.caller_url(vm) + self._booking,
            data=body,
            headers={"Idempotency-Key": key},
        )
        digest = hashlib.sha256(body).hexdigest()
        got = answer.body.decode(errors="replace")
        wanted = got if digest in got else digest
        self._note(answer, vm, got, wanted, answer.whole, key=key, repeated=repeated)
        return answer

    def _note(
        self,
        answer: Answer,
        vm: str,
        got: str,
        wanted: str,
        whole: bool,
        **fields: Any,
    ) -> None:
        event = {
            "t": time.monotonic(),
            "source": "caller",
            "event": "answer",
            "vm": vm,
            "status": answer.status,
            "request": answer.headers.get("ramppin-request-id", ""),
            "outcome": answer.outcome,
            "version": int(answer.headers.get("ramppin-version", "-1")),
            "retry_after": answer.headers.get("retry-after", ""),
            "got": got,
            "wanted": wanted,
            "whole": whole,
        }
        if answer.status >= 400:
            event["body"] = answer.body.decode(errors="replace")[:300]
        self.events.append(event | fields)

    async def _chat_on(self, pause_s: float) -> None:
        while not self.stopping:
            chat = self._random.choice(self._chats)
            routers = self.pick_routers()
            if routers:
                await self.chat(chat, self._random.choice(routers))
            await asyncio.sleep(pause_s)

    async def _book_on(self, pause_s: float) -> None:
        while not self.stopping:
            key = make_key()
            routers = self.pick_routers()
            chosen = self._random.sample(routers, min(3, len(routers)))
            if self._random.random() < 0.5:
                sends = [self.book(key, vm, repeated=True) for vm in chosen]
                await asyncio.gather(*sends)
            else:
                for vm in chosen:
                    await self.book(key, vm, repeated=True)
            await asyncio.sleep(pause_s)

    def pick_routers(self) -> list[str]:
        """Return the routers that the balancer would send to."""
        return [vm for vm in self._deployment.routers if vm not in self.avoid]

    avoid: frozenset[str] = frozenset()


def _read_completion(answer: Answer) -> str:
    if answer.status != 200 or not answer.whole:
        return ""
    content: str = answer.json()["choices"][0]["message"]["content"]
    return content
