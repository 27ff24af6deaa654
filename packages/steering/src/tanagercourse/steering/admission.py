"""Admit, queue and shed requests by rank and deadline.

Ranks compete for the concurrency limit of an entry instance, which its services share.
An instance keeps one `AdmissionQueue` for all of its services. It offers arriving work,
takes the next request when a slot is free and the limit permits, and notifies the queue
when a request has finished. Work that the queue refuses or drops has not run.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import RANKS, Execution, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.steering.ranking import ChooseRank, RankView, strict_priority
from tanagercourse.steering.signals import QueueView, ShouldShed, by_queue_wait
from tanagercourse.steering.waits import WaitEstimator

# Weight of the latest service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.1

# Returns whether some upstream has a free slot for a request now.
HasFreeSlot = Callable[[Work], bool]


@dataclass(frozen=True)
class AdmissionPolicy:
    """Limits of an admission queue.

    Attributes:
        max_waiting: Maximum requests of one service and rank that may wait.
        min_service_time_s: Minimum service time to assume, in seconds.
        max_running: Maximum requests that may run at once, None for no limit. With a
            limit, the caller must call `finish` for each request that it took.
        service_time_margin: Minimum time to the deadline at which a request may start,
            as a multiple of the mean service time.
    """

    max_waiting: int = 64
    min_service_time_s: float = 0.005
    max_running: int | None = None
    service_time_margin: float = 2.0


class _WaitQueue:
    """Waiting requests of one service and rank, in order of arrival."""

    def __init__(self) -> None:
        self.waiting: deque[tuple[Work, float]] = deque()
        self.wait_estimator = WaitEstimator()

    def append(self, work: Work, now_s: float) -> None:
        if not self.waiting:
            self.wait_estimator.record_queue_nonempty(now_s)
        self.waiting.append((work, now_s))

    def prepend(self, work: Work, now_s: float) -> None:
        if not self.waiting:
            self.wait_estimator.record_queue_nonempty(now_s)
        waiting_since_s = self.waiting[0][1] if self.waiting else now_s
        self.waiting.appendleft((work, waiting_since_s))

    def wait_s(self, now_s: float) -> float:
        return self.wait_estimator.wait_s(len(self.waiting), now_s)


class AdmissionQueue:
    """Requests that wait for a slot, and counts of those that run.

    Args:
        policy: Limits of the queue.
        choose_rank: Chooses the rank whose request starts next.
        should_shed: Overload signal that sheds arriving requests.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        choose_rank: ChooseRank = strict_priority,
        should_shed: ShouldShed = by_queue_wait,
    ) -> None:
        self._policy = policy
        self._should_shed = should_shed
        self._choose_rank = choose_rank
        self._queues: dict[tuple[Rank, ServiceId], _WaitQueue] = {}
        self._in_flight: dict[Rank, int] = dict.fromkeys(RANKS, 0)
        self._started_at_s: dict[RequestId, float] = {}
        self._mean_service_time_s: dict[ServiceId, float] = {}
        self._expired: list[Work] = []

    def __len__(self) -> int:
        return sum(len(queue.waiting) for queue in self._queues.values())

    def wait_s(self, rank: Rank, service: ServiceId, now_s: float) -> float:
        """Return how long a request offered now would wait, in seconds.

        Args:
            rank: The request's rank.
            service: The request's service.
            now_s: A monotonic clock, in seconds.
        """
        queue = self._queues.get((rank, service))
        return queue.wait_s(now_s) if queue else 0.0

    def offer(self, work: Work, now_s: float) -> Result[Work, Refusal]:
        """Queue a request, or refuse it when it could not meet its deadline.

        The request is also refused when its queue is full or the overload signal
        sheds it.

        Args:
            work: The request.
            now_s: A monotonic clock, in seconds.

        Returns:
            The request, or a refusal with execution `NOT_RUN`.
        """
        if not self._can_meet_deadline(work, now_s):
            return Failure(_refusal(work, RefusalReason.DEADLINE))
        queue = self._queues.setdefault((work.rank, work.service), _WaitQueue())
        view = self._queue_view(queue, work, now_s)
        if view.waiting >= self._policy.max_waiting or self._should_shed(view):
            return Failure(_refusal(work, RefusalReason.OVERLOADED, view.wait_s))
        queue.append(work, now_s)
        return Success(work)

    def take(
        self, now_s: float, has_free_slot: HasFreeSlot | None = None
    ) -> Work | None:
        """Remove and return the next request to run, None when no request can start.

        Args:
            now_s: A monotonic clock, in seconds.
            has_free_slot: Returns whether an upstream has a free slot for a request;
                None if every request has one.
        """
        if not self._may_start():
            return None
        queues = self._startable_queues(now_s, has_free_slot)
        rank = self._choose_rank(self._rank_views(queues))
        if rank is None:
            return None
        queue = min(
            (queue for queue_rank, queue in queues if queue_rank is rank),
            key=lambda queue: queue.waiting[0][1],
        )
        work, _ = queue.waiting.popleft()
        queue.wait_estimator.record_start(now_s)
        self._record_start(work, now_s)
        return work

    def requeue(self, work: Work, now_s: float) -> None:
        """Queue a request again, at the head of its queue.

        Use this for work that `take` returned but no upstream ran, after a call of
        `finish`. As the request has waited already, it is neither refused nor moved to
        the tail.

        Args:
            work: The request.
            now_s: A monotonic clock, in seconds.
        """
        queue = self._queues.setdefault((work.rank, work.service), _WaitQueue())
        queue.prepend(work, now_s)

    def finish(self, work: Work, now_s: float, has_response: bool = True) -> None:
        """Record that a request returned by `take` no longer runs.

        Args:
            work: The request.
            now_s: A monotonic clock, in seconds.
            has_response: Whether the elapsed time is a service time, because an
                upstream responded.
        """
        started_at_s = self._started_at_s.pop(work.request_id, None)
        if started_at_s is None:
            return
        self._in_flight[work.rank] -= 1
        if has_response:
            elapsed_s = now_s - started_at_s
            mean_s = self._mean_service_time_s.get(work.service, elapsed_s)
            self._mean_service_time_s[work.service] = mean_s + SERVICE_TIME_WEIGHT * (
                elapsed_s - mean_s
            )

    def remove_waiting(self, request_id: RequestId) -> bool:
        """Remove a request whose caller gave up.

        Returns:
            Whether the request was waiting.
        """
        for queue in self._queues.values():
            for entry in queue.waiting:
                if entry[0].request_id == request_id:
                    queue.waiting.remove(entry)
                    return True
        return False

    def pop_expired(self) -> tuple[Work, ...]:
        """Remove and return the work that `take` found too late to start.

        The caller refuses it with reason `DEADLINE` and execution `NOT_RUN`.
        """
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def _may_start(self) -> bool:
        max_running = self._policy.max_running
        return max_running is None or sum(self._in_flight.values()) < max_running

    def _startable_queues(
        self, now_s: float, has_free_slot: HasFreeSlot | None
    ) -> list[tuple[Rank, _WaitQueue]]:
        queues = []
        for (rank, _), queue in self._queues.items():
            self._drop_expired(queue, now_s)
            if queue.waiting and (
                has_free_slot is None or has_free_slot(queue.waiting[0][0])
            ):
                queues.append((rank, queue))
        return queues

    def _drop_expired(self, queue: _WaitQueue, now_s: float) -> None:
        while queue.waiting and not self._can_meet_deadline(queue.waiting[0][0], now_s):
            work, _ = queue.waiting.popleft()
            self._expired.append(work)

    def _rank_views(self, queues: list[tuple[Rank, _WaitQueue]]) -> list[RankView]:
        views = []
        for rank in RANKS:
            head_entries = [
                queue.waiting[0] for queue_rank, queue in queues if queue_rank is rank
            ]
            if head_entries:
                work, waiting_since_s = min(
                    head_entries, key=lambda head_entry: head_entry[1]
                )
                in_flight = self._in_flight[rank]
                views.append(
                    RankView(rank, in_flight, work.expires_at_s, waiting_since_s)
                )
        return views

    def _record_start(self, work: Work, now_s: float) -> None:
        if self._policy.max_running is not None:
            self._in_flight[work.rank] += 1
            self._started_at_s[work.request_id] = now_s

    def _queue_view(self, queue: _WaitQueue, work: Work, now_s: float) -> QueueView:
        return QueueView(
            work.service,
            len(queue.waiting),
            queue.wait_s(now_s),
            self._required_s(work),
            work.remaining_s(now_s),
        )

    def _can_meet_deadline(self, work: Work, now_s: float) -> bool:
        return work.remaining_s(now_s) > self._required_s(work)

    def _required_s(self, work: Work) -> float:
        service_time_s = self._mean_service_time_s.get(work.service, 0.0)
        return max(
            self._policy.min_service_time_s,
            service_time_s * self._policy.service_time_margin,
        )


def _refusal(work: Work, reason: RefusalReason, retry_after_s: float = 0.0) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN, retry_after_s)
