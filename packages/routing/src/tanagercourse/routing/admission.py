"""Decide which requests wait for a free slot, in which order, and which are refused.

The decisions are free of I/O. Each instance decides for the requests that wait at it;
nothing is exchanged between instances.
"""

import math
from bisect import insort_right
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import cached_property

from tanagercourse.core.ids import RegionId, TenantId
from tanagercourse.routing.slot_rate import SlotRate, SlotRateEstimate

# Bounds of the Retry-After of a rejected request, in seconds. The lower one is the time
# in which the load that an instance sees can change; callers shorten longer times to a
# share of the time that they have left.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
# Each priority with waiting requests gets at least one of so many slots.
STARVATION_INTERVAL = 8
# Time in which the weight of a slot that a tenant got halves, in seconds.
SERVICE_HALF_LIFE_S = 5.0
# Time after which a tenant that got no slot is forgotten, in seconds. Its earlier slots
# then have a weight below 0.001.
SERVICE_TTL_S = 10 * SERVICE_HALF_LIFE_S
# Age from which a waiting request's last check no longer tells that there is no slot
# for it, in seconds.
CHECK_TTL_S = 0.01


# Whether it is in turn, its urgency, slots of its tenant by weight, first attempt.
_Order = tuple[bool, tuple[bool, int], float, float]


@dataclass(frozen=True)
class QueuePosition:
    """What determines a request's place among those that wait for the same service.

    Attributes:
        is_late: Whether the request can no longer meet its target latency.
        priority: Rank of the request; 0 is the most urgent.
        first_attempt_at_s: Time of the caller's first attempt on the monotonic clock,
            in seconds. For a caller's retry it precedes the arrival.
        tenant: Tenant of the request; requests without one count as one tenant.
        weight: Share of the tenant in relation to others.
        allowed_regions: Regions that may serve the request; None for any.
    """

    is_late: bool
    priority: int
    first_attempt_at_s: float
    tenant: TenantId | None = None
    weight: float = 1.0
    allowed_regions: frozenset[RegionId] | None = None

    @cached_property
    def urgency(self) -> tuple[bool, int]:
        """The lowest urgency is served first; late requests share one.

        Among late requests the one that waited longest goes first, because its deadline
        is the nearest and its rank no longer brings it in time.
        """
        return (self.is_late, 0 if self.is_late else self.priority)

    def can_use_slots_of(self, other: "QueuePosition") -> bool:
        """Return whether each slot that another request may use is one for this one."""
        if self.allowed_regions is None:
            return True
        return (
            other.allowed_regions is not None
            and other.allowed_regions <= self.allowed_regions
        )

    def shares_slots_with(self, other: "QueuePosition") -> bool:
        """Return whether there may be slots that both this and another request use."""
        if self.allowed_regions is None or other.allowed_regions is None:
            return True
        return not self.allowed_regions.isdisjoint(other.allowed_regions)

    @cached_property
    def turn_taker(self) -> tuple[tuple[bool, int], TenantId | None]:
        """Requests with the same one share their turns among those of their urgency."""
        return (self.urgency, self.tenant)


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a free slot.

    Attributes:
        position: Its position in the queue.
        wake: Makes the request check for a free slot.
        checked_at_s: Time at which it last found no free slot, in seconds.
    """

    position: QueuePosition
    wake: Callable[[], None]
    checked_at_s: float


@dataclass(frozen=True)
class Outlook:
    """What a request can expect if it waits.

    Attributes:
        ahead: Number of waiting requests that are served before it.
        rate: Rate at which waiting requests find slots, None if it is not known.
    """

    ahead: int
    rate: SlotRateEstimate | None

    @property
    def expected_wait_s(self) -> float | None:
        """Expected wait for a slot, in seconds; None if the rate is not known."""
        return None if self.rate is None else (self.ahead + 1) / self.rate.per_s


@dataclass(frozen=True)
class WaitTerms:
    """How long it is useful that a request waits; times are in seconds.

    Attributes:
        on_time_until_s: Latest time to send the request such that its response is
            expected within the target latency.
        useful_until_s: Latest time to send the request such that its response is
            expected before the deadline.
        returns: Whether the caller is expected to return after a refusal. One that
            returned before does not, so refusing it gains nothing while it can still
            be served.
    """

    on_time_until_s: float
    useful_until_s: float
    returns: bool

    @property
    def wait_until_s(self) -> float:
        """Time until which the request may wait, in seconds."""
        return self.on_time_until_s if self.returns else self.useful_until_s


@dataclass(frozen=True)
class Wait:
    """The request waits for a free slot.

    Attributes:
        until_s: Time until which it waits, in seconds.
    """

    until_s: float


@dataclass(frozen=True)
class Reject:
    """The request is refused, because waiting is of no use."""


def decide(terms: WaitTerms, outlook: Outlook, now_s: float) -> Wait | Reject:
    """Decide whether a request that found no free slot waits.

    A request that returns after a refusal is rejected as soon as it cannot be on time,
    any other one as soon as it cannot be served before its deadline. While the rate of
    free slots is unknown, only the time that has passed counts.

    Args:
        terms: How long it is useful that the request waits.
        outlook: What the request can expect.
        now_s: Current time, in seconds.
    """
    remaining_s = terms.wait_until_s - now_s
    if remaining_s <= 0:
        return Reject()
    if outlook.rate is None or outlook.rate.may_serve(outlook.ahead + 1, remaining_s):
        return Wait(terms.wait_until_s)
    return Reject()


@dataclass
class _RecentSlots:
    """Slots that a tenant got, weighted by their age."""

    weighted_count: float = 0.0
    counted_at_s: float = 0.0

    def count(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.counted_at_s)
        return self.weighted_count * math.exp2(-age_s / SERVICE_HALF_LIFE_S)

    def add(self, now_s: float) -> None:
        self.weighted_count = self.count(now_s) + 1
        self.counted_at_s = now_s


class ServiceQueue:
    """Requests that wait in this instance for a free slot of one service."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []
        self._slot_rate = SlotRate()
        # Slots that others got since each priority last got one while it waited.
        self._passed_over: Counter[int] = Counter()
        # By the time of the last slot.
        self._recent_slots: OrderedDict[TenantId | None, _RecentSlots] = OrderedDict()
        self._last_return_at_s = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def tenant_count(self) -> int:
        """Number of tenants whose recent slots are known."""
        return len(self._recent_slots)

    def add(
        self, position: QueuePosition, wake: Callable[[], None], now_s: float
    ) -> WaitingRequest:
        """Add a request that waits.

        Args:
            position: Position of the request.
            wake: Makes the request check for a free slot.
            now_s: Current time, in seconds.
        """
        request = WaitingRequest(position, wake, now_s)
        insort_right(self._waiting, request, key=_first_attempt_at_s)
        self._slot_rate.record_waiting(len(self._waiting), now_s)
        return request

    def remove(self, request: WaitingRequest, now_s: float) -> None:
        """Remove a request that no longer waits."""
        self._waiting.remove(request)
        self._slot_rate.record_waiting(len(self._waiting), now_s)

    def record_slot(
        self, position: QueuePosition, has_waited: bool, now_s: float
    ) -> None:
        """Record that a request got a slot.

        Args:
            position: Position of the request, which no longer waits.
            has_waited: Whether it found no slot before.
            now_s: Current time, in seconds.
        """
        if has_waited:
            self._slot_rate.record_found(now_s)
        self._passed_over.update({each.position.priority for each in self._waiting})
        self._passed_over[position.priority] = 0
        recent = self._recent_slots.setdefault(position.tenant, _RecentSlots())
        recent.add(now_s)
        self._recent_slots.move_to_end(position.tenant)
        self._forget_tenants(now_s - SERVICE_TTL_S)

    def _forget_tenants(self, before_s: float) -> None:
        """Forget the tenants that got no slot since a time, in seconds."""
        while next(iter(self._recent_slots.values())).counted_at_s < before_s:
            self._recent_slots.popitem(last=False)

    def outlook(self, position: QueuePosition, now_s: float) -> Outlook:
        """Return what a request at a position can expect.

        Requests whose home regions have no slot for it are not ahead of it.
        """
        ahead = [
            each
            for each in self._ahead(position, now_s)
            if each[1].position.shares_slots_with(position)
        ]
        of_same = sum(each.position.priority == position.priority for _, each in ahead)
        passed_over = self._passed_over[position.priority]
        until_own_turn = max(0, STARVATION_INTERVAL - 1 - passed_over)
        at_most = STARVATION_INTERVAL * of_same + until_own_turn
        return Outlook(min(len(ahead), at_most), self._slot_rate.estimate(now_s))

    def schedule_return(self, outlook: Outlook, now_s: float) -> float | None:
        """Return after which time a rejected caller is to return, in seconds.

        That is when the requests ahead of it are expected to be served. Callers that
        are rejected one after the other return one after the other, at the rate of free
        slots.

        Returns:
            The time in seconds, None if it is not known.
        """
        if outlook.rate is None:
            return None
        latest_s = now_s + MAX_RETRY_AFTER_S
        next_return_at_s = self._last_return_at_s + 1 / outlook.rate.per_s
        served_at_s = now_s + (outlook.expected_wait_s or 0.0)
        return_at_s = max(now_s + MIN_RETRY_AFTER_S, served_at_s, next_return_at_s)
        self._last_return_at_s = min(return_at_s, latest_s)
        return self._last_return_at_s - now_s

    def in_order(self, now_s: float) -> list[WaitingRequest]:
        """Return the waiting requests in the order in which they are to be served.

        Within the same urgency, the next slot goes to the tenant that got the fewest
        slots lately, in relation to its weight; slots that its requests ahead will get
        count as well.
        """
        orders = self._orders(self._waiting, now_s)
        return [request for _, request in sorted(orders, key=_order_of)]

    def _orders(
        self, requests: Iterable[WaitingRequest], now_s: float
    ) -> list[tuple[_Order, WaitingRequest]]:
        """Return what each request is ordered by; the lowest is served first.

        Args:
            requests: Requests by the time of the first attempt.
            now_s: Current time, in seconds.
        """
        starved = {
            priority
            for priority, passed_over in self._passed_over.items()
            if passed_over >= STARVATION_INTERVAL - 1
        }
        slots: dict[tuple[tuple[bool, int], TenantId | None], float] = {}
        orders: list[tuple[_Order, WaitingRequest]] = []
        for each in requests:
            position = each.position
            taker = position.turn_taker
            count = slots.get(taker)
            if count is None:
                recent = self._recent_slots.get(position.tenant)
                count = 0.0 if recent is None else recent.count(now_s)
            slots[taker] = count = count + 1
            order = (
                position.priority not in starved,
                position.urgency,
                count / position.weight,
                position.first_attempt_at_s,
            )
            orders.append((order, each))
        return orders

    def next_to_wake(self, count: int, now_s: float) -> list[WaitingRequest]:
        """Return the first requests that check at once when a slot becomes free.

        Late requests check at intervals only. Otherwise they would take slots that
        requests of other instances still need to be on time.
        """
        return [
            each
            for each in self.in_order(now_s)
            if not each.position.is_late or self._is_starved(each.position)
        ][:count]

    def unchecked_ahead(
        self, position: QueuePosition, now_s: float
    ) -> list[WaitingRequest]:
        """Return the requests that check for a slot before one at a position does.

        Those that just found none are left out.
        """
        checked_before_s = now_s - CHECK_TTL_S
        ahead = [
            each
            for each in self._ahead(position, now_s)
            if each[1].checked_at_s <= checked_before_s
        ]
        return [request for _, request in sorted(ahead, key=_order_of)]

    def must_yield(self, position: QueuePosition) -> bool:
        """Return whether a more urgent request waits for the same slots.

        One whose home regions exclude a slot leaves it to others.

        A request of a priority that was passed over too often does not yield. Requests
        don't yield to it either, since it may need a slot other than theirs: it only
        checks before them.

        The time of the first attempt does not count, because the slots that requests of
        the same urgency wait for differ.
        """
        if self._is_starved(position):
            return False
        return any(
            each.position.urgency < position.urgency
            and each.position.can_use_slots_of(position)
            for each in self._waiting
        )

    def _is_starved(self, position: QueuePosition) -> bool:
        return self._passed_over[position.priority] >= STARVATION_INTERVAL - 1

    def _ahead(
        self, position: QueuePosition, now_s: float
    ) -> list[tuple[_Order, WaitingRequest]]:
        """Return the requests that would be ahead of one that is not in the queue.

        Each request that waits calls this at each of its checks, so the queue is gone
        through once and not sorted.
        """
        if not self._waiting:
            return []
        request = WaitingRequest(position, lambda: None, now_s)
        requests = self._waiting.copy()
        insort_right(requests, request, key=_first_attempt_at_s)
        orders = self._orders(requests, now_s)
        own = next(order for order, each in orders if each is request)
        return [each for each in orders if each[0] <= own and each[1] is not request]


def _first_attempt_at_s(request: WaitingRequest) -> float:
    return request.position.first_attempt_at_s


def _order_of(entry: tuple[_Order, WaitingRequest]) -> _Order:
    return entry[0]
