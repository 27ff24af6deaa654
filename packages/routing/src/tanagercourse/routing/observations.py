"""Statistics on services and objects that an instance gathers from its own requests."""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from tanagercourse.core.ids import AffinityKey, RouteId, ServiceId
from tanagercourse.routing.configuration import Route

# Initial estimates of the service time for warm and cold objects, as shares of the
# route's target latency.
INITIAL_WARM_SHARE = 0.5
INITIAL_COLD_SHARE = 1.5
# Minimum weight of the newest response in an average service time.
SERVICE_TIME_WEIGHT = 0.05
# Number of responses that an initial estimate counts for.
INITIAL_ESTIMATE_COUNT = 3
# Maximum number of averages; configurations may have thousands of unused routes.
MAX_SERVICE_TIMES = 4096
# An object that was not known to be warm counts as cold if the service time is at least
# this multiple of the warm average.
MIN_COLD_RATIO = 1.6
# Cross-zone transfers of an object after which the object gets an owner in this zone;
# so many transfers cost as much as one cold request.
TRANSFERS_BEFORE_ZONE_OWNER = 6
# Maximum number of objects that are tracked for transfers, and of requests to each
# service that are tracked for the number of objects.
MAX_TRACKED_OBJECTS = 4096
# Time for which a request counts towards the number of objects, in seconds.
OBJECT_TTL_S = 15.0


@dataclass
class _AverageTime:
    """An average that follows new values at a limited rate."""

    average_s: float
    count: int = INITIAL_ESTIMATE_COUNT

    def add(self, value_s: float) -> None:
        self.count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.count)
        self.average_s += weight * (value_s - self.average_s)


class ServiceTimes:
    """Average service times of each service and route, for warm and cold objects.

    Routes that share a service may differ several times in their service times. With
    one average for both, requests of the shorter route look late before they are sent.
    """

    def __init__(self) -> None:
        self._averages: OrderedDict[
            tuple[ServiceId, RouteId | None, bool], _AverageTime
        ] = OrderedDict()

    def estimate_s(self, service: ServiceId, route: Route, is_warm: bool) -> float:
        """Return a route's average service time, or an initial estimate, in seconds."""
        average = self._averages.get((service, route.route_id, is_warm))
        return average.average_s if average else _initial_estimate_s(route, is_warm)

    def estimate_queued_s(self, service: ServiceId, route: Route) -> float:
        """Return the average service time of a warm request of any route, in seconds.

        Args:
            service: Service whose queue a request joins.
            route: Route of that request, for the initial estimate.
        """
        average = self._averages.get((service, None, True))
        return average.average_s if average else _initial_estimate_s(route, True)

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
        for route_id in (route.route_id, None):
            key = (service, route_id, was_warm)
            initial = _AverageTime(_initial_estimate_s(route, was_warm))
            self._averages.setdefault(key, initial).add(service_time_s)
            self._averages.move_to_end(key)
        if len(self._averages) > MAX_SERVICE_TIMES:
            self._averages.popitem(last=False)


def _initial_estimate_s(route: Route, is_warm: bool) -> float:
    share = INITIAL_WARM_SHARE if is_warm else INITIAL_COLD_SHARE
    return share * route.target_latency_s


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


@dataclass
class _RecentRequests:
    """The recent requests of one service, and how often two were for one object."""

    arrivals: deque[tuple[float, AffinityKey]] = field(default_factory=deque)
    counts: Counter[AffinityKey] = field(default_factory=Counter)
    pair_count: int = 0

    def add(self, key: AffinityKey, now_s: float) -> None:
        self.arrivals.append((now_s, key))
        self.pair_count += self.counts[key]
        self.counts[key] += 1

    def drop_oldest(self) -> None:
        _, key = self.arrivals.popleft()
        self.counts[key] -= 1
        self.pair_count -= self.counts[key]
        if not self.counts[key]:
            del self.counts[key]


class ActiveObjects:
    """Estimates how many objects the callers of a region request from each service.

    Other instances receive most of the requests. If callers request N objects equally
    often, two requests are for the same object with a probability of 1/N, so the pairs
    of this instance's own requests show N, even if it received few of the objects.
    """

    def __init__(self) -> None:
        self._requests: dict[ServiceId, _RecentRequests] = {}

    def record(self, service: ServiceId, key: AffinityKey, now_s: float) -> None:
        """Record a request for an object, and drop the expired requests."""
        requests = self._requests.setdefault(service, _RecentRequests())
        requests.add(key, now_s)
        while (
            requests.arrivals[0][0] < now_s - OBJECT_TTL_S
            or len(requests.arrivals) > MAX_TRACKED_OBJECTS
        ):
            requests.drop_oldest()

    def count(self, service: ServiceId) -> int:
        """Return the estimated number of recently requested objects of a service."""
        requests = self._requests.get(service)
        if requests is None:
            return 0
        request_count = len(requests.arrivals)
        all_pairs = request_count * (request_count - 1) // 2
        return max(len(requests.counts), all_pairs // max(1, requests.pair_count))
