"""Manage the spill of all services of an instance, and renew its shares."""

import anyio

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.core.work import Work
from tanagercourse.entry.pool import EndShareUse, HomeCapacity, SpillHooks
from tanagercourse.entry.service_spill import (
    ServiceSpill,
    ShareCalls,
    SpillDependencies,
)
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.steering.shares import SHARE_RENEWAL_S, ShareHolderId
from tanagercourse.steering.shifts import ShiftCap

MS_PER_S = 1_000
# Renewal intervals vary by this share in total, so that instances and services do not
# renew at the same moment.
RENEWAL_JITTER = 0.2


class SpillManager:
    """Holds one `ServiceSpill` for each configured service of an instance.

    Args:
        holder_id: Identifies this run of the instance to granters.
        deps: Dependencies of all spills.
    """

    def __init__(self, holder_id: ShareHolderId, deps: SpillDependencies) -> None:
        self._holder_id = holder_id
        self._deps = deps
        self._settings: dict[ServiceId, ServiceSettings] = {}
        self._spills: dict[ServiceId, ServiceSpill] = {}

    def hooks(self) -> SpillHooks:
        """Return the callbacks through which pools use remote regions."""

        def record_arrival(work: Work) -> None:
            spill = self.get_spill(work.service)
            if spill is not None:
                spill.record_arrival()

        def choose_region(work: Work, home_capacity: HomeCapacity) -> RegionId | None:
            spill = self.get_spill(work.service)
            return spill.choose_region(work, home_capacity) if spill else None

        def begin_share_use(work: Work, region: RegionId) -> EndShareUse:
            return self._spills[work.service].begin_share_use(work, region)

        return SpillHooks(record_arrival, choose_region, begin_share_use)

    def configure(self, settings: ServiceSettings) -> None:
        """Store new settings of a service; its spill applies them at its next use."""
        self._settings[settings.service_id] = settings

    def get_spill(self, service: ServiceId) -> ServiceSpill | None:
        """Return a service's spill with current settings, or None if it has none."""
        home_region = self._deps.home_region()
        settings = self._settings.get(service)
        if settings is None:
            return None
        cap = ShiftCap(settings.shift_cap_share, settings.shift_interval_ms / MS_PER_S)
        spill = self._spills.get(service)
        if spill is None:
            spill = ServiceSpill(service, cap, home_region, self._holder_id, self._deps)
            self._spills[service] = spill
        spill.reconfigure(home_region, cap)
        return spill

    async def renew_shares(self, calls: ShareCalls) -> None:
        """Run one renewal task for each configured service until cancelled."""
        services_with_task: set[ServiceId] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                for service in self._settings.keys() - services_with_task:
                    services_with_task.add(service)
                    tasks.start_soon(self._renew_service_shares, service, calls)
                await anyio.sleep(SHARE_RENEWAL_S)

    async def _renew_service_shares(
        self, service: ServiceId, calls: ShareCalls
    ) -> None:
        """Request, renew and release the shares of one service until cancelled."""
        while True:
            spill = self.get_spill(service)
            slots_by_region = spill.slots_to_request() if spill else {}
            if spill is not None:
                async with anyio.create_task_group() as tasks:
                    for region, slots in slots_by_region.items():
                        tasks.start_soon(spill.request_share, calls, region, slots)
            jitter_factor = (
                1.0 - RENEWAL_JITTER / 2 + RENEWAL_JITTER * self._deps.random.random()
            )
            await anyio.sleep(SHARE_RENEWAL_S * jitter_factor)
