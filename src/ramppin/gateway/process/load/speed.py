"""Speed of one backend server, relative to what is usual for its service.

Load pattern: servers that differ in speed, permanently and for half a second at a time,
because they share their machines with others. A load report may state how long work
takes at the moment; it is out of date within a second. What this VM observes in answers
yields a long-term average, which takes the place of an old report. No I/O.
"""

from __future__ import annotations

from ramppin.gateway.connection.datagrams import USUAL_SPEED
from ramppin.gateway.process.stalldetector import StallDetector

MIN_PERCENT = 10
"""Lowest figure that a load report may state."""

MAX_PERCENT = 10_000
"""Highest figure that a load report may state."""

FULL_WEIGHT_S = 0.3
"""Seconds for which a reported figure applies fully: half of the 0.6 s for which shared
machines stay at one speed in the mean."""

REPORT_MAX_AGE_S = 0.6
"""Seconds after which only the long-term average applies."""

AVERAGE_SAMPLES = 30
"""Number of answers that determine the long-term average. Single answers differ by half
of their mean, which leaves the average an error of about 0.08."""

USUAL_SAMPLES = 200
"""Number of answers that determine what is usual for a service."""

MIN_USUAL_SAMPLES = 20
"""Answers of a service before any of its servers is compared with the others."""

MAX_SAMPLE_RATIO = 4.0
"""Largest ratio of one sample to the usual value that is used, so that a single long
wait does not determine the average."""

MIN_AVERAGE = 0.5
"""Lowest long-term average; lower ones follow from few samples, not from speed."""

MAX_LEARNED_TOKENS = 2_000
"""Prompts with more uncached tokens are not used for the average: their wait shows
the length of the prompt, not the speed of the server."""


class UsualValue:
    """Moving mean of one observed time over all servers of a service."""

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._samples = 0

    def compare(self, seconds: float) -> float | None:
        """Return the ratio of a sample to the mean, and include it in the mean.

        None while there are too few samples.
        """
        mean_s, samples = self._mean_s, self._samples
        self._samples = min(USUAL_SAMPLES, samples + 1)
        self._mean_s += (seconds - mean_s) / self._samples
        if samples < MIN_USUAL_SAMPLES or mean_s <= 0:
            return None
        return min(MAX_SAMPLE_RATIO, seconds / mean_s)


class UsualTimes:
    """Usual pauses and waits of a service's answers.

    Waits are compared among prompts of similar length: a server that is the home of
    long prompts must not seem slow.

    .. versionadded:: 0.3
    """

    def __init__(self) -> None:
        self.pause = UsualValue()
        self._waits: dict[int, UsualValue] = {}

    def find_wait(self, tokens: int) -> UsualValue:
        """Return the usual wait for a first byte of prompts of similar length."""
        return self._waits.setdefault(tokens.bit_length(), UsualValue())


class ServerSpeed:
    """Speed of one backend server, from its load reports and its answers.

    Args:
        usual: usual times of its service, shared by the service's servers.
        stall_detector: stall detector of this process; None if it never stalls.

    Attributes:
        is_reported: whether it has ever reported its speed. The rules on speed apply
            to no other server.

    .. versionadded:: 0.3
    """

    def __init__(
        self,
        usual: UsualTimes | None = None,
        stall_detector: StallDetector | None = None,
    ) -> None:
        self._usual = usual or UsualTimes()
        self._stall_detector = stall_detector or StallDetector()
        self._percent = USUAL_SPEED
        self._reported_at = float("-inf")
        self._average = 1.0
        self.is_reported = False

    def note_report(self, percent: int, now: float) -> None:
        """Record the figure of an answer to this VM."""
        self.is_reported = True
        self._apply(percent, now, now)

    def apply_peer_report(self, percent: int, at: float, now: float) -> None:
        """Apply the figure of a peer's message, unless a newer one is known.

        Messages do not distinguish the usual speed from a report without a figure.

        Args:
            percent: the figure.
            at: event-loop time of the report.
            now: event-loop time.
        """
        if not MIN_PERCENT <= percent <= MAX_PERCENT:
            return
        if percent != USUAL_SPEED:
            self.is_reported = True
        if self.is_reported and at > self._reported_at:
            self._apply(percent, at, now)

    def find_percent(self, at: float) -> int:
        """Return the figure for a message about the load report of that time."""
        return self._percent if self._reported_at >= at else USUAL_SPEED

    def find_slowness(self, now: float) -> float:
        """Return how long work takes there, as a multiple of the usual time."""
        age_s = now - self._reported_at
        if age_s >= REPORT_MAX_AGE_S:
            return self._average
        reported = self._percent / USUAL_SPEED
        if age_s <= FULL_WEIGHT_S:
            return reported
        weight = (REPORT_MAX_AGE_S - age_s) / (REPORT_MAX_AGE_S - FULL_WEIGHT_S)
        return self._average + weight * (reported - self._average)

    def may_learn(self, now: float) -> bool:
        """Return whether answers that arrive now show the server's speed.

        After a stall of this VM they show the stall.
        """
        return self.is_reported and not self._stall_detector.is_behind(now)

    def note_wait(self, wait_s: float, tokens: int, now: float) -> None:
        """Record the wait for a first byte.

        Args:
            wait_s: time from sending the request to the first byte of its answer.
            tokens: uncached tokens of the prompt.
            now: event-loop time.
        """
        if tokens <= MAX_LEARNED_TOKENS and self.may_learn(now):
            self._learn(self._usual.find_wait(tokens).compare(wait_s))

    def note_pauses(self, mean_s: float, now: float) -> None:
        """Record the mean pause between the pieces of one stream."""
        if self.may_learn(now):
            self._learn(self._usual.pause.compare(mean_s))

    def _learn(self, ratio: float | None) -> None:
        if ratio is not None:
            average = self._average + (ratio - self._average) / AVERAGE_SAMPLES
            self._average = max(MIN_AVERAGE, average)

    def _apply(self, percent: int, at: float, now: float) -> None:
        if self._stall_detector.is_behind(now):
            # It was sent before the stall or in it: its age is unknown.
            return
        self._percent = percent
        self._reported_at = at


def parse_speed(text: bytes) -> int | None:
    """Return the speed figure of a load report; None if it is malformed."""
    if not text.isdigit() or len(text) > len(str(MAX_PERCENT)):
        return None
    percent = int(text)
    return percent if MIN_PERCENT <= percent <= MAX_PERCENT else None
