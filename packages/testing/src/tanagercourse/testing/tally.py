"""Count the outcomes of calls by service and check the invariants on them."""

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
    "complete",
    "not run",
    "timed out",
    "interrupted",
    "invalid",
    "duplicated",
    "refused but run",
    "p50 ms",
    "p99 ms",
)


@dataclass
class Tally:
    """Outcomes of the calls of one service.

    Attributes:
        service: The service.
        rank: The service's rank.
        idempotency: Whether a call may run more than once.
        sent: Calls sent.
        complete: Calls with a complete response that has the expected body.
        not_run: Calls refused as not run.
        deadline_exceeded: Calls that exceeded their deadline and may have run.
        interrupted: Calls that failed for any other reason and may have run.
        mismatched: Calls with a response that has an unexpected body.
        completed_keys: Idempotency keys of the complete calls.
        refused_keys: Idempotency keys of the calls refused as not run.
        latency_us: Latencies of the complete calls, in microseconds.
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
    completed_keys: set[str] = field(default_factory=set)
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
        """Count the outcome of one call.

        Args:
            key: Idempotency key of the call.
            expected: Expected body of the response.
            elapsed_s: Duration of the call, in seconds.
            outcome: The response or problem that the caller got.
        """
        self.sent += 1
        if isinstance(outcome, Failure):
            self._record_problem(key, outcome.failure())
        elif outcome.unwrap().body != expected:
            self.mismatched += 1
        else:
            self.complete += 1
            self.completed_keys.add(key)
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
    """Differences between the outcomes of calls and the runs at backend servers.

    Attributes:
        invalid_responses: Responses to calls that no backend server ran, and responses
            with an unexpected body.
        duplicated: Non-idempotent calls that ran more than once.
        incorrect_refusals: Calls that were refused as not run but ran.
    """

    invalid_responses: int
    duplicated: int
    incorrect_refusals: int


def compare_with_runs(tally: Tally, upstreams: Iterable[FakeUpstream]) -> Verdict:
    """Compare the outcomes of a service's calls with the runs at its upstreams."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs_by_key)
    is_at_most_once = tally.idempotency is Idempotency.NON_IDEMPOTENT
    return Verdict(
        invalid_responses=sum(runs[key] == 0 for key in tally.completed_keys)
        + tally.mismatched,
        duplicated=sum(
            count > 1 for key, count in runs.items() if key and is_at_most_once
        ),
        incorrect_refusals=sum(runs[key] > 0 for key in tally.refused_keys),
    )


def invariants_hold(tally: Tally, verdict: Verdict) -> bool:
    """Return whether every invariant held and at least one call was complete."""
    violations = (
        tally.interrupted
        + verdict.invalid_responses
        + verdict.duplicated
        + verdict.incorrect_refusals
    )
    return violations == 0 and tally.complete > 0


def to_row(tally: Tally, verdict: Verdict) -> tuple[str, ...]:
    """Return a service's row of the table, with the columns of HEADINGS."""
    p50_ms = tally.latency_us.get_value_at_percentile(50) / US_PER_MS
    p99_ms = tally.latency_us.get_value_at_percentile(99) / US_PER_MS
    counts = (
        tally.sent,
        tally.complete,
        tally.not_run,
        tally.deadline_exceeded,
        tally.interrupted,
        verdict.invalid_responses,
        verdict.duplicated,
        verdict.incorrect_refusals,
    )
    cells = (str(count) for count in counts)
    return (tally.rank.value, tally.service, *cells, f"{p50_ms:.1f}", f"{p99_ms:.1f}")
