"""The decisions that the model runs, ours and the naive ones, as functions."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from returns.result import Result

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Rank
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import Zone
from tanagercourse.model.upstream import Ending
from tanagercourse.steering.admission import (
    AdmissionPolicy,
    AdmissionQueue,
    HasFreeSlot,
)
from tanagercourse.steering.ranking import (
    RankFloor,
    first_come_first_served,
    priority_with_floors,
)
from tanagercourse.steering.retries import (
    DecideRetry,
    RetryBudget,
    RetryPolicy,
    retry_immediately,
)
from tanagercourse.steering.signals import ReportedUtilisation, by_queue_length
from tanagercourse.steering.upstreams import (
    ChooseUpstream,
    MayBorrow,
    prefer_own_slots,
    round_robin,
)

if TYPE_CHECKING:
    from tanagercourse.model.simulation import World

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
        has_own_slot: Whether a slot of the instance's own is free there; known of its
            home region only.
    """

    region: RegionId
    one_way_s: float
    slots: int
    in_service: int
    reported_at_s: float
    has_own_slot: bool = False


# Takes a request that is about to start, its home region, the other regions and the
# time, in seconds. Returns the regions whose upstreams it may use.
Spill = Callable[[Work, RegionView, Sequence[RegionView], float], tuple[RegionId, ...]]


@dataclass(frozen=True)
class Spilling:
    """A choice of regions, and what tells it of requests.

    Attributes:
        choose: Chooses the regions that a request may use.
        arrive: Told when a caller's request arrives.
        begin: Told when a request is sent to a region.
        end: Told when it ended there, how long it took in seconds, and how.
        renew: Told from time to time how many requests of a service wait and run.
    """

    choose: Spill
    arrive: Callable[[Work], None] = lambda work: None
    begin: Callable[[Work, RegionId], None] = lambda work, region: None
    end: Callable[[Work, RegionId, float, Ending], None] = (
        lambda work, region, took_s, ending: None
    )
    renew: Callable[[ServiceId, int, int], None] = lambda service, waiting, running: (
        None
    )


# Takes a run's world, and then each instance and its zone.
MakeSpill = Callable[["World"], Callable[[InstanceId, Zone], Spilling]]


@dataclass(frozen=True)
class Retries:
    """A retry decision and what tells it of first attempts."""

    deposit: Callable[[], None]
    decide: DecideRetry


@dataclass(frozen=True)
class Queue:
    """An instance's queue: see `AdmissionQueue`."""

    offer: Callable[[Work, float], Result[Work, Refusal]]
    take: Callable[[float, HasFreeSlot | None], Work | None]
    requeue: Callable[[Work, float], None]
    finish: Callable[[Work, float, bool], None]
    wait_s: Callable[[Rank, ServiceId, float], float]
    pop_expired: Callable[[], tuple[Work, ...]]


@dataclass(frozen=True)
class Policy:
    """What each entry instance of the model decides with.

    Attributes:
        name: How results name it.
        make_queue: Makes an instance's queue for so many places.
        make_choose: Makes its choice of an upstream.
        make_retries: Makes its retry decision.
        make_spill: Makes, for a run, what makes each instance's choice of regions.
        shares_slots: Whether instances share out slots by demand.
        rests_upstreams: Whether an upstream that shed is left alone for a moment.
        ejects_outliers: Whether upstreams that fail or lag are left out for a while.
        hedges: Whether slow requests of the most urgent rank are sent twice.
        gathers_callers: Whether a service's callers meet at few instances.
    """

    name: str
    make_queue: Callable[[int, ReportedUtilisation], Queue]
    make_choose: Callable[[Random, MayBorrow], ChooseUpstream]
    make_retries: Callable[[Random], Retries]
    make_spill: MakeSpill
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
        make_retries=lambda random: Retries(
            lambda: None, retry_immediately(NAIVE_RETRIES)
        ),
        make_spill=same_everywhere(spill_above(SPILL_UTILISATION)),
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
        make_choose=prefer_own_slots,
        make_retries=_budgeted_retries,
        make_spill=same_everywhere(stay_home),
    )


def same_everywhere(choose: Spill) -> MakeSpill:
    """Return what gives every instance the same choice of regions."""
    return lambda world: lambda instance, zone: Spilling(choose)


def stay_home(
    work: Work, home: RegionView, others: Sequence[RegionView], now_s: float
) -> tuple[RegionId, ...]:
    """Never spill."""
    return (home.region,)


def spill_above(utilisation: float) -> Spill:
    """Return the naive spill: to the least used region once home passes a bound."""

    def spill(
        work: Work, home: RegionView, others: Sequence[RegionView], now_s: float
    ) -> tuple[RegionId, ...]:
        if not others or (home.slots and home.in_service < utilisation * home.slots):
            return (home.region,)
        least = min(others, key=lambda view: view.in_service / max(1, view.slots))
        return (home.region, least.region)

    return spill


def _first_come_queue(places: int, reported_use: ReportedUtilisation) -> Queue:
    policy = AdmissionPolicy(NAIVE_MAX_WAITING, 0.0, places, service_time_margin=0.0)
    return _as_queue(
        AdmissionQueue(
            policy, first_come_first_served, by_queue_length(NAIVE_MAX_WAITING)
        )
    )


def _ranked_queue(places: int, reported_use: ReportedUtilisation) -> Queue:
    policy = AdmissionPolicy(max_running=places)
    return _as_queue(AdmissionQueue(policy, priority_with_floors(FLOORS, places)))


def _as_queue(queue: AdmissionQueue) -> Queue:
    return Queue(
        queue.offer,
        queue.take,
        queue.requeue,
        queue.finish,
        queue.wait_s,
        queue.pop_expired,
    )


def _budgeted_retries(random: Random) -> Retries:
    budget = RetryBudget(RetryPolicy(), random)
    return Retries(budget.deposit, budget.decide)
