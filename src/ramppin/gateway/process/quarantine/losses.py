"""Connections that were lost while a server may have crashed.

A lost connection may also be a network fault, so a loss counts only once the server's
termination is confirmed. Owns the losses until then. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from ramppin.gateway.process.quarantine.record import ServerEnd

LOSS_RETENTION_S = 5.0
"""Seconds after a lost connection within which the termination must be confirmed: the
entry expires on the platform after 1.5 s and is read at most 1.8 s later."""


@dataclass(frozen=True, slots=True)
class Loss:
    """Loss of the connection to a server during a request with an attribute.

    Attributes:
        end: the server, and the times of the request, if the server terminated.
        part: id of the prompt part; empty for a whole request.
    """

    end: ServerEnd
    part: str


class UnconfirmedLosses:
    """Losses by server, each with the attributes of the requests that were lost there.

    .. versionadded:: 0.6
    """

    def __init__(self) -> None:
        self._losses: dict[str, dict[int, Loss]] = {}

    def __len__(self) -> int:
        return len(self._losses)

    def add(self, key: int, loss: Loss) -> None:
        """Add a loss.

        Of several requests with one attribute at a server, the one sent last counts:
        a crash follows soon after its cause was sent.

        Args:
            key: key of the attribute.
            loss: the loss.
        """
        losses = self._losses.setdefault(loss.end.server, {})
        known = losses.get(key)
        if known is None or known.end.sent_at < loss.end.sent_at:
            losses[key] = loss

    def withdraw(self, key: int, server: str) -> None:
        """Remove the loss of an attribute at a server that still runs."""
        losses = self._losses.get(server, {})
        losses.pop(key, None)
        if not losses:
            self._losses.pop(server, None)

    def pop(self, server: str) -> dict[int, Loss]:
        """Remove and return the losses at a server, by attribute."""
        return self._losses.pop(server, {})

    def list_servers(self, key: int) -> set[str]:
        """Return the servers at which requests with an attribute were lost."""
        return {server for server, lost in self._losses.items() if key in lost}

    def evict_expired(self, now: float) -> None:
        """Remove the losses that were not confirmed in time.

        Args:
            now: event-loop time.
        """
        for server, losses in list(self._losses.items()):
            newest = max(loss.end.ended_at for loss in losses.values())
            if now - newest > LOSS_RETENTION_S:
                del self._losses[server]
