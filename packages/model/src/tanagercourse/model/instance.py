"""An entry instance in virtual time: it runs a policy's decisions."""

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
from tanagercourse.model.policy import Policy, Spilling
from tanagercourse.model.scheduler import Action
from tanagercourse.model.simulation import World
from tanagercourse.model.upstream import Ending, ModelUpstream
from tanagercourse.model.upstream_tracker import Attempt, Knowledge
from tanagercourse.steering.hedging import HedgePolicy, Hedging
from tanagercourse.steering.retries import FailedAttempt, RetryBudget, RetryPolicy

SHARE_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 0.1
US_PER_S = 1_000_000
SHED_POLICY = RetryPolicy(share=0.1, burst=20.0)

REFUSAL_OF = {
    Ending.SHED: (RefusalReason.UPSTREAM_SHED, Execution.NOT_RUN),
    Ending.UNREACHED: (RefusalReason.UPSTREAM_LOST, Execution.NOT_RUN),
    Ending.LOST: (RefusalReason.UPSTREAM_LOST, Execution.MAY_HAVE_RUN),
}


class ModelInstance:
    """One entry instance: its queue and what it sends."""

    def __init__(
        self,
        id: InstanceId,
        zone: Zone,
        world: World,
        policy: Policy,
        random: Random,
        spilling: Spilling,
    ) -> None:
        self.id = id
        self.zone = zone
        self._world = world
        self._policy = policy
        self._queue = policy.make_queue(world.fleet.places, self._reported_use)
        self._retries = policy.make_retries(random)
        self._sheds = RetryBudget(SHED_POLICY, random)
        self._choose = policy.make_choose(random, self._sheds.has_balance)
        self._spilling = spilling
        self._knowledge = Knowledge(id, zone, world, policy, random)
        self._hedging = {
            service.service: Hedging(HedgePolicy(), random)
            for service in world.fleet.services
        }
        # How many copies of a request are out; none once it has been answered.
        self._copies: dict[RequestId, int] = {}
        self._sent_at_s: dict[RequestId, float] = {}
        self._attempts: dict[RequestId, int] = {}
        self._waiting: dict[ServiceId, int] = {}
        self._found: dict[ServiceId, ModelUpstream] = {}

    def arrive(self, work: Work, sent_at_s: float, client_s: float) -> None:
        """Take a caller's request.

        Args:
            work: The request.
            sent_at_s: When it left the caller, in seconds.
            client_s: One-way time from and to the caller, in seconds.
        """
        # Its latency is known once it is answered: the way back is counted here.
        self._sent_at_s[work.request_id] = sent_at_s - client_s
        self._attempts[work.request_id] = 0
        self._retries.deposit()
        self._sheds.deposit()
        self._spilling.arrive(work)
        self._world.moves.arrive(work.service, self.zone.region, self._world.now_s())
        self._offer(work)

    def renew_shares(self) -> None:
        """Renew this instance's shares of slots, now and at each interval."""
        for service in self._world.fleet.services:
            waiting = self._waiting.get(service.service, 0)
            running = self._knowledge.running(service.service)
            self._spilling.renew(service.service, waiting, running)
            self._knowledge.renew_shares(service, waiting)
        self._dispatch()
        self._world.timeline.after(SHARE_INTERVAL_S, self.renew_shares)

    def _reported_use(self, service: ServiceId) -> float:
        return self._world.reported_use(service, self.zone.region)

    def _offer(self, work: Work) -> None:
        offered = self._queue.offer(work, self._world.now_s())
        if isinstance(offered, Failure):
            self._world.result.ranks[work.rank].refused += 1
            return
        self._count_waiting(work, 1)
        self._dispatch()

    def _put_back(self, work: Work) -> None:
        self._queue.requeue(work, self._world.now_s())
        self._count_waiting(work, 1)
        self._dispatch()

    def _dispatch(self) -> None:
        """Start waiting requests until places, slots or requests run out."""
        while True:
            work = self._queue.take(self._world.now_s(), self._is_open)
            for late in self._queue.pop_expired():
                self._count_waiting(late, -1)
                self._world.result.ranks[late.rank].refused += 1
            if work is None:
                return
            self._count_waiting(work, -1)
            self._start(work)

    def _is_open(self, work: Work) -> bool:
        found = self._find(work)
        if found is not None:
            self._found[work.service] = found
        return found is not None

    def _find(self, work: Work) -> ModelUpstream | None:
        home = self._knowledge.views(work.service, self.zone.region)
        regions = self._regions(work, any(view.has_own_slot for view in home))
        views = home if self.zone.region in regions else []
        for region in regions:
            if region != self.zone.region:
                views.extend(self._knowledge.views(work.service, region))
        chosen = self._choose(views)
        if chosen is None:
            return None
        return self._world.upstream(work.service, chosen.id)

    def _regions(self, work: Work, has_own_slot: bool) -> tuple[RegionId, ...]:
        home, *others = self._world.region_views(
            work.service, self.zone.region, has_own_slot
        )
        return self._spilling.choose(work, home, others, self._world.now_s())

    def _start(self, work: Work) -> None:
        upstream = self._found.pop(work.service)
        tally = self._world.result.ranks[work.rank]
        self._attempts[work.request_id] += 1
        tally.retries += self._attempts[work.request_id] > 1
        self._send(work, upstream)
        delay_s = self._hedging[work.service].delay_s(work)
        is_home = upstream.zone.region == self.zone.region
        if self._policy.hedges and is_home and delay_s is not None:
            hedge = partial(self._hedge, work, upstream)
            self._world.timeline.after(delay_s, hedge)

    def _hedge(self, work: Work, first: ModelUpstream) -> None:
        """Send a request that is still out to a second upstream, if one is free."""
        if self._copies.get(work.request_id) != 1:
            return
        views = self._knowledge.views(work.service, self.zone.region)
        free = [view for view in views if view.has_own_slot and view.id != first.id]
        waiting = self._waiting.get(work.service, 0)
        if self._hedging[work.service].may_hedge(waiting, bool(free)):
            chosen = self._choose(free)
            assert chosen is not None, "each of these has an own slot"
            self._world.result.ranks[work.rank].hedges += 1
            self._send(work, self._world.upstream(work.service, chosen.id))

    def _send(self, work: Work, upstream: ModelUpstream) -> None:
        tally = self._world.result.ranks[work.rank]
        region = upstream.zone.region
        if region != self.zone.region:
            tally.spills += 1
            self._world.moves.spill(self._world.meter(work.service, region))
        self._copies[work.request_id] = self._copies.get(work.request_id, 0) + 1
        attempt = self._knowledge.sent(work, upstream)
        self._spilling.begin(work, region)
        self._travel(upstream, lambda: self._reach(attempt))

    def _reach(self, attempt: Attempt) -> None:
        upstream = attempt.upstream
        if not self._world.can_reach(self.zone, upstream.zone):
            self._give_up(attempt)
            return

        def on_ending(ending: Ending) -> None:
            if ending is Ending.UNREACHED:
                self._give_up(attempt)
                return
            self._travel(upstream, lambda: self._end(attempt, ending))

        upstream.serve(on_ending)

    def _give_up(self, attempt: Attempt) -> None:
        """End an attempt that nothing answers, once its time to connect is over."""
        end = partial(self._end, attempt, Ending.UNREACHED)
        self._world.timeline.after(CONNECT_TIMEOUT_S, end)

    def _travel(self, upstream: ModelUpstream, then: Action) -> None:
        one_way_s = self._world.fleet.one_way_s(self.zone, upstream.zone)
        self._world.timeline.after(one_way_s, then)

    def _end(self, attempt: Attempt, ending: Ending) -> None:
        work, region = attempt.work, attempt.upstream.zone.region
        now_s = self._world.now_s()
        took_s = now_s - attempt.started_at_s
        rest_s = self._knowledge.ended(attempt, ending)
        self._spilling.end(work, region, took_s, ending)
        if rest_s > 0.0:
            self._world.timeline.after(rest_s, self._dispatch)
        if ending is Ending.ANSWERED:
            self._hedging[work.service].record_latency(took_s)
        elif ending is Ending.SHED:
            self._world.result.ranks[work.rank].sheds += 1
            self._sheds.try_withdraw()
        copies = self._copies.get(work.request_id)
        if copies is not None and ending is Ending.ANSWERED:
            del self._copies[work.request_id]
            self._queue.finish(work, now_s, True)
            self._world.moves.serve(work.service, self.zone.region, region, now_s)
            self._answer(work)
        elif copies == 1:
            del self._copies[work.request_id]
            self._queue.finish(work, self._world.now_s(), False)
            self._retry(work, ending)
        elif copies is not None:
            self._copies[work.request_id] = copies - 1
        self._dispatch()

    def _retry(self, work: Work, ending: Ending) -> None:
        tally = self._world.result.ranks[work.rank]
        refusal = Refusal(work.request_id, *REFUSAL_OF[ending])
        failed = FailedAttempt(work, refusal, self._attempts[work.request_id])
        wait_s = self._retries.decide(failed, self._world.now_s())
        if wait_s is not None:
            self._world.timeline.after(wait_s, lambda: self._put_back(work))
        elif refusal.execution is Execution.NOT_RUN:
            tally.refused += 1
        else:
            tally.lost += 1

    def _answer(self, work: Work) -> None:
        tally = self._world.result.ranks[work.rank]
        now_s = self._world.now_s()
        latency_s = now_s - self._sent_at_s[work.request_id]
        tally.latency_us.record_value(max(1, int(latency_s * US_PER_S)))
        if now_s <= work.expires_at_s:
            tally.good += 1
        else:
            tally.late += 1

    def _count_waiting(self, work: Work, change: int) -> None:
        self._waiting[work.service] = self._waiting.get(work.service, 0) + change
        self._world.meter(work.service, self.zone.region).waiting += change
