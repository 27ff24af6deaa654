"""Zones, regions and live instances, as seen from one entry instance."""

from collections.abc import Callable, Sequence

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.platform.store import Machine
from tanagercourse.settings.schema import UpstreamSettings

# Assumed one-way latency between availability zones of one region, in seconds.
ZONE_ONE_WAY_S = 0.001
MS_PER_S = 1_000


class Topology:
    """The location of an instance, the instances near it and its latency to zones.

    Args:
        instance: This instance's id.
        zone: This instance's availability zone.
        active_settings: Returns the settings with the zones and regions of the fleet.
        directory: Lists the live instances.
    """

    def __init__(
        self,
        instance: InstanceId,
        zone: ZoneId,
        active_settings: Callable[[], ActiveSettings],
        directory: InstanceDirectory,
    ) -> None:
        self.instance = instance
        self._zone = zone
        self._active_settings = active_settings
        self._directory = directory
        self._cache_key: tuple[int, int] | None = None
        self._cached_instances: tuple[Machine, ...] = ()

    def upstreams_in_home_region(
        self, upstreams: Sequence[UpstreamSettings]
    ) -> tuple[UpstreamSettings, ...]:
        """Return the upstreams that are in this instance's region."""
        home_region = self.home_region()
        return tuple(
            upstream
            for upstream in upstreams
            if self.region_of(upstream.zone_id) == home_region
        )

    def instances_in_home_region(self) -> tuple[InstanceId, ...]:
        """Return the live instances of this region, sorted, with this one included."""
        home_region = self.region_of(self._zone)
        instances = {
            InstanceId(machine.id)
            for machine in self._live_instances()
            if self.region_of(machine.zone) == home_region
        }
        return tuple(sorted(instances | {self.instance}))

    def instance_count(self) -> int:
        """Return the number of live instances in the directory."""
        return len(self._live_instances())

    def one_way_s(self, zone: ZoneId) -> float:
        """Return the one-way latency to an availability zone, in seconds."""
        if zone == self._zone:
            return 0.0
        if self.region_of(zone) == self.region_of(self._zone):
            return ZONE_ONE_WAY_S
        return self._active_settings().fleet.region_one_way_ms / MS_PER_S

    def _live_instances(self) -> tuple[Machine, ...]:
        """Return the live instances, cached until settings or directory change."""
        cache_key = (self._active_settings().version, self._directory.revision)
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._cached_instances = self._read_live_instances()
        return self._cached_instances

    def _read_live_instances(self) -> tuple[Machine, ...]:
        upstreams = {
            upstream.id
            for service in self._active_settings().services()
            for upstream in service.settings.upstreams
        }
        return self._directory.live_instances(upstreams)

    def home_region(self) -> RegionId:
        """Return this instance's region."""
        return self.region_of(self._zone)

    def home_zones(self) -> tuple[ZoneId, ...]:
        """Return the availability zones of this instance's region."""
        zones = self._active_settings().fleet.zones
        zones_in_home_region = tuple(
            ZoneId(zone.zone) for zone in zones if zone.region == self.home_region()
        )
        return zones_in_home_region or (self._zone,)

    def region_of(self, zone: ZoneId) -> RegionId:
        """Return the region of a zone.

        A zone that the settings don't name counts as a region of its own. An instance
        without settings therefore uses only its own zone.
        """
        zones = self._active_settings().fleet.zones
        regions = (
            zone_settings.region_id
            for zone_settings in zones
            if zone_settings.zone == zone
        )
        return next(regions, RegionId(zone))
