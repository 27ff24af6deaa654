"""Track running and finished requests, to refuse duplicates before they run."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.wire.headers import REQUEST_ID_HEADER

# How long an idempotency key is retained after its request ended.
KEY_RETENTION_S = 600.0
MAX_RETAINED_KEYS = 20_000

_Key = tuple[ServiceId, IdempotencyKey]

# From the least to the most certain that the request ran.
_BY_CERTAINTY = (Execution.NOT_RUN, Execution.MAY_HAVE_RUN, Execution.RAN)


class RequestProgress:
    """The progress of one running request.

    Attributes:
        work: The request.
        execution: Whether the request ran, over all of its attempts so far.
        has_response_started: Whether a part of the response was sent to the caller.
    """

    def __init__(self, work: Work) -> None:
        self.work = work
        self.execution = Execution.NOT_RUN
        self.has_response_started = False
        self._execution_before_attempt = Execution.NOT_RUN

    def begin_attempt(self) -> None:
        """Record that the request may reach a backend server from now on."""
        self._execution_before_attempt = self.execution
        self.execution = _most_certain(self.execution, Execution.MAY_HAVE_RUN)

    def end_attempt(self, execution: Execution) -> None:
        """Record whether the request ran in the attempt that ended."""
        self.execution = _most_certain(self._execution_before_attempt, execution)


@dataclass(frozen=True)
class _FinishedRequest:
    execution: Execution
    finished_at_s: float


class RequestDeduplicator:
    """Tracks ids and keys of running requests, and keys of recently finished ones.

    Memory is bounded: the oldest keys are evicted beyond a maximum number or age. The
    key of a request that certainly did not run is not retained, because the caller may
    send the request again.

    Args:
        clock: A monotonic clock, in seconds.
        retention_s: How long a finished request's key is retained, in seconds.
        max_retained: Maximum number of retained keys.
    """

    def __init__(
        self,
        clock: Clock,
        retention_s: float = KEY_RETENTION_S,
        max_retained: int = MAX_RETAINED_KEYS,
    ) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._max_retained = max_retained
        self._running_ids: set[RequestId] = set()
        self._running_keys: set[_Key] = set()
        self._finished: OrderedDict[_Key, _FinishedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._running_ids)

    @contextmanager
    def tracking(
        self, work: Work
    ) -> Iterator[Result[RequestProgress, Refusal | InvalidField]]:
        """Reserve a request's id and key while a block runs.

        Args:
            work: The request.

        Yields:
            The request's progress, to be updated by the block, or why the request must
            not run.
        """
        problem = self._check_duplicate(work)
        if problem is not None:
            yield Failure(problem)
            return
        progress = RequestProgress(work)
        key = _key_of(work)
        self._running_ids.add(work.request_id)
        if key is not None:
            self._running_keys.add(key)
        try:
            yield Success(progress)
        finally:
            self._running_ids.discard(work.request_id)
            if key is not None:
                self._finish_key(key, progress.execution)

    def _check_duplicate(self, work: Work) -> Refusal | InvalidField | None:
        if work.request_id in self._running_ids:
            allowed = "an id that no running request has"
            return InvalidField("request", REQUEST_ID_HEADER, work.request_id, allowed)
        key = _key_of(work)
        if key is None:
            return None
        if key in self._running_keys:
            return _refuse_duplicate(work, Execution.MAY_HAVE_RUN)
        self._evict_expired()
        finished = self._finished.get(key)
        return _refuse_duplicate(work, finished.execution) if finished else None

    def _finish_key(self, key: _Key, execution: Execution) -> None:
        self._running_keys.discard(key)
        if execution is Execution.NOT_RUN:
            return
        self._finished[key] = _FinishedRequest(execution, self._clock())
        self._evict_expired()

    def _evict_expired(self) -> None:
        retained_since_s = self._clock() - self._retention_s
        while self._finished:
            oldest = next(iter(self._finished.values()))
            is_over_limit = len(self._finished) > self._max_retained
            if not is_over_limit and oldest.finished_at_s > retained_since_s:
                return
            self._finished.popitem(last=False)


def _most_certain(first: Execution, second: Execution) -> Execution:
    return max(first, second, key=_BY_CERTAINTY.index)


def _key_of(work: Work) -> _Key | None:
    if work.key is None or work.idempotency is Idempotency.IDEMPOTENT:
        return None
    return (work.service, work.key)


def _refuse_duplicate(work: Work, execution: Execution) -> Refusal:
    return Refusal(work.request_id, RefusalReason.DUPLICATE_KEY, execution)
