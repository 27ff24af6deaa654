"""Track one service's upstreams and choose one of them for each request."""

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

# Maximum share of an instance's connections to an upstream that carry requests; the
# other half may be open and idle.
MAX_BUSY_SHARE = 0.5


@unique
class SlotOutcome(Enum):
    """How a request's use of a slot ended.

    Attributes:
        ANSWERED: The complete response was passed to the caller.
        SHED: The backend server declined the request without running it.
        LOST: The connection to the upstream failed.
        BROKEN_OFF: Any other end, such as an expired deadline, a truncated response or
            a caller that disconnected.
    """

    ANSWERED = "answered"
    SHED = "shed"
    LOST = "lost"
    BROKEN_OFF = "broken_off"


@unique
class HomeCapacity(Enum):
    """Capacity for one service in this instance's own region.

    Attributes:
        HAS_SLOT: An upstream can accept a request now.
        FULL: Some upstream is live, but none can accept a request now.
        NONE: No upstream is live.
    """

    HAS_SLOT = "has_slot"
    FULL = "full"
    NONE = "none"


# Ends a request's use of a remote region's share, given its outcome.
EndShareUse = Callable[[SlotOutcome], None]


@dataclass(frozen=True)
class SpillHooks:
    """Callbacks through which a pool uses upstreams of remote regions.

    Attributes:
        record_arrival: Counts a request that a caller sent.
        choose_region: Returns the remote region that a request must use, or None to
            keep the request in the home region.
        begin_share_use: Uses one slot of a remote region's share; returns the function
            that ends this use.
    """

    record_arrival: Callable[[Work], None]
    choose_region: Callable[[Work, HomeCapacity], RegionId | None]
    begin_share_use: Callable[[Work, RegionId], EndShareUse]


NO_SPILL = SpillHooks(
    lambda work: None,
    lambda work, home_capacity: None,
    lambda work, region: lambda outcome: None,
)


class Slot:
    """A slot that a request holds on an upstream.

    Attributes:
        upstream: The upstream that provides the slot.
        work: The request.
        end_share_use: Ends the use of a remote region's share; None in the home region.
        outcome: How the use of the slot ended, set by its holder before release.
    """

    def __init__(
        self,
        upstream: UpstreamSettings,
        work: Work,
        end_share_use: EndShareUse | None = None,
    ) -> None:
        self.upstream = upstream
        self.work = work
        self.end_share_use = end_share_use
        self.outcome = SlotOutcome.BROKEN_OFF


@dataclass(frozen=True)
class PoolDependencies:
    """Dependencies that all pools of an instance share.

    Attributes:
        choose_view: Chooses an upstream from views of several.
        topology: Zones, regions and the other instances, as this instance sees them.
        is_leaving: Returns whether the machine with an id is leaving.
        clock: A monotonic clock, in seconds.
        random: Source of the jitter on cooldowns.
        spill: Access to the upstreams of remote regions.
    """

    choose_view: ChooseUpstream
    topology: Topology
    is_leaving: Callable[[str], bool]
    clock: Clock
    random: Random
    spill: SpillHooks


class ServicePool:
    """The upstreams of one service and this instance's use of their slots."""

    def __init__(self, deps: PoolDependencies) -> None:
        self._deps = deps
        self._cooldowns = ShedCooldowns(deps.random)
        self._ejections = Ejections()
        self._upstreams: dict[UpstreamId, UpstreamSettings] = {}
        self._in_flight: dict[UpstreamId, int] = {}
        self._cooldown_ends_at_s = 0.0

    @property
    def is_empty(self) -> bool:
        """Whether the settings name no upstream for the service."""
        return not self._upstreams

    @property
    def in_flight(self) -> int:
        """Return the number of requests that hold a slot."""
        return sum(self._in_flight.values())

    @property
    def cooldown_ends_at_s(self) -> float:
        """Return the end of the cooldown that started last, as a clock reading."""
        return self._cooldown_ends_at_s

    def configure(self, settings: ServiceSettings) -> None:
        """Apply new settings; requests in flight keep the slots they hold."""
        self._upstreams = {
            upstream.upstream_id: upstream for upstream in settings.upstreams
        }

    def views(self) -> tuple[UpstreamView, ...]:
        """Return the current state of each upstream."""
        upstreams = tuple(self._upstreams.values())
        home_upstreams = self._deps.topology.upstreams_in_home_region(upstreams)
        shares = self._static_shares(home_upstreams)
        return tuple(self._view(upstream, shares) for upstream in upstreams)

    def home_views(self) -> tuple[UpstreamView, ...]:
        """Return the current state of each upstream in this instance's region."""
        return self._views_in_region(self.views(), self._deps.topology.home_region())

    def choose_upstream(self, work: Work) -> UpstreamId | None:
        """Return the upstream to send a request to, or None when none can accept it.

        The upstream is in this instance's region unless the spill hooks choose a remote
        region for the request.
        """
        views = self.views()
        home_views = self._views_in_region(views, self._deps.topology.home_region())
        chosen = self._deps.choose_view(home_views)
        region = self._deps.spill.choose_region(
            work, _home_capacity(home_views, chosen)
        )
        if region is not None:
            chosen = self._deps.choose_view(self._views_in_region(views, region))
        return chosen.id if chosen else None

    def allocate(self, upstream: UpstreamId, work: Work) -> Slot:
        """Allocate a slot of an upstream to a request."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        settings = self._upstreams[upstream]
        region = self._deps.topology.region_of(settings.zone_id)
        if region == self._deps.topology.home_region():
            return Slot(settings, work)
        return Slot(settings, work, self._deps.spill.begin_share_use(work, region))

    def release(self, slot: Slot) -> None:
        """Free a slot and update cooldowns and ejections from its outcome."""
        upstream = slot.upstream.upstream_id
        now_s = self._deps.clock()
        self._in_flight[upstream] -= 1
        if slot.end_share_use is not None:
            slot.end_share_use(slot.outcome)
        if slot.outcome is SlotOutcome.ANSWERED:
            self._cooldowns.record_success(upstream)
            self._ejections.record_success(upstream)
        elif slot.outcome is SlotOutcome.SHED:
            self._cooldown_ends_at_s = self._cooldowns.record_shed(upstream, now_s)
        elif slot.outcome is SlotOutcome.LOST:
            self._cooldown_ends_at_s = self._cooldowns.record_shed(upstream, now_s)
            self._ejections.record_loss(upstream, now_s)

    def _views_in_region(
        self, views: Sequence[UpstreamView], region: RegionId
    ) -> tuple[UpstreamView, ...]:
        region_of = self._deps.topology.region_of
        return tuple(view for view in views if region_of(view.zone) == region)

    def _static_shares(
        self, home_upstreams: Sequence[UpstreamSettings]
    ) -> dict[UpstreamId, int]:
        upstream_slots = [
            UpstreamSlots(upstream.upstream_id, upstream.slots)
            for upstream in home_upstreams
        ]
        topology = self._deps.topology
        return equal_share(
            upstream_slots, topology.instances_in_home_region(), topology.instance
        )

    def _view(
        self, upstream: UpstreamSettings, shares: dict[UpstreamId, int]
    ) -> UpstreamView:
        upstream_id = upstream.upstream_id
        now_s = self._deps.clock()
        return UpstreamView(
            id=upstream_id,
            zone=upstream.zone_id,
            state=self._state_of(upstream, now_s),
            slots=min(upstream.slots, self._usable_connections(upstream)),
            in_flight=self._in_flight.get(upstream_id, 0),
            share=shares.get(upstream_id),
            distance_s=self._deps.topology.one_way_s(upstream.zone_id),
            is_in_cooldown=self._cooldowns.is_in_cooldown(upstream_id, now_s),
        )

    def _usable_connections(self, upstream: UpstreamSettings) -> int:
        """Return how many connections to an upstream may carry requests at once.

        The upstream's connection limit is divided evenly among all live instances.
        """
        instances = max(1, self._deps.topology.instance_count())
        return max(1, int(upstream.connections / instances * MAX_BUSY_SHARE))

    def _state_of(self, upstream: UpstreamSettings, now_s: float) -> UpstreamState:
        if upstream.duty is Duty.DRAIN or self._deps.is_leaving(upstream.id):
            return UpstreamState.DRAINING
        other_ids = [
            upstream_id
            for upstream_id in self._upstreams
            if upstream_id != upstream.upstream_id
        ]
        if self._ejections.is_ejected(upstream.upstream_id, other_ids, now_s):
            return UpstreamState.EJECTED
        return UpstreamState.LIVE


def _home_capacity(
    views: Sequence[UpstreamView], chosen: UpstreamView | None
) -> HomeCapacity:
    if chosen is not None:
        return HomeCapacity.HAS_SLOT
    has_live_upstream = any(view.state is UpstreamState.LIVE for view in views)
    return HomeCapacity.FULL if has_live_upstream else HomeCapacity.NONE
