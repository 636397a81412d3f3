"""Requests to the VM that holds a claim for the result of the claimed request.

A repeat of a key asks the VM that holds the key's claim. The holder replies with the
stored answer, or hands the claim over if it never sent the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ramppin.errors import PeerNotListedError, PeerUnavailableError
from ramppin.router.connection.links import PeerLinks
from ramppin.router.connection.messages import AskClaim, ClaimReply
from ramppin.router.process.claims.claims import ClaimState, HeldClaim, HeldClaims

REPLY_EXTRA_S = 0.5
"""Time to wait for the holder's reply beyond the wait requested of it."""

RETRY_PAUSE_S = 0.5
"""Pause before a request to an unreachable holder is repeated."""

MAX_ATTEMPTS = 3
"""Maximum number of requests to a listed holder; it repeats a lost reply."""

LISTING_PAUSE_S = 0.1
"""Pause between two lookups of the holder in the list of VMs."""

MAX_LISTING_LAG_S = 5.0
"""Maximum time for which a holder may be missing from the list of VMs.

The list lags behind, and a claim in the log names a VM that ran, so a holder that is
not listed has usually just started.
"""

POLL_S = 0.02
"""Interval of checks whether the request of a held claim is still running."""

LOG_READ_TIMEOUT_S = 3.0
"""Maximum time for which a holder waits to read its own claim from the log."""


async def ask_holder(
    links: PeerLinks,
    holder: str,
    *,
    run: int,
    key: str,
    taker: str,
    remaining_s: Callable[[], float],
) -> ClaimReply:
    """Ask the holder of a claim for the state or answer of the claimed request.

    Args:
        links: connections to the VMs of the fleet.
        holder: the VM that holds the claim.
        run: number of the start of the holder's process.
        key: key of the claim.
        taker: id of the request that takes the claim over if it was never sent.
        remaining_s: returns the seconds until the request's deadline.

    Raises:
        PeerUnavailableError: the holder cannot be reached.
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
    """Wait for the result of a claim that this VM holds and build the reply.

    Args:
        held_claims: the claims that this VM holds.
        call: number of the call, copied to the reply.
        key: key of the claim.
        taker: id of the request that takes the claim over if it was never sent.
        wait_s: maximum time to wait for a running request.
        own: whether the taker is a request of this VM.
    """
    left = wait_s
    # The requesting VM may have read the claim from the log before this VM.
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
