"""Which requests are in hand or ran lately, so that none runs twice by mistake."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.wire.headers import REQUEST_ID

# How long a key is remembered after its request ended, in seconds.
REMEMBER_S = 600.0
MAX_REMEMBERED = 20_000

_Key = tuple[ServiceId, IdempotencyKey]


_CERTAINTY = (Execution.NOT_RUN, Execution.MAY_HAVE_RUN, Execution.RAN)


class Progress:
    """How far one request has got: what is known of its run right now.

    Attributes:
        work: The request.
        execution: What is known, over all of its attempts.
        is_answering: Whether the caller has been sent a part of the answer.
    """

    def __init__(self, work: Work) -> None:
        self.work = work
        self.execution = Execution.NOT_RUN
        self.is_answering = False
        self._before_attempt = Execution.NOT_RUN

    def begin_attempt(self) -> None:
        """Note that the request's first byte may reach a backend server from now."""
        self._before_attempt = self.execution
        self.execution = _more(self.execution, Execution.MAY_HAVE_RUN)

    def end_attempt(self, execution: Execution) -> None:
        """Note what became known of the attempt."""
        self.execution = _more(self._before_attempt, execution)


@dataclass(frozen=True)
class _Ended:
    execution: Execution
    ended_at_s: float


class RequestsInHand:
    """Ids and keys of the requests in hand, and keys of those that ended lately.

    Memory is bounded: the oldest keys are forgotten past a number or an age. A key
    whose request certainly did not run is forgotten at once, for it may come again.
    """

    def __init__(
        self,
        clock: Clock,
        remember_s: float = REMEMBER_S,
        max_remembered: int = MAX_REMEMBERED,
    ) -> None:
        self._clock = clock
        self._remember_s = remember_s
        self._max_remembered = max_remembered
        self._ids: set[RequestId] = set()
        self._keys: set[_Key] = set()
        self._ended: OrderedDict[_Key, _Ended] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ids)

    @contextmanager
    def holding(self, work: Work) -> Iterator[Result[Progress, Refusal | InvalidField]]:
        """Hold a request's id and key for the length of a block.

        Args:
            work: The request.

        Yields:
            Its progress, which the block keeps true, or why it must not run.
        """
        problem = self._check(work)
        if problem is not None:
            yield Failure(problem)
            return
        progress = Progress(work)
        key = _key_of(work)
        self._ids.add(work.request_id)
        if key is not None:
            self._keys.add(key)
        try:
            yield Success(progress)
        finally:
            self._ids.discard(work.request_id)
            if key is not None:
                self._end(key, progress.execution)

    def _check(self, work: Work) -> Refusal | InvalidField | None:
        if work.request_id in self._ids:
            allowed = "an id that no request in hand has"
            return InvalidField("request", REQUEST_ID, work.request_id, allowed)
        key = _key_of(work)
        if key is None:
            return None
        if key in self._keys:
            return _refuse_duplicate(work, Execution.MAY_HAVE_RUN)
        self._forget_old()
        ended = self._ended.get(key)
        return _refuse_duplicate(work, ended.execution) if ended else None

    def _end(self, key: _Key, execution: Execution) -> None:
        self._keys.discard(key)
        if execution is Execution.NOT_RUN:
            return
        self._ended[key] = _Ended(execution, self._clock())
        self._forget_old()

    def _forget_old(self) -> None:
        oldest_s = self._clock() - self._remember_s
        while self._ended:
            first = next(iter(self._ended.values()))
            is_over = len(self._ended) > self._max_remembered
            if not is_over and first.ended_at_s > oldest_s:
                return
            self._ended.popitem(last=False)


def _more(one: Execution, other: Execution) -> Execution:
    return max(one, other, key=_CERTAINTY.index)


def _key_of(work: Work) -> _Key | None:
    if work.key is None or work.idempotency is Idempotency.IDEMPOTENT:
        return None
    return (work.service, work.key)


def _refuse_duplicate(work: Work, execution: Execution) -> Refusal:
    return Refusal(work.request_id, RefusalReason.DUPLICATE_KEY, execution)
