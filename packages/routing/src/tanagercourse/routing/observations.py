"""Statistics on services and objects that an instance gathers from its own requests."""

from collections import OrderedDict

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.configuration import Route

# Initial estimates of the service time for warm and cold objects, as shares of the
# route's target latency.
INITIAL_WARM_SHARE = 0.5
INITIAL_COLD_SHARE = 1.5
# Weight of the newest response in the average service time.
SERVICE_TIME_WEIGHT = 0.05
# An object that was not known to be warm counts as cold if the service time is at least
# this multiple of the warm average.
MIN_COLD_RATIO = 1.6
# Cross-zone transfers of an object after which the object gets an owner in this zone;
# so many transfers cost as much as one cold request.
TRANSFERS_BEFORE_ZONE_OWNER = 6
# Maximum number of objects that are tracked: for transfers in total, and for the active
# objects of each service.
MAX_TRACKED_OBJECTS = 4096
# Time after its last request for which an object is counted, in seconds.
OBJECT_TTL_S = 15.0


class ServiceTimes:
    """Average service times of each service, for warm and for cold objects."""

    def __init__(self) -> None:
        self._estimates_s: dict[tuple[ServiceId, bool], float] = {}

    def estimate_s(self, service: ServiceId, route: Route, is_warm: bool) -> float:
        """Return the average service time, or an initial estimate, in seconds."""
        initial_share = INITIAL_WARM_SHARE if is_warm else INITIAL_COLD_SHARE
        return self._estimates_s.get(
            (service, is_warm), initial_share * route.target_latency_s
        )

    def record(
        self, service: ServiceId, route: Route, was_warm: bool, service_time_s: float
    ) -> None:
        """Record the service time of a request that did not queue at its upstream.

        Args:
            service: Service of the upstream.
            route: The request's route.
            was_warm: Whether the upstream was known to be warm for the object.
            service_time_s: Service time, in seconds.
        """
        if not was_warm and service_time_s < MIN_COLD_RATIO * self.estimate_s(
            service, route, True
        ):
            # Requests of another instance had warmed the object, so this is not the
            # service time of a cold object.
            return
        previous_s = self.estimate_s(service, route, was_warm)
        updated_s = previous_s + SERVICE_TIME_WEIGHT * (service_time_s - previous_s)
        self._estimates_s[(service, was_warm)] = updated_s


class CrossZoneTransfers:
    """Counts of requests for each object that were sent to another zone."""

    def __init__(self) -> None:
        self._counts: OrderedDict[tuple[ServiceId, AffinityKey], int] = OrderedDict()

    def record(self, service: ServiceId, key: AffinityKey) -> None:
        """Count one transfer of an object."""
        object_id = (service, key)
        self._counts[object_id] = self._counts.get(object_id, 0) + 1
        self._counts.move_to_end(object_id)
        if len(self._counts) > MAX_TRACKED_OBJECTS:
            self._counts.popitem(last=False)

    def needs_zone_owner(self, service: ServiceId, key: AffinityKey) -> bool:
        """Return whether an object gets an additional owner in this zone."""
        return self._counts.get((service, key), 0) >= TRANSFERS_BEFORE_ZONE_OWNER


class ActiveObjects:
    """The objects that callers recently requested from each service."""

    def __init__(self) -> None:
        self._requested_at_s: dict[ServiceId, OrderedDict[AffinityKey, float]] = {}

    def record(self, service: ServiceId, key: AffinityKey, now_s: float) -> None:
        """Record a request for an object, and drop the expired objects."""
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
        """Return the number of recently requested objects of a service."""
        return len(self._requested_at_s.get(service, ()))
