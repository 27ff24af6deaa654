"""Admit, queue and shed requests by rank and deadline.

Ranks compete where services share a limit: the requests that one entry instance runs
at once. An instance keeps one queue for all of its services. It offers arriving work,
takes the next to run whenever a slot or a place is free, and tells the queue when a
request has finished. What the queue refuses or drops was not run.
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
from tanagercourse.steering.signals import LineView, Sheds, by_queue_wait
from tanagercourse.steering.waits import WaitEstimate

# Weight of the newest service time in the moving average.
SERVICE_WEIGHT = 0.1

# Tells whether some upstream could take a request now.
HasFreeSlot = Callable[[Work], bool]


@dataclass(frozen=True)
class AdmissionPolicy:
    """Limits of a queue.

    Attributes:
        max_waiting: Requests of one service and rank that may wait.
        min_service_s: Least time a request takes, in seconds.
        max_running: Requests that may run at once, None for no limit. With a limit the
            caller has to call `finish` for each request that it took.
        service_time_margin: Mean service times that a request must have left to start.
    """

    max_waiting: int = 64
    min_service_s: float = 0.005
    max_running: int | None = None
    service_time_margin: float = 2.0


class _Line:
    """Requests of one service and rank, in the order they came."""

    def __init__(self) -> None:
        self.waiting: deque[tuple[Work, float]] = deque()
        self.estimate = WaitEstimate()

    def append(self, work: Work, now_s: float) -> None:
        if not self.waiting:
            self.estimate.began(now_s)
        self.waiting.append((work, now_s))

    def prepend(self, work: Work, now_s: float) -> None:
        if not self.waiting:
            self.estimate.began(now_s)
        since_s = self.waiting[0][1] if self.waiting else now_s
        self.waiting.appendleft((work, since_s))

    def wait_s(self, now_s: float) -> float:
        return self.estimate.wait_s(len(self.waiting), now_s)


class AdmissionQueue:
    """Requests that wait for a slot, and a count of those that run."""

    def __init__(
        self,
        policy: AdmissionPolicy,
        choose_rank: ChooseRank = strict_priority,
        sheds: Sheds = by_queue_wait,
    ) -> None:
        self._policy = policy
        self._sheds = sheds
        self._choose_rank = choose_rank
        self._lines: dict[tuple[Rank, ServiceId], _Line] = {}
        self._in_flight: dict[Rank, int] = dict.fromkeys(RANKS, 0)
        self._taken_at_s: dict[RequestId, float] = {}
        self._service_s: dict[ServiceId, float] = {}
        self._dropped: list[Work] = []

    def __len__(self) -> int:
        return sum(len(line.waiting) for line in self._lines.values())

    def wait_s(self, rank: Rank, service: ServiceId, now_s: float) -> float:
        """Return how long a request offered now would wait, in seconds."""
        line = self._lines.get((rank, service))
        return line.wait_s(now_s) if line else 0.0

    def offer(self, work: Work, now_s: float) -> Result[Work, Refusal]:
        """Queue a request, or refuse it at once when it could not finish in time.

        Args:
            work: The request.
            now_s: The clock's reading, in seconds.

        Returns:
            The request, or a refusal that says it was not run.
        """
        if not self._can_finish(work, now_s):
            return Failure(_refuse(work, RefusalReason.DEADLINE))
        line = self._lines.setdefault((work.rank, work.service), _Line())
        view = self._line_view(line, work, now_s)
        if view.waiting >= self._policy.max_waiting or self._sheds(view):
            return Failure(_refuse(work, RefusalReason.OVERLOADED, view.wait_s))
        line.append(work, now_s)
        return Success(work)

    def take(self, now_s: float, is_open: HasFreeSlot | None = None) -> Work | None:
        """Remove and return the next request to run, None when none can.

        Args:
            now_s: The clock's reading, in seconds.
            is_open: Whether a request's service has a slot; all have when left out.
        """
        if not self._has_place():
            return None
        lines = self._startable(now_s, is_open)
        rank = self._choose_rank(self._views(lines))
        if rank is None:
            return None
        line = min(
            (line for of_rank, line in lines if of_rank is rank),
            key=lambda line: line.waiting[0][1],
        )
        work, _ = line.waiting.popleft()
        line.estimate.started(now_s)
        self._start(work, now_s)
        return work

    def requeue(self, work: Work, now_s: float) -> None:
        """Queue a request again, before all others of its line.

        For work that `take` returned and no upstream ran: it has waited already, so
        it is neither refused nor sent to the line's end. Call `finish` first.

        Args:
            work: The request.
            now_s: The clock's reading, in seconds.
        """
        line = self._lines.setdefault((work.rank, work.service), _Line())
        line.prepend(work, now_s)

    def finish(self, work: Work, now_s: float, is_answered: bool = True) -> None:
        """Free the place of a request that `take` returned.

        Args:
            work: The request.
            now_s: The clock's reading, in seconds.
            is_answered: Whether its time tells how long the service takes.
        """
        taken_at_s = self._taken_at_s.pop(work.request_id, None)
        if taken_at_s is None:
            return
        self._in_flight[work.rank] -= 1
        if is_answered:
            took_s = now_s - taken_at_s
            mean_s = self._service_s.get(work.service, took_s)
            self._service_s[work.service] = mean_s + SERVICE_WEIGHT * (took_s - mean_s)

    def remove_waiting(self, request_id: RequestId) -> bool:
        """Remove a request whose caller gave up; False when it is not waiting."""
        for line in self._lines.values():
            for entry in line.waiting:
                if entry[0].request_id == request_id:
                    line.waiting.remove(entry)
                    return True
        return False

    def pop_expired(self) -> tuple[Work, ...]:
        """Return and forget the work that `take` found too late to run.

        The caller refuses it at once, `not run`, for its deadline.
        """
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return dropped

    def _has_place(self) -> bool:
        places = self._policy.max_running
        return places is None or sum(self._in_flight.values()) < places

    def _startable(
        self, now_s: float, is_open: HasFreeSlot | None
    ) -> list[tuple[Rank, _Line]]:
        lines = []
        for (rank, _), line in self._lines.items():
            self._drop_late(line, now_s)
            if line.waiting and (is_open is None or is_open(line.waiting[0][0])):
                lines.append((rank, line))
        return lines

    def _drop_late(self, line: _Line, now_s: float) -> None:
        while line.waiting and not self._can_finish(line.waiting[0][0], now_s):
            work, _ = line.waiting.popleft()
            self._dropped.append(work)

    def _views(self, lines: list[tuple[Rank, _Line]]) -> list[RankView]:
        views = []
        for rank in RANKS:
            heads = [line.waiting[0] for of_rank, line in lines if of_rank is rank]
            if heads:
                work, since_s = min(heads, key=lambda head: head[1])
                in_flight = self._in_flight[rank]
                views.append(RankView(rank, in_flight, work.expires_at_s, since_s))
        return views

    def _start(self, work: Work, now_s: float) -> None:
        if self._policy.max_running is not None:
            self._in_flight[work.rank] += 1
            self._taken_at_s[work.request_id] = now_s

    def _line_view(self, line: _Line, work: Work, now_s: float) -> LineView:
        return LineView(
            work.service,
            len(line.waiting),
            line.wait_s(now_s),
            self._needed_s(work),
            work.remaining_s(now_s),
        )

    def _can_finish(self, work: Work, now_s: float) -> bool:
        return work.remaining_s(now_s) > self._needed_s(work)

    def _needed_s(self, work: Work) -> float:
        service_s = self._service_s.get(work.service, 0.0)
        return max(
            self._policy.min_service_s, service_s * self._policy.service_time_margin
        )


def _refuse(work: Work, reason: RefusalReason, retry_after_s: float = 0.0) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN, retry_after_s)
