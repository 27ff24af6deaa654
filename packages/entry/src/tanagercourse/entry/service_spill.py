"""Use other regions' upstreams within held shares: decide, ask for and renew them."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Result

from tanagercourse.coordination.sharing import ShareProblem, destination_of
from tanagercourse.core.ids import RegionId, RequestId, ServiceId
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.pool import Ending, EndUse, Home
from tanagercourse.entry.remote_regions import AskOrder, Away
from tanagercourse.steering.averages import DecayingAverage
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.ramps import DestinationRamp
from tanagercourse.steering.shares import (
    SHARE_RENEWAL_S,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
)
from tanagercourse.steering.shifts import ShiftCap
from tanagercourse.steering.spill import (
    Destination,
    SpillGate,
    divide_wanted_slots,
    nearest_within_deadline,
)

# Regions that one instance asks for shares of one service at a time.
MAX_DESTINATIONS = 2
# What was wanted of other regions fades by this factor at each renewal.
WANTED_KEPT = 0.9
# Service time that is assumed until one was seen, in seconds.
FIRST_SERVICE_S = 0.05
SERVICE_HALF_LIFE_S = 5.0


@dataclass(frozen=True)
class ShareCalls:
    """Calls to the granters of regions: one function for each."""

    ask: Callable[[RegionId, ShareRequest], Awaitable[Result[ShareGrant, ShareProblem]]]
    release: Callable[[RegionId, ShareRelease], Awaitable[Result[None, ShareProblem]]]


@dataclass(frozen=True)
class SpillParts:
    """What an instance's spill decides with.

    Attributes:
        home: Returns this instance's region.
        away: Returns the other regions that serve a service.
        clock: A monotonic clock, in seconds.
        random: Spreads renewals.
    """

    home: Callable[[], RegionId]
    away: Callable[[ServiceId], Sequence[Away]]
    clock: Clock
    random: Random


class ServiceSpill:
    """One service's gate, and this instance's shares of other regions.

    Args:
        service: The service.
        cap: The cap on shifts of its traffic.
        home: This instance's region.
        me: This run of the instance.
        parts: What it decides with.
    """

    def __init__(
        self,
        service: ServiceId,
        cap: ShiftCap,
        home: RegionId,
        me: ShareHolderId,
        parts: SpillParts,
    ) -> None:
        now_s = parts.clock()
        self.service = service
        self.home = home
        self._cap = cap
        self._me = me
        self._parts = parts
        self._gate = SpillGate(home, cap, now_s)
        self._holders: dict[RegionId, ShareHolder] = {}
        self._ramps: dict[RegionId, DestinationRamp] = {}
        self._order = AskOrder(f"{me.instance} {service}")
        self._service_s = DecayingAverage(SERVICE_HALF_LIFE_S, now_s, FIRST_SERVICE_S)
        self._overflow: set[RequestId] = set()
        self._wanted = 0.0
        self._decided_at_s = now_s

    def change(self, home: RegionId, cap: ShiftCap) -> None:
        """Take an edited cap or region; traffic that leaves is held to it anew.

        Shares stay as they are: their sequences go on for this run of the instance.
        """
        if (home, cap) != (self.home, self._cap):
            self.home, self._cap = home, cap
            self._gate = SpillGate(home, cap, self._parts.clock())

    def record_arrival(self) -> None:
        """Count a caller's request."""
        self._gate.record_arrival(self._parts.clock())

    def region_for(self, work: Work, home: Home) -> RegionId | None:
        """Return the other region that a request may use now, None to stay.

        A service that nothing serves at home leaves without regard to the cap.
        """
        now_s = self._decided_at_s = self._parts.clock()
        self._gate.set_home_failed(home is Home.NONE, now_s)
        if home is not Home.HAS_SLOT:
            self._overflow.add(work.request_id)
        destinations = self._destinations(work.expires_at_s, now_s)
        if home is Home.NONE:
            return nearest_within_deadline(work, destinations, now_s)
        has_slot = home is Home.HAS_SLOT
        chosen = self._gate.regions(work, has_slot, destinations, now_s)
        return next((region for region in chosen if region != self.home), None)

    def begin(self, work: Work, region: RegionId) -> EndUse:
        """Take a slot of a region's share for the request just decided on.

        Returns:
            What gives the slot back.

        Raises:
            RuntimeError: The share has no slot for it: it was not decided on.
        """
        holder = self._holders[region]
        if not holder.try_acquire_slot(self._decided_at_s, work.expires_at_s):
            raise RuntimeError(f"{holder.destination}: no slot for {work.request_id}")
        began_s = self._parts.clock()
        self._overflow.discard(work.request_id)
        self._gate.record_spill(began_s)

        def end(ending: Ending) -> None:
            holder.release_slot()
            self._observe(region, ending, self._parts.clock() - began_s)

        return end

    def wanted_slots(self) -> dict[RegionId, int]:
        """Return the slots to ask of each region now; 0 gives a share back."""
        now_s = self._parts.clock()
        aways = {each.region: each for each in self._parts.away(self.service)}
        in_use = sum(holder.in_use for holder in self._holders.values())
        lacking = self._lacking(now_s)
        self._wanted = max(in_use + lacking, self._wanted * WANTED_KEPT)
        asked = self._order.first(MAX_DESTINATIONS, aways.values())
        held = [self._held_slots(region, now_s) for region in asked]
        divided = divide_wanted_slots(round(self._wanted), held)
        wanted = {
            region: min(slots, self._ramp(aways[region], now_s).slot_limit(now_s))
            for region, slots in zip(asked, divided, strict=True)
        }
        others = dict.fromkeys(self._holders.keys() - wanted.keys(), 0)
        both = {**others, **wanted}
        return {r: n for r, n in both.items() if n or self._held_slots(r, now_s)}

    async def ask(self, calls: ShareCalls, region: RegionId, slots: int) -> None:
        """Ask a region's granter for a share, or give one back."""
        holder = self._holders.setdefault(region, self._make_holder(region))
        release = holder.release() if slots == 0 else None
        if release is not None:
            await calls.release(region, release)
            return
        request = holder.request(slots, self._parts.clock())
        answered = await calls.ask(region, request)
        is_given = False
        if not isinstance(answered, Failure):
            grant = answered.unwrap()
            is_given = holder.accept(grant) and grant.slots > 0
        if not is_given:
            # Another region may have some: this one is asked last next time.
            self._order.put_last(region)

    def held_slots(self) -> dict[RegionId, int]:
        """Return the slots held of each region now."""
        now_s = self._parts.clock()
        return {region: self._held_slots(region, now_s) for region in self._holders}

    def _held_slots(self, region: RegionId, now_s: float) -> int:
        holder = self._holders.get(region)
        return holder.held_slots(now_s) if holder else 0

    def _make_holder(self, region: RegionId) -> ShareHolder:
        return ShareHolder(destination_of(self.service, region), self._me, self.home)

    def _ramp(self, away: Away, now_s: float) -> DestinationRamp:
        ramp = self._ramps.get(away.region)
        if ramp is None:
            ramp = DestinationRamp(away.slots, self._service_s.value, now_s)
            self._ramps[away.region] = ramp
        return ramp

    def _destinations(self, until_s: float, now_s: float) -> list[Destination]:
        """Return the regions with a share that outlasts a request."""
        return [
            Destination(
                away.region,
                away.one_way_s,
                self._service_s.value,
                self._holders[away.region].free_slots(now_s, until_s),
            )
            for away in self._parts.away(self.service)
            if away.region in self._holders
        ]

    def _lacking(self, now_s: float) -> float:
        """Return the slots that requests without one at home would have kept busy."""
        aways = self._parts.away(self.service)
        travel_s = 2 * min((away.one_way_s for away in aways), default=0.0)
        took_s = self._service_s.value + travel_s
        lacking = len(self._overflow) * took_s / SHARE_RENEWAL_S
        if self._overflow:
            lacking = max(1.0, lacking)
        self._overflow.clear()
        return max(lacking, self._gate.required_remote_per_s(now_s) * took_s)

    def _observe(self, region: RegionId, ending: Ending, took_s: float) -> None:
        now_s = self._parts.clock()
        is_answered = ending is Ending.ANSWERED
        if not is_answered:
            self._gate.cancel_spill(now_s)
        aways = [a for a in self._parts.away(self.service) if a.region == region]
        for away in aways:
            service_s = max(0.0, took_s - 2 * away.one_way_s)
            if is_answered:
                self._service_s.observe(service_s, now_s)
            self._ramp(away, now_s).observe(service_s, not is_answered, now_s)
