"""The state that all instances of a run share: upstreams, load reports, results."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, UpstreamId
from tanagercourse.model.fleet import Fleet, ServiceModel, Zone
from tanagercourse.model.policy import RegionView
from tanagercourse.model.region_traffic import RegionTraffic
from tanagercourse.model.result import RunResult, SlotMeter
from tanagercourse.model.scheduler import EventScheduler
from tanagercourse.model.upstream import ModelUpstream
from tanagercourse.steering.slots import Demand

REPORT_INTERVAL_S = 0.25
# Stands for all holders in other regions together in the demands of a region.
REMOTE_HOLDERS = InstanceId("lent")


@dataclass(frozen=True)
class LoadReports:
    """The last load reports, which are the same for all instances.

    Attributes:
        made_at_s: When the reports were made, in seconds.
        busy_slots: Slots in use, by service and region.
        upstream_loads: Reported load of each upstream.
        demands: Demand for slots of each instance, by service and region.
    """

    made_at_s: float = 0.0
    busy_slots: dict[tuple[ServiceId, RegionId], int] = field(default_factory=dict)
    upstream_loads: dict[UpstreamId, float] = field(default_factory=dict)
    demands: dict[tuple[ServiceId, RegionId], tuple[Demand, ...]] = field(
        default_factory=dict
    )


class Simulation:
    """Upstreams, load reports and results of one run, and its clock."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.scheduler = EventScheduler()
        self.random = Random(seed)
        self.result = RunResult()
        self.region_traffic = RegionTraffic()
        self.reports = LoadReports()
        self.are_reports_stopped = False
        self.partitioned_zones: set[Zone] = set()
        self.regions = tuple(dict.fromkeys(zone.region for zone in fleet.zones))
        self._latest_demands: dict[
            tuple[ServiceId, RegionId], dict[InstanceId, Demand]
        ] = {}
        # Cache, cleared when reports or slots change.
        self._region_views: dict[
            tuple[ServiceId, RegionId, bool], tuple[RegionView, ...]
        ] = {}
        self.upstreams = {
            service.service: tuple(self._make_upstreams(service))
            for service in fleet.services
        }
        self._upstreams_by_region = {
            (service, region): tuple(
                upstream for upstream in upstreams if upstream.zone.region == region
            )
            for service, upstreams in self.upstreams.items()
            for region in self.regions
        }
        self._publish_reports()

    def now_s(self) -> float:
        """Return the virtual time, in seconds."""
        return self.scheduler.now_s

    def meter(self, service: ServiceId, region: RegionId) -> SlotMeter:
        """Return the meter of a service in a region, advanced to the current time.

        Its counts may be changed only at that time.
        """
        meter = self.result.meters.setdefault((service, region), SlotMeter())
        meter.advance_to(self.scheduler.now_s)
        return meter

    def update_slot_counts(self) -> None:
        """Recount the slots of upstreams that are up and not draining."""
        self._region_views.clear()
        for service in self.fleet.services:
            for region in self.regions:
                self.meter(service.service, region).slots = sum(
                    service.slots_per_upstream
                    for upstream in self.upstreams_in(service.service, region)
                    if upstream.faults.is_up and not upstream.faults.is_draining
                )

    def upstreams_in(
        self, service: ServiceId, region: RegionId
    ) -> tuple[ModelUpstream, ...]:
        """Return a service's upstreams in a region."""
        return self._upstreams_by_region[service, region]

    def reported_utilisation(self, service: ServiceId, region: RegionId) -> float:
        """Return the share of a region's slots in use, by the last report."""
        slots = self.result.meters[service, region].slots
        return self.reports.busy_slots.get((service, region), 0) / max(1, slots)

    def can_reach(self, source: Zone, destination: Zone) -> bool:
        """Return whether messages pass between two zones."""
        return (
            source == destination or not {source, destination} & self.partitioned_zones
        )

    def find_upstream(self, service: ServiceId, id: UpstreamId) -> ModelUpstream:
        """Return the upstream of a service with an id."""
        return next(
            upstream for upstream in self.upstreams[service] if upstream.id == id
        )

    def region_views(
        self, service: ServiceId, home: RegionId, has_own_slot: bool
    ) -> tuple[RegionView, ...]:
        """Return an instance's views of all regions, the home region first.

        Args:
            service: The service.
            home: Region of the instance.
            has_own_slot: Whether a slot of the instance's share is free at home.
        """
        key = (service, home, has_own_slot)
        if key not in self._region_views:
            remote_regions = [region for region in self.regions if region != home]
            self._region_views[key] = (
                self._region_view(service, home, 0.0, has_own_slot),
                *(
                    self._region_view(service, region, self.fleet.region_one_way_s)
                    for region in remote_regions
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
            self.reports.busy_slots.get((service, region), 0),
            self.reports.made_at_s,
            has_own_slot,
        )

    def report_demand(
        self, service: ServiceId, region: RegionId, demand: Demand
    ) -> None:
        """Record an instance's demand for the next report."""
        self._latest_demands.setdefault((service, region), {})[demand.instance] = demand

    def demands(self, service: ServiceId, region: RegionId) -> tuple[Demand, ...]:
        """Return the demands of a region's instances, as of the last report."""
        return self.reports.demands.get((service, region), ())

    def _make_upstreams(self, service: ServiceModel) -> Iterator[ModelUpstream]:
        for index in range(service.upstream_count):
            zone = self.fleet.zone_at(index)
            meter = self.meter(service.service, zone.region)
            meter.slots += service.slots_per_upstream

            def on_busy_change(change: int, zone: Zone = zone) -> None:
                self.meter(service.service, zone.region).busy_slots += change

            id = UpstreamId(f"{service.service}-{index:02}")
            random = Random(self.random.random())
            yield ModelUpstream(
                id, zone, service, self.scheduler, random, on_busy_change
            )

    def _publish_reports(self) -> None:
        if not self.are_reports_stopped:
            self._region_views.clear()
            self.reports = LoadReports(
                self.scheduler.now_s,
                {key: meter.busy_slots for key, meter in self.result.meters.items()},
                {
                    upstream.id: upstream.reported_load
                    for upstreams in self.upstreams.values()
                    for upstream in upstreams
                },
                {
                    key: tuple(demands.values())
                    for key, demands in self._latest_demands.items()
                },
            )
        self.scheduler.schedule_after(REPORT_INTERVAL_S, self._publish_reports)
