"""Upstreams as one instance knows them: entries, loads, failures and warm objects."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import AffinityKey, ServiceId, UpstreamId, ZoneId

# What an upstream said of its load counts half after this long, in seconds.
REPORT_HALF_LIFE_S = 2.5
# Weight of the newest report in the load that others put on an upstream.
REPORT_WEIGHT = 0.5
# How long an object stays warm on an upstream after its last use, in seconds.
WARM_S = 12.0
# Warm objects remembered for one upstream.
MAX_WARM_OBJECTS = 512
# Weight of the newest outcome in an upstream's share of failures.
FAILURE_WEIGHT = 0.2
# Past this share of failures an upstream is left out.
FAILING_SHARE = 0.45
# How long a failing upstream is left out before it is tried again, in seconds.
FAILING_REST_S = 2.0
# Part of a slot that a guessed load must leave free for a slot to count as free.
FREE_MARGIN = 0.5
# Requests that an upstream may hold, as a multiple of its slots.
MOST_HELD = 2.0
# How long a full upstream is left alone after it shed a request, in seconds.
SHED_REST_S = 0.1
# Weight of the newest answer in an upstream's usual slowness.
SLOWNESS_WEIGHT = 0.2
# Slowness is forgotten without news after this long, in seconds.
SLOWNESS_MEMORY_S = 3.0
# How long a cold start is assumed to last where nobody said, in seconds.
UNKNOWN_COLD_S = 3.0


@unique
class Duty(Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@unique
class Reachability(Enum):
    """Whether connections to an upstream succeed."""

    UP = "up"
    DOWN = "down"


@dataclass(frozen=True)
class UpstreamRegistration:
    """What an upstream registered.

    Attributes:
        upstream: Its id.
        service: What it serves.
        host: Its IP address.
        port: Its TCP port.
        zone: Where it runs.
        slots: Requests that it runs at once.
        duty: Whether it takes new requests.
        cold_s: How much longer it stays cold, in seconds, when it said so.
        started_unix_ms: When it started, by its own clock, in Unix milliseconds.
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


class UpstreamRecord:
    """One lifetime of an upstream.

    Attributes:
        registration: What it registered last.
        in_flight: Requests of this instance that it holds.
        cold_until_s: It is cold until then, on the monotonic clock.
        reachability: Whether connections to it succeed.
        is_missing: Whether its entry lapsed in an outage and may come back.
    """

    def __init__(self, entry: UpstreamRegistration, now_s: float) -> None:
        self.registration = entry
        self.in_flight = 0
        self.cold_until_s = now_s + entry.cold_s
        self.reachability = Reachability.UP
        self.is_missing = False
        self._others = 0.0
        self._reported_at_s = now_s
        self._failing = 0.0
        self._rests_until_s = 0.0
        self._slowness = 1.0
        self._slowness_at_s = now_s
        self._warm: OrderedDict[AffinityKey, float] = OrderedDict()
        self._cold_sends: list[float] = []

    def is_cold(self, now_s: float) -> bool:
        """Return whether it is cold."""
        return now_s < self.cold_until_s

    def is_resting(self, now_s: float) -> bool:
        """Return whether it is left alone after failures or a shed."""
        return now_s < self._rests_until_s

    def load(self, now_s: float) -> float:
        """Return how many requests it holds, as far as is known."""
        return self.in_flight + self._others_load(now_s)

    def report_age_s(self, now_s: float) -> float:
        """Return the age of what it last said of its load, in seconds."""
        return now_s - self._reported_at_s

    def note_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take what it said of its load, with this instance's own part taken off."""
        others = max(0.0, running + waiting - self.in_flight)
        before = self._others_load(now_s)
        self._others = before + REPORT_WEIGHT * (others - before)
        self._reported_at_s = now_s

    def _others_load(self, now_s: float) -> float:
        age_s = now_s - self._reported_at_s
        return self._others * math.exp2(-age_s / REPORT_HALF_LIFE_S)

    def slowness(self, now_s: float) -> float:
        """Return how much slower than expected its answers came lately."""
        if now_s - self._slowness_at_s > SLOWNESS_MEMORY_S:
            return 1.0
        return self._slowness

    def note_answer(self, ratio: float, now_s: float) -> None:
        """Count a whole answer that took a ratio of the time that was expected."""
        self._failing *= 1 - FAILURE_WEIGHT
        fresh = now_s - self._slowness_at_s <= SLOWNESS_MEMORY_S
        before = self._slowness if fresh else 1.0
        self._slowness = before + SLOWNESS_WEIGHT * (min(ratio, 10.0) - before)
        self._slowness_at_s = now_s

    def note_failure(self, now_s: float) -> bool:
        """Count a request that it failed or lost; return whether it rests now."""
        self._failing += FAILURE_WEIGHT * (1 - self._failing)
        if self._failing < FAILING_SHARE:
            return False
        self._failing = FAILING_SHARE * (1 - FAILURE_WEIGHT)
        self._rests_until_s = now_s + FAILING_REST_S
        return True

    def note_shed(self, now_s: float) -> None:
        """Count a request that it refused.

        One that has free slots fails rather than being full; it is tried again at
        once, for others may fail as much.
        """
        if self.load(now_s) < self.registration.slots - FREE_MARGIN:
            self.note_failure(now_s)
        else:
            self._rests_until_s = max(self._rests_until_s, now_s + SHED_REST_S)

    def is_warm(self, key: AffinityKey, now_s: float) -> bool:
        """Return whether this instance knows it to be warm for an object."""
        used_at_s = self._warm.get(key)
        return used_at_s is not None and now_s - used_at_s < WARM_S

    def note_warm(self, key: AffinityKey, now_s: float) -> None:
        """Remember that it handled an object."""
        self._warm[key] = now_s
        self._warm.move_to_end(key)
        if len(self._warm) > MAX_WARM_OBJECTS:
            self._warm.popitem(last=False)

    def note_cold(self, until_s: float) -> None:
        """Take it for cold, and as one that knows no object, until a time."""
        self.cold_until_s = max(self.cold_until_s, until_s)
        self._warm.clear()

    def take_cold_send(self, per_s: float, now_s: float) -> bool:
        """Count a send to a cold upstream if this instance's part allows it."""
        self._cold_sends = [at for at in self._cold_sends if now_s - at < 1.0]
        if len(self._cold_sends) + 1 > per_s:
            return False
        self._cold_sends.append(now_s)
        return True


class Fleet:
    """All upstreams, and the zones whose upstreams are to get nothing."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, UpstreamRecord] = {}
        self._by_service: dict[ServiceId, dict[UpstreamId, UpstreamRecord]] = {}
        self._epochs: dict[ServiceId, int] = {}
        self.evacuated: set[ZoneId] = set()

    def __iter__(self) -> Iterator[UpstreamRecord]:
        return iter(tuple(self._records.values()))

    def get(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return an upstream's record, None when it has no entry."""
        return self._records.get(upstream)

    def put(self, entry: UpstreamRegistration, now_s: float) -> UpstreamRecord:
        """Take an entry; a new lifetime starts a new record."""
        record = self._records.get(entry.upstream)
        if record is None or _is_other_lifetime(record.registration, entry):
            self.remove(entry.upstream)
            record = UpstreamRecord(entry, now_s)
        else:
            record.registration = entry
            record.is_missing = False
            if entry.cold_s > 0:
                record.note_cold(now_s + entry.cold_s)
        self._records[entry.upstream] = record
        self._by_service.setdefault(entry.service, {})[entry.upstream] = record
        self._begin_epoch(entry.service)
        return record

    def remove(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Forget an upstream that left or is gone."""
        record = self._records.pop(upstream, None)
        if record is not None:
            del self._by_service[record.registration.service][upstream]
            self._begin_epoch(record.registration.service)
        return record

    def begin_evacuation(self, zone: ZoneId) -> None:
        """Send nothing more to a zone's upstreams."""
        self.evacuated.add(zone)
        for service in self._by_service:
            self._begin_epoch(service)

    def end_evacuation(
        self, zone: ZoneId, cold_s: dict[ServiceId, float], now_s: float
    ) -> None:
        """Let a zone's upstreams be used again, cold at first.

        Args:
            zone: The zone.
            cold_s: How long upstreams of each service stay cold, in seconds.
            now_s: The monotonic clock, in seconds.
        """
        self.evacuated.discard(zone)
        for service in self._by_service:
            self._begin_epoch(service)
        for record in self._records.values():
            if record.registration.zone == zone:
                wait_s = cold_s.get(record.registration.service, UNKNOWN_COLD_S)
                record.note_cold(now_s + wait_s)

    def epoch(self, service: ServiceId) -> int:
        """Return what grows when the upstreams that serve a service may change."""
        return self._epochs.get(service, 0)

    def _begin_epoch(self, service: ServiceId) -> None:
        self._epochs[service] = self.epoch(service) + 1

    def serving(self, service: ServiceId) -> Iterable[UpstreamRecord]:
        """Return a service's upstreams that take new requests."""
        return [
            record
            for record in self._by_service.get(service, {}).values()
            if record.registration.duty is Duty.READY
            and record.registration.zone not in self.evacuated
        ]


def _is_other_lifetime(old: UpstreamRegistration, new: UpstreamRegistration) -> bool:
    return (old.started_unix_ms, old.service, old.host, old.port) != (
        new.started_unix_ms,
        new.service,
        new.host,
        new.port,
    )
