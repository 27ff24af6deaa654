"""The whole path: caller, entry instance as a process, upstream and platform."""

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
async def test_request_is_served_whole(
    caller: Caller, upstreams: tuple[FakeUpstream, ...], service: str
) -> None:
    call = Call(ServiceId(service), "/outfall/7", "POST", b"body")
    answered = (await caller.call(call)).unwrap()
    assert answered.body == b"/outfall/7body"
    assert sum(stand_in.runs[answered.request_id] for stand_in in upstreams) == 1


async def test_unknown_service_is_refused_not_run(caller: Caller) -> None:
    refused = await caller.call(Call(ServiceId("nothing"), "/"))
    assert isinstance(refused, Failure)
    refusal = refused.failure()
    assert refusal.reason is RefusalReason.UNKNOWN_SERVICE
    assert refusal.execution is Execution.NOT_RUN


async def test_crossed_answer_never_reaches_the_caller(
    caller: Caller, upstreams: tuple[FakeUpstream, ...]
) -> None:
    for stand_in in upstreams:
        stand_in.fault = UpstreamFault.WRONG_REQUEST_ID
    call = Call(
        ServiceId("prijavnica"), "/", "POST", idempotency=Idempotency.NON_IDEMPOTENT
    )
    refused = await caller.call(call)
    refusal = refused.failure()
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.ANSWER_MISMATCHED
    assert refusal.execution is Execution.MAY_HAVE_RUN
    assert sum(stand_in.runs.total() for stand_in in upstreams) == 1


async def test_truncated_answer_is_never_passed_off_as_whole(
    caller: Caller, upstreams: tuple[FakeUpstream, ...]
) -> None:
    for stand_in in upstreams:
        stand_in.fault = UpstreamFault.TRUNCATED
    answered = await caller.call(Call(ServiceId("motritelj"), "/"))
    assert isinstance(answered, Failure)


async def test_planned_stop_exits_cleanly(caller: Caller, entry: EntryProcess) -> None:
    entry.stop()
    assert await anyio.to_thread.run_sync(entry.process.wait, 10) == 0
