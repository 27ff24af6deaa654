"""Check that instances heed what upstreams say of themselves in responses.

An upstream that says that it leaves gets no further request from the instance that
passed such a response on, and one that says for how long it wants no requests gets at
most two in that time from the instance that it told. A restart, a pause or a kill of
the instance excuses it, and so does a fault between it and the upstream.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from tanagercourse.core.ids import UpstreamId
from tanagercourse.soak.checks import Checks, Invariant

# Time after a statement has been passed on in which its upstream may get requests that
# a caller sends, in seconds.
DRAIN_S = 2.5
# Time after a refusal from which the upstream's pause binds, in seconds.
PAUSE_BEGINS_AFTER_S = 0.5
# Requests that may reach an upstream in its pause.
MAX_REQUESTS_IN_PAUSE = 2


@dataclass(frozen=True)
class Sender:
    """An undisturbed run of an instance.

    Attributes:
        instance: Name of the instance.
        run: Number of times that it was started, paused or killed.
    """

    instance: str
    run: int


@dataclass(frozen=True)
class _Sent:
    sender: Sender
    at_s: float


@dataclass
class _Pause:
    begins_at_s: float
    ends_at_s: float
    is_undisturbed: Callable[[], bool]
    requests: int = 0


@dataclass
class StatementChecks:
    """What upstreams have said, and to which instances.

    Attributes:
        checks: Counts the checks and their violations.
        clock: A monotonic clock, in seconds.
    """

    checks: Checks
    clock: Callable[[], float]
    _sent: dict[str, _Sent] = field(default_factory=dict)
    _said_leaving: set[tuple[str, UpstreamId]] = field(default_factory=set)
    _left_at_s: dict[tuple[Sender, UpstreamId], float] = field(default_factory=dict)
    _pauses: dict[tuple[Sender, UpstreamId], list[_Pause]] = field(default_factory=dict)

    def record_sent(self, request_id: str, sender: Sender) -> None:
        """Record that a caller sends a request to an instance now."""
        self._sent[request_id] = _Sent(sender, self.clock())

    def record_leaving(self, request_id: str, upstream: UpstreamId) -> None:
        """Record that an upstream says in its response that it leaves."""
        self._said_leaving.add((request_id, upstream))

    def record_response(self, request_id: str, upstream: UpstreamId) -> None:
        """Record that a caller got an upstream's complete response."""
        sent = self._sent.get(request_id)
        if sent is not None and (request_id, upstream) in self._said_leaving:
            self._left_at_s.setdefault((sent.sender, upstream), self.clock())

    def record_pause(
        self,
        request_id: str,
        upstream: UpstreamId,
        pause_s: float,
        is_undisturbed: Callable[[], bool],
    ) -> None:
        """Record that an upstream refuses a request and wants none for a time.

        Args:
            request_id: Id of the refused request.
            upstream: The upstream.
            pause_s: The time, in seconds.
            is_undisturbed: Returns whether the response has reached the instance.
        """
        sent = self._sent.get(request_id)
        if sent is None:
            return
        now_s = self.clock()
        pause = _Pause(now_s + PAUSE_BEGINS_AFTER_S, now_s + pause_s, is_undisturbed)
        self._pauses.setdefault((sent.sender, upstream), []).append(pause)

    def check_arrival(self, request_id: str, upstream: UpstreamId) -> None:
        """Check a request that reaches an upstream."""
        sent = self._sent.get(request_id)
        if sent is None:
            return
        detail = f"{request_id} from {sent.sender.instance} at {upstream}"
        left_at_s = self._left_at_s.get((sent.sender, upstream))
        is_in_time = left_at_s is None or sent.at_s <= left_at_s + DRAIN_S
        self.checks.check(Invariant.LEAVING_HEEDED, is_in_time, detail)
        now_s = self.clock()
        is_heeded = True
        for pause in self._pauses.get((sent.sender, upstream), ()):
            if pause.begins_at_s <= now_s < pause.ends_at_s and pause.is_undisturbed():
                pause.requests += 1
                is_heeded &= pause.requests <= MAX_REQUESTS_IN_PAUSE
        self.checks.check(Invariant.PAUSE_HEEDED, is_heeded, detail)
