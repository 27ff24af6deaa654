"""Tests of planned stops and kills of an entry instance that runs as a process."""

import anyio
import httpx
import pytest
from returns.result import Failure, Result

from tanagercourse.client.call import Call, CallProblem, CallResponse
from tanagercourse.client.caller import Caller
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Idempotency
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess, start_entry, wait_until_ready
from tanagercourse.testing.upstream import FakeUpstream, UpstreamFault

pytestmark = pytest.mark.anyio

# Well below the default of --stop-timeout-s, so an exit within this time shows that the
# instance did not wait for that timeout.
EXIT_TIMEOUT_S = 10.0
SLOW_SERVICE_TIME_S = 0.5

Outcome = Result[CallResponse, CallProblem]


async def exit_code(entry: EntryProcess) -> int:
    return await anyio.to_thread.run_sync(entry.process.wait, EXIT_TIMEOUT_S)


async def wait_until_offered(
    http: httpx.AsyncClient, entry: EntryProcess, count: int
) -> None:
    with anyio.fail_after(EXIT_TIMEOUT_S):
        offered = 0
        while offered < count:
            lookup = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
            offered = len(lookup.json()["instances"])


async def wait_until_upstream_is_busy(upstreams: tuple[FakeUpstream, ...]) -> None:
    with anyio.fail_after(EXIT_TIMEOUT_S):
        while not any(upstream.in_service for upstream in upstreams):
            await anyio.sleep(0.005)


def set_service_time(
    upstreams: tuple[FakeUpstream, ...], service_time_s: float
) -> None:
    for upstream in upstreams:
        upstream.service_time_s = service_time_s


async def test_running_request_is_answered_completely_before_the_exit(
    caller: Caller,
    entry: EntryProcess,
    http: httpx.AsyncClient,
    upstreams: tuple[FakeUpstream, ...],
) -> None:
    set_service_time(upstreams, SLOW_SERVICE_TIME_S)
    outcomes: list[Outcome] = []

    async def call() -> None:
        notice = Call(ServiceId("prijavnica"), "/notice", "POST", b"spill")
        outcomes.append(await caller.call(notice))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(call)
        await wait_until_upstream_is_busy(upstreams)
        entry.stop()
        ready = await http.get(entry.url + "/readyz")
        while ready.status_code == httpx.codes.OK:
            ready = await http.get(entry.url + "/readyz")
        lookup = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
    assert ready.status_code == httpx.codes.SERVICE_UNAVAILABLE
    assert lookup.json()["instances"] == []
    assert outcomes[0].unwrap().body == b"/noticespill"
    assert await exit_code(entry) == 0


async def test_open_connection_gets_its_response_and_is_closed_while_leaving(
    caller: Caller, entry: EntryProcess, http: httpx.AsyncClient
) -> None:
    url = entry.url + "/v1/services/motritelj/status"
    before_stop = await http.get(url)
    entry.stop()
    response = await http.get(url)
    while "connection" not in response.headers:
        response = await http.get(url)
    assert "connection" not in before_stop.headers
    assert response.status_code == httpx.codes.OK
    assert response.headers["connection"] == "close"
    assert await exit_code(entry) == 0


async def test_planned_stop_never_exceeds_its_timeout(
    platform: FakePlatform,
    platform_url: str,
    upstreams: tuple[FakeUpstream, ...],
    http: httpx.AsyncClient,
) -> None:
    for upstream in upstreams:
        upstream.fault = UpstreamFault.SILENT
    with start_entry(
        "entry-1", "split-a", platform_url, "--stop-timeout-s", "0.5"
    ) as entry:
        while (await http.get(entry.url + "/readyz")).status_code != httpx.codes.OK:
            await anyio.sleep(0.02)
        url = entry.url + "/v1/services/prijavnica/notice"
        refusals: list[httpx.Response] = []

        async def call() -> None:
            headers = {"x-request-deadline-ms": "60000"}
            refusals.append(
                await http.post(url, headers=headers, timeout=EXIT_TIMEOUT_S)
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            await wait_until_upstream_is_busy(upstreams)
            entry.stop()
            assert await exit_code(entry) == 0
    assert refusals[0].status_code == httpx.codes.SERVICE_UNAVAILABLE
    assert refusals[0].headers["x-refusal-reason"] == "leaving"
    assert refusals[0].headers["x-execution"] == "may_have_run"


@pytest.mark.parametrize("end_instance", [EntryProcess.stop, EntryProcess.kill])
async def test_callers_fail_over_when_an_instance_ends_under_load(
    caller: Caller,
    entry: EntryProcess,
    second_entry: EntryProcess,
    http: httpx.AsyncClient,
    upstreams: tuple[FakeUpstream, ...],
    end_instance: object,
) -> None:
    await wait_until_ready(http, second_entry)
    await wait_until_offered(http, entry, 2)
    outcomes: list[tuple[Call, Outcome]] = []

    async def call_repeatedly(service: str, idempotency: Idempotency) -> None:
        for number in range(40):
            call = Call(
                ServiceId(service), f"/{number}", "POST", idempotency=idempotency
            )
            outcomes.append((call, await caller.call(call)))
            await anyio.sleep(0.01)

    async with anyio.create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(call_repeatedly, "motritelj", Idempotency.IDEMPOTENT)
            tasks.start_soon(call_repeatedly, "prijavnica", Idempotency.NON_IDEMPOTENT)
        await anyio.sleep(0.2)
        if end_instance is EntryProcess.kill:
            entry.kill()
        else:
            entry.stop()

    failed = {
        call: outcome for call, outcome in outcomes if isinstance(outcome, Failure)
    }
    notices = [upstream for upstream in upstreams if "prijavnica" in upstream.id]
    runs = [count for upstream in notices for count in upstream.runs.values()]
    assert max(runs) == 1
    failed_reads = {
        call: outcome
        for call, outcome in failed.items()
        if call.idempotency is Idempotency.IDEMPOTENT
    }
    assert not failed_reads
    if end_instance is EntryProcess.stop:
        assert not failed
    call_after_end = Call(ServiceId("prijavnica"), "/after", "POST")
    assert not isinstance(await caller.call(call_after_end), Failure)
