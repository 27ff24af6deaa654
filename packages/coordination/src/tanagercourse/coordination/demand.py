"""What a region's own callers want of its services, as their instances report it."""

import math
from dataclasses import dataclass

from tanagercourse.coordination.sharing import DemandReport
from tanagercourse.core.ids import InstanceId, ServiceId

# An instance that reports no more is taken to want what it last did for so long.
KEPT_S = 90.0


@dataclass(frozen=True)
class _Heard:
    report: DemandReport
    heard_at_s: float


class DemandTally:
    """The newest report of each instance of a region."""

    def __init__(self) -> None:
        self._heard: dict[InstanceId, _Heard] = {}

    def note(self, report: DemandReport, now_s: float) -> None:
        """Take an instance's report, which replaces its last one."""
        self._heard = {
            instance: heard
            for instance, heard in self._heard.items()
            if now_s - heard.heard_at_s <= KEPT_S
        }
        self._heard[report.instance] = _Heard(report, now_s)

    def wanted_slots(self, service: ServiceId) -> int:
        """Return the slots of a service that the region's own callers want."""
        return sum(
            demand.wanted_slots
            for heard in self._heard.values()
            for demand in heard.report.demands
            if demand.service == service
        )

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest report, in seconds; infinite without one."""
        heard_at_s = (heard.heard_at_s for heard in self._heard.values())
        return now_s - max(heard_at_s, default=-math.inf)
