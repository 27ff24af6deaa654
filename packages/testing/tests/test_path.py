"""End-to-end requests: caller, entry instance as a process, upstream and platform."""

import anyio
import pytest
from returns.result import Failure

from tanagercourse.client.call import Call
from tanagercourse.client.caller import Caller
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.testing.processes import EntryProcess
from tanagercourse.testing.upstream import FakeUpstream, UpstreamFault

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("service", ["motritelj", "prijavnica", "ljetopis"])
async def test_request_gets_complete_response_and_runs_once(
    caller: Caller, upstreams: tuple[FakeUpstream, ...], service: str
) -> None:
    call = Call(ServiceId(service), "/outfall/7", "POST", b"body")
    response = (await caller.call(call)).unwrap()
    assert response.body == b"/outfall/7body"
    assert sum(upstream.runs[response.request_id] for upstream in upstreams) == 1


async def test_unknown_service_is_refused_as_not_run(caller: Caller) -> None:
    result = await caller.call(Call(ServiceId("nothing"), "/"))
    assert isinstance(result, Failure)
    refusal = result.failure()
    assert refusal.reason is RefusalReason.UNKNOWN_SERVICE
    assert refusal.execution is Execution.NOT_RUN


async def test_mismatched_response_never_reaches_the_caller(
    caller: Caller, upstreams: tuple[FakeUpstream, ...]
) -> None:
    for upstream in upstreams:
        upstream.fault = UpstreamFault.WRONG_REQUEST_ID
    call = Call(
        ServiceId("prijavnica"), "/", "POST", idempotency=Idempotency.NON_IDEMPOTENT
    )
    result = await caller.call(call)
    refusal = result.failure()
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.ANSWER_MISMATCHED
    assert refusal.execution is Execution.MAY_HAVE_RUN
    assert sum(upstream.runs.total() for upstream in upstreams) == 1


async def test_truncated_response_is_never_reported_as_complete(
    caller: Caller, upstreams: tuple[FakeUpstream, ...]
) -> None:
    for upstream in upstreams:
        upstream.fault = UpstreamFault.TRUNCATED
    response = await caller.call(Call(ServiceId("motritelj"), "/"))
    assert isinstance(response, Failure)


async def test_graceful_shutdown_exits_with_0(
    caller: Caller, entry: EntryProcess
) -> None:
    entry.stop()
    assert await anyio.to_thread.run_sync(entry.process.wait, 10) == 0
