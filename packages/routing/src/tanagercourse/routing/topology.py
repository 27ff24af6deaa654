"""The location of an instance among the zones and regions."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from tanagercourse.core.ids import RegionId, ZoneId


@unique
class Distance(Enum):
    """Network distance between this instance and a zone."""

    SAME_ZONE = "same_zone"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"


@dataclass(frozen=True)
class Location:
    """The location of this instance.

    Attributes:
        zone: Zone of this instance.
        regions: Region of each configured zone.
    """

    zone: ZoneId
    regions: Mapping[ZoneId, RegionId]

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Return a zone's region, None for an unknown zone."""
        return self.regions.get(zone)

    def distance_to(self, zone: ZoneId) -> Distance:
        """Return the distance to a zone; an unknown zone is in another region."""
        if zone == self.zone:
            return Distance.SAME_ZONE
        region = self.region_of(zone)
        if region is not None and region == self.region_of(self.zone):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
