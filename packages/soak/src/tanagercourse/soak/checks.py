"""Invariants that are checked while the soak runs, at callers and upstreams."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

# Responses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((401, 408, 421, 429, 503))


# End of the id of a request that has a large response, of about 500 kB.
LARGE_SUFFIX = "-large"


@unique
class Invariant(Enum):
    """A condition that must hold at all times."""

    COMPLETE_RESPONSE = "a response is the upstream's complete response to its request"
    ORDER_RUNS_ONCE = "an order runs at most once"
    REFUSAL_CORRECT = "a refused order does not run"
    REQUEST_AS_SENT = "an upstream runs only requests that a caller sent, unchanged"
    ATTEMPT_LIMIT = "a request is sent to no more upstreams than its route allows"
    GRACEFUL_SHUTDOWN = "a graceful shutdown interrupts no request"
    EXPECTED_EXIT = "a process exits only after a signal to stop"
    LEAVING_HEEDED = "an upstream that says that it leaves gets no later request"
    PAUSE_HEEDED = "an upstream that wants no requests for a time gets at most two"
    TENANT_NAMED = "an upstream gets the name of the tenant whose key a request has"
    KEY_NOT_PASSED_ON = "an upstream gets no API key"
    VALID_KEY_ACCEPTED = "a valid API key is not refused"
    RESPONSES_IN_ORDER = "responses come in the order of their pipelined requests"
    QUOTA_KEPT = "no more of a tenant's requests run in a window than its limit allows"
    UNLIMITED_NOT_REFUSED = "only a tenant with a limit is refused for its quota"
    REMOVED_KEY_REFUSED = "a removed API key is refused once that must be known"


@dataclass(frozen=True)
class Request:
    """A request as a caller sent it or as an upstream received it.

    Attributes:
        request_id: Id of the request.
        method: HTTP method.
        target: Request target.
        body: Body of the request.
        is_order: Whether the request is an order, which may run at most once; always
            false for a received request, as checks use the value of the sent one.
    """

    request_id: str
    method: bytes
    target: bytes
    body: bytes
    is_order: bool


@dataclass
class Checks:
    """Observed requests and exits, and the violations found in them.

    Attributes:
        check_counts: Number of checks of each invariant.
        violations: One line for each violation.
        outcome_counts: Number of requests by status code or by reason for no response.
    """

    check_counts: Counter[Invariant] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    outcome_counts: Counter[str] = field(default_factory=Counter)
    _sent: dict[str, Request] = field(default_factory=dict)
    _runs: Counter[str] = field(default_factory=Counter)
    _refused: set[str] = field(default_factory=set)

    def record_sent(self, request: Request) -> None:
        """Record a request that a caller is about to send."""
        self._sent[request.request_id] = request

    def check_run(self, request: Request, max_runs: int) -> None:
        """Check a request that an upstream starts to run.

        Args:
            request: The request as the upstream received it.
            max_runs: Maximum number of runs of a request that is not an order.
        """
        request_id = request.request_id
        self._runs[request_id] += 1
        sent = self._sent.get(request_id)
        is_as_sent = sent is not None and (sent.method, sent.target, sent.body) == (
            request.method,
            request.target,
            request.body,
        )
        self.check(Invariant.REQUEST_AS_SENT, is_as_sent, request_id)
        if sent is None:
            return
        if sent.is_order:
            self.check(
                Invariant.ORDER_RUNS_ONCE, self._runs[request_id] <= 1, request_id
            )
            self.check(
                Invariant.REFUSAL_CORRECT, request_id not in self._refused, request_id
            )
        else:
            self.check(
                Invariant.ATTEMPT_LIMIT, self._runs[request_id] <= max_runs, request_id
            )

    def check_response(self, request: Request, status: int, body: bytes) -> None:
        """Check a complete response that a caller received."""
        request_id = request.request_id
        self.outcome_counts[str(status)] += 1
        if status == 200:
            is_expected = (
                body == expected_body(request_id) and self._runs[request_id] >= 1
            )
            self.check(Invariant.COMPLETE_RESPONSE, is_expected, request_id)
        if status in NOT_RUN_STATUSES and request.is_order:
            self._refused.add(request_id)
            self.check(
                Invariant.REFUSAL_CORRECT, self._runs[request_id] == 0, request_id
            )

    def record_no_response(self, reason: str) -> None:
        """Count a request that got no response, by its reason."""
        self.outcome_counts[reason] += 1

    def check_shutdown(self, is_complete: bool, detail: str) -> None:
        """Check a request that overlapped a graceful shutdown."""
        self.check(Invariant.GRACEFUL_SHUTDOWN, is_complete, detail)

    def check_order(self, is_in_order: bool, detail: str) -> None:
        """Check a response on a connection with pipelined requests."""
        self.check(Invariant.RESPONSES_IN_ORDER, is_in_order, detail)

    def check_exit(self, was_expected: bool, detail: str) -> None:
        """Check the exit of a process."""
        self.check(Invariant.EXPECTED_EXIT, was_expected, detail)

    def check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        """Count a check, and record a violation if the invariant does not hold."""
        self.check_counts[invariant] += 1
        if not holds:
            self.violations.append(f"{invariant.value}: {detail}")


def expected_body(request_id: str) -> bytes:
    """Return the body of an upstream's response to a request."""
    copies = 20_000 if request_id.endswith(LARGE_SUFFIX) else 20
    return f"response to {request_id};".encode() * copies
