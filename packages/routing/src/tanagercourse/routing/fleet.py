"""One instance's view of upstreams: registrations, loads, failures and warm objects."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import AffinityKey, ServiceId, UpstreamId, ZoneId
from tanagercourse.routing.silence import SilenceDetector
from tanagercourse.routing.statements import Lifetime, Statements, StatementStore

# Time after which the weight of a load report has halved, in seconds.
REPORT_HALF_LIFE_S = 2.5
# Weight of the newest load report in the average load from other instances.
REPORT_WEIGHT = 0.5
# Time that an object is assumed to stay warm on an upstream after its last use, in
# seconds.
WARM_TTL_S = 12.0
# Maximum number of warm objects tracked for one upstream.
MAX_WARM_OBJECTS = 512
# Weight of the newest outcome in an upstream's failure rate.
FAILURE_WEIGHT = 0.2
# Failure rate from which an upstream enters cooldown.
MAX_FAILURE_RATE = 0.45
# Cooldown of a failing upstream before it is tried again, in seconds.
FAILURE_COOLDOWN_S = 2.0
# Part of a slot that the estimated load must leave free for the slot to count as free.
FREE_SLOT_MARGIN = 0.5
# Maximum number of requests at an upstream, running and queued, per slot.
MAX_LOAD_PER_SLOT = 2.0
# Cooldown of a full upstream after it shed a request, in seconds.
SHED_COOLDOWN_S = 0.1
# Weight of the newest response in an upstream's average slowness.
SLOWNESS_WEIGHT = 0.2
# Time without a response after which the slowness is reset, in seconds.
SLOWNESS_TTL_S = 3.0
# Assumed length of a cold start where the service configures none, in seconds.
DEFAULT_COLD_START_S = 3.0


@unique
class Duty(Enum):
    """Whether an upstream accepts new requests, according to its registration."""

    READY = "ready"
    DRAINING = "draining"


@unique
class Reachability(Enum):
    """Whether connections to an upstream succeed."""

    UP = "up"
    DOWN = "down"


@dataclass(frozen=True)
class UpstreamRegistration:
    """An upstream's registration in the platform's store.

    Attributes:
        upstream: Id of the upstream.
        service: Service that the upstream runs.
        host: IP address of the upstream.
        port: TCP port of the upstream.
        zone: Zone of the upstream.
        slots: Number of requests that the upstream runs concurrently.
        duty: Whether the upstream accepts new requests.
        cold_s: Remaining time of the cold start, in seconds; 0 if not cold.
        started_unix_ms: Start time by the upstream's clock, in Unix milliseconds.
    """

    upstream: UpstreamId
    service: ServiceId
    host: str
    port: int
    zone: ZoneId
    slots: int
    duty: Duty
    cold_s: float
    started_unix_ms: int

    @property
    def lifetime(self) -> Lifetime:
        """The lifetime of the upstream that wrote the registration."""
        return Lifetime(self.upstream, self.started_unix_ms)


class UpstreamRecord:
    """The observed state of an upstream during one lifetime.

    Times are on the monotonic clock, in seconds.

    Attributes:
        registration: The upstream's latest registration.
        in_flight: Requests that this instance has sent and that are not finished.
        cold_until_s: End of the cold start.
        reachability: Whether connections to the upstream succeed.
        is_missing: Whether the registration lapsed in an outage and may reappear.
        is_removed: Whether this lifetime of the upstream has left the fleet.
        statements: What the upstream has said of itself in responses.
        silence: Tells whether responses of the upstream are overdue.
    """

    def __init__(
        self,
        registration: UpstreamRegistration,
        now_s: float,
        statements: Statements | None = None,
    ) -> None:
        self.registration = registration
        self.statements = statements or Statements()
        self.silence = SilenceDetector()
        self.in_flight = 0
        self.cold_until_s = now_s + registration.cold_s
        self.reachability = Reachability.UP
        self.is_missing = False
        self.is_removed = False
        self._other_load = 0.0
        self._reported_at_s = now_s
        self._has_report = False
        self._failure_rate = 0.0
        self._cooldown_until_s = 0.0
        self._slowness = 1.0
        self._slowness_at_s = now_s
        self._warm_objects: OrderedDict[AffinityKey, float] = OrderedDict()

    @property
    def accepts_requests(self) -> bool:
        """Whether the upstream is registered and neither drains nor says it leaves."""
        is_ready = self.registration.duty is Duty.READY
        return is_ready and not self.statements.is_leaving and not self.is_removed

    def is_paused(self, now_s: float) -> bool:
        """Return whether the upstream has said that it wants no requests for now."""
        return now_s < self.statements.paused_until_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the upstream is in its cold start."""
        return now_s < self.cold_until_s

    def is_in_cooldown(self, now_s: float) -> bool:
        """Return whether the upstream failed, shed requests or became silent."""
        return now_s < self._cooldown_until_s or self.silence.is_silent(now_s)

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests at the upstream."""
        return self.in_flight + self._decayed_other_load(now_s)

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the last load report, in seconds."""
        return now_s - self._reported_at_s

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record a load report, less the requests that this instance has in flight.

        Args:
            running: Requests that the upstream runs.
            waiting: Requests in the upstream's queue.
            now_s: Current time.
        """
        other_load = max(0.0, running + waiting - self.in_flight)
        previous = self._decayed_other_load(now_s)
        self._other_load = previous + REPORT_WEIGHT * (other_load - previous)
        self._reported_at_s = now_s
        self._has_report = True

    def last_known_load(self) -> float:
        """Return the load as of the last report, however old that report is."""
        return self.in_flight + self._other_load

    def report_weight(self, now_s: float) -> float:
        """Return the weight of the last load report: 1 if new, 0 if there is none."""
        if not self._has_report:
            return 0.0
        return math.exp2(-self.report_age_s(now_s) / REPORT_HALF_LIFE_S)

    def _decayed_other_load(self, now_s: float) -> float:
        return self._other_load * self.report_weight(now_s)

    def slowness(self, now_s: float) -> float:
        """Return the recent average ratio of actual to expected response time."""
        if now_s - self._slowness_at_s > SLOWNESS_TTL_S:
            return 1.0
        return self._slowness

    def record_response(self, ratio: float, now_s: float) -> None:
        """Record a complete response.

        Args:
            ratio: Actual response time divided by the expected one.
            now_s: Current time.
        """
        self._failure_rate *= 1 - FAILURE_WEIGHT
        is_fresh = now_s - self._slowness_at_s <= SLOWNESS_TTL_S
        previous = self._slowness if is_fresh else 1.0
        self._slowness = previous + SLOWNESS_WEIGHT * (min(ratio, 10.0) - previous)
        self._slowness_at_s = now_s

    def record_failure(self, now_s: float) -> bool:
        """Record a failed or lost request; return whether a cooldown begins."""
        self._failure_rate += FAILURE_WEIGHT * (1 - self._failure_rate)
        if self._failure_rate < MAX_FAILURE_RATE:
            return False
        self._failure_rate = MAX_FAILURE_RATE * (1 - FAILURE_WEIGHT)
        self._cooldown_until_s = now_s + FAILURE_COOLDOWN_S
        return True

    def record_shed(self, now_s: float) -> None:
        """Record a request that the upstream shed.

        An upstream that sheds although it has free slots is failing rather than full.
        Its shed counts as a failure, so one alone begins no cooldown: other
        upstreams may fail just as often.
        """
        if self.load(now_s) < self.registration.slots - FREE_SLOT_MARGIN:
            self.record_failure(now_s)
        else:
            self._cooldown_until_s = max(
                self._cooldown_until_s, now_s + SHED_COOLDOWN_S
            )

    def is_warm(self, key: AffinityKey, now_s: float) -> bool:
        """Return whether the upstream recently served an object for this instance."""
        used_at_s = self._warm_objects.get(key)
        return used_at_s is not None and now_s - used_at_s < WARM_TTL_S

    def mark_warm(self, key: AffinityKey, now_s: float) -> None:
        """Record that the upstream served an object."""
        self._warm_objects[key] = now_s
        self._warm_objects.move_to_end(key)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)

    def mark_cold(self, until_s: float) -> None:
        """Treat the upstream as cold until a time, and as warm for no object."""
        self.cold_until_s = max(self.cold_until_s, until_s)
        self._warm_objects.clear()


class Fleet:
    """All registered upstreams, and the evacuated zones.

    Attributes:
        evacuated: Zones whose upstreams receive no requests.
    """

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._by_service: dict[ServiceId, dict[UpstreamId, UpstreamRecord]] = {}
        self._epochs: dict[ServiceId, int] = {}
        self._statements = StatementStore()
        self.evacuated: set[ZoneId] = set()

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(tuple(self._records.values()))

    def get(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return an upstream's record, None if it is not registered."""
        return self._records.get(upstream)

    def put(self, registration: UpstreamRegistration, now_s: float) -> UpstreamRecord:
        """Apply a registration; a restarted or moved upstream gets a new record."""
        record = self._records.get(registration.upstream)
        if record is None or _is_new_lifetime(record.registration, registration):
            self.remove(registration.upstream)
            statements = self._statements.get(registration.lifetime)
            record = UpstreamRecord(registration, now_s, statements)
        else:
            record.registration = registration
            record.is_missing = False
            if registration.cold_s > 0:
                record.mark_cold(now_s + registration.cold_s)
        self._records[registration.upstream] = record
        self._by_service.setdefault(registration.service, {})[registration.upstream] = (
            record
        )
        self._begin_epoch(registration.service)
        return record

    def remove(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Remove an upstream; return its record, None if it was not registered."""
        record = self._records.pop(upstream, None)
        if record is not None:
            record.is_removed = True
            del self._by_service[record.registration.service][upstream]
            self._begin_epoch(record.registration.service)
        return record

    def mark_leaving(self, record: UpstreamRecord) -> None:
        """Exclude an upstream from new requests for the rest of its lifetime."""
        record.statements.is_leaving = True
        self._statements.keep(record.registration.lifetime, record.statements)
        self._begin_epoch(record.registration.service)

    def pause(self, record: UpstreamRecord, until_s: float) -> None:
        """Exclude an upstream from requests until a time; never shorten a pause."""
        statements = record.statements
        statements.paused_until_s = max(statements.paused_until_s, until_s)
        self._statements.keep(record.registration.lifetime, statements)
        self._begin_epoch(record.registration.service)

    def begin_evacuation(self, zone: ZoneId) -> None:
        """Exclude a zone's upstreams from new requests."""
        self.evacuated.add(zone)
        for service in self._by_service:
            self._begin_epoch(service)

    def end_evacuation(
        self, zone: ZoneId, cold_starts_s: dict[ServiceId, float], now_s: float
    ) -> None:
        """Include a zone's upstreams again, and treat them as cold at first.

        Args:
            zone: The zone.
            cold_starts_s: Length of each service's cold start, in seconds.
            now_s: Current time on the monotonic clock, in seconds.
        """
        self.evacuated.discard(zone)
        for service in self._by_service:
            self._begin_epoch(service)
        for record in self._records.values():
            if record.registration.zone == zone:
                cold_start_s = cold_starts_s.get(
                    record.registration.service, DEFAULT_COLD_START_S
                )
                record.mark_cold(now_s + cold_start_s)

    def epoch(self, service: ServiceId) -> int:
        """Return a counter that grows when a service's usable upstreams may change."""
        return self._epochs.get(service, 0)

    def _begin_epoch(self, service: ServiceId) -> None:
        self._epochs[service] = self.epoch(service) + 1

    def serving(self, service: ServiceId) -> Iterable[UpstreamRecord]:
        """Return a service's upstreams that accept new requests."""
        return [
            record
            for record in self._by_service.get(service, {}).values()
            if record.accepts_requests
            and record.registration.zone not in self.evacuated
        ]


def _is_new_lifetime(old: UpstreamRegistration, new: UpstreamRegistration) -> bool:
    return (old.started_unix_ms, old.service, old.host, old.port) != (
        new.started_unix_ms,
        new.service,
        new.host,
        new.port,
    )
