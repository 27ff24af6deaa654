"""The modelled fleet: upstreams, reports that lag, and what callers send."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, UpstreamId
from tanagercourse.model.fleet import Fleet, ServiceModel, Zone
from tanagercourse.model.policy import RegionView
from tanagercourse.model.region_traffic import Moves
from tanagercourse.model.result import Result, SlotMeter
from tanagercourse.model.scheduler import Timeline
from tanagercourse.model.upstream import ModelUpstream
from tanagercourse.steering.slots import Demand

REPORT_INTERVAL_S = 0.25
# Stands among a region's instances for all that other regions may use there.
LENT = InstanceId("lent")


@dataclass(frozen=True)
class Reports:
    """What every instance last heard; it is as old as the last report.

    Attributes:
        at_s: When the reports were made, in seconds.
        in_service: Slots in use by service and region.
        loads: The load that each upstream reported.
        demands: What each instance wanted, by service and region.
    """

    at_s: float = 0.0
    in_service: dict[tuple[ServiceId, RegionId], int] = field(default_factory=dict)
    loads: dict[UpstreamId, float] = field(default_factory=dict)
    demands: dict[tuple[ServiceId, RegionId], tuple[Demand, ...]] = field(
        default_factory=dict
    )


class World:
    """Upstreams, reports and results that the instances of a run share."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.timeline = Timeline()
        self.random = Random(seed)
        self.result = Result()
        self.moves = Moves()
        self.reports = Reports()
        self.are_reports_stopped = False
        self.split_zones: set[Zone] = set()
        self.regions = tuple(dict.fromkeys(zone.region for zone in fleet.zones))
        self._wanted: dict[tuple[ServiceId, RegionId], dict[InstanceId, Demand]] = {}
        # Forgotten whenever reports or slots change.
        self._region_views: dict[
            tuple[ServiceId, RegionId, bool], tuple[RegionView, ...]
        ] = {}
        self.upstreams = {
            service.service: tuple(self._make_upstreams(service))
            for service in fleet.services
        }
        self._in_region = {
            (service, region): tuple(up for up in all if up.zone.region == region)
            for service, all in self.upstreams.items()
            for region in self.regions
        }
        self._report()

    def now_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.timeline.now_s

    def meter(self, service: ServiceId, region: RegionId) -> SlotMeter:
        """Return a meter with all time up to now counted, ready to be changed."""
        meter = self.result.meters.setdefault((service, region), SlotMeter())
        meter.advance(self.timeline.now_s)
        return meter

    def count_slots(self) -> None:
        """Count the slots in service again after upstreams came or went."""
        self._region_views.clear()
        for service in self.fleet.services:
            for region in self.regions:
                self.meter(service.service, region).slots = sum(
                    service.slots
                    for upstream in self.in_region(service.service, region)
                    if upstream.faults.is_up and not upstream.faults.is_draining
                )

    def in_region(
        self, service: ServiceId, region: RegionId
    ) -> tuple[ModelUpstream, ...]:
        """Return a service's upstreams in a region."""
        return self._in_region[service, region]

    def reported_use(self, service: ServiceId, region: RegionId) -> float:
        """Return the share of a region's slots in use by the last report."""
        slots = self.result.meters[service, region].slots
        return self.reports.in_service.get((service, region), 0) / max(1, slots)

    def can_reach(self, one: Zone, other: Zone) -> bool:
        """Whether messages pass between two zones."""
        return one == other or not {one, other} & self.split_zones

    def upstream(self, service: ServiceId, id: UpstreamId) -> ModelUpstream:
        """Return one upstream of a service."""
        return next(each for each in self.upstreams[service] if each.id == id)

    def region_views(
        self, service: ServiceId, home: RegionId, has_own_slot: bool
    ) -> tuple[RegionView, ...]:
        """Return what an instance last heard of each region, its home first.

        Args:
            service: The service.
            home: The instance's region.
            has_own_slot: Whether a slot of its own is free at home.
        """
        key = (service, home, has_own_slot)
        if key not in self._region_views:
            others = [region for region in self.regions if region != home]
            self._region_views[key] = (
                self._region_view(service, home, 0.0, has_own_slot),
                *(
                    self._region_view(service, other, self.fleet.region_one_way_s)
                    for other in others
                ),
            )
        return self._region_views[key]

    def _region_view(
        self,
        service: ServiceId,
        region: RegionId,
        one_way_s: float,
        has_own_slot: bool = False,
    ) -> RegionView:
        return RegionView(
            region,
            one_way_s,
            self.result.meters[service, region].slots,
            self.reports.in_service.get((service, region), 0),
            self.reports.at_s,
            has_own_slot,
        )

    def tell_wanted(self, service: ServiceId, region: RegionId, demand: Demand) -> None:
        """Take an instance's word for what it wants, to go into the next report."""
        self._wanted.setdefault((service, region), {})[demand.instance] = demand

    def demands(self, service: ServiceId, region: RegionId) -> tuple[Demand, ...]:
        """Return what a region's instances told before the last report."""
        return self.reports.demands.get((service, region), ())

    def _make_upstreams(self, service: ServiceModel) -> Iterator[ModelUpstream]:
        for index in range(service.upstreams):
            zone = self.fleet.zone_of(index)
            meter = self.meter(service.service, zone.region)
            meter.slots += service.slots

            def on_busy(change: int, zone: Zone = zone) -> None:
                self.meter(service.service, zone.region).busy += change

            id = UpstreamId(f"{service.service}-{index:02}")
            random = Random(self.random.random())
            yield ModelUpstream(id, zone, service, self.timeline, random, on_busy)

    def _report(self) -> None:
        if not self.are_reports_stopped:
            self._region_views.clear()
            self.reports = Reports(
                self.timeline.now_s,
                {key: meter.busy for key, meter in self.result.meters.items()},
                {
                    upstream.id: upstream.reported_load
                    for upstreams in self.upstreams.values()
                    for upstream in upstreams
                },
                {key: tuple(told.values()) for key, told in self._wanted.items()},
            )
        self.timeline.after(REPORT_INTERVAL_S, self._report)
