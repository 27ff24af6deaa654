"""Admit, queue and shed requests of one service by rank and deadline.

An entry instance keeps one queue for each service. It offers arriving work, takes
the next to run when a slot is free, and drops what expired: those were not run.
"""

from collections import deque
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from tanagercourse.core.ids import RequestId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import RANKS, Execution, Rank, RefusalReason
from tanagercourse.core.work import Work


@dataclass(frozen=True)
class AdmissionPolicy:
    """Limits of a queue.

    Attributes:
        max_waiting: Requests of one rank that may wait.
        min_service_s: Least time a request takes, in seconds.
    """

    max_waiting: int = 64
    min_service_s: float = 0.005


class AdmissionQueue:
    """Requests that wait for a slot, in the order they are to run."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._waiting: dict[Rank, deque[Work]] = {rank: deque() for rank in RANKS}

    def __len__(self) -> int:
        return sum(len(line) for line in self._waiting.values())

    def offer(self, work: Work, now_s: float) -> Result[Work, Refusal]:
        """Queue a request, or refuse it at once.

        Args:
            work: The request.
            now_s: The clock's reading, in seconds.

        Returns:
            The request, or a refusal that says it was not run.
        """
        if work.remaining_s(now_s) <= self._policy.min_service_s:
            return Failure(_refuse(work, RefusalReason.DEADLINE))
        line = self._waiting[work.rank]
        if len(line) >= self._policy.max_waiting:
            return Failure(_refuse(work, RefusalReason.OVERLOADED))
        line.append(work)
        return Success(work)

    def take(self, now_s: float) -> Work | None:
        """Remove and return the next request to run, None when none can."""
        for rank in RANKS:
            line = self._waiting[rank]
            while line:
                work = line.popleft()
                if work.remaining_s(now_s) > self._policy.min_service_s:
                    return work
        return None

    def withdraw(self, request_id: RequestId) -> bool:
        """Remove a request whose caller gave up; False when it is not waiting."""
        for line in self._waiting.values():
            for work in line:
                if work.request_id == request_id:
                    line.remove(work)
                    return True
        return False


def _refuse(work: Work, reason: RefusalReason) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN)
