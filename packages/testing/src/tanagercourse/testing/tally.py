"""Count what became of each call, by rank, and tell whether promises were held."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result

from tanagercourse.client.call import CallProblem, CallResponse, NoInstance
from tanagercourse.core.states import Execution, Idempotency, Rank, RefusalReason
from tanagercourse.testing.upstream import FakeUpstream

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000

HEADINGS: tuple[str, ...] = (
    "rank",
    "service",
    "sent",
    "whole",
    "not run",
    "late",
    "cut",
    "lost",
    "doubled",
    "untrue",
    "p50 ms",
    "p99 ms",
)


@dataclass
class Tally:
    """What became of one service's calls.

    Attributes:
        service: The service.
        rank: Its rank.
        idempotency: Whether its calls may run twice.
        sent: Calls made.
        complete: Calls answered whole.
        not_run: Calls refused as not run.
        deadline_exceeded: Calls whose deadline passed, which may have run.
        interrupted: Calls with no whole answer that may have run, for any other reason.
        mismatched: Calls answered with something else than what they asked for.
        answered_keys: Keys of the calls that were answered whole.
        refused_keys: Keys of the calls that were refused as not run.
        latency_us: Times of the whole answers, in microseconds.
    """

    service: str
    rank: Rank
    idempotency: Idempotency
    sent: int = 0
    complete: int = 0
    not_run: int = 0
    deadline_exceeded: int = 0
    interrupted: int = 0
    mismatched: int = 0
    answered_keys: set[str] = field(default_factory=set)
    refused_keys: set[str] = field(default_factory=set)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )

    def record(
        self,
        key: str,
        expected: bytes,
        elapsed_s: float,
        outcome: Result[CallResponse, CallProblem],
    ) -> None:
        """Count one call.

        Args:
            key: Its idempotency key.
            expected: The whole body that answers it.
            elapsed_s: How long it took, in seconds.
            outcome: What the caller got.
        """
        self.sent += 1
        if isinstance(outcome, Failure):
            self._record_problem(key, outcome.failure())
        elif outcome.unwrap().body != expected:
            self.mismatched += 1
        else:
            self.complete += 1
            self.answered_keys.add(key)
            self.latency_us.record_value(max(MIN_LATENCY_US, int(elapsed_s * US_PER_S)))

    def _record_problem(self, key: str, problem: CallProblem) -> None:
        if isinstance(problem, NoInstance) or problem.execution is Execution.NOT_RUN:
            self.not_run += 1
            self.refused_keys.add(key)
        elif problem.reason is RefusalReason.DEADLINE:
            self.deadline_exceeded += 1
        else:
            self.interrupted += 1


@dataclass(frozen=True)
class Verdict:
    """What backend servers ran, held against what callers were told.

    Attributes:
        unexecuted: Calls answered whole that no backend server ran, or answered wrong.
        duplicated: Non-idempotent calls that ran more than once.
        incorrect_refusals: Calls refused as not run that ran.
    """

    unexecuted: int
    duplicated: int
    incorrect_refusals: int


def compare_with_runs(tally: Tally, upstreams: Iterable[FakeUpstream]) -> Verdict:
    """Hold a service's calls against what its backend servers ran."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs_by_key)
    is_at_most_once = tally.idempotency is Idempotency.NON_IDEMPOTENT
    return Verdict(
        unexecuted=sum(runs[key] == 0 for key in tally.answered_keys)
        + tally.mismatched,
        duplicated=sum(
            count > 1 for key, count in runs.items() if key and is_at_most_once
        ),
        incorrect_refusals=sum(runs[key] > 0 for key in tally.refused_keys),
    )


def invariants_hold(tally: Tally, verdict: Verdict) -> bool:
    """Whether a service's promises were held."""
    violations = (
        tally.interrupted
        + verdict.unexecuted
        + verdict.duplicated
        + verdict.incorrect_refusals
    )
    return violations == 0 and tally.complete > 0


def to_row(tally: Tally, verdict: Verdict) -> tuple[str, ...]:
    """Return a service's line of the table, in the order of HEADINGS."""
    p50_ms = tally.latency_us.get_value_at_percentile(50) / US_PER_MS
    p99_ms = tally.latency_us.get_value_at_percentile(99) / US_PER_MS
    counts = (
        tally.sent,
        tally.complete,
        tally.not_run,
        tally.deadline_exceeded,
        tally.interrupted,
        verdict.unexecuted,
        verdict.duplicated,
        verdict.incorrect_refusals,
    )
    cells = (str(count) for count in counts)
    return (tally.rank.value, tally.service, *cells, f"{p50_ms:.1f}", f"{p99_ms:.1f}")
