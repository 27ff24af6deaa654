"""Simulated upstreams with slots, a bounded queue and load shedding."""

from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.adapter.headers import HEADER_NAMES
from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.soak.checks import Checks, Request, expected_body

SLOTS = 3
QUEUE_LIMIT = 6
SERVICE_TIME_RANGE_S = (0.02, 0.15)
# Maximum number of upstreams to which the soak's routes send a request.
MAX_RUNS = 2


@dataclass
class SimulatedUpstream:
    """An upstream that checks each request before the request runs.

    Attributes:
        upstream: Id of the upstream.
        checks: Checks each request that starts to run.
        random: Source of service times.
        service_time_factor: Multiplier of the service time.
        sheds_all: Whether every request is shed.
        running: Number of requests that occupy a slot.
        waiting: Number of requests in the queue.
    """

    upstream: UpstreamId
    checks: Checks
    random: Random
    service_time_factor: float = 1.0
    sheds_all: bool = False
    running: int = 0
    waiting: int = 0

    async def respond(self, request: CallerRequest) -> Response:
        """Run a request or refuse it as not run; respond at once to a health check."""
        if request.target == b"/health":
            id_header = (HEADER_NAMES.upstream_id, self.upstream.encode())
            return self._make_response(200, b"", id_header)
        expected = find_header(request.headers, HEADER_NAMES.expected_upstream)
        if expected != self.upstream.encode():
            return self._make_response(421, b"")
        if self.sheds_all or self.running + self.waiting >= SLOTS + QUEUE_LIMIT:
            return self._make_response(503, b"", (HEADER_NAMES.not_run, b"1"))
        self.waiting += 1
        try:
            while self.running >= SLOTS:
                await anyio.sleep(0.01)
        finally:
            self.waiting -= 1
        return await self._run(request)

    async def _run(self, request: CallerRequest) -> Response:
        raw_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        request_id = raw_id.decode()
        received = Request(
            request_id, request.method, request.target, request.body, False
        )
        self.checks.check_run(received, MAX_RUNS)
        self.running += 1
        try:
            await anyio.sleep(
                self.random.uniform(*SERVICE_TIME_RANGE_S) * self.service_time_factor
            )
            # The response still counts its own request as running.
            return self._make_response(
                200, expected_body(request_id), (HEADER_NAMES.request_id, raw_id)
            )
        finally:
            self.running -= 1

    def _make_response(
        self, status: int, body: bytes, *headers: tuple[bytes, bytes]
    ) -> Response:
        load = f"{self.running},{self.waiting},{SLOTS}".encode()
        return Response(status, b"Any", ((HEADER_NAMES.load, load), *headers), body)
