"""One service's upstreams: which of them can take a request, and which one does."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from tanagercourse.core.ids import RegionId, UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.ejection import Ejections
from tanagercourse.entry.topology import Topology
from tanagercourse.settings.schema import Duty, ServiceSettings, UpstreamSettings
from tanagercourse.steering.cooldowns import ShedCooldowns
from tanagercourse.steering.slots import UpstreamSlots, equal_share
from tanagercourse.steering.upstreams import ChooseUpstream, UpstreamView

# Of the connections that are an instance's share, half may be idle ones.
BUSY_SHARE = 0.5


@unique
class Ending(Enum):
    """How a request's use of a slot ended."""

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    BROKEN_OFF = "broken_off"


@unique
class Home(Enum):
    """What a request finds in this instance's own region."""

    HAS_SLOT = "has_slot"
    FULL = "full"
    NONE = "none"


# Told how a request's use of another region's share ended.
EndUse = Callable[[Ending], None]


@dataclass(frozen=True)
class SpillPort:
    """What a pool asks about other regions.

    Attributes:
        record_arrival: Told of each request that a caller sent.
        region_for: Returns the other region that a request is to use, None for none.
        begin: Uses a slot of that region's share; returns what ends its use.
    """

    record_arrival: Callable[[Work], None]
    region_for: Callable[[Work, Home], RegionId | None]
    begin: Callable[[Work, RegionId], EndUse]


NO_SPILL = SpillPort(
    lambda work: None, lambda work, home: None, lambda work, region: lambda ending: None
)


class Slot:
    """A slot that a request holds on an upstream.

    Attributes:
        upstream: Where.
        work: The request.
        end_use: Ends its use of another region's share, if it has one.
        ending: How it ended, set by whoever holds it.
    """

    def __init__(
        self, upstream: UpstreamSettings, work: Work, end_use: EndUse | None = None
    ) -> None:
        self.upstream = upstream
        self.work = work
        self.end_use = end_use
        self.ending = Ending.BROKEN_OFF


@dataclass(frozen=True)
class PoolDependencies:
    """What every pool of an instance decides with.

    Attributes:
        choose: Chooses among views.
        surroundings: Where this instance stands among others.
        is_leaving: Whether the platform lists a machine as leaving, by its id.
        clock: A monotonic clock, in seconds.
        random: Spreads rests.
        spill: Which other regions requests may use.
    """

    choose: ChooseUpstream
    surroundings: Topology
    is_leaving: Callable[[str], bool]
    clock: Clock
    random: Random
    spill: SpillPort


class ServicePool:
    """Slots of one service's upstreams, as far as this instance uses them."""

    def __init__(self, parts: PoolDependencies) -> None:
        self._parts = parts
        self._resting = ShedCooldowns(parts.random)
        self._ejections = Ejections()
        self._upstreams: dict[UpstreamId, UpstreamSettings] = {}
        self._in_flight: dict[UpstreamId, int] = {}
        self._wake_at_s = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the service has no upstreams at all."""
        return not self._upstreams

    @property
    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return sum(self._in_flight.values())

    @property
    def wake_at_s(self) -> float:
        """Return when an upstream that is left alone may be tried again, in seconds."""
        return self._wake_at_s

    def configure(self, settings: ServiceSettings) -> None:
        """Take new settings; requests in flight keep the slots they hold."""
        self._upstreams = {
            upstream.upstream_id: upstream for upstream in settings.upstreams
        }

    def views(self) -> tuple[UpstreamView, ...]:
        """Return what is known of each upstream."""
        upstreams = tuple(self._upstreams.values())
        near = self._parts.surroundings.near(upstreams)
        shares = self._shares(near)
        return tuple(self._view(upstream, shares) for upstream in upstreams)

    def home_views(self) -> tuple[UpstreamView, ...]:
        """Return what is known of each upstream of this instance's region."""
        return self._in_region(self.views(), self._parts.surroundings.home())

    def choose_upstream(self, work: Work) -> UpstreamId | None:
        """Return the upstream that a request would go to, None when none can.

        It stays in this instance's region, unless another one's share is to serve it.
        """
        views = self.views()
        home = self._in_region(views, self._parts.surroundings.home())
        chosen = self._parts.choose(home)
        region = self._parts.spill.region_for(work, _home_of(home, chosen))
        if region is not None:
            chosen = self._parts.choose(self._in_region(views, region))
        return chosen.id if chosen else None

    def take(self, upstream: UpstreamId, work: Work) -> Slot:
        """Give a request a slot on an upstream."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        settings = self._upstreams[upstream]
        region = self._parts.surroundings.region_of(settings.zone_id)
        if region == self._parts.surroundings.home():
            return Slot(settings, work)
        return Slot(settings, work, self._parts.spill.begin(work, region))

    def release(self, slot: Slot) -> None:
        """Take a slot back and learn from how its use ended."""
        upstream = slot.upstream.upstream_id
        now_s = self._parts.clock()
        self._in_flight[upstream] -= 1
        if slot.end_use is not None:
            slot.end_use(slot.ending)
        if slot.ending is Ending.ANSWERED:
            self._resting.record_success(upstream)
            self._ejections.record_success(upstream)
        elif slot.ending is Ending.SHED:
            self._wake_at_s = self._resting.record_shed(upstream, now_s)
        elif slot.ending is Ending.LOST:
            self._wake_at_s = self._resting.record_shed(upstream, now_s)
            self._ejections.lost(upstream, now_s)

    def _in_region(
        self, views: Sequence[UpstreamView], region: RegionId
    ) -> tuple[UpstreamView, ...]:
        region_of = self._parts.surroundings.region_of
        return tuple(view for view in views if region_of(view.zone) == region)

    def _shares(self, near: Sequence[UpstreamSettings]) -> dict[UpstreamId, int]:
        counts = [UpstreamSlots(each.upstream_id, each.slots) for each in near]
        surroundings = self._parts.surroundings
        return equal_share(counts, surroundings.neighbours(), surroundings.me)

    def _view(
        self, upstream: UpstreamSettings, shares: dict[UpstreamId, int]
    ) -> UpstreamView:
        upstream_id = upstream.upstream_id
        now_s = self._parts.clock()
        return UpstreamView(
            id=upstream_id,
            zone=upstream.zone_id,
            state=self._state_of(upstream, now_s),
            slots=min(upstream.slots, self._busy_connections(upstream)),
            in_flight=self._in_flight.get(upstream_id, 0),
            share=shares.get(upstream_id),
            distance_s=self._parts.surroundings.one_way_s(upstream.zone_id),
            is_in_cooldown=self._resting.is_in_cooldown(upstream_id, now_s),
        )

    def _busy_connections(self, upstream: UpstreamSettings) -> int:
        """Return the connections to an upstream that may carry requests at once."""
        instances = max(1, self._parts.surroundings.count())
        return max(1, int(upstream.connections / instances * BUSY_SHARE))

    def _state_of(self, upstream: UpstreamSettings, now_s: float) -> UpstreamState:
        if upstream.duty is Duty.DRAIN or self._parts.is_leaving(upstream.id):
            return UpstreamState.DRAINING
        serving = [each for each in self._upstreams if each != upstream.upstream_id]
        if self._ejections.is_ejected(upstream.upstream_id, serving, now_s):
            return UpstreamState.EJECTED
        return UpstreamState.LIVE


def _home_of(views: Sequence[UpstreamView], chosen: UpstreamView | None) -> Home:
    if chosen is not None:
        return Home.HAS_SLOT
    serves = any(view.state is UpstreamState.LIVE for view in views)
    return Home.FULL if serves else Home.NONE
