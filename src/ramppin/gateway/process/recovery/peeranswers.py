"""Answers requests of peers for records from the replicas of this VM.

Each answer contains the age of the replicas.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from ramppin.gateway.connection.callerwire import CallerConnection, Responder
from ramppin.gateway.connection.requestreader import CallerRequest
from ramppin.gateway.process.recovery.peermessages import (
    RECORDS_TARGET,
    PeerAnswer,
    PeerRecord,
    PeerRequest,
    TableState,
    decode_peer_request,
    encode_answer,
)
from ramppin.gateway.process.recovery.replica import Replica

LOG = logging.getLogger(__name__)

MAX_WAIT_MS = 20_000
"""Maximum wait of a request, in milliseconds; VMs request shorter waits."""

MAX_AGE_MS = 1_000_000_000
"""Upper limit of the age in an answer, in milliseconds; stands for any larger age."""


class RecordsResponder(Responder):
    """Answers requests for records that arrive on one connection.

    Args:
        connection: the peer's connection.
        replicas: the replicas of this VM, by name.

    .. versionadded:: 0.2
    """

    def __init__(
        self, connection: CallerConnection, replicas: dict[str, Replica]
    ) -> None:
        self._connection = connection
        self._replicas = replicas

    def accept_request(self, request: CallerRequest) -> None:
        """Answer at once, or once there are new records or the wait has ended."""
        if request.target != RECORDS_TARGET.encode():
            self._connection.send_answer(404, [], b"")
            return
        try:
            peer_request = decode_peer_request(request.body)
        except msgspec.MsgspecError as error:
            LOG.warning("invalid request: %s", error, extra={"step": "records"})
            self._connection.send_answer(400, [], b"")
            return
        if peer_request.wait_ms > 0 and not self._has_new_records(peer_request):
            self._wait(peer_request)
        else:
            self._connection.send_answer(200, [], self._build_answer(peer_request))

    def accept_disconnect(self) -> None:
        """Do nothing: there is no exchange with a backend server."""

    def accept_backpressure(self, *, paused: bool) -> None:
        """Do nothing: answers are small and sent whole."""

    def end_request(self) -> None:
        """Do nothing: a peer that gets no answer asks another VM."""

    def _has_new_records(self, peer_request: PeerRequest) -> bool:
        for name, position in peer_request.positions.items():
            replica = self._replicas.get(name)
            if replica is not None and replica.position > position:
                return True
        return False

    def _wait(self, peer_request: PeerRequest) -> None:
        """Answer once a table has advanced or the wait is over."""
        loop = asyncio.get_running_loop()
        replicas = [
            self._replicas[name]
            for name in peer_request.positions
            if name in self._replicas
        ]

        def answer() -> None:
            timer.cancel()
            self._connection.send_answer(200, [], self._build_answer(peer_request))

        def answer_soon() -> None:
            stop_waiting()
            # Deferred to the next loop iteration: the records are applied by then.
            loop.call_soon(answer)

        def answer_on_timeout() -> None:
            stop_waiting()
            answer()

        def stop_waiting() -> None:
            timer.cancel()
            for replica in replicas:
                replica.remove_callback(answer_soon)

        wait_s = min(peer_request.wait_ms, MAX_WAIT_MS) / 1000
        timer = loop.call_later(wait_s, answer_on_timeout)
        for replica in replicas:
            replica.call_when_advanced(answer_soon)

    def _build_answer(self, peer_request: PeerRequest) -> bytes:
        now = asyncio.get_running_loop().time()
        tables = {}
        for name, position in peer_request.positions.items():
            replica = self._replicas.get(name)
            if replica is None or not replica.started:
                continue
            age_ms = int(min(MAX_AGE_MS, (now - replica.confirmed_at) * 1000))
            # The replica may lack keys that were removed before it was read.
            is_whole = position < replica.complete_from
            found = replica.list_all() if is_whole else replica.list_since(position)
            records = [PeerRecord(r.key, r.value, r.offset) for r in found]
            tables[name] = TableState(replica.position, age_ms, records, is_whole)
        return encode_answer(PeerAnswer(tables))
