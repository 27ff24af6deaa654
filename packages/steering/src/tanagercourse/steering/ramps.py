"""Grow what a destination takes from elsewhere by its observed latency and sheds."""

from dataclasses import dataclass

from tanagercourse.steering.averages import DecayingAverage

# What a destination takes at first, as a share of its slots.
FIRST_LEVEL = 0.1
GROWTH_PER_S = 0.1
# A destination whose latency passes this many times its usual one grows no more.
HOLD_LATENCY = 1.5
# Past this, or this share of sheds, what it takes is cut.
CUT_LATENCY = 3.0
CUT_SHEDS = 0.05
CUT_FACTOR = 0.7
CUT_INTERVAL_S = 1.0
# Measurements older than this are not fresh: nothing grows on their word.
FRESH_S = 1.0
# While measurements are missing, the last level is assumed to hold for so long.
ASSUMED_S = 90.0
HEALTH_HALF_LIFE_S = 1.0


@dataclass(frozen=True)
class Health:
    """What was observed of a destination.

    Attributes:
        at_s: When, in seconds.
        latency: Latency now over the usual latency.
        shed_share: Share of its requests that it shed.
    """

    at_s: float
    latency: float
    shed_share: float


class Ramp:
    """The share of a destination's slots that may serve other regions' work."""

    def __init__(self, now_s: float) -> None:
        self._level = FIRST_LEVEL
        self._stepped_at_s = now_s
        self._cut_at_s = now_s

    def step(self, health: Health, wanted: float, now_s: float) -> float:
        """Return the level from now on.

        Args:
            health: The newest observation.
            wanted: The level that others ask for; it never grows beyond.
            now_s: A monotonic clock, in seconds.
        """
        passed_s = now_s - self._stepped_at_s
        self._stepped_at_s = now_s
        age_s = now_s - health.at_s
        if age_s > ASSUMED_S:
            self._level = 0.0
        elif age_s > FRESH_S:
            return self._level
        elif health.shed_share > CUT_SHEDS or health.latency > CUT_LATENCY:
            self._cut(now_s)
        elif health.latency <= HOLD_LATENCY and wanted > self._level:
            grown = max(self._level, FIRST_LEVEL) + GROWTH_PER_S * passed_s
            self._level = min(1.0, grown)
        return self._level

    def _cut(self, now_s: float) -> None:
        if now_s - self._cut_at_s >= CUT_INTERVAL_S:
            self._level = max(FIRST_LEVEL, self._level * CUT_FACTOR)
            self._cut_at_s = now_s


class DestinationRamp:
    """How many slots of a destination one instance may ask for, by how it fares.

    Args:
        slots: The destination's slots.
        service_s: Usual service time there, in seconds.
        now_s: A monotonic clock, in seconds.
    """

    def __init__(self, slots: int, service_s: float, now_s: float) -> None:
        self._slots = slots
        self._latency = DecayingAverage(HEALTH_HALF_LIFE_S, now_s, service_s)
        self._usual_s = service_s
        self._sheds = DecayingAverage(HEALTH_HALF_LIFE_S, now_s)
        self._seen_at_s = now_s
        self._ramp = Ramp(now_s)

    def observe(self, service_s: float, is_shed: bool, now_s: float) -> None:
        """Take how one request fared."""
        self._seen_at_s = now_s
        self._sheds.observe(float(is_shed), now_s)
        if not is_shed:
            self._latency.observe(service_s, now_s)

    def slot_limit(self, now_s: float) -> int:
        """Return how many slots may be asked for: at least one, to find out."""
        latency = self._latency.value / self._usual_s
        health = Health(self._seen_at_s, latency, self._sheds.value)
        level = self._ramp.step(health, 1.0, now_s)
        return max(1, round(level * self._slots))
