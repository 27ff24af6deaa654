"""Generate load with the client library and count the outcomes."""

import time
from collections.abc import Sequence
from random import Random

import anyio

from tanagercourse.client.call import Call
from tanagercourse.client.caller import Caller
from tanagercourse.core.ids import IdempotencyKey
from tanagercourse.testing.deployments import ServiceDeployment
from tanagercourse.testing.tally import Tally


class LoadGenerator:
    """Callers that pause between calls for an exponentially distributed time.

    Attributes:
        is_stopped: Set to end every caller after its current call.
    """

    def __init__(
        self, random: Random, client_one_way_s: float, mean_pause_s: float
    ) -> None:
        self._random = random
        self._client_one_way_s = client_one_way_s
        self._mean_pause_s = mean_pause_s
        self._call_count = 0
        self.is_stopped = False

    async def run_caller(
        self, caller: Caller, service: ServiceDeployment, tally: Tally
    ) -> None:
        """Call a service until the load is stopped.

        Args:
            caller: Client that sends the calls.
            service: The service to call.
            tally: Counts the outcomes of the calls.
        """
        while not self.is_stopped:
            await anyio.sleep(self._random.expovariate(1.0 / self._mean_pause_s))
            await self._call_once(caller, service, tally)

    async def _call_once(
        self, caller: Caller, service: ServiceDeployment, tally: Tally
    ) -> None:
        self._call_count += 1
        key = f"{service.service}-{self._call_count}"
        call = Call(
            service.service,
            f"/{key}",
            "POST",
            key.encode(),
            service.idempotency,
            key=IdempotencyKey(key),
        )
        start_s = time.monotonic()
        await anyio.sleep(self._client_one_way_s)
        outcome = await caller.call(call)
        await anyio.sleep(self._client_one_way_s)
        expected = call.target.encode() + call.body
        tally.record(key, expected, time.monotonic() - start_s, outcome)


def make_tallies(services: Sequence[ServiceDeployment]) -> dict[str, Tally]:
    """Return an empty tally for each service."""
    return {
        service.service: Tally(service.service, service.rank, service.idempotency)
        for service in services
    }
