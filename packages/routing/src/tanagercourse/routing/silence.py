"""Detect upstreams that no longer respond while requests to them are in flight.

An upstream that lost power or is cut off resets no connection. Without this, each
instance fills all slots that it assumes there with requests that nobody answers.
"""

from dataclasses import dataclass

# A request is overdue after this multiple of its expected time, and a minimum, in
# seconds.
OVERDUE_RATIO = 2.5
MIN_OVERDUE_S = 0.4


@dataclass(frozen=True, eq=False)
class SentRequest:
    """A request that is in flight at an upstream.

    Attributes:
        sent_at_s: Time at which it was sent, on the monotonic clock, in seconds.
        overdue_at_s: Time from which its response is overdue.
    """

    sent_at_s: float
    overdue_at_s: float


class SilenceDetector:
    """The requests in flight at one upstream, and its last response."""

    def __init__(self) -> None:
        self._in_flight: set[SentRequest] = set()
        self._responded_at_s = float("-inf")

    def begin(self, now_s: float, expected_s: float) -> SentRequest:
        """Record that a request is sent.

        Args:
            now_s: Current time on the monotonic clock, in seconds.
            expected_s: Expected time until its response, in seconds.
        """
        timeout_s = max(MIN_OVERDUE_S, OVERDUE_RATIO * expected_s)
        sent = SentRequest(now_s, now_s + timeout_s)
        self._in_flight.add(sent)
        return sent

    def end(self, sent: SentRequest, now_s: float, has_response: bool) -> None:
        """Record that a request ended, with or without a response."""
        self._in_flight.discard(sent)
        if has_response:
            self._responded_at_s = now_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether a request is overdue and no other was answered meanwhile."""
        return any(
            now_s >= sent.overdue_at_s and self._responded_at_s < sent.sent_at_s
            for sent in self._in_flight
        )
