"""The decisions that the model runs, ours and the naive ones, as functions."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Result
from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue, IsOpen
from tanagercourse.steering.ranking import RankFloor, first_come, urgent_first
from tanagercourse.steering.retries import (
    DecideRetry,
    RetryBudget,
    RetryPolicy,
    retry_times,
)
from tanagercourse.steering.signals import ReportedUse, by_waiting
from tanagercourse.steering.upstreams import (
    ChooseUpstream,
    MayBorrow,
    own_slots_first,
    round_robin,
)

NAIVE_MAX_WAITING = 10_000
NAIVE_RETRIES = 3
SPILL_UTILISATION = 0.8
FLOORS = (
    RankFloor(Rank.MOST_URGENT, 0.5),
    RankFloor(Rank.NEXT, 0.3),
    RankFloor(Rank.LEAST_URGENT, 0.1),
)


@dataclass(frozen=True)
class RegionView:
    """What an instance last heard of a region's upstreams of one service.

    Attributes:
        region: The region.
        one_way_s: One-way time to it, in seconds.
        slots: Slots of its upstreams together.
        in_service: Slots in use when the report was made.
        reported_at_s: When the report was made, in seconds.
        has_open: Whether the instance itself sees an open upstream there; known of
            its home region only.
        queue_wait_s: How long a request would wait at the instance for a slot there;
            known of its home region only.
    """

    region: RegionId
    one_way_s: float
    slots: int
    in_service: int
    reported_at_s: float
    has_open: bool = False
    queue_wait_s: float = 0.0


# Takes a request that is about to start, its home region, the other regions and the
# time, in seconds. Returns the region to use beside home, None for home alone.
Spill = Callable[[Work, RegionView, Sequence[RegionView], float], RegionId | None]


@dataclass(frozen=True)
class Retries:
    """A retry decision and what tells it of first attempts."""

    earn: Callable[[], None]
    decide: DecideRetry


@dataclass(frozen=True)
class Queue:
    """An instance's queue: see `AdmissionQueue`."""

    offer: Callable[[Work, float], Result[Work, Refusal]]
    take: Callable[[float, IsOpen | None], Work | None]
    put_back: Callable[[Work, float], None]
    finish: Callable[[Work, float, bool], None]
    wait_s: Callable[[Rank, ServiceId, float], float]
    dropped: Callable[[], tuple[Work, ...]]


@dataclass(frozen=True)
class Policy:
    """What each entry instance of the model decides with.

    Attributes:
        name: How results name it.
        make_queue: Makes an instance's queue for so many places.
        make_choose: Makes its choice of an upstream.
        make_retries: Makes its retry decision.
        make_spill: Makes its choice of another region.
        shares_slots: Whether instances share out slots by demand.
        rests_upstreams: Whether an upstream that shed is left alone for a moment.
        ejects_outliers: Whether upstreams that fail or lag are left out for a while.
        hedges: Whether slow requests of the most urgent rank are sent twice.
        gathers_callers: Whether a service's callers meet at few instances.
    """

    name: str
    make_queue: Callable[[int, ReportedUse], Queue]
    make_choose: Callable[[Random, MayBorrow], ChooseUpstream]
    make_retries: Callable[[Random], Retries]
    make_spill: Callable[[], Spill]
    shares_slots: bool = True
    rests_upstreams: bool = True
    gathers_callers: bool = True
    ejects_outliers: bool = True
    hedges: bool = True


def naive() -> Policy:
    """Return round robin, first come first served, three retries, spill at 80%."""
    return Policy(
        name="naive",
        make_queue=_first_come_queue,
        make_choose=lambda random, may_borrow: round_robin(),
        make_retries=lambda random: Retries(lambda: None, retry_times(NAIVE_RETRIES)),
        make_spill=lambda: spill_above(SPILL_UTILISATION),
        shares_slots=False,
        rests_upstreams=False,
        gathers_callers=False,
        ejects_outliers=False,
        hedges=False,
    )


def ours() -> Policy:
    """Return the product's decisions."""
    return Policy(
        name="ours",
        make_queue=_ranked_queue,
        make_choose=own_slots_first,
        make_retries=_budgeted_retries,
        make_spill=lambda: stay_home,
    )


def stay_home(
    work: Work, home: RegionView, others: Sequence[RegionView], now_s: float
) -> RegionId | None:
    """Never spill."""
    return None


def spill_above(utilisation: float) -> Spill:
    """Return the naive spill: to the least used region once home passes a bound."""

    def spill(
        work: Work, home: RegionView, others: Sequence[RegionView], now_s: float
    ) -> RegionId | None:
        if not others or (home.slots and home.in_service < utilisation * home.slots):
            return None
        return min(others, key=lambda view: view.in_service / max(1, view.slots)).region

    return spill


def _first_come_queue(places: int, reported_use: ReportedUse) -> Queue:
    policy = AdmissionPolicy(NAIVE_MAX_WAITING, 0.0, places, service_margin=0.0)
    return _as_queue(AdmissionQueue(policy, first_come, by_waiting(NAIVE_MAX_WAITING)))


def _ranked_queue(places: int, reported_use: ReportedUse) -> Queue:
    policy = AdmissionPolicy(places=places)
    return _as_queue(AdmissionQueue(policy, urgent_first(FLOORS, places)))


def _as_queue(queue: AdmissionQueue) -> Queue:
    return Queue(
        queue.offer,
        queue.take,
        queue.put_back,
        queue.finish,
        queue.wait_s,
        queue.dropped,
    )


def _budgeted_retries(random: Random) -> Retries:
    budget = RetryBudget(RetryPolicy(), random)
    return Retries(budget.earn, budget.decide)
