"""Where an instance stands and how far other zones are."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import RegionId, ZoneId


@unique
class Distance(Enum):
    """How far an upstream is from this instance."""

    SAME_ZONE = "same_zone"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"


@dataclass(frozen=True)
class Location:
    """This instance's zone among all zones."""

    zone: ZoneId
    regions: Mapping[ZoneId, RegionId]

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Return a zone's region, None for a zone that is not known."""
        return self.regions.get(zone)

    def distance_to(self, zone: ZoneId) -> Distance:
        """Return how far a zone is."""
        if zone == self.zone:
            return Distance.SAME_ZONE
        region = self.region_of(zone)
        if region is not None and region == self.region_of(self.zone):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
