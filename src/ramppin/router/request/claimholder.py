"""What becomes of a claimed key, as its holder tells it.

A repeat of a key asks the VM that holds the key's claim; the holder answers with
the result of its run, or gives the claim away if it never sent the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.errors import PeerNotListedError, PeerUnavailableError
from ramppin.router.connection.links import PeerLinks
from ramppin.router.connection.messages import AskClaim, ClaimReply
from ramppin.router.process.claims.claims import ClaimState, HeldClaim, HeldClaims

REPLY_EXTRA_S = 0.5
"""How much longer than the holder's own wait its reply is awaited."""

RETRY_PAUSE_S = 0.5
"""Seconds before a holder that did not answer is asked again."""

MAX_ATTEMPTS = 3
"""How often a listed holder is asked; a reply that is lost is given again."""

LISTING_PAUSE_S = 0.1
"""Seconds between two looks at the list of VMs for a holder."""

MAX_LISTING_LAG_S = 5.0
"""How long a holder may be missing from the list of VMs, which lags.

A claim in the log names a VM that ran, so one that is not listed has most often
started a moment ago.
"""

POLL_S = 0.02
"""Seconds between two checks of whether a claim held here still runs."""

LOG_READ_TIMEOUT_S = 3.0
"""How long a claim's holder waits to read of it from the log itself."""


async def ask_holder(
    links: PeerLinks,
    holder: str,
    *,
    run: int,
    key: str,
    taker: str,
    remaining_s: Callable[[], float],
) -> ClaimReply:
    """Ask the holder of a claim what became of it.

    Args:
        links: to the VMs of the fleet.
        holder: the VM that holds the claim.
        run: the run of the holder's process.
        key: the claim's key.
        taker: the request that would run it, were it never sent.
        remaining_s: returns the seconds that the request has left.

    Raises:
        PeerUnavailableError: the holder can't be reached.
    """
    attempts = 0
    waits_until = remaining_s() - MAX_LISTING_LAG_S
    while True:
        try:
            link = await links.open(holder)
            wait_ms = int(remaining_s() * 1000)
            ask = AskClaim(links.next_call(), key, run, taker, wait_ms)
            reply = await link.call(ask, remaining_s() + REPLY_EXTRA_S)
        except PeerNotListedError:
            if remaining_s() <= max(0.0, waits_until):
                raise
            await asyncio.sleep(LISTING_PAUSE_S)
            continue
        except PeerUnavailableError:
            attempts += 1
            if attempts == MAX_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        assert isinstance(reply, ClaimReply)
        return reply


async def wait_for_claim(
    held_claims: HeldClaims,
    call: int,
    key: str,
    taker: str,
    wait_s: float,
    *,
    own: bool = False,
) -> ClaimReply:
    """Return what became of a claim that this VM holds.

    Args:
        held_claims: the claims that this VM holds.
        call: number of the call, for the reply.
        key: the claim's key.
        taker: the request that would run it, were it never sent.
        wait_s: how long to wait for one that is running.
        own: whether the taker is a request of this VM.
    """
    left = wait_s
    # The asker may have read the claim from the log before this VM did.
    unseen = min(wait_s, LOG_READ_TIMEOUT_S)
    held = held_claims.find(key)
    while left > 0 and (held.running if held else wait_s - left < unseen):
        await asyncio.sleep(POLL_S)
        left -= POLL_S
        held = held_claims.find(key)
    if held is None:
        return ClaimReply(call, "lost")
    if held.answer:
        answer = held.answer
        return ClaimReply(call, "ran", answer.status, answer.headers, answer.body)
    return ClaimReply(call, _hand_over_or_report(held_claims, held, taker, own=own))


def _hand_over_or_report(
    held_claims: HeldClaims, held: HeldClaim, taker: str, *, own: bool
) -> str:
    if held.state is ClaimState.IDLE and own:
        return "given"
    if held_claims.hand_over(held.key, taker):
        return "given"
    if held.state is ClaimState.GIVEN:
        return f"given to {held.taker}"
    return "running" if held.running else "unknown"
