"""Calls with an idempotency key, which run at most once in the whole fleet."""

from __future__ import annotations

import asyncio

from starlette.responses import Response

from ramppin.errors import (
    BrokenAnswerError,
    LogUnavailableError,
    PeerUnavailableError,
    RefusedError,
)
from ramppin.router.connection.backends import BackendRequest
from ramppin.router.connection.messages import ClaimReply
from ramppin.router.process.claims.claims import (
    Claim,
    ClaimItem,
    StoredAnswer,
    hash_claim_key,
    hash_request,
)
from ramppin.router.request.call import (
    COOKIE_HEADER,
    Call,
    add_cookies,
    build_answer_headers,
    list_cookies,
)
from ramppin.router.request.claimholder import ask_holder, wait_for_claim
from ramppin.router.request.identity import parse_request_id
from ramppin.router.request.outcome import Outcome
from ramppin.router.request.problem import OUTCOME_HEADER, build_headers
from ramppin.router.request.run import RequestRun, SentAttempt

CLAIM_TIMEOUT_S = 2.0
"""Maximum time until a claim is read back from the log."""

LOG_UNAVAILABLE_RETRY_AFTER_S = 5.0
"""Retry-After of a call with a key while the log is unavailable."""


class KeyedRun:
    """Runs a call with an idempotency key, or returns the answer of an earlier run.

    Args:
        run: state of the request.
        call: the call to forward.
        body: the complete request body.

    .. versionadded:: 0.1
    """

    def __init__(self, run: RequestRun, call: Call, body: bytes) -> None:
        self._run = run
        self._call = call
        self._body = body
        self._key = hash_claim_key(run.customer, run.service, call.key)
        self._digest = hash_request(call.method, call.path, body)

    async def answer(self) -> Response:
        """Return the answer of the only run, which may be another request's.

        Raises:
            RefusedError: the call is not accepted, or its answer is not available.
        """
        self._check_age()
        claim = self._run.context.claims.find(self._key)
        if claim is None:
            return await self._run_new()
        return await self._await_claim_result(claim)

    def _check_age(self) -> None:
        context = self._run.context
        issued = self._call.issued
        now = context.wall_clock()
        if issued is None:
            raise RefusedError(
                "the Idempotency-Key has no age",
                status=400,
                code="key_without_age",
                step="claim",
                hint="use a UUID of version 7, or add Idempotency-Key-Issued",
            )
        if context.claims.is_too_old(issued, now):
            raise RefusedError(
                "the Idempotency-Key is too old to be sure of",
                status=409,
                code="key_too_old",
                outcome=Outcome.UNKNOWN,
                step="claim",
                hint=f"keys are good for {context.claims.window_s:g} s",
            )
        if context.claims.is_from_future(issued, now):
            raise RefusedError(
                "the Idempotency-Key was issued in the future",
                status=400,
                code="key_from_future",
                step="claim",
            )

    async def _run_new(self) -> Response:
        """Claim the key, then acquire a place, then send the call.

        The claim comes first: a place held while waiting for the log would count
        as load although the backend server is not processing the request.
        """
        run = self._run
        claim = await self._claim()
        if (claim.vm, claim.run) == (run.context.vm, run.context.run):
            self._check_digest(claim)
            # A VM that has just started learns with the claims which ones it missed.
            self._check_age()
            if run.context.held_claims.take(self._key, run.id):
                return await self._send()
        return await self._await_claim_result(claim)

    async def _claim(self) -> Claim:
        run = self._run
        item = ClaimItem(
            key=self._key, digest=self._digest, issued=self._call.issued or 0.0
        )
        timeout = min(CLAIM_TIMEOUT_S, run.remaining_s)
        try:
            claim = await run.context.claimer.claim(item, timeout)
        except LogUnavailableError as error:
            run.note("claim", f"not confirmed: {error.message}", "repeatable")
            raise RefusedError(
                "the request must not run twice, and the log is not there to make "
                "sure of it",
                status=503,
                code="log_unavailable",
                retry_after=LOG_UNAVAILABLE_RETRY_AFTER_S,
                step="claim",
                peer=error.peer,
            ) from error
        run.note(
            "claim", f"held by {claim.vm} at offset {claim.offset}", "claim_window_s"
        )
        return claim

    def _check_digest(self, claim: Claim) -> None:
        if claim.digest != self._digest:
            raise RefusedError(
                "the Idempotency-Key stands for another request",
                status=422,
                code="key_reused",
                step="claim",
                hint="use a new key for a new request",
            )

    # -- this request runs the call ---------------------------------------

    async def _send(self) -> Response:
        # Continues if the caller disconnects, so that a repeat gets the answer.
        task = self._run.context.spawn(self._send_and_store())
        return self._respond(await asyncio.shield(task))

    async def _send_and_store(self) -> StoredAnswer:
        run = self._run
        held_claims = run.context.held_claims
        try:
            sent = await run.send(self._build_request)
            answer = await self._read(sent)
        except RefusedError as error:
            if error.outcome == Outcome.NOT_RUN:
                held_claims.put_back(self._key)
            else:
                held_claims.finish(self._key, None)
            run.finish(Outcome(error.outcome), error.code)
            raise
        except BaseException:
            held_claims.finish(self._key, None)
            raise
        held_claims.finish(self._key, answer)
        run.finish(find_outcome(answer))
        return answer

    async def _read(self, sent: SentAttempt) -> StoredAnswer:
        run = self._run
        failed = False
        try:
            body = await sent.answer.read()
        except BrokenAnswerError as error:
            failed = True
            raise RefusedError.from_broken_answer(
                error, "the answer was lost"
            ) from error
        finally:
            run.free(sent.place, failed=failed, running=failed)
        headers = list(build_answer_headers(run, sent).items())
        headers += [(COOKIE_HEADER, value) for value in list_cookies(sent.answer)]
        return StoredAnswer(sent.answer.status, tuple(headers), body)

    def _build_request(self, server: str, attempt: str) -> BackendRequest:
        call = self._call
        return BackendRequest(
            call.method,
            call.path,
            call.headers | {"X-Request-Id": attempt, "Idempotency-Key": call.key},
            self._body or None,
            self._run.remaining_s,
            fresh=True,
        )

    # -- another request claimed the key ----------------------------------

    async def _await_claim_result(self, claim: Claim) -> Response:
        self._check_digest(claim)
        run = self._run
        context = run.context
        run.note("repeat", f"the key is held by {claim.vm}", peer=claim.vm)
        holder, holder_run = claim.vm, claim.run
        while run.remaining_s > 0:
            if (holder, holder_run) == (context.vm, context.run):
                reply = await wait_for_claim(
                    context.held_claims, 0, self._key, run.id, run.remaining_s, own=True
                )
            else:
                reply = await self._ask_holder(holder, holder_run)
            if reply.state == "ran":
                return self._replay_answer(reply)
            if reply.state == "given":
                if holder != context.vm:
                    context.held_claims.adopt(self._key, run.id)
                elif not context.held_claims.take(self._key, run.id):
                    continue
                return await self._send()
            if reply.state.startswith("given to "):
                taker = parse_request_id(reply.state.removeprefix("given to "))
                if taker:
                    holder, holder_run = taker.vm, taker.run
                continue
            if reply.state in ("unknown", "lost"):
                raise self._build_unknown_error("its answer is lost", holder)
        raise RefusedError(
            "the request with this key still runs",
            status=409,
            code="key_running",
            outcome=Outcome.UNKNOWN,
            step="repeat",
            peer=holder,
        )

    async def _ask_holder(self, holder: str, holder_run: int) -> ClaimReply:
        run = self._run
        try:
            return await ask_holder(
                run.context.links,
                holder,
                run=holder_run,
                key=self._key,
                taker=run.id,
                remaining_s=lambda: run.remaining_s,
            )
        except PeerUnavailableError as error:
            why = f"its holder: {error.message}"
            raise self._build_unknown_error(why, holder) from error

    def _replay_answer(self, reply: ClaimReply) -> Response:
        if reply.body is None:
            raise RefusedError(
                "the request ran, and its answer is no longer kept",
                status=409,
                code="answer_not_kept",
                outcome=Outcome.RAN,
                step="repeat",
            )
        answer = StoredAnswer(reply.status, reply.headers, reply.body)
        self._run.note("repeat", "the same answer again")
        return self._respond(answer)

    def _build_unknown_error(self, why: str, holder: str) -> RefusedError:
        return RefusedError(
            f"the request with this key may have run; {why}",
            status=409,
            code="key_unknown",
            outcome=Outcome.UNKNOWN,
            step="repeat",
            peer=holder,
        )

    def _respond(self, answer: StoredAnswer) -> Response:
        run = self._run
        outcome = find_outcome(answer)
        run.finish(outcome)
        headers = {k: v for k, v in answer.headers if k != COOKIE_HEADER}
        headers |= build_headers(run.id, run.settings.version, outcome)
        response = Response(answer.body, answer.status, headers)
        add_cookies(response, (v for k, v in answer.headers if k == COOKIE_HEADER))
        return response


def find_outcome(answer: StoredAnswer) -> Outcome:
    """Return the outcome that an answer was stored with."""
    return Outcome(dict(answer.headers)[OUTCOME_HEADER])
