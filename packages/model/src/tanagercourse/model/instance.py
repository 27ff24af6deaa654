"""An entry instance in virtual time that makes its decisions by a policy."""

from functools import partial
from random import Random

from returns.result import Failure

from tanagercourse.core.ids import (
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
)
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import Zone
from tanagercourse.model.policy import Policy, SpillHooks
from tanagercourse.model.scheduler import Action
from tanagercourse.model.simulation import Simulation
from tanagercourse.model.upstream import AttemptOutcome, ModelUpstream
from tanagercourse.model.upstream_tracker import Attempt, UpstreamTracker
from tanagercourse.steering.hedging import HedgePolicy, Hedging
from tanagercourse.steering.retries import FailedAttempt, RetryBudget, RetryPolicy

SHARE_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 0.1
US_PER_S = 1_000_000
# Borrowing of other instances' slots is denied once sheds have used up this budget.
BORROW_POLICY = RetryPolicy(share=0.1, burst=20.0)

REFUSAL_BY_OUTCOME = {
    AttemptOutcome.SHED: (RefusalReason.UPSTREAM_SHED, Execution.NOT_RUN),
    AttemptOutcome.UNREACHED: (RefusalReason.UPSTREAM_LOST, Execution.NOT_RUN),
    AttemptOutcome.LOST: (RefusalReason.UPSTREAM_LOST, Execution.MAY_HAVE_RUN),
}


class ModelInstance:
    """One entry instance: queues requests, sends, hedges and retries them."""

    def __init__(
        self,
        id: InstanceId,
        zone: Zone,
        simulation: Simulation,
        policy: Policy,
        random: Random,
        spill_hooks: SpillHooks,
    ) -> None:
        self.id = id
        self.zone = zone
        self._simulation = simulation
        self._policy = policy
        self._queue = policy.make_queue(
            simulation.fleet.max_running, self._reported_utilisation
        )
        self._retry_control = policy.make_retry_control(random)
        self._borrow_budget = RetryBudget(BORROW_POLICY, random)
        self._choose_view = policy.make_upstream_chooser(
            random, self._borrow_budget.has_balance
        )
        self._spill_hooks = spill_hooks
        self._upstream_tracker = UpstreamTracker(id, zone, simulation, policy, random)
        self._hedging = {
            service.service: Hedging(HedgePolicy(), random)
            for service in simulation.fleet.services
        }
        # Copies of each request in flight; removed with the first response.
        self._pending_copies: dict[RequestId, int] = {}
        self._latency_start_s: dict[RequestId, float] = {}
        self._attempt_counts: dict[RequestId, int] = {}
        self._waiting: dict[ServiceId, int] = {}
        self._chosen_upstreams: dict[ServiceId, ModelUpstream] = {}

    def receive(self, work: Work, sent_at_s: float, caller_one_way_s: float) -> None:
        """Accept a caller's request.

        Args:
            work: The request.
            sent_at_s: When the caller sent the request, in seconds.
            caller_one_way_s: One-way time from and to the caller, in seconds.
        """
        # Latency is recorded when the instance has the response; the earlier start
        # accounts for the response's way back to the caller.
        self._latency_start_s[work.request_id] = sent_at_s - caller_one_way_s
        self._attempt_counts[work.request_id] = 0
        self._retry_control.deposit()
        self._borrow_budget.deposit()
        self._spill_hooks.on_arrival(work)
        self._simulation.region_traffic.record_arrival(
            work.service, self.zone.region, self._simulation.now_s()
        )
        self._enqueue(work)

    def renew_shares(self) -> None:
        """Renew this instance's slot shares, now and every `SHARE_INTERVAL_S`."""
        for service in self._simulation.fleet.services:
            waiting = self._waiting.get(service.service, 0)
            running = self._upstream_tracker.running_at_home(service.service)
            self._spill_hooks.on_renewal(service.service, waiting, running)
            self._upstream_tracker.update_shares(service, waiting)
        self._dispatch()
        self._simulation.scheduler.schedule_after(SHARE_INTERVAL_S, self.renew_shares)

    def _reported_utilisation(self, service: ServiceId) -> float:
        return self._simulation.reported_utilisation(service, self.zone.region)

    def _enqueue(self, work: Work) -> None:
        admitted = self._queue.offer(work, self._simulation.now_s())
        if isinstance(admitted, Failure):
            self._simulation.result.ranks[work.rank].refused += 1
            return
        self._count_waiting(work, 1)
        self._dispatch()

    def _requeue(self, work: Work) -> None:
        self._queue.requeue(work, self._simulation.now_s())
        self._count_waiting(work, 1)
        self._dispatch()

    def _dispatch(self) -> None:
        """Start waiting requests up to the concurrency limit and the free slots."""
        while True:
            work = self._queue.take(self._simulation.now_s(), self._has_free_slot)
            for expired in self._queue.pop_expired():
                self._count_waiting(expired, -1)
                self._simulation.result.ranks[expired.rank].refused += 1
            if work is None:
                return
            self._count_waiting(work, -1)
            self._start(work)

    def _has_free_slot(self, work: Work) -> bool:
        upstream = self._choose_upstream(work)
        if upstream is not None:
            self._chosen_upstreams[work.service] = upstream
        return upstream is not None

    def _choose_upstream(self, work: Work) -> ModelUpstream | None:
        home_views = self._upstream_tracker.usable_views(work.service, self.zone.region)
        regions = self._choose_regions(
            work, any(view.has_own_slot for view in home_views)
        )
        views = home_views if self.zone.region in regions else []
        for region in regions:
            if region != self.zone.region:
                views.extend(self._upstream_tracker.usable_views(work.service, region))
        chosen_view = self._choose_view(views)
        if chosen_view is None:
            return None
        return self._simulation.find_upstream(work.service, chosen_view.id)

    def _choose_regions(self, work: Work, has_own_slot: bool) -> tuple[RegionId, ...]:
        home_view, *remote_views = self._simulation.region_views(
            work.service, self.zone.region, has_own_slot
        )
        return self._spill_hooks.choose_regions(
            work, home_view, remote_views, self._simulation.now_s()
        )

    def _start(self, work: Work) -> None:
        upstream = self._chosen_upstreams.pop(work.service)
        tally = self._simulation.result.ranks[work.rank]
        self._attempt_counts[work.request_id] += 1
        tally.retries += self._attempt_counts[work.request_id] > 1
        self._send(work, upstream)
        delay_s = self._hedging[work.service].delay_s(work)
        is_home = upstream.zone.region == self.zone.region
        if self._policy.hedges and is_home and delay_s is not None:
            hedge = partial(self._hedge, work, upstream)
            self._simulation.scheduler.schedule_after(delay_s, hedge)

    def _hedge(self, work: Work, original: ModelUpstream) -> None:
        """Hedge a request in flight if a second upstream has a free own slot."""
        if self._pending_copies.get(work.request_id) != 1:
            return
        views = self._upstream_tracker.usable_views(work.service, self.zone.region)
        free_views = [
            view for view in views if view.has_own_slot and view.id != original.id
        ]
        waiting = self._waiting.get(work.service, 0)
        if self._hedging[work.service].try_hedge(waiting, bool(free_views)):
            chosen_view = self._choose_view(free_views)
            assert chosen_view is not None, (
                "no upstream chosen although each one has a free own slot"
            )
            self._simulation.result.ranks[work.rank].hedges += 1
            self._send(
                work, self._simulation.find_upstream(work.service, chosen_view.id)
            )

    def _send(self, work: Work, upstream: ModelUpstream) -> None:
        tally = self._simulation.result.ranks[work.rank]
        region = upstream.zone.region
        if region != self.zone.region:
            tally.spills += 1
            self._simulation.region_traffic.record_spill(
                self._simulation.meter(work.service, region)
            )
        self._pending_copies[work.request_id] = (
            self._pending_copies.get(work.request_id, 0) + 1
        )
        attempt = self._upstream_tracker.record_sent(work, upstream)
        self._spill_hooks.on_start(work, region)
        self._after_one_way(upstream, lambda: self._deliver(attempt))

    def _deliver(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if not self._simulation.can_reach(self.zone, upstream.zone):
            self._fail_unreachable(attempt)
            return

        def on_outcome(outcome: AttemptOutcome) -> None:
            if outcome is AttemptOutcome.UNREACHED:
                self._fail_unreachable(attempt)
                return
            self._after_one_way(upstream, lambda: self._complete(attempt, outcome))

        upstream.serve(on_outcome)

    def _fail_unreachable(self, attempt: Attempt) -> None:
        """End an attempt to an unreachable upstream after the connect timeout."""
        complete = partial(self._complete, attempt, AttemptOutcome.UNREACHED)
        self._simulation.scheduler.schedule_after(CONNECT_TIMEOUT_S, complete)

    def _after_one_way(self, upstream: ModelUpstream, action: Action) -> None:
        one_way_s = self._simulation.fleet.one_way_s(self.zone, upstream.zone)
        self._simulation.scheduler.schedule_after(one_way_s, action)

    def _complete(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        work, region = attempt.work, attempt.upstream.zone.region
        now_s = self._simulation.now_s()
        duration_s = now_s - attempt.started_at_s
        cooldown_s = self._upstream_tracker.record_outcome(attempt, outcome)
        self._spill_hooks.on_completion(work, region, duration_s, outcome)
        if cooldown_s > 0.0:
            self._simulation.scheduler.schedule_after(cooldown_s, self._dispatch)
        if outcome is AttemptOutcome.ANSWERED:
            self._hedging[work.service].record_latency(duration_s)
        elif outcome is AttemptOutcome.SHED:
            self._simulation.result.ranks[work.rank].sheds += 1
            self._borrow_budget.try_withdraw()
        pending_copies = self._pending_copies.get(work.request_id)
        if pending_copies is not None and outcome is AttemptOutcome.ANSWERED:
            del self._pending_copies[work.request_id]
            self._queue.finish(work, now_s, True)
            self._simulation.region_traffic.record_served(
                work.service, self.zone.region, region, now_s
            )
            self._record_response(work)
        elif pending_copies == 1:
            del self._pending_copies[work.request_id]
            self._queue.finish(work, self._simulation.now_s(), False)
            self._retry_or_fail(work, outcome)
        elif pending_copies is not None:
            self._pending_copies[work.request_id] = pending_copies - 1
        self._dispatch()

    def _retry_or_fail(self, work: Work, outcome: AttemptOutcome) -> None:
        tally = self._simulation.result.ranks[work.rank]
        refusal = Refusal(work.request_id, *REFUSAL_BY_OUTCOME[outcome])
        failed_attempt = FailedAttempt(
            work, refusal, self._attempt_counts[work.request_id]
        )
        delay_s = self._retry_control.decide(failed_attempt, self._simulation.now_s())
        if delay_s is not None:
            self._simulation.scheduler.schedule_after(
                delay_s, lambda: self._requeue(work)
            )
        elif refusal.execution is Execution.NOT_RUN:
            tally.refused += 1
        else:
            tally.lost += 1

    def _record_response(self, work: Work) -> None:
        tally = self._simulation.result.ranks[work.rank]
        now_s = self._simulation.now_s()
        latency_s = now_s - self._latency_start_s[work.request_id]
        tally.latency_us.record_value(max(1, int(latency_s * US_PER_S)))
        if now_s <= work.expires_at_s:
            tally.good += 1
        else:
            tally.late += 1

    def _count_waiting(self, work: Work, change: int) -> None:
        self._waiting[work.service] = self._waiting.get(work.service, 0) + change
        self._simulation.meter(work.service, self.zone.region).waiting += change
