"""Count what became of each call, by rank, and tell whether promises were held."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result

from tanagercourse.client.call import CallProblem, CallResponse, NoInstance
from tanagercourse.core.states import Execution, Idempotency, Rank, RefusalReason
from tanagercourse.testing.upstream import FakeUpstream

LOWEST_US = 1
HIGHEST_US = 60_000_000
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
        whole: Calls answered whole.
        not_run: Calls refused as not run.
        late: Calls whose deadline passed, which may have run.
        cut: Calls with no whole answer that may have run, for any other reason.
        wrong: Calls answered with something else than what they asked for.
        answered_keys: Keys of the calls that were answered whole.
        refused_keys: Keys of the calls that were refused as not run.
        latency_us: Times of the whole answers, in microseconds.
    """

    service: str
    rank: Rank
    idempotency: Idempotency
    sent: int = 0
    whole: int = 0
    not_run: int = 0
    late: int = 0
    cut: int = 0
    wrong: int = 0
    answered_keys: set[str] = field(default_factory=set)
    refused_keys: set[str] = field(default_factory=set)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def record(
        self,
        key: str,
        expected: bytes,
        took_s: float,
        outcome: Result[CallResponse, CallProblem],
    ) -> None:
        """Count one call.

        Args:
            key: Its idempotency key.
            expected: The whole body that answers it.
            took_s: How long it took, in seconds.
            outcome: What the caller got.
        """
        self.sent += 1
        if isinstance(outcome, Failure):
            self._record_problem(key, outcome.failure())
        elif outcome.unwrap().body != expected:
            self.wrong += 1
        else:
            self.whole += 1
            self.answered_keys.add(key)
            self.latency_us.record_value(max(LOWEST_US, int(took_s * US_PER_S)))

    def _record_problem(self, key: str, problem: CallProblem) -> None:
        if isinstance(problem, NoInstance) or problem.execution is Execution.NOT_RUN:
            self.not_run += 1
            self.refused_keys.add(key)
        elif problem.reason is RefusalReason.DEADLINE:
            self.late += 1
        else:
            self.cut += 1


@dataclass(frozen=True)
class Verdict:
    """What backend servers ran, held against what callers were told.

    Attributes:
        lost: Calls answered whole that no backend server ran, or answered wrong.
        doubled: Non-idempotent calls that ran more than once.
        untrue: Calls refused as not run that ran.
    """

    lost: int
    doubled: int
    untrue: int


def judge(tally: Tally, upstreams: Iterable[FakeUpstream]) -> Verdict:
    """Hold a service's calls against what its backend servers ran."""
    runs: Counter[str] = Counter()
    for upstream in upstreams:
        runs.update(upstream.runs_by_key)
    is_once = tally.idempotency is Idempotency.NON_IDEMPOTENT
    return Verdict(
        lost=sum(runs[key] == 0 for key in tally.answered_keys) + tally.wrong,
        doubled=sum(count > 1 for key, count in runs.items() if key and is_once),
        untrue=sum(runs[key] > 0 for key in tally.refused_keys),
    )


def is_kept(tally: Tally, verdict: Verdict) -> bool:
    """Whether a service's promises were held."""
    broken = tally.cut + verdict.lost + verdict.doubled + verdict.untrue
    return broken == 0 and tally.whole > 0


def to_row(tally: Tally, verdict: Verdict) -> tuple[str, ...]:
    """Return a service's line of the table, in the order of HEADINGS."""
    p50_ms = tally.latency_us.get_value_at_percentile(50) / US_PER_MS
    p99_ms = tally.latency_us.get_value_at_percentile(99) / US_PER_MS
    counts = (
        tally.sent,
        tally.whole,
        tally.not_run,
        tally.late,
        tally.cut,
        verdict.lost,
        verdict.doubled,
        verdict.untrue,
    )
    cells = (str(count) for count in counts)
    return (tally.rank.value, tally.service, *cells, f"{p50_ms:.1f}", f"{p99_ms:.1f}")
