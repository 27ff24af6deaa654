"""Ramp spilled traffic to a destination by its observed latency and sheds."""

from dataclasses import dataclass

from tanagercourse.steering.averages import DecayingAverage

# Levels are shares of a destination's slots.
INITIAL_LEVEL = 0.1
GROWTH_PER_S = 0.1
# The level stops growing above this ratio of latency to usual latency.
HOLD_LATENCY_RATIO = 1.5
# The level is cut above this latency ratio or this share of shed requests.
CUT_LATENCY_RATIO = 3.0
CUT_SHED_SHARE = 0.05
# A cut multiplies the level by the factor, at most once per interval.
CUT_FACTOR = 0.7
CUT_INTERVAL_S = 1.0
# The level does not change on observations older than this.
MAX_FRESH_AGE_S = 1.0
# Without new observations the last level is kept up to this age, then drops to 0.
MAX_ASSUMED_AGE_S = 90.0
# Half-life of the averages of latency and shed share.
HEALTH_HALF_LIFE_S = 1.0


@dataclass(frozen=True)
class DestinationHealth:
    """Observed latency and sheds of a destination.

    Attributes:
        at_s: Time of the observation, in seconds.
        latency_ratio: Ratio of current to usual latency.
        shed_share: Share of requests that the destination shed.
    """

    at_s: float
    latency_ratio: float
    shed_share: float


class Ramp:
    """The share of a destination's slots that may serve work of other regions."""

    def __init__(self, now_s: float) -> None:
        self._level = INITIAL_LEVEL
        self._stepped_at_s = now_s
        self._cut_at_s = now_s

    def step(self, health: DestinationHealth, target: float, now_s: float) -> float:
        """Update the level and return it.

        Args:
            health: The newest observation.
            target: The requested level; the level grows only while below it.
            now_s: A monotonic clock, in seconds.
        """
        elapsed_s = now_s - self._stepped_at_s
        self._stepped_at_s = now_s
        age_s = now_s - health.at_s
        if age_s > MAX_ASSUMED_AGE_S:
            self._level = 0.0
        elif age_s > MAX_FRESH_AGE_S:
            return self._level
        elif (
            health.shed_share > CUT_SHED_SHARE
            or health.latency_ratio > CUT_LATENCY_RATIO
        ):
            self._cut(now_s)
        elif health.latency_ratio <= HOLD_LATENCY_RATIO and target > self._level:
            grown_level = max(self._level, INITIAL_LEVEL) + GROWTH_PER_S * elapsed_s
            self._level = min(1.0, grown_level)
        return self._level

    def _cut(self, now_s: float) -> None:
        if now_s - self._cut_at_s >= CUT_INTERVAL_S:
            self._level = max(INITIAL_LEVEL, self._level * CUT_FACTOR)
            self._cut_at_s = now_s


class DestinationRamp:
    """A limit on the slots that one instance may request from a destination.

    Args:
        slots: Slots of the destination.
        service_time_s: Usual service time there, in seconds.
        now_s: A monotonic clock, in seconds.
    """

    def __init__(self, slots: int, service_time_s: float, now_s: float) -> None:
        self._slots = slots
        self._latency_s = DecayingAverage(HEALTH_HALF_LIFE_S, now_s, service_time_s)
        self._usual_service_time_s = service_time_s
        self._shed_share = DecayingAverage(HEALTH_HALF_LIFE_S, now_s)
        self._observed_at_s = now_s
        self._ramp = Ramp(now_s)

    def observe(self, service_time_s: float, is_shed: bool, now_s: float) -> None:
        """Record the outcome of one request.

        Args:
            service_time_s: Service time of the request, in seconds; ignored for a shed.
            is_shed: Whether the destination shed the request.
            now_s: A monotonic clock, in seconds.
        """
        self._observed_at_s = now_s
        self._shed_share.observe(float(is_shed), now_s)
        if not is_shed:
            self._latency_s.observe(service_time_s, now_s)

    def slot_limit(self, now_s: float) -> int:
        """Return how many slots may be requested, at least 1 as a probe."""
        latency_ratio = self._latency_s.value / self._usual_service_time_s
        health = DestinationHealth(
            self._observed_at_s, latency_ratio, self._shed_share.value
        )
        level = self._ramp.step(health, 1.0, now_s)
        return max(1, round(level * self._slots))
