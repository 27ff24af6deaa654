"""What an instance learns of services and objects from its own requests."""

from collections import OrderedDict

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.configuration import Route

# Usual work as a share of the objective until it is known: warm and cold objects.
INITIAL_WARM_SHARE = 0.5
INITIAL_COLD_SHARE = 1.5
# Weight of the newest answer in the usual work.
SERVICE_TIME_WEIGHT = 0.05
# An object that took this many times the usual warm work was cold.
MIN_COLD_RATIO = 1.6
# After this many crossings to another zone an object gets an owner in the own zone.
TRANSFERS_BEFORE_ZONE_OWNER = 6
# Objects whose crossings are counted.
MAX_TRACKED_OBJECTS = 4096
# An object that nobody asked for this long is not counted any more, in seconds.
OBJECT_TTL_S = 15.0


class ServiceTimes:
    """How long a service's upstreams work on objects that are warm and that are not."""

    def __init__(self) -> None:
        self._estimates_s: dict[tuple[ServiceId, bool], float] = {}

    def estimate_s(self, service: ServiceId, route: Route, is_warm: bool) -> float:
        """Return the expected work in seconds."""
        initial_share = INITIAL_WARM_SHARE if is_warm else INITIAL_COLD_SHARE
        return self._estimates_s.get(
            (service, is_warm), initial_share * route.target_latency_s
        )

    def record(
        self, service: ServiceId, route: Route, was_warm: bool, service_time_s: float
    ) -> None:
        """Take the time of an answer that found a free slot.

        Args:
            service: Who answered.
            route: The request's route.
            was_warm: Whether this instance had seen the object there before.
            service_time_s: The time that the upstream took, in seconds.
        """
        if not was_warm and service_time_s < MIN_COLD_RATIO * self.estimate_s(
            service, route, True
        ):
            # Warmed by another instance: it says nothing of cold objects.
            return
        previous_s = self.estimate_s(service, route, was_warm)
        updated_s = previous_s + SERVICE_TIME_WEIGHT * (service_time_s - previous_s)
        self._estimates_s[(service, was_warm)] = updated_s


class CrossZoneTransfers:
    """How often requests for an object were carried to another zone."""

    def __init__(self) -> None:
        self._counts: OrderedDict[tuple[ServiceId, AffinityKey], int] = OrderedDict()

    def record(self, service: ServiceId, key: AffinityKey) -> None:
        """Count one crossing."""
        object_id = (service, key)
        self._counts[object_id] = self._counts.get(object_id, 0) + 1
        self._counts.move_to_end(object_id)
        if len(self._counts) > MAX_TRACKED_OBJECTS:
            self._counts.popitem(last=False)

    def needs_zone_owner(self, service: ServiceId, key: AffinityKey) -> bool:
        """Return whether carrying the object has cost as much as a cold run."""
        return self._counts.get((service, key), 0) >= TRANSFERS_BEFORE_ZONE_OWNER


class ActiveObjects:
    """How many objects callers ask each service for."""

    def __init__(self) -> None:
        self._requested_at_s: dict[ServiceId, OrderedDict[AffinityKey, float]] = {}

    def record(self, service: ServiceId, key: AffinityKey, now_s: float) -> None:
        """Count a request for an object."""
        requested_at_s = self._requested_at_s.setdefault(service, OrderedDict())
        requested_at_s[key] = now_s
        requested_at_s.move_to_end(key)
        oldest_key = next(iter(requested_at_s))
        while (
            requested_at_s[oldest_key] < now_s - OBJECT_TTL_S
            or len(requested_at_s) > MAX_TRACKED_OBJECTS
        ):
            del requested_at_s[oldest_key]
            oldest_key = next(iter(requested_at_s))

    def count(self, service: ServiceId) -> int:
        """Return how many objects were asked for lately."""
        return len(self._requested_at_s.get(service, ()))
