"""Limit the requests to upstreams in their cold start, over all instances of a zone.

Load pattern: everything is full when an upstream joins, so all instances of its zone
turn to it at the same moment. A cold upstream is slow and fails above its rate.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tanagercourse.core.ids import UpstreamId
from tanagercourse.routing.fleet import UpstreamRecord

# Maximum number of upstreams that are tracked.
MAX_TRACKED_UPSTREAMS = 4096


@dataclass
class _ColdStart:
    """One cold start of an upstream, on the monotonic clock, in seconds."""

    ends_at_s: float
    next_send_s: float


class ColdSendLimiter:
    """Limits the requests of this instance to each cold upstream.

    The first request to an upstream waits for a random part of the interval between
    two, so that the first requests of many instances don't arrive together.
    """

    def __init__(
        self, per_s: Callable[[UpstreamRecord], float], random: Random
    ) -> None:
        """Create a limiter that has counted nothing.

        Args:
            per_s: Returns the maximum rate of requests from this instance to an
                upstream, per second; above 0.
            random: Source of the delay of each first request.
        """
        self._per_s = per_s
        self._random = random
        self._cold_starts: OrderedDict[UpstreamId, _ColdStart] = OrderedDict()

    def try_send(self, record: UpstreamRecord, now_s: float) -> bool:
        """Count a request to a cold upstream if the rate allows it.

        Args:
            record: The cold upstream.
            now_s: Current time on the monotonic clock, in seconds.

        Returns:
            Whether the request may be sent.
        """
        interval_s = 1.0 / self._per_s(record)
        cold_start = self._track(record, interval_s, now_s)
        if now_s < cold_start.next_send_s:
            return False
        cold_start.next_send_s = now_s + interval_s
        return True

    def _track(
        self, record: UpstreamRecord, interval_s: float, now_s: float
    ) -> _ColdStart:
        upstream = record.registration.upstream
        cold_start = self._cold_starts.get(upstream)
        if cold_start is None or now_s >= cold_start.ends_at_s:
            first_send_s = now_s + self._random.uniform(0.0, interval_s)
            cold_start = _ColdStart(record.cold_until_s, first_send_s)
            self._cold_starts[upstream] = cold_start
        cold_start.ends_at_s = record.cold_until_s
        self._cold_starts.move_to_end(upstream)
        if len(self._cold_starts) > MAX_TRACKED_UPSTREAMS:
            self._cold_starts.popitem(last=False)
        return cold_start
