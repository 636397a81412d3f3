"""Every exception of ramppin, each able to show itself.

An error names the step at which it arose and the peer that was involved, so
that a log line or a refusal says where to look.
"""

from __future__ import annotations


class RamppinError(Exception):
    """Base class of all errors that ramppin raises.

    Args:
        message: what was wrong.
        step: the step at which it arose, for instance ``"claim"``.
        peer: the VM, backend server or service involved, or ``""``.
        hint: what would be right, or ``""``.

    .. versionadded:: 0.1
    """

    exit_code = 1

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", hint: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.hint = hint

    def show(self) -> str:
        """Return the error as one line for a person."""
        place = " at ".join(part for part in (self.step, self.peer) if part)
        text = f"{place}: {self.message}" if place else self.message
        return f"{text} ({self.hint})" if self.hint else text

    def __str__(self) -> str:
        return self.show()


class SettingsError(RamppinError):
    """Settings that can't be read or that break a rule of the schema.

    Args:
        message: what was wrong.
        source: the file or record that holds the settings.
        path: the dotted path of the offending value, or ``""``.
        hint: what would be right.

    .. versionadded:: 0.1
    """

    exit_code = 2

    def __init__(
        self, message: str, *, source: str = "", path: str = "", hint: str = ""
    ) -> None:
        super().__init__(message, step="settings", hint=hint)
        self.source = source
        self.path = path

    def show(self) -> str:
        """Return the error with the place in the settings."""
        place = ": ".join(part for part in (self.source, self.path) if part)
        text = f"{place}: {self.message}" if place else self.message
        return f"{text} ({self.hint})" if self.hint else text


class ConflictError(RamppinError):
    """A change of the settings that was made from a version now replaced.

    .. versionadded:: 0.1
    """

    exit_code = 3


class LogUnavailableError(RamppinError):
    """The append-only log service could not be reached or refused.

    .. versionadded:: 0.1
    """

    exit_code = 4


class LogTrimmedError(RamppinError):
    """Records at the wanted offset are past the log's retention.

    Args:
        first: the lowest offset that the log still keeps.

    .. versionadded:: 0.1
    """

    def __init__(self, first: int, *, peer: str = "") -> None:
        super().__init__(
            f"records before offset {first} are trimmed", step="read", peer=peer
        )
        self.first = first


class AppendUnknownError(LogUnavailableError):
    """The answer to an append was lost: it may have taken effect.

    .. versionadded:: 0.1
    """


class ProtocolError(RamppinError):
    """A message from a peer that does not follow the protocol.

    .. versionadded:: 0.1
    """


class PeerUnavailableError(RamppinError):
    """A VM of the fleet could not be reached or did not answer.

    .. versionadded:: 0.1
    """

    exit_code = 5


class PeerNotListedError(PeerUnavailableError):
    """A VM of the fleet is not in the list of VMs, or not yet.

    .. versionadded:: 0.2
    """


class NotSentError(RamppinError):
    """A request of which no byte left for the backend server.

    Args:
        message: what was wrong.
        step: the step at which it arose.
        peer: the backend server.
        is_refused: whether the server's machine refused the connection: nothing
            listens there.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        is_refused: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.is_refused = is_refused


class PlaceLostError(NotSentError):
    """A place that went to another while this process was paused.

    .. versionadded:: 0.1
    """


class BrokenAnswerError(RamppinError):
    """An answer that ended before it was whole; the request may have run.

    .. versionadded:: 0.1
    """


class RefusedError(RamppinError):
    """A request that the fleet gives up on.

    Args:
        message: why.
        status: the HTTP status of the refusal.
        code: a short stable word for programs, for instance ``"queue_full"``.
        retry_after: seconds after which it is worth coming back.
        outcome: ``"not-run"`` or ``"unknown"``.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        retry_after: float = 1.0,
        outcome: str = "not-run",
        step: str = "",
        peer: str = "",
        hint: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer, hint=hint)
        self.status = status
        self.code = code
        self.retry_after = retry_after
        self.outcome = outcome

    @classmethod
    def from_broken_answer(
        cls,
        error: BrokenAnswerError,
        message: str,
        *,
        status: int = 502,
        code: str = "answer_lost",
    ) -> RefusedError:
        """Return the refusal of a request that may have run.

        Args:
            error: what befell its answer.
            message: what that means for the caller.
            status: the HTTP status of the refusal.
            code: a short stable word for programs.

        .. versionadded:: 0.2
        """
        return cls(
            message,
            status=status,
            code=code,
            outcome="unknown",
            step=error.step,
            peer=error.peer,
        )
