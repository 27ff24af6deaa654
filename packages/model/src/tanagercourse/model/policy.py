"""The product's and the baseline's decisions, as functions that the model calls."""

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

# Requests that may wait in the queue of a baseline instance.
BASELINE_MAX_WAITING = 10_000
BASELINE_RETRIES = 3
# Share of the home region's slots in use from which the baseline spills.
BASELINE_SPILL_UTILISATION = 0.8
# Shares of the concurrency limit reserved for a rank while other ranks overload the
# instance.
RANK_FLOORS = (
    RankFloor(Rank.MOST_URGENT, 0.5),
    RankFloor(Rank.NEXT, 0.3),
    RankFloor(Rank.LEAST_URGENT, 0.1),
)


@dataclass(frozen=True)
class RegionView:
    """An instance's view of one service's upstreams in a region, by the last report.

    Attributes:
        region: The region.
        one_way_s: One-way time to the region, in seconds.
        slots: Total slots of the region's upstreams.
        busy_slots: Slots in use when the report was made.
        reported_at_s: When the report was made, in seconds.
        has_own_slot: Whether a slot of the instance's own share is free in the region;
            set for the home region only.
    """

    region: RegionId
    one_way_s: float
    slots: int
    busy_slots: int
    reported_at_s: float
    has_own_slot: bool = False


# Called with a request that is about to start, the views of its home region and of the
# remote regions, and the time, in seconds. Returns the regions whose upstreams the
# request may use.
ChooseRegions = Callable[
    [Work, RegionView, Sequence[RegionView], float], tuple[RegionId, ...]
]


@dataclass(frozen=True)
class SpillHooks:
    """The choice of regions for requests, and the callbacks that keep it up to date.

    Attributes:
        choose_regions: Returns the regions that a request may use.
        on_arrival: Called when a caller's request arrives.
        on_start: Called when an attempt is sent to a region.
        on_completion: Called when an attempt in a region ends, with its duration in
            seconds and its outcome.
        on_renewal: Called at each renewal of shares, with the numbers of a service's
            waiting and running requests.
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


# Called once for a run, then for each instance and its zone.
MakeSpillHooks = Callable[["Simulation"], Callable[[InstanceId, Zone], SpillHooks]]


@dataclass(frozen=True)
class RetryControl:
    """A retry decision and its budget.

    Attributes:
        deposit: Called for each caller's request; adds to the retry budget.
        decide: Decides whether, and after which delay, a failed attempt is retried.
    """

    deposit: Callable[[], None]
    decide: DecideRetry


@dataclass(frozen=True)
class InstanceQueue:
    """The operations of an instance's wait queue; see `AdmissionQueue`."""

    offer: Callable[[Work, float], Result[Work, Refusal]]
    take: Callable[[float, HasFreeSlot | None], Work | None]
    requeue: Callable[[Work, float], None]
    finish: Callable[[Work, float, bool], None]
    wait_s: Callable[[Rank, ServiceId, float], float]
    pop_expired: Callable[[], tuple[Work, ...]]


@dataclass(frozen=True)
class Policy:
    """The set of decisions that every entry instance of a run uses.

    Attributes:
        name: Name of the policy.
        make_queue: Makes an instance's wait queue from its concurrency limit and its
            source of reported utilisation.
        make_upstream_chooser: Makes an instance's choice of an upstream.
        make_retry_control: Makes an instance's retry decision.
        make_spill_hooks: Returns, for a run, the factory of each instance's spill
            hooks.
        shares_slots: Whether instances share slots in proportion to their demand.
        uses_cooldowns: Whether an upstream gets a cooldown after an attempt that was
            shed or failed.
        uses_subsets: Whether callers of a service share a small subset of instances.
        ejects_outliers: Whether failing or slow upstreams are ejected for a while.
        hedges: Whether slow idempotent requests of the most urgent rank are hedged.
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
    """Return the baseline: round robin, FIFO, three retries, spill from 80% use."""
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
    """Return the product's decisions, without spill (see `with_spill`)."""
    return Policy(
        name="ours",
        make_queue=_make_priority_queue,
        make_upstream_chooser=prefer_own_slots,
        make_retry_control=_make_budgeted_retries,
        make_spill_hooks=stateless_spill(never_spill),
    )


def stateless_spill(choose_regions: ChooseRegions) -> MakeSpillHooks:
    """Return a factory that gives every instance the same choice, without callbacks."""
    return lambda simulation: lambda instance, zone: SpillHooks(choose_regions)


def never_spill(
    work: Work, home_view: RegionView, remote_views: Sequence[RegionView], now_s: float
) -> tuple[RegionId, ...]:
    """Return the home region only."""
    return (home_view.region,)


def spill_above_utilisation(utilisation: float) -> ChooseRegions:
    """Return the baseline's spill to the least used region.

    Args:
        utilisation: Share of the home region's slots in use from which requests may
            spill.
    """

    def choose_regions(
        work: Work,
        home_view: RegionView,
        remote_views: Sequence[RegionView],
        now_s: float,
    ) -> tuple[RegionId, ...]:
        if not remote_views or (
            home_view.slots and home_view.busy_slots < utilisation * home_view.slots
        ):
            return (home_view.region,)
        least_used = min(
            remote_views, key=lambda view: view.busy_slots / max(1, view.slots)
        )
        return (home_view.region, least_used.region)

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
        AdmissionQueue(policy, priority_with_floors(RANK_FLOORS, max_running))
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
