"""Where an entry instance stands among zones, regions and other instances."""

from collections.abc import Callable, Sequence

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.platform.store import Machine
from tanagercourse.settings.schema import UpstreamSettings

# One-way time between availability zones of one region, in seconds.
ZONE_ONE_WAY_S = 0.001
MS_PER_S = 1_000


class Topology:
    """An instance's own place, and what is near it.

    Args:
        me: This instance.
        zone: Its availability zone.
        in_force: Gives zones and regions.
        roster: Gives the other instances.
    """

    def __init__(
        self,
        me: InstanceId,
        zone: ZoneId,
        in_force: Callable[[], ActiveSettings],
        roster: InstanceDirectory,
    ) -> None:
        self.me = me
        self._zone = zone
        self._in_force = in_force
        self._roster = roster
        self._seen: tuple[int, int] | None = None
        self._listed: tuple[Machine, ...] = ()

    def near(
        self, upstreams: Sequence[UpstreamSettings]
    ) -> tuple[UpstreamSettings, ...]:
        """Return the upstreams of this instance's region."""
        home = self.home()
        return tuple(
            upstream
            for upstream in upstreams
            if self.region_of(upstream.zone_id) == home
        )

    def neighbours(self) -> tuple[InstanceId, ...]:
        """Return the live instances of this region, this one among them."""
        home = self.region_of(self._zone)
        found = {
            InstanceId(machine.id)
            for machine in self._instances()
            if self.region_of(machine.zone) == home
        }
        return tuple(sorted(found | {self.me}))

    def count(self) -> int:
        """Return how many live instances the platform lists."""
        return len(self._instances())

    def one_way_s(self, zone: ZoneId) -> float:
        """Return the one-way time to an availability zone, in seconds."""
        if zone == self._zone:
            return 0.0
        if self.region_of(zone) == self.region_of(self._zone):
            return ZONE_ONE_WAY_S
        return self._in_force().fleet.region_one_way_ms / MS_PER_S

    def _instances(self) -> tuple[Machine, ...]:
        """Return the listed instances, read anew only when the fleet changed."""
        seen = (self._in_force().version, self._roster.revision)
        if seen != self._seen:
            self._seen = seen
            self._listed = self._read_instances()
        return self._listed

    def _read_instances(self) -> tuple[Machine, ...]:
        upstreams = {
            upstream.id
            for service in self._in_force().services()
            for upstream in service.settings.upstreams
        }
        return self._roster.live_instances(upstreams)

    def home(self) -> RegionId:
        """Return this instance's region."""
        return self.region_of(self._zone)

    def home_zones(self) -> tuple[ZoneId, ...]:
        """Return the availability zones of this instance's region."""
        zones = self._in_force().fleet.zones
        named = tuple(ZoneId(z.zone) for z in zones if z.region == self.home())
        return named or (self._zone,)

    def region_of(self, zone: ZoneId) -> RegionId:
        """Return a zone's region; one that settings don't name is its own region.

        An instance that has no settings yet then keeps to its own zone.
        """
        zones = self._in_force().fleet.zones
        found = (each.region_id for each in zones if each.zone == zone)
        return next(found, RegionId(zone))
