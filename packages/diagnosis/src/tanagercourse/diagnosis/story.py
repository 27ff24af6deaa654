"""Tell what happened to one request, from the logs of the instances that served it."""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import InstanceId, RequestId, UpstreamId
from tanagercourse.core.problems import Problem
from tanagercourse.core.states import RefusalReason
from tanagercourse.diagnosis.log_lines import (
    Attempt,
    Ending,
    EndingKind,
    FleetLog,
    UpstreamChange,
)

# Changes of an upstream are told if they happened at most so long before or after an
# attempt at it, in seconds.
CHANGE_WINDOW_S = 5.0

_MEANINGS = {
    RefusalReason.OVERLOADED.value: "no upstream had a free slot in time",
    RefusalReason.UPSTREAM_SHED.value: "the upstreams tried were full or refused it",
    RefusalReason.UPSTREAMS_PAUSED.value: "every upstream wanted no requests for now",
    RefusalReason.LEAVING.value: "the instance was stopping",
    RefusalReason.UPSTREAM_LOST.value: "the upstream was lost before it responded",
    RefusalReason.DEADLINE.value: "the time ran out",
    RefusalReason.NO_UPSTREAM.value: "no upstream could be reached",
    RefusalReason.NO_SETTINGS.value: "the instance had no configuration yet",
}


@dataclass(frozen=True)
class UnknownRequest(Problem):
    """The logs have no line about a request.

    Attributes:
        request: Id of the request.
        unreadable_lines: Number of lines that were no log lines.
        dropped_lines: Number of lines that the instances dropped.
    """

    request: RequestId
    unreadable_lines: int
    dropped_lines: int

    def describe(self) -> str:
        """Return what was searched, as one line."""
        return (
            f"request {self.request} is in no line; the instances dropped "
            f"{self.dropped_lines} lines, and {self.unreadable_lines} lines could not "
            "be read"
        )


@dataclass(frozen=True)
class Step:
    """One step in the story of a request.

    Attributes:
        at_s: Time, in Unix seconds.
        instance: The instance that logged it.
        text: What happened.
    """

    at_s: float
    instance: InstanceId
    text: str


def tell_story(
    log: FleetLog, request: RequestId
) -> Result[tuple[Step, ...], UnknownRequest]:
    """Return the steps of a request in order, with what was known of its upstreams.

    Args:
        log: Log of all instances.
        request: Id of the request.
    """
    attempts = [attempt for attempt in log.attempts if attempt.request == request]
    endings = [ending for ending in log.endings if ending.request == request]
    if not attempts and not endings:
        return Failure(UnknownRequest(request, log.unreadable_lines, log.dropped_lines))
    steps = [
        *map(_describe_attempt, attempts),
        *map(_describe_ending, endings),
        *map(_describe_change, _find_changes(log.upstream_changes, attempts)),
    ]
    return Success(tuple(sorted(steps, key=lambda step: step.at_s)))


def _find_changes(
    changes: Iterable[UpstreamChange], attempts: list[Attempt]
) -> list[UpstreamChange]:
    """Return what the attempts' instances noticed of their upstreams at the time."""
    attempts_at: dict[tuple[InstanceId, UpstreamId], list[Attempt]] = {}
    for attempt in attempts:
        key = (attempt.instance, attempt.upstream)
        attempts_at.setdefault(key, []).append(attempt)
    return [
        change
        for change in changes
        if any(
            abs(change.at_s - attempt.ended_at_s) <= CHANGE_WINDOW_S
            for attempt in attempts_at.get((change.instance, change.upstream), ())
        )
    ]


def _describe_attempt(attempt: Attempt) -> Step:
    warmth = "warm" if attempt.is_warm else "cold"
    text = (
        f"attempt {attempt.number} at {attempt.upstream} in {attempt.zone} ended after "
        f"{attempt.took_ms} ms, {attempt.expected_ms} ms expected: {attempt.outcome}. "
        f"It was chosen as {warmth} with a load of {attempt.load:.1f}, reported "
        f"{attempt.load_age_ms} ms before"
    )
    return Step(attempt.ended_at_s, attempt.instance, text)


def _describe_ending(ending: Ending) -> Step:
    after = f"after {ending.took_ms} ms and {ending.sends} attempts"
    if ending.kind is EndingKind.CALLER_LEFT:
        text = f"the caller disconnected {after}"
    elif ending.kind is EndingKind.ANSWERED:
        text = f"the upstream's failure {ending.status} was passed on {after}"
    else:
        meaning = _MEANINGS.get(ending.reason or "", "for another reason")
        text = f"refused with {ending.status} {after}: {ending.reason}, {meaning}"
    retry = "a caller's retry" if ending.came_back else "a caller's first request"
    text += (
        f". It was {retry}, is known as {ending.execution}, and {ending.waiting} "
        "others were waiting"
    )
    return Step(ending.at_s, ending.instance, text)


def _describe_change(change: UpstreamChange) -> Step:
    detail = f" ({change.detail})" if change.detail else ""
    return Step(
        change.at_s, change.instance, f"{change.event} {change.upstream}{detail}"
    )
