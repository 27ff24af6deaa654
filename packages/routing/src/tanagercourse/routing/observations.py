"""What an instance learns of services and objects from its own requests."""

from collections import OrderedDict

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.configuration import Route

# Usual work as a share of the objective until it is known: warm and cold objects.
FIRST_WARM = 0.5
FIRST_COLD = 1.5
# Weight of the newest answer in the usual work.
WORK_WEIGHT = 0.05
# An object that took this many times the usual warm work was cold.
COLD_RATIO = 1.6
# After this many crossings to another zone an object gets an owner in the own zone.
CROSSINGS_BEFORE_COPY = 6
# Objects whose crossings are counted.
MAX_COUNTED_OBJECTS = 4096
# An object that nobody asked for this long is not counted any more, in seconds.
OBJECT_MEMORY_S = 15.0


class ServiceTimes:
    """How long a service's upstreams work on objects that are warm and that are not."""

    def __init__(self) -> None:
        self._work_s: dict[tuple[ServiceId, bool], float] = {}

    def expect_s(self, service: ServiceId, route: Route, is_warm: bool) -> float:
        """Return the expected work in seconds."""
        first = FIRST_WARM if is_warm else FIRST_COLD
        return self._work_s.get((service, is_warm), first * route.target_latency_s)

    def learn(
        self, service: ServiceId, route: Route, was_warm: bool, took_s: float
    ) -> None:
        """Take the time of an answer that found a free slot.

        Args:
            service: Who answered.
            route: The request's route.
            was_warm: Whether this instance had seen the object there before.
            took_s: The time that the upstream took, in seconds.
        """
        if not was_warm and took_s < COLD_RATIO * self.expect_s(service, route, True):
            # Warmed by another instance: it says nothing of cold objects.
            return
        usual_s = self.expect_s(service, route, was_warm)
        changed_s = usual_s + WORK_WEIGHT * (took_s - usual_s)
        self._work_s[(service, was_warm)] = changed_s


class CrossZoneTransfers:
    """How often requests for an object were carried to another zone."""

    def __init__(self) -> None:
        self._counts: OrderedDict[tuple[ServiceId, AffinityKey], int] = OrderedDict()

    def note(self, service: ServiceId, key: AffinityKey) -> None:
        """Count one crossing."""
        name = (service, key)
        self._counts[name] = self._counts.get(name, 0) + 1
        self._counts.move_to_end(name)
        if len(self._counts) > MAX_COUNTED_OBJECTS:
            self._counts.popitem(last=False)

    def wants_copy(self, service: ServiceId, key: AffinityKey) -> bool:
        """Return whether carrying the object has cost as much as a cold run."""
        return self._counts.get((service, key), 0) >= CROSSINGS_BEFORE_COPY


class ActiveObjects:
    """How many objects callers ask each service for."""

    def __init__(self) -> None:
        self._asked: dict[ServiceId, OrderedDict[AffinityKey, float]] = {}

    def note(self, service: ServiceId, key: AffinityKey, now_s: float) -> None:
        """Count a request for an object."""
        asked = self._asked.setdefault(service, OrderedDict())
        asked[key] = now_s
        asked.move_to_end(key)
        oldest = next(iter(asked))
        while (
            asked[oldest] < now_s - OBJECT_MEMORY_S or len(asked) > MAX_COUNTED_OBJECTS
        ):
            del asked[oldest]
            oldest = next(iter(asked))

    def count(self, service: ServiceId) -> int:
        """Return how many objects were asked for lately."""
        return len(self._asked.get(service, ()))
