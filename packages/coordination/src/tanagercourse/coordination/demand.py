"""Demand of a region's own callers, from the reports of its instances."""

import math
from dataclasses import dataclass

from tanagercourse.coordination.sharing import DemandReport
from tanagercourse.core.ids import InstanceId, ServiceId

# The last report of an instance expires after this time, so that an instance that
# stopped reporting no longer counts.
REPORT_TTL_S = 90.0


@dataclass(frozen=True)
class _ReceivedReport:
    report: DemandReport
    received_at_s: float


class DemandTally:
    """The newest report of each instance of a region."""

    def __init__(self) -> None:
        self._received: dict[InstanceId, _ReceivedReport] = {}

    def record(self, report: DemandReport, now_s: float) -> None:
        """Record an instance's report, replacing its last; drop expired reports."""
        self._received = {
            instance: received
            for instance, received in self._received.items()
            if now_s - received.received_at_s <= REPORT_TTL_S
        }
        self._received[report.instance] = _ReceivedReport(report, now_s)

    def wanted_slots(self, service: ServiceId) -> int:
        """Return the number of a service's slots that the region's own callers need."""
        return sum(
            demand.wanted_slots
            for received in self._received.values()
            for demand in received.report.demands
            if demand.service == service
        )

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest report, in seconds; infinity without reports."""
        received_at_s = (received.received_at_s for received in self._received.values())
        return now_s - max(received_at_s, default=-math.inf)
