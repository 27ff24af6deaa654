"""Promises checked while the soak runs, from what callers and upstreams see."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

# Answers that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@unique
class Promise(Enum):
    """What must hold at any moment."""

    WHOLE = "an answer is the upstream's whole answer to this request"
    ONCE = "an order runs at most once"
    NOT_RUN = "a refusal says truly that nothing ran"
    ASKED = "an upstream runs only what a caller sent"
    ATTEMPTS = "a request reaches no more upstreams than its route allows"
    PLANNED = "a planned stop cuts no request"
    EXIT = "a process ends only when it is told to"


@dataclass(frozen=True)
class Request:
    """What a caller sent."""

    request_id: str
    method: bytes
    target: bytes
    body: bytes
    is_order: bool


@dataclass
class Checks:
    """What was seen, and which promises were broken.

    Attributes:
        checked: How often each promise was checked.
        broken: A line for each broken promise.
    """

    checked: Counter[Promise] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    _sent: dict[str, Request] = field(default_factory=dict)
    _runs: Counter[str] = field(default_factory=Counter)
    _refused: set[str] = field(default_factory=set)

    def note_sent(self, request: Request) -> None:
        """Note what a caller is about to send."""
        self._sent[request.request_id] = request

    def note_run(self, request: Request, most_runs: int) -> None:
        """Check a request that an upstream begins to work on."""
        name = request.request_id
        self._runs[name] += 1
        sent = self._sent.get(name)
        is_asked = sent is not None and (sent.method, sent.target, sent.body) == (
            request.method,
            request.target,
            request.body,
        )
        self._check(Promise.ASKED, is_asked, name)
        if sent is None:
            return
        if sent.is_order:
            self._check(Promise.ONCE, self._runs[name] <= 1, name)
            self._check(Promise.NOT_RUN, name not in self._refused, name)
        else:
            self._check(Promise.ATTEMPTS, self._runs[name] <= most_runs, name)

    def note_answer(self, request: Request, status: int, body: bytes) -> None:
        """Check an answer that a caller got whole."""
        name = request.request_id
        self.statuses[str(status)] += 1
        if status == 200:
            is_own = body == answer_body(name) and self._runs[name] >= 1
            self._check(Promise.WHOLE, is_own, name)
        if status in NOT_RUN_STATUSES and request.is_order:
            self._refused.add(name)
            self._check(Promise.NOT_RUN, self._runs[name] == 0, name)

    def note_no_answer(self, why: str) -> None:
        """Count a request whose connection ended without an answer."""
        self.statuses[why] += 1

    def note_planned(self, is_kept: bool, detail: str) -> None:
        """Check a request that was in hand when a planned stop began."""
        self._check(Promise.PLANNED, is_kept, detail)

    def note_exit(self, was_told: bool, detail: str) -> None:
        """Check a process that ended."""
        self._check(Promise.EXIT, was_told, detail)

    def _check(self, promise: Promise, holds: bool, detail: str) -> None:
        self.checked[promise] += 1
        if not holds:
            self.broken.append(f"{promise.value}: {detail}")


def answer_body(request_id: str) -> bytes:
    """Return the body that an upstream answers a request with."""
    return f"answer to {request_id};".encode() * 20
