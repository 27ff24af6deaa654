"""Estimate how often waiting requests of one service find a free slot."""

import math
from dataclasses import dataclass

# Time in which the weight of an observation halves, in seconds.
OBSERVATION_HALF_LIFE_S = 3.0
# Weighted number of found slots from which there is an estimate.
MIN_FOUND_SLOTS = 4.0
# Standard deviations by which the number of slots that become free may exceed the
# expected number.
MAX_DEVIATIONS = 2.0


@dataclass(frozen=True)
class SlotRateEstimate:
    """An estimate of the rate at which waiting requests find free slots.

    Attributes:
        per_s: Found slots per second while requests wait.
        observed_s: Weighted time over which the slots were counted, in seconds.
    """

    per_s: float
    observed_s: float

    def may_serve(self, requests: int, within_s: float) -> bool:
        """Return whether so many waiting requests may find a slot in a given time.

        Both the count behind the estimate and the count to come vary like independent
        events, so their variances add up. False only if the requests exceed the
        expected slots by MAX_DEVIATIONS.

        Args:
            requests: Number of requests.
            within_s: Time, in seconds.
        """
        if within_s <= 0:
            return False
        expected = self.per_s * within_s
        variance = expected * (1 + within_s / self.observed_s)
        return requests <= expected + MAX_DEVIATIONS * math.sqrt(variance)


class SlotRate:
    """Counts the slots that waiting requests find, and the time for which some wait.

    Slots are also freed by requests of other instances, which this instance is not told
    of, so found slots are counted instead of its own finished requests.
    """

    def __init__(self) -> None:
        self._found = 0.0
        self._busy_s = 0.0
        self._observed_until_s = 0.0
        self._waiting_count = 0

    def record_waiting(self, waiting_count: int, now_s: float) -> None:
        """Record the number of requests that wait from now on."""
        self._advance(now_s)
        self._waiting_count = waiting_count

    def record_found(self, now_s: float) -> None:
        """Record that a request that waited found a slot."""
        self._advance(now_s)
        self._found += 1

    def estimate(self, now_s: float) -> SlotRateEstimate | None:
        """Return the estimate, None if too few slots were found lately."""
        self._advance(now_s)
        if self._found < MIN_FOUND_SLOTS or self._busy_s <= 0:
            return None
        return SlotRateEstimate(self._found / self._busy_s, self._busy_s)

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._observed_until_s)
        kept_share = math.exp2(-elapsed_s / OBSERVATION_HALF_LIFE_S)
        self._found *= kept_share
        self._busy_s *= kept_share
        if self._waiting_count:
            # The weight of the elapsed time, which itself ages while it passes.
            decay_per_s = math.log(2) / OBSERVATION_HALF_LIFE_S
            self._busy_s += (1 - kept_share) / decay_per_s
        self._observed_until_s = max(self._observed_until_s, now_s)
