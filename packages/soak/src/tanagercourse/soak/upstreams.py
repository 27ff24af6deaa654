"""Simulated upstreams with slots, a bounded queue and load shedding."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.adapter.headers import HEADER_NAMES
from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.soak.checks import Checks, Request, expected_body
from tanagercourse.soak.quotas import QuotaChecks
from tanagercourse.soak.statements import StatementChecks
from tanagercourse.soak.tenants import TenantKeys

SLOTS = 3
QUEUE_LIMIT = 6
SERVICE_TIME_RANGE_S = (0.02, 0.15)
# Maximum number of upstreams to which the soak's routes send a request.
MAX_RUNS = 2
# Response header with the id of the upstream.
UPSTREAM_HEADER = b"X-Soak-Upstream"


@dataclass
class SimulatedUpstream:
    """An upstream that checks each request before the request runs.

    Attributes:
        upstream: Id of the upstream.
        checks: Checks each request that starts to run.
        statements: Checks each request against what the upstream has said.
        tenant_keys: Checks the tenant of each request.
        quotas: Checks the limits of tenants.
        random: Source of service times.
        service_time_factor: Multiplier of the service time.
        sheds_all: Whether every request is shed.
        is_leaving: Whether each response says that the upstream leaves.
        paused_until_s: Time until which every request is refused and the upstream says
            how long it wants none, in seconds.
        is_undisturbed: Returns a function that tells whether, since its creation,
            everything sent has reached the callers unchanged.
        was_undisturbed: Returns whether requests came through at once since a time.
        running: Number of requests that occupy a slot.
        waiting: Number of requests in the queue.
    """

    upstream: UpstreamId
    checks: Checks
    statements: StatementChecks
    tenant_keys: TenantKeys
    quotas: QuotaChecks
    random: Random
    service_time_factor: float = 1.0
    sheds_all: bool = False
    is_leaving: bool = False
    paused_until_s: float = 0.0
    is_undisturbed: Callable[[], Callable[[], bool]] = lambda: lambda: False
    was_undisturbed: Callable[[float], bool] = lambda since_s: False
    running: int = 0
    waiting: int = 0

    async def respond(self, request: CallerRequest) -> Response:
        """Run a request or refuse it as not run; respond at once to a health check."""
        if request.target == b"/health":
            id_header = (HEADER_NAMES.upstream_id, self.upstream.encode())
            return self._make_response(200, b"", id_header)
        raw_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        request_id, repeated_id = raw_id.decode(), (HEADER_NAMES.request_id, raw_id)
        expected = find_header(request.headers, HEADER_NAMES.expected_upstream)
        if expected != self.upstream.encode():
            return self._make_response(421, b"", repeated_id)
        self.statements.check_arrival(request_id, self.upstream)
        self.tenant_keys.check_arrival(
            request_id, request.headers, self.was_undisturbed
        )
        pause_s = self.paused_until_s - anyio.current_time()
        if pause_s > 0.0:
            # Rounded down, so that the check does not outlast what the caller was told.
            pause_s = int(pause_s * 1000) / 1000
            self.statements.record_pause(
                request_id, self.upstream, pause_s, self.is_undisturbed()
            )
            retry_after = (b"Retry-After", f"{pause_s:.3f}".encode())
            return self._make_response(
                503, b"", repeated_id, (HEADER_NAMES.not_run, b"1"), retry_after
            )
        if self.sheds_all or self.running + self.waiting >= SLOTS + QUEUE_LIMIT:
            return self._make_response(
                503, b"", repeated_id, (HEADER_NAMES.not_run, b"1")
            )
        arrived_at_s = anyio.current_time()
        self.waiting += 1
        try:
            while self.running >= SLOTS:
                await anyio.sleep(0.01)
        finally:
            self.waiting -= 1
        return await self._run(request, request_id, arrived_at_s)

    async def _run(
        self, request: CallerRequest, request_id: str, arrived_at_s: float
    ) -> Response:
        received = Request(
            request_id, request.method, request.target, request.body, False
        )
        self.checks.check_run(received, MAX_RUNS)
        tenant = self.tenant_keys.find_tenant(request_id)
        # Requests that were held back on their way here run later than they were sent.
        since_s = self.tenant_keys.sent_at_s(request_id)
        if tenant is not None and self.was_undisturbed(since_s):
            self.quotas.check_run(tenant, arrived_at_s)
        self.running += 1
        try:
            await anyio.sleep(
                self.random.uniform(*SERVICE_TIME_RANGE_S) * self.service_time_factor
            )
            if self.is_leaving:
                self.statements.record_leaving(request_id, self.upstream)
            # The response still counts its own request as running.
            return self._make_response(
                200,
                expected_body(request_id),
                (HEADER_NAMES.request_id, request_id.encode()),
                (HEADER_NAMES.proof, request_id.encode()),
            )
        finally:
            self.running -= 1

    def _make_response(
        self, status: int, body: bytes, *headers: tuple[bytes, bytes]
    ) -> Response:
        headers += ((UPSTREAM_HEADER, self.upstream.encode()),)
        if self.is_leaving:
            headers += ((HEADER_NAMES.leaving, b"1"),)
        load = f"{self.running},{self.waiting},{SLOTS}".encode()
        return Response(status, b"Any", ((HEADER_NAMES.load, load), *headers), body)
