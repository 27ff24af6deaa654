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
from tanagercourse.model.upstream import AttemptOutcome
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
    from tanagercourse.model.simulation import Simulation

BASELINE_MAX_WAITING = 10_000
BASELINE_RETRIES = 3
BASELINE_SPILL_UTILISATION = 0.8
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
        busy_slots: Slots in use when the report was made.
        reported_at_s: When the report was made, in seconds.
        has_own_slot: Whether a slot of the instance's own is free there; known of its
            home region only.
    """

    region: RegionId
    one_way_s: float
    slots: int
    busy_slots: int
    reported_at_s: float
    has_own_slot: bool = False


# Takes a request that is about to start, its home region, the other regions and the
# time, in seconds. Returns the regions whose upstreams it may use.
ChooseRegions = Callable[
    [Work, RegionView, Sequence[RegionView], float], tuple[RegionId, ...]
]


@dataclass(frozen=True)
class SpillHooks:
    """A choice of regions, and what tells it of requests.

    Attributes:
        choose: Chooses the regions that a request may use.
        on_arrival: Told when a caller's request arrives.
        on_start: Told when a request is sent to a region.
        on_completion: Told when it ended there, how long it took in seconds, and how.
        on_renewal: Told from time to time how many requests of a service wait and run.
    """

    choose_regions: ChooseRegions
    on_arrival: Callable[[Work], None] = lambda work: None
    on_start: Callable[[Work, RegionId], None] = lambda work, region: None
    on_completion: Callable[[Work, RegionId, float, AttemptOutcome], None] = (
        lambda work, region, duration_s, outcome: None
    )
    on_renewal: Callable[[ServiceId, int, int], None] = (
        lambda service, waiting, running: None
    )


# Takes a run's world, and then each instance and its zone.
MakeSpillHooks = Callable[["Simulation"], Callable[[InstanceId, Zone], SpillHooks]]


@dataclass(frozen=True)
class RetryControl:
    """A retry decision and what tells it of first attempts."""

    deposit: Callable[[], None]
    decide: DecideRetry


@dataclass(frozen=True)
class InstanceQueue:
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
        make_upstream_chooser: Makes its choice of an upstream.
        make_retry_control: Makes its retry decision.
        make_spill_hooks: Makes, for a run, what makes each instance's choice of regions.
        shares_slots: Whether instances share out slots by demand.
        uses_cooldowns: Whether an upstream that shed is left alone for a moment.
        ejects_outliers: Whether upstreams that fail or lag are left out for a while.
        hedges: Whether slow requests of the most urgent rank are sent twice.
        uses_subsets: Whether a service's callers meet at few instances.
    """

    name: str
    make_queue: Callable[[int, ReportedUtilisation], InstanceQueue]
    make_upstream_chooser: Callable[[Random, MayBorrow], ChooseUpstream]
    make_retry_control: Callable[[Random], RetryControl]
    make_spill_hooks: MakeSpillHooks
    shares_slots: bool = True
    uses_cooldowns: bool = True
    uses_subsets: bool = True
    ejects_outliers: bool = True
    hedges: bool = True


def baseline_policy() -> Policy:
    """Return round robin, first come first served, three retries, spill at 80%."""
    return Policy(
        name="naive",
        make_queue=_make_fifo_queue,
        make_upstream_chooser=lambda random, may_borrow: round_robin(),
        make_retry_control=lambda random: RetryControl(
            lambda: None, retry_immediately(BASELINE_RETRIES)
        ),
        make_spill_hooks=stateless_spill(
            spill_above_utilisation(BASELINE_SPILL_UTILISATION)
        ),
        shares_slots=False,
        uses_cooldowns=False,
        uses_subsets=False,
        ejects_outliers=False,
        hedges=False,
    )


def product_policy() -> Policy:
    """Return the product's decisions."""
    return Policy(
        name="ours",
        make_queue=_make_priority_queue,
        make_upstream_chooser=prefer_own_slots,
        make_retry_control=_make_budgeted_retries,
        make_spill_hooks=stateless_spill(never_spill),
    )


def stateless_spill(choose: ChooseRegions) -> MakeSpillHooks:
    """Return what gives every instance the same choice of regions."""
    return lambda simulation: lambda instance, zone: SpillHooks(choose)


def never_spill(
    work: Work, home: RegionView, remotes: Sequence[RegionView], now_s: float
) -> tuple[RegionId, ...]:
    """Never spill."""
    return (home.region,)


def spill_above_utilisation(utilisation: float) -> ChooseRegions:
    """Return the naive spill: to the least used region once home passes a bound."""

    def choose_regions(
        work: Work, home: RegionView, remotes: Sequence[RegionView], now_s: float
    ) -> tuple[RegionId, ...]:
        if not remotes or (home.slots and home.busy_slots < utilisation * home.slots):
            return (home.region,)
        least = min(remotes, key=lambda view: view.busy_slots / max(1, view.slots))
        return (home.region, least.region)

    return choose_regions


def _make_fifo_queue(
    max_running: int, reported_utilisation: ReportedUtilisation
) -> InstanceQueue:
    policy = AdmissionPolicy(
        BASELINE_MAX_WAITING, 0.0, max_running, service_time_margin=0.0
    )
    return _to_instance_queue(
        AdmissionQueue(
            policy, first_come_first_served, by_queue_length(BASELINE_MAX_WAITING)
        )
    )


def _make_priority_queue(
    max_running: int, reported_utilisation: ReportedUtilisation
) -> InstanceQueue:
    policy = AdmissionPolicy(max_running=max_running)
    return _to_instance_queue(
        AdmissionQueue(policy, priority_with_floors(FLOORS, max_running))
    )


def _to_instance_queue(queue: AdmissionQueue) -> InstanceQueue:
    return InstanceQueue(
        queue.offer,
        queue.take,
        queue.requeue,
        queue.finish,
        queue.wait_s,
        queue.pop_expired,
    )


def _make_budgeted_retries(random: Random) -> RetryControl:
    budget = RetryBudget(RetryPolicy(), random)
    return RetryControl(budget.deposit, budget.decide)
