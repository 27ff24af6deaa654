"""Every service's spill of one instance, and the tasks that keep its shares."""

import anyio

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.core.work import Work
from tanagercourse.entry.pool import EndUse, Home, SpillPort
from tanagercourse.entry.service_spill import ServiceSpill, ShareCalls, SpillParts
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.steering.shares import SHARE_RENEWAL_S, ShareHolderId
from tanagercourse.steering.shifts import ShiftCap

MS_PER_S = 1_000
# Renewals are spread by this part of their interval, so that they do not meet.
JITTER = 0.2


class Spilling:
    """Every service's spill of one instance.

    Args:
        me: This run of the instance.
        parts: What it decides with.
    """

    def __init__(self, me: ShareHolderId, parts: SpillParts) -> None:
        self._me = me
        self._parts = parts
        self._settings: dict[ServiceId, ServiceSettings] = {}
        self._spills: dict[ServiceId, ServiceSpill] = {}

    def port(self) -> SpillPort:
        """Return what pools ask about other regions."""

        def record_arrival(work: Work) -> None:
            spill = self.of(work.service)
            if spill is not None:
                spill.record_arrival()

        def region_for(work: Work, home: Home) -> RegionId | None:
            spill = self.of(work.service)
            return spill.region_for(work, home) if spill else None

        def begin(work: Work, region: RegionId) -> EndUse:
            return self._spills[work.service].begin(work, region)

        return SpillPort(record_arrival, region_for, begin)

    def configure(self, settings: ServiceSettings) -> None:
        """Take a service's new settings."""
        self._settings[settings.service_id] = settings

    def of(self, service: ServiceId) -> ServiceSpill | None:
        """Return a service's spill, None while it has no settings."""
        home = self._parts.home()
        settings = self._settings.get(service)
        if settings is None:
            return None
        cap = ShiftCap(settings.shift_cap_share, settings.shift_interval_ms / MS_PER_S)
        spill = self._spills.get(service)
        if spill is None:
            spill = ServiceSpill(service, cap, home, self._me, self._parts)
            self._spills[service] = spill
        spill.change(home, cap)
        return spill

    async def keep_shares(self, calls: ShareCalls) -> None:
        """Keep one task for each service that holds or wants shares; never returns."""
        running: set[ServiceId] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                for service in self._settings.keys() - running:
                    running.add(service)
                    tasks.start_soon(self._renew, service, calls)
                await anyio.sleep(SHARE_RENEWAL_S)

    async def _renew(self, service: ServiceId, calls: ShareCalls) -> None:
        """Ask for shares, and renew or give back what is held."""
        while True:
            spill = self.of(service)
            wanted = spill.wanted_slots() if spill else {}
            if spill is not None:
                async with anyio.create_task_group() as tasks:
                    for region, slots in wanted.items():
                        tasks.start_soon(spill.ask, calls, region, slots)
            spread = 1.0 - JITTER / 2 + JITTER * self._parts.random.random()
            await anyio.sleep(SHARE_RENEWAL_S * spread)
