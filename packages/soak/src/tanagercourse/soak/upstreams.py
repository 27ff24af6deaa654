"""Upstreams of the soak: slots, a queue, sheds, and a record of what ran."""

from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.adapter.headers import HEADER_NAMES
from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.soak.checks import Checks, Request, answer_body

SLOTS = 3
QUEUE = 6
WORK_S = (0.02, 0.15)
# To how many upstreams the routes of the soak let one request go.
MOST_RUNS = 2


@dataclass
class BackEnd:
    """One lifetime of an upstream.

    Attributes:
        upstream: Its id.
        checks: Told of each request that begins to run.
        random: Decides how long work takes.
        slowness: Work takes this many times as long.
        sheds: Whether it refuses every request.
    """

    upstream: UpstreamId
    checks: Checks
    random: Random
    slowness: float = 1.0
    sheds: bool = False
    running: int = 0
    waiting: int = 0

    async def respond(self, request: CallerRequest) -> Response:
        """Answer a request, or say that it was not run."""
        if request.target == b"/health":
            name = (HEADER_NAMES.upstream_id, self.upstream.encode())
            return self._answer(200, b"", name)
        expected = find_header(request.headers, HEADER_NAMES.expected_upstream)
        if expected != self.upstream.encode():
            return self._answer(421, b"")
        if self.sheds or self.running + self.waiting >= SLOTS + QUEUE:
            return self._answer(503, b"", (HEADER_NAMES.not_run, b"1"))
        self.waiting += 1
        try:
            while self.running >= SLOTS:
                await anyio.sleep(0.01)
        finally:
            self.waiting -= 1
        return await self._run(request)

    async def _run(self, request: CallerRequest) -> Response:
        raw_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        name = raw_id.decode()
        sent = Request(name, request.method, request.target, request.body, False)
        self.checks.note_run(sent, MOST_RUNS)
        self.running += 1
        try:
            await anyio.sleep(self.random.uniform(*WORK_S) * self.slowness)
        finally:
            self.running -= 1
        return self._answer(200, answer_body(name), (HEADER_NAMES.request_id, raw_id))

    def _answer(
        self, status: int, body: bytes, *headers: tuple[bytes, bytes]
    ) -> Response:
        load = f"{self.running},{self.waiting},{SLOTS}".encode()
        return Response(status, b"Any", ((HEADER_NAMES.load, load), *headers), body)
